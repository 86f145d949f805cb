package balancer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

var measureConnected = flag.Bool("measure-connected", false, "print connections a request for several factors of TestConnectedPreferred")

const (
	firstHops     = 15
	streamLength  = 1500 * ms
	idleTimeout   = 9 * time.Second
	perHostSecond = 2.5
)

// connectedHost is a host with its idle connections by address, each the time at which it became idle.
type connectedHost struct {
	b    *balancer.Balancer
	idle map[string][]time.Duration
	busy []connectedStream
}

type connectedStream struct {
	lease *balancer.Lease
	ends  time.Duration
}

func newConnectedHost(n, hosts int, seed uint64, factor float64) *connectedHost {
	b := &balancer.Balancer{
		Host: fmt.Sprint("host-", n), DataCentre: "a", Rand: rand.New(rand.NewPCG(seed, uint64(n))),
		Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1, PreferredFactor: factor},
	}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: engine()}})
	var list []balancer.Upstream
	for i := range firstHops {
		for half := range 2 {
			id := fmt.Sprintf("engine-%d-%d", half, i)
			list = append(list, balancer.Upstream{ID: id, Service: "model", Address: id, DataCentre: "a", Card: "large", Layers: balancer.Span{From: 40 * half, To: 40 * (half + 1)}})
		}
	}
	b.UpdateUpstreams(list, nil)
	others := make(map[string]string)
	for other := range hosts {
		if other != n {
			others[fmt.Sprint("host-", other)] = "a"
		}
	}
	b.SetHosts(others)
	return &connectedHost{b: b, idle: make(map[string][]time.Duration)}
}

// hasIdle drops expired connections to an address and reports whether one is left.
func (h *connectedHost) hasIdle(now time.Duration, address string) bool {
	list := h.idle[address]
	for len(list) > 0 && now-list[0] >= idleTimeout {
		list = list[1:]
	}
	h.idle[address] = list
	return len(list) > 0
}

// finish ends the streams that are over; their connections become idle.
func (h *connectedHost) finish(now time.Duration) {
	for len(h.busy) > 0 && h.busy[0].ends <= now {
		s := h.busy[0]
		h.busy = h.busy[1:]
		h.b.Release(s.lease)
		h.idle[s.lease.First.Address] = append(h.idle[s.lease.First.Address], s.ends)
	}
}

// send starts a stream and reports whether it needed a new connection.
func (h *connectedHost) send(now time.Duration) (opened bool) {
	n := modelRequirements
	n.HasConnection = func(address string) bool { return h.hasIdle(now, address) }
	l, reason := h.b.Acquire(now, n)
	if l == nil {
		panic(reason.String())
	}
	h.busy = append(h.busy, connectedStream{l, now + streamLength})
	if a := l.First.Address; h.hasIdle(now, a) {
		h.idle[a] = h.idle[a][:len(h.idle[a])-1]
		return false
	}
	return true
}

// replayConnected replays calm load on many hosts from their start. It returns the new connections a
// request between two times, and how many times the mean the busiest first hop got.
func replayConnected(hosts int, seed uint64, factor float64, from, to time.Duration) (perRequest, busiest float64) {
	var opened, requests int
	arrivals := make(map[string]int)
	rnd := rand.New(rand.NewPCG(seed, 7))
	for n := range hosts {
		h := newConnectedHost(n, hosts, seed, factor)
		for now := time.Duration(0); now < to; now += time.Duration(rnd.ExpFloat64() / perHostSecond * float64(time.Second)) {
			h.finish(now)
			isNew := h.send(now)
			if now < from {
				continue
			}
			requests++
			arrivals[h.busy[len(h.busy)-1].lease.First.ID]++
			if isNew {
				opened++
			}
		}
	}
	most := 0
	for _, n := range arrivals {
		most = max(most, n)
	}
	return float64(opened) / float64(requests), float64(most) * firstHops / float64(requests)
}

// TestConnectedPreferred guards against connections of many hosts to all upstreams, of which most expire
// unused. The load: 2.5 streams a second and host of 1.5 s each, over 15 first hops.
func TestConnectedPreferred(t *testing.T) {
	if *measureConnected {
		printConnected()
		return
	}
	for _, hosts := range []int{24, 137} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			is := is.New(t)
			started, busiest := replayConnected(hosts, 1, 0.9, 0, 35*time.Second)
			is.True(started < 0.15)
			is.True(busiest < 2)
			steady, _ := replayConnected(hosts, 1, 0.9, 15*time.Second, 60*time.Second)
			is.True(steady < 0.05) // one for twenty requests
		})
	}
}

// TestConnectedFewHosts guards against a preference where each host has connections to all upstreams.
func TestConnectedFewHosts(t *testing.T) {
	for hosts, want := range map[int]bool{4: false, 15: false, 24: true} {
		asked := false
		for _, n := range []balancer.Requirements{modelRequirements, {Service: "desk"}} {
			asked = false
			b := newBalancer()
			b.SetHosts(manyHosts(hosts - 1))
			n.HasConnection = func(string) bool { asked = true; return true }
			b.Release(acquire(t, b, 0, n))
		}
		is.New(t).Equal(asked, want)
	}
}

func printConnected() {
	for _, hosts := range []int{24, 137} {
		for _, factor := range []float64{0, 0.9, 0.8, 0.6} {
			row := fmt.Sprintf("| %d | %g |", hosts, factor)
			for seed := range uint64(3) {
				started, busiest := replayConnected(hosts, seed+1, factor, 0, 35*time.Second)
				steady, _ := replayConnected(hosts, seed+1, factor, 15*time.Second, 60*time.Second)
				row += fmt.Sprintf(" %.3f, %.3f, %.2f |", started, steady, busiest)
			}
			fmt.Println(row)
		}
	}
}
