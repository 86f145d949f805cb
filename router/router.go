// Package router joins the decisions for a request: admitter (whether and
// when), tracker and picker (where), limits, retry budget and quarantine.
//
// It is what streamer asks for routes, and server for instances of plain
// services. It does no I/O; news that other hosts must hear goes out through
// Publish.
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
	// maxAttempts bounds the routes of one request.
	maxAttempts = 8
	// retryPriority puts a request that already has part of its answer before
	// all new ones: its caller waits in mid-sentence.
	retryPriority = 10
	// comeBack is the Retry-After of failures that pass by themselves.
	comeBack = time.Second
)

// News is how other hosts hear of what this one saw.
type News interface {
	// Leaving tells that an upstream takes no new work in an incarnation.
	Leaving(upstream string, incarnation int64)
	// Down tells that an upstream does not answer, or does again.
	Down(upstream string, incarnation int64, down bool)
	// Strike tells of a crash that a request was in flight for.
	Strike(s tracker.Strike)
	// Doubt asks for the upstreams to be probed now.
	Doubt(upstreams []string)
	// Ask probes upstreams at once and returns one that doesn't answer, or
	// nothing.
	Ask(ctx context.Context, upstreams []string) string
}

// Router is safe for concurrent use. The fields are set before use.
type Router struct {
	DataCentre string
	Tracker    *tracker.Tracker
	Suspects   *tracker.Suspects
	Admitter   *admitter.Admitter[picker.Route]
	Limits     *admitter.Limits
	Budget     *admitter.Budget
	News       News
	Meter      *meter.Meter
	Checker    *checker.Checker

	mu     sync.Mutex
	habits map[string]*habit
}

// habit is what answers of a pipeline have come to of late.
type habit struct {
	// fill is the part of the asked tokens that an answer has.
	fill float64
	// gap is the time between two of them.
	gap time.Duration
}

// Admit checks what can be told before a request waits: its workspace's limit
// and quarantine.
func (r *Router) Admit(workspace string, fingerprint uint64) *admitter.Refusal {
	if refusal := r.quarantine(fingerprint); refusal != nil {
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
		if refusal := r.reconsider(ctx, job); refusal != nil {
			return nil, 0, refusal
		}
	}
	now := time.Now()
	tk := admitter.Ticket{
		Workspace: job.Workspace,
		Group:     job.Pipeline,
		Priority:  job.Priority,
		Cost:      float64(job.MaxTokens),
		Deadline:  job.Deadline,
		Service:   r.service(job),
	}
	if attempt > 1 {
		tk.Priority = retryPriority
		tk.Service = 0
	}
	route, refusal := r.Admitter.Acquire(ctx, now, tk, func() (picker.Route, bool) { return r.try(job) })
	if refusal != nil {
		return nil, 0, refusal
	}
	return r.stages(job, route), r.Tracker.Expect(time.Now(), job.Pipeline, route, r.DataCentre), nil
}

// reconsider refuses a job that has crashed what runs it. It first waits for
// what other hosts have to say of the last crash: others may have been struck
// by the same ones.
func (r *Router) reconsider(ctx context.Context, job *streamer.Job) *admitter.Refusal {
	const hearsay = 100 * time.Millisecond
	if !r.Suspects.Doubtful(time.Now(), job.Fingerprint) {
		return nil
	}
	select {
	case <-time.After(hearsay):
	case <-ctx.Done():
	}
	return r.quarantine(job.Fingerprint)
}

func (r *Router) quarantine(fingerprint uint64) *admitter.Refusal {
	wait, ok := r.Suspects.Quarantined(time.Now(), fingerprint)
	if !ok {
		return nil
	}
	return &admitter.Refusal{
		Reason: admitter.ReasonQuarantined, RetryAfter: wait, NotRun: true,
		Detail: "upstreams crashed while it was in flight, each time",
	}
}

// try picks a route now. One that failed the job before is passed over, unless
// it merely stalled and there is no other.
func (r *Router) try(job *streamer.Job) (picker.Route, bool) {
	req := r.request(job)
	route := r.Tracker.Acquire(time.Now(), req)
	if route == nil && job.Soft {
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
		Suspect:     len(r.Suspects.Of(time.Now(), job.Fingerprint)) > 0,
		Avoid:       job.Avoid,
	}
}

func (r *Router) stages(job *streamer.Job, route picker.Route) []streamer.Stage {
	out := make([]streamer.Stage, len(route))
	for i, h := range route {
		u, _ := r.Tracker.Upstream(h.Upstream)
		out[i] = streamer.Stage{Span: streamer.Span{Upstream: h.Upstream, First: h.First, Last: h.Last}, Address: u.Address}
	}
	r.Checker.Assert(route.Tiles(job.Layers), checker.InvariantLayers, job.ID, "route %v does not tile %d layers", route, job.Layers)
	return out
}

// service is how long the answer likely takes once it runs; 0 while nothing is
// known.
func (r *Router) service(job *streamer.Job) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.habits[job.Pipeline]
	if h == nil {
		return 0
	}
	return time.Duration(h.fill * float64(job.MaxTokens) * float64(h.gap))
}

// Release implements streamer.Router.
func (r *Router) Release(job *streamer.Job, stages []streamer.Stage, failure *streamer.Failure) {
	now := time.Now()
	if failure != nil {
		r.learn(now, failure)
	}
	r.Tracker.Release(now, upstreamsOf(stages), job.ID)
	if failure == nil {
		r.Budget.Earn()
		r.clear(now, job.Fingerprint)
	}
	r.Admitter.Wake(now, job.Pipeline)
}

// clear takes back what a request is held for once it was answered whole.
func (r *Router) clear(now time.Time, fingerprint uint64) {
	for _, s := range r.Suspects.Of(now, fingerprint) {
		s.Cleared = true
		r.Suspects.Add(s)
		r.News.Strike(s)
	}
}

// learn draws what a failure says of the upstreams, before the request leaves
// the list of those in flight.
func (r *Router) learn(now time.Time, f *streamer.Failure) {
	switch f.Cause {
	case streamer.CauseBroken, streamer.CauseStage:
		r.crashed(now, f.Upstream)
	case streamer.CauseConnect:
		r.down(now, f.Upstream)
	case streamer.CauseLeaving:
		inc := r.Tracker.Incarnation(f.Upstream)
		if r.Tracker.Leave(f.Upstream, inc) {
			r.News.Leaving(f.Upstream, inc)
		}
	case streamer.CauseNotLoaded, streamer.CauseLayers, streamer.CauseGap:
		if f.Upstream != "" {
			r.Tracker.Bad(now, f.Upstream, false)
		}
	case streamer.CauseStall:
		if f.Upstream != "" {
			r.Tracker.Bad(now, f.Upstream, false)
		}
	case streamer.CauseNone, streamer.CauseBusy, streamer.CauseInvalid, streamer.CauseCaller, streamer.CauseDeadline:
	}
}

// crashed makes suspects of all requests in flight on an upstream that broke.
// A request that crashes what runs it was sent again and again, through every
// entry host, and each time took an upstream and all its other requests down.
// Whichever request is the cause was in flight there, so a second crash tells.
func (r *Router) crashed(now time.Time, upstream string) {
	inc := r.Tracker.Incarnation(upstream)
	for _, fp := range r.Tracker.Struck(upstream) {
		s := tracker.NewStrike(now, fp, upstream, inc)
		r.Suspects.Add(s)
		r.News.Strike(s)
	}
	r.down(now, upstream)
	// Whether others fell with it tells a request that crashes engines from a
	// rack that lost its power.
	const sample = 6
	r.News.Doubt(r.Tracker.Beside(upstream, sample))
}

// Lost draws what a failed call says of an instance of a plain service.
func (r *Router) Lost(instance string, cause streamer.Cause) {
	r.learn(time.Now(), &streamer.Failure{Cause: cause, Upstream: instance})
}

func (r *Router) down(now time.Time, upstream string) {
	if r.Tracker.Bad(now, upstream, true) {
		r.News.Down(upstream, r.Tracker.Incarnation(upstream), true)
		r.News.Doubt([]string{upstream})
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
	refusal := r.verdict(job, f)
	if refusal != nil {
		refusal.NotRun = refusal.NotRun && !f.Started
		return refusal
	}
	r.Meter.Retries.WithLabelValues(f.Cause.String()).Inc()
	job.Soft = f.Cause == streamer.CauseStall && f.Upstream == ""
	if f.Upstream != "" {
		job.Avoid = append(job.Avoid, f.Upstream)
	} else {
		job.Avoid = append(job.Avoid, upstreamsOf(f.Stages)...)
	}
	return nil
}

func (r *Router) verdict(job *streamer.Job, f *streamer.Failure) *admitter.Refusal {
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
		return &admitter.Refusal{Reason: admitter.ReasonUpstream, RetryAfter: comeBack, Detail: "too many attempts"}
	}
	if spends(f) && !r.Budget.Spend() {
		return &admitter.Refusal{Reason: admitter.ReasonRetryBudget, RetryAfter: comeBack}
	}
	return nil
}

// spends reports whether a retry is paid for from the budget. A failure that
// took its upstream out of service can't repeat there, so it multiplies no
// load; one that left it in service can.
func spends(f *streamer.Failure) bool {
	switch f.Cause {
	case streamer.CauseConnect, streamer.CauseBroken, streamer.CauseStage, streamer.CauseLeaving:
		return false
	case streamer.CauseStall:
		return f.Upstream == ""
	default:
		return true
	}
}

// Gap implements streamer.Router.
func (r *Router) Gap(job *streamer.Job, now time.Time, d time.Duration) {
	r.Tracker.Observe(now, job.Pipeline, d)
}

// Doubt implements streamer.Router.
func (r *Router) Doubt(ctx context.Context, stages []streamer.Stage) string {
	return r.News.Ask(ctx, upstreamsOf(stages))
}

// Report implements streamer.Router.
func (r *Router) Report(upstream string, load tracker.Load) {
	if r.Tracker.Report(time.Now(), upstream, load) && load.Leaving {
		r.News.Leaving(upstream, load.Incarnation)
	}
}

// Answered takes in a whole answer: its tokens and how long they took.
func (r *Router) Answered(job *streamer.Job, tokens int, took time.Duration) {
	const weight = 0.05
	fill := float64(tokens) / float64(job.MaxTokens)
	gap := took / time.Duration(max(1, tokens))
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.habits == nil {
		r.habits = make(map[string]*habit)
	}
	h := r.habits[job.Pipeline]
	if h == nil {
		r.habits[job.Pipeline] = &habit{fill, gap}
		return
	}
	h.fill += weight * (fill - h.fill)
	h.gap += time.Duration(weight * float64(gap-h.gap))
}

// Refused makes a refusal of any error that ended a request, counts it, and
// asserts that "not run" is true. started is what the parts that sent it say,
// w what the clients of upstreams saw; w is nil before a request got that far.
func (r *Router) Refused(requestID string, err error, started bool, w *checker.Witness) *admitter.Refusal {
	var refusal *admitter.Refusal
	if !errors.As(err, &refusal) {
		refusal = &admitter.Refusal{Reason: admitter.ReasonUpstream, RetryAfter: comeBack, Detail: err.Error()}
	}
	out := *refusal
	out.NotRun = out.NotRun && !started
	r.Checker.Assert(!out.NotRun || w == nil || !w.Started(), checker.InvariantNotRun, requestID, "refused as not run: %v", err)
	r.Meter.Refusals.WithLabelValues(out.Reason.String()).Inc()
	return &out
}
