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

var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// TestChecks: each promise that is broken is found, and none where it is kept.
func TestChecks(t *testing.T) {
	whole := ""
	for n := 1; n <= 20; n++ {
		whole += fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n)
	}
	stop := incident{from: at(10), to: at(18), what: "stop", planned: true}
	for _, tc := range []struct {
		name      string
		call      call
		incidents []incident
		found     string
	}{
		{"own answer", call{path: "/look/", status: 200, body: "answer of desk-a to r"}, nil, ""},
		{"another's answer", call{path: "/look/", status: 200, body: "answer of desk-a to other"}, nil, "got the answer"},
		{"whole stream", call{path: "/stream/", status: 200, body: whole}, nil, ""},
		{"event missing", call{path: "/stream/", status: 200, body: strings.Replace(whole, "id: 3\ndata: event 3\n\n", "", 1)}, nil, "want event 3"},
		{"short stream taken for whole", call{path: "/stream/", status: 200, body: whole[:len("id: 1\ndata: event 1\n\n")]}, nil, "ended as whole"},
		{"short stream that broke off", call{path: "/stream/", status: 200, body: whole[:40], err: errors.New("EOF")}, nil, ""},
		{"refused and ran", call{path: "/book/", status: 503}, nil, "refused with 503 as not run, and ran"},
		{"revoked in time", call{path: "/book/", key: "old", status: 200, body: "answer of desk-a to r", sent: at(24)}, nil, ""},
		{"revoked too late", call{path: "/book/", key: "old", status: 200, body: "answer of desk-a to r", sent: at(26)}, nil, "after it was taken away"},
		{"cut by a planned stop", call{path: "/look/", err: errors.New("EOF"), sent: at(11), ended: at(12)}, []incident{stop}, "was cut off by stop"},
		{"refused at a host that is not ready", call{path: "/look/", err: syscall.ECONNREFUSED, forced: true, sent: at(11), ended: at(12)}, []incident{stop}, ""},
		{"refused at a host in rotation", call{path: "/look/", err: syscall.ECONNREFUSED, sent: at(11), ended: at(12)}, []incident{stop}, "was cut off by stop"},
		{"cut at a host that is not ready", call{path: "/look/", err: errors.New("EOF"), forced: true, sent: at(11), ended: at(12)}, []incident{stop}, "was cut off by stop"},
		{"cut by a fault beside it", call{path: "/look/", err: errors.New("EOF"), sent: at(11), ended: at(12)}, []incident{stop, {from: at(11), to: at(12), what: "kill"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := newLedger()
			l.revoked["old"] = at(20)
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
