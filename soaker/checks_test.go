package soaker

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func atSecond(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// TestCheckCall checks that each violation by a request is reported, and that requests without one
// are not.
func TestCheckCall(t *testing.T) {
	wholeStream := ""
	for n := 1; n <= 20; n++ {
		wholeStream += fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
	}
	stop := incident{from: atSecond(10), to: atSecond(18), fault: "stop", planned: true}
	for _, tc := range []struct {
		name      string
		call      call
		incidents []incident
		found     string
	}{
		{"own answer", call{path: "/look/", status: 200, body: "answer of desk-a to r"}, nil, ""},
		{"answer to another request", call{path: "/look/", status: 200, body: "answer of desk-a to other"}, nil, "got the wrong or an incomplete answer"},
		{"whole stream", call{path: "/stream/", status: 200, body: wholeStream}, nil, ""},
		{"event missing", call{path: "/stream/", status: 200, body: strings.Replace(wholeStream, "id: 3\ndata: event 3\n\n", "", 1)}, nil, "want event 3"},
		{"short stream without an error", call{path: "/stream/", status: 200, body: wholeStream[:len("id: 1\ndata: event 1\n\n")]}, nil, "ended without an error, but incomplete"},
		{"short stream with an error", call{path: "/stream/", status: 200, body: wholeStream[:40], err: errors.New("EOF")}, nil, ""},
		{"refused and ran", call{path: "/book/", status: 503}, nil, "refused with 503 as not run, but ran"},
		{"stream that must not run twice, refused and ran", call{path: oncePrefix, status: 503}, nil, "refused with 503 as not run, but ran"},
		{"revoked in time", call{path: "/book/", key: "old", status: 200, body: "answer of desk-a to r", sent: atSecond(24)}, nil, ""},
		{"revoked too late", call{path: "/book/", key: "old", status: 200, body: "answer of desk-a to r", sent: atSecond(26)}, nil, "after the key was revoked"},
		{"cut by a planned stop", call{path: "/look/", err: errors.New("EOF"), sent: atSecond(11), ended: atSecond(12)}, []incident{stop}, "was cut off by stop"},
		{"refused at a host that is not ready", call{path: "/look/", err: syscall.ECONNREFUSED, fallback: true, sent: atSecond(11), ended: atSecond(12)}, []incident{stop}, ""},
		{"refused at a host in rotation", call{path: "/look/", err: syscall.ECONNREFUSED, sent: atSecond(11), ended: atSecond(12)}, []incident{stop}, "was cut off by stop"},
		{"cut at a host that is not ready", call{path: "/look/", err: errors.New("EOF"), fallback: true, sent: atSecond(11), ended: atSecond(12)}, []incident{stop}, "was cut off by stop"},
		{"cut during an unplanned fault", call{path: "/look/", err: errors.New("EOF"), sent: atSecond(11), ended: atSecond(12)}, []incident{stop, {from: atSecond(11), to: atSecond(12), fault: "kill"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newHistory()
			l.revokedAt["old"] = atSecond(20)
			l.incidents = tc.incidents
			tc.call.id = "r"
			var got []string
			l.checkCall(&tc.call, 1, func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) })
			if tc.found == "" {
				is.New(t).Equal(len(got), 0)
				return
			}
			is.New(t).Equal(len(got), 1)
			is.New(t).True(strings.Contains(got[0], tc.found))
		})
	}
}

// TestCheckAnnouncements checks that requests in a backoff and after a leave are reported, unless a
// fault of the host excuses them.
func TestCheckAnnouncements(t *testing.T) {
	for _, tc := range []struct {
		name string
		// backoff and leaving are what the upstream's first response says.
		backoff time.Duration
		leaving bool
		// sent are the seconds at which further requests are sent.
		sent      []float64
		incidents []incident
		found     string
		// restart is the second at which the upstream is started as another incarnation; 0 means never.
		restart float64
	}{
		{"two in a backoff", 3 * time.Second, false, []float64{11, 12}, nil, "", 0},
		{"three in a backoff", 3 * time.Second, false, []float64{11, 12, 12.5}, nil, "got 3 requests from host-0 in the 3s", 0},
		{"three on their way", 3 * time.Second, false, []float64{10.1, 10.2, 10.3, 12}, nil, "", 0},
		{"three after it", 3 * time.Second, false, []float64{13.1, 13.2, 13.3}, nil, "", 0},
		{"three after a restart", 3 * time.Second, false, []float64{11.5, 12, 12.5}, []incident{{from: atSecond(10.2), to: atSecond(11), fault: "kill"}}, "", 0},
		{"after a leave", 0, true, []float64{13}, nil, "sent 2.999s after a response had told that it leaves", 0},
		{"soon after a leave", 0, true, []float64{11.9}, nil, "", 0},
		{"after a leave and a pause", 0, true, []float64{13}, []incident{{from: atSecond(11), to: atSecond(12), fault: "pause"}}, "", 0},
		{"after a leave, cut off from the store", 0, true, []float64{13}, []incident{{from: atSecond(9), to: atSecond(20), fault: "store reset"}}, "told that it leaves", 0},
		{"after a leave and a restart of the upstream", 0, true, []float64{13}, nil, "", 11},
		{"after a restart of the upstream and a leave", 0, true, []float64{13}, nil, "told that it leaves", 9},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newHistory()
			l.incidents = tc.incidents
			u := &upstream{stage: new(faker.Stage)}
			u.ID = "desk-b"
			if tc.restart > 0 {
				u.restarts = []time.Time{atSecond(tc.restart)}
			}
			receive := func(s float64, told bool) {
				id := fmt.Sprint("r", s)
				one := faker.ReceivedRequest{RequestID: id, At: atSecond(s)}
				if told {
					one.Backoff, one.ToldLeaving = tc.backoff, tc.leaving
				}
				u.stage.AddReceived(one)
				l.addCall(call{id: id, sent: atSecond(s), ended: atSecond(s).Add(time.Millisecond)})
			}
			receive(10, true)
			for _, s := range tc.sent {
				receive(s, false)
			}
			var found []string
			report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
			cl := &cluster{hosts: []*host{{name: "host-0"}}, upstreams: []*upstream{u}}
			l.checkBackoffs(cl, report)
			l.checkLeavingHeader(cl, report)
			is := is.New(t)
			is.Equal(len(found) > 0, tc.found != "")
			is.True(strings.Contains(strings.Join(found, "\n"), tc.found))
		})
	}
}

// TestCheckRetries checks that retries beyond the budget are reported, over all upstreams of a service.
func TestCheckRetries(t *testing.T) {
	for _, tc := range []struct {
		name           string
		requests, runs int
		// lasts is the time over which the requests are spread.
		lasts time.Duration
		found string
	}{
		{"no retry", 1000, 1, 5 * time.Second, ""},
		{"the fixed number", 200, 2, 5 * time.Second, ""},
		{"one retry of each request", 300, 2, 5 * time.Second, "service desk got 300 retries in 10s for 300 requests, want at most 260"},
		{"the same over a minute", 300, 2, time.Minute, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, cl := newHistory(), &cluster{strain: strain{retries: retryRule}}
			for n := range 3 {
				u := &upstream{stage: new(faker.Stage)}
				u.ID, u.Service = fmt.Sprint("desk-", n), "desk"
				cl.upstreams = append(cl.upstreams, u)
			}
			for n := range tc.requests {
				id, at := fmt.Sprint("r", n), epoch.Add(tc.lasts*time.Duration(n)/time.Duration(tc.requests))
				l.addCall(call{id: id, path: "/look/", sent: at})
				for run := range tc.runs {
					cl.upstreams[(n+run)%3].stage.AddReceived(faker.ReceivedRequest{RequestID: id, At: at, Executed: true})
				}
			}
			var found []string
			l.checkRetries(cl, func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) })
			is := is.New(t)
			is.Equal(len(found) > 0, tc.found != "")
			is.True(strings.Contains(strings.Join(found, "\n"), tc.found))
		})
	}
}

// TestMustRunOnce checks that a second run is reported of requests that must not run twice.
func TestMustRunOnce(t *testing.T) {
	for path, found := range map[string]bool{"/look/": false, "/stream/": false, "/book/": true, oncePrefix: true} {
		t.Run(path, func(t *testing.T) {
			var got []string
			newHistory().checkCall(&call{id: "r", path: path, status: 502}, 2, func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) })
			is.New(t).Equal(len(got) > 0, found)
		})
	}
}
