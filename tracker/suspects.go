package tracker

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// strikeFor is how long a crash is held against a request.
	strikeFor = 10 * time.Minute
	// quarantineAt is how many crashes a request must have been in flight for.
	// One may be chance; a second one on another upstream, with the other
	// suspects kept apart, hardly is.
	quarantineAt = 2
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

// Quarantined reports whether a fingerprint is to be refused, and until when.
func (s *Suspects) Quarantined(now time.Time, fingerprint uint64) (time.Duration, bool) {
	strikes := s.Of(now, fingerprint)
	if len(strikes) < quarantineAt {
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
