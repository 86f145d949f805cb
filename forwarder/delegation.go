package forwarder

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sardineward/sardineward/delegator"
)

// errNoStamp means that a host sent a success without an upstream's signature.
var errNoStamp = errors.New("forwarder: success without the signature of an upstream")

// errNoOutcome means that a host responded without saying whether it has served the request.
var errNoOutcome = errors.New("forwarder: response of a host does not say what became of the request")

// errHostSilent cancels a delegated request because the host that serves it does not answer.
var errHostSilent = errors.New("forwarder: the host that serves the request is silent")

// delegationSilence is how long a delegated request waits for an event until the host that serves it is asked
// whether it lives, and the time between two such questions.
const delegationSilence = 500 * time.Millisecond

// delegation is a request that another host serves for this one.
type delegation struct {
	host delegator.Host
	// lastEvent is when the last event arrived, or when the request was sent, as nanoseconds of Now.
	lastEvent atomic.Int64
	// askedAt is when the host was last asked whether it lives.
	askedAt time.Duration
	cancel  context.CancelCauseFunc
}

// trackDelegation tracks a delegated request, so that a host which freezes or is cut off is noticed. A request that
// may not be repeated is waited for: it may have run.
func (k *call) trackDelegation(ctx context.Context, h delegator.Host) (tracked context.Context, d *delegation, done func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	d = &delegation{host: h, cancel: cancel}
	d.lastEvent.Store(int64(k.Now()))
	if !k.route.Repeatable() {
		return ctx, d, func() { cancel(nil) }
	}
	k.mu.Lock()
	if k.delegations == nil {
		k.delegations = make(map[*delegation]struct{})
	}
	k.delegations[d] = struct{}{}
	k.mu.Unlock()
	return ctx, d, func() {
		k.mu.Lock()
		delete(k.delegations, d)
		k.mu.Unlock()
		cancel(nil)
	}
}

// checkDelegations asks hosts that serve requests for this one and are silent whether they live.
func (f *Forwarder) checkDelegations(ctx context.Context, now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	asked := make(map[string]bool)
	for d := range f.delegations {
		if now-max(time.Duration(d.lastEvent.Load()), d.askedAt) < delegationSilence {
			continue
		}
		d.askedAt = now
		if !asked[d.host.Name] {
			asked[d.host.Name] = true
			f.ping(ctx, d.host)
		}
	}
}
