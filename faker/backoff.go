package faker

import (
	"net/http"
	"slices"
	"time"
)

const (
	// backoffGrace is the time after a rejection with Retry-After in which requests that were on
	// their way are not counted, maxDuringBackoff the number of requests that a host may send
	// between that time and the end of the wait.
	backoffGrace     = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// backoff is what a Stage's rejections ask of the hosts that they go to.
type backoff struct {
	// retryAfter is the text of the header Retry-After; empty while requests are not rejected.
	retryAfter string
	// wait is the time that a host has to stay away.
	wait time.Duration
}

// SetBackoff makes the stage reject all later requests with status 503 and a Retry-After of that
// text, which means the given wait. An empty text ends it; waits that were asked for stay.
func (s *Stage) SetBackoff(retryAfter string, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backoff = backoff{retryAfter, wait}
}

// rejectWithBackoff writes a rejection that asks the host to stay away.
func (s *Stage) rejectWithBackoff(w http.ResponseWriter, retryAfter string) {
	w.Header().Set(s.headers().NotRun, "1")
	w.Header().Set("Retry-After", retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// SetLeaving makes all later responses announce that the stage leaves, or no longer so, by a header of
// the given value; an empty text sends none.
func (s *Stage) SetLeaving(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = text
}

// setLeavingHeader adds the announcement, if there is one, to the headers of a response.
func (s *Stage) setLeavingHeader(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving != "" {
		h.Set(s.headers().Leaving, s.leaving)
	}
}

// SentAfterLeaving returns, by host, the longest time between the first response that announced to a
// host that the stage leaves and a later request of that host.
func (s *Stage) SentAfterLeaving(host func(one *ReceivedRequest) string) map[string]time.Duration {
	told := make(map[string]time.Time)
	out := make(map[string]time.Duration)
	for _, one := range s.Received() {
		from := host(&one)
		if at, ok := told[from]; ok {
			out[from] = max(out[from], one.At.Sub(at))
		} else if one.ToldLeaving && from != "" && s.IsDelivered(&one) {
			told[from] = one.At
		}
	}
	return out
}

// BackoffViolation is a wait that a Stage asked a host for, in which that host sent more requests
// than allowed.
type BackoffViolation struct {
	Host string
	// At is when the stage asked for the wait.
	At       time.Time
	Wait     time.Duration
	Received int
	// Requests lists their ids.
	Requests []string
}

// BackoffViolations returns the waits in which a host sent more than two requests between half a
// second after a rejection with Retry-After that reached it and the end of the wait. host returns the name of the
// host that sent a request, or empty for requests that don't count.
func (s *Stage) BackoffViolations(host func(one *ReceivedRequest) string) []BackoffViolation {
	byHost := make(map[string][]ReceivedRequest)
	for _, one := range s.Received() {
		if from := host(&one); from != "" {
			byHost[from] = append(byHost[from], one)
		}
	}
	var out []BackoffViolation
	for from, list := range byHost {
		slices.SortStableFunc(list, func(a, b ReceivedRequest) int { return a.At.Compare(b.At) })
		for i := range list {
			asked := &list[i]
			if asked.Backoff == 0 || !s.IsDelivered(asked) {
				continue
			}
			var ids []string
			for _, later := range list[i+1:] {
				if wait := later.At.Sub(asked.At); wait >= backoffGrace && wait < asked.Backoff {
					ids = append(ids, later.RequestID)
				}
			}
			if len(ids) > maxDuringBackoff {
				out = append(out, BackoffViolation{from, asked.At, asked.Backoff, len(ids), ids})
			}
		}
	}
	return out
}
