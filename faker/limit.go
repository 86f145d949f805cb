package faker

import (
	"net/http"
	"slices"
	"time"

	"github.com/sardineward/sardineward/limiter"
)

const (
	// limitWindow is the time over which requests are counted against a limit.
	limitWindow = 4 * time.Second
	// limitGrace is how long after a limit was first named it has to be kept, and
	// toldGrace how long after its first answer that named it a host's requests count.
	limitGrace = 3 * time.Second
	toldGrace  = 500 * time.Millisecond
	// limitFactor times a limit, and limitSlack requests, are allowed in a window.
	limitFactor = 1.5
	limitSlack  = 5
)

// limits is what a Stage names as its limit.
type limits struct {
	// text is the header's value now; empty is no header.
	text string
	// named are the limits over time, in order.
	named []namedLimit
}

type namedLimit struct {
	from time.Time
	// perSecond is -1 where none is named, or none that can be read.
	perSecond float64
}

// SetLimit has all answers from now on name a limit; empty ends it.
func (s *Stage) SetLimit(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	perSecond, err := limiter.Parse([]string{text})
	if err != nil {
		perSecond = -1
	}
	s.limits.text = text
	s.limits.named = append(s.limits.named, namedLimit{time.Now(), perSecond})
}

// name puts the limit into an answer.
func (s *Stage) name(h http.Header, header string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.text != "" {
		h.Set(header, s.limits.text)
	}
}

// LimitBreak is a window in which a Stage got more requests than it allows.
type LimitBreak struct {
	// At is the end of the window.
	At time.Time
	// Got are the requests in it of hosts that were told, Allowed those allowed.
	Got, Allowed int
	PerSecond    float64
}

// LimitBreaks lists the windows, each ending with a request, in which the Stage got more
// requests of hosts that were told of its limit than that allows. The windows of a limit
// begin a grace after it was first named; where it changed in a window the highest holds.
// host names the host that a request came from; empty is one that does not count.
func (s *Stage) LimitBreaks(host func(one *Seen) string) []LimitBreak {
	seen := s.Seen()
	slices.SortStableFunc(seen, func(a, b Seen) int { return a.At.Compare(b.At) })
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []LimitBreak
	var counted []time.Time
	told := make(map[string]time.Time)
	for i := range seen {
		at, from := seen[i].At, host(&seen[i])
		since, highest := s.limits.at(at)
		if from == "" || since.IsZero() {
			continue
		}
		if told[from].Before(since) {
			told[from] = at
		}
		if at.Before(told[from].Add(toldGrace)) {
			continue
		}
		counted = append(counted, at)
		for at.Sub(counted[0]) > limitWindow {
			counted = counted[1:]
		}
		allowed := int(limitFactor*highest*limitWindow.Seconds() + limitSlack)
		if at.Sub(since) >= limitGrace && len(counted) > allowed {
			out = append(out, LimitBreak{at, len(counted), allowed, highest})
		}
	}
	return out
}

// at is since when the limit that is named at a time was named without a break, and the
// highest of the window that ends then; zero where none is.
func (l *limits) at(now time.Time) (since time.Time, highest float64) {
	for i, n := range l.named {
		if n.from.After(now) {
			break
		}
		if n.perSecond < 0 {
			since, highest = time.Time{}, 0
			continue
		}
		if since.IsZero() {
			since = n.from
		}
		if i+1 == len(l.named) || l.named[i+1].from.After(now.Add(-limitWindow)) {
			highest = max(highest, n.perSecond)
		}
	}
	return since, highest
}
