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
	// strikeTTL is how long a crash counts against a request.
	strikeTTL = 10 * time.Minute
	// soleStrikeThreshold is the number of crashes at which a request is refused if no other
	// request was in flight at all of them.
	soleStrikeThreshold = 2
	// strikeThreshold is the number of crashes at which a request is refused in any case.
	strikeThreshold = 3
)

// Strike records that a request was in flight on an upstream when it crashed.
type Strike struct {
	Fingerprint uint64
	Upstream    string
	Incarnation int64
	// Expires is when the strike stops counting.
	Expires time.Time
	// Cleared is set if the request was answered completely since, which never happens to a request
	// that crashes upstreams.
	Cleared bool
}

// NewStrike returns a strike that expires after strikeTTL.
func NewStrike(now time.Time, fingerprint uint64, upstream string, incarnation int64) Strike {
	return Strike{Fingerprint: fingerprint, Upstream: upstream, Incarnation: incarnation, Expires: now.Add(strikeTTL)}
}

// Key identifies the strike in exchanges between hosts.
func (s Strike) Key() string {
	return fmt.Sprintf("%016x/%s@%d", s.Fingerprint, s.Upstream, s.Incarnation)
}

// ParseStrike parses a strike from the result of Key.
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

// Suspects keeps the strikes against each request fingerprint. It is safe for concurrent use.
type Suspects struct {
	// WentDown lists the upstreams that went down at most within before or after at; set before
	// use. If it is nil, all strikes count.
	WentDown func(at time.Time, within time.Duration) []string

	// Explained reports whether the crash of an upstream at a time has another known cause; set before use. nil
	// means never.
	Explained func(upstream string, at time.Time) bool

	mu      sync.Mutex
	strikes map[uint64]map[string]Strike
}

// Add adds a strike or its cleared form. A cleared strike stays cleared.
func (s *Suspects) Add(st Strike) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.strikes == nil {
		s.strikes = make(map[uint64]map[string]Strike)
	}
	byKey := s.strikes[st.Fingerprint]
	if byKey == nil {
		byKey = make(map[string]Strike)
		s.strikes[st.Fingerprint] = byKey
	}
	old, ok := byKey[st.Key()]
	if ok && old.Cleared {
		return
	}
	byKey[st.Key()] = st
}

// Active returns the strikes that count against a fingerprint now.
func (s *Suspects) Active(now time.Time, fingerprint uint64) []Strike {
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

// Newest returns at most limit strikes, those that expire last first. Cleared ones are included,
// because other hosts must learn of them as well.
func (s *Suspects) Newest(now time.Time, limit int) []Strike {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Strike
	for _, byKey := range s.strikes {
		for _, st := range byKey {
			if st.Expires.After(now) {
				out = append(out, st)
			}
		}
	}
	slices.SortFunc(out, func(a, b Strike) int {
		return cmp.Or(b.Expires.Compare(a.Expires), strings.Compare(a.Key(), b.Key()))
	})
	return out[:min(limit, len(out))]
}

// Clear records that a request was answered completely, so that none of its strikes count.
func (s *Suspects) Clear(now time.Time, fingerprint uint64) {
	for _, st := range s.Active(now, fingerprint) {
		st.Cleared = true
		s.Add(st)
	}
}

// Attributable returns the strikes that count against a fingerprint now and that the request probably caused.
func (s *Suspects) Attributable(now time.Time, fingerprint uint64) []Strike {
	return s.attributable(s.Active(now, fingerprint))
}

// Quarantined reports whether requests with a fingerprint are refused now, and for how long.
func (s *Suspects) Quarantined(now time.Time, fingerprint uint64) (time.Duration, bool) {
	strikes := s.Attributable(now, fingerprint)
	if len(strikes) < soleStrikeThreshold || len(strikes) < strikeThreshold && s.hasOtherCause(now, fingerprint, strikes) {
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

// attributable leaves out strikes that the request probably did not cause. When a rack or a data
// centre fails, requests in flight there move to engines that fail a moment later, and two crashes
// would make them look like the cause. A request that crashes engines is in flight on each engine
// that fails, so if at least minOthers others fail within window of the crash, it is not the cause.
func (s *Suspects) attributable(strikes []Strike) []Strike {
	const (
		window    = 2 * time.Second
		minOthers = 2
	)
	if s.Explained != nil {
		strikes = slices.DeleteFunc(strikes, func(st Strike) bool { return s.Explained(st.Upstream, st.Expires.Add(-strikeTTL)) })
	}
	if s.WentDown == nil {
		return strikes
	}
	return slices.DeleteFunc(strikes, func(st Strike) bool {
		n := 0
		for _, name := range s.WentDown(st.Expires.Add(-strikeTTL), window) {
			if !slices.ContainsFunc(strikes, func(o Strike) bool { return o.Upstream == name }) {
				n++
			}
		}
		return n >= minOthers
	})
}

// ReachesThreshold reports whether a fingerprint has enough strikes to be refused, so that it is
// worth waiting briefly for other hosts to report fingerprints with the same strikes.
func (s *Suspects) ReachesThreshold(now time.Time, fingerprint uint64) bool {
	return len(s.Active(now, fingerprint)) >= soleStrikeThreshold
}

// hasOtherCause reports whether another fingerprint was in flight at the same crashes. After the
// first crash, the retry of a request that crashes engines may meet the retry of an innocent one
// from another host on a second engine, so that both have two strikes. While two fingerprints
// explain the same crashes, neither is refused; their routes then differ, and the answer to the
// innocent one clears it.
func (s *Suspects) hasOtherCause(now time.Time, fingerprint uint64, strikes []Strike) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, byKey := range s.strikes {
		if other != fingerprint && containsAll(now, byKey, strikes) {
			return true
		}
	}
	return false
}

func containsAll(now time.Time, byKey map[string]Strike, strikes []Strike) bool {
	for _, st := range strikes {
		if !contains(now, byKey, st) {
			return false
		}
	}
	return true
}

func contains(now time.Time, byKey map[string]Strike, want Strike) bool {
	for _, st := range byKey {
		if st.Upstream == want.Upstream && st.Incarnation == want.Incarnation && !st.Cleared && st.Expires.After(now) {
			return true
		}
	}
	return false
}

// Sweep deletes expired strikes.
func (s *Suspects) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for fp, byKey := range s.strikes {
		for key, st := range byKey {
			if !st.Expires.After(now) {
				delete(byKey, key)
			}
		}
		if len(byKey) == 0 {
			delete(s.strikes, fp)
		}
	}
}
