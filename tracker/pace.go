package tracker

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially smoothed value.
type average struct {
	value float64
	last  time.Time
}

// smoothing is the time over which averages forget.
const smoothing = time.Second

// at moves the average towards a value that held since the last call, and
// returns it.
func (a *average) at(now time.Time, v float64) float64 {
	if a.last.IsZero() {
		a.value, a.last = v, now
		return v
	}
	w := 1 - math.Exp(-now.Sub(a.last).Seconds()/smoothing.Seconds())
	a.value += w * (v - a.value)
	a.last = now
	return a.value
}

const (
	// lateShare is the part of tokens that may come later than wanted.
	lateShare = 0.05
	// paceLowest and paceHighest bound the factor.
	paceLowest  = 0.2
	paceHighest = 1.25
	// paceDown and paceUp are its steps, one a paceEvery.
	paceDown  = 0.96
	paceUp    = 1.01
	paceEvery = 250 * time.Millisecond
	// paceSamples is the fewest tokens that a step is drawn from.
	paceSamples = 50
)

// pace lowers how many sequences a pipeline's upstreams are given while more
// tokens than lateShare come late, and raises it again when fewer do. What
// engines are declared to run leaves out how long prompts are and how well
// their cache does; this closes the loop over it.
type pace struct {
	// gap is the longest wanted time between tokens.
	gap time.Duration

	all, late atomic.Int64
	bits      atomic.Uint64
	next      atomic.Int64
}

func newPace(gapMs float64) *pace {
	p := &pace{gap: ms(gapMs)}
	p.bits.Store(math.Float64bits(1))
	return p
}

func (p *pace) factor() float64 { return math.Float64frombits(p.bits.Load()) }

// observe takes in the time between two tokens.
func (p *pace) observe(now time.Time, d time.Duration) {
	p.all.Add(1)
	if d > p.gap {
		p.late.Add(1)
	}
	due := p.next.Load()
	if now.UnixNano() < due || p.all.Load() < paceSamples || !p.next.CompareAndSwap(due, now.Add(paceEvery).UnixNano()) {
		return
	}
	all, late := p.all.Swap(0), p.late.Swap(0)
	f := p.factor()
	if float64(late) > lateShare*float64(all) {
		f *= paceDown
	} else {
		f *= paceUp
	}
	p.bits.Store(math.Float64bits(min(max(f, paceLowest), paceHighest)))
}

// Observe takes in the time between two tokens of a pipeline's stream.
func (t *Tracker) Observe(now time.Time, name string, d time.Duration) {
	t.mu.Lock()
	p := t.pipelines[name]
	t.mu.Unlock()
	if p != nil {
		p.pace.observe(now, d)
	}
}
