package checker

import (
	"context"
	"sync/atomic"
)

// Witness knows, apart from the decisions it is to check, whether any upstream
// may have started a request: the clients of upstreams tell it directly.
type Witness struct {
	started atomic.Int64
}

type witnessKey struct{}

// WithWitness returns a context that carries a new witness.
func WithWitness(ctx context.Context) (context.Context, *Witness) {
	w := new(Witness)
	return context.WithValue(ctx, witnessKey{}, w), w
}

// Sent tells the context's witness that a connection to an upstream was taken
// for the request.
func Sent(ctx context.Context) {
	if w, ok := ctx.Value(witnessKey{}).(*Witness); ok {
		w.started.Add(1)
	}
}

// Declined takes one Sent back: the upstream said that it did not start.
func Declined(ctx context.Context) {
	if w, ok := ctx.Value(witnessKey{}).(*Witness); ok {
		w.started.Add(-1)
	}
}

// Started reports whether an upstream may have started the request.
func (w *Witness) Started() bool { return w.started.Load() > 0 }
