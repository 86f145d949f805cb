// Package checker asserts invariants of the program at run time. The assertions are always compiled
// in: a violation is counted, logged with its request id, and passed to Fail, by which tests fail.
package checker

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
)

//go:generate enumer -type Invariant -trimprefix Invariant -transform title-lower -output invariant_gen.go

// Invariant identifies a property of the program that must hold at all times.
type Invariant int

// The invariants, in the order of the guarantees to users.
const (
	// InvariantLayers means that every layer runs exactly once for each token, in order.
	InvariantLayers Invariant = iota
	// InvariantAnswer means that a caller gets the complete answer to its own request.
	InvariantAnswer
	// InvariantNotRun means that a request refused as not run was started by no upstream.
	InvariantNotRun
	// InvariantAtMostOnce means that a call that is not idempotent is sent at most once.
	InvariantAtMostOnce
	// InvariantLeaving means that an upstream known to be leaving gets no new requests.
	InvariantLeaving
	// InvariantGraceful means that a graceful stop breaks off no request.
	InvariantGraceful
	// InvariantRevision means that the configuration revision in force never decreases.
	InvariantRevision
	// InvariantOrder means that a host gives orders only while it holds the lease.
	InvariantOrder
)

// Violation is one violation of an invariant; it is an error.
type Violation struct {
	Invariant Invariant
	// RequestID is empty when the violation concerns no request.
	RequestID string
	// Text says what was observed.
	Text string
}

// Error returns the invariant, what was observed, and the request id.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %s (request %q)", v.Invariant, v.Text, v.RequestID)
}

// Checker counts and reports violations. The zero value only counts them; a nil Checker may be
// asserted on, and ignores them. It is safe for concurrent use.
type Checker struct {
	// Log gets one line for each violation.
	Log zerolog.Logger
	// Fail, if set, is called with each violation. Production leaves it nil; tests report an error.
	Fail func(Violation)

	counts [InvariantOrder + 1]atomic.Int64
	mu     sync.Mutex
	// last is the latest violation.
	last Violation
}

// Assert reports a violation of an invariant unless ok is true. The text of the violation is made
// from format and args.
func (c *Checker) Assert(ok bool, inv Invariant, requestID, format string, args ...any) {
	if ok || c == nil {
		return
	}
	v := Violation{Invariant: inv, RequestID: requestID, Text: fmt.Sprintf(format, args...)}
	c.counts[inv].Add(1)
	c.Log.Error().Str("requestId", requestID).Stringer("invariant", inv).Msg("checker: " + v.Text)
	c.mu.Lock()
	c.last = v
	c.mu.Unlock()
	if c.Fail != nil {
		c.Fail(v)
	}
}

// Count returns the number of violations of an invariant so far.
func (c *Checker) Count(inv Invariant) int64 {
	return c.counts[inv].Load()
}

// Total returns the number of violations of all invariants so far.
func (c *Checker) Total() int64 {
	var n int64
	for i := range c.counts {
		n += c.counts[i].Load()
	}
	return n
}
