package pacer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/pacer"
)

// engines report a pace each; 0 means that they do not answer.
type engines struct {
	mu    sync.Mutex
	paces map[string]float64
	asked map[string]int
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

// run has hosts of one data centre ask its engines for some seconds in virtual
// time. What each host learnt is told to all others at the end.
func run(t *testing.T, e *engines, hosts []string, length time.Duration) map[string]*balancer.Balancer {
	t.Helper()
	out := make(map[string]*balancer.Balancer)
	synctest.Test(t, func(*testing.T) {
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Second }
		ctx, cancel := context.WithCancel(context.Background())
		var list []balancer.Upstream
		for address := range e.paces {
			list = append(list, balancer.Upstream{ID: address, Address: address, DataCentre: "a", Holds: balancer.Span{To: 8}})
		}
		list = append(list, balancer.Upstream{ID: "far", Address: "far", DataCentre: "b", Holds: balancer.Span{To: 8}})
		for _, name := range hosts {
			b := new(balancer.Balancer)
			b.List(list, nil)
			out[name] = b
			others := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == name })
			p := &pacer.Pacer{Self: name, DataCentre: "a", Balancer: b, Engines: e, Hosts: func() []string { return others }, Now: now, Log: zerolog.Nop()}
			go p.Run(ctx)
		}
		time.Sleep(length)
		for name, from := range out {
			for other, to := range out {
				if other != name {
					to.Heard(now(), name, from.Own(now()))
				}
			}
		}
		cancel()
		synctest.Wait()
	})
	return out
}

// paces is what hosts tell each other of an upstream.
func paces(hosts map[string]*balancer.Balancer, id string) []float64 {
	var out []float64
	for name := range hosts {
		for _, b := range hosts {
			for _, p := range b.Told(name) {
				if p.Upstream == id {
					out = append(out, p.Pace)
				}
			}
		}
	}
	return out
}

// TestShared. Two of thirty engines take twelve times as long. Each engine is asked
// once a second by one host, whatever the number of hosts, and all hosts know of
// the slow ones; engines of other data centres are left to the hosts there.
func TestShared(t *testing.T) {
	for _, n := range []int{1, 3, 9} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			const seconds = 5
			e := &engines{paces: make(map[string]float64), asked: make(map[string]int)}
			for i := range 30 {
				e.paces[fmt.Sprint("engine-", i)] = 1
			}
			e.paces["engine-3"], e.paces["engine-17"] = 12, 12
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("host-", i))
			}
			hosts := run(t, e, names, seconds*time.Second+time.Millisecond)
			for address := range e.paces {
				is.Equal(e.asked[address], seconds)
			}
			is.Equal(e.asked["far"], 0)
			for _, id := range []string{"engine-3", "engine-17"} {
				is.Equal(len(paces(hosts, id)), n-1)
				for _, p := range paces(hosts, id) {
					is.Equal(p, 12.0)
				}
			}
		})
	}
}

// TestImpossible. An engine that reports a figure that can't be, or does not
// answer, is taken to be as fast as declared.
func TestImpossible(t *testing.T) {
	for _, pace := range []float64{0, -3, 1e9} {
		t.Run(fmt.Sprint(pace), func(t *testing.T) {
			e := &engines{paces: map[string]float64{"odd": pace}, asked: make(map[string]int)}
			hosts := run(t, e, []string{"host-0", "host-1"}, 3*time.Second)
			is.New(t).Equal(len(paces(hosts, "odd")), 0)
		})
	}
}
