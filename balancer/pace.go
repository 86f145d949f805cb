package balancer

import "time"

const (
	// maxPaceAge is how long a reported pace is used. paceQueryInterval is the least time from an
	// engine's answer to this host's next query to it.
	maxPaceAge        = 3 * time.Second
	paceQueryInterval = time.Second
	// paceChangeRatio is the ratio between two paces from which a change is reported.
	paceChangeRatio = 1.5
	// minSlowEvents is the number of slow events within slowWindow from which an engine is
	// queried: a single slow stream says little about a path of a dozen engines.
	minSlowEvents = 3
	slowWindow    = time.Second
)

// RecordSlowEvent records an event of a stream that came late although its path had not changed.
// One of its upstreams may be slower than declared.
func (b *Balancer) RecordSlowEvent(now time.Duration, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range l.hops {
		u := b.upstreams[h.ID]
		if u == nil {
			continue
		}
		if now-u.slowSince > slowWindow {
			u.slowEvents, u.slowSince = 0, now
		}
		u.slowEvents++
	}
}

// PaceQueries returns the upstreams to query for their pace: those over which events came late just
// now and whose pace no other host has reported, and those known to be slow. Queries count against
// rate limits; without late events there are none.
func (b *Balancer) PaceQueries(now time.Duration) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Hop
	for _, u := range b.subset.used {
		others := b.reportedUsage(now, u)
		reporters := int64(0)
		if others != nil {
			reporters = others.PaceHosts
		}
		due := u.paceAt == 0 || now-u.paceAt >= paceQueryInterval
		late := u.slowEvents >= minSlowEvents && now-u.slowSince <= 2*slowWindow && reporters == 0
		// Of the hosts that know it to be slow, one on average queries it again.
		again := u.ownPace(now) > 1 && b.Rand.Float64()*float64(reporters+1) < 1
		if due && (late || again) && b.takePermit(now, u) {
			out = append(out, Hop{ID: u.ID, Address: u.Address})
		}
	}
	return out
}

// SetPace records by what factor an upstream is slower than its kind of accelerator. It reports
// whether that differs much from before.
func (b *Balancer) SetPace(now time.Duration, id string, pace float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return false
	}
	old := max(1, u.pace)
	u.pace, u.paceAt = max(1, pace), now
	return u.pace > old*paceChangeRatio || old > u.pace*paceChangeRatio
}

// ownPace returns the pace that the upstream last reported to this host; 0 when there is none
// or it is too old.
func (u *upstream) ownPace(now time.Duration) float64 {
	if u.paceAt == 0 || now-u.paceAt > maxPaceAge {
		return 0
	}
	return u.pace
}

// pace returns by what factor an upstream is slower than its kind of accelerator: as it reported
// to this host, else the highest that another host reported, else 1.
func (b *Balancer) pace(now time.Duration, u *upstream) float64 {
	if own := u.ownPace(now); own > 0 {
		return own
	}
	if sum := b.reportedUsage(now, u); sum != nil {
		return max(1, sum.Pace)
	}
	return 1
}
