package follower_test

import (
	"context"
	"slices"
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

// slowSource is a source whose lists take long to read.
type slowSource struct {
	*faker.Directory
	loadDuration time.Duration
	// entryCalls counts the calls that read entries.
	entryCalls atomic.Int64
}

func (l *slowSource) Load(ctx context.Context, delay follower.LoadDelay) (*follower.Changes, error) {
	l.entryCalls.Add(1)
	select {
	case <-time.After(l.loadDuration):
		return l.Directory.Load(ctx, delay)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *slowSource) Changes(ctx context.Context, after follower.Position, wait time.Duration) (*follower.Changes, error) {
	l.entryCalls.Add(1)
	return l.Directory.Changes(ctx, after, wait)
}

// runSlow follows a slow source in virtual time.
func runSlow(t *testing.T, loadDuration time.Duration, reads func() bool, f func(src *slowSource, fol *follower.Follower)) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		src := &slowSource{Directory: new(faker.Directory), loadDuration: loadDuration}
		src.Configure(&matcher.Configuration{Version: 3})
		src.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Second }
		fol := &follower.Follower{Source: src, Balancer: new(balancer.Balancer), Now: now, ReadsSource: reads}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			fol.Run(ctx)
		}()
		f(src, fol)
		cancel()
		<-done
	})
}

// TestLongLoad guards against a load timeout so short that the hosts of a large fleet, all
// restarted at once, each start the reading again and never finish it.
func TestLongLoad(t *testing.T) {
	runSlow(t, 5*time.Second, nil, func(_ *slowSource, fol *follower.Follower) {
		time.Sleep(7 * time.Second)
		is.New(t).True(fol.Table() != nil)
		is.New(t).True(fol.Age() < 2500*time.Millisecond)
	})
}

// TestConfigurationAlone checks that a host of a large fleet does not read all entries that were
// rewritten since its last read when only the configuration has changed.
func TestConfigurationAlone(t *testing.T) {
	never := func() bool { return false }
	runSlow(t, 0, never, func(src *slowSource, fol *follower.Follower) {
		is := is.New(t)
		time.Sleep(500 * time.Millisecond)
		before := src.entryCalls.Load()
		src.Configure(&matcher.Configuration{Version: 4})
		fol.ApplyPeerState(fol.Now(), &follower.State{Version: 4, Position: fol.Position()})
		time.Sleep(500 * time.Millisecond)
		is.Equal(fol.Table().Version, int64(4))
		is.Equal(src.entryCalls.Load(), before)
	})
}

// TestLoadsStaggered checks that hosts of a large fleet that start together do not all read long
// lists at once.
func TestLoadsStaggered(t *testing.T) {
	is := is.New(t)
	const hosts = 300
	all := make([]follower.Host, hosts)
	for i := range all {
		all[i] = follower.Host{Name: "host-" + strconv.Itoa(i)}
	}
	begin := make(map[time.Duration]int)
	for i := range all {
		runLoadDelay(t, all[i].Name, slices.Concat(all[:i], all[i+1:]), func(at time.Duration) { begin[at]++ })
	}
	for at, n := range begin {
		is.True(at < 6*time.Second)
		is.Equal(n, 1)
	}
}

// runLoadDelay passes to f the delay after which a host starts to read long lists.
func runLoadDelay(t *testing.T, name string, others []follower.Host, f func(at time.Duration)) {
	t.Helper()
	src := &loadDelaySource{Directory: new(faker.Directory), others: others, delays: make(chan time.Duration, 1)}
	fol := &follower.Follower{Host: name, Source: src, Balancer: new(balancer.Balancer), Now: func() time.Duration { return time.Second }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		fol.Run(ctx)
	}()
	f(<-src.delays)
	cancel()
	<-done
}

// loadDelaySource is a source with long lists that records the delay a host is given.
type loadDelaySource struct {
	*faker.Directory
	others []follower.Host
	delays chan time.Duration
}

func (s *loadDelaySource) Load(ctx context.Context, delay follower.LoadDelay) (*follower.Changes, error) {
	select {
	case s.delays <- delay(s.others):
	default:
	}
	return s.Directory.Load(ctx, delay)
}

// staleSource is a source whose stale reads return a configuration of two seconds ago.
type staleSource struct {
	*faker.Directory
	old   *matcher.Configuration
	stale atomic.Int64
	fresh atomic.Int64
}

func (s *staleSource) Configuration(ctx context.Context, fresh bool) (*matcher.Configuration, error) {
	if fresh {
		s.fresh.Add(1)
		return s.Directory.Configuration(ctx, true)
	}
	s.stale.Add(1)
	return s.old, nil
}

// TestStaleConfiguration guards against a new configuration that is missed because each read of it
// comes from an old copy, and against one that an old copy counts as confirmed.
func TestStaleConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		src := &staleSource{Directory: new(faker.Directory), old: &matcher.Configuration{Version: 3}}
		src.Configure(src.old)
		var reads atomic.Bool
		reads.Store(true)
		fol := &follower.Follower{Source: src, Balancer: new(balancer.Balancer), Now: func() time.Duration { return time.Since(started) + time.Second }, ReadsSource: reads.Load}
		ctx, cancel := context.WithCancel(t.Context())
		go fol.Run(ctx)
		time.Sleep(time.Second)
		reads.Store(false)
		src.Configure(&matcher.Configuration{Version: 4})
		noticed := fol.Now()
		for fol.Table().Version < 4 && fol.Now()-noticed < 3*time.Second {
			age := fol.Age()
			fol.ApplyPeerState(fol.Now(), &follower.State{Version: 4, Position: fol.Position()})
			time.Sleep(100 * time.Millisecond)
			is.True(fol.Table().Version == 4 || fol.Age() > age)
		}
		is.True(fol.Now()-noticed <= 1300*time.Millisecond)
		is.True(src.stale.Load() >= 1)
		is.Equal(src.fresh.Load(), int64(1))
		cancel()
		time.Sleep(time.Second)
	})
}
