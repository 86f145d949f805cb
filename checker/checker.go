// Package checker holds the invariants that the program asserts about itself.
// They are always compiled in: a violation is counted, logged with its request
// id, and fails any test that set Fail.
package checker

import (
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
)

//go:generate enumer -type Invariant -trimprefix Invariant -transform title-lower -output invariant_gen.go

// Invariant is something that must hold at all times.
type Invariant int

// The invariants, in the order of the promises to users.
const (
	// InvariantLayers: every layer runs exactly once for each token, in order.
	InvariantLayers Invariant = iota
	// InvariantAnswer: a caller gets the whole answer to its own request.
	InvariantAnswer
	// InvariantNotRun: a request refused as not run reached no upstream.
	InvariantNotRun
	// InvariantAtMostOnce: a call that is not idempotent is sent at most once.
	InvariantAtMostOnce
	// InvariantLeaving: an upstream known to be leaving gets no new work.
	InvariantLeaving
	// InvariantGraceful: a graceful stop cuts off no request.
	InvariantGraceful
	// InvariantRevision: the revision in force never goes down.
	InvariantRevision
	// InvariantOrder: an order is given only while the lease is held.
	InvariantOrder
)

// Violation is one breach of an invariant.
type Violation struct {
	Invariant Invariant
	// RequestID is empty when no request is concerned.
	RequestID string
	Text      string
}

// Error gives the invariant and what was seen.
func (v Violation) Error() string {
	return fmt.Sprintf("%s: %s (request %q)", v.Invariant, v.Text, v.RequestID)
}

// Checker counts and reports violations. The zero value counts only.
type Checker struct {
	// Log gets one line a violation.
	Log zerolog.Logger
	// Fail is called with each violation; nil in production, t.Errorf in tests.
	Fail func(Violation)

	counts [InvariantOrder + 1]atomic.Int64
	mu     sync.Mutex
	last   Violation
}

// Assert reports a violation unless ok.
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

// Count returns how often an invariant was violated since the start.
func (c *Checker) Count(inv Invariant) int64 {
	return c.counts[inv].Load()
}

// Total returns how often any invariant was violated since the start.
func (c *Checker) Total() int64 {
	var n int64
	for i := range c.counts {
		n += c.counts[i].Load()
	}
	return n
}
