package forwarder

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sardineward/sardineward/balancer"
)

const (
	// maxHeaderLength is the most bytes that a Retry-After may have, of which an HTTP date has 29,
	// and that an error quotes of a header.
	maxHeaderLength = 32
	// secondsCharacters are the characters that a Retry-After in seconds may have.
	secondsCharacters = "0123456789."
)

// HeaderError is a header of an upstream's response that can't be parsed.
type HeaderError struct {
	Header string
	// Text is the first value, cut after maxHeaderLength bytes.
	Text string
	// Values is the number of values that the header had.
	Values int
}

// Error describes what was found.
func (e *HeaderError) Error() string {
	if e.Values > 1 {
		return fmt.Sprintf("forwarder: found %d values of %s, the first %q, want one", e.Values, e.Header, e.Text)
	}
	return fmt.Sprintf("forwarder: %s %q can't be read", e.Header, e.Text)
}

// headerError describes the values of a header, of which there is at least one.
func headerError(header string, values []string) *HeaderError {
	text := strings.TrimSpace(values[0])
	return &HeaderError{Header: header, Text: text[:min(len(text), maxHeaderLength)], Values: len(values)}
}

// parseRetryAfter returns the wait that a response's Retry-After asks for; 0 if it has none. It is
// a number of seconds, which may have a fraction, or an HTTP date, which is compared with the
// response's own Date: the time of day of this host may be off. The error is a *HeaderError.
func parseRetryAfter(h http.Header) (time.Duration, *HeaderError) {
	values := h.Values("Retry-After")
	if len(values) == 0 {
		return 0, nil
	}
	text := strings.TrimSpace(values[0])
	invalid := headerError("Retry-After", values)
	if len(values) > 1 || len(text) > maxHeaderLength {
		return 0, invalid
	}
	if strings.Trim(text, secondsCharacters) == "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return 0, invalid
		}
		return time.Duration(min(seconds*float64(time.Second), math.MaxInt64/2)), nil
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, invalid
	}
	sent, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		return 0, invalid
	}
	return max(0, until.Sub(sent)), nil
}

// fromUpstream reports whether a response has a header that shows that it comes from the upstream:
// its signature, or the mark that the request did not run. Refusals of entry hosts have neither.
func (h *Headers) fromUpstream(resp *http.Response) bool {
	return resp.Header.Get(h.Stamp) != "" || resp.Header.Get(h.NotRun) != ""
}

// observeAnnouncements applies what the response of an upstream says about the time to come.
func (k *call) observeAnnouncements(l *balancer.Lease, resp *http.Response) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return // the response is from another upstream at that address
	}
	k.applyLeaving(l.First.ID, l.StartedAt, k.id, resp.Header)
	k.observeBackoff(l, resp)
}

// applyLeaving records that an upstream announces in a response that it leaves, if it does.
// requestID is for the log; empty where the response answers no caller's request.
func (f *Forwarder) applyLeaving(id string, startedAt int64, requestID string, h http.Header) {
	values := h.Values(f.Headers.Leaving)
	if len(values) == 0 {
		return
	}
	if len(values) > 1 || strings.TrimSpace(values[0]) != "1" {
		f.noteUnreadable(id, requestID, headerError(f.Headers.Leaving, values))
		return
	}
	if f.Balancer.ObserveLeaving(f.Now(), id, startedAt) {
		f.Log.Info().Str("requestId", requestID).Str("upstream", id).Msg("forwarder: upstream announces that it leaves")
	}
}

// noteUnreadable counts a header that can't be parsed and logs the first one of each upstream.
func (f *Forwarder) noteUnreadable(id, requestID string, err *HeaderError) {
	f.Meter.AnnouncementsUnreadable.WithLabelValues(err.Header).Inc()
	if f.Balancer.FirstUnreadable(id, err.Header) {
		f.Log.Warn().Err(err).Str("requestId", requestID).Str("upstream", id).Msg("forwarder: header can't be read, nothing changed")
	}
}

// observeBackoff applies the Retry-After of a response with status 503 to the upstream because of
// which the request was rejected. Other responses show that the upstreams of the path accept
// requests.
func (k *call) observeBackoff(l *balancer.Lease, resp *http.Response) {
	if resp.StatusCode != http.StatusServiceUnavailable {
		if resp.Header.Get(k.Headers.NotRun) == "" {
			k.Balancer.RecordAccepted(l)
		}
		return
	}
	if !k.Headers.fromUpstream(resp) {
		return
	}
	id, startedAt := k.rejecter(l, resp), l.StartedAt
	if id != l.First.ID {
		startedAt = k.Balancer.StartedAt(id)
	}
	k.applyRetryAfter(id, startedAt, k.id, resp.Header)
}

// applyRetryAfter starts or extends the backoff that an upstream's rejection asks for, if it does.
// requestID is for the log; empty where the rejection answers no caller's request.
func (f *Forwarder) applyRetryAfter(id string, startedAt int64, requestID string, h http.Header) {
	wait, err := parseRetryAfter(h)
	if err != nil {
		f.noteUnreadable(id, requestID, err)
		return
	}
	o, begins, changed := f.Balancer.ObserveBackoff(f.Now(), id, startedAt, wait)
	switch {
	case begins:
		f.Log.Info().Str("requestId", requestID).EmbedObject(&o).Msg("forwarder: upstream asks for a backoff")
	case changed:
		f.Log.Debug().Str("requestId", requestID).EmbedObject(&o).Msg("forwarder: upstream asks for a longer backoff")
	}
}
