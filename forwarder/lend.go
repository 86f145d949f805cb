package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
)

const (
	// retryOfHeader is set in a ping that asks for a retry from the budget of the host for a service, which it names. A
	// host of an earlier version answers such a ping without delegationHeader, and lends nothing.
	retryOfHeader = "Sardineward-Retry-Of"
	// delegationLent is the outcome of a request for a retry where the host has taken one from its budget for the host
	// that asks.
	delegationLent = "lent"
	// maxLenders is how many hosts are asked in turn for one retry. Where none of them lends one, no host is asked for
	// some time.
	maxLenders = 4
	// maxRetryAge is how long after it was taken a retry may be sent: well within the window of the budget that counted
	// it.
	maxRetryAge = 1500 * time.Millisecond
)

// takeResumeRetry takes a retry to resume a stream that has begun, and reports whether there was one.
func (k *call) takeResumeRetry() bool { return k.hasResumeRetry() && k.takeOwnRetry() }

// hasResumeRetry reports whether there is a retry to resume a stream that has begun. Where there is none, it begins to
// borrow one in the background, which a later call finds.
func (k *call) hasResumeRetry() bool {
	if !k.route.Resumable {
		return false
	}
	if k.hasBorrowed() || k.RetryBudget(k.service.Name).HasRetry(k.Now()) {
		return true
	}
	if k.Delegator != nil && k.isBorrowing.CompareAndSwap(false, true) {
		go func() {
			defer k.isBorrowing.Store(false)
			if k.borrowRetry(k.r.Context()) {
				k.borrowedAt.Store(int64(k.Now()))
			}
		}()
	}
	return false
}

// takeOwnRetry takes a retry that was borrowed for the stream, or one from this host's budget.
func (k *call) takeOwnRetry() bool {
	if at := k.borrowedAt.Load(); k.hasBorrowed() && k.borrowedAt.CompareAndSwap(at, 0) {
		return true
	}
	return k.RetryBudget(k.service.Name).Spend(k.Now())
}

// hasBorrowed reports whether the stream has a retry of another host that is unused and at most maxRetryAge old.
func (k *call) hasBorrowed() bool {
	at := k.borrowedAt.Load()
	return at > 0 && k.Now()-time.Duration(at) <= maxRetryAge
}

// borrowRetry asks other hosts for a retry of their budgets for a stream that has begun, and reports whether one lent
// it. Each host's share of the fixed number of retries is small, and the budget bounds the sum over all hosts,
// whichever of them uses a share.
func (k *call) borrowRetry(ctx context.Context) bool {
	scope := k.service.Name + " without retries"
	if k.Delegator == nil || !k.route.Resumable || k.Delegator.IsUnserved(k.Now(), scope) {
		return false
	}
	var tried []string
	for range maxLenders {
		h, ok := k.Delegator.Choose(k.Now(), scope, tried)
		if !ok {
			break
		}
		tried = append(tried, h.Name)
		if k.borrowFrom(ctx, h, scope) {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
	}
	k.Delegator.RecordUnserved(k.Now(), scope)
	return false
}

// borrowFrom asks one host for a retry and reports whether it lent one. A host that did not is not asked again for some
// time.
func (k *call) borrowFrom(ctx context.Context, h delegator.Host, scope string) bool {
	defer k.Delegator.Release(h)
	ctx, cancel := k.withOwnDelay(ctx, pingTimeout) // giving up loses a retry that is lent late
	defer cancel()
	resp, err := k.Pool.Do(ctx, &connector.Request{
		Address: h.Address, Purpose: connector.PurposePeer, Method: http.MethodGet, Target: "/", Host: h.Address,
		Header:     http.Header{delegatedByHeader: {k.HostName}, delegationHeader: {delegationPing}, retryOfHeader: {k.service.Name}},
		AtMostOnce: true, // a retry that is lent twice is lost
	})
	outcome, wait := "noAnswer", exclusion
	if err == nil {
		outcome = resp.Header.Get(delegationHeader)
		resp.Done()
	}
	switch outcome {
	case delegationLent:
		k.countDelegation("sent", delegationLent)
		k.Log.Info().Str("requestId", k.id).Str("host", h.Name).Msg("forwarder: retry borrowed")
		return true
	case "":
		wait = unsupportedExclusion
	}
	k.Delegator.Exclude(h, scope, k.Now()+wait)
	k.Log.Debug().Err(err).Str("requestId", k.id).Str("host", h.Name).Str("outcome", outcome).Msg("forwarder: no retry borrowed")
	return false
}

// lendRetry answers a host that asks for a retry for a service. A retry that is lent counts against this host's budget
// from now on, even if the answer is lost.
func (f *Forwarder) lendRetry(w http.ResponseWriter, service string) {
	outcome := delegationRefused
	if t := f.Tables.Table(); t != nil && t.Services[service] != nil && f.RetryBudget(service).Spend(f.Now()) {
		outcome = delegationLent
		f.countDelegation("taken", delegationLent)
	}
	w.Header().Set(delegationHeader, outcome)
	w.WriteHeader(http.StatusNoContent)
}
