package pacer_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/pacer"
	"github.com/sardineward/sardineward/picker"
)

const (
	ranges = 10
	slow   = "engine-3"
)

// engines report a pace each; 0 means that they do not answer.
type engines struct {
	mu    sync.Mutex
	paces map[string]float64
	asked map[string]int
}

func newEngines() *engines {
	e := &engines{paces: make(map[string]float64), asked: make(map[string]int)}
	for i := range ranges {
		e.paces[fmt.Sprint("engine-", i)] = 1
	}
	return e
}

func (e *engines) Pace(_ context.Context, address string) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.asked[address]++
	p := e.paces[address]
	if p == 0 {
		return 0, errors.New("no answer")
	}
	return p, nil
}

// total is how often all engines were asked.
func (e *engines) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := 0
	for _, n := range e.asked {
		out += n
	}
	return out
}

// run has some hosts pass streams over ten engines in a row, in virtual time. Each
// host tells the others what it knows every 200 ms, and notes an event of a stream
// every 50 ms: a slow one while late says so.
func run(t *testing.T, e *engines, hosts int, length time.Duration, late func(at time.Duration) bool) []*balancer.Balancer {
	t.Helper()
	all := make([]*balancer.Balancer, hosts)
	synctest.Test(t, func(*testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Second }
		ctx, cancel := context.WithCancel(context.Background())
		leases := make([]*balancer.Lease, hosts)
		for i := range all {
			all[i] = row()
			leases[i], _ = all[i].Acquire(now(), balancer.Need{Service: "model", Prompt: 700, Answer: 200})
			p := &pacer.Pacer{Balancer: all[i], Engines: e, Now: now, Log: zerolog.Nop()}
			go p.Run(ctx)
		}
		const event = 50 * time.Millisecond
		for n := 0; time.Since(started) < length; n++ {
			time.Sleep(event)
			for i, b := range all {
				if late(time.Since(started)) {
					b.Slow(now(), leases[i])
				}
				if n%4 == 0 {
					tell(now(), i, all)
				}
			}
		}
		cancel()
		synctest.Wait()
	})
	return all
}

// row is a balancer before engines that hold a part of a model each.
func row() *balancer.Balancer {
	b := &balancer.Balancer{Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(1, 1))}
	e := &matcher.Engine{Layers: 4 * ranges, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, ReadPerSecond: 164000}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
	for i := range ranges {
		id := fmt.Sprint("engine-", i)
		b.List([]balancer.Upstream{{ID: id, Address: id, Service: "model", Holds: balancer.Span{From: 4 * i, To: 4 * (i + 1)}}}, nil)
	}
	return b
}

// tell has one host tell all others what it has in flight.
func tell(now time.Duration, from int, all []*balancer.Balancer) {
	for i, to := range all {
		if i != from {
			if err := to.SetReport(now, fmt.Sprint(from), all[from].Usage(now)); err != nil {
				panic(err)
			}
		}
	}
}

// told is the pace that one host last told another of an engine; 0 is none.
func told(b *balancer.Balancer, from int, id string) float64 {
	for _, p := range b.ReportOf(fmt.Sprint(from)).Usage {
		if p.Upstream == id {
			return p.Pace
		}
	}
	return 0
}

// TestCalm guards against questions to engines on a calm day.
func TestCalm(t *testing.T) {
	e := newEngines()
	run(t, e, 4, 10*time.Second, func(at time.Duration) bool { return at == 5*time.Second })
	is.New(t).Equal(e.total(), 0)
}

// TestSlowLearnt guards against a slow engine that hosts do not learn of, or all ask.
func TestSlowLearnt(t *testing.T) {
	for _, n := range []int{1, 4, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			const seconds = 6
			e := newEngines()
			e.paces[slow] = 12
			all := run(t, e, n, seconds*time.Second, func(time.Duration) bool { return true })
			known := 0
			for i, b := range all {
				for k := range all {
					if k != i && told(b, k, slow) == 12 {
						known++
						break
					}
				}
			}
			is.True(n == 1 || known >= n-1) // the one that asked may be the only one to tell
			// All hosts may ask at first, before any has told; then one does.
			is.True(e.total() <= ranges*(n+2*seconds))
		})
	}
}

// TestBack guards against an engine that stays slow for hosts after it is fast again.
func TestBack(t *testing.T) {
	is := is.New(t)
	e := newEngines()
	e.paces[slow] = 12
	all := run(t, e, 1, 8*time.Second, func(at time.Duration) bool {
		if at >= 4*time.Second {
			e.mu.Lock()
			e.paces[slow] = 1
			e.mu.Unlock()
		}
		return at < time.Second
	})
	is.True(e.asked[slow] >= 3)
	for _, p := range all[0].Usage(9 * time.Second).Usage {
		is.True(p.Upstream != slow || p.Pace <= 1)
	}
}

// TestImpossible guards against an impossible pace that is believed.
func TestImpossible(t *testing.T) {
	for _, pace := range []float64{0, -3, 1e9} {
		t.Run(fmt.Sprint(pace), func(t *testing.T) {
			e := newEngines()
			e.paces[slow] = pace
			all := run(t, e, 2, 3*time.Second, func(time.Duration) bool { return true })
			is := is.New(t)
			is.True(e.asked[slow] > 0)
			is.Equal(told(all[0], 1, slow), 0.0)
			is.Equal(told(all[1], 0, slow), 0.0)
		})
	}
}
