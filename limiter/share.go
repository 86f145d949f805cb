package limiter

import (
	"math"
	"time"
)

const (
	// minRate is the requests a second that are sent even at a lower limit: an upstream can end
	// a limit only in an answer.
	minRate = 0.05
	// hostsPerRate times a limit in requests a second, plus extraHosts, is the most hosts that use
	// an upstream. Each may send one request at once after a pause. Any four seconds may have one
	// and a half times the limit plus five requests; two of the five are left for hosts that
	// disagree on which hosts there are.
	hostsPerRate = 2
	extraHosts   = 3
	// extraBurst is how many requests beyond those of a second all hosts may send at once.
	extraBurst = 2
)

// Share is a host's part of a limit.
type Share struct {
	// PerSecond is the requests a second that the host may send; 0 allows none.
	PerSecond float64
	// Burst is how many requests it may send at once after a pause; at least 1 for a positive rate.
	Burst float64
	// InitialLevel is the part of a request that the bucket starts with. It differs by host, since
	// with a low limit all hosts would otherwise wait equally long for their first request.
	InitialLevel float64
}

// ShareOf divides a limit in requests a second among hosts. It returns the share of the host at a
// place in their order for the upstream. With many hosts only the first ones use the upstream,
// because one request of each would exceed the limit.
func ShareOf(perSecond float64, place, hosts int) Share {
	rate := max(perSecond, minRate)
	activeHosts := min(math.Floor(hostsPerRate*rate)+extraHosts, float64(max(1, hosts)))
	if float64(place) >= activeHosts {
		return Share{}
	}
	return Share{PerSecond: rate / activeHosts, Burst: max(1, (rate+extraBurst)/activeHosts), InitialLevel: float64(place) / activeHosts}
}

// Bucket is the token bucket of a share. The zero value starts at time 0.
type Bucket struct {
	level    float64
	filledAt time.Duration
	started  bool
}

// NewBucket returns a bucket that starts now.
func NewBucket(now time.Duration) Bucket { return Bucket{filledAt: now} }

// fill adds the level gained since the last call.
func (b *Bucket) fill(now time.Duration, s Share) {
	if !b.started {
		b.level, b.started = s.InitialLevel, true
	}
	b.level = min(s.Burst, b.level+(now-b.filledAt).Seconds()*s.PerSecond)
	b.filledAt = now
}

// minLevel returns the level from which a request may be sent. Where the bucket holds two or more,
// the last is kept for urgent requests.
func (s Share) minLevel(urgent bool) float64 {
	if !urgent && s.Burst >= 2 {
		return 2
	}
	return 1
}

// CanTake reports whether a request may be sent now; urgent is set for one that continues a stream.
func (b *Bucket) CanTake(now time.Duration, s Share, urgent bool) bool {
	if s.PerSecond == 0 {
		return false
	}
	b.fill(now, s)
	return b.level >= s.minLevel(urgent)
}

// Take counts a sent request.
func (b *Bucket) Take(now time.Duration, s Share) {
	b.fill(now, s)
	b.level--
}

// Wait returns the time until a request that is not urgent may be sent; ok is false where the
// share allows none.
func (b *Bucket) Wait(now time.Duration, s Share) (wait time.Duration, ok bool) {
	if s.PerSecond == 0 {
		return 0, false
	}
	b.fill(now, s)
	return time.Duration(max(0, s.minLevel(false)-b.level) / s.PerSecond * float64(time.Second)), true
}

// Interval returns the time between two requests at a rate; 0 for Unlimited.
func Interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / max(perSecond, minRate))
}
