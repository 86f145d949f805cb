// Package limiter keeps to the rates of requests that upstreams in need name in their
// answers. A limit holds for all hosts together: it decides which of them may use the
// upstream, and how often each.
//
// It does no I/O; time comes in as an argument, on a clock that does not run backwards.
package limiter

import (
	"fmt"
	"math"
	"time"
)

// Unlimited is the rate of an upstream that names no limit.
var Unlimited = math.Inf(1)

// Limit is what a host knows of the limit of an upstream. The zero value is that it
// never heard of one.
type Limit struct {
	// Version rises by one with each change that any host learns from an answer.
	Version int64
	// PerSecond is the rate of requests of all hosts; Unlimited once the upstream names
	// none any more. Not negative.
	PerSecond float64
	// Since is when this host last had it confirmed by an answer, or was told of it.
	Since time.Duration
	// Heard is when an answer last named it to any host.
	Heard time.Duration
}

// InForce reports whether the upstream names a limit.
func (l *Limit) InForce() bool { return l.Version > 0 && !math.IsInf(l.PerSecond, 1) }

// Rate is the requests a second that the upstream takes.
func (l *Limit) Rate() float64 {
	if !l.InForce() {
		return Unlimited
	}
	return l.PerSecond
}

// Observe takes in an answer that names a rate, Unlimited for none, to a request sent at
// sent. Answers may overtake each other, so that one to an earlier request than the last
// news neither ends nor raises a limit, and does not bring back one that ended. It
// reports whether the limit changed.
func (l *Limit) Observe(now, sent time.Duration, perSecond float64) bool {
	was := l.Rate()
	overtaken := l.Version > 0 && sent < l.Since
	switch {
	case perSecond == was:
		if l.InForce() {
			l.Since, l.Heard = now, now
		}
		return false
	case overtaken && (perSecond > was || !l.InForce()):
		return false
	}
	*l = Limit{Version: l.Version + 1, PerSecond: perSecond, Since: now, Heard: now}
	return true
}

// Merge takes in what another host knows. Of two limits of one version, heard by two
// hosts at once, the lower one holds. It reports whether the limit changed.
func (l *Limit) Merge(now time.Duration, other Limit) bool {
	if other.Version < l.Version || (other.Version == l.Version && other.PerSecond >= l.PerSecond) {
		return false
	}
	was := l.Rate()
	*l = Limit{Version: other.Version, PerSecond: other.PerSecond, Since: now, Heard: other.Heard}
	return l.Rate() != was
}

// mostVersion bounds the version that another host may tell.
const mostVersion = 1 << 40

// ImpossibleError is a limit that can't be.
type ImpossibleError struct {
	Version   int64
	PerSecond float64
}

// Error names the limit.
func (e *ImpossibleError) Error() string {
	return fmt.Sprintf("limiter: impossible limit of %g requests a second, version %d", e.PerSecond, e.Version)
}

// Check returns an *ImpossibleError for a limit that can't be.
func (l *Limit) Check() error {
	if l.Version < 1 || l.Version > mostVersion || l.PerSecond < 0 || math.IsNaN(l.PerSecond) {
		return &ImpossibleError{l.Version, l.PerSecond}
	}
	return nil
}
