package forwarder

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
)

// httpStatus returns the HTTP status code for a refusal.
func httpStatus(reason admitter.Reason) int {
	switch reason {
	case admitter.ReasonUnauthorised:
		return http.StatusUnauthorized
	case admitter.ReasonUnknown:
		return http.StatusNotFound
	case admitter.ReasonMalformed:
		return http.StatusBadRequest
	case admitter.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case admitter.ReasonUpstream, admitter.ReasonRetryBudget, admitter.ReasonOutcomeUnknown:
		return http.StatusBadGateway
	case admitter.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes the response for a refused request. It always returns false, so that callers can
// return its result.
func (k *call) refuse(reason admitter.Reason, detail string) bool {
	code := httpStatus(reason)
	k.recordLack(reason)
	if code == http.StatusServiceUnavailable && k.runs > 0 {
		// That status promises that the request has not run.
		reason, code = admitter.ReasonUpstream, http.StatusBadGateway
	}
	h := k.w.Header()
	var wait time.Duration
	if code == http.StatusServiceUnavailable {
		wait = k.refusalWait(reason)
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	}
	if k.id != "" {
		h.Set(k.Headers.RequestID, k.id)
	}
	k.markForOthers(h, reason)
	h.Set("Content-Type", "text/plain; charset=utf-8")
	k.Meter.Refusals.WithLabelValues(reason.String()).Inc()
	event := k.Log.Info().Str("requestId", k.id).Str("path", k.r.URL.Path).Stringer("reason", reason).Int("status", code).
		Int("runs", k.runs).Int("turned", k.rejected).Strs("avoid", k.avoid).Dur("age", k.Tables.Age()).
		Dur("retryAfter", wait)
	if k.deadline > 0 {
		event.Dur("left", k.deadline-k.Now())
	}
	if k.runs > 0 {
		event.EmbedObject(k.received)
	}
	if k.lacksRetry {
		event.Object("retryBudget", k.RetryBudget(k.service.Name).Usage(k.Now()))
	}
	if k.service != nil && (reason == admitter.ReasonNoRoute || reason == admitter.ReasonCutOff) {
		event.EmbedObject(k.Balancer.ReachOfService(k.Now(), k.service.Name)).Bool("noOtherHost", k.delegationFailed)
	}
	k.recordRankRefusal(event, reason)
	event.Msg("forwarder: refused: " + detail)
	k.headerSent = true
	k.w.WriteHeader(code)
	_, _ = io.WriteString(k.w, reason.String()+": "+detail+"\n")
	return false
}

// refuseNoUpstream refuses a request for which the balancer found no upstream.
func (k *call) refuseNoUpstream(reason balancer.Reason) {
	switch {
	case k.runs > 0 && !k.route.Repeatable():
		k.refuse(admitter.ReasonOutcomeUnknown, "may have run")
	case k.runs > 0:
		if k.delegatedBy != "" && k.runs == k.ranElsewhere && !k.wasSent {
			k.w.Header().Set(delegationHeader, delegationRefused) // no upstream of this host got it
		}
		k.refuse(admitter.ReasonUpstream, "no further upstream: "+reason.String())
	case len(k.rejecters) > 0 && reason == balancer.ReasonNoUpstream:
		k.refuse(admitter.ReasonQueueFull, "turned away by each upstream")
	case reason == balancer.ReasonLimit:
		wait := k.Balancer.LimitWait(k.Now(), k.service.Name)
		k.retryAfter = wait + time.Duration(rand.Float64()*float64(minRetryAfter))
		k.refuse(admitter.ReasonUpstreamLimit, "upstreams with room are at their limits")
	case reason == balancer.ReasonBackoff:
		wait := k.Balancer.BackoffWait(k.Now(), k.service.Name)
		k.retryAfter = wait + time.Duration(rand.Float64()*float64(max(wait, minRetryAfter)))
		k.refuse(admitter.ReasonUpstreamBackoff, "upstreams with room have asked for a backoff")
	case reason == balancer.ReasonNoUpstream && k.Detector.State(k.Now()).Lost:
		k.refuse(admitter.ReasonCutOff, "no upstream accepts connections from this host")
	case reason == balancer.ReasonNoRoom:
		k.refuse(admitter.ReasonQueueFull, "no room")
	default:
		k.refuse(admitter.ReasonNoRoute, "no upstream: "+k.Balancer.DescribeUncovered(k.Now(), k.service.Name))
	}
}

// retryOrRefuse reports whether the request may be sent once more, and takes a retry from the
// budget for it. Otherwise it refuses the request, unless the caller has disconnected.
func (k *call) retryOrRefuse(ctx context.Context, v verdict) bool {
	if k.r.Context().Err() != nil {
		return false
	}
	if ctx.Err() != nil {
		k.refuseExpired()
		return false
	}
	if v == verdictNotRun {
		k.rejected++
	} else {
		k.runs++
	}
	k.keepStrikes(ctx)
	if !mayRepeat(k.route, v) {
		k.Meter.NotRepeated.WithLabelValues(v.String()).Inc()
		return k.refuse(admitter.ReasonOutcomeUnknown, "may have run")
	}
	if k.runs >= k.route.MaxAttempts {
		return k.refuse(admitter.ReasonUpstream, "no attempts left")
	}
	if k.refuseIsolated(true) || k.refuseQuarantined() {
		return false
	}
	// A failed dial sent nothing, so that the next one is no retry.
	needsRetry := v != verdictNotRun || !k.dialFailed
	k.lacksRetry = needsRetry && k.rejected <= maxRejections && !k.RetryBudget(k.service.Name).Spend(k.Now())
	if k.rejected > maxRejections || k.lacksRetry {
		if k.runs > 0 {
			return k.refuse(admitter.ReasonRetryBudget, "no retries left")
		}
		return k.refuse(admitter.ReasonQueueFull, "turned away")
	}
	k.Meter.Retries.WithLabelValues(v.String()).Inc()
	return true
}

// refuseExpired refuses a request whose deadline has passed, or that a planned stop ends.
func (k *call) refuseExpired() {
	isSent := k.runs > 0 || k.wasSent
	if k.stop.hasEnded() && k.Now() < k.deadline {
		if isSent {
			k.refuse(admitter.ReasonOutcomeUnknown, "the host stops, may have run")
			return
		}
		k.refuse(admitter.ReasonStopping, "the host stops before it was sent")
		return
	}
	if !isSent {
		k.refuse(admitter.ReasonQueueFull, "time is over before it was sent")
		return
	}
	k.refuse(admitter.ReasonDeadline, "time is over")
}
