package faker

import (
	"net/http"
	"slices"
	"time"

	"github.com/sardineward/sardineward/limiter"
)

const (
	// limitWindow is the length of the sliding window in which requests are counted.
	limitWindow = 4 * time.Second
	// limitGrace is the time after a limit is first announced in which no violation is reported.
	// informedGrace is the time after a host's first request under a limit whose response
	// reached it and announces it, in which its requests are not counted.
	limitGrace    = 3 * time.Second
	informedGrace = 500 * time.Millisecond
	// A window may hold limitFactor times the requests of the limit, plus limitSlack.
	limitFactor = 1.5
	limitSlack  = 5
)

// limitHistory holds the limit that a Stage announces, and earlier ones.
type limitHistory struct {
	// header is the current value of the header; empty means no header.
	header string
	// changes holds all limits so far, in order of time.
	changes []limitChange
}

// limitChange is a limit that was announced from a time on.
type limitChange struct {
	since time.Time
	// perSecond is -1 if no limit or an invalid one was announced.
	perSecond float64
}

// SetLimit makes all later responses announce a limit, which need not be valid; an empty text ends
// it.
func (s *Stage) SetLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond, err := limiter.Parse([]string{text})
	if err != nil {
		perSecond = -1
	}
	s.limits.header = text
	s.limits.changes = append(s.limits.changes, limitChange{time.Now(), perSecond})
}

// setLimitHeader adds the limit, if there is one, to the headers of a response.
func (s *Stage) setLimitHeader(h http.Header, header string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.header != "" {
		h.Set(header, s.limits.header)
	}
}

// LimitViolation is a window in which a Stage received more requests than its limit allows.
type LimitViolation struct {
	// At is the end of the window.
	At time.Time
	// Received is the number of requests in the window from hosts that were informed of the limit,
	// Allowed the number that the limit allows.
	Received, Allowed int
	PerSecond         float64
}

// LimitViolations returns the windows, each ending with a request, in which hosts that were informed
// of the limit sent more requests than it allows. Windows that end within limitGrace of the first
// announcement are skipped. If the limit changed in a window, the highest applies. host returns
// the name of the host that sent a request, or empty for requests that don't count.
func (s *Stage) LimitViolations(host func(one *ReceivedRequest) string) []LimitViolation {
	seen := s.Received()
	slices.SortStableFunc(seen, func(a, b ReceivedRequest) int { return a.At.Compare(b.At) })
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []LimitViolation
	var counted []time.Time
	informed := make(map[string]time.Time)
	for i := range seen {
		at, from := seen[i].At, host(&seen[i])
		since, highest := s.limits.inForce(at)
		if from == "" || since.IsZero() {
			continue
		}
		if informed[from].Before(since) {
			if !s.IsDelivered(&seen[i]) {
				continue
			}
			informed[from] = at
		}
		if at.Before(informed[from].Add(informedGrace)) {
			continue
		}
		counted = append(counted, at)
		for at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		allowed := int(limitFactor*highest*limitWindow.Seconds() + limitSlack)
		if at.Sub(since) >= limitGrace && len(counted) > allowed {
			out = append(out, LimitViolation{at, len(counted), allowed, highest})
		}
	}
	return out
}

// inForce returns the time since which limits have been announced without a break until now, and
// the highest limit in the window that ends now. Both are zero if no limit is announced.
func (l *limitHistory) inForce(now time.Time) (since time.Time, highest float64) {
	for i, n := range l.changes {
		if n.since.After(now) {
			break
		}
		if n.perSecond < 0 {
			since, highest = time.Time{}, 0
			continue
		}
		if since.IsZero() {
			since = n.since
		}
		if i+1 == len(l.changes) || l.changes[i+1].since.After(now.Add(-limitWindow)) {
			highest = max(highest, n.perSecond)
		}
	}
	return since, highest
}
