package balancer

import (
	"slices"
	"strings"
	"time"
)

// RecordStart records the first event of a stream. Later events go to RecordProgress.
func (b *Balancer) RecordStart(now time.Duration, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.started || l.released {
		return
	}
	l.started = true
	for _, h := range l.hops {
		if u := b.upstreams[h.ID]; u != nil {
			u.activeStreams++
			u.lastEventAt = now
			u.ejections, u.suspectUntil = 0, 0
		}
	}
}

// RecordProgress records a further event of a stream.
func (b *Balancer) RecordProgress(now time.Duration, l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range l.hops {
		if u := b.upstreams[h.ID]; u != nil {
			u.lastEventAt = now
		}
	}
}

const (
	// maxSilenceOneStream is how long a single stream may get no event before its upstreams are
	// probed: the time of five events, and well under the longest pause that callers accept.
	// With more streams over an upstream, events come that many times as often, but the limit
	// stays above minSilenceLimit: streams in one batch get their events together, once in a
	// pass over all engines of a path.
	maxSilenceOneStream = 250 * time.Millisecond
	minSilenceLimit     = 60 * time.Millisecond
)

// SilentUpstreams returns the upstreams over which no started stream has got an event for longer
// than is usual with that number of streams.
func (b *Balancer) SilentUpstreams(now time.Duration) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Hop
	for _, u := range b.subset.used {
		limit := max(minSilenceLimit, maxSilenceOneStream/time.Duration(max(1, u.activeStreams)))
		if u.activeStreams > 0 && !u.dead && now-u.lastEventAt > limit {
			out = append(out, Hop{ID: u.ID, Address: u.Address})
		}
	}
	return out
}

// LastEventAt returns when the last event came over an upstream; 0 when none did.
func (b *Balancer) LastEventAt(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		return u.lastEventAt
	}
	return 0
}

// MarkStopped records that an upstream refuses connections, so that its process has ended. One that
// merely doesn't answer may still be running requests.
func (b *Balancer) MarkStopped(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		u.stopped = true
	}
}

// HasStopped reports whether an upstream has certainly stopped work: it is not listed or refuses
// connections.
func (b *Balancer) HasStopped(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u == nil || u.stopped
}

// DeadUpstreams returns upstreams that accept no connection, at most a given number for each data
// centre, in rotation by turn. Most often a whole data centre is unreachable, and the first
// upstream there that accepts a connection shows that all of it may be reachable again.
func (b *Balancer) DeadUpstreams(turn, maxPerDataCentre int) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	byDataCentre := make(map[string][]Hop)
	for _, u := range b.subset.used {
		if u.dead {
			byDataCentre[u.DataCentre] = append(byDataCentre[u.DataCentre], Hop{ID: u.ID, Address: u.Address})
		}
	}
	var out []Hop
	for _, dead := range byDataCentre {
		slices.SortFunc(dead, func(a, b Hop) int { return strings.Compare(a.ID, b.ID) })
		for i := range min(maxPerDataCentre, len(dead)) {
			out = append(out, dead[(turn*maxPerDataCentre+i)%len(dead)])
		}
	}
	return out
}

// DeadInSameDataCentre returns the other dead upstreams in the data centre of an upstream.
func (b *Balancer) DeadInSameDataCentre(id string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return nil
	}
	var out []Hop
	for _, v := range b.subset.used {
		if v.dead && v != u && v.DataCentre == u.DataCentre {
			out = append(out, Hop{ID: v.ID, Address: v.Address})
		}
	}
	return out
}

// SetDead records whether an upstream accepts connections. It reports whether that changed.
func (b *Balancer) SetDead(now time.Duration, id string, dead bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil || u.dead == dead {
		return false
	}
	u.dead, u.deadElsewhere = dead, 0
	b.subset.stale = true
	if dead {
		u.diedAt = now
	} else {
		u.stopped = false
	}
	return true
}

// IsDead reports whether an upstream accepts no connection or is no longer listed.
func (b *Balancer) IsDead(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u == nil || u.dead
}

// IsLeaving reports whether an upstream takes no new work as it leaves.
func (b *Balancer) IsLeaving(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u != nil && u.Leaving
}

// IsDeparting reports whether an upstream has announced that it leaves, or is not listed any more, so that its end is
// planned.
func (b *Balancer) IsDeparting(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u == nil || u.Leaving
}

// DiedAround returns the ids of the upstreams that were found dead within a time around at.
func (b *Balancer) DiedAround(at, within time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id, u := range b.subset.used {
		if u.diedAt > 0 && max(u.diedAt-at, at-u.diedAt) <= within {
			out = append(out, id)
		}
	}
	return out
}

// StartedAt returns when an upstream was started, in Unix milliseconds; 0 when it is not known.
func (b *Balancer) StartedAt(id string) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		return u.StartedAt
	}
	return 0
}

// correlatedLossWindow is the time within which the loss of two upstreams of one data centre
// points to the network path there.
const correlatedLossWindow = time.Second

// CorrelatedSuspects returns the upstreams in the data centre of a dead one that aren't known to be
// dead, if another one there was found dead just before. Otherwise streams would have to time out
// on each upstream of a partitioned data centre in turn.
func (b *Balancer) CorrelatedSuspects(now time.Duration, id string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return nil
	}
	var out []Hop
	anotherDied := false
	for _, v := range b.subset.used {
		if v == u || v.DataCentre != u.DataCentre {
			continue
		}
		if v.dead {
			anotherDied = anotherDied || now-v.diedAt < correlatedLossWindow
			continue
		}
		out = append(out, Hop{ID: v.ID, Address: v.Address})
	}
	if !anotherDied {
		return nil
	}
	return out
}

const (
	// failureRateWeight is the weight of one more outcome in the moving average: ten requests
	// are enough to distinguish a failure rate of a third from a single failure.
	failureRateWeight = 0.15
	// firstEjection and maxEjection bound how long an unreachable upstream is ejected. Three
	// heartbeats after its process has ended, the list shows it.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// suspectDuration is how long the cost of an upstream stays raised after an ejection. The
	// list shows by then whether it has ended.
	suspectDuration = 4 * time.Second
)

// RecordSuccess records an answer of an upstream and the load that it reported; load may be nil.
func (b *Balancer) RecordSuccess(now time.Duration, id string, load *Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil {
		return
	}
	u.ejections = 0
	u.failureRate -= failureRateWeight * u.failureRate
	if load != nil {
		u.load, u.loadAt = *load, now
	}
}

// RecordFailure records a request that an upstream failed without being ejected for it.
func (b *Balancer) RecordFailure(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		u.failureRate += failureRateWeight * (1 - u.failureRate)
	}
}

// Eject keeps new work off an unreachable upstream for a while, twice as long with each failure in
// a row up to maxEjection. It returns false if the upstream is not known or is already ejected.
func (b *Balancer) Eject(now time.Duration, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u != nil && u.eject(now)
}

// eject implements Eject.
func (u *upstream) eject(now time.Duration) bool {
	if u.ejectedUntil > now {
		return false
	}
	u.ejectedUntil = now + min(maxEjection, firstEjection<<min(u.ejections, 4))
	u.suspectUntil = u.ejectedUntil + suspectDuration
	u.ejections++
	return true
}
