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
	ranges     = 10
	slowEngine = "engine-3"
)

// fakeEngines report a pace each; an engine with pace 0 doesn't answer.
type fakeEngines struct {
	mu      sync.Mutex
	paces   map[string]float64
	queries map[string]int
}

func newFakeEngines() *fakeEngines {
	e := &fakeEngines{paces: make(map[string]float64), queries: make(map[string]int)}
	for i := range ranges {
		e.paces[fmt.Sprint("engine-", i)] = 1
	}
	return e
}

func (e *fakeEngines) Pace(_ context.Context, u balancer.Hop) (float64, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queries[u.Address]++
	p := e.paces[u.Address]
	if p == 0 {
		return 0, errors.New("no answer")
	}
	return p, nil
}

// queryCount returns how often all engines were queried.
func (e *fakeEngines) queryCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := 0
	for _, n := range e.queries {
		out += n
	}
	return out
}

// simulate has some hosts pass streams over ten engines in a row, in virtual time. Each host
// reports to the others every 200 ms and records an event of a stream every 50 ms, as a slow one
// while late returns true.
func simulate(t *testing.T, e *fakeEngines, hosts int, length time.Duration, late func(at time.Duration) bool) []*balancer.Balancer {
	t.Helper()
	all := make([]*balancer.Balancer, hosts)
	synctest.Test(t, func(*testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Second }
		ctx, cancel := context.WithCancel(context.Background())
		leases := make([]*balancer.Lease, hosts)
		for i := range all {
			all[i] = newPipelineBalancer()
			leases[i], _ = all[i].Acquire(now(), balancer.Requirements{Service: "model", PromptTokens: 700, AnswerTokens: 200})
			p := &pacer.Pacer{Balancer: all[i], Engines: e, Now: now, Log: zerolog.Nop()}
			go p.Run(ctx)
		}
		const event = 50 * time.Millisecond
		for n := 0; time.Since(started) < length; n++ {
			time.Sleep(event)
			for i, b := range all {
				if late(time.Since(started)) {
					b.RecordSlowEvent(now(), leases[i])
				}
				if n%4 == 0 {
					sendReports(now(), i, all)
				}
			}
		}
		cancel()
		synctest.Wait()
	})
	return all
}

// newPipelineBalancer returns a balancer for engines that each hold a part of a model.
func newPipelineBalancer() *balancer.Balancer {
	b := &balancer.Balancer{Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(1, 1))}
	e := &matcher.Engine{Layers: 4 * ranges, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, ReadPerSecond: 164000}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
	for i := range ranges {
		id := fmt.Sprint("engine-", i)
		b.UpdateUpstreams([]balancer.Upstream{{ID: id, Address: id, Service: "model", Layers: balancer.Span{From: 4 * i, To: 4 * (i + 1)}}}, nil)
	}
	return b
}

// sendReports has one host report its usage to all others.
func sendReports(now time.Duration, from int, all []*balancer.Balancer) {
	for i, to := range all {
		if i != from {
			if err := to.SetReport(now, fmt.Sprint(from), all[from].Usage(now)); err != nil {
				panic(err)
			}
		}
	}
}

// reportedPace returns an engine's pace that one host last reported to another; 0 when none.
func reportedPace(b *balancer.Balancer, from int, id string) float64 {
	for _, p := range b.ReportOf(fmt.Sprint(from)).Usage {
		if p.Upstream == id {
			return p.Pace
		}
	}
	return 0
}

// TestNoQueriesWithoutDelays guards against queries to engines without repeated late events.
func TestNoQueriesWithoutDelays(t *testing.T) {
	e := newFakeEngines()
	simulate(t, e, 4, 10*time.Second, func(at time.Duration) bool { return at == 5*time.Second })
	is.New(t).Equal(e.queryCount(), 0)
}

// TestSlowEngineDetected guards against a slow engine that hosts don't detect, or that all query.
func TestSlowEngineDetected(t *testing.T) {
	for _, n := range []int{1, 4, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			const seconds = 6
			e := newFakeEngines()
			e.paces[slowEngine] = 12
			all := simulate(t, e, n, seconds*time.Second, func(time.Duration) bool { return true })
			known := 0
			for i, b := range all {
				for k := range all {
					if k != i && reportedPace(b, k, slowEngine) == 12 {
						known++
						break
					}
				}
			}
			is.True(n == 1 || known >= n-1) // the host that queried may be the only one that reports it
			// All hosts may query at first, before any has reported; then one of them does.
			is.True(e.queryCount() <= ranges*(n+2*seconds))
		})
	}
}

// TestRecoveredEngine guards against an engine that stays slow for hosts after it has recovered.
func TestRecoveredEngine(t *testing.T) {
	is := is.New(t)
	e := newFakeEngines()
	e.paces[slowEngine] = 12
	all := simulate(t, e, 1, 8*time.Second, func(at time.Duration) bool {
		if at >= 4*time.Second {
			e.mu.Lock()
			e.paces[slowEngine] = 1
			e.mu.Unlock()
		}
		return at < time.Second
	})
	is.True(e.queries[slowEngine] >= 3)
	for _, p := range all[0].Usage(9 * time.Second).Usage {
		is.True(p.Upstream != slowEngine || p.Pace <= 1)
	}
}

// TestInvalidPace guards against an out-of-range pace that is accepted.
func TestInvalidPace(t *testing.T) {
	for _, pace := range []float64{0, -3, 1e9} {
		t.Run(fmt.Sprint(pace), func(t *testing.T) {
			e := newFakeEngines()
			e.paces[slowEngine] = pace
			all := simulate(t, e, 2, 3*time.Second, func(time.Duration) bool { return true })
			is := is.New(t)
			is.True(e.queries[slowEngine] > 0)
			is.Equal(reportedPace(all[0], 1, slowEngine), 0.0)
			is.Equal(reportedPace(all[1], 0, slowEngine), 0.0)
		})
	}
}
