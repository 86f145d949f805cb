package isolator

import (
	"slices"
	"time"
)

// decisive returns the moments by which a part is isolated. While another part without an answer was in flight at
// several of its crashes, or several upstreams were lost without it, the latest do not count, as reports of other hosts on
// them may be missing.
func (i *Isolator) decisive(now time.Duration, s *State) []time.Duration {
	list := i.evidence(now, s)
	if len(list) < threshold || !i.hasRival(now, s) && !i.lostBeside(now, s, len(list)) {
		return list
	}
	return slices.DeleteFunc(list, func(at time.Duration) bool { return now-at < exchangeTime })
}

// hasRival reports whether another part could account for crashes of a part.
func (i *Isolator) hasRival(now time.Duration, s *State) bool {
	for _, o := range i.records {
		if o != s && !o.IsIsolated() && len(o.Crashes)-len(o.crashesWithout(s)) >= retryThreshold && len(i.evidence(now, o)) >= retryThreshold {
			return true
		}
	}
	return false
}

// evidence returns the moments of the crashes that speak against a part.
func (i *Isolator) evidence(now time.Duration, s *State) []time.Duration {
	if s.AnsweredAt > 0 && now-s.AnsweredAt < answerTTL {
		return nil
	}
	return moments(ofDistinctRequests(i.unexplained(now, s)))
}

// unexplained returns the crashes since the last answer that no other isolated part explains.
func (i *Isolator) unexplained(now time.Duration, s *State) []Crash {
	var out []Crash
	for _, c := range s.Crashes {
		if c.At > s.AnsweredAt && now-c.At <= crashTTL && !i.isExplained(s.Part, &c) {
			out = append(out, c)
		}
	}
	return out
}

// isExplained reports whether a request with another isolated part was in flight at a crash.
func (i *Isolator) isExplained(p Part, c *Crash) bool {
	for _, o := range i.records {
		if o.Part != p && o.IsIsolated() && slices.ContainsFunc(o.Crashes, c.isSame) {
			return true
		}
	}
	return false
}

// weight returns what n moments with a crash count for a part: less than n if more than half of all requests have it,
// as such a part is also at the crashes of others.
func (i *Isolator) weight(s *State, n int) float64 {
	all := i.requests - s.requestsBefore
	without := min(1, 2*float64(all-s.requests+1)/float64(all+1))
	return float64(min(n, unclearThreshold))*without + float64(max(0, n-unclearThreshold))
}

// isolate isolates the parts that explain enough crashes, one after the other: those that explain most, by weight, first.
func (i *Isolator) isolate(now time.Duration) {
	// Without requests of its own a host can't tell which parts most requests have.
	if now-i.Time(i.Started) < settleTime || !i.isUsed {
		return
	}
	i.supersede(now)
	for {
		var best *State
		most, weight := 0, 0.0
		for _, s := range i.records {
			if s.IsIsolated() || len(s.Crashes) < threshold {
				continue
			}
			n := len(i.decisive(now, s))
			if n < threshold || i.isWithheld(now, s, n) {
				continue
			}
			w := i.weight(s, n)
			if best == nil || w > weight || w == weight && s.isBefore(best) {
				best, most, weight = s, n, w
			}
		}
		if best == nil || i.isUnclear(now, best, most) {
			i.update()
			return
		}
		i.isolatePart(now, best)
	}
}

// isWithheld reports whether a part that was in flight at n moments is not isolated, since upstreams were lost at more
// moments without it, and prepares the call of OnWithhold.
func (i *Isolator) isWithheld(now time.Duration, s *State, n int) bool {
	without, isBystander := i.isBystander(now, s, n)
	if isBystander && !s.withheld {
		s.withheld, s.Moments, s.MomentsWithout = true, n, without
		i.withheld = append(i.withheld, s.clone())
	}
	return isBystander
}

// isUnclear reports whether another part, at more crashes than the one that is due or at nearly as many by weight, may be
// the cause: a part that most prompts have is also at crashes for other causes. Parts at the same crashes are decided by
// isBefore.
func (i *Isolator) isUnclear(now time.Duration, s *State, n int) bool {
	if n >= unclearThreshold {
		return false
	}
	for _, o := range i.records {
		if o == s || o.IsIsolated() {
			continue
		}
		if others := len(i.evidence(now, o)); others <= n && i.weight(o, others) < i.weight(s, n-1) {
			continue
		}
		own := len(o.crashesWithout(s))
		same := own == 0 && len(s.crashesWithout(o)) == 0
		if own < len(o.Crashes) && (o.isBefore(s) || !same) {
			return true
		}
	}
	return false
}

// supersede ends the isolation of parts for which another part accounts, as hosts may isolate a part before they
// have heard of all crashes, and isolates that one.
func (i *Isolator) supersede(now time.Duration) {
	for _, s := range i.records {
		if !s.IsIsolated() || len(s.Crashes) == 0 {
			continue
		}
		at := s.IsolatedAt
		s.IsolatedAt = 0
		switch o := i.accounting(now, s); {
		case o == nil:
			s.IsolatedAt = at
		case !o.IsIsolated():
			i.isolatePart(now, o)
		}
	}
}

// accounting returns another part that is isolated, or due to be, and accounts for a part: it was in flight at all
// crashes of that part, and goes before it or crashed enough upstreams without it. It returns nil if there is none.
func (i *Isolator) accounting(now time.Duration, s *State) *State {
	for _, o := range i.records {
		others := o.crashesWithout(s)
		if o == s || len(o.Crashes)-len(others) < len(s.Crashes) || !o.isBefore(s) && i.weight(o, len(moments(others))) < threshold {
			continue
		}
		if o.IsIsolated() || len(i.decisive(now, o)) >= threshold {
			return o
		}
	}
	return nil
}

func (i *Isolator) isolatePart(now time.Duration, s *State) {
	list := i.unexplained(now, s)
	s.Moments, s.MomentsWithout = len(moments(list)), len(moments(i.lossesWithout(s, list)))
	// Once the part is isolated it explains the crashes of those that could have been the cause as well.
	s.Tentative = i.lostBeside(now, s, s.Moments) || (i.hasRival(now, s) || !i.knowsAnswer(list)) && !hasRepeats(list)
	s.IsolatedAt, s.RequestedAt = now, now
	s.Workspace = soleWorkspace(list)
	s.Confirmed, s.Samples = false, 0
}

// hasRepeats reports whether an upstream crashed more than once, which a loss of many does not cause.
func hasRepeats(list []Crash) bool {
	for n, c := range list {
		if slices.ContainsFunc(list[:n], func(o Crash) bool { return o.Upstream == c.Upstream }) {
			return true
		}
	}
	return false
}

// knowsAnswer reports whether any part is known to have been answered since, or shortly before, the first of the crashes,
// which are given in order. If none is, as after a start or a pause, parts that are in use look as crashing ones do.
func (i *Isolator) knowsAnswer(list []Crash) bool {
	for _, n := range i.shared {
		if len(list) == 0 || n.at > list[0].At-answerTTL {
			return true
		}
	}
	return false
}

// update takes further crashes of isolated parts into account. One that was isolated tentatively is certain once a request
// that was let through crashed an upstream. One that was isolated for a workspace is refused for
// all, once a request of another one was in flight at a crash since.
func (i *Isolator) update() {
	for _, s := range i.records {
		if !s.IsIsolated() {
			continue
		}
		if s.SampledAt > s.IsolatedAt && s.lastCrash() > s.SampledAt {
			s.Tentative = false
		}
		if !s.Confirmed && s.SampledAt > s.IsolatedAt && s.lastCrash() > s.SampledAt && len(moments(s.Crashes)) >= confirmedThreshold {
			s.Confirmed = true
		}
		if s.Workspace != 0 && slices.ContainsFunc(s.Crashes, func(c Crash) bool {
			return c.At > s.IsolatedAt && slices.ContainsFunc(c.Workspaces, func(w uint64) bool { return w != s.Workspace })
		}) {
			s.Workspace = 0
		}
	}
}

// verdicts returns the verdicts on isolated parts.
func (i *Isolator) verdicts() map[Part]verdict {
	out := make(map[Part]verdict)
	for p, s := range i.records {
		if s.IsIsolated() {
			out[p] = s.verdict()
		}
	}
	return out
}

// changes returns the parts on which the verdict is another one than before.
func (i *Isolator) changes(before map[Part]verdict) []State {
	var out []State
	for p, s := range i.records {
		if s.verdict() != before[p] {
			out = append(out, s.clone())
		}
	}
	return out
}
