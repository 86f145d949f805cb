// Package streamer relays a generation from engines to a caller, and moves it
// to another route when a stage dies, stalls or leaves.
//
// Every frame carries request, attempt, index and the layers that ran. The
// streamer delivers a frame only of the attempt now open, at the index now
// expected, whose layers are the ones asked for. A new attempt is given the
// tokens already delivered, so the caller never gets one twice.
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

// Cause is why an attempt ended without a whole answer.
type Cause int

// The causes, each the label of a counter.
const (
	// CauseNone is no failure.
	CauseNone Cause = iota
	// CauseConnect: the first stage could not be reached; nothing was sent.
	CauseConnect
	// CauseBroken: the stream broke off.
	CauseBroken
	// CauseStage: the first stage reported another one down.
	CauseStage
	// CauseStall: no frame came for much longer than expected.
	CauseStall
	// CauseLeaving: a stage takes no new work.
	CauseLeaving
	// CauseNotLoaded: a stage holds another model, version or layers.
	CauseNotLoaded
	// CauseBusy: a stage has no room.
	CauseBusy
	// CauseLayers: a frame's layers were not the ones asked for.
	CauseLayers
	// CauseGap: a frame was missing.
	CauseGap
	// CauseInvalid: the engine can't take the request at all.
	CauseInvalid
	// CauseCaller: the caller went away or can't be written to.
	CauseCaller
	// CauseDeadline: the request's time is over.
	CauseDeadline
)

// Job is one generation.
type Job struct {
	ID       string
	Pipeline string
	Model    string
	Version  string
	// Layers is how many the model has.
	Layers    int
	Workspace string
	Priority  int
	Prompt    string
	MaxTokens int
	Deadline  time.Time
	// Fingerprint is equal for equal requests of a workspace.
	Fingerprint uint64
	// Prefix is equal for prompts that start alike.
	Prefix uint64
	// Avoid are upstreams that failed it; the Router keeps it.
	Avoid []string
	// Soft lets Avoid be passed over when nothing else has room.
	Soft bool
}

// Failure is how one attempt ended.
type Failure struct {
	Cause   Cause
	Attempt int
	// Upstream is the stage to blame; empty when any of them may be.
	Upstream string
	Stages   []Stage
	// Started is false when no upstream was sent any byte in this attempt.
	Started bool
}

// Router gives routes to attempts and learns what became of them.
type Router interface {
	// Route returns the stages of an attempt and the expected time between
	// tokens. Its error ends the job.
	Route(ctx context.Context, job *Job, attempt int) (stages []Stage, gap time.Duration, err error)
	// Release ends a route; failure is nil after a whole answer.
	Release(job *Job, stages []Stage, failure *Failure)
	// Retry returns nil when the job may be tried again after the failure.
	Retry(job *Job, failure *Failure) error
	// Doubt asks the stages of a silent route whether they live, and returns
	// one that doesn't answer; empty means that all do.
	Doubt(ctx context.Context, stages []Stage) string
	// Gap takes in the time between two tokens of a stream.
	Gap(job *Job, now time.Time, d time.Duration)
	// Report takes in an upstream's load.
	Report(upstream string, load tracker.Load)
}

// Result is how a job ended.
type Result struct {
	// Tokens is how many the caller got.
	Tokens int
	// Finish is empty unless the answer is whole.
	Finish   string
	Attempts int
	// Started holds when any upstream was sent any byte.
	Started bool
	// Last is the failure that ended the job; nil after a whole answer.
	Last *Failure
}

// Streamer is safe for concurrent use. The fields are set before the first Run.
type Streamer struct {
	Engine  Engine
	Router  Router
	Checker *checker.Checker
	Log     zerolog.Logger
	// StallFloor is the shortest silence after which the stages are asked.
	StallFloor time.Duration
	// Dropped counts frames of another attempt or index.
	Dropped atomic.Int64
	// Relayed counts tokens that were delivered.
	Relayed atomic.Int64
}

// Run streams a job. emit is given each token in order and whether more can be
// had without waiting. The error is Route's or Retry's; Result tells the rest.
func (s *Streamer) Run(ctx context.Context, job *Job, emit func(text string, more bool) error) (Result, error) {
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r := &run{Streamer: s, job: job, emit: emit}
	for {
		r.res.Attempts++
		stages, gap, err := s.Router.Route(ctx, job, r.res.Attempts)
		if err != nil {
			return r.res, err
		}
		failure := r.attempt(ctx, stages, gap)
		s.Router.Release(job, stages, failure)
		r.res.Last = failure
		if failure == nil {
			return r.res, nil
		}
		if err := s.Router.Retry(job, failure); err != nil {
			return r.res, err
		}
		s.Log.Info().Str("requestId", job.ID).Stringer("cause", failure.Cause).Str("upstream", failure.Upstream).
			Int("tokens", r.res.Tokens).Msg("streamer: attempt failed, trying another route")
	}
}

type run struct {
	*Streamer
	job       *Job
	emit      func(string, bool) error
	res       Result
	delivered []string
	// last is when the last token was delivered.
	last time.Time
}

// attempt runs one route to its end; nil means the answer is whole.
func (r *run) attempt(ctx context.Context, stages []Stage, gap time.Duration) *Failure {
	fail := &Failure{Attempt: r.res.Attempts, Stages: stages}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := &watchdog{
		cancel: cancel,
		limit:  max(r.StallFloor, 2*gap),
		doubt:  func() string { return r.Router.Doubt(ctx, stages) },
	}
	quiet.start()
	defer quiet.stop()
	frames, err := r.Engine.Generate(ctx, stages[0].Address, r.request(stages))
	fail.Started = !errors.Is(err, ErrNotSent)
	var refusal *EngineError
	if errors.As(err, &refusal) {
		fail.Started = !refusal.NotRun
	}
	r.res.Started = r.res.Started || fail.Started
	if err != nil {
		return r.explain(ctx, fail, err, quiet)
	}
	defer frames.Close()
	for {
		f, err := frames.Next()
		if err != nil {
			return r.explain(ctx, fail, err, quiet)
		}
		quiet.stop()
		done, bad := r.take(f, stages, frames.Buffered, fail)
		if done || bad {
			return failureIf(bad, fail)
		}
		quiet.start()
	}
}

func failureIf(bad bool, f *Failure) *Failure {
	if bad {
		return f
	}
	return nil
}

func (r *run) request(stages []Stage) *Generate {
	return &Generate{
		RequestID: r.job.ID,
		Attempt:   r.res.Attempts,
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

// take delivers a frame or tells why not. done means the answer is whole, bad
// that the attempt failed as said in fail.
func (r *run) take(f *Frame, stages []Stage, more func() bool, fail *Failure) (done, bad bool) {
	for _, l := range f.Loads {
		r.Router.Report(l.Upstream, l.Load)
	}
	// An engine answered an old attempt late, or its buffers held two streams:
	// a caller saw a token twice, or another caller's. Request, attempt and
	// index name the one frame that may come next.
	if f.RequestID != r.job.ID || f.Attempt != r.res.Attempts || f.Index < r.res.Tokens {
		r.Dropped.Add(1)
		return false, false
	}
	if f.Error != nil {
		blame(fail, f.Error)
		return false, true
	}
	if f.Index > r.res.Tokens {
		fail.Cause = CauseGap
		return false, true
	}
	// A stage was reloaded with other layers in mid-stream and answered with
	// what it had: a token came out of layers that were skipped or run twice.
	if !ranAsAsked(f.Spans, stages) {
		fail.Cause = CauseLayers
		return false, true
	}
	r.Checker.Assert(tiles(f.Spans, r.job.Layers), checker.InvariantLayers, r.job.ID, "token %d ran %v of %d layers", f.Index, f.Spans, r.job.Layers)
	return r.deliver(f, more, fail)
}

func (r *run) deliver(f *Frame, more func() bool, fail *Failure) (done, bad bool) {
	r.Checker.Assert(f.RequestID == r.job.ID && f.Index == len(r.delivered), checker.InvariantAnswer, r.job.ID,
		"token %d of request %q delivered as number %d", f.Index, f.RequestID, len(r.delivered))
	if err := r.emit(f.Text, f.Finish == "" && more()); err != nil {
		fail.Cause = CauseCaller
		return false, true
	}
	now := time.Now()
	if !r.last.IsZero() {
		r.Router.Gap(r.job, now, now.Sub(r.last))
	}
	r.last = now
	r.delivered = append(r.delivered, f.Text)
	r.res.Tokens++
	r.Relayed.Add(1)
	if f.Finish == "" {
		return false, false
	}
	r.res.Finish = f.Finish
	return true, false
}

// explain finds the cause of a broken stream.
func (r *run) explain(ctx context.Context, fail *Failure, err error, quiet *watchdog) *Failure {
	var refusal *EngineError
	switch {
	case quiet.fired.Load():
		fail.Cause, fail.Upstream = CauseStall, quiet.silent()
	case !time.Now().Before(r.job.Deadline):
		fail.Cause = CauseDeadline
	case ctx.Err() != nil:
		fail.Cause = CauseCaller
	case errors.As(err, &refusal):
		blame(fail, refusal)
	case errors.Is(err, ErrNotSent):
		fail.Cause, fail.Upstream = CauseConnect, fail.Stages[0].Upstream
	default:
		fail.Cause, fail.Upstream = CauseBroken, fail.Stages[0].Upstream
	}
	r.Log.Debug().Str("requestId", r.job.ID).Stringer("cause", fail.Cause).Err(err).Msg("streamer: stream ended early")
	return fail
}

func blame(fail *Failure, e *EngineError) {
	fail.Upstream = e.Upstream
	if fail.Upstream == "" {
		fail.Upstream = fail.Stages[0].Upstream
	}
	switch e.Kind {
	case KindDown:
		fail.Cause = CauseStage
	case KindUnreachable:
		fail.Cause = CauseConnect
	case KindLeaving:
		fail.Cause = CauseLeaving
	case KindNotLoaded:
		fail.Cause = CauseNotLoaded
	case KindBusy:
		fail.Cause = CauseBusy
	default:
		fail.Cause = CauseInvalid
	}
}

func ranAsAsked(spans []Span, stages []Stage) bool {
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

func tiles(spans []Span, layers int) bool {
	next := 0
	for _, s := range spans {
		if s.First != next || s.Last < s.First {
			return false
		}
		next = s.Last + 1
	}
	return next == layers
}
