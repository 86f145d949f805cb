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

// manyUpstreams are n upstreams in three data centres, a tenth of the layers each.
func manyUpstreams(n int) []balancer.Upstream {
	const parts = 10
	out := make([]balancer.Upstream, n)
	for i := range out {
		id, at := fmt.Sprint("u", i), i%parts
		out[i] = balancer.Upstream{
			ID: id, Service: "model", Address: id, DataCentre: fmt.Sprint("dc", i/parts%3), Card: "slow",
			Holds: balancer.Span{From: 8 * at, To: 8 * (at + 1)},
		}
	}
	return out
}

// manyHosts are the balancers of the hosts of one data centre of a large fleet.
func manyHosts(hosts, upstreams int) []*balancer.Balancer {
	out := make([]*balancer.Balancer, hosts/3)
	for i := range out {
		b := &balancer.Balancer{Host: fmt.Sprint("host", 3*i), DataCentre: "dc0", Policy: picker.Cheapest{Steepness: 2, Spread: 0.1}, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: engine()}})
		b.SetHosts(hostsIn(hosts))
		b.List(manyUpstreams(upstreams), nil)
		out[i] = b
	}
	return out
}

// TestSubset guards against work of a host that grows with the fleet, and against
// upstreams that hardly any host uses.
func TestSubset(t *testing.T) {
	for _, size := range []struct{ hosts, upstreams, most int }{{300, 3000, 200}, {100, 1000, 250}, {12, 3000, 1100}} {
		t.Run(fmt.Sprint(size.hosts, " hosts, ", size.upstreams, " upstreams"), func(t *testing.T) {
			is := is.New(t)
			times := make(map[string]int)
			for _, b := range manyHosts(size.hosts, size.upstreams) {
				used := b.Used(0)
				is.True(len(used) > 0 && len(used) <= size.most)
				for _, id := range used {
					times[id]++
				}
			}
			near := 0
			for i := range size.upstreams {
				if i/10%3 == 0 && times[fmt.Sprint("u", i)] > 0 {
					near++
				}
			}
			is.True(float64(near) >= 0.9*float64(size.upstreams)/3)
		})
	}
	t.Run("a small fleet is used whole", func(t *testing.T) {
		is.New(t).True(manyHosts(3, 300)[0].Used(0) == nil)
	})
}

// TestSubsetLosses guards against refusals while most of a large fleet is free: all
// holders of some layers that a host uses are lost at once.
func TestSubsetLosses(t *testing.T) {
	is := is.New(t)
	b := manyHosts(300, 3000)[0]
	list := manyUpstreams(3000)
	lost := 0
	for _, id := range b.Used(0) {
		i := slices.IndexFunc(list, func(u balancer.Upstream) bool { return u.ID == id })
		if list[i].Holds.From == 40 {
			b.SetDead(time.Second, id, true)
			lost++
		}
	}
	is.True(lost >= 8)
	acquire(t, b, time.Second, need)
}

// TestSubsetInFlight guards against streams that are not watched or reported any more
// since their upstream left the subset.
func TestSubsetInFlight(t *testing.T) {
	is := is.New(t)
	b := manyHosts(300, 3000)[0]
	l := acquire(t, b, 0, need)
	hops := b.Path(l)
	var changed []balancer.Upstream
	for _, u := range manyUpstreams(3000) {
		if u.ID == hops[3].ID {
			u.Leaving = true
			changed = append(changed, u)
		}
	}
	b.List(changed, nil)
	is.True(slices.Contains(b.Used(time.Second), hops[3].ID))
	b.Release(l)
	b.List([]balancer.Upstream{{ID: "more", Service: "model", Address: "more", DataCentre: "dc0"}}, nil)
	is.True(!slices.Contains(b.Used(2*time.Second), hops[3].ID))
}
