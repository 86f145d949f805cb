package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// way decides at each host whether a request may go to a limited upstream.
type way interface {
	// allow reports whether a request that comes to a host now is sent.
	allow(now time.Duration, host int) bool
}

// shares gives each host a part by some division of the limit.
type shares struct {
	divide  func(place, hosts int) Share
	buckets []Bucket
}

func (s *shares) allow(now time.Duration, host int) bool {
	part := s.divide(host, len(s.buckets))
	if !s.buckets[host].Has(now, part, false) {
		return false
	}
	s.buckets[host].Take(now, part)
	return true
}

// permits are handed out one by one by a relay, which each host calls once a round; a
// host asks for one when it had to turn a request away, and loses it unused after a while.
type permits struct {
	perSecond float64
	round     time.Duration
	bucket    Bucket
	called    []time.Duration
	wanted    []bool
	// until is when a host's permit is over.
	until []time.Duration
}

func (p *permits) allow(now time.Duration, host int) bool {
	const valid = time.Second
	all := Share{PerSecond: max(p.perSecond, leastRate), Burst: max(1, p.perSecond/2)}
	// Calls since the last request are made up for in the order of their time.
	for at := p.called[host] + p.round; at <= now; at += p.round {
		p.called[host] = at
		if p.wanted[host] && p.until[host] < at && p.bucket.Has(at, all, true) {
			p.bucket.Take(at, all)
			p.until[host], p.wanted[host] = at+valid, false
		}
	}
	if p.until[host] >= now {
		p.until[host] = 0
		return true
	}
	p.wanted[host] = true
	return false
}

// TestWays guards against a way of dividing a limit that sends more than is allowed: the one
// in use, a part for the first hosts, beside an even part a host and permits of a relay.
func TestWays(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 4, 8, 24, 119} {
		for _, perSecond := range []float64{0.5, 2, 4, 10} {
			for _, load := range []float64{1.2, 3} {
				used := make(map[string]float64)
				peak := make(map[string]int)
				for seed := range uint64(3) {
					ways := map[string]way{
						"even": &shares{func(_, hosts int) Share {
							return Share{PerSecond: perSecond / float64(hosts), Burst: max(1, perSecond/float64(hosts))}
						}, make([]Bucket, hosts)},
						"first": &shares{func(place, hosts int) Share { return ShareOf(perSecond, place, hosts) }, make([]Bucket, hosts)},
						"permits": &permits{
							perSecond: perSecond, round: max(200*time.Millisecond, time.Duration(hosts)*10*time.Millisecond),
							called: make([]time.Duration, hosts), wanted: make([]bool, hosts), until: make([]time.Duration, hosts),
						},
					}
					for name, w := range ways {
						const length = 150
						rnd := rand.New(rand.NewPCG(seed, 31))
						var sent []time.Duration
						for now := time.Duration(0); now < length*time.Second; {
							now += time.Duration(rnd.ExpFloat64() / (load * perSecond) * float64(time.Second))
							if w.allow(now, rnd.IntN(hosts)) {
								sent = append(sent, now)
							}
						}
						used[name] += float64(len(sent)) / (length * perSecond) / 3
						peak[name] = max(peak[name], most(sent))
					}
				}
				t.Logf("%3d hosts, %4g a second, %3gx: used (most in 4 s) even %.2f (%d) first %.2f (%d) permits %.2f (%d), allowed %d", hosts, perSecond, load,
					used["even"], peak["even"], used["first"], peak["first"], used["permits"], peak["permits"], allowed(perSecond))
				is.True(peak["first"] <= allowed(perSecond))
			}
		}
	}
}
