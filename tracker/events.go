package tracker

import (
	"slices"
	"time"
)

// RecordLoad records the load that an upstream reports. It returns whether the upstream's state or
// incarnation changed.
func (t *Tracker) RecordLoad(now time.Time, name string, load Load) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil || load.Incarnation < u.incarnation {
		return false
	}
	changed := u.advanceIncarnation(now, load.Incarnation)
	if load.Leaving && !u.leaving() {
		u.leavingIncarnation = u.incarnation
		changed = true
	}
	others := max(0, float64(load.Running+load.Queued)-u.inFlightAverage.update(now, float64(u.inFlight)))
	u.othersAverage.update(now, others)
	u.lastLoad, u.loadAt, u.hasLoad = load, now, true
	return changed
}

// advanceIncarnation moves to a newer incarnation. A restart resets the state of the old one.
func (u *upstream) advanceIncarnation(now time.Time, incarnation int64) bool {
	if incarnation <= u.incarnation {
		return false
	}
	known := u.incarnation != 0
	u.incarnation = incarnation
	if !known {
		if u.leavePending {
			u.leavePending = false
			u.leavingIncarnation = incarnation
		}
		return true
	}
	u.state, u.stateSince, u.leavePending, u.probersDown = StateUp, now, false, false
	return true
}

// RecordProbeSuccess records a successful probe, and reports whether the state changed.
func (t *Tracker) RecordProbeSuccess(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil || u.state == StateUp && !u.probersDown {
		return false
	}
	u.state, u.stateSince, u.probersDown = StateUp, now, false
	return true
}

// RecordProberReport records what an upstream's probers report. When they report it up, it is no
// longer down for this host either, but a suspicion from a failure seen by this host stays.
func (t *Tracker) RecordProberReport(now time.Time, name string, incarnation int64, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil || incarnation < u.incarnation {
		return
	}
	u.advanceIncarnation(now, incarnation)
	if down && !u.probersDown && u.state != StateDown {
		u.downAt = now
	}
	u.probersDown = down
	if !down && u.state == StateDown {
		u.state = StateUp
	}
}

// SuspectedLocally lists the upstreams that are down or suspect for this host but not for their
// probers.
func (t *Tracker) SuspectedLocally() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, u := range t.upstreams {
		if !u.probersDown && (u.state == StateDown || u.state == StateSuspect) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// RecordFailure records a failure, and reports whether the state changed. down is set if a
// connection was refused or broke, so that the upstream certainly did not answer; else the upstream
// only becomes suspect.
func (t *Tracker) RecordFailure(now time.Time, name string, down bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return false
	}
	state := StateSuspect
	if down {
		state = StateDown
	}
	if u.state == StateDown && state == StateSuspect {
		return false
	}
	changed := u.state != state
	u.state, u.stateSince = state, now
	if down && changed {
		u.downAt = now
	}
	return changed
}

// WentDown lists the upstreams that last went down at most within before or after at.
func (t *Tracker) WentDown(at time.Time, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, u := range t.upstreams {
		if !u.downAt.IsZero() && u.downAt.Sub(at).Abs() <= within {
			out = append(out, name)
		}
	}
	return out
}

// SameDataCentre lists up to n upstreams, drawn at random, that are in the same data centre as the
// named one and not down.
func (t *Tracker) SameDataCentre(name string, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return nil
	}
	var out []string
	for other, o := range t.upstreams {
		if other != name && o.cfg.DataCentre == u.cfg.DataCentre && o.state != StateDown {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	t.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// MarkLeaving marks an upstream as leaving in an incarnation; 0 means the current one. A leaving
// upstream gets no work, whatever else is reported, until it has a newer incarnation. The result is
// whether it became leaving.
func (t *Tracker) MarkLeaving(name string, incarnation int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return false
	}
	was := u.leaving()
	switch {
	case incarnation != 0:
		u.leavingIncarnation = max(u.leavingIncarnation, incarnation)
	case u.incarnation != 0:
		u.leavingIncarnation = u.incarnation
	default:
		u.leavePending = true
	}
	return !was && u.leaving()
}

// Incarnation returns the last known incarnation of the upstream; 0 if none is known.
func (t *Tracker) Incarnation(name string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[name]; u != nil {
		return u.incarnation
	}
	return 0
}

// StateOf returns the state of an upstream; an unknown upstream is down.
func (t *Tracker) StateOf(now time.Time, name string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[name]; u != nil {
		return u.stateAt(now)
	}
	return StateDown
}

// StrikeInFlight returns the fingerprints of the requests that this host has in flight on a crashed
// upstream, and marks these requests as struck. Only the first crash on a route counts against a
// request. A rack or a data centre can fail with all upstreams of a route, and if each of them
// counted, innocent requests would be refused for good. A request that causes crashes does so again
// on its next route, and an innocent one does not.
func (t *Tracker) StrikeInFlight(name string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return nil
	}
	var out []uint64
	for id, f := range u.requests {
		if f.hasStrike {
			continue
		}
		t.markStruck(id)
		if !slices.Contains(out, f.fingerprint) {
			out = append(out, f.fingerprint)
		}
	}
	slices.Sort(out)
	return out
}

// markStruck marks a request as struck on all upstreams of its route.
func (t *Tracker) markStruck(requestID string) {
	for _, u := range t.upstreams {
		if f, ok := u.requests[requestID]; ok {
			f.hasStrike = true
			u.requests[requestID] = f
		}
	}
}

// AcquireInstance draws two of the named instances that have room, counts a request as in flight on
// the less loaded one and returns its name. It returns "" if none has room. It is for plain
// services, which run each call on one instance and have no layers.
func (t *Tracker) AcquireInstance(now time.Time, names []string, r Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var available []*upstream
	for _, n := range names {
		u := t.upstreams[n]
		if u != nil && u.stateAt(now) == StateUp && !slices.Contains(r.Avoid, n) && u.inFlight < u.concurrency() {
			available = append(available, u)
		}
	}
	if len(available) == 0 {
		return ""
	}
	a, b := available[t.Rand.IntN(len(available))], available[t.Rand.IntN(len(available))]
	hosts := 1.0
	if t.HostCount != nil {
		hosts = float64(t.HostCount())
	}
	if b.sequences(now, hosts) < a.sequences(now, hosts) {
		a = b
	}
	t.addInFlight(now, a, r)
	return a.cfg.Name
}

// concurrency returns how many requests this host may have in flight on an instance at once.
func (u *upstream) concurrency() int {
	const defaultConcurrency = 64
	if u.cfg.Concurrency > 0 {
		return u.cfg.Concurrency
	}
	return defaultConcurrency
}
