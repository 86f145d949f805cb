package forwarder

import (
	"net/http"

	"github.com/sardineward/sardineward/admitter"
)

//go:generate enumer -type cutCause -trimprefix cutCause -transform title-lower -output cutcause_gen.go

// cutCause is why a stream that had begun was ended early.
type cutCause int

const (
	// cutCauseDeadline: its deadline had passed.
	cutCauseDeadline cutCause = iota
	// cutCauseResumptions: it had broken maxResumptions times and broke again.
	cutCauseResumptions
	// cutCauseIsolated: its prompt has a part that was isolated meanwhile, and not released in time.
	cutCauseIsolated
	// cutCauseRetry: neither this host's retry budget nor another host had a retry for it in time.
	cutCauseRetry
	// cutCausePath: no upstreams could be reserved for it in time.
	cutCausePath
	// cutCauseHost: this host reaches no upstream, and no other host took it.
	cutCauseHost
	// cutCauseStop: it was under way when a planned stop of the host ended.
	cutCauseStop
)

// CutCauses returns the values of the label cause of streams_cut_total.
func CutCauses() []string { return cutCauseStrings() }

// abortStream ends a stream early. It closes the connection without ending the body, so that the
// caller can't take the response for complete. It does not return: it panics with http.ErrAbortHandler.
func (k *call) abortStream(cause cutCause, resumptions int) {
	if k.stop.hasEnded() && k.Now() < k.deadline {
		cause = cutCauseStop
	}
	if k.r.Context().Err() == nil {
		k.Meter.Refusals.WithLabelValues(admitter.ReasonUpstream.String()).Inc()
		k.Meter.StreamsCut.WithLabelValues(cause.String()).Inc()
		now := k.Now()
		k.Log.Warn().Str("requestId", k.id).Stringer("cause", cause).Str("lastEvent", k.lastEventID.text).Dur("silentFor", now-k.lastDelivery).Int("moves", resumptions).
			Dur("left", k.deadline-now).Object("retryBudget", k.RetryBudget(k.service.Name).Usage(now)).Msg("forwarder: stream cut")
	}
	panic(http.ErrAbortHandler)
}
