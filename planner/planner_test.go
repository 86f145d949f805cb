package planner_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/planner"
	"github.com/sardineward/sardineward/storer"
)

// fakeEngine records the orders that it takes. Orders can be blocked on their way to it, as those
// of a paused host are.
type fakeEngine struct {
	mu sync.Mutex
	// checksFence is set if it refuses stale fencing tokens.
	checksFence bool
	loaded      planner.Target
	fence       int64
	orders      []planner.Order
	// blocked has the paused hosts. Their orders wait until the channel is closed.
	blocked map[string]chan struct{}
}

// hostClient sends the orders of one host to a fake engine.
type hostClient struct {
	*fakeEngine
	host string
}

func (d hostClient) Loaded(context.Context, string) (planner.Target, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.loaded, nil
}

// Order ignores its deadline while it is blocked, as a paused process cannot act on a timeout.
func (d hostClient) Order(ctx context.Context, _ string, o planner.Order) error {
	d.mu.Lock()
	blocked := d.blocked[d.host]
	d.mu.Unlock()
	if blocked != nil {
		<-blocked
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.checksFence && o.Fence < d.fence {
		return planner.ErrFenced
	}
	d.fence = max(d.fence, o.Fence)
	d.loaded = o.Target
	d.orders = append(d.orders, o)
	return nil
}

// pause blocks the orders of a host until wake is called.
func (g *fakeEngine) pause(host string) (wake func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ch := make(chan struct{})
	g.blocked[host] = ch
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.blocked, host)
		close(ch)
	}
}

// lease and pause are the values of LeaseTTL and MaxPause of all planners.
const (
	lease = 5 * time.Second
	pause = 10 * time.Second
)

// newPlanner returns the planner of a host that wants a version.
func newPlanner(t *testing.T, name, version string, p storer.Store, g *fakeEngine) *planner.Planner {
	return &planner.Planner{
		Store: p, Engines: hostClient{g, name}, Host: name, DataCentre: "north", LeaseTTL: lease, MaxPause: pause,
		Assignments: func() []planner.Assignment {
			return []planner.Assignment{{Upstream: builder.Upstream{Name: "e", Address: "e"}, ChecksFence: g.checksFence, Target: planner.Target{Model: "m", Version: version}}}
		},
		MayLoad:     func(string) bool { return true },
		LoadSpacing: func(planner.Target) time.Duration { return 0 },
		Checker:     &checker.Checker{Fail: func(v checker.Violation) { t.Error(v) }},
	}
}

// stallingStore is a store on which the lease extensions of one host can be blocked.
type stallingStore struct {
	storer.Store
	mu      sync.Mutex
	stalled chan struct{}
}

func (s *stallingStore) KeepAlive(ctx context.Context, id int64) error {
	s.mu.Lock()
	stalled := s.stalled
	s.mu.Unlock()
	if stalled != nil {
		<-stalled
	}
	return s.Store.KeepAlive(ctx, id)
}

// TestPausedHolder guards against orders from a host that was paused past its lease.
func TestPausedHolder(t *testing.T) {
	for name, checksFence := range map[string]bool{"engine checks fence": true, "engine ignores fence": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				platform := new(faker.Platform)
				g := &fakeEngine{checksFence: checksFence, blocked: make(map[string]chan struct{})}
				ctx, cancel := context.WithCancel(context.Background())
				var wg sync.WaitGroup
				wake := g.pause("old")
				wg.Go(func() { newPlanner(t, "old", "1", platform, g).Run(ctx) })
				time.Sleep(lease + pause + lease)
				second := newPlanner(t, "new", "2", platform, g)
				wg.Go(func() { second.Run(ctx) })
				time.Sleep(3 * lease)
				wake()
				time.Sleep(6 * (lease + pause))
				g.mu.Lock()
				g.loaded = planner.Target{Version: "changed by hand"}
				g.mu.Unlock()
				time.Sleep(2 * (lease + pause))
				assertFencesRise(t, g)
				cancel()
				wg.Wait()
			})
		})
	}
}

// assertFencesRise checks that no order has a lower fencing token than the one before.
func assertFencesRise(t *testing.T, g *fakeEngine) {
	t.Helper()
	g.mu.Lock()
	defer g.mu.Unlock()
	is := is.New(t)
	is.True(len(g.orders) > 0)
	for i := 1; i < len(g.orders); i++ {
		is.True(g.orders[i].Fence >= g.orders[i-1].Fence)
	}
}

// TestPausedBeforeRenewal guards against orders from a holder that has an order to give and is
// paused, before it extends its lease, for longer than the lease lasts.
func TestPausedBeforeRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := new(faker.Platform)
		g := &fakeEngine{blocked: make(map[string]chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		paused := &stallingStore{Store: platform}
		wg.Go(func() { newPlanner(t, "old", "1", paused, g).Run(ctx) })
		time.Sleep(lease + pause + lease)
		paused.mu.Lock()
		paused.stalled = make(chan struct{})
		paused.mu.Unlock()
		wg.Go(func() { newPlanner(t, "new", "2", platform, g).Run(ctx) })
		time.Sleep(lease + pause + 2*lease)
		is := is.New(t)
		g.mu.Lock()
		is.Equal(g.loaded.Version, "2")
		g.mu.Unlock()
		close(paused.stalled)
		time.Sleep(lease)
		g.mu.Lock()
		is.Equal(g.loaded.Version, "2")
		g.mu.Unlock()
		assertFencesRise(t, g)
		cancel()
		wg.Wait()
	})
}

// TestOneHolder guards against two hosts that give orders at the same time, or none once the
// platform is back, when three hosts try for the lease and the platform fails or loses answers.
func TestOneHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := new(faker.Platform)
		g := &fakeEngine{checksFence: true, blocked: make(map[string]chan struct{})}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var hosts []*planner.Planner
		for _, n := range []string{"a", "b", "c"} {
			p := newPlanner(t, n, n, platform, g)
			hosts = append(hosts, p)
			wg.Go(func() { p.Run(ctx) })
		}
		n := 0
		lose := func(storer.Write) bool { n++; return n%2 == 0 }
		for _, f := range []faker.Faults{{}, {Unavailable: true}, {}, {LoseResponse: lose}, {Delay: 2 * time.Second}, {}} {
			platform.SetFaults(f)
			time.Sleep(4 * lease)
			assertFencesRise(t, g)
		}
		holding := 0
		for _, p := range hosts {
			if p.Holding() {
				holding++
			}
		}
		is.New(t).Equal(holding, 1)
		cancel()
		wg.Wait()
	})
}

// TestFencedOrderEndsTerm guards against a holder that keeps its lease after an engine has refused
// an order for its fencing token.
func TestFencedOrderEndsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &fakeEngine{checksFence: true, fence: 100, blocked: make(map[string]chan struct{})}
		p := newPlanner(t, "a", "1", new(faker.Platform), g)
		ctx, cancel := context.WithTimeout(context.Background(), 3*lease)
		defer cancel()
		p.Run(ctx)
		is := is.New(t)
		is.True(p.FencedOrders.Load() > 0)
		is.Equal(p.Orders.Load(), int64(0))
	})
}
