package tracker

import (
	"slices"
	"time"
)

// Report takes in an upstream's load. It reports whether the upstream's state
// or incarnation changed.
func (t *Tracker) Report(now time.Time, name string, load Load) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil || load.Incarnation < u.incarnation {
		return false
	}
	changed := u.renew(now, load.Incarnation)
	if load.Leaving && !u.leaving() {
		u.leavingAt = u.incarnation
		changed = true
	}
	seen := max(0, float64(load.Running+load.Queued)-u.ownSlow.at(now, float64(u.own)))
	u.othersSlow.at(now, seen)
	u.load, u.loadAt, u.reported = load, now, true
	return changed
}

// renew moves to a newer incarnation: a restart forgets what the old one was.
func (u *upstream) renew(now time.Time, incarnation int64) bool {
	if incarnation <= u.incarnation {
		return false
	}
	known := u.incarnation != 0
	u.incarnation = incarnation
	if !known {
		if u.drained {
			u.drained = false
			u.leavingAt = incarnation
		}
		return true
	}
	u.state, u.since, u.drained, u.heardDown = StateUp, now, false, false
	return true
}

// Good takes in a good probe: the upstream answers.
func (t *Tracker) Good(now time.Time, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil || u.state == StateUp && !u.heardDown {
		return false
	}
	u.state, u.since, u.heardDown = StateUp, now, false
	return true
}

// Heard takes in what an upstream's probers say of it. That it is up again
// counts for this host too, unless it failed here since.
func (t *Tracker) Heard(now time.Time, name string, incarnation int64, down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil || incarnation < u.incarnation {
		return
	}
	u.renew(now, incarnation)
	if down && !u.heardDown && u.state != StateDown {
		u.downAt = now
	}
	u.heardDown = down
	if !down && u.state == StateDown {
		u.state = StateUp
	}
}

// Doubtful lists the upstreams that this host alone holds for down or suspect.
func (t *Tracker) Doubtful() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, u := range t.ups {
		if !u.heardDown && (u.state == StateDown || u.state == StateSuspect) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// Bad takes in a failure: down is set when a connection was refused or broke,
// so that the upstream surely did not answer; else it is only suspect.
func (t *Tracker) Bad(now time.Time, name string, down bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil {
		return false
	}
	want := StateSuspect
	if down {
		want = StateDown
	}
	if u.state == StateDown && want == StateSuspect {
		return false
	}
	changed := u.state != want
	u.state, u.since = want, now
	if down && changed {
		u.downAt = now
	}
	return changed
}

// WentDown lists the upstreams that went down at about a time.
func (t *Tracker) WentDown(at time.Time, within time.Duration) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for name, u := range t.ups {
		if !u.downAt.IsZero() && u.downAt.Sub(at).Abs() <= within {
			out = append(out, name)
		}
	}
	return out
}

// Beside lists up to n upstreams that stand in the same data centre as one,
// drawn at random.
func (t *Tracker) Beside(name string, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil {
		return nil
	}
	var out []string
	for other, o := range t.ups {
		if other != name && o.cfg.DataCentre == u.cfg.DataCentre && o.state != StateDown {
			out = append(out, other)
		}
	}
	slices.Sort(out)
	t.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// Leave marks an upstream as leaving in an incarnation; 0 means the one known
// now. Leaving wins over everything until a newer incarnation.
func (t *Tracker) Leave(name string, incarnation int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil {
		return false
	}
	was := u.leaving()
	switch {
	case incarnation != 0:
		u.leavingAt = max(u.leavingAt, incarnation)
	case u.incarnation != 0:
		u.leavingAt = u.incarnation
	default:
		u.drained = true
	}
	return !was && u.leaving()
}

// Incarnation is the upstream's last known one; 0 when it is not known.
func (t *Tracker) Incarnation(name string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.ups[name]; u != nil {
		return u.incarnation
	}
	return 0
}

// StateOf returns an upstream's state; unknown upstreams are down.
func (t *Tracker) StateOf(now time.Time, name string) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.ups[name]; u != nil {
		return u.stateAt(now)
	}
	return StateDown
}

// Struck returns the fingerprints that a crash of an upstream is held against:
// those this host has in flight there. A rack or a data centre was lost, and
// all upstreams of a route with it; each of them counted as a crash, and
// requests that had done nothing were refused for good. So only the first crash
// on a route is held against its request: what crashes upstreams does so again
// on the next route, and what was merely hit does not.
func (t *Tracker) Struck(name string) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil {
		return nil
	}
	var out []uint64
	for id, f := range u.requests {
		if f.struck {
			continue
		}
		t.strike(id)
		if !slices.Contains(out, f.fingerprint) {
			out = append(out, f.fingerprint)
		}
	}
	slices.Sort(out)
	return out
}

// strike marks a request on all upstreams of its route.
func (t *Tracker) strike(requestID string) {
	for _, u := range t.ups {
		if f, ok := u.requests[requestID]; ok {
			f.struck = true
			u.requests[requestID] = f
		}
	}
}

// AcquireOne counts a request of a plain service in flight on the least
// utilised of two drawn instances, and returns its name; empty means none has
// room.
func (t *Tracker) AcquireOne(now time.Time, names []string, r Request) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var open []*upstream
	for _, n := range names {
		u := t.ups[n]
		if u != nil && u.stateAt(now) == StateUp && !slices.Contains(r.Avoid, n) && u.own < u.concurrency() {
			open = append(open, u)
		}
	}
	if len(open) == 0 {
		return ""
	}
	a, b := open[t.Rand.IntN(len(open))], open[t.Rand.IntN(len(open))]
	sharers := 1.0
	if t.Sharers != nil {
		sharers = float64(t.Sharers())
	}
	if b.sequences(now, sharers) < a.sequences(now, sharers) {
		a = b
	}
	t.begin(now, a, r)
	return a.cfg.Name
}

func (u *upstream) concurrency() int {
	const unset = 64
	if u.cfg.Concurrency > 0 {
		return u.cfg.Concurrency
	}
	return unset
}
