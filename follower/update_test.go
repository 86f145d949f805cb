package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
)

// isListed reports whether the balancer lists an upstream.
func isListed(b *balancer.Balancer, id string) bool {
	for _, u := range b.Upstreams() {
		if u.ID == id {
			return true
		}
	}
	return false
}

// TestUpdateListsReturnedUpstream checks that hosts served by a relay get an upstream back whose
// entry expired and returned while the relay was in an outage.
func TestUpdateListsReturnedUpstream(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
		is := is.New(t)
		before := fol.Position()
		src.SetUnavailable(true)
		time.Sleep(5 * time.Second)
		src.DeleteUpstream("one")
		between := plus(before, 1) // position of a peer that had no outage and removed the upstream
		src.SetUnavailable(false)
		time.Sleep(time.Second)
		is.True(fol.State(before).Update == nil) // whether the entry returns is not known yet
		src.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
		time.Sleep(time.Second)
		u := fol.State(between).Update
		is.True(u != nil)
		is.Equal(len(u.Listed), 1)
		is.Equal(u.Listed[0].ID, "one")
	})
}

// TestPeerUpdateWhileEntriesMissing checks that a host that read that an entry expired does not
// remove the returned upstream because a relay sends it only later changes.
func TestPeerUpdateWhileEntriesMissing(t *testing.T) {
	never := func() bool { return false }
	runReading(t, never, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer, _ *countingSource) {
		is := is.New(t)
		src.SetUnavailable(true)
		time.Sleep(5 * time.Second)
		src.DeleteUpstream("one")
		src.SetUnavailable(false)
		time.Sleep(time.Second)
		is.True(isListed(b, "one"))
		src.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
		at := fol.Position()
		fol.ApplyPeerState(7*time.Second, &follower.State{Version: 3, Position: plus(at, 1), Update: &follower.Update{After: at, Position: plus(at, 1)}})
		time.Sleep(5 * time.Second)
		is.True(isListed(b, "one"))
	})
}

// TestPeerUpdateDuringCall checks that an answer of the source does not undo a later update that a
// peer sent while the call was in progress.
func TestPeerUpdateDuringCall(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		ready := balancer.Upstream{ID: "one", Address: "1"}
		leaving := ready
		leaving.Leaving = true
		for range 10 {
			time.Sleep(1065 * time.Millisecond) // at another phase of the poll cycle each time
			at := fol.Position()
			update := &follower.Update{After: at, Position: plus(at, 2), Listed: []balancer.Upstream{leaving}}
			fol.ApplyPeerState(0, &follower.State{Version: 3, Position: plus(at, 2), Update: update})
			src.PutUpstream(ready) // the change before the one in the update
			time.Sleep(20 * time.Millisecond)
			is.True(b.Upstreams()[0].Leaving)
			src.PutUpstream(leaving)
			time.Sleep(time.Second)
			is.True(b.Upstreams()[0].Leaving)
			src.PutUpstream(ready)
		}
	})
}

// TestOwnEntryOfPeer guards against a host that takes itself for another one, since a peer's update lists all
// hosts: it then sees both relays of its data centre in itself and reads the source only now and then.
func TestOwnEntryOfPeer(t *testing.T) {
	run(t, func(_ *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
		is := is.New(t)
		at := fol.Position()
		list := []follower.Host{{Name: fol.Host, Address: "1", DataCentre: "a"}, {Name: "another", Address: "2", DataCentre: "a"}}
		update := &follower.Update{After: at, Position: plus(at, 1), Hosts: list}
		fol.ApplyPeerState(fol.Now(), &follower.State{Version: 3, Position: plus(at, 1), Update: update})
		is.Equal(fol.Hosts(), list[1:])
		is.Equal(len(fol.State(at).Update.Hosts), 2) // others are told of both
	})
}

// TestLateEntryAfterUpdate guards against a host that takes an entry which the source carried out late, since it learned of
// the removal from a peer and does not know how far the numbers of the entry had come.
func TestLateEntryAfterUpdate(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		entry := balancer.Upstream{ID: "two", Address: "2", StartedAt: 1, Sequence: 3}
		src.PutUpstream(entry)
		time.Sleep(time.Second)
		at := fol.Position()
		update := &follower.Update{After: at, Position: plus(at, 1), Removed: []string{"two"}, RemovedEntries: []balancer.RemovedEntry{{ID: "two", StartedAt: 1, Sequence: 9}}}
		fol.ApplyPeerState(fol.Now(), &follower.State{Version: 3, Position: plus(at, 1), Update: update})
		is.Equal(fol.State(at).Update.RemovedEntries, update.RemovedEntries) // passed on
		src.DeleteUpstream("two")
		entry.Sequence = 8
		src.PutUpstream(entry)
		time.Sleep(time.Second)
		is.True(!isListed(b, "two"))
		entry.Sequence = 10
		src.PutUpstream(entry)
		time.Sleep(time.Second)
		is.True(isListed(b, "two"))
	})
}
