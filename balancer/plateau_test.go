package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// simulation runs in virtual time: two hosts in two data centres whose stages have capacity in
// different places, and the pipe between them.
type simulation struct {
	hosts []*balancer.Balancer
	// admission limits each host's streams in flight.
	admission [2]admitter.StreamLimiter
	// pipeBusyUntil is when the pipe has carried all prompts that were sent over it.
	pipeBusyUntil time.Duration
	running       []*stream
	inTime        int
}

// stream is a request in flight. It is late once its events wait longer than gapTarget for the pipe.
type stream struct {
	host    int
	lease   *balancer.Lease
	ends    time.Duration
	crosses bool
	late    bool
}

const (
	// streamLife is how long a stream runs after its first event, gapTarget the longest delay of an
	// event that callers accept.
	streamLife = 2 * time.Second
	gapTarget  = 250 * ms
	// promptTransferTime is how long the pipe takes for a prompt, firstEventTimeout how long
	// callers wait for their first event.
	promptTransferTime = 41 * ms
	firstEventTimeout  = 2 * time.Second
	tick               = 5 * ms
)

// newSimulation creates a simulation. With isolated set, each host knows only its data centre.
func newSimulation(isolated bool) *simulation {
	s := new(simulation)
	e := engine()
	e.PipeMbps = 4000
	for i, dc := range []string{"a", "b"} {
		b := &balancer.Balancer{DataCentre: dc, Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(uint64(i), 1))}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
		var list []balancer.Upstream
		for _, at := range []string{"a", "b"} {
			if isolated && at != dc {
				continue
			}
			// The first half has more capacity than the second in one data centre, less in the other.
			holders := map[string][2]int{"a": {6, 3}, "b": {3, 6}}[at]
			for half, n := range holders {
				for k := range n {
					id := fmt.Sprint(at, half, k)
					list = append(list, balancer.Upstream{ID: id, Service: "model", Address: id, DataCentre: at, Card: "large", Layers: balancer.Span{From: 40 * half, To: 40 * (half + 1)}})
				}
			}
		}
		b.SetHosts(map[string]string{"other": map[string]string{"a": "b", "b": "a"}[dc]})
		b.UpdateUpstreams(list, nil)
		s.hosts = append(s.hosts, b)
	}
	return s
}

// arrive has one request arrive at a host.
func (s *simulation) arrive(now time.Duration, host int) {
	b, bound := s.hosts[host], &s.admission[host]
	if !bound.TryAcquire() {
		return
	}
	l, _ := b.Acquire(now, modelRequirements)
	if l == nil {
		bound.Release()
		return
	}
	r := &stream{host: host, lease: l, ends: now + streamLife, crosses: b.CrossesDataCentres(l)}
	if r.crosses {
		s.pipeBusyUntil = max(now, s.pipeBusyUntil) + promptTransferTime
		r.ends = min(s.pipeBusyUntil, now+firstEventTimeout) + streamLife
	}
	s.running = append(s.running, r)
}

// step ends streams and marks those late whose events wait for the pipe.
func (s *simulation) step(now time.Duration) {
	left := s.running[:0]
	for _, r := range s.running {
		if !r.late && r.crosses && s.pipeBusyUntil-now > gapTarget {
			r.late = true
			s.admission[r.host].Observe(now, true)
		}
		if now < r.ends {
			left = append(left, r)
			continue
		}
		s.hosts[r.host].Release(r.lease)
		s.admission[r.host].Release()
		if !r.late {
			s.admission[r.host].Observe(now, false)
			s.inTime++
		}
	}
	s.running = left
}

// run has requests arrive at a rate. It returns how many a second were answered in time after the
// warm-up.
func (s *simulation) run(t *testing.T, perSecond float64) float64 {
	t.Helper()
	const warmUp, length = 2 * time.Second, 8 * time.Second
	due, counted := 0.0, 0
	for now := time.Second; now < time.Second+length; now += tick {
		s.step(now)
		if now%(200*ms) == 0 {
			for i, b := range s.hosts {
				is.New(t).NoErr(s.hosts[1-i].SetReport(now, "other", b.Usage(now)))
			}
		}
		for due += perSecond * tick.Seconds(); due >= 1; due-- {
			s.arrive(now, int(due)%2)
		}
		if now < time.Second+warmUp {
			counted = s.inTime
		}
	}
	return float64(s.inTime-counted) / (length - warmUp).Seconds()
}

// TestOverloadThroughput guards against data centres that, once all are full, answer fewer requests
// in time than each would alone.
func TestOverloadThroughput(t *testing.T) {
	best := 0.0
	for _, perSecond := range []float64{300, 500, 600, 700, 800} {
		best = max(best, newSimulation(true).run(t, perSecond))
	}
	for _, times := range []float64{2, 4, 8} {
		t.Run(fmt.Sprint(times, " times"), func(t *testing.T) {
			got := newSimulation(false).run(t, times*best)
			t.Logf("%.0f answers a second in time, at best %.0f without overload", got, best)
			is.New(t).True(got >= 0.9*best)
		})
	}
}
