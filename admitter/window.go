package admitter

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// WindowRetryBudget is a retry budget over a sliding window: all hosts together may make retries
// for a fraction of the requests in the window, plus a fixed number. It needs no messages between
// hosts, and it holds while hosts are started again, replaced or cut off, and callers move from
// one host to another: each host makes retries only for what its own requests have earned, and beyond
// that from a share of the fixed number that it gives up when its process ends. It is safe for
// concurrent use; the exported fields are set before use.
type WindowRetryBudget struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Length is the length of the window, in whole seconds.
	Length time.Duration
	// Fixed is the number of retries in a window that all hosts together may make beyond the
	// ratio.
	Fixed float64
	// Hosts returns the number of hosts that share Fixed, at least as many as may make retries in one
	// window; nil means 1.
	Hosts func() int
	// Started is when the process was started. Its predecessor may have used its share of Fixed just
	// before, so it has none of its own until a window is over, unless FirstStart is set.
	Started time.Duration
	// FirstStart is set where there was no process before.
	FirstStart bool

	mu sync.Mutex
	// seconds holds the counts of each second, the oldest first.
	seconds []counts
	// lastSecond is the time in seconds that the last element of seconds counts.
	lastSecond int64
	// advance is what was taken ahead of earnings, below 1.
	advance float64
}

// counts holds what happened in one second.
type counts struct {
	requests, retries float64
	// earned is what the requests earned and no retry has used yet.
	earned float64
	// fixed counts the retries made from the share of the fixed number.
	fixed float64
}

const (
	// earnedFraction is the fraction of the ratio that a request earns. What requests have earned in one
	// window may be used in the next: in any window all hosts use at most the earnings of two.
	earnedFraction = 0.5
	// fixedFraction is the fraction of the fixed number that hosts share. The rest covers retries that
	// reach their upstream later than they were taken, and hosts that learn late that others joined.
	fixedFraction = 0.9
	// fixedSlack is how much longer than a window a host waits to use its share again: a host that
	// joins is known to the others within that time.
	fixedSlack = time.Second
	// roundingError is how far a sum of earnings may be below the whole number that it stands for.
	roundingError = 1e-9
)

// RecordRequest counts one request of a caller, which is not a retry.
func (b *WindowRetryBudget) RecordRequest(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slide(now)
	last := &b.seconds[len(b.seconds)-1]
	last.requests++
	earned := earnedFraction * b.Ratio
	repaid := min(b.advance, earned)
	b.advance -= repaid
	last.earned += earned - repaid
}

// Spend takes one retry, and returns false when there is none.
func (b *WindowRetryBudget) Spend(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(now)
	last := &b.seconds[len(b.seconds)-1]
	switch {
	case u.hasEarned():
		b.takeEarned(1)
	case u.Fixed+1 <= u.FixedAllowed:
		last.fixed++
	case u.MayAdvance:
		b.takeEarned(u.Earned)
		b.advance = 1 - u.Earned
	default:
		return false
	}
	last.retries++
	return true
}

// HasRetry reports whether Spend would take a retry.
func (b *WindowRetryBudget) HasRetry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now).hasRetry()
}

// RetryUsage is the state of a WindowRetryBudget at one host.
type RetryUsage struct {
	// Requests and Retries are those of this host in the window.
	Requests, Retries float64
	// Earned is what requests have earned and no retry has used, in retries.
	Earned float64
	// Fixed counts the retries made from this host's share of the fixed number, FixedAllowed is that
	// share; 0 while the process has not run for a window.
	Fixed, FixedAllowed float64
	// MayAdvance is set where one retry may be taken ahead of earnings: otherwise a host that has just
	// started, or a host of hundreds, could not resume the first stream that breaks.
	MayAdvance bool
	// Hosts is the number of hosts by which the fixed number was divided; at least 1.
	Hosts int
}

// Available returns how many more retries this host may make now.
func (u RetryUsage) Available() float64 {
	out := u.Earned + max(0, u.FixedAllowed-u.Fixed)
	if u.MayAdvance {
		out = max(out, 1)
	}
	return out
}

// hasRetry reports whether one more retry is allowed.
func (u RetryUsage) hasRetry() bool {
	return u.hasEarned() || u.Fixed+1 <= u.FixedAllowed || u.MayAdvance
}

// hasEarned reports whether requests have earned a retry.
func (u RetryUsage) hasEarned() bool { return u.Earned >= 1-roundingError }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (u RetryUsage) MarshalZerologObject(e *zerolog.Event) {
	e.Float64("requests", u.Requests).Float64("retries", u.Retries).Float64("earned", u.Earned).
		Float64("fixed", u.Fixed).Float64("fixedAllowed", u.FixedAllowed).Int("hosts", u.Hosts)
}

// Usage returns what this host used of the budget and what it may use.
func (b *WindowRetryBudget) Usage(now time.Duration) RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now)
}

// usage is Usage while b.mu is held.
func (b *WindowRetryBudget) usage(now time.Duration) RetryUsage {
	b.slide(now)
	u := RetryUsage{Hosts: 1}
	for i, c := range b.seconds {
		u.Fixed += c.fixed
		if i >= b.firstOfWindow() {
			u.Requests += c.requests
			u.Retries += c.retries
			u.Earned += c.earned
		}
	}
	if b.Hosts != nil {
		u.Hosts = max(1, b.Hosts())
	}
	share := b.Fixed / float64(u.Hosts)
	starting := !b.FirstStart && now-b.Started < b.Length+fixedSlack
	if !starting {
		u.FixedAllowed = fixedFraction * share
	}
	u.MayAdvance = share >= 1 && b.advance < roundingError && u.FixedAllowed < 1
	return u
}

// takeEarned uses earnings, the oldest first.
func (b *WindowRetryBudget) takeEarned(n float64) {
	for i := b.firstOfWindow(); i < len(b.seconds); i++ {
		taken := min(n, b.seconds[i].earned)
		b.seconds[i].earned -= taken
		n -= taken
	}
}

// firstOfWindow returns the index in seconds of the first second whose earnings may still be used. The
// current second is not over, so that this is never more than a window.
func (b *WindowRetryBudget) firstOfWindow() int { return len(b.seconds) - int(b.Length/time.Second) }

// slide moves the window to now and drops the seconds that left it. The seconds reach back further
// than a window by fixedSlack, and by the current one.
func (b *WindowRetryBudget) slide(now time.Duration) {
	n := int((b.Length+fixedSlack)/time.Second) + 1
	s := int64(now / time.Second)
	if b.seconds == nil || s-b.lastSecond >= int64(n) {
		b.seconds = make([]counts, n)
	} else {
		for ; b.lastSecond < s; b.lastSecond++ {
			copy(b.seconds, b.seconds[1:])
			b.seconds[n-1] = counts{}
		}
	}
	b.lastSecond = s
}
