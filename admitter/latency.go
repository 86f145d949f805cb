package admitter

import (
	"sync"
	"time"
)

// StreamLimiter is an adaptive limit on the streams that a host has in flight, which keeps their
// events in time.
//
// Beyond the engines' capacity each further stream slows every batch, until no answer is in time.
// The limit decreases while streams are late, and increases while they are in time and it is
// reached. It is safe for concurrent use; the zero value is ready to use.
type StreamLimiter struct {
	mu sync.Mutex
	// limit is the maximum in flight; 0 before the first call of TryAcquire.
	limit    float64
	inFlight int
	// lateShare is the smoothed share of late streams, from 0 to 1.
	lateShare float64
	// lastDecrease is when the limit last decreased, highInFlight the number of streams in flight
	// before that, at most the limit.
	lastDecrease time.Duration
	highInFlight float64
	// limitReached is set when the limit was reached since the last sample.
	limitReached bool
	// usualInFlight is the smoothed number of streams in flight while they are in time and the
	// limit is not reached.
	usualInFlight float64
}

const (
	// lateWeight is the weight of one stream in lateShare.
	lateWeight = 0.1
	// maxLateShare is the share of late streams above which the limit decreases. The share that
	// one lost upstream makes late for a moment is below it.
	maxLateShare = 0.35
	// reachedFraction is the fraction of the limit from which it counts as reached.
	reachedFraction = 0.8
	// decreaseFactor is the factor by which the limit decreases, by a tenth, and
	// decreaseInterval the least time between two decreases, after which streams that started
	// under the last limit show its effect.
	decreaseFactor   = 0.9
	decreaseInterval = 400 * time.Millisecond
	// cautiousFraction is the fraction of highInFlight, the number that was too high, above which
	// the limit increases slowly, by cautiousIncrease with each stream in time, until
	// cautiousPeriod has passed.
	cautiousFraction = 0.8
	cautiousIncrease = 0.5
	cautiousPeriod   = time.Second
	// increase and increaseFraction are by how much the limit increases with each stream in time
	// while it is reached: by one stream and by a fraction of the limit, so that it recovers
	// within a few stream durations after lost upstreams are replaced.
	increase         = 1.0
	increaseFraction = 0.04
	// minUsualFraction of usualInFlight, and at least minLimit streams, are always allowed,
	// because streams may be late for other reasons than load.
	minUsualFraction = 0.5
	minLimit         = 4
	// initialUsual is usualInFlight on a host that has just started.
	initialUsual = 48
	// usualWeight is the weight of one stream in usualInFlight, maxCalmLateShare the late share
	// below which streams count for it.
	usualWeight      = 0.05
	maxCalmLateShare = 0.05
	// initialLimit is the limit before any stream was late; it is never reached.
	initialLimit = 1e6
)

// TryAcquire admits a stream, and returns false when the limit is reached. Release must be called for
// each admitted stream.
func (l *StreamLimiter) TryAcquire() bool { return l.TryAcquireKeeping(0) }

// TryAcquireKeeping is TryAcquire for a stream that leaves a share of the limit, from 0 to 1, to more
// urgent ones.
func (l *StreamLimiter) TryAcquireKeeping(free float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	admitted := l.admits(free)
	if admitted {
		l.acquire()
	}
	return admitted
}

// Admits reports whether there is a place for a stream that leaves a share of the limit, from 0 to 1,
// to more urgent ones.
func (l *StreamLimiter) Admits(free float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admits(free)
}

func (l *StreamLimiter) admits(free float64) bool {
	l.initialize()
	admitted := float64(l.inFlight) < l.limit*(1-free)
	l.limitReached = l.limitReached || !admitted
	return admitted
}

// Acquire counts a stream that was admitted before. Release must be called for it.
func (l *StreamLimiter) Acquire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize()
	l.acquire()
}

func (l *StreamLimiter) acquire() {
	l.inFlight++
	l.limitReached = l.limitReached || float64(l.inFlight) >= l.limit*reachedFraction
}

func (l *StreamLimiter) initialize() {
	if l.limit == 0 {
		l.limit, l.usualInFlight = initialLimit, initialUsual
	}
}

// Release ends an admitted stream.
func (l *StreamLimiter) Release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// Observe records whether a stream was late: its first event, or a pause between two events, took
// longer than callers expect.
func (l *StreamLimiter) Observe(now time.Duration, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sample := 0.0
	if late {
		sample = 1
	}
	l.lateShare += lateWeight * (sample - l.lateShare)
	limitReached := l.limitReached
	l.limitReached = float64(l.inFlight) >= l.limit*reachedFraction
	if l.lateShare < maxCalmLateShare && !limitReached {
		l.usualInFlight += usualWeight * (float64(l.inFlight) - l.usualInFlight)
	}
	switch {
	case l.lateShare > maxLateShare && now-l.lastDecrease > decreaseInterval:
		l.highInFlight = min(l.limit, float64(l.inFlight))
		l.limit = max(minLimit, minUsualFraction*l.usualInFlight, l.highInFlight*decreaseFactor)
		l.lastDecrease = now
	case late || !limitReached:
	case now-l.lastDecrease < cautiousPeriod && l.limit > cautiousFraction*l.highInFlight:
		l.limit += cautiousIncrease
	default:
		l.limit += increase + increaseFraction*l.limit
	}
}

// Limit returns the maximum number of streams in flight.
func (l *StreamLimiter) Limit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}
