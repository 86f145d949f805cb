package admitter

import (
	"sync"
	"time"
)

// Latency bounds the streams that a host has in flight so that their first
// events come in time.
//
// The load it answers: more arrivals than the engines can bear, after a loss or
// in a burst. Each further stream makes every batch slower, until no answer
// comes in time though all are worked on. The bound falls while first events
// come late and rises while they don't and it is reached; what is above it is
// refused at once, when it can still be answered elsewhere or later. Safe for
// concurrent use.
type Latency struct {
	mu sync.Mutex
	// limit is the bound; 0 before the first sample.
	limit    float64
	inFlight int
	// late is the smoothed share of first events that came late.
	late float64
	cut  time.Duration
}

const (
	// lateShare is the part of the wanted latency from which a first event
	// counts as late: what is left is for those that are slower than most.
	lateShare = 1.0
	// lateWeight is the weight of one more first event.
	lateWeight = 0.1
	// lateMost is the share of late first events from which the bound falls.
	lateMost = 0.5
	// decrease and decreaseEvery: a fifth less each time that streams which
	// started under the last bound have shown what it does.
	decrease      = 0.9
	decreaseEvery = 400 * time.Millisecond
	// increase and increasePart are by how much the bound rises with each first
	// event in time while it is reached: one, and a part of the bound, so that it
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

// First takes in how long a first event took against what is wanted.
func (l *Latency) First(now, took, wanted time.Duration) {
	if wanted <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	late := 0.0
	if float64(took) > lateShare*float64(wanted) {
		late = 1
	}
	l.late += lateWeight * (late - l.late)
	switch {
	case l.late > lateMost && now-l.cut > decreaseEvery:
		l.limit = max(leastLimit, min(l.limit, float64(l.inFlight))*decrease)
		l.cut = now
	case late == 0 && float64(l.inFlight) >= l.limit*0.8:
		l.limit += increase + increasePart*l.limit
	}
}

// Limit returns the bound.
func (l *Latency) Limit() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limit
}
