package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

const (
	deskSlots, deskQueue = 6, 24
	deskWork             = 60 * ms
)

// desk is a plain upstream that rejects requests when its slots and its queue are full.
type desk struct {
	running, waiting []*deskRequest
}

// deskRequest is a request at a desk. ends is set once it runs.
type deskRequest struct {
	host                  *balancer.Balancer
	lease                 *balancer.Lease
	arrivedAt, work, ends time.Duration
}

// deskReplay replays requests of many hosts in three data centres to seven desks. Half of the callers
// are in a data centre that has two of the desks.
type deskReplay struct {
	// loadKnown is set where answers carry the load of the desk.
	loadKnown bool
	rnd       *rand.Rand
	hosts     [3][]*balancer.Balancer
	desks     map[string]*desk
	// requests counts all requests, inTime those answered within 300 ms, rejected those that a
	// desk rejected.
	requests, inTime, rejected int
}

func newDeskReplay(hosts int, loadKnown bool, seed uint64) *deskReplay {
	r := &deskReplay{loadKnown: loadKnown, rnd: rand.New(rand.NewPCG(seed, 3)), desks: make(map[string]*desk)}
	var list []balancer.Upstream
	for i, dc := range []string{"a", "a", "a", "b", "b", "c", "c"} {
		id := fmt.Sprint(dc, i)
		list = append(list, balancer.Upstream{ID: id, Service: "desk", Address: id, DataCentre: dc, Slots: deskSlots})
		r.desks[id] = new(desk)
	}
	for i := range hosts {
		dc := i % 3
		b := &balancer.Balancer{DataCentre: "abc"[dc : dc+1], Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(uint64(i)+1000*seed, 1))}
		b.Configure(map[string]*matcher.Service{"desk": {Name: "desk"}})
		b.UpdateUpstreams(list, nil)
		r.hosts[dc] = append(r.hosts[dc], b)
	}
	return r
}

// run replays 12 s at a factor of the capacity.
func (r *deskReplay) run(factor float64) {
	due := 0.0
	for now := time.Duration(0); now < 12*time.Second; now += ms {
		for id, d := range r.desks {
			r.endRequests(now, id, d)
		}
		for due += factor * float64(len(r.desks)) * deskSlots * float64(ms) / float64(deskWork); due >= 1; due-- {
			near := r.hosts[[]int{0, 0, 1, 1, 1, 2, 2, 2, 2, 2}[r.rnd.IntN(10)]]
			r.serve(now, near[r.rnd.IntN(len(near))])
		}
	}
}

func (r *deskReplay) endRequests(now time.Duration, id string, d *desk) {
	kept := d.running[:0]
	for _, one := range d.running {
		if one.ends > now {
			kept = append(kept, one)
			continue
		}
		one.host.Release(one.lease)
		if one.ends-one.arrivedAt <= 300*ms {
			r.inTime++
		}
		one.host.RecordSuccess(now, id, r.load(d))
	}
	d.running = kept
	for len(d.running) < deskSlots && len(d.waiting) > 0 {
		one := d.waiting[0]
		one.ends = now + one.work
		d.running, d.waiting = append(d.running, one), d.waiting[1:]
	}
}

func (r *deskReplay) load(d *desk) *balancer.Load {
	if !r.loadKnown {
		return nil
	}
	return &balancer.Load{Running: len(d.running), Waiting: len(d.waiting), Slots: deskSlots}
}

func (r *deskReplay) serve(now time.Duration, b *balancer.Balancer) {
	r.requests++
	l, reason := b.Acquire(now, balancer.Requirements{Service: "desk"})
	if reason != balancer.ReasonNone {
		panic(reason.String())
	}
	d := r.desks[l.First.ID]
	if len(d.running) == deskSlots && len(d.waiting) == deskQueue {
		r.rejected++
		b.Release(l)
		b.RecordSuccess(now, l.First.ID, r.load(d))
		b.RecordFull(now, l.First.ID)
		return
	}
	d.waiting = append(d.waiting, &deskRequest{host: b, lease: l, arrivedAt: now, work: time.Duration((0.5 + r.rnd.Float64()) * float64(deskWork))})
}

// TestFullDesks replays 24 and 137 hosts before seven plain upstreams with enough slots for all. It guards
// against hosts that go on sending requests to an upstream that rejects them without a Retry-After.
func TestFullDesks(t *testing.T) {
	const retryRatio = 0.1
	for _, loadKnown := range []bool{false, true} {
		for _, hosts := range []int{24, 137} {
			for _, factor := range []float64{0.8, 0.95} {
				t.Run(fmt.Sprintf("%d hosts at %gx, load known %t", hosts, factor, loadKnown), func(t *testing.T) {
					is := is.New(t)
					for seed := range uint64(seeds()) {
						r := newDeskReplay(hosts, loadKnown, seed)
						r.run(factor)
						t.Logf("seed %d: %d of %d requests in time, %d rejected", seed, r.inTime, r.requests, r.rejected)
						is.True(float64(r.rejected) <= retryRatio*float64(r.requests))
					}
				})
			}
		}
	}
}

// TestFullForAMoment guards against an upstream that stays unused after a rejection, and against one
// that gets requests although all others are idle.
func TestFullForAMoment(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	desk := balancer.Requirements{Service: "desk"}
	is.Equal(acquire(t, b, backoffAt, desk).First.ID, "adesk")
	b.RecordFull(backoffAt, "adesk")
	b.RecordFull(backoffAt, "gone")
	is.Equal(acquire(t, b, backoffAt, desk).First.ID, "bdesk")
	desk.Avoid = []string{"bdesk"}
	b.Release(acquire(t, b, backoffAt, desk)) // rather than none
	desk.Avoid = nil
	is.Equal(acquire(t, b, backoffAt+3*time.Second, desk).First.ID, "adesk")
}
