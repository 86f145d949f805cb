package limiter

import (
	"math"
	"time"
)

const (
	// leastRate is the requests a second that are sent at a lower limit: an upstream can
	// end a limit only in an answer.
	leastRate = 0.05
	// userFactor times a limit, and moreUsers, are the hosts that use it at most. Each may
	// send one request at once after a rest, and any four seconds may have one and a half
	// times the limit and five requests more: two of these are left for hosts that differ
	// on who is there.
	userFactor = 2
	moreUsers  = 3
	// burstSlack is how many requests beyond those of a second all hosts may send at once.
	burstSlack = 2
)

// Share is a host's part of a limit.
type Share struct {
	// PerSecond is the rate of requests that it may send; 0 is none at all.
	PerSecond float64
	// Burst is how many it may send at once after a rest; at least 1 where there is a rate.
	Burst float64
	// Start is the part of a request that it begins with, other than the other hosts: with
	// little to share they would all wait for their first one as long.
	Start float64
}

// ShareOf divides a limit among hosts and returns the share of the one at a place in
// their order for the upstream. Where hosts are many only the first of them use it: one
// request of each would be more than the limit.
func ShareOf(perSecond float64, place, hosts int) Share {
	rate := max(perSecond, leastRate)
	users := min(math.Floor(userFactor*rate)+moreUsers, float64(max(1, hosts)))
	if float64(place) >= users {
		return Share{}
	}
	return Share{PerSecond: rate / users, Burst: max(1, (rate+burstSlack)/users), Start: float64(place) / users}
}

// Bucket paces the requests of a share. The zero value begins at time 0.
type Bucket struct {
	level float64
	at    time.Duration
	begun bool
}

// NewBucket is one that begins now.
func NewBucket(now time.Duration) Bucket { return Bucket{at: now} }

// fill adds what came since the last call.
func (b *Bucket) fill(now time.Duration, s Share) {
	if !b.begun {
		b.level, b.begun = s.Start, true
	}
	b.level = min(s.Burst, b.level+(now-b.at).Seconds()*s.PerSecond)
	b.at = now
}

// need is the level from which a request may go. Where two fit, the last is kept for
// work that has to go on.
func (s Share) need(urgent bool) float64 {
	if !urgent && s.Burst >= 2 {
		return 2
	}
	return 1
}

// Has reports whether a request may go now; urgent is for work that has to go on.
func (b *Bucket) Has(now time.Duration, s Share, urgent bool) bool {
	if s.PerSecond == 0 {
		return false
	}
	b.fill(now, s)
	return b.level >= s.need(urgent)
}

// Take notes that a request goes.
func (b *Bucket) Take(now time.Duration, s Share) {
	b.fill(now, s)
	b.level--
}

// Wait is the time until a request may go that is not urgent; ok is false where the
// share has none.
func (b *Bucket) Wait(now time.Duration, s Share) (wait time.Duration, ok bool) {
	if s.PerSecond == 0 {
		return 0, false
	}
	b.fill(now, s)
	return time.Duration(max(0, s.need(false)-b.level) / s.PerSecond * float64(time.Second)), true
}

// Interval is the time between two requests at a rate; 0 for Unlimited.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, leastRate))
}
