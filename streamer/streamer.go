// Package streamer relays generated tokens from engines to a caller, and continues on another
// route when a stage fails, stalls or drains.
//
// Every frame carries the request, the attempt, the index and the layers that ran. The streamer
// delivers a frame only if it belongs to the current attempt, has the next index and ran exactly
// the requested layers. A new attempt is given the tokens already delivered, so that the caller
// never gets one twice.
package streamer

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/tracker"
)

//go:generate enumer -type Cause -trimprefix Cause -transform title-lower -output cause_gen.go

// Cause is why an attempt ended before the answer was complete.
type Cause int

// The causes. Their texts are values of a metric's label.
const (
	// CauseNone: no failure.
	CauseNone Cause = iota
	// CauseConnect: the first stage could not be reached; nothing was sent.
	CauseConnect
	// CauseBroken: the stream was interrupted.
	CauseBroken
	// CauseStage: the first stage reported another one down.
	CauseStage
	// CauseStall: no frame arrived for much longer than expected.
	CauseStall
	// CauseLeaving: a stage is draining and accepts no new requests.
	CauseLeaving
	// CauseNotLoaded: a stage has loaded another model, version or range of layers.
	CauseNotLoaded
	// CauseBusy: a stage has no capacity left.
	CauseBusy
	// CauseLayers: a frame's layers were not the requested ones.
	CauseLayers
	// CauseGap: a frame is missing.
	CauseGap
	// CauseInvalid: the engine refuses the request as invalid.
	CauseInvalid
	// CauseCaller: the caller disconnected or can't be written to.
	CauseCaller
	// CauseDeadline: the request's deadline passed.
	CauseDeadline
)

// Job is one request to generate an answer.
type Job struct {
	ID       string
	Pipeline string
	Model    string
	Version  string
	// Layers is the number of layers of the model.
	Layers    int
	Workspace string
	Priority  int
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// Fingerprint is a hash that is equal for equal requests of a workspace.
	Fingerprint uint64
	// Prefix is a hash that is equal for prompts with the same beginning.
	Prefix uint64
	// Avoid lists the upstreams that failed this job; the Router maintains it.
	Avoid []string
	// AllowAvoided allows upstreams in Avoid when no other one has capacity.
	AllowAvoided bool
}

// Failure describes why one attempt failed.
type Failure struct {
	Cause   Cause
	Attempt int
	// Upstream is the stage that caused the failure; empty when it is not known which.
	Upstream string
	Stages   []Stage
	// Started is false when certainly no upstream ran the request in this attempt.
	Started bool
}

// Router chooses the routes of attempts and records their results.
type Router interface {
	// Route returns the stages for an attempt and the expected time between two tokens. An error
	// ends the job.
	Route(ctx context.Context, job *Job, attempt int) (stages []Stage, gap time.Duration, err error)
	// Release frees a route; failure is nil after a complete answer.
	Release(job *Job, stages []Stage, failure *Failure)
	// Retry returns nil when another attempt is allowed after the failure. An error ends the
	// job.
	Retry(job *Job, failure *Failure) error
	// FindUnresponsive probes the stages of a silent route and returns one that does not respond; empty
	// means that all do.
	FindUnresponsive(ctx context.Context, stages []Stage) string
	// RecordTokenGap records the time between two tokens of a stream.
	RecordTokenGap(job *Job, now time.Time, d time.Duration)
	// RecordLoad records an upstream's load.
	RecordLoad(upstream string, load tracker.Load)
}

// Result describes how a job ended.
type Result struct {
	// Tokens is the number of tokens that the caller got.
	Tokens int
	// Finish is the last frame's Finish; empty unless the answer is complete.
	Finish   string
	Attempts int
	// Started is false when certainly no upstream ran the request in any attempt.
	Started bool
	// LastFailure is the failure of the last attempt; nil after a complete answer.
	LastFailure *Failure
}

// Streamer runs jobs. It is safe for concurrent use; the fields up to MinStallTimeout are set
// before the first Run.
type Streamer struct {
	Engine  Engine
	Router  Router
	Checker *checker.Checker
	Log     zerolog.Logger
	// MinStallTimeout is the shortest silence after which the stages are probed.
	MinStallTimeout time.Duration
	// DroppedFrames counts frames that were ignored because they belong to another request or attempt,
	// or repeat a token.
	DroppedFrames atomic.Int64
	// RelayedTokens counts the delivered tokens.
	RelayedTokens atomic.Int64
}

// Run streams a job. It calls emit with each token in order and with whether another one is
// available without waiting. The error is that of Route or Retry; Result describes the outcome in
// either case.
func (s *Streamer) Run(ctx context.Context, job *Job, emit func(text string, more bool) error) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r := &run{Streamer: s, job: job, emit: emit}
	for {
		r.result.Attempts++
		stages, gap, err := s.Router.Route(ctx, job, r.result.Attempts)
		if err != nil {
			return r.result, err
		}
		failure := r.attempt(ctx, stages, gap)
		s.Router.Release(job, stages, failure)
		r.result.LastFailure = failure
		if failure == nil {
			return r.result, nil
		}
		if err := s.Router.Retry(job, failure); err != nil {
			return r.result, err
		}
		s.Log.Info().Str("requestId", job.ID).Stringer("cause", failure.Cause).Str("upstream", failure.Upstream).
			Int("tokens", r.result.Tokens).Msg("streamer: attempt failed, trying another route")
	}
}

// run is the state of one job.
type run struct {
	*Streamer
	job    *Job
	emit   func(string, bool) error
	result Result
	// delivered holds the tokens that the caller got.
	delivered []string
	// last is when the last token was delivered.
	last time.Time
}

// attempt runs the job over one route. It returns nil when the answer is complete.
func (r *run) attempt(ctx context.Context, stages []Stage, gap time.Duration) *Failure {
	failure := &Failure{Attempt: r.result.Attempts, Stages: stages}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	wd := &watchdog{
		cancel:       cancel,
		silenceLimit: max(r.MinStallTimeout, 2*gap),
		probe:        func() string { return r.Router.FindUnresponsive(ctx, stages) },
	}
	wd.arm()
	defer wd.disarm()
	frames, err := r.Engine.Generate(ctx, stages[0].Address, r.request(stages))
	failure.Started = !errors.Is(err, ErrNotSent)
	var refusal *EngineError
	if errors.As(err, &refusal) {
		failure.Started = !refusal.NotRun
	}
	r.result.Started = r.result.Started || failure.Started
	if err != nil {
		return r.classify(ctx, failure, err, wd)
	}
	defer frames.Close()
	for {
		f, err := frames.Next()
		if err != nil {
			return r.classify(ctx, failure, err, wd)
		}
		wd.disarm()
		done, failed := r.accept(f, stages, frames.Buffered, failure)
		if done || failed {
			return failureIf(failed, failure)
		}
		wd.arm()
	}
}

// failureIf returns f when the attempt failed, else nil.
func failureIf(failed bool, f *Failure) *Failure {
	if failed {
		return f
	}
	return nil
}

func (r *run) request(stages []Stage) *GenerateRequest {
	return &GenerateRequest{
		RequestID: r.job.ID,
		Attempt:   r.result.Attempts,
		Model:     r.job.Model,
		Version:   r.job.Version,
		Workspace: r.job.Workspace,
		Priority:  r.job.Priority,
		Prompt:    r.job.Prompt,
		Delivered: r.delivered,
		MaxTokens: r.job.MaxTokens,
		Route:     stages,
	}
}

// accept checks a frame and delivers it. done means that the answer is complete, failed that the
// attempt failed for the cause that it sets in failure.
func (r *run) accept(f *Frame, stages []Stage, more func() bool, failure *Failure) (done, failed bool) {
	for _, l := range f.Loads {
		r.Router.RecordLoad(l.Upstream, l.Load)
	}
	// An engine may send late frames of an earlier attempt, or mix two streams in its buffers.
	// Unless request, attempt and index are checked, a caller gets a token twice or one of
	// another caller.
	if f.RequestID != r.job.ID || f.Attempt != r.result.Attempts || f.Index < r.result.Tokens {
		r.DroppedFrames.Add(1)
		return false, false
	}
	if f.Error != nil {
		setEngineCause(failure, f.Error)
		return false, true
	}
	if f.Index > r.result.Tokens {
		failure.Cause = CauseGap
		return false, true
	}
	// A stage that is reloaded with other layers during a stream continues with those, and the
	// token comes from layers that were skipped or run twice.
	if !spansMatch(f.Spans, stages) {
		failure.Cause = CauseLayers
		return false, true
	}
	r.Checker.Assert(coversLayers(f.Spans, r.job.Layers), checker.InvariantLayers, r.job.ID, "token %d ran %v of %d layers", f.Index, f.Spans, r.job.Layers)
	return r.deliver(f, more, failure)
}

// deliver passes a checked frame's token to emit and records it.
func (r *run) deliver(f *Frame, more func() bool, failure *Failure) (done, failed bool) {
	r.Checker.Assert(f.RequestID == r.job.ID && f.Index == len(r.delivered), checker.InvariantAnswer, r.job.ID,
		"token %d of request %q delivered as number %d", f.Index, f.RequestID, len(r.delivered))
	if err := r.emit(f.Text, f.Finish == "" && more()); err != nil {
		failure.Cause = CauseCaller
		return false, true
	}
	now := time.Now()
	if !r.last.IsZero() {
		r.Router.RecordTokenGap(r.job, now, now.Sub(r.last))
	}
	r.last = now
	r.delivered = append(r.delivered, f.Text)
	r.result.Tokens++
	r.RelayedTokens.Add(1)
	if f.Finish == "" {
		return false, false
	}
	r.result.Finish = f.Finish
	return true, false
}

// classify sets the cause and the upstream of a failed attempt from the error that ended it.
func (r *run) classify(ctx context.Context, failure *Failure, err error, wd *watchdog) *Failure {
	var refusal *EngineError
	switch {
	case wd.fired.Load():
		failure.Cause, failure.Upstream = CauseStall, wd.unresponsiveStage()
	case !time.Now().Before(r.job.Deadline):
		failure.Cause = CauseDeadline
	case ctx.Err() != nil:
		failure.Cause = CauseCaller
	case errors.As(err, &refusal):
		setEngineCause(failure, refusal)
	case errors.Is(err, ErrNotSent):
		failure.Cause, failure.Upstream = CauseConnect, failure.Stages[0].Upstream
	default:
		failure.Cause, failure.Upstream = CauseBroken, failure.Stages[0].Upstream
	}
	r.Log.Debug().Str("requestId", r.job.ID).Stringer("cause", failure.Cause).Err(err).Msg("streamer: stream ended early")
	return failure
}

// setEngineCause sets the cause and the upstream of a failure from an engine's error.
func setEngineCause(failure *Failure, e *EngineError) {
	failure.Upstream = e.Upstream
	if failure.Upstream == "" {
		failure.Upstream = failure.Stages[0].Upstream
	}
	switch e.Kind {
	case KindDown:
		failure.Cause = CauseStage
	case KindUnreachable:
		failure.Cause = CauseConnect
	case KindLeaving:
		failure.Cause = CauseLeaving
	case KindNotLoaded:
		failure.Cause = CauseNotLoaded
	case KindBusy:
		failure.Cause = CauseBusy
	default:
		failure.Cause = CauseInvalid
	}
}

// spansMatch reports whether the layers that ran are exactly those of the stages.
func spansMatch(spans []Span, stages []Stage) bool {
	if len(spans) != len(stages) {
		return false
	}
	for i := range spans {
		if spans[i] != stages[i].Span {
			return false
		}
	}
	return true
}

// coversLayers reports whether the spans cover all layers once and in order.
func coversLayers(spans []Span, layers int) bool {
	next := 0
	for _, s := range spans {
		if s.First != next || s.Last < s.First {
			return false
		}
		next = s.Last + 1
	}
	return next == layers
}
