package tracker

import (
	"math"
	"sync/atomic"
	"time"
)

// average is an exponentially smoothed value. The zero value takes the first value as it is.
type average struct {
	value float64
	last  time.Time
}

// smoothingTime is the time constant of averages.
const smoothingTime = time.Second

// update moves the average towards v, which held since the last call, and returns it.
func (a *average) update(now time.Time, v float64) float64 {
	if a.last.IsZero() {
		a.value, a.last = v, now
		return v
	}
	w := 1 - math.Exp(-now.Sub(a.last).Seconds()/smoothingTime.Seconds())
	a.value += w * (v - a.value)
	a.last = now
	return a.value
}

const (
	// maxLateShare is the fraction of tokens that may be late.
	maxLateShare = 0.05
	// minPaceFactor and maxPaceFactor bound the factor by which a pipeline's slots are multiplied.
	minPaceFactor = 0.2
	maxPaceFactor = 1.25
	// paceDecrease and paceIncrease multiply the factor, at most once per paceInterval.
	paceDecrease = 0.96
	paceIncrease = 1.01
	paceInterval = 250 * time.Millisecond
	// minPaceSamples is the smallest number of tokens on which a step is based.
	minPaceSamples = 50
)

// pace reduces the number of sequences given to a pipeline's upstreams while more than maxLateShare
// of the tokens are late, and raises it again when fewer are. The declared capacity of the engines
// does not cover the length of prompts and the hit rate of caches; this control loop corrects for
// both.
type pace struct {
	// targetGap is the longest desired time between tokens.
	targetGap time.Duration

	// tokens and lateTokens count since the last step.
	tokens, lateTokens atomic.Int64
	// factorBits holds the bits of the factor as a float64.
	factorBits atomic.Uint64
	// nextStep is the earliest time of the next step in Unix nanoseconds.
	nextStep atomic.Int64
}

func newPace(gapMs float64) *pace {
	p := &pace{targetGap: ms(gapMs)}
	p.factorBits.Store(math.Float64bits(1))
	return p
}

func (p *pace) factor() float64 { return math.Float64frombits(p.factorBits.Load()) }

// observe records the time between two tokens and steps the factor when a step is due.
func (p *pace) observe(now time.Time, d time.Duration) {
	p.tokens.Add(1)
	if d > p.targetGap {
		p.lateTokens.Add(1)
	}
	due := p.nextStep.Load()
	if now.UnixNano() < due || p.tokens.Load() < minPaceSamples || !p.nextStep.CompareAndSwap(due, now.Add(paceInterval).UnixNano()) {
		return
	}
	all, late := p.tokens.Swap(0), p.lateTokens.Swap(0)
	f := p.factor()
	if float64(late) > maxLateShare*float64(all) {
		f *= paceDecrease
	} else {
		f *= paceIncrease
	}
	p.factorBits.Store(math.Float64bits(min(max(f, minPaceFactor), maxPaceFactor)))
}

// RecordTokenGap records the time between two tokens of a pipeline's stream.
func (t *Tracker) RecordTokenGap(now time.Time, name string, d time.Duration) {
	t.mu.Lock()
	p := t.pipelines[name]
	t.mu.Unlock()
	if p != nil {
		p.pace.observe(now, d)
	}
}
