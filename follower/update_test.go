package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
)

// listed reports whether an upstream is known.
func listed(b *balancer.Balancer, id string) bool {
	for _, u := range b.Listed() {
		if u.ID == id {
			return true
		}
	}
	return false
}

// TestToldBackAfterOutage guards against an upstream that is lost to the hosts which a
// relay serves, since its entry lapsed and came back while the relay was in an outage.
func TestToldBackAfterOutage(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
		is := is.New(t)
		before := fol.Position()
		src.SetAway(true)
		time.Sleep(5 * time.Second)
		src.Drop("one")
		between := plus(before, 1) // of a peer that read on all the while, and dropped it
		src.SetAway(false)
		time.Sleep(time.Second)
		is.True(fol.State(before).Update == nil) // it is neither gone nor back
		src.List(balancer.Upstream{ID: "one", Address: "1"})
		time.Sleep(time.Second)
		u := fol.State(between).Update
		is.True(u != nil)
		is.Equal(len(u.Listed), 1)
		is.Equal(u.Listed[0].ID, "one")
	})
}

// TestToldInOutage guards against an upstream that a host drops though it came back: it
// read that the entry had lapsed, and a relay told it of later changes only.
func TestToldInOutage(t *testing.T) {
	never := func() bool { return false }
	runReading(t, never, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer, _ *counted) {
		is := is.New(t)
		src.SetAway(true)
		time.Sleep(5 * time.Second)
		src.Drop("one")
		src.SetAway(false)
		time.Sleep(time.Second)
		is.True(listed(b, "one"))
		src.List(balancer.Upstream{ID: "one", Address: "1"})
		at := fol.Position()
		fol.Told(7*time.Second, &follower.State{Version: 3, Position: plus(at, 1), Update: &follower.Update{After: at, Position: plus(at, 1)}})
		time.Sleep(5 * time.Second)
		is.True(listed(b, "one"))
	})
}

// TestToldWhileReading guards against an answer of the source that undoes what a peer
// told meanwhile.
func TestToldWhileReading(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		ready := balancer.Upstream{ID: "one", Address: "1"}
		leaving := ready
		leaving.Leaving = true
		for range 10 {
			time.Sleep(1065 * time.Millisecond) // at another moment of a call each time
			at := fol.Position()
			update := &follower.Update{After: at, Position: plus(at, 2), Listed: []balancer.Upstream{leaving}}
			fol.Told(0, &follower.State{Version: 3, Position: plus(at, 2), Update: update})
			src.List(ready) // the change before that one
			time.Sleep(20 * time.Millisecond)
			is.True(b.Listed()[0].Leaving)
			src.List(leaving)
			time.Sleep(time.Second)
			is.True(b.Listed()[0].Leaving)
			src.List(ready)
		}
	})
}
