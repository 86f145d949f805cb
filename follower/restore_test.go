package follower_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/matcher"
)

// restoreFromCopy makes a source unreachable for two seconds and restores it from a copy.
func restoreFromCopy(src *faker.Directory, c *faker.Directory) {
	src.SetUnavailable(true)
	time.Sleep(2 * time.Second)
	src.Restore(c)
	src.SetUnavailable(false)
}

// TestSourceRestored checks that what a host knows beyond a source restored from a copy is kept
// while it may be written again, and no longer.
func TestSourceRestored(t *testing.T) {
	t.Run("configuration", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
			is := is.New(t)
			c := src.Snapshot()
			src.Configure(&matcher.Configuration{Version: 9})
			time.Sleep(time.Second)
			restoreFromCopy(src, c)
			time.Sleep(time.Second)
			is.Equal(fol.Table().Version, int64(9)) // the version never decreases
			is.True(fol.Age() > 2*time.Second)      // an older configuration does not confirm the newer one
			src.Configure(&matcher.Configuration{Version: 9})
			time.Sleep(time.Second)
			is.True(fol.Age() < time.Second)
		})
	})
	t.Run("configuration that is not written again", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
			is := is.New(t)
			c := src.Snapshot()
			src.Configure(&matcher.Configuration{Version: 9})
			time.Sleep(time.Second)
			restoreFromCopy(src, c)
			time.Sleep(4 * time.Second)
			is.Equal(fol.Table().Version, int64(9))
			is.True(fol.Age() < time.Second)
		})
	})
	t.Run("upstream that leaves", func(t *testing.T) {
		run(t, func(src *faker.Directory, _ *follower.Follower, b *balancer.Balancer) {
			is := is.New(t)
			c := src.Snapshot()
			src.PutUpstream(balancer.Upstream{ID: "one", Address: "1", Leaving: true})
			time.Sleep(time.Second)
			restoreFromCopy(src, c)
			time.Sleep(time.Second)
			is.True(b.Upstreams()[0].Leaving)
		})
	})
	t.Run("upstream and host written since", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
			is := is.New(t)
			c := src.Snapshot()
			src.PutUpstream(balancer.Upstream{ID: "new", Address: "2"})
			src.AddHost(follower.Host{Name: "new", Address: "3", DataCentre: "a"})
			time.Sleep(time.Second)
			hosts := len(fol.Hosts())
			restoreFromCopy(src, c)
			time.Sleep(time.Second)
			is.True(isListed(b, "new")) // its entry may be written again
			is.Equal(len(fol.Hosts()), hosts)
			src.PutUpstream(balancer.Upstream{ID: "new", Address: "2"})
			time.Sleep(3 * time.Second)
			is.True(isListed(b, "new"))
			is.Equal(len(fol.Hosts()), hosts-1) // its entry was not written again
		})
	})
	t.Run("peer that has not noticed", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
			is := is.New(t)
			c := src.Snapshot()
			for n := range 20 {
				src.PutUpstream(balancer.Upstream{ID: "two", Address: "2", StartedAt: int64(n)})
			}
			time.Sleep(time.Second)
			before := fol.Position()
			restoreFromCopy(src, c)
			time.Sleep(3 * time.Second)
			at := fol.Position()
			is.True(at.Era > before.Era)
			fol.ApplyPeerState(fol.Now(), &follower.State{Version: 3, Position: before, Update: &follower.Update{After: at, Position: before}})
			fol.ApplyPeerUpstreams(nil, before)
			is.Equal(fol.Position(), at)
			is.True(isListed(b, "one"))
		})
	})
}
