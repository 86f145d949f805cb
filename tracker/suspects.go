package tracker

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// strikeFor is how long a crash is held against a request.
	strikeFor = 10 * time.Minute
	// doubtAt is the number of crashes that a request is refused for when no
	// other one was in flight at all of them.
	doubtAt = 2
	// sureAt is the number it is refused for in any case.
	sureAt = 3
)

// Strike is a crash that a request was in flight for.
type Strike struct {
	Fingerprint uint64
	Upstream    string
	Incarnation int64
	// Expires is when it is forgotten.
	Expires time.Time
	// Cleared holds when the request has since been answered whole, which
	// what crashes upstreams never is.
	Cleared bool
}

// NewStrike is a strike that lapses in due time.
func NewStrike(now time.Time, fingerprint uint64, upstream string, incarnation int64) Strike {
	return Strike{Fingerprint: fingerprint, Upstream: upstream, Incarnation: incarnation, Expires: now.Add(strikeFor)}
}

// Key names the strike among hosts.
func (s Strike) Key() string {
	return fmt.Sprintf("%016x/%s@%d", s.Fingerprint, s.Upstream, s.Incarnation)
}

// ParseStrike reads what Key made.
func ParseStrike(key string, expires time.Time, cleared bool) (Strike, error) {
	s := Strike{Expires: expires, Cleared: cleared}
	fp, rest, ok := strings.Cut(key, "/")
	at := strings.LastIndexByte(rest, '@')
	if !ok || at < 0 {
		return s, fmt.Errorf("parsing strike %q: want fingerprint/upstream@incarnation", key)
	}
	var err error
	if s.Fingerprint, err = strconv.ParseUint(fp, 16, 64); err != nil {
		return s, fmt.Errorf("parsing strike %q: %w", key, err)
	}
	if s.Incarnation, err = strconv.ParseInt(rest[at+1:], 10, 64); err != nil {
		return s, fmt.Errorf("parsing strike %q: %w", key, err)
	}
	s.Upstream = rest[:at]
	return s, nil
}

// Suspects keeps the strikes of each fingerprint. Safe for concurrent use.
type Suspects struct {
	// WentDown lists the upstreams that went down at about a time; set before
	// use. nil means none but the struck ones.
	WentDown func(at time.Time, within time.Duration) []string

	mu      sync.Mutex
	strikes map[uint64]map[string]Strike
}

// Add takes in a strike, the clearing of one included.
func (s *Suspects) Add(st Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.strikes == nil {
		s.strikes = make(map[uint64]map[string]Strike)
	}
	of := s.strikes[st.Fingerprint]
	if of == nil {
		of = make(map[string]Strike)
		s.strikes[st.Fingerprint] = of
	}
	old, ok := of[st.Key()]
	if ok && old.Cleared {
		return
	}
	of[st.Key()] = st
}

// Of returns the strikes that count against a fingerprint now.
func (s *Suspects) Of(now time.Time, fingerprint uint64) []Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Strike
	for key, st := range s.strikes[fingerprint] {
		if !st.Expires.After(now) {
			delete(s.strikes[fingerprint], key)
			continue
		}
		if !st.Cleared {
			out = append(out, st)
		}
	}
	if len(s.strikes[fingerprint]) == 0 {
		delete(s.strikes, fingerprint)
	}
	return out
}

// Newest returns the strikes that expire last, a number of them at most, those
// that were cleared included: other hosts have to hear of these too.
func (s *Suspects) Newest(now time.Time, most int) []Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Strike
	for _, of := range s.strikes {
		for _, st := range of {
			if st.Expires.After(now) {
				out = append(out, st)
			}
		}
	}
	slices.SortFunc(out, func(a, b Strike) int {
		return cmp.Or(b.Expires.Compare(a.Expires), strings.Compare(a.Key(), b.Key()))
	})
	return out[:min(most, len(out))]
}

// Clear notes that a request was answered whole: nothing counts against it now.
func (s *Suspects) Clear(now time.Time, fingerprint uint64) {
	for _, st := range s.Of(now, fingerprint) {
		st.Cleared = true
		s.Add(st)
	}
}

// Quarantined reports whether a fingerprint is to be refused, and until when.
func (s *Suspects) Quarantined(now time.Time, fingerprint uint64) (time.Duration, bool) {
	strikes := s.counted(s.Of(now, fingerprint))
	if len(strikes) < doubtAt || len(strikes) < sureAt && s.shared(now, fingerprint, strikes) {
		return 0, false
	}
	var last time.Time
	for _, st := range strikes {
		if st.Expires.After(last) {
			last = st.Expires
		}
	}
	return last.Sub(now), true
}

// counted leaves out strikes that befell the request. A rack or a data centre
// was lost, and requests in flight there were moved to engines that fell a
// moment later; two crashes made them look guilty. What crashes engines is in
// flight at each that falls, so when others fall beside, it is not the cause.
func (s *Suspects) counted(strikes []Strike) []Strike {
	const (
		window = 2 * time.Second
		others = 2
	)
	if s.WentDown == nil {
		return strikes
	}
	return slices.DeleteFunc(strikes, func(st Strike) bool {
		n := 0
		for _, name := range s.WentDown(st.Expires.Add(-strikeFor), window) {
			if !slices.ContainsFunc(strikes, func(o Strike) bool { return o.Upstream == name }) {
				n++
			}
		}
		return n >= others
	})
}

// Doubtful reports whether a fingerprint has enough strikes to be refused, so
// that news of others which share them is worth a moment's wait.
func (s *Suspects) Doubtful(now time.Time, fingerprint uint64) bool {
	return len(s.Of(now, fingerprint)) >= doubtAt
}

// shared reports whether another fingerprint was in flight at the same crashes.
// A request that crashes engines was retried and met an innocent one, struck by
// the same first crash and retried by another host, on its second engine: both
// had two strikes, and both were refused. While two explain the same crashes,
// neither is refused; they part ways, and the innocent one's answer clears it.
func (s *Suspects) shared(now time.Time, fingerprint uint64, strikes []Strike) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, of := range s.strikes {
		if other != fingerprint && holdsAll(now, of, strikes) {
			return true
		}
	}
	return false
}

func holdsAll(now time.Time, of map[string]Strike, strikes []Strike) bool {
	for _, st := range strikes {
		if !holds(now, of, st) {
			return false
		}
	}
	return true
}

func holds(now time.Time, of map[string]Strike, want Strike) bool {
	for _, st := range of {
		if st.Upstream == want.Upstream && st.Incarnation == want.Incarnation && !st.Cleared && st.Expires.After(now) {
			return true
		}
	}
	return false
}

// Sweep forgets what has lapsed.
func (s *Suspects) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp, of := range s.strikes {
		for key, st := range of {
			if !st.Expires.After(now) {
				delete(of, key)
			}
		}
		if len(of) == 0 {
			delete(s.strikes, fp)
		}
	}
}
