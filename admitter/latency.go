package admitter

import (
	"sync"
	"time"
)

// Latency bounds the streams that a host has in flight so that their events come
// in time.
//
// The load it answers: more arrivals than the engines can bear, after a loss or
// in a burst. Each further stream makes every batch slower, until no answer
// comes in time though all are worked on. The bound falls while streams are late
// and rises while they aren't and it is reached; what is above it is refused at
// once, when it can still be answered elsewhere or later. Safe for concurrent
// use.
type Latency struct {
	mu sync.Mutex
	// limit is the bound; 0 before the first sample.
	limit    float64
	inFlight int
	// late is the smoothed share of late streams.
	late float64
	// cut is when the bound last fell, high what was in flight then.
	cut  time.Duration
	high float64
}

const (
	// lateWeight is the weight of one more stream.
	lateWeight = 0.1
	// lateMost is the share of late streams from which the bound falls. What a
	// lost upstream makes late for a moment is below it.
	lateMost = 0.35
	// reached is the part of the bound from which it counts as reached.
	reached = 0.8
	// decrease and decreaseEvery: a fifth less each time that streams which
	// started under the last bound have shown what it does.
	decrease      = 0.9
	decreaseEvery = 400 * time.Millisecond
	// cautious is the part of the bound that was too high last from which it
	// rises slowly, by increaseSlow with each stream in time: what was too much
	// a moment ago mostly still is. It is forgotten after forget.
	cautious     = 0.8
	increaseSlow = 0.5
	forget       = time.Second
	// increase and increasePart are by how much the bound rises with each stream
	// in time while it is reached: one, and a part of the bound, so that it
	// is back within some lives of a stream after a loss that was made good.
	increase     = 1.0
	increasePart = 0.04
	// leastLimit keeps some streams going whatever they show: about what a host
	// has in flight on a quiet day.
	leastLimit = 24
	// unbounded is the bound before anything came late.
	unbounded = 1e6
)

// Enter takes a place, or reports that there is none.
func (l *Latency) Enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		l.limit = unbounded
	}
	if float64(l.inFlight) >= l.limit {
		return false
	}
	l.inFlight++
	return true
}

// Leave gives a place back.
func (l *Latency) Leave() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inFlight--
}

// Sample takes in whether a stream kept to the times that callers expect: its
// first event, and the pauses between events.
func (l *Latency) Sample(now time.Duration, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	share := 0.0
	if late {
		share = 1
	}
	l.late += lateWeight * (share - l.late)
	switch {
	case l.late > lateMost && now-l.cut > decreaseEvery:
		l.high = min(l.limit, float64(l.inFlight))
		l.limit = max(leastLimit, l.high*decrease)
		l.cut = now
	case late || float64(l.inFlight) < l.limit*reached:
	case now-l.cut < forget && l.limit > cautious*l.high:
		l.limit += increaseSlow
	default:
		l.limit += increase + increasePart*l.limit
	}
}

// Limit returns the bound.
func (l *Latency) Limit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}
