// Package detector decides from the connections that a host opens whether the host has lost all
// upstreams, as a host that is partitioned from them does. It does no I/O and takes the time as an
// argument; what other hosts reach is decided elsewhere.
package detector

import (
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// minFailures is how many connections in a row must have failed. On a link that loses three packets
	// in ten, half of all connections fail in time; as many failures in a row are rare.
	minFailures = 12
	// minUpstreams is how many upstreams they must have been to, or all where there are fewer.
	minUpstreams = 8
	// minFailuresPerUpstream takes the place of minFailures where there are few upstreams.
	minFailuresPerUpstream = 3
	// minDuration is how long the failures must have lasted: longer than a burst of lost packets. Where connections take
	// long to be accepted, slownessFactor times that is added.
	minDuration    = 150 * time.Millisecond
	slownessFactor = 4
	// minAccepted is how many connections in a row must succeed until the probation begins after which the
	// upstreams count as back: a link that comes and goes each second loses what is sent as it goes.
	minAccepted = 3
	probation   = 1500 * time.Millisecond
	// maxFailuresInProbation is how many connections in a row may fail in the probation, and
	// maxFailuresPerUpstream takes its place where there are few upstreams. Some upstreams may be down.
	maxFailuresInProbation = 5
	maxFailuresPerUpstream = 1
	// streakMemory is how long failures count that no other connection followed.
	streakMemory = 3 * time.Second
)

// Detector records the connections to upstreams. Its exported fields are set before use; it is safe for
// concurrent use.
type Detector struct {
	// Upstreams returns the number of upstreams that this host uses.
	Upstreams func() int
	// Slowness returns the longest time that an upstream took lately to accept a connection; nil means 0.
	Slowness func(now time.Duration) time.Duration

	mu sync.Mutex
	// failed counts the failed connections in a row by address, failures all of them.
	failed   map[string]int
	failures int
	// firstAt and lastAt are when the first and the last of them failed.
	firstAt, lastAt time.Duration
	// refused is set while upstreams or the network have refused each of them, without a timeout.
	refused bool
	// lastEvent is when an upstream last sent something over an open connection.
	lastEvent time.Duration
	// lostAt is when the upstreams were lost; 0 while they are not.
	lostAt time.Duration
	// accepted counts the successful connections in a row, failedInRow those that failed since the last of
	// them.
	accepted, failedInRow int
	// returningAt is when the probation began; 0 outside of it.
	returningAt time.Duration
}

// State is what a Detector knows.
type State struct {
	// Lost is set while no upstream accepts connections from this host, and for a probation after that.
	// Since is when that was found.
	Lost  bool
	Since time.Duration
	// Returning is set in the probation: upstreams accept connections again.
	Returning bool
	// Failures is the number of connections in a row that failed, Upstreams how many upstreams they were
	// to. StreakAge is how long ago the first of them failed.
	Failures, Upstreams int
	StreakAge           time.Duration
	// Refused is set where each of them was refused, rather than left without an answer.
	Refused bool
	// Silence is the time since an upstream last sent something over an open connection.
	Silence time.Duration
}

// Suspicious reports whether other upstreams should be checked: connections to several failed in a row, or to one
// and nothing has come from any upstream since.
func (s State) Suspicious() bool {
	return s.Lost || s.Upstreams > 1 || (s.Upstreams == 1 && s.Silence > s.StreakAge)
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (s State) MarshalZerologObject(e *zerolog.Event) {
	e.Int("failures", s.Failures).Int("upstreams", s.Upstreams).Dur("streak", s.StreakAge).Bool("refused", s.Refused).Dur("silence", s.Silence)
}

// RecordAccept records that an upstream accepted a connection. It reports whether the upstreams count as back
// because of it.
func (d *Detector) RecordAccept(now time.Duration) (back bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.accepted++
	d.failedInRow = 0
	if d.lostAt > 0 && d.returningAt == 0 && d.accepted >= min(minAccepted, d.upstreams()) {
		d.returningAt = now
	}
	if d.lostAt > 0 && (d.returningAt == 0 || now-d.returningAt < probation) {
		return false
	}
	back = d.lostAt > 0
	d.forget()
	d.lostAt = 0
	d.lastEvent = max(d.lastEvent, now)
	return back
}

// RecordFailure records that a connection to an upstream failed, refused or without an answer. It reports
// whether all upstreams count as lost because of it.
func (d *Detector) RecordFailure(now time.Duration, address string, refused bool) (lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostAt == 0 && d.failures > 0 && now-d.lastAt > streakMemory {
		d.forget()
	}
	if d.failures == 0 {
		d.firstAt, d.refused = now, true
		d.failed = make(map[string]int)
	}
	d.accepted = 0
	d.failedInRow++
	if d.failedInRow > min(maxFailuresInProbation, maxFailuresPerUpstream*d.upstreams()) {
		d.returningAt = 0
	}
	d.failures++
	d.failed[address]++
	d.lastAt = now
	d.refused = d.refused && refused
	if d.lostAt > 0 || !d.isStreakLong(now) {
		return false
	}
	d.lostAt = now
	return true
}

// isStreakLong reports whether the failures in a row show that all upstreams are lost. Where an open
// connection still delivers events, only refusals show that: on a poor link connections time out too.
func (d *Detector) isStreakLong(now time.Duration) bool {
	n := d.upstreams()
	if len(d.failed) < min(minUpstreams, n) || d.failures < min(minFailures, minFailuresPerUpstream*n) || now-d.firstAt < d.requiredDuration(now) {
		return false
	}
	return d.refused || d.lastEvent < d.firstAt
}

// requiredDuration returns how long failures in a row must have lasted by now: minDuration, and more where upstreams
// were slow to accept connections, because a full link delays what is sent next as well.
func (d *Detector) requiredDuration(now time.Duration) time.Duration {
	if d.Slowness == nil {
		return minDuration
	}
	return minDuration + slownessFactor*d.Slowness(now)
}

// RecordEvent records that an upstream sent something over an open connection.
func (d *Detector) RecordEvent(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastEvent = max(d.lastEvent, now)
}

// Forget drops the failures in a row. It is called when the host itself was suspended, as connections then
// fail that were only not waited for.
func (d *Detector) Forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostAt == 0 {
		d.forget()
	}
}

// forget drops the failures in a row. d.mu is held.
func (d *Detector) forget() {
	d.failed, d.failures, d.refused, d.accepted, d.failedInRow, d.returningAt = nil, 0, false, 0, 0, 0
}

// State returns what is known now.
func (d *Detector) State(now time.Duration) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lostAt == 0 && d.failures > 0 && now-d.lastAt > streakMemory {
		d.forget()
	}
	out := State{Lost: d.lostAt > 0, Since: d.lostAt, Returning: d.returningAt > 0, Failures: d.failures, Upstreams: len(d.failed), Refused: d.refused, Silence: now - d.lastEvent}
	if d.failures > 0 {
		out.StreakAge = now - d.firstAt
	}
	return out
}

// Unchecked returns the addresses of which the fewest connections are among the failures in a row, at most n,
// in the order given.
func (d *Detector) Unchecked(addresses []string, n int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := slices.Clone(addresses)
	slices.SortStableFunc(out, func(a, b string) int { return d.failed[a] - d.failed[b] })
	return out[:min(n, len(out))]
}

// upstreams returns the number of upstreams, at least 1.
func (d *Detector) upstreams() int {
	if d.Upstreams == nil {
		return 1
	}
	return max(1, d.Upstreams())
}
