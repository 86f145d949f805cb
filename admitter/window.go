package admitter

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// WindowRetryBudget is a retry budget over a sliding window: all hosts together may make retries
// for a fraction of the requests in the window, plus a fixed number. It needs no messages between
// hosts: each one keeps to the ratio of its own requests and to its share of the fixed number, so
// that all together stay within the budget. It is safe for concurrent use; the exported fields are
// set before use.
type WindowRetryBudget struct {
	// Ratio is the number of retries that each request allows.
	Ratio float64
	// Length is the length of the window, in whole seconds.
	Length time.Duration
	// Fixed is the number of retries in a window that all hosts together may make beyond the
	// ratio.
	Fixed float64
	// Hosts returns the number of hosts that share Fixed; nil means 1.
	Hosts func() int

	mu sync.Mutex
	// seconds holds the counts of each second in the window, the oldest first.
	seconds []counts
	// lastSecond is the time in seconds that the last element of seconds counts.
	lastSecond int64
}

// counts holds the requests and retries of one second.
type counts struct{ requests, retries float64 }

// RetryUsage is the state of a WindowRetryBudget at one host.
type RetryUsage struct {
	// Requests and Retries are those of this host in the window.
	Requests, Retries float64
	// Allowed is how many retries this host may make in the window.
	Allowed float64
	// Hosts is the number of hosts by which the fixed number was divided; at least 1.
	Hosts int
}

// hasRetry reports whether one more retry is allowed.
func (u RetryUsage) hasRetry() bool { return u.Retries+1 <= u.Allowed }

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (u RetryUsage) MarshalZerologObject(e *zerolog.Event) {
	e.Float64("requests", u.Requests).Float64("retries", u.Retries).Float64("allowed", u.Allowed).Int("hosts", u.Hosts)
}

// safetyFactor is the fraction of its share that a host uses: a restarted host does not know the
// retries that it made before, and the window slides in steps of whole seconds.
const safetyFactor = 0.7

// RecordRequest counts one request of a caller, which is not a retry.
func (b *WindowRetryBudget) RecordRequest(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.seconds[len(b.seconds)-1].requests++
}

// Spend takes one retry, and returns false when there is none.
func (b *WindowRetryBudget) Spend(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.usage(now).hasRetry() {
		return false
	}
	b.seconds[len(b.seconds)-1].retries++
	return true
}

// HasRetry reports whether Spend would take a retry.
func (b *WindowRetryBudget) HasRetry(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now).hasRetry()
}

// Usage returns what this host used of the budget and what it may use.
func (b *WindowRetryBudget) Usage(now time.Duration) RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now)
}

// usage is Usage while b.mu is held.
func (b *WindowRetryBudget) usage(now time.Duration) RetryUsage {
	b.advance(now)
	u := RetryUsage{Hosts: 1}
	for _, c := range b.seconds {
		u.Requests += c.requests
		u.Retries += c.retries
	}
	if b.Hosts != nil {
		u.Hosts = max(1, b.Hosts())
	}
	share := b.Fixed / float64(u.Hosts)
	u.Allowed = safetyFactor * (b.Ratio*u.Requests + share)
	if share >= 1 {
		// With hundreds of hosts, the share of one that has just started would be below one retry.
		u.Allowed = max(u.Allowed, 1)
	}
	return u
}

// advance moves the window to now and drops the seconds that left it.
func (b *WindowRetryBudget) advance(now time.Duration) {
	n := int(b.Length/time.Second) + 1
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
