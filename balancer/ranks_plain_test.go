package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

const (
	plainHosts, plainUpstreams, plainSlots = 3, 3, 6
	// plainWork is how long an upstream works on a request, plainTarget the latency that callers
	// expect.
	plainWork, plainTarget = 30 * ms, 150 * ms
)

// plainRequest is a request at an upstream of a plain service, or waiting there.
type plainRequest struct {
	host            *rankHost
	lease           *balancer.Lease
	rank            int
	arrivedAt, ends time.Duration
}

// plainReplay plays requests of two ranks to plain upstreams that run plainSlots at a time and have the
// others wait.
type plainReplay struct {
	rnd             *rand.Rand
	hosts           []*rankHost
	upstreams       map[string][]plainRequest
	arrived, inTime [2]int
}

func newPlainReplay(seed uint64) *plainReplay {
	p := &plainReplay{rnd: rand.New(rand.NewPCG(seed, 3)), upstreams: make(map[string][]plainRequest)}
	for i := range plainHosts {
		b := &balancer.Balancer{Host: fmt.Sprint("h", i), DataCentre: "a", Policy: picker.Cheapest{Steepness: 2}, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		b.Configure(map[string]*matcher.Service{"desk": {Name: "desk"}})
		var list []balancer.Upstream
		for k := range plainUpstreams {
			list = append(list, balancer.Upstream{ID: fmt.Sprint("u", k), Address: fmt.Sprint("u", k), Service: "desk", DataCentre: "a", Slots: plainSlots})
		}
		b.UpdateUpstreams(list, nil)
		// The first choice makes the upstreams known to this host.
		if l, _ := b.Acquire(0, balancer.Requirements{Service: "desk"}); l != nil {
			b.Release(l)
		}
		h := &rankHost{Balancer: b, demands: &admitter.Demands{Hosts: func() int { return plainHosts }}}
		h.reserve = &admitter.RankReserve{MoreUrgent: h.demands.MoreUrgent, Hosts: h.demands.Hosts}
		p.hosts = append(p.hosts, h)
	}
	return p
}

// arrive has a request arrive at a host.
func (p *plainReplay) arrive(now time.Duration, rank int, ranked bool) {
	h := p.hosts[p.rnd.IntN(len(p.hosts))]
	p.arrived[rank]++
	h.demands.RecordArrival(now, admitter.DemandKey{Service: "desk", Rank: rank})
	n := balancer.Requirements{Service: "desk"}
	if ranked {
		n.KeepFree = h.reserve.KeepFree(now, "desk", rank, h.Capacity(now, "desk"), time.Second)
	}
	l, _ := h.Acquire(now, n)
	if l == nil {
		h.reserve.RecordRefused(now, "desk", rank)
		return
	}
	h.reserve.RecordAdmitted(now, "desk", rank)
	id := l.First.ID
	queue := p.upstreams[id]
	starts := now
	if len(queue) >= plainSlots {
		// The queue is in order of start: the request gets the slot of the one plainSlots before it.
		starts = queue[len(queue)-plainSlots].ends
	}
	p.upstreams[id] = append(queue, plainRequest{h, l, rank, now, starts + plainWork})
}

// step ends requests.
func (p *plainReplay) step(now time.Duration) {
	for id, queue := range p.upstreams {
		for len(queue) > 0 && queue[0].ends <= now {
			r := queue[0]
			queue = slices.Delete(queue, 0, 1)
			r.host.Release(r.lease)
			r.host.reserve.RecordReleased(now, "desk", now-r.arrivedAt)
			running := min(len(queue), plainSlots)
			r.host.RecordSuccess(now, id, &balancer.Load{Running: running, Waiting: len(queue) - running, Slots: plainSlots})
			if now-r.arrivedAt <= plainTarget {
				p.inTime[r.rank]++
			}
		}
		p.upstreams[id] = queue
	}
}

// play has requests of both ranks arrive for four seconds, each at a multiple of the capacity. It
// returns the share of each rank that was answered in time.
func (p *plainReplay) play(times [2]float64, ranked bool) [2]float64 {
	const perSecond = plainUpstreams * plainSlots * float64(time.Second/plainWork)
	for now := time.Second; now < 5*time.Second; now += ms {
		p.step(now)
		for rank, x := range times {
			if p.rnd.Float64() < x*perSecond/1000 {
				p.arrive(now, rank, ranked)
			}
		}
	}
	return [2]float64{float64(p.inTime[0]) / float64(p.arrived[0]), float64(p.inTime[1]) / float64(p.arrived[1])}
}

// TestPlainRanks replays two ranks at a plain service with 18 slots that are asked for twice what they
// serve: the less urgent requests must not have the others wait.
func TestPlainRanks(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			unranked := newPlainReplay(seed).play([2]float64{0.6, 1.4}, false)
			ranked := newPlainReplay(seed).play([2]float64{0.6, 1.4}, true)
			t.Logf("in time by rank: %.2f, unranked %.2f", ranked, unranked)
			is.True(ranked[0] >= 0.95)
			is.True(ranked[1] > 0.05) // gets what is left
			calm := newPlainReplay(seed).play([2]float64{0.2, 0.3}, true)
			is.True(calm[0] >= 0.97 && calm[1] >= 0.97) // nothing is refused without a shortage
		})
	}
}
