package follower

import (
	"cmp"
	"time"
)

const (
	// defaultHeartbeatInterval is how often an upstream writes its entry, unless the settings tell.
	defaultHeartbeatInterval = 1200 * time.Millisecond
	// minLapseIntervals is how many heartbeat intervals an outage must last for an entry to lapse in it:
	// an entry lapses after three without a write, and the last write is one before the outage at most.
	minLapseIntervals = 2
	// minWriters is how many upstreams must have written for their writes to show that there was no outage.
	minWriters = 3
	// reregisterGrace is how long after the return of the source an entry that expired in the outage may
	// take to be written again before it counts as removed. Upstreams need about two seconds; half of
	// maxReturnSpan more, as the moment of the return is known no better.
	reregisterGrace = 2550 * time.Millisecond
	// maxReturnSpan bounds the time in which the source may have returned: one call without an answer and
	// the pause after it.
	maxReturnSpan = responseSlack + retryDelay
)

// mayHaveLapsed reports whether the entries that ch removes, in the first answer after calls that failed, may have
// expired in an outage of the source, so that upstreams which are alive write them again. Otherwise only this host did
// not reach the source, and they have left. f.mu is held.
func (f *Follower) mayHaveLapsed(ch *Changes) bool {
	if f.restored {
		return true
	}
	intervals := float64(f.ReadAge()) / float64(cmp.Or(f.HeartbeatInterval, defaultHeartbeatInterval))
	return intervals >= minLapseIntervals && !ch.showsWrites(intervals)
}

// showsWrites reports whether upstreams went on writing for a number of heartbeat intervals, except for those that ch
// removes. If the source had been unreachable for long enough that entries expire, each would lack two writes, and have
// written once more when it returned.
func (c *Changes) showsWrites(intervals float64) bool {
	writes := make(map[string]int)
	for i := range c.Replaced {
		writes[c.Replaced[i].ID]++
	}
	for i := range c.Listed {
		writes[c.Listed[i].ID]++
	}
	for _, id := range c.Removed {
		delete(writes, id)
	}
	total := 0
	for _, n := range writes {
		total += n
	}
	return len(writes) >= minWriters && float64(total) >= (intervals-0.5)*float64(len(writes))
}

// missingUntil returns when entries that are missing after an outage count as removed, if the first answer after it has
// just arrived. The source returned between the last failed call and now. f.mu is held.
func (f *Follower) missingUntil() time.Duration {
	now := f.Now()
	return now - min(now-f.failedAt, maxReturnSpan)/2 + reregisterGrace
}

// untilMissingDue returns the time until missing entries count as removed, or until if that is earlier.
func (f *Follower) untilMissingDue(until time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Now()
	for _, missing := range []map[string]time.Duration{f.missingUpstreams, f.missingHosts} {
		for _, at := range missing {
			until = min(until, at-now)
		}
	}
	return max(0, until)
}
