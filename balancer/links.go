package balancer

import (
	"math"
	"time"
)

// link is what this host has seen of the way between two data centres.
type link struct {
	// delay is by how much first events over it came later than others, as of
	// at.
	delay time.Duration
	at    time.Duration
}

const (
	// linkWeight is the weight of one more first event over a link.
	linkWeight = 0.3
	// linkMemory is the time in which what was seen of a link counts for a third
	// of what it did: it has to be tried again to be known better.
	linkMemory = 3 * time.Second
	// linkPrice is how often the delay of a link counts: each path over it makes
	// it slower for the others.
	linkPrice = 2.0
	// baseWeight is the weight of one more first event of a path that stays in
	// one data centre.
	baseWeight = 0.05
)

// pair names a link; both directions are one.
func pair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

// First takes in how long the first event of a path took, or how long it was
// waited for in vain. A pipe between data centres may be slower than declared, or
// full; a data centre may have too few holders of some layers.
func (b *Balancer) First(l *Lease, now, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	crossed := b.crossed(l.hops)
	if len(crossed) == 0 {
		b.base += time.Duration(baseWeight * float64(took-b.base))
		if u := b.ups[l.First.ID]; u != nil {
			b.localDelay(now, u.DataCentre).add(took)
		}
		return
	}
	late := max(0, took-b.base)
	for p := range crossed {
		b.link(now, p).add(late)
	}
}

// Crosses reports whether a path goes over a link between data centres.
func (b *Balancer) Crosses(l *Lease) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.crossings(l.hops) > 0
}

// crossed are the links that a path goes over, each as often as it does.
func (b *Balancer) crossed(hops []Hop) map[[2]string]int {
	out := make(map[[2]string]int)
	last := ""
	for _, h := range hops {
		u := b.ups[h.ID]
		if u == nil {
			continue
		}
		if last != "" && last != u.DataCentre {
			out[pair(last, u.DataCentre)]++
		}
		last = u.DataCentre
	}
	return out
}

// crossings is how often a path goes from one data centre to another.
func (b *Balancer) crossings(hops []Hop) int {
	n := 0
	for _, times := range b.crossed(hops) {
		n += times
	}
	return n
}

// link returns what is known of a link, aged to now.
func (b *Balancer) link(now time.Duration, p [2]string) *link {
	if b.seen == nil {
		b.seen = make(map[[2]string]*link)
	}
	return aged(b.seen, p, now)
}

// localDelay is how late first events of paths inside a data centre came, aged to now.
func (b *Balancer) localDelay(now time.Duration, dataCentre string) *link {
	if b.local == nil {
		b.local = make(map[string]*link)
	}
	return aged(b.local, dataCentre, now)
}

// aged returns the entry of a map, made when it is missing, aged to now.
func aged[K comparable](known map[K]*link, key K, now time.Duration) *link {
	k := known[key]
	if k == nil {
		k = &link{at: now}
		known[key] = k
	}
	k.delay = time.Duration(float64(k.delay) * math.Exp(-float64(now-k.at)/float64(linkMemory)))
	k.at = now
	return k
}

// add takes one more delay in.
func (k *link) add(delay time.Duration) {
	k.delay += time.Duration(linkWeight * float64(delay-k.delay))
}
