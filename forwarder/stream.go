package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

// errUpstreamSilent cancels an attempt because an upstream of its path is silent.
var errUpstreamSilent = errors.New("forwarder: an upstream of the path is silent")

const (
	// readBufferSize is the size in bytes of the buffer that a stream's response is read into.
	readBufferSize = 4 << 10
	// resumeTimeout is how long an interrupted stream waits for a retry or a path at a host that serves it for another
	// one. Callers abandon a stream that is silent for two seconds or more.
	resumeTimeout = 1500 * time.Millisecond
	// resumeRetryInterval is the first wait of an interrupted stream before it tries again to get a retry or a path.
	// Each further wait is twice as long, up to maxResumeRetryInterval.
	resumeRetryInterval    = 50 * time.Millisecond
	maxResumeRetryInterval = 200 * time.Millisecond
	// resumeDelegationInterval is how long an interrupted stream waits for a path before it is offered to other hosts
	// once more.
	resumeDelegationInterval = time.Second
)

// attempt is one try to run a stream over a path.
type attempt struct {
	// id is the id of the request, suspect what a crash is held against.
	id      string
	suspect suspect
	lease   *balancer.Lease
	// begun is set with the first event, at begunAt in nanoseconds of Now.
	begun   atomic.Bool
	begunAt atomic.Int64
	// lastEvent is when the last event arrived, or when the request was sent, as nanoseconds of
	// Now.
	lastEvent atomic.Int64
	// repaths counts the changes of the path.
	repaths atomic.Int32
	changes pathChanges
	// moving is set while a call of resume that moveFromLost started is in progress, so that it starts no second one.
	moving atomic.Bool
	// sentAt is when the request was sent.
	sentAt time.Duration
	cancel context.CancelCauseFunc
	// takeRetry takes a retry for resuming as a new request. mayMove is set where the route allows that
	// to run on another upstream.
	takeRetry func() bool
	mayMove   bool
	// retryMu guards retryTaken, which is set once the retry was taken.
	retryMu    sync.Mutex
	retryTaken bool
}

// reserveRetry takes the retry that resuming on another upstream needs. It returns false when the
// stream has not begun or there is no retry.
func (a *attempt) reserveRetry() bool {
	return a.begun.Load() && a.mayMove && a.takeResumption()
}

// takeResumption takes the retry that resuming needs, once, and reports whether it is taken.
func (a *attempt) takeResumption() bool {
	a.retryMu.Lock()
	defer a.retryMu.Unlock()
	a.retryTaken = a.retryTaken || a.takeRetry()
	return a.retryTaken
}

// hasRetry reports whether the retry for resuming is taken.
func (a *attempt) hasRetry() bool {
	a.retryMu.Lock()
	defer a.retryMu.Unlock()
	return a.retryTaken
}

// serveStream serves a streaming request, over further attempts where one is interrupted.
func (k *call) serveStream(ctx context.Context) {
	limits := k.StreamLimiters(k.service.Name)
	k.updateKeepFree()
	var rs resumption
	for {
		if k.shouldDelegate() && !k.delegate(ctx) {
			return
		}
		n := k.requirements()
		n.AvoidDataCentres = limits.Full(k.keepFree)
		l, toDelegate := k.acquireOrAbort(ctx, n)
		if toDelegate {
			continue
		}
		if l == nil {
			return
		}
		v, end := k.runLeased(ctx, l, limits.Get(l.DataCentre))
		if v == verdictAnswered {
			return
		}
		if v == verdictWithheld {
			continue
		}
		if v == verdictNotRun && k.unsent && k.headerSent {
			k.avoidUnsent(ctx, l)
			continue // nothing was sent, so the retry is still unused
		}
		if !k.headerSent {
			k.avoidFirst(l, v)
			if !k.retryOrRefuse(ctx, v) {
				return
			}
			continue
		}
		k.awaitResumption(ctx, &rs, v, end)
	}
}

// runLeased makes one attempt over a leased path, which counts for limit.
func (k *call) runLeased(ctx context.Context, l *balancer.Lease, limit *admitter.StreamLimiter) (verdict, attemptEnd) {
	limit.Acquire()
	defer limit.Release()
	return k.runStream(ctx, l)
}

// avoidFirst excludes the first upstream of an attempt that delivered no event from later attempts.
func (k *call) avoidFirst(l *balancer.Lease, v verdict) {
	if v != verdictNotRun {
		k.avoidUpstream(l.First.ID)
	}
}

// avoidUnsent excludes the first upstream of an attempt that sent nothing from the next attempts. If it is excluded
// already, no other one was available, so it waits for resumeRetryInterval before the next attempt.
func (k *call) avoidUnsent(ctx context.Context, l *balancer.Lease) {
	if slices.Contains(k.avoid, l.First.ID) {
		sleep(ctx, resumeRetryInterval)
	}
	k.avoidUpstream(l.First.ID)
}

// acquireOrAbort is acquire for a stream that may have begun: a begun one waits for a path as long as its caller does,
// and is aborted then. toDelegate is set where the caller is to choose again, as another host may serve it.
func (k *call) acquireOrAbort(ctx context.Context, n balancer.Requirements) (l *balancer.Lease, toDelegate bool) {
	if !k.headerSent {
		l = k.acquire(n)
		return l, l == nil && !k.headerSent
	}
	n.Service, n.Definition = k.service.Name, k.service
	n.InProgress = true
	n.HasConnection = k.hasConnection
	n.AvoidDataCentres = nil
	n.AllowedFirst = k.allowedFirsts()
	ctx, cancel := k.resumeContext(ctx)
	defer cancel()
	offerAt := k.Now() + resumeDelegationInterval
	for wait := resumeRetryInterval; ctx.Err() == nil; wait = longerWait(wait) {
		n.Avoid = k.avoid
		l, reason := k.Balancer.Acquire(k.Now(), n)
		if l == nil {
			n.Avoid = nil
			l, reason = k.Balancer.Acquire(k.Now(), n)
		}
		if l != nil && k.renewRetry(ctx) {
			k.recordAdmitted()
			return l, false
		}
		if l != nil {
			k.Balancer.Release(l)
			sleep(ctx, wait)
			continue
		}
		if k.Now() >= offerAt {
			k.foundNoUpstream, k.delegationFailed = false, false
		}
		if reason == balancer.ReasonNoUpstream && k.delegateInstead() {
			return nil, true
		}
		sleep(ctx, wait)
	}
	k.abortStream(k.pathCause(), 0)
	return nil, false
}

// renewRetry reports whether the stream has a retry that may be sent now. It replaces one that is older than
// maxRetryAge, because the window that counted it may have passed.
func (k *call) renewRetry(ctx context.Context) bool {
	if k.retryTakenAt == 0 || k.Now()-k.retryTakenAt <= maxRetryAge {
		return true
	}
	if !k.takeOwnRetry() && !k.borrowRetry(ctx) {
		return false
	}
	k.retryTakenAt = k.Now()
	return true
}

// pathCause returns the cause for ending a stream that found no path.
func (k *call) pathCause() cutCause {
	if k.Detector.State(k.Now()).Lost {
		return cutCauseHost
	}
	return cutCausePath
}

// allowedFirsts returns the upstreams that the request may be sent to; nil means any. The upstreams
// that ran it and the candidates count against the route's MaxAttempts; once that is reached, only
// they may run it. Lost upstreams don't count, so that their loss alone never ends a stream.
func (k *call) allowedFirsts(candidates ...string) []string {
	var out []string
	for _, id := range slices.Concat(k.ranOn, candidates) {
		if !slices.Contains(out, id) && !k.Balancer.HasStopped(id) {
			out = append(out, id)
		}
	}
	if len(out) < k.route.MaxAttempts {
		return nil
	}
	return out
}

// requirements returns what to reserve for the request, from its token counts or the engine's averages.
func (k *call) requirements() balancer.Requirements {
	prompt, maxTokens := parseTokens(k.r.Header.Get(k.Headers.Tokens))
	n := balancer.Requirements{PromptTokens: prompt, AnswerTokens: maxTokens, FirstEventTarget: k.route.TargetLatency}
	e := k.service.Engine
	if e == nil {
		return n
	}
	if prompt == 0 {
		n.PromptTokens = e.Prompt
	}
	expected := parseNumber(k.r.Header.Get(k.Headers.Length))
	if expected == 0 {
		expected = e.Answer
	}
	if maxTokens == 0 || expected < maxTokens {
		n.AnswerTokens = expected
	}
	return n
}

// runStream makes one attempt over a leased path, relays its events and releases the lease, also where
// it panics since the caller has gone.
func (k *call) runStream(ctx context.Context, l *balancer.Lease) (verdict, attemptEnd) {
	defer k.release(l)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{
		id: k.id, suspect: k.suspect(), lease: l, sentAt: k.Now(), cancel: cancel,
		takeRetry: k.takeResumeRetry, mayMove: k.allowedFirsts(l.First.ID) == nil,
	}
	a.lastEvent.Store(int64(a.sentAt))
	k.track(a)
	defer k.untrack(a)
	defer k.startFirstEventTimer(a).Stop()
	v := k.sendStream(ctx, a)
	if v != verdictNotRun && v != verdictWithheld {
		k.ranOn = append(k.ranOn, l.First.ID)
	}
	return v, attemptEnd{retryTaken: a.hasRetry(), moved: errors.Is(context.Cause(ctx), errUpstreamSilent) && !k.Balancer.HasStopped(l.First.ID)}
}

// sendStream sends the request of an attempt and relays the response.
func (k *call) sendStream(ctx context.Context, a *attempt) (v verdict) {
	l := a.lease
	req := k.upstreamRequest(l)
	if k.lastEventID.text != "" {
		req.Header.Set("Last-Event-Id", k.lastEventID.text)
	}
	k.received = responseProgress{}
	wasSent := k.wasSent
	resp, err := k.Pool.Do(ctx, req)
	if err != nil {
		k.recordNoFirstEvent(a)
		return k.classifyError(ctx, l, err)
	}
	defer func() {
		if v == verdictNotRun {
			k.wasSent = wasSent
		}
		endResponse(resp, v)
	}()
	k.wasSent, k.received.head, k.connUse = true, true, resp.Use
	k.observeLimit(l, resp.Response, a.sentAt)
	k.observeAnnouncements(l, resp.Response)
	if resp.StatusCode != http.StatusOK {
		return k.handleNonStream(a, resp)
	}
	if resp.Header.Get(k.Headers.Stamp) == "" || resp.Header.Get("Content-Encoding") != "" {
		k.Balancer.RecordFailure(l.First.ID)
		k.logAttempt(l, "stream has no signature", nil)
		return verdictMayHaveRun
	}
	v = k.relay(ctx, a, resp)
	if !a.begun.Load() {
		k.recordNoFirstEvent(a)
	}
	if v == verdictBroken && ctx.Err() == nil && k.isSuspected(a) {
		k.detectCrash(ctx, l.First, a.begun.Load())
	}
	return v
}

// sampleLatency records whether this stream is late over the data centre of its attempt. Only the first
// call counts.
func (k *call) sampleLatency(now time.Duration, a *attempt, late bool) {
	if k.latencySampled.CompareAndSwap(false, true) {
		k.StreamLimiters(k.service.Name).Get(a.lease.DataCentre).Observe(now, late)
		k.Balancer.RecordLateness(now, a.lease.DataCentre, late)
	}
}

// startFirstEventTimer counts a stream as late once the route's target latency, or defaultTimeout if
// it has none, passes without an event. It does not wait for a late first event, since most callers
// disconnect before that event when engines are overloaded.
func (k *call) startFirstEventTimer(a *attempt) *time.Timer {
	target := k.route.TargetLatency
	if target <= 0 {
		target = defaultTimeout
	}
	return time.AfterFunc(target, func() {
		if now := k.Now(); !a.begun.Load() && a.repaths.Load() == 0 {
			k.sampleLatency(now, a, true)
			k.Balancer.RecordFirstEventDelay(a.lease, now, now-a.sentAt)
		}
	})
}

// recordNoFirstEvent records the delay of an attempt that ended without an event, after the route's
// target latency.
func (k *call) recordNoFirstEvent(a *attempt) {
	if now := k.Now(); a.repaths.Load() == 0 && now-a.sentAt > k.route.TargetLatency {
		k.Balancer.RecordFirstEventDelay(a.lease, now, now-a.sentAt)
	}
}

// handleNonStream handles a response with a status other than 200.
func (k *call) handleNonStream(a *attempt, resp *connector.Response) verdict {
	l := a.lease
	body, err := k.readAnswer(resp)
	whole := err == nil && resp.Complete()
	if whole {
		if v, ok := k.handleRejection(l, resp.Response, a.sentAt); ok {
			return v
		}
	}
	k.Balancer.RecordFailure(l.First.ID)
	k.logAttempt(l, "stream failed with status "+strconv.Itoa(resp.StatusCode), err)
	if !whole || k.breaksPromise(resp.StatusCode) {
		return verdictMayHaveRun
	}
	if !k.headerSent && (resp.StatusCode < http.StatusInternalServerError || !mayRepeat(k.route, verdictFailed) || k.runs+1 >= k.route.MaxAttempts) {
		k.writeAnswer(&answer{resp.Response, body})
		return verdictAnswered
	}
	return verdictFailed
}
