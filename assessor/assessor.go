// Package assessor decides whether an unanswered check shows that an upstream or another host is lost, or only that
// this host is late itself: short of processor time, or behind a full link. It does no I/O. Callers pass all times,
// as durations since one fixed instant; they are above 0.
//
// All packets of a host pass the same queues in order. So an upstream is lost if it has not accepted a connection
// although another upstream, the witness, has accepted one that was begun later, and this host has run since for long
// enough to read what had arrived. The same holds for a host and its answers.
package assessor

import (
	"slices"
	"sync"
	"time"
)

const (
	// pauseMemory is how long a pause is kept: longer than any check of another machine takes on a host that runs for
	// a third of the time.
	pauseMemory = 5 * time.Second
	// settleTime is how long the host must have run since a later connection was accepted: several times
	// what it needs to read all that has arrived. After a pause it works off a backlog first.
	settleTime = 20 * time.Millisecond
	// quietTime is the age from which a pause no longer lengthens settleTime, and the most that this grows to.
	// maxQuietPause is the total of pauses within quietTime from which it grows.
	quietTime     = 100 * time.Millisecond
	maxQuietPause = 20 * time.Millisecond
	// acceptMemory is how long an accepted connection or an answer is kept, maxAccepts how many of each are.
	acceptMemory = 2 * time.Second
	maxAccepts   = 64
	// minPause is the shortest pause that is kept. Timers of an idle machine fire a few milliseconds late.
	minPause = 10 * time.Millisecond
)

//go:generate enumer -type Finding -trimprefix Finding -transform title-lower -output finding_gen.go

// Finding is what an unanswered check shows.
type Finding int

// The findings.
const (
	// FindingLost: the upstream does not accept connections, or the host does not answer.
	FindingLost Finding = iota
	// FindingLate: this host has not run for a part of the check, and the answer may wait to be read.
	FindingLate
	// FindingUnwitnessed: no later check was answered, or that was only just now, so the link of this host may be
	// full or down.
	FindingUnwitnessed
)

// Assessor records when this host did not run, and when upstreams and other hosts answered it. The zero value is
// ready to use, and it is safe for concurrent use.
type Assessor struct {
	mu sync.Mutex
	// dueAt is when the next tick is due; 0 before the first.
	dueAt time.Duration
	// pauses holds the recent times in which a tick was overdue, the oldest first.
	pauses []span
	// accepts holds the recent dials that upstreams accepted, each from its begin until it was accepted, the oldest
	// first.
	accepts []span
	// answers holds the recent calls that other hosts answered, each from the call to the answer, the oldest first.
	answers []span
}

// span is the time between two instants.
type span struct{ from, to time.Duration }

// overlap returns how much of s lies between two times.
func (s span) overlap(from, to time.Duration) time.Duration {
	return max(0, min(s.to, to)-max(s.from, from))
}

// RecordTick records that the one task that calls it at an interval ran now, and returns how late it was; 0 at the
// first call.
func (a *Assessor) RecordTick(now, interval time.Duration) (late time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dueAt > 0 {
		late = max(0, now-a.dueAt)
	}
	if late >= minPause {
		a.pauses = append(a.pauses, span{a.dueAt, now})
	}
	for len(a.pauses) > 0 && now-a.pauses[0].to > pauseMemory {
		a.pauses = a.pauses[1:]
	}
	a.dueAt = now + interval
	return late
}

// Paused returns the total time for which ticks were overdue between two times. A tick that is overdue at to counts.
func (a *Assessor) Paused(from, to time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.paused(from, to)
}

// paused is Paused while a.mu is held.
func (a *Assessor) paused(from, to time.Duration) time.Duration {
	var out time.Duration
	for _, p := range a.pauses {
		out += p.overlap(from, to)
	}
	if a.dueAt > 0 && to-a.dueAt >= minPause {
		out += span{a.dueAt, to}.overlap(from, to)
	}
	return out
}

// RecordAccept records that an upstream accepted a connection now whose dial began at begunAt.
func (a *Assessor) RecordAccept(begunAt, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.accepts = remember(a.accepts, span{begunAt, now})
}

// RecordAnswer records that another host answered a call now that was sent at askedAt.
func (a *Assessor) RecordAnswer(askedAt, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = remember(a.answers, span{askedAt, now})
}

// remember appends last to spans and removes those that are too old or too many.
func remember(spans []span, last span) []span {
	spans = append(spans, last)
	for len(spans) > maxAccepts || last.to-spans[0].to > acceptMemory {
		spans = spans[1:]
	}
	return spans
}

// HasWitness reports whether an upstream has accepted a connection whose dial began at begunAt or later.
func (a *Assessor) HasWitness(begunAt time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return hasLater(a.accepts, begunAt)
}

// HasAnswer reports whether another host has answered a call that was sent at askedAt or later, or an upstream has
// accepted a connection whose dial began then.
func (a *Assessor) HasAnswer(askedAt time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return hasLater(a.answers, askedAt) || hasLater(a.accepts, askedAt)
}

func hasLater(spans []span, from time.Duration) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from >= from })
}

// Assess returns what a dial to an upstream shows that began at begunAt and is still not accepted now.
func (a *Assessor) Assess(begunAt, now time.Duration) Finding {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assess(begunAt, now, a.accepts)
}

// AssessHost returns what a call to another host shows that was sent at askedAt and is still not answered now. As this
// host may reach no upstream, the answers of other hosts are witnesses too.
func (a *Assessor) AssessHost(askedAt, now time.Duration) Finding {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.assess(askedAt, now, a.accepts, a.answers)
}

// assess is Assess with the spans of others as witnesses, while a.mu is held.
func (a *Assessor) assess(begunAt, now time.Duration, others ...[]span) Finding {
	paused := a.paused(begunAt, now)
	settle := settleTime
	if a.paused(now-quietTime, now) >= maxQuietPause {
		settle = min(settle+paused, quietTime) // a host that is always late finds lost upstreams later
	}
	for _, spans := range others {
		for _, s := range spans {
			if s.from >= begunAt && now-s.to-a.paused(s.to, now) >= settle {
				return FindingLost
			}
		}
	}
	if paused > 0 {
		return FindingLate
	}
	return FindingUnwitnessed
}

// Slowness returns the longest time that an upstream took to accept a connection within the last acceptMemory; 0 if
// none was accepted.
func (a *Assessor) Slowness(now time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out time.Duration
	for _, c := range a.accepts {
		if now-c.to <= acceptMemory {
			out = max(out, c.to-c.from)
		}
	}
	return out
}
