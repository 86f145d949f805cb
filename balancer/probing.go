package balancer

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// firstEventMemory is how long a first event counts as recent, firstEventSamples how many of a
	// data centre are kept and minFirstEventSamples how many tell anything.
	firstEventMemory     = 3 * time.Second
	firstEventSamples    = 16
	minFirstEventSamples = 2
	// loadFactor is how many times the recent time to a first event a stream waits before an
	// upstream of its path is taken to be out rather than loaded.
	loadFactor = 2
	// maxFirstEventLimit is half the time after which callers abandon a stream without events.
	maxFirstEventLimit = time.Second
	// probersPerUpstream is how many of the hosts that see the same upstream silent check it in one
	// round, on average: that none of them does is rare.
	probersPerUpstream = 4
)

// firstEvents keeps the recent times to a first event in one data centre.
type firstEvents struct {
	took, at [firstEventSamples]time.Duration
	next     int
}

// add records a first event.
func (f *firstEvents) add(now, took time.Duration) {
	f.took[f.next], f.at[f.next] = took, now
	f.next = (f.next + 1) % firstEventSamples
}

// lowerQuartile returns the time within which the fastest quarter of recent first events came; 0
// when there are too few. A lost upstream slows the streams over it, load slows all of them.
func (f *firstEvents) lowerQuartile(now time.Duration) time.Duration {
	var recent []time.Duration
	for i, at := range f.at {
		if f.took[i] > 0 && now-at <= firstEventMemory {
			recent = append(recent, f.took[i])
		}
	}
	if len(recent) < minFirstEventSamples {
		return 0
	}
	slices.Sort(recent)
	return recent[(len(recent)-1)/4]
}

// RecordFirstEvent records how long the first event of a path took.
func (b *Balancer) RecordFirstEvent(now time.Duration, l *Lease, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[l.First.ID]
	if u == nil {
		return
	}
	if b.firstEvents == nil {
		b.firstEvents = make(map[string]*firstEvents)
	}
	if b.firstEvents[u.DataCentre] == nil {
		b.firstEvents[u.DataCentre] = new(firstEvents)
	}
	b.firstEvents[u.DataCentre].add(now, took)
}

// SlowStartHops returns the hops to check of a path whose stream was sent at sentAt and waits for its
// first event: those over which no event has come since. Such a stream reveals a lost upstream that
// has no other streams. Many hosts with requests over an upstream share its checks, unless one of them
// can't reach it. Under load such a stream waits longer.
func (b *Balancer) SlowStartHops(now time.Duration, l *Lease, sentAt, usual time.Duration) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit, waited := b.firstEventLimit(now, l, usual), now-sentAt
	if waited <= usual {
		return nil
	}
	var out []Hop
	for _, h := range l.hops {
		u := b.upstreams[h.ID]
		if u == nil || u.dead || u.lastEventAt >= sentAt {
			continue
		}
		users, dead := b.otherHosts(now, u)
		if dead > 0 || (waited > limit && (!b.hasManyHosts() || b.isProber(u.ID, int64(now/usual), users))) {
			out = append(out, h)
		}
	}
	return out
}

// DeadChecks returns the dead upstreams to check in a round, at most a given number for each data centre.
// The hosts that know one to be dead share its checks. Once fewer of them say so, some have reached it,
// and the others check it at once.
func (b *Balancer) DeadChecks(now time.Duration, turn, maxPerDataCentre int) []Hop {
	out := b.DeadUpstreams(turn, maxPerDataCentre)
	b.mu.Lock()
	defer b.mu.Unlock()
	out = slices.DeleteFunc(out, func(h Hop) bool {
		u := b.upstreams[h.ID]
		if u == nil {
			return true
		}
		_, others := b.otherHosts(now, u)
		return !b.isProber(h.ID, int64(turn), others)
	})
	returned := make(map[string]int)
	for _, u := range b.subset.used {
		if !u.dead {
			continue
		}
		_, others := b.otherHosts(now, u)
		if others >= u.deadElsewhere {
			u.deadElsewhere = others
			continue
		}
		if returned[u.DataCentre] >= maxPerDataCentre {
			continue
		}
		u.deadElsewhere = others
		returned[u.DataCentre]++
		if !slices.ContainsFunc(out, func(h Hop) bool { return h.ID == u.ID }) {
			out = append(out, Hop{ID: u.ID, Address: u.Address})
		}
	}
	return out
}

// Witnesses returns the upstream that delivered an event most recently, and the one that did so in any other data
// centre, as far as there are any. Those with the given ids and those known to be dead are left out.
func (b *Balancer) Witnesses(without ...string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	latest := func(dataCentre string) *upstream {
		var last *upstream
		for _, u := range b.subset.used {
			if u.dead || u.DataCentre == dataCentre || slices.Contains(without, u.ID) {
				continue
			}
			if last == nil || u.lastEventAt > last.lastEventAt || (u.lastEventAt == last.lastEventAt && u.ID < last.ID) {
				last = u
			}
		}
		return last
	}
	first := latest("")
	if first == nil {
		return nil
	}
	out := []Hop{{ID: first.ID, Address: first.Address}}
	if second := latest(first.DataCentre); second != nil {
		out = append(out, Hop{ID: second.ID, Address: second.Address})
	}
	return out
}

// otherHosts returns how many other hosts may have requests over an upstream, and how many can't
// reach it.
func (b *Balancer) otherHosts(now time.Duration, u *upstream) (users, dead int64) {
	sum := b.reportedUsage(now, u)
	if sum == nil {
		return 0, 0
	}
	return min(sum.Requests, int64(b.hostCount()-1)), sum.DeadHosts
}

// FirstEventLimit returns how long a stream waits for its first event before its upstreams are
// checked: usual, or longer where there are many hosts and even the fastest recent first events took
// long.
func (b *Balancer) FirstEventLimit(now time.Duration, l *Lease, usual time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.firstEventLimit(now, l, usual)
}

func (b *Balancer) firstEventLimit(now time.Duration, l *Lease, usual time.Duration) time.Duration {
	u := b.upstreams[l.First.ID]
	if u == nil || b.firstEvents[u.DataCentre] == nil || !b.hasManyHosts() {
		return usual
	}
	return max(usual, min(maxFirstEventLimit, loadFactor*b.firstEvents[u.DataCentre].lowerQuartile(now)))
}

// isProber reports whether this host checks an upstream in a round, of all the hosts that see it as
// this one does. others is how many they are. Each host draws by itself, so that a lost host or
// report leaves no upstream unchecked.
func (b *Balancer) isProber(id string, round, others int64) bool {
	if others < probersPerUpstream {
		return true
	}
	draw := float64(xxhash.Sum64String(b.Host+"/"+id+"/"+strconv.FormatInt(round, 10))>>11) / (1 << 53)
	return draw*float64(others+1) < probersPerUpstream
}
