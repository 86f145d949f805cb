package follower_test

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/matcher"
)

// run starts a follower of a source with configuration version 3 and the upstream "one", in virtual
// time, and calls f after one second.
func run(t *testing.T, f func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer)) {
	t.Helper()
	runCounted(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer, _ *countingSource) {
		f(src, fol, b)
	})
}

// runCounted is run for a test that counts the calls to the source.
func runCounted(t *testing.T, f func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer, c *countingSource)) {
	t.Helper()
	runReading(t, nil, f)
}

// runReading is runCounted for a host that reads the source while reads returns true; nil means
// always.
func runReading(t *testing.T, reads func() bool, f func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer, c *countingSource)) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		src := new(faker.Directory)
		src.Configure(&matcher.Configuration{Version: 3})
		src.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
		b := new(balancer.Balancer)
		started := time.Now()
		c := &countingSource{Source: src}
		fol := &follower.Follower{Host: "self", Source: c, Balancer: b, Now: func() time.Duration { return time.Since(started) + time.Second }, ReadsSource: reads}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			fol.Run(ctx)
		}()
		time.Sleep(time.Second)
		f(src, fol, b, c)
		cancel()
		<-done
	})
}

// TestAge checks that knowledge of a quiet source does not look stale, and that knowledge of an
// unreachable source does.
func TestAge(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
		is := is.New(t)
		for range 100 {
			time.Sleep(137 * time.Millisecond)
			is.True(fol.Age() <= 2500*time.Millisecond)
		}
		src.SetUnavailable(true)
		time.Sleep(10 * time.Second)
		is.True(fol.Age() > 9*time.Second)
		src.SetUnavailable(false)
		time.Sleep(time.Second)
		is.True(fol.Age() <= 2500*time.Millisecond)
	})
}

// countingSource counts the calls to Changes.
type countingSource struct {
	follower.Source
	calls atomic.Int64
}

func (c *countingSource) Changes(ctx context.Context, after follower.Position, wait time.Duration) (*follower.Changes, error) {
	c.calls.Add(1)
	return c.Source.Changes(ctx, after, wait)
}

// TestSourceCallRate checks that the call rate at the source does not grow in proportion to the
// number of hosts.
func TestSourceCallRate(t *testing.T) {
	for _, tc := range []struct {
		hosts int
		// most is the highest permitted rate of calls per second.
		most float64
	}{{4, 3}, {25, 30.0 / 25}} {
		t.Run(strconv.Itoa(tc.hosts), func(t *testing.T) {
			runCounted(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer, c *countingSource) {
				for i := range tc.hosts - 1 {
					src.AddHost(follower.Host{Name: strconv.Itoa(i), Address: "1", DataCentre: "a"})
				}
				time.Sleep(2 * time.Second)
				c.calls.Store(0)
				const length = 20 * time.Second
				for range length / (20 * time.Millisecond) {
					src.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
					time.Sleep(20 * time.Millisecond)
				}
				is.New(t).True(float64(c.calls.Load()) <= tc.most*length.Seconds())
				is.New(t).True(fol.Age() <= 2*time.Second)
			})
		})
	}
}

// TestOutage checks that upstreams whose entry expired in an outage stay until they had time to
// register again.
func TestOutage(t *testing.T) {
	run(t, func(src *faker.Directory, _ *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		src.PutUpstream(balancer.Upstream{ID: "two", Address: "2"})
		time.Sleep(time.Second)
		src.SetUnavailable(true)
		src.DeleteUpstream("one")
		src.DeleteUpstream("two")
		time.Sleep(5 * time.Second)
		src.SetUnavailable(false)
		time.Sleep(time.Second)
		is.Equal(len(b.IDs()), 2)
		src.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
		time.Sleep(5 * time.Second)
		is.Equal(b.IDs(), []string{"one"})
		src.DeleteUpstream("one")
		time.Sleep(time.Second)
		is.Equal(len(b.IDs()), 0) // removed at once while the source is reachable
	})
}

// TestCompacted checks a source that compacts its history while it is unreachable and its upstreams
// and configuration change.
func TestCompacted(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		src.SetUnavailable(true)
		src.DeleteUpstream("one")
		src.PutUpstream(balancer.Upstream{ID: "two", Address: "2"})
		src.Configure(&matcher.Configuration{Version: 9})
		src.Compact()
		src.SetUnavailable(false)
		time.Sleep(8 * time.Second)
		is.Equal(b.IDs(), []string{"two"})
		is.Equal(fol.Table().Version, int64(9))
	})
}

// TestPeerConfiguration checks that a host takes no older configuration from a peer.
func TestPeerConfiguration(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, _ *balancer.Balancer) {
		is := is.New(t)
		src.SetUnavailable(true)
		time.Sleep(10 * time.Second)
		sent := 12 * time.Second
		fol.ApplyPeerConfiguration(sent, time.Second, 4, nil) // the peer reports a version that this host does not have
		is.True(fol.Age() > 9*time.Second)
		fol.ApplyPeerConfiguration(sent, time.Second, 4, &matcher.Configuration{Version: 4})
		is.True(fol.Age() < 2*time.Second)
		is.True(fol.OwnAge() > 9*time.Second)
		fol.ApplyPeerConfiguration(sent, time.Second, 2, &matcher.Configuration{Version: 2})
		is.Equal(fol.Table().Version, int64(4))
	})
}

// TestRemovedAfterOutage checks that an upstream that leaves right after an outage is removed, so
// that it gets no more requests.
func TestRemovedAfterOutage(t *testing.T) {
	run(t, func(src *faker.Directory, _ *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		src.SetUnavailable(true)
		time.Sleep(7 * time.Second)
		src.SetUnavailable(false)
		time.Sleep(time.Second)
		src.DeleteUpstream("one")
		time.Sleep(time.Second)
		is.Equal(len(b.IDs()), 0)
	})
}

// TestOlderList checks that a late answer of a peer does not put a leaving upstream back into use.
func TestOlderList(t *testing.T) {
	run(t, func(src *faker.Directory, fol *follower.Follower, b *balancer.Balancer) {
		is := is.New(t)
		leaving := func() bool { return b.Upstreams()[0].Leaving }
		before := fol.Position()
		src.PutUpstream(balancer.Upstream{ID: "one", Address: "1", Leaving: true})
		time.Sleep(time.Second)
		is.True(leaving())
		fol.ApplyPeerUpstreams([]balancer.Upstream{{ID: "one", Address: "1"}}, before)
		is.True(leaving())
		fol.ApplyPeerUpstreams([]balancer.Upstream{{ID: "one", Address: "1"}}, fol.Position())
		is.True(leaving()) // at the same position, what this host read itself wins
		fol.ApplyPeerUpstreams([]balancer.Upstream{{ID: "one", Address: "1"}, {ID: "two", Address: "2"}}, plus(fol.Position(), 2))
		is.Equal(len(b.IDs()), 2)
		fol.ApplyPeerUpstreams([]balancer.Upstream{{ID: "one", Address: "1"}}, plus(fol.Position(), 1))
		is.Equal(len(b.IDs()), 2) // the peer is at an older position
	})
}

// plus returns the position n changes after p.
func plus(p follower.Position, n int64) follower.Position {
	p.Revision += n
	return p
}
