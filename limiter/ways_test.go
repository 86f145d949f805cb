package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// strategy decides for each host whether a request may go to a limited upstream.
type strategy interface {
	// allow reports whether a request that arrives at a host now is sent.
	allow(now time.Duration, host int) bool
}

// shareStrategy gives each host a fixed share of the limit.
type shareStrategy struct {
	shareFor func(place, hosts int) Share
	buckets  []Bucket
}

func (s *shareStrategy) allow(now time.Duration, host int) bool {
	part := s.shareFor(host, len(s.buckets))
	if !s.buckets[host].CanTake(now, part, false) {
		return false
	}
	s.buckets[host].Take(now, part)
	return true
}

// permitStrategy has a relay hand out single permits. Each host calls it once an interval and asks
// for a permit after it had to refuse a request. An unused permit expires.
type permitStrategy struct {
	perSecond   float64
	interval    time.Duration
	bucket      Bucket
	lastCall    []time.Duration
	wantsPermit []bool
	// validUntil is when a host's permit expires.
	validUntil []time.Duration
}

func (p *permitStrategy) allow(now time.Duration, host int) bool {
	const valid = time.Second
	all := Share{PerSecond: max(p.perSecond, minRate), Burst: max(1, p.perSecond/2)}
	// Calls since the last request are made up for in the order of their time.
	for at := p.lastCall[host] + p.interval; at <= now; at += p.interval {
		p.lastCall[host] = at
		if p.wantsPermit[host] && p.validUntil[host] < at && p.bucket.CanTake(at, all, true) {
			p.bucket.Take(at, all)
			p.validUntil[host], p.wantsPermit[host] = at+valid, false
		}
	}
	if p.validUntil[host] >= now {
		p.validUntil[host] = 0
		return true
	}
	p.wantsPermit[host] = true
	return false
}

// TestDivisionStrategies guards against sending more than is allowed. It compares the strategy in
// use, shares for the first hosts, with even shares and with permits of a relay.
func TestDivisionStrategies(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{1, 4, 8, 24, 119} {
		for _, perSecond := range []float64{0.5, 2, 4, 10} {
			for _, load := range []float64{1.2, 3} {
				used := make(map[string]float64)
				peak := make(map[string]int)
				for seed := range uint64(3) {
					strategies := map[string]strategy{
						"even": &shareStrategy{func(_, hosts int) Share {
							return Share{PerSecond: perSecond / float64(hosts), Burst: max(1, perSecond/float64(hosts))}
						}, make([]Bucket, hosts)},
						"first": &shareStrategy{func(place, hosts int) Share { return ShareOf(perSecond, place, hosts) }, make([]Bucket, hosts)},
						"permits": &permitStrategy{
							perSecond: perSecond, interval: max(200*time.Millisecond, time.Duration(hosts)*10*time.Millisecond),
							lastCall: make([]time.Duration, hosts), wantsPermit: make([]bool, hosts), validUntil: make([]time.Duration, hosts),
						},
					}
					for name, s := range strategies {
						const length = 150
						rnd := rand.New(rand.NewPCG(seed, 31))
						var sent []time.Duration
						for now := time.Duration(0); now < length*time.Second; {
							now += time.Duration(rnd.ExpFloat64() / (load * perSecond) * float64(time.Second))
							if s.allow(now, rnd.IntN(hosts)) {
								sent = append(sent, now)
							}
						}
						used[name] += float64(len(sent)) / (length * perSecond) / 3
						peak[name] = max(peak[name], maxInWindow(sent))
					}
				}
				t.Logf("%3d hosts, %4g a second, %3gx: used (most in 4 s) even %.2f (%d) first %.2f (%d) permits %.2f (%d), allowed %d", hosts, perSecond, load,
					used["even"], peak["even"], used["first"], peak["first"], used["permits"], peak["permits"], allowed(perSecond))
				is.True(peak["first"] <= allowed(perSecond))
			}
		}
	}
}
