// Package limiter enforces the request rate limits that overloaded upstreams name in their
// answers. A limit applies to all hosts together. The package decides which of them may use
// the upstream, and how often each may.
//
// It does no I/O. Callers pass the time, as read from a monotonic clock.
package limiter

import (
	"fmt"
	"math"
	"time"
)

// Unlimited is the rate, in requests a second, of an upstream that names no limit.
var Unlimited = math.Inf(1)

// Limit is what a host knows of an upstream's rate limit. The zero value means that the host has
// not learned of any yet.
type Limit struct {
	// Version increases by one with each change that any host learns from an answer.
	Version int64
	// PerSecond is the limit for all hosts together, in requests a second; Unlimited once the
	// upstream no longer names one. It is never negative.
	PerSecond float64
	// ConfirmedAt is when an answer last confirmed the limit to this host, or another host sent it.
	ConfirmedAt time.Duration
	// LastNamedAt is when an answer last named it to any host.
	LastNamedAt time.Duration
}

// InForce reports whether the upstream names a limit.
func (l *Limit) InForce() bool { return l.Version > 0 && !math.IsInf(l.PerSecond, 1) }

// Rate returns the limit in requests a second, or Unlimited.
func (l *Limit) Rate() float64 {
	if !l.InForce() {
		return Unlimited
	}
	return l.PerSecond
}

// Observe applies the rate that an answer names, in requests a second; Unlimited for none. sent
// is when the request was sent. Answers may overtake each other: one to a request from before the
// last change or confirmation can neither end nor raise a limit, nor bring back one that has
// ended. It reports whether the limit changed.
func (l *Limit) Observe(now, sent time.Duration, perSecond float64) bool {
	current := l.Rate()
	overtaken := l.Version > 0 && sent < l.ConfirmedAt
	switch {
	case perSecond == current:
		if l.InForce() {
			l.ConfirmedAt, l.LastNamedAt = now, now
		}
		return false
	case overtaken && (perSecond > current || !l.InForce()):
		return false
	}
	*l = Limit{Version: l.Version + 1, PerSecond: perSecond, ConfirmedAt: now, LastNamedAt: now}
	return true
}

// Merge applies a limit as another host knows it. Two hosts may learn different limits at once and
// give them the same version; the lower one then wins. It reports whether the limit changed.
func (l *Limit) Merge(now time.Duration, other Limit) bool {
	if other.Version < l.Version || (other.Version == l.Version && other.PerSecond >= l.PerSecond) {
		return false
	}
	before := l.Rate()
	*l = Limit{Version: other.Version, PerSecond: other.PerSecond, ConfirmedAt: now, LastNamedAt: other.LastNamedAt}
	return l.Rate() != before
}

// maxVersion bounds the versions that are accepted from other hosts.
const maxVersion = 1 << 40

// InvalidLimitError is a limit that is out of range.
type InvalidLimitError struct {
	Version   int64
	PerSecond float64
}

// Error names the rate and the version.
func (e *InvalidLimitError) Error() string {
	return fmt.Sprintf("limiter: limit of %g requests a second, version %d, out of range", e.PerSecond, e.Version)
}

// Check returns an *InvalidLimitError for a version or rate that is out of range.
func (l *Limit) Check() error {
	if l.Version < 1 || l.Version > maxVersion || l.PerSecond < 0 || math.IsNaN(l.PerSecond) {
		return &InvalidLimitError{l.Version, l.PerSecond}
	}
	return nil
}
