package balancer

import (
	"math"
	"time"
)

// delayAverage is a moving average of observed delays.
type delayAverage struct {
	// delay is the average as of at.
	delay time.Duration
	at    time.Duration
}

const (
	// delayWeight is the weight of one more first event in a moving average of delays.
	delayWeight = 0.3
	// delayMemory is the time in which an average of delays decays to about a third, so that the
	// link is tried again and measured anew.
	delayMemory = 3 * time.Second
	// linkDelayFactor multiplies the delay of a link: each path over it also slows the others.
	linkDelayFactor = 2.0
	// baseDelayWeight is the weight of one more first event in the average over paths inside
	// one data centre.
	baseDelayWeight = 0.05
)

// linkKey returns the key of the link between two data centres; both directions are one link.
func linkKey(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

// RecordFirstEventDelay records how long the first event of a path took, or how long a request
// waited for one that did not come. A pipe between data centres may be full or slower than
// declared, and a data centre may have too few holders of some layers.
func (b *Balancer) RecordFirstEventDelay(l *Lease, now, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	crossed := b.linksOf(l.hops)
	if len(crossed) == 0 {
		b.baseDelay += time.Duration(baseDelayWeight * float64(took-b.baseDelay))
		if u := b.upstreams[l.First.ID]; u != nil {
			b.localDelay(now, u.DataCentre).add(took)
		}
		return
	}
	late := max(0, took-b.baseDelay)
	for p := range crossed {
		b.linkDelay(now, p).add(late)
	}
}

// CrossesDataCentres reports whether the path goes over a link between data centres.
func (b *Balancer) CrossesDataCentres(l *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crossingCount(l.hops) > 0
}

// linksOf returns how often a path crosses each link between data centres.
func (b *Balancer) linksOf(hops []Hop) map[[2]string]int {
	out := make(map[[2]string]int)
	last := ""
	for _, h := range hops {
		u := b.upstreams[h.ID]
		if u == nil {
			continue
		}
		if last != "" && last != u.DataCentre {
			out[linkKey(last, u.DataCentre)]++
		}
		last = u.DataCentre
	}
	return out
}

// crossingCount returns how often a path goes from one data centre to another.
func (b *Balancer) crossingCount(hops []Hop) int {
	n := 0
	for _, times := range b.linksOf(hops) {
		n += times
	}
	return n
}

// linkDelay returns the extra delay of first events over a link, decayed to now.
func (b *Balancer) linkDelay(now time.Duration, p [2]string) *delayAverage {
	if b.linkDelays == nil {
		b.linkDelays = make(map[[2]string]*delayAverage)
	}
	return agedAverage(b.linkDelays, p, now)
}

// localDelay returns the time to the first event inside a data centre, decayed to now.
func (b *Balancer) localDelay(now time.Duration, dataCentre string) *delayAverage {
	if b.localDelays == nil {
		b.localDelays = make(map[string]*delayAverage)
	}
	return agedAverage(b.localDelays, dataCentre, now)
}

// agedAverage returns the average for a key, decayed to now. A missing one is created at 0.
func agedAverage[K comparable](known map[K]*delayAverage, key K, now time.Duration) *delayAverage {
	k := known[key]
	if k == nil {
		k = &delayAverage{at: now}
		known[key] = k
	}
	k.delay = time.Duration(float64(k.delay) * math.Exp(-float64(now-k.at)/float64(delayMemory)))
	k.at = now
	return k
}

// add adds one more delay to the average.
func (k *delayAverage) add(delay time.Duration) {
	k.delay += time.Duration(delayWeight * float64(delay-k.delay))
}
