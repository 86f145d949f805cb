package forwarder

import (
	"net/http"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/matcher"
)

// mayRepeat reports whether a request of a route may be sent once more after an attempt that ended with v. Where it is
// false the request may have run, or may still run, and must not run twice.
func mayRepeat(r *matcher.Route, v verdict) bool {
	switch v {
	case verdictNotRun, verdictWithheld:
		return true
	case verdictAnswered:
		return false
	default:
		return r.Repeatable()
	}
}

// saysNotRun reports whether a complete response says that its upstream has not run the request.
func (k *call) saysNotRun(resp *http.Response) bool {
	if resp.StatusCode < http.StatusBadRequest {
		return false
	}
	return resp.StatusCode == http.StatusMisdirectedRequest || resp.Header.Get(k.Headers.NotRun) != ""
}

// isPromise reports whether a status tells callers that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// breaksPromise reports whether an upstream's response would promise the caller what the upstream did not say: that a
// request that must not run twice has not run. handleRejection has taken the responses in which it did.
func (k *call) breaksPromise(status int) bool { return isPromise(status) && !k.route.Repeatable() }

// responseProgress is how far the response of an attempt had come when it ended.
type responseProgress struct {
	// head is set once its status and headers were read.
	head bool
	// eventBytes is the number of bytes that were read of an event that is not complete.
	eventBytes int
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (p responseProgress) MarshalZerologObject(e *zerolog.Event) {
	e.Bool("responseBegun", p.head).Int("eventBytes", p.eventBytes)
}
