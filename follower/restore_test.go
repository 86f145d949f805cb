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

// restore has a source be away for two seconds and come back from a copy.
func restore(src *faker.Directory, c *faker.Directory) {
	src.SetAway(true)
	time.Sleep(2 * time.Second)
	src.Restore(c)
	src.SetAway(false)
}

// TestRestored guards against what a host knows better than a source that came back from a
// copy: it is kept while it may be written again, and not longer.
func TestRestored(t *testing.T) {
	t.Run("configuration", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
			is := is.New(t)
			c := src.Copy()
			src.Configure(&matcher.Configuration{Version: 9})
			time.Sleep(time.Second)
			restore(src, c)
			time.Sleep(time.Second)
			is.Equal(fol.Table().Version, int64(9)) // never back
			is.True(fol.Age() > 2*time.Second)      // an older one shows nothing of the newer
			src.Configure(&matcher.Configuration{Version: 9})
			time.Sleep(time.Second)
			is.True(fol.Age() < time.Second)
		})
	})
	t.Run("configuration that is not written again", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
			is := is.New(t)
			c := src.Copy()
			src.Configure(&matcher.Configuration{Version: 9})
			time.Sleep(time.Second)
			restore(src, c)
			time.Sleep(4 * time.Second)
			is.Equal(fol.Table().Version, int64(9))
			is.True(fol.Age() < time.Second)
		})
	})
	t.Run("upstream that leaves", func(t *testing.T) {
		run(t, func(src *faker.Directory, _ *follower.Follower, b *balancer.Balancer) {
			is := is.New(t)
			c := src.Copy()
			src.List(balancer.Upstream{ID: "one", Address: "1", Leaving: true})
			time.Sleep(time.Second)
			restore(src, c)
			time.Sleep(time.Second)
			is.True(b.Listed()[0].Leaving)
		})
	})
	t.Run("upstream and host written since", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
			is := is.New(t)
			c := src.Copy()
			src.List(balancer.Upstream{ID: "new", Address: "2"})
			src.Host(follower.Host{Name: "new", Address: "3", DataCentre: "a"})
			time.Sleep(time.Second)
			hosts := len(fol.Hosts())
			restore(src, c)
			time.Sleep(time.Second)
			is.True(listed(b, "new")) // it may be written again
			is.Equal(len(fol.Hosts()), hosts)
			src.List(balancer.Upstream{ID: "new", Address: "2"})
			time.Sleep(3 * time.Second)
			is.True(listed(b, "new"))
			is.Equal(len(fol.Hosts()), hosts-1) // it was not
		})
	})
	t.Run("peer that has not noticed", func(t *testing.T) {
		run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
			is := is.New(t)
			c := src.Copy()
			for n := range 20 {
				src.List(balancer.Upstream{ID: "two", Address: "2", Born: int64(n)})
			}
			time.Sleep(time.Second)
			before := fol.Position()
			restore(src, c)
			time.Sleep(3 * time.Second)
			at := fol.Position()
			is.True(at.Era > before.Era)
			fol.Told(fol.Now(), &follower.State{Version: 3, Position: before, Update: &follower.Update{After: at, Position: before}})
			fol.Listed(nil, before)
			is.Equal(fol.Position(), at)
			is.True(listed(b, "one"))
		})
	})
}
