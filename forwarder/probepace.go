package forwarder

import (
	"sync"
	"time"
)

const (
	// maxSilentDoublings and maxSlowDoublings bound how often the time between two checks of one
	// upstream doubles while it accepts connections and delivers no event.
	maxSilentDoublings = 1
	maxSlowDoublings   = 2
	// probeStateMemory is how long the last check of an upstream is remembered.
	probeStateMemory = 5 * time.Second
)

// probePacer decides when a check may begin: one of each name at a time, and with a pause after it.
type probePacer struct {
	mu     sync.Mutex
	states map[string]*probeState
}

// probeState is the last check of one name.
type probeState struct {
	running bool
	// endedAt is when it ended.
	endedAt time.Duration
	// accepted counts the checks in a row that were accepted, with no event after any of them.
	accepted int
}

// begin reports whether a check may begin now, interval after the last one ended. Where the upstream
// accepted the last checks and has delivered no event since, the pause doubles up to doublings times.
func (p *probePacer) begin(now time.Duration, name string, interval, lastEventAt time.Duration, doublings int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states == nil {
		p.states = make(map[string]*probeState)
	}
	s := p.states[name]
	if s == nil {
		p.states[name] = &probeState{running: true}
		return true
	}
	if lastEventAt > s.endedAt {
		s.accepted = 0
	}
	if s.running || now-s.endedAt < interval<<min(doublings, max(0, s.accepted-1)) {
		return false
	}
	s.running = true
	return true
}

// end records that a check ended, and whether the upstream accepted it.
func (p *probePacer) end(now time.Duration, name string, accepted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[name]
	if s == nil {
		return
	}
	s.running, s.endedAt = false, now
	if accepted {
		s.accepted++
	} else {
		s.accepted = 0
	}
}

// expire forgets checks that ended long ago.
func (p *probePacer) expire(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, s := range p.states {
		if !s.running && now-s.endedAt > probeStateMemory {
			delete(p.states, name)
		}
	}
}
