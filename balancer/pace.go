package balancer

import "time"

const (
	// paceAge is how long a reported pace is believed, and paceRest how long an
	// engine is not asked again by anybody.
	paceAge  = 3 * time.Second
	paceRest = time.Second
	// paceNews is the change of pace, as a ratio, that is worth a word.
	paceNews = 1.5
	// slowLeast is how many slow events within slowWindow make an engine one to
	// ask: a single stream that waited says little of a path of a dozen.
	slowLeast  = 3
	slowWindow = time.Second
)

// Slow notes an event of a stream that came late for no reason that is known: its
// path was not changed. One of its upstreams may take longer than it should.
func (b *Balancer) Slow(now time.Duration, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range l.hops {
		u := b.ups[h.ID]
		if u == nil {
			continue
		}
		if now-u.slowSince > slowWindow {
			u.slow, u.slowSince = 0, now
		}
		u.slow++
	}
}

// Ask lists the upstreams whose pace is to be asked for: those over which events
// came late just now, and those known to be slow, unless some host asked a moment
// ago. Questions are paid for; on a calm day there is none.
func (b *Balancer) Ask(now time.Duration) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Hop
	for _, u := range b.subset.used {
		others := b.reported(now, u)
		tellers := int64(0)
		if others != nil {
			tellers = others.Paced
		}
		rested := u.paceAt == 0 || now-u.paceAt >= paceRest
		late := u.slow >= slowLeast && now-u.slowSince <= 2*slowWindow && tellers == 0
		// Of the hosts that know it to be slow one at a time asks again, on average.
		again := u.ownPace(now) > 1 && b.Rand.Float64()*float64(tellers+1) < 1
		if rested && (late || again) && b.takePermit(now, u) {
			out = append(out, Hop{ID: u.ID, Address: u.Address})
		}
	}
	return out
}

// SetPace notes how many times as long as its kind of accelerator an upstream
// takes for its work. It reports whether that differs much from before.
func (b *Balancer) SetPace(now time.Duration, id string, pace float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil {
		return false
	}
	old := max(1, u.pace)
	u.pace, u.paceAt = max(1, pace), now
	return u.pace > old*paceNews || old > u.pace*paceNews
}

// ownPace is what this host knows of an upstream's pace from its reports; 0 is
// nothing.
func (u *upstream) ownPace(now time.Duration) float64 {
	if u.paceAt == 0 || now-u.paceAt > paceAge {
		return 0
	}
	return u.pace
}

// pace is how many times as long as its kind of accelerator an upstream takes, by
// this host's own question or by the highest that others reported.
func (b *Balancer) pace(now time.Duration, u *upstream) float64 {
	if own := u.ownPace(now); own > 0 {
		return own
	}
	if sum := b.reported(now, u); sum != nil {
		return max(1, sum.Pace)
	}
	return 1
}
