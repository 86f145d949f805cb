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

// largeFleet returns n upstreams in three data centres that each hold a tenth of the layers.
func largeFleet(n int) []balancer.Upstream {
	const parts = 10
	out := make([]balancer.Upstream, n)
	for i := range out {
		id, at := fmt.Sprint("u", i), i%parts
		out[i] = balancer.Upstream{
			ID: id, Service: "model", Address: id, DataCentre: fmt.Sprint("dc", i/parts%3), Card: "slow",
			Layers: balancer.Span{From: 8 * at, To: 8 * (at + 1)},
		}
	}
	return out
}

// largeFleetHosts returns the balancers of the hosts in one of three data centres.
func largeFleetHosts(hosts, upstreams int) []*balancer.Balancer {
	out := make([]*balancer.Balancer, hosts/3)
	for i := range out {
		b := &balancer.Balancer{Host: fmt.Sprint("host", 3*i), DataCentre: "dc0", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: engine()}})
		b.SetHosts(hostDataCentres(hosts))
		b.UpdateUpstreams(largeFleet(upstreams), nil)
		out[i] = b
	}
	return out
}

// TestSubset guards against work of a host that grows with the fleet, and against upstreams that
// hardly any host uses.
func TestSubset(t *testing.T) {
	for _, size := range []struct{ hosts, upstreams, most int }{{300, 3000, 200}, {100, 1000, 250}, {12, 3000, 1100}} {
		t.Run(fmt.Sprint(size.hosts, " hosts, ", size.upstreams, " upstreams"), func(t *testing.T) {
			is := is.New(t)
			times := make(map[string]int)
			for _, b := range largeFleetHosts(size.hosts, size.upstreams) {
				used := b.SubsetIDs(0)
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
		is.New(t).True(largeFleetHosts(3, 300)[0].SubsetIDs(0) == nil)
	})
}

// TestSubsetLosses guards against refusals while most of a large fleet is free: all holders of
// some layers in a host's subset are lost at once.
func TestSubsetLosses(t *testing.T) {
	is := is.New(t)
	b := largeFleetHosts(300, 3000)[0]
	list := largeFleet(3000)
	lost := 0
	for _, id := range b.SubsetIDs(0) {
		i := slices.IndexFunc(list, func(u balancer.Upstream) bool { return u.ID == id })
		if list[i].Layers.From == 40 {
			b.SetDead(time.Second, id, true)
			lost++
		}
	}
	is.True(lost >= 8)
	acquire(t, b, time.Second, modelRequirements)
}

// TestSubsetInFlight guards against streams that are no longer watched or reported after their
// upstream has left the subset.
func TestSubsetInFlight(t *testing.T) {
	is := is.New(t)
	b := largeFleetHosts(300, 3000)[0]
	l := acquire(t, b, 0, modelRequirements)
	hops := b.Path(l)
	var changed []balancer.Upstream
	for _, u := range largeFleet(3000) {
		if u.ID == hops[3].ID {
			u.Leaving = true
			changed = append(changed, u)
		}
	}
	b.UpdateUpstreams(changed, nil)
	is.True(slices.Contains(b.SubsetIDs(time.Second), hops[3].ID))
	b.Release(l)
	b.UpdateUpstreams([]balancer.Upstream{{ID: "more", Service: "model", Address: "more", DataCentre: "dc0"}}, nil)
	is.True(!slices.Contains(b.SubsetIDs(2*time.Second), hops[3].ID))
}
