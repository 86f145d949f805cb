// Package router combines the decisions on a request: package admitter decides whether and when it
// runs, packages tracker and picker decide where, and rate limits, the retry budget and the
// quarantine may refuse it.
//
// Package streamer asks it for routes, and package server asks it for instances of plain services,
// which run each call on one instance. It does no I/O: it announces to other hosts and probes
// upstreams through its Announcer.
package router

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// maxAttempts is how many routes one request may be sent on.
	maxAttempts = 8
	// retryPriority ranks retries above all new requests, because the caller of a retry may
	// already have part of the answer and waits for the rest.
	retryPriority = 10
	// retryAfter is the Retry-After of refusals whose cause is expected to pass without action.
	retryAfter = time.Second
)

// Announcer announces to other hosts what this host observed of upstreams, and probes upstreams that
// may be down.
type Announcer interface {
	// AnnounceLeaving announces that an upstream takes no new work in the given incarnation.
	AnnounceLeaving(upstream string, incarnation int64)
	// AnnounceDown announces that an upstream does not answer, or with down false that it answers
	// again.
	AnnounceDown(upstream string, incarnation int64, down bool)
	// AnnounceStrike announces a crash of an upstream and a request that was in flight on it.
	AnnounceStrike(s tracker.Strike)
	// ProbeSoon schedules a probe of each upstream now and does not wait for the results.
	ProbeSoon(upstreams []string)
	// FindUnresponsive probes the upstreams, waits, and returns one that does not answer; empty
	// means that all of them answer.
	FindUnresponsive(ctx context.Context, upstreams []string) string
}

// Router chooses the route of each attempt of a request, and decides on retries and refusals.
// It is safe for concurrent use. The exported fields are set before use.
type Router struct {
	DataCentre string
	Tracker    *tracker.Tracker
	Suspects   *tracker.Suspects
	Admitter   *admitter.Admitter[picker.Route]
	Limits     *admitter.RateLimiter
	Budget     *admitter.RetryBudget
	Announcer  Announcer
	Meter      *meter.Meter
	Checker    *checker.Checker

	mu sync.Mutex
	// statsByPipeline has no entry for a pipeline without a complete answer.
	statsByPipeline map[string]*answerStats
}

// answerStats holds moving averages over the answers of one pipeline.
type answerStats struct {
	// tokenFraction is the number of generated tokens divided by the request's MaxTokens.
	tokenFraction float64
	// tokenGap is the mean time between two tokens of an answer.
	tokenGap time.Duration
}

// Admit returns the refusal of a request that is quarantined or exceeds its workspace's rate limit,
// or nil. These checks need no upstream, so they run before the request is queued.
func (r *Router) Admit(workspace string, fingerprint uint64) *admitter.Refusal {
	if refusal := r.quarantineRefusal(fingerprint); refusal != nil {
		return refusal
	}
	if wait, ok := r.Limits.Allow(time.Now(), workspace); !ok {
		return &admitter.Refusal{Reason: admitter.ReasonRateLimit, RetryAfter: wait, NotRun: true}
	}
	return nil
}

// Route implements streamer.Router.
func (r *Router) Route(ctx context.Context, job *streamer.Job, attempt int) ([]streamer.Stage, time.Duration, error) {
	if attempt > 1 {
		if refusal := r.recheckQuarantine(ctx, job); refusal != nil {
			return nil, 0, refusal
		}
	}
	now := time.Now()
	tk := admitter.Ticket{
		Workspace:   job.Workspace,
		Group:       job.Pipeline,
		Priority:    job.Priority,
		Cost:        float64(job.MaxTokens),
		Deadline:    job.Deadline,
		ServiceTime: r.expectedServiceTime(job),
	}
	if attempt > 1 {
		tk.Priority = retryPriority
		tk.ServiceTime = 0
	}
	route, refusal := r.Admitter.Acquire(ctx, now, tk, func() (picker.Route, bool) { return r.tryAcquire(job) })
	if refusal != nil {
		return nil, 0, refusal
	}
	return r.stages(job, route), r.Tracker.ExpectedTokenGap(time.Now(), job.Pipeline, route, r.DataCentre), nil
}

// recheckQuarantine returns the refusal of a job that has repeatedly crashed its upstreams, or nil.
// It first waits for strikes from other hosts: while another request was in flight at the same
// crashes, neither of the two is refused.
func (r *Router) recheckQuarantine(ctx context.Context, job *streamer.Job) *admitter.Refusal {
	const strikePropagation = 100 * time.Millisecond
	if !r.Suspects.ReachesThreshold(time.Now(), job.Fingerprint) {
		return nil
	}
	select {
	case <-time.After(strikePropagation):
	case <-ctx.Done():
	}
	return r.quarantineRefusal(job.Fingerprint)
}

func (r *Router) quarantineRefusal(fingerprint uint64) *admitter.Refusal {
	wait, ok := r.Suspects.Quarantined(time.Now(), fingerprint)
	if !ok {
		return nil
	}
	return &admitter.Refusal{
		Reason: admitter.ReasonQuarantined, RetryAfter: wait, NotRun: true,
		Detail: "upstreams crashed while it was in flight, each time",
	}
}

// tryAcquire picks a route now. It avoids upstreams that failed the job before, but uses them when
// no other route has room and the last failure was a stall that no single upstream caused.
func (r *Router) tryAcquire(job *streamer.Job) (picker.Route, bool) {
	req := r.request(job)
	route := r.Tracker.Acquire(time.Now(), req)
	if route == nil && job.AllowAvoided {
		req.Avoid = nil
		route = r.Tracker.Acquire(time.Now(), req)
	}
	return route, route != nil
}

func (r *Router) request(job *streamer.Job) tracker.Request {
	return tracker.Request{
		ID:          job.ID,
		Pipeline:    job.Pipeline,
		From:        r.DataCentre,
		Fingerprint: job.Fingerprint,
		Prefix:      job.Prefix,
		Suspect:     len(r.Suspects.Active(time.Now(), job.Fingerprint)) > 0,
		Avoid:       job.Avoid,
	}
}

func (r *Router) stages(job *streamer.Job, route picker.Route) []streamer.Stage {
	out := make([]streamer.Stage, len(route))
	for i, h := range route {
		u, _ := r.Tracker.Upstream(h.Upstream)
		out[i] = streamer.Stage{Span: streamer.Span{Upstream: h.Upstream, First: h.First, Last: h.Last}, Address: u.Address}
	}
	r.Checker.Assert(route.Covers(job.Layers), checker.InvariantLayers, job.ID, "route %v does not run each of %d layers once, in order", route, job.Layers)
	return out
}

// expectedServiceTime estimates how long the answer takes once it runs. It is 0 before the
// pipeline's first answer.
func (r *Router) expectedServiceTime(job *streamer.Job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.statsByPipeline[job.Pipeline]
	if h == nil {
		return 0
	}
	return time.Duration(h.tokenFraction * float64(job.MaxTokens) * float64(h.tokenGap))
}

// Release implements streamer.Router.
func (r *Router) Release(job *streamer.Job, stages []streamer.Stage, failure *streamer.Failure) {
	now := time.Now()
	if failure != nil {
		r.recordFailure(now, failure)
	}
	r.Tracker.Release(now, upstreamsOf(stages), job.ID)
	if failure == nil {
		r.Budget.Earn()
		r.clearStrikes(now, job.Fingerprint)
	}
	r.Admitter.Wake(now, job.Pipeline)
}

// clearStrikes clears the strikes against a request that was answered completely, here and on
// other hosts.
func (r *Router) clearStrikes(now time.Time, fingerprint uint64) {
	for _, s := range r.Suspects.Active(now, fingerprint) {
		s.Cleared = true
		r.Suspects.Add(s)
		r.Announcer.AnnounceStrike(s)
	}
}

// recordFailure updates the state of the upstreams that a failure is evidence against. It must run
// before the request is removed from those in flight, because a crash is held against all of them.
func (r *Router) recordFailure(now time.Time, f *streamer.Failure) {
	switch f.Cause {
	case streamer.CauseBroken, streamer.CauseStage:
		r.recordCrash(now, f.Upstream)
	case streamer.CauseConnect:
		r.markDown(now, f.Upstream)
	case streamer.CauseLeaving:
		inc := r.Tracker.Incarnation(f.Upstream)
		if r.Tracker.MarkLeaving(f.Upstream, inc) {
			r.Announcer.AnnounceLeaving(f.Upstream, inc)
		}
	case streamer.CauseNotLoaded, streamer.CauseLayers, streamer.CauseGap:
		if f.Upstream != "" {
			r.Tracker.RecordFailure(now, f.Upstream, false)
		}
	case streamer.CauseStall:
		if f.Upstream != "" {
			r.Tracker.RecordFailure(now, f.Upstream, false)
		}
	case streamer.CauseNone, streamer.CauseBusy, streamer.CauseInvalid, streamer.CauseCaller, streamer.CauseDeadline:
	}
}

// recordCrash adds a strike to every request in flight on an upstream that crashed. Without it, a
// request that crashes engines is retried through every entry host, and each retry takes down an
// upstream with all its other requests. The request that causes crashes is in flight at each of
// them, so it collects a second strike.
func (r *Router) recordCrash(now time.Time, upstream string) {
	inc := r.Tracker.Incarnation(upstream)
	for _, fp := range r.Tracker.StrikeInFlight(upstream) {
		s := tracker.NewStrike(now, fp, upstream, inc)
		r.Suspects.Add(s)
		r.Announcer.AnnounceStrike(s)
	}
	r.markDown(now, upstream)
	// Probing others in the data centre distinguishes a request that crashes engines, where the
	// others still answer, from a rack that lost its power, where they do not.
	const maxProbed = 6
	r.Announcer.ProbeSoon(r.Tracker.SameDataCentre(upstream, maxProbed))
}

// RecordInstanceFailure records that a call to an instance of a plain service failed.
func (r *Router) RecordInstanceFailure(instance string, cause streamer.Cause) {
	r.recordFailure(time.Now(), &streamer.Failure{Cause: cause, Upstream: instance})
}

func (r *Router) markDown(now time.Time, upstream string) {
	if r.Tracker.RecordFailure(now, upstream, true) {
		r.Announcer.AnnounceDown(upstream, r.Tracker.Incarnation(upstream), true)
		r.Announcer.ProbeSoon([]string{upstream})
	}
}

func upstreamsOf(stages []streamer.Stage) []string {
	out := make([]string, len(stages))
	for i, s := range stages {
		out[i] = s.Upstream
	}
	return out
}

// Retry implements streamer.Router.
func (r *Router) Retry(job *streamer.Job, f *streamer.Failure) error {
	refusal := r.retryRefusal(job, f)
	if refusal != nil {
		refusal.NotRun = refusal.NotRun && !f.Started
		return refusal
	}
	r.Meter.Retries.WithLabelValues(f.Cause.String()).Inc()
	job.AllowAvoided = f.Cause == streamer.CauseStall && f.Upstream == ""
	if f.Upstream != "" {
		job.Avoid = append(job.Avoid, f.Upstream)
	} else {
		job.Avoid = append(job.Avoid, upstreamsOf(f.Stages)...)
	}
	return nil
}

func (r *Router) retryRefusal(job *streamer.Job, f *streamer.Failure) *admitter.Refusal {
	switch f.Cause {
	case streamer.CauseCaller:
		return &admitter.Refusal{Reason: admitter.ReasonCanceled}
	case streamer.CauseDeadline:
		return &admitter.Refusal{Reason: admitter.ReasonDeadline, RetryAfter: r.Admitter.RetryAfter(job.Pipeline)}
	case streamer.CauseInvalid:
		return &admitter.Refusal{Reason: admitter.ReasonMalformed, NotRun: true, Detail: "the engine can't take it"}
	default:
	}
	if f.Attempt >= maxAttempts {
		return &admitter.Refusal{Reason: admitter.ReasonUpstream, RetryAfter: retryAfter, Detail: "too many attempts"}
	}
	if spendsBudget(f) && !r.Budget.Spend() {
		return &admitter.Refusal{Reason: admitter.ReasonRetryBudget, RetryAfter: retryAfter}
	}
	return nil
}

// spendsBudget reports whether a retry after this failure consumes the retry budget. A failure that
// took its upstream out of service can't recur there, so its retries don't multiply load; a failure
// that left the upstream in service can recur, so its retries do.
func spendsBudget(f *streamer.Failure) bool {
	switch f.Cause {
	case streamer.CauseConnect, streamer.CauseBroken, streamer.CauseStage, streamer.CauseLeaving:
		return false
	case streamer.CauseStall:
		return f.Upstream == ""
	default:
		return true
	}
}

// RecordTokenGap implements streamer.Router.
func (r *Router) RecordTokenGap(job *streamer.Job, now time.Time, d time.Duration) {
	r.Tracker.RecordTokenGap(now, job.Pipeline, d)
}

// FindUnresponsive implements streamer.Router.
func (r *Router) FindUnresponsive(ctx context.Context, stages []streamer.Stage) string {
	return r.Announcer.FindUnresponsive(ctx, upstreamsOf(stages))
}

// RecordLoad implements streamer.Router.
func (r *Router) RecordLoad(upstream string, load tracker.Load) {
	if r.Tracker.RecordLoad(time.Now(), upstream, load) && load.Leaving {
		r.Announcer.AnnounceLeaving(upstream, load.Incarnation)
	}
}

// RecordAnswer adds a complete answer to the pipeline's averages. took is the time from the first
// token to the last.
func (r *Router) RecordAnswer(job *streamer.Job, tokens int, took time.Duration) {
	const weight = 0.05 // share of the newest answer in the averages
	fraction := float64(tokens) / float64(job.MaxTokens)
	gap := took / time.Duration(max(1, tokens))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.statsByPipeline == nil {
		r.statsByPipeline = make(map[string]*answerStats)
	}
	h := r.statsByPipeline[job.Pipeline]
	if h == nil {
		r.statsByPipeline[job.Pipeline] = &answerStats{fraction, gap}
		return
	}
	h.tokenFraction += weight * (fraction - h.tokenFraction)
	h.tokenGap += time.Duration(weight * float64(gap-h.tokenGap))
}

// Refuse converts an error that ended a request into a refusal, counts it, and asserts that a
// refusal marked as not run is right. started is whether an upstream may have started the request
// according to the code that sent it, w is the same according to the clients of upstreams; w is nil
// when the request did not get that far.
func (r *Router) Refuse(requestID string, err error, started bool, w *checker.ExecutionTracker) *admitter.Refusal {
	var refusal *admitter.Refusal
	if !errors.As(err, &refusal) {
		refusal = &admitter.Refusal{Reason: admitter.ReasonUpstream, RetryAfter: retryAfter, Detail: err.Error()}
	}
	out := *refusal
	out.NotRun = out.NotRun && !started
	r.Checker.Assert(!out.NotRun || w == nil || !w.MayHaveStarted(), checker.InvariantNotRun, requestID, "refused as not run, but an upstream may have started it: %v", err)
	r.Meter.Refusals.WithLabelValues(out.Reason.String()).Inc()
	return &out
}
