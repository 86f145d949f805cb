package forwarder

import (
	"sync"
	"time"
)

const (
	// usualChecks is how many checks of a silent upstream are made at the usual pace. Then the pause
	// doubles, up to maxDoublings times, while the upstream accepts them and delivers no event.
	usualChecks  = 4
	maxDoublings = 3
	// slowStartPause is the least time between two checks of an upstream for slow first events after
	// it has accepted one: a stage lost meanwhile shows in the first hop's stalled requests sooner.
	slowStartPause = time.Second
	// minChecks is how many checks a host may make at once where it uses no more upstreams; else one
	// of each. checksRefill is the time in which that many more may be made.
	minChecks    = 64
	checksRefill = 4 * time.Second
	// probeStateMemory is how long the last check of an upstream is remembered.
	probeStateMemory = 5 * time.Second
)

// probePacer decides when a check may begin: one of each name at a time, and with a pause after it.
type probePacer struct {
	mu     sync.Mutex
	states map[string]*probeState
	// upstreams is the number of upstreams that the host uses. spent is how many checks were made of
	// those that may be made at once, as of spentAt.
	upstreams int
	spent     float64
	spentAt   time.Duration
}

// probeSpec says how often one kind of check may be made.
type probeSpec struct {
	// interval is the time between two checks of one name, afterAccepted that after the name has
	// accepted one; 0 means interval.
	interval, afterAccepted time.Duration
	// doubles is set where the pause doubles, up to maxDoublings times, while the name accepts checks
	// and delivers no event.
	doubles bool
	// share is the share of the checks at once that such checks may use; 0 means that they don't count.
	share float64
}

var (
	// silentProbe is a check where streams wait, deadProbe one of an upstream that is out and
	// slowStartProbe one for a slow first event. witnessProbe
	// is a check of another upstream beside one that does not answer, pathProbe one of an upstream that
	// a stream is about to continue over. stallQuery asks a first hop over a kept connection.
	silentProbe    = probeSpec{interval: probeInterval, doubles: true, share: 1}
	deadProbe      = probeSpec{interval: probeInterval, share: 0.5}
	slowStartProbe = probeSpec{interval: slowFirstEvent, afterAccepted: slowStartPause, share: 0.5}
	witnessProbe   = probeSpec{interval: witnessDelay, share: 1}
	pathProbe      = probeSpec{interval: pathProbeInterval, share: 1}
	stallQuery     = probeSpec{interval: stallQueryInterval}
)

// probeState is the last check of one name.
type probeState struct {
	running bool
	// done is closed when it ends.
	done chan struct{}
	// endedAt is when it ended.
	endedAt time.Duration
	// spec is that of the last check, lastAccepted whether it was accepted.
	spec         probeSpec
	lastAccepted bool
	// accepted counts the checks in a row that were accepted, with no event after any of them, of
	// those whose pause doubles.
	accepted int
}

// begin reports whether a check may begin now. lastEventAt is when the upstream last delivered an event.
func (p *probePacer) begin(now time.Duration, name string, lastEventAt time.Duration, spec probeSpec) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.states == nil {
		p.states = make(map[string]*probeState)
	}
	s := p.states[name]
	if s != nil && (s.running || now-s.endedAt < s.pause(lastEventAt, spec)) {
		return false
	}
	if !p.take(now, spec.share) {
		return false
	}
	if s == nil {
		s = new(probeState)
		p.states[name] = s
	}
	s.running, s.spec, s.done = true, spec, make(chan struct{})
	return true
}

// wait waits for a check under way to end, for no longer than timeout, and reports whether the name was
// found not to accept checks, or has not answered by then.
func (p *probePacer) wait(name string, timeout time.Duration) (unanswered bool) {
	p.mu.Lock()
	s := p.states[name]
	if s == nil {
		p.mu.Unlock()
		return false
	}
	done := s.done
	p.mu.Unlock()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.running || !s.lastAccepted
}

// pause returns the time to the next check.
func (s *probeState) pause(lastEventAt time.Duration, spec probeSpec) time.Duration {
	if s.lastAccepted && spec.afterAccepted > 0 {
		return spec.afterAccepted
	}
	if lastEventAt > s.endedAt {
		s.accepted = 0
	}
	if !spec.doubles {
		return spec.interval
	}
	return spec.interval << min(maxDoublings, max(0, s.accepted-usualChecks))
}

// take takes one check from a share of those that may be made at once, and reports whether there was
// one left.
func (p *probePacer) take(now time.Duration, share float64) bool {
	if share == 0 {
		return true
	}
	atOnce := float64(max(minChecks, p.upstreams))
	p.spent = max(0, p.spent-atOnce*float64(now-p.spentAt)/float64(checksRefill))
	p.spentAt = now
	if p.spent+1 > share*atOnce {
		return false
	}
	p.spent++
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
	s.running, s.endedAt, s.lastAccepted = false, now, accepted
	close(s.done)
	if !accepted {
		s.accepted = 0
	} else if s.spec.doubles {
		s.accepted++
	}
}

// expire forgets checks that ended long ago, and sets the number of upstreams.
func (p *probePacer) expire(now time.Duration, upstreams int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreams = upstreams
	for name, s := range p.states {
		if !s.running && now-s.endedAt > probeStateMemory {
			delete(p.states, name)
		}
	}
}
