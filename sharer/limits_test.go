package sharer_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
)

// allHaveLimits reports whether all members know n limits in force.
func allHaveLimits(members []*member, n int) bool {
	for _, m := range members {
		if m.balancer.LimitCount() != n {
			return false
		}
	}
	return true
}

// TestLimitsReachFleet checks that all hosts learn of an upstream's limit within a second, and of
// its end even when a relay is lost.
func TestLimitsReachFleet(t *testing.T) {
	for _, size := range []struct{ centres, each int }{{1, 4}, {3, 8}, {5, 24}} {
		t.Run(fmt.Sprint(size.centres*size.each, " hosts"), func(t *testing.T) {
			runFleet(t, size.centres, size.each, func(is *is.I, fl *fleet) {
				first, last := fl.members[0], fl.members[len(fl.members)-1]
				fl.source.PutUpstream(balancer.Upstream{ID: "needy", Address: "1"})
				time.Sleep(3 * time.Second)
				now := fl.now()
				_, changed := first.balancer.ObserveLimit(now, now, "needy", 0, 2)
				is.True(changed)
				took := await(5*time.Second, func() bool { return allHaveLimits(fl.members, 1) })
				t.Logf("known to all hosts after %v", took)
				is.True(took <= time.Second)

				time.Sleep(time.Second)
				fl.relays("dc0")[0].kill()
				now = fl.now()
				_, changed = last.balancer.ObserveLimit(now, now, "needy", 0, limiter.Unlimited)
				is.True(changed)
				left := fl.without(fl.relays("dc0")[:1])
				took = await(5*time.Second, func() bool { return allHaveLimits(left, 0) })
				t.Logf("end of the limit known to all remaining hosts after %v, with a relay lost", took)
				is.True(took <= 2*time.Second)
			})
		})
	}
}

// TestStartedHostLearnsLimits checks that a host that has just started knows the limits of
// upstreams before it takes requests.
func TestStartedHostLearnsLimits(t *testing.T) {
	runFleet(t, 3, 8, func(is *is.I, fl *fleet) {
		fl.source.PutUpstream(balancer.Upstream{ID: "needy", Address: "1"})
		time.Sleep(2 * time.Second)
		now := fl.now()
		fl.members[0].balancer.ObserveLimit(now, now, "needy", 0, 2)
		time.Sleep(5 * time.Second)
		m := fl.members[9]
		m.kill()
		time.Sleep(time.Second)
		fl.listen(context.Background(), t, m)
		m.run()
		is.True(!m.share.KnowsLimits())
		took := await(5*time.Second, m.share.KnowsLimits)
		t.Logf("limits known to the started host after %v", took)
		is.True(took <= 500*time.Millisecond)
		is.Equal(m.balancer.LimitCount(), 1)
	})
}
