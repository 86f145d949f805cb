package orderer_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/orderer"
	"github.com/sardineward/sardineward/picker"
)

// fakeEngines carries out orders and lists the result after drainTime.
type fakeEngines struct {
	mu          sync.Mutex
	b           *balancer.Balancer
	orderCounts map[string]int64
	orders      int
	// refusals is how many more orders to each address are refused.
	refusals map[string]int
	// drainTime is the time until an engine holds what it was ordered to hold.
	drainTime time.Duration
	upstreams map[string]balancer.Upstream
	// largest holds the most layers that each engine was ordered to hold, by address.
	largest map[string]int
}

func (e *fakeEngines) Place(_ context.Context, to balancer.Hop, s balancer.Span, expected int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	e.largest[to.Address] = max(e.largest[to.Address], s.Len())
	if e.refusals[to.Address] > 0 {
		e.refusals[to.Address]--
		return orderer.ErrRefused
	}
	if e.orderCounts[to.Address] != expected {
		return orderer.ErrRefused
	}
	e.orderCounts[to.Address]++
	u := e.upstreams[to.Address]
	u.Layers = s
	e.upstreams[to.Address] = u
	time.AfterFunc(e.drainTime, func() { e.b.UpdateUpstreams([]balancer.Upstream{u}, nil) })
	return nil
}

func (e *fakeEngines) OrderCount(_ context.Context, u balancer.Hop) (int64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orderCounts[u.Address], nil
}

// runOrderer runs an orderer for twelve engines in virtual time.
func runOrderer(t *testing.T, f func(e *fakeEngines, holds *atomic.Bool)) {
	t.Helper()
	synctest.Test(t, func(_ *testing.T) {
		service := &matcher.Service{Name: "model", Engine: &matcher.Engine{
			Layers: 40, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, PerSequenceMs: 0.005, LoadTime: 14 * time.Second, Prompt: 700, Answer: 200,
			Cards: []matcher.Card{{Name: "x", MB: 14400, StepTimeFactor: 1, ReadTimeFactor: 1}},
		}}
		services := map[string]*matcher.Service{"model": service}
		b := &balancer.Balancer{Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(1, 1))}
		b.Configure(services)
		e := &fakeEngines{b: b, orderCounts: make(map[string]int64), refusals: make(map[string]int), largest: make(map[string]int), drainTime: time.Second, upstreams: make(map[string]balancer.Upstream)}
		for n := range 12 {
			u := balancer.Upstream{ID: fmt.Sprint("e", n), Service: "model", Address: fmt.Sprint("10.0.0.", n), DataCentre: "a", Card: "x", StartedAt: 1}
			e.upstreams[u.Address] = u
			b.UpdateUpstreams([]balancer.Upstream{u}, nil)
		}
		var holds atomic.Bool
		holds.Store(true)
		started := time.Now()
		o := &orderer.Orderer{
			Balancer: b, Engines: e, Services: func() map[string]*matcher.Service { return services },
			Holds: func(string) bool { return holds.Load() }, HoldsAny: holds.Load,
			Now: func() time.Duration { return time.Since(started) + time.Second }, Log: zerolog.Nop(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			o.Run(ctx)
		}()
		f(e, &holds)
		cancel()
		<-done
		time.Sleep(time.Minute)
	})
}

// assertCovered checks that every layer is held by a listed engine.
func (e *fakeEngines) assertCovered(t *testing.T) {
	t.Helper()
	held := make([]bool, 40)
	for _, u := range e.b.Upstreams() {
		for l := u.Layers.From; l < u.Layers.To; l++ {
			held[l] = true
		}
	}
	for l, ok := range held {
		if !ok {
			t.Fatalf("no listed engine holds layer %d", l)
		}
	}
}

func (e *fakeEngines) orderCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.orders
}

func TestInitialLayout(t *testing.T) {
	runOrderer(t, func(e *fakeEngines, _ *atomic.Bool) {
		is := is.New(t)
		time.Sleep(5 * time.Second)
		e.assertCovered(t)
		is.Equal(e.orderCount(), 12) // one order an engine
		time.Sleep(time.Minute)
		is.Equal(e.orderCount(), 12) // and none after
	})
}

// TestUnknownCard guards against orders that do not fit, to an upstream whose entry another writer replaced with one that
// names no kind of accelerator, or one that the service does not have.
func TestUnknownCard(t *testing.T) {
	for _, card := range []string{"", "y"} {
		for _, holds := range []int{0, 8} {
			t.Run(fmt.Sprintf("kind %q, holds %d layers", card, holds), func(t *testing.T) {
				runOrderer(t, func(e *fakeEngines, _ *atomic.Bool) {
					u := balancer.Upstream{ID: "odd", Service: "model", Address: "10.0.1.1", DataCentre: "a", Card: card, StartedAt: 1, Layers: balancer.Span{To: holds}}
					e.b.UpdateUpstreams([]balancer.Upstream{u}, nil)
					time.Sleep(5 * time.Second)
					e.assertCovered(t)
					e.mu.Lock()
					defer e.mu.Unlock()
					is.New(t).True(e.largest[u.Address] <= holds)
				})
			})
		}
	}
}

// TestNoOrdersWithoutDuty checks that a host without the duty gives no orders.
func TestNoOrdersWithoutDuty(t *testing.T) {
	runOrderer(t, func(e *fakeEngines, holds *atomic.Bool) {
		holds.Store(false)
		time.Sleep(10 * time.Second)
		is.New(t).Equal(e.orderCount(), 0)
	})
}

// TestUnknownOrderCount guards against a new holder of the duty whose orders are refused for
// good, because it does not know how many orders an engine has taken.
func TestUnknownOrderCount(t *testing.T) {
	runOrderer(t, func(e *fakeEngines, _ *atomic.Bool) {
		e.mu.Lock()
		for address := range e.upstreams {
			e.orderCounts[address] = 3
		}
		e.mu.Unlock()
		time.Sleep(10 * time.Second)
		e.assertCovered(t)
	})
}

// TestLeavingEngineReplaced guards against layers of a leaving engine that a new, empty engine
// is not ordered to take at once.
func TestLeavingEngineReplaced(t *testing.T) {
	runOrderer(t, func(e *fakeEngines, _ *atomic.Bool) {
		time.Sleep(10 * time.Second)
		fresh := balancer.Upstream{ID: "new", Service: "model", Address: "10.0.0.99", DataCentre: "a", Card: "x", StartedAt: 9}
		e.mu.Lock()
		u := e.upstreams["10.0.0.3"]
		u.Leaving = true
		e.upstreams[fresh.Address] = fresh
		e.mu.Unlock()
		e.b.UpdateUpstreams([]balancer.Upstream{u, fresh}, nil)
		time.Sleep(1500 * time.Millisecond)
		e.b.UpdateUpstreams(nil, []string{u.ID})
		e.assertCovered(t)
	})
}

// TestNoMovesAfterPartition guards against engines moved for layers whose holders are about to
// return after a network partition.
func TestNoMovesAfterPartition(t *testing.T) {
	runOrderer(t, func(e *fakeEngines, holds *atomic.Bool) {
		is := is.New(t)
		time.Sleep(10 * time.Second)
		holds.Store(false)
		before := e.orderCount()
		time.Sleep(5 * time.Second)
		expired := []string{"10.0.0.3", "10.0.0.4", "10.0.0.8"}
		e.mu.Lock()
		var returning []balancer.Upstream
		var gone []string
		for _, address := range expired {
			returning = append(returning, e.upstreams[address])
			gone = append(gone, e.upstreams[address].ID)
		}
		e.mu.Unlock()
		e.b.UpdateUpstreams(nil, gone)
		time.Sleep(time.Second)
		holds.Store(true)
		time.Sleep(1500 * time.Millisecond)
		e.b.UpdateUpstreams(returning, nil)
		time.Sleep(10 * time.Second)
		is.Equal(e.orderCount(), before)
		e.assertCovered(t)
	})
}

// TestNoSecondOrderWhileDraining guards against a second engine that gives up its layers for a
// lost span while the engine ordered to take it first drains for long.
func TestNoSecondOrderWhileDraining(t *testing.T) {
	runOrderer(t, func(e *fakeEngines, _ *atomic.Bool) {
		is := is.New(t)
		time.Sleep(10 * time.Second)
		before := e.orderCount()
		e.mu.Lock()
		e.drainTime = 10 * time.Second
		e.mu.Unlock()
		e.b.UpdateUpstreams(nil, []string{"e3"})
		time.Sleep(18 * time.Second)
		is.True(e.orderCount() <= before+1)
		e.assertCovered(t)
	})
}
