package forwarder

import (
	"context"
	"time"
)

// awaitResumeRetry takes a retry from the budget of this host or of another one, and reports whether it got one. It
// waits for one as long as the caller does, because retries become available as the window of the budget slides.
func (k *call) awaitResumeRetry(ctx context.Context) bool {
	budget := k.RetryBudget(k.service.Name)
	if !k.route.Resumable || budget.Ratio == 0 && budget.Fixed == 0 {
		return false
	}
	ctx, cancel := k.resumeContext(ctx)
	defer cancel()
	for wait := resumeRetryInterval; !k.takeOwnRetry() && !k.borrowRetry(ctx); wait = longerWait(wait) {
		if !sleep(ctx, wait) {
			return false
		}
	}
	return true
}

// resumeContext returns a context that ends when an interrupted stream stops waiting for a retry or a path: with ctx, or
// after resumeTimeout where another host delegated the stream to this one, because that host can then try elsewhere.
func (k *call) resumeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if k.delegatedBy != "" {
		return context.WithTimeout(ctx, resumeTimeout)
	}
	return context.WithCancel(ctx)
}

// longerWait returns the wait after the given one: twice as long, up to maxResumeRetryInterval.
func longerWait(wait time.Duration) time.Duration { return min(2*wait, maxResumeRetryInterval) }

// sleep waits for a time and returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
