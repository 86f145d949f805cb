package launcher_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
)

// assertLeavingKept checks that no host sent an upstream a request later than leaveGrace after the first
// response to that host that announced the leave.
func (fl *fleet) assertLeavingKept(id string) {
	fl.t.Helper()
	for host, after := range fl.stages[id].SentAfterLeaving(func(one *faker.ReceivedRequest) string { return one.From }) {
		if after > leaveGrace {
			fl.t.Errorf("host %q sent upstream %q a request %v after a response had announced its leave, expected at most %v", host, id, after, leaveGrace)
		}
	}
}

// entryOf returns the list entry of an upstream in a data centre, which says that it is ready.
func (fl *fleet) entryOf(id, dataCentre string) balancer.Upstream {
	return balancer.Upstream{ID: id, Service: id[:len(id)-2], Address: "10.1.0." + id + ":80", DataCentre: dataCentre, Slots: 8, StartedAt: 1}
}

// TestLeavingHeader guards against requests to an upstream whose responses say that it leaves while the
// list, which may be old or restored, still says that it is ready.
func TestLeavingHeader(t *testing.T) {
	for _, c := range []struct {
		name string
		// meanwhile changes the list while the upstreams leave.
		meanwhile func(fl *fleet)
	}{
		{"listed as ready", func(*fleet) {}},
		{"listed again", func(fl *fleet) {
			for _, id := range []string{"desk-a", "model-a"} {
				fl.source.DeleteUpstream(id)
			}
			time.Sleep(time.Second)
			for _, id := range []string{"desk-a", "model-a"} {
				fl.source.PutUpstream(fl.entryOf(id, "a"))
			}
		}},
	} {
		for _, path := range []string{"/look/1", "/book/1", "/stream/1"} {
			for _, hosts := range []int{1, 4, 24} {
				t.Run(fmt.Sprintf("%s, %s from %d hosts", c.name, path, hosts), func(t *testing.T) {
					t.Parallel()
					runFleet(t, hosts, path, 60, func(is *is.I, fl *fleet) {
						time.Sleep(2 * time.Second)
						fl.stages["desk-a"].SetLeaving("1")
						fl.stages["model-a"].SetLeaving("1")
						time.Sleep(2 * time.Second)
						c.meanwhile(fl)
						time.Sleep(4 * time.Second)
						is.Equal(fl.count(http.StatusOK), fl.totalRequests())
					})
				})
			}
		}
	}
}

// TestLastUpstreamLeaves guards against requests that are sent or wait although each upstream of the
// service has announced that it leaves.
func TestLastUpstreamLeaves(t *testing.T) {
	runFleet(t, 4, "/look/1", 60, func(is *is.I, fl *fleet) {
		time.Sleep(2 * time.Second)
		for _, dc := range dataCentres {
			fl.stages["desk-"+dc].SetLeaving("1")
		}
		time.Sleep(2 * time.Second)
		since := time.Now()
		fl.assertRetryLater(fl.request(http.MethodPost, "/look/1", "late", nil))
		is.True(time.Since(since) < 100*time.Millisecond)
		time.Sleep(2 * time.Second)
		for _, dc := range dataCentres {
			is.Equal(fl.served("desk-"+dc, since), 0)
		}
	})
}
