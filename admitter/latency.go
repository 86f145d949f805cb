package admitter

import (
	"sync"
	"time"
)

// Latency bounds the streams that a host has in flight so that their events come
// in time.
//
// Past what the engines bear each further stream makes every batch slower, until no
// answer comes in time. The bound falls while streams are late and rises while they
// aren't and it is reached. Safe for concurrent use.
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
	// pressed is set once the bound was reached since the last sample.
	pressed bool
	// usual is the smoothed number in flight while streams come in time and the bound
	// is not reached.
	usual float64
}

const (
	// lateWeight is the weight of one more stream.
	lateWeight = 0.1
	// lateMost is the share of late streams from which the bound falls. What a
	// lost upstream makes late for a moment is below it.
	lateMost = 0.35
	// reached is the part of the bound from which it counts as reached.
	reached = 0.8
	// decrease and decreaseEvery: a tenth less each time that streams which started
	// under the last bound have shown what it does.
	decrease      = 0.9
	decreaseEvery = 400 * time.Millisecond
	// cautious is the part of the bound that was too high last from which it
	// rises slowly, by increaseSlow with each stream in time, until forget has passed.
	cautious     = 0.8
	increaseSlow = 0.5
	forget       = time.Second
	// increase and increasePart are by how much the bound rises with each stream
	// in time while it is reached: one, and a part of the bound, so that it
	// is back within some lives of a stream after a loss that was made good.
	increase     = 1.0
	increasePart = 0.04
	// leastPart of what is usual, and leastLimit at least, are kept going whatever they
	// show: lateness may have another cause than load.
	leastPart  = 0.5
	leastLimit = 4
	// firstUsual is taken for usual by a host that has just started.
	firstUsual = 48
	// usualWeight is the weight of one more stream in what is usual, calm the share of
	// late ones up to which it counts.
	usualWeight = 0.05
	calm        = 0.05
	// unbounded is the bound before anything came late.
	unbounded = 1e6
)

// Enter takes a place, or reports that there is none.
func (l *Latency) Enter() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.limit == 0 {
		l.limit, l.usual = unbounded, firstUsual
	}
	admitted := float64(l.inFlight) < l.limit
	if admitted {
		l.inFlight++
	}
	l.pressed = l.pressed || float64(l.inFlight) >= l.limit*reached
	return admitted
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
	pressed := l.pressed
	l.pressed = float64(l.inFlight) >= l.limit*reached
	if l.late < calm && !pressed {
		l.usual += usualWeight * (float64(l.inFlight) - l.usual)
	}
	switch {
	case l.late > lateMost && now-l.cut > decreaseEvery:
		l.high = min(l.limit, float64(l.inFlight))
		l.limit = max(leastLimit, leastPart*l.usual, l.high*decrease)
		l.cut = now
	case late || !pressed:
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
