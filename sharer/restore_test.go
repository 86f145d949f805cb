package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// TestFleetRestored checks that all hosts of a large fleet know the content of a source soon after
// it was restored from a copy, and that not all of them read everything.
func TestFleetRestored(t *testing.T) {
	for _, size := range []struct{ centres, each int }{{2, 2}, {3, 8}, {5, 24}, {5, 60}} {
		// overtaken: the restored source has issued more revisions than were lost by the restore.
		for _, overtaken := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, overtaken %t", size.centres*size.each, overtaken), func(t *testing.T) {
				runFleet(t, size.centres, size.each, func(is *is.I, fl *fleet) {
					fl.source.PutUpstream(balancer.Upstream{ID: "leaves", Address: "1"})
					time.Sleep(2 * time.Second)
					c := fl.source.Snapshot()
					time.Sleep(3 * time.Second)
					fl.source.SetUnavailable(true)
					time.Sleep(1500 * time.Millisecond)
					fl.source.Restore(c)
					fl.source.PutUpstream(balancer.Upstream{ID: "leaves", Address: "1", Leaving: true})
					if overtaken {
						for n := range 200 {
							fl.source.PutUpstream(balancer.Upstream{ID: "other", Address: "2", StartedAt: int64(n)})
						}
					}
					fl.calls.Store(0)
					fl.source.SetUnavailable(false)
					took := await(5*time.Second, func() bool { return allKnow(fl.members, "leaves", true) })
					time.Sleep(max(0, 5*time.Second-took))
					t.Logf("all hosts up to date after %v, %d calls to the source in 5 s", took, fl.calls.Load())
					is.True(took <= 1500*time.Millisecond)
					is.True(fl.calls.Load() <= int64(25*size.centres+2*len(fl.members)))
					for _, m := range fl.members {
						is.Equal(m.follow.Position().Era, int64(1))
					}
				})
			})
		}
	}
}
