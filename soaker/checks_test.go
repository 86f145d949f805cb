package soaker

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
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
