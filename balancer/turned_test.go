package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// newHosts returns n entry hosts that share one fleet: twelve ranges of layers, each held by three
// upstreams.
func newHosts(n int) []*balancer.Balancer {
	const ranges, holders = 12, 3
	e := engine()
	e.Layers = ranges * 6
	var list []balancer.Upstream
	for i := range ranges {
		for k := range holders {
			id := fmt.Sprintf("%d-%d", i, k)
			list = append(list, balancer.Upstream{ID: id, Service: "model", Address: id, DataCentre: "a", Card: "slow", Layers: balancer.Span{From: 6 * i, To: 6 * (i + 1)}})
		}
	}
	out := make([]*balancer.Balancer, n)
	for i := range out {
		b := &balancer.Balancer{DataCentre: "a", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
		b.UpdateUpstreams(list, nil)
		out[i] = b
	}
	return out
}

// exchangeReports has each host report its usage to all others.
func exchangeReports(now time.Duration, hosts []*balancer.Balancer) {
	for i, from := range hosts {
		for k, to := range hosts {
			if i != k {
				if err := to.SetReport(now, fmt.Sprint(i), from.Usage(now)); err != nil {
					panic(err)
				}
			}
		}
	}
}

// TestRejections guards against hosts that each try upstreams which are gone and still listed.
func TestRejections(t *testing.T) {
	is := is.New(t)
	const length, exchange, tries = 2 * time.Second, 375 * ms, 4
	all := newHosts(12)
	gone := []string{"1-0", "5-1", "8-2"}
	rejections, refused := 0, 0
	next := exchange
	for now := time.Duration(0); now < length; now += 10 * ms {
		if now >= next {
			exchangeReports(now, all)
			next += exchange
		}
		b := all[int(now/(10*ms))%len(all)]
		n := modelRequirements
		for try := range tries {
			l, reason := b.Acquire(now, n)
			is.Equal(reason, balancer.ReasonNone)
			at := slices.IndexFunc(b.Path(l), func(h balancer.Hop) bool { return slices.Contains(gone, h.ID) })
			if at < 0 {
				b.RecordStart(now, l)
				b.Release(l)
				break
			}
			rejections++
			id := b.Path(l)[at].ID
			b.Release(l)
			b.RecordRejection(now, id)
			n.Avoid = append(n.Avoid, id)
			if try == tries-1 {
				refused++
			}
		}
	}
	t.Logf("%d rejections, %d requests refused", rejections, refused)
	is.Equal(refused, 0)
	is.True(rejections <= len(all)*len(gone))
}
