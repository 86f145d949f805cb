package checker

import (
	"context"
	"sync/atomic"
)

// ExecutionTracker tracks whether an upstream may have started a request. The clients of upstreams
// report to it directly, so that it is independent of the decisions that are checked against it.
type ExecutionTracker struct {
	// started counts the attempts that were sent and not declined.
	started atomic.Int64
}

// trackerKey is the context key of the request's ExecutionTracker.
type trackerKey struct{}

// WithExecutionTracker returns a context that carries a new ExecutionTracker, and the tracker.
func WithExecutionTracker(ctx context.Context) (context.Context, *ExecutionTracker) {
	w := new(ExecutionTracker)
	return context.WithValue(ctx, trackerKey{}, w), w
}

// RecordSent records that a connection to an upstream was obtained for the context's request, so
// that the upstream may start it. It does nothing for a context without an ExecutionTracker, as does
// RecordDeclined.
func RecordSent(ctx context.Context) {
	if w, ok := ctx.Value(trackerKey{}).(*ExecutionTracker); ok {
		w.started.Add(1)
	}
}

// RecordDeclined undoes one call of RecordSent, after the upstream answered that it did not start
// the request.
func RecordDeclined(ctx context.Context) {
	if w, ok := ctx.Value(trackerKey{}).(*ExecutionTracker); ok {
		w.started.Add(-1)
	}
}

// MayHaveStarted reports whether an upstream may have started the request.
func (w *ExecutionTracker) MayHaveStarted() bool { return w.started.Load() > 0 }
