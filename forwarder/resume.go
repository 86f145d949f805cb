package forwarder

import (
	"context"
	"time"

	"github.com/sardineward/sardineward/isolator"
)

const (
	// maxResumptions is how often one stream may break and be resumed as a new request.
	maxResumptions = 4
	// maxRejectionWait bounds the wait between two attempts that upstreams reject. Each attempt takes a retry, and callers
	// abandon a stream that is silent for two seconds or more, so a stream takes seven of them until then.
	maxRejectionWait = time.Second
)

// attemptEnd is how an attempt of a stream ended, beside its verdict.
type attemptEnd struct {
	// retryTaken is set if the retry for the next attempt is taken already.
	retryTaken bool
	// moved is set if this host ended it, as it took an upstream of the path for lost, and the first upstream is not known
	// to have stopped.
	moved bool
}

// resumption counts how a begun stream fared. The zero value is that of a stream that was not interrupted.
type resumption struct {
	// breaks counts the attempts that broke.
	breaks int
	// rejectionWait is the wait after the next attempt that an upstream rejects; 0 after any that it ran.
	rejectionWait time.Duration
}

// record counts the end of an attempt and returns the wait before the next one. A stream is cut for how often it
// broke, which may be due to itself, and not for how often its host moved it or upstreams had no room for it.
func (s *resumption) record(v verdict, end attemptEnd, delegated bool) (wait time.Duration) {
	switch {
	case v == verdictNotRun && !delegated:
		wait, s.rejectionWait = s.rejectionWait, min(max(resumeRetryInterval, 2*s.rejectionWait), maxRejectionWait)
		return wait
	case end.moved:
	default:
		s.breaks++
	}
	s.rejectionWait = 0
	return 0
}

// awaitResumption returns once a begun stream whose last attempt ended with v may be resumed, and its retry is taken. It
// ends the stream, and does not return, if it is not to be resumed.
func (k *call) awaitResumption(ctx context.Context, s *resumption, v verdict, end attemptEnd) {
	endedAt := k.Now()
	wait := s.record(v, end, k.delegatedBy != "")
	switch {
	case !sleep(ctx, wait):
		k.abortStream(cutCauseDeadline, s.breaks)
	case !mayRepeat(k.route, v):
		k.abortStream(cutCauseRetry, s.breaks)
	case s.breaks > maxResumptions:
		k.abortStream(cutCauseResumptions, s.breaks)
	case !k.awaitRelease(ctx):
		k.abortStream(cutCauseIsolated, s.breaks)
	case !end.retryTaken && !k.awaitResumeRetry(ctx):
		k.abortStream(cutCauseRetry, s.breaks)
	}
	k.retryTakenAt = k.Now()
	if end.retryTaken {
		k.retryTakenAt = endedAt
	}
	k.Meter.Retries.WithLabelValues(verdictBroken.String()).Inc()
}

// awaitRelease waits while a part of the stream's prompt is isolated, and reports whether it is released in time. It does
// not wait for a part that is known to crash upstreams.
func (k *call) awaitRelease(ctx context.Context) bool {
	if !k.hasIsolatedPart() {
		return true
	}
	workspace := isolator.Workspace(k.suspect().workspace)
	ctx, cancel := k.resumeContext(ctx)
	defer cancel()
	for wait := resumeRetryInterval; k.hasIsolatedPart(); wait = longerWait(wait) {
		if k.Isolator.RefusesConfirmed(k.parts, workspace) || !sleep(ctx, wait) {
			return false
		}
	}
	return true
}
