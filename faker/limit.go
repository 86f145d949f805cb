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

// limits is what a Stage names as its limit, and to whom.
type limits struct {
	// text is the header's value now; empty is no header.
	text string
	// named are the limits over time, in order.
	named []namedLimit
	// told is when an answer first named the limit to a host, by where it calls from.
	told map[string]time.Time
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
	if perSecond < 0 {
		s.limits.told = nil
	}
}

// name puts the limit into an answer to a host.
func (s *Stage) name(h http.Header, header, to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limits.text == "" {
		return
	}
	h.Set(header, s.limits.text)
	if s.limits.told == nil {
		s.limits.told = make(map[string]time.Time)
	}
	if s.limits.told[to].IsZero() {
		s.limits.told[to] = time.Now()
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
func (s *Stage) LimitBreaks() []LimitBreak {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counted []time.Time
	for _, one := range s.seen {
		told := s.limits.told[one.From]
		if !told.IsZero() && !one.At.Before(told.Add(toldGrace)) {
			counted = append(counted, one.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	var out []LimitBreak
	first := 0
	for i, at := range counted {
		for at.Sub(counted[first]) > limitWindow {
			first++
		}
		perSecond, ok := s.limits.highest(at)
		allowed := int(limitFactor*perSecond*limitWindow.Seconds() + limitSlack)
		if got := i - first + 1; ok && got > allowed {
			out = append(out, LimitBreak{at, got, allowed, perSecond})
		}
	}
	return out
}

// highest is the highest limit within the window that ends at a time; not ok where the
// upstream was without one, or named it first less than the grace before.
func (l *limits) highest(at time.Time) (perSecond float64, ok bool) {
	var since time.Time
	for i, n := range l.named {
		if n.from.After(at) {
			break
		}
		until := at
		if i+1 < len(l.named) {
			until = l.named[i+1].from
		}
		if n.perSecond < 0 {
			since = time.Time{}
			if until.After(at.Add(-limitWindow)) {
				perSecond = 0
			}
			continue
		}
		if since.IsZero() {
			since = n.from
		}
		if until.After(at.Add(-limitWindow)) {
			perSecond = max(perSecond, n.perSecond)
		}
	}
	return perSecond, !since.IsZero() && at.Sub(since) >= limitGrace
}
