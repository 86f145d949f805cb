// Package isolator finds parts of prompts that crash upstreams, so that requests with such a part are
// refused before they reach one. It only decides: hosts tell it which requests were in flight at a
// crash and which were answered, and exchange what each knows, see States and Merge.
//
// A part is isolated when requests with it were in flight at several crashes, at different moments,
// that no other isolated part explains, and none with it was answered meanwhile or shortly before.
// Crashes of many upstreams at once, such as those of a rack, are one moment.
package isolator

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// threshold is the number of moments with a crash at which a part is isolated. A request that was in
	// flight at a crash is not sent again from retryThreshold on.
	threshold      = 3
	retryThreshold = 2
	// unclearThreshold is the same as threshold where another part may be the cause. Further moments count in full also
	// for a part that most requests have.
	unclearThreshold = 8
	// confirmedThreshold is the number of moments from which isolation is certain, the last one due to a request that
	// was let through.
	confirmedThreshold = 5
	// moment is the time within which crashes count once.
	moment = 50 * time.Millisecond
	// sameCrash is the time within which crashes of one upstream are the same one, as several hosts
	// report it. A restart takes longer.
	sameCrash = time.Second
	// longestLoss is longer than many upstreams take to end one after the other for a common cause, longestPause longer than
	// the time between two crashes of a part that is in use, maxCrashingParts the number of parts that may crash upstreams at
	// the same time.
	longestLoss      = 10 * time.Second
	longestPause     = 8 * time.Second
	maxCrashingParts = 3
	// exchangeTime is the time in which hosts tell each other of a crash.
	exchangeTime = 500 * time.Millisecond
	// crashTTL is how long a crash counts.
	crashTTL = 10 * time.Minute
	// answerTTL is how long an answer shows that a part is sound: longer than an outage in which nothing is
	// answered and than a prompt in use is away.
	answerTTL = 30 * time.Second
	// settleTime is how long after its start a host isolates nothing by itself: until then nothing may have
	// been answered, and all parts in use look alike.
	settleTime = 2 * time.Second
	// sampleInterval is the time until one request with an isolated part is let through, confirmedInterval
	// that for a confirmed part; it doubles each time.
	sampleInterval    = time.Minute
	confirmedInterval = 10 * time.Minute
	maxDoublings      = 8
	// tentativeInterval is the time until the first request with a part that was isolated tentatively is let through; it
	// doubles each time, up to sampleInterval.
	tentativeInterval = 2 * time.Second
	// idleTTL is how long a part stays isolated without a request for it.
	idleTTL = 30 * time.Minute
	// maxCrashes bounds the crashes kept of a part, the newest, and sharedCrashes those that are sent to other
	// hosts; maxRecords bounds the parts with crashes, those with most are kept, and maxAnswered those whose last answer is known.
	maxCrashes    = 32
	sharedCrashes = 8
	maxRecords    = 256
	// maxLosses bounds the lost upstreams kept, the newest.
	maxLosses = 1024
	// sharedLossAge is for how long a loss is sent to other hosts.
	sharedLossAge = 3 * time.Second
	maxAnswered   = 4096
	// clockOffset is added to the clock of the host, which may have started just now, so that times before
	// that are above 0.
	clockOffset = 10000 * time.Hour
)

// Crash is the crash of an upstream at which requests with a part were in flight.
type Crash struct {
	Upstream string
	At       time.Duration
	// Workspaces holds the hashes of their workspaces, Requests those of the requests, two of each at most.
	Workspaces, Requests []uint64
}

// State is what is known of a part. Its times are those of Isolator.Time; 0 is never.
type State struct {
	Part Part
	// Depth is the highest place of the part in a prompt; the first has place 0.
	Depth   int
	Crashes []Crash
	// AnsweredAt is when a request with the part was last answered.
	AnsweredAt time.Duration
	// IsolatedAt is when the part was isolated; it counts only if AnsweredAt is answerTTL or more before it. Workspace is the hash of
	// the only workspace whose requests are refused; 0 means all of them.
	IsolatedAt time.Duration
	Workspace  uint64
	// Confirmed is set once an isolated part was in flight at confirmedThreshold moments, one of them after a
	// request was let through.
	Confirmed bool
	// Tentative is set if the part was isolated while others could have been the cause, or with nothing known of answers. A
	// request with it is let through soon, and it is not to be kept beyond the hosts that know of it.
	Tentative bool
	// SampledAt is when a request was last let through, Samples how often.
	SampledAt time.Duration
	Samples   int
	// RequestedAt is when a request with the isolated part last came.
	RequestedAt time.Duration
	// Moments and MomentsWithout are the numbers of moments, as this host isolated the part or decided not to, at which
	// upstreams were lost with it in flight and without; 0 where another host isolated it.
	Moments, MomentsWithout int

	// requests counts requests with the part that came to this host since its first crash, requestsBefore those with any
	// part until then.
	requests, requestsBefore int
	// withheld is set once it was not isolated since upstreams were lost without it.
	withheld bool
}

// IsIsolated reports whether requests with the part are refused. An answer ends that, also one shortly before of which the
// host that isolated the part did not know.
func (s *State) IsIsolated() bool {
	return s.IsolatedAt > 0 && (s.AnsweredAt == 0 || s.IsolatedAt-s.AnsweredAt >= answerTTL)
}

// Refuses reports whether requests of a workspace with the part are refused.
func (s *State) Refuses(workspace uint64) bool {
	return s.IsIsolated() && (s.Workspace == 0 || s.Workspace == workspace)
}

// lastCrash returns the time of the last crash; 0 if there is none.
func (s *State) lastCrash() time.Duration {
	if len(s.Crashes) == 0 {
		return 0
	}
	return s.Crashes[len(s.Crashes)-1].At
}

// SampleDue returns when the next request may be let through.
func (s *State) SampleDue() time.Duration {
	wait := sampleInterval
	switch {
	case s.Confirmed:
		wait = confirmedInterval << min(s.Samples, maxDoublings)
	case s.Tentative:
		wait = min(sampleInterval, tentativeInterval<<min(s.Samples, maxDoublings))
	}
	return max(s.lastCrash(), s.SampledAt, s.IsolatedAt) + wait
}

// Isolator decides which parts of prompts are isolated. Exported fields are set before use. It is safe
// for concurrent use.
type Isolator struct {
	// Started is when this host was started, by its clock.
	Started time.Duration
	// Rank returns the number of hosts that let single requests through before this one does: each further one does so
	// exchangeTime later, unless it has heard of one. nil means none.
	Rank func() int
	// OnIsolate and OnRelease are called after a part was isolated or released, here or, with learned set, by
	// another host; nil means no call.
	OnIsolate, OnRelease func(s State, learned bool)
	// OnWithhold is called once for a part that would be isolated if upstreams were not lost without it too; nil means no call.
	OnWithhold func(s State)

	mu      sync.Mutex
	records map[Part]*State
	// losses holds the upstreams that were lost, with or without a request in flight, in order.
	losses []Crash
	// withheld holds the parts for which OnWithhold is due.
	withheld []State
	// requests counts requests with any part.
	requests int
	// isUsed is set once a request with a part came to this host.
	isUsed bool
	// answered holds the last answers of parts without crashes.
	answered map[Part]time.Duration
	// shared holds the answers that are sent to other hosts.
	shared map[Part]sharedAnswer
}

// Verdict is the decision on a request.
type Verdict struct {
	// Refused is set if the request has an isolated part, or one that crashed upstreams while the request
	// itself was in flight.
	Refused bool
	Part    Part
	// Wait is the time after which a request with the part may be let through.
	Wait time.Duration
}

// Time returns the time of the Isolator at a time of the host's clock, which all methods take.
func (*Isolator) Time(now time.Duration) time.Duration { return now + clockOffset }

// Check decides on a request of a workspace before it is sent. again is set if it was sent before and
// an upstream failed it.
func (i *Isolator) Check(now time.Duration, parts []Part, workspace uint64, again bool) Verdict {
	now = i.Time(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	i.isUsed = true
	i.requests++
	for _, p := range parts {
		if s := i.records[p]; s != nil {
			s.requests++
		}
	}
	for _, p := range parts {
		s := i.records[p]
		if s == nil {
			continue
		}
		if s.Refuses(workspace) {
			s.RequestedAt = now
			if !again && now >= s.SampleDue()+i.sampleDelay() {
				s.SampledAt = now
				s.Samples++
				continue
			}
			return Verdict{Refused: true, Part: p, Wait: max(0, s.SampleDue()-now)}
		}
		if again && i.isSuspect(now, s) {
			return Verdict{Refused: true, Part: p, Wait: tentativeInterval}
		}
	}
	return Verdict{}
}

// sampleDelay returns how long this host waits for others to let a request through.
func (i *Isolator) sampleDelay() time.Duration {
	if i.Rank == nil {
		return 0
	}
	return time.Duration(i.Rank()) * exchangeTime
}

// isSuspect reports whether a request that an upstream failed is not sent again for a part of its prompt.
func (i *Isolator) isSuspect(now time.Duration, s *State) bool {
	n := len(i.evidence(now, s))
	return n >= retryThreshold && !i.lostBeside(now, s, n)
}

// Refuses reports whether requests of a workspace with any of the parts are refused. It counts no request and lets none
// through.
func (i *Isolator) Refuses(parts []Part, workspace uint64) bool {
	return i.refuses(parts, workspace, func(*State) bool { return true })
}

// RefusesConfirmed is Refuses for parts whose isolation is certain.
func (i *Isolator) RefusesConfirmed(parts []Part, workspace uint64) bool {
	return i.refuses(parts, workspace, func(s *State) bool { return s.Confirmed })
}

// refuses reports whether requests of a workspace with any of the parts for which f returns true are refused.
func (i *Isolator) refuses(parts []Part, workspace uint64, f func(s *State) bool) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(parts, func(p Part) bool {
		s := i.records[p]
		return s != nil && s.Refuses(workspace) && f(s)
	})
}

// HasUnproven reports whether a request has a part of which no answer is known.
func (i *Isolator) HasUnproven(now time.Duration, parts []Part) bool {
	now = i.Time(now)
	i.mu.Lock()
	defer i.mu.Unlock()
	return slices.ContainsFunc(parts, func(p Part) bool {
		at := i.answered[p]
		if s := i.records[p]; s != nil {
			at = s.AnsweredAt
		}
		return at == 0 || now-at >= answerTTL
	})
}

// Explains reports whether a request with an isolated part was in flight when an upstream crashed.
func (i *Isolator) Explains(now time.Duration, upstream string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.isExplained("", &Crash{Upstream: upstream, At: i.Time(now)})
}

// RecordCrash records that an upstream crashed with a request in flight that is no repeat of another one.
func (i *Isolator) RecordCrash(now time.Duration, parts []Part, workspace uint64, upstream string) {
	i.RecordCrashOf(now, parts, workspace, upstream, nil)
}

// RecordCrashOf is RecordCrash for a request with a hash, of which there may be repeats.
func (i *Isolator) RecordCrashOf(now time.Duration, parts []Part, workspace uint64, upstream string, requests []uint64) {
	now = i.Time(now)
	i.mu.Lock()
	i.isUsed = true
	for depth, p := range parts {
		s := i.record(p)
		s.Depth = max(s.Depth, depth)
		s.addCrash(Crash{Upstream: upstream, At: now, Workspaces: []uint64{workspace}, Requests: requests})
	}
	i.addLoss(Crash{Upstream: upstream, At: now})
	was := i.verdicts()
	i.isolate(now)
	changed := i.changes(was)
	withheld := i.takeWithheld()
	i.mu.Unlock()
	i.report(changed, false)
	i.reportWithheld(withheld)
}

// RecordLoss records that an upstream was lost, whether or not a request was in flight there.
func (i *Isolator) RecordLoss(now time.Duration, upstream string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.addLoss(Crash{Upstream: upstream, At: i.Time(now)})
}

// RecordAnswer records that a request was answered, which shows that its parts crash nothing.
func (i *Isolator) RecordAnswer(now time.Duration, parts []Part) {
	now = i.Time(now)
	i.mu.Lock()
	var changed []State
	for _, p := range parts {
		changed = append(changed, i.recordAnswer(now, Answer{Part: p, At: now})...)
	}
	i.mu.Unlock()
	i.report(changed, false)
}

// Release ends the isolation of a part by hand. It returns false if it is not isolated.
func (i *Isolator) Release(now time.Duration, p Part) bool {
	now = i.Time(now)
	i.mu.Lock()
	var changed []State
	if s := i.records[p]; s != nil {
		changed = s.answer(now)
	}
	i.mu.Unlock()
	i.report(changed, false)
	return len(changed) > 0
}

// Isolated returns the isolated parts, those isolated first before the others.
func (i *Isolator) Isolated() []State {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []State
	for _, s := range i.records {
		if s.IsIsolated() {
			out = append(out, s.clone())
		}
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(cmp.Compare(a.IsolatedAt, b.IsolatedAt), cmp.Compare(a.Part, b.Part))
	})
	return out
}

// States returns what other hosts are to know, at most limit parts: those that are isolated or were
// released, then those with the most crashes.
func (i *Isolator) States(limit int) []State {
	i.mu.Lock()
	defer i.mu.Unlock()
	out := make([]State, 0, len(i.records))
	for _, s := range i.records {
		one := s.clone()
		one.Crashes = one.Crashes[max(0, len(one.Crashes)-sharedCrashes):]
		out = append(out, one)
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(compareTrue(a.IsIsolated(), b.IsIsolated()), compareTrue(a.IsolatedAt > 0, b.IsolatedAt > 0),
			cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(b.lastCrash(), a.lastCrash()), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(limit, len(out))]
}

// Merge adds what another host knows.
func (i *Isolator) Merge(now time.Duration, list []State) {
	now = i.Time(now)
	i.mu.Lock()
	was := i.verdicts()
	var refuted []Part
	for n := range list {
		s := i.record(list[n].Part)
		isNews := list[n].IsIsolated() && !list[n].Tentative && list[n].IsolatedAt > s.IsolatedAt
		s.merge(&list[n])
		if isNews && !s.IsIsolated() {
			refuted = append(refuted, s.Part)
		}
		for _, c := range list[n].Crashes {
			i.addLoss(Crash{Upstream: c.Upstream, At: c.At})
		}
	}
	merged := i.verdicts()
	i.isolate(now)
	var learned, decided []State
	for _, s := range i.changes(was) {
		// What changes for a part that is isolated already is stored by the host that recorded the crash or the answer.
		if s.verdict() == merged[s.Part] || was[s.Part].isolated {
			learned = append(learned, s)
		} else {
			decided = append(decided, s)
		}
	}
	for _, p := range refuted {
		// Others have isolated it without knowing of an answer that this host knows.
		if s := i.records[p]; s != nil && !s.IsIsolated() && was[p] == (verdict{}) {
			decided = append(decided, s.clone())
		}
	}
	withheld := i.takeWithheld()
	i.mu.Unlock()
	i.report(learned, true)
	i.report(decided, false)
	i.reportWithheld(withheld)
}

// Sweep isolates the parts that are due, and forgets crashes, answers and isolated parts that no longer count.
func (i *Isolator) Sweep(now time.Duration) {
	now = i.Time(now)
	i.mu.Lock()
	was := i.verdicts()
	i.isolate(now)
	changed := i.changes(was)
	i.sweep(now)
	withheld := i.takeWithheld()
	i.mu.Unlock()
	i.report(changed, false)
	i.reportWithheld(withheld)
}

func (i *Isolator) sweep(now time.Duration) {
	for p, s := range i.records {
		s.Crashes = slices.DeleteFunc(s.Crashes, func(c Crash) bool { return now-c.At > crashTTL })
		inUse := s.IsIsolated() && now-max(s.RequestedAt, s.IsolatedAt, s.lastCrash()) <= idleTTL
		// Hosts that have not heard of a release would isolate the part again.
		released := !s.IsIsolated() && s.IsolatedAt > 0 && now-s.AnsweredAt <= crashTTL
		if inUse || released || !s.IsIsolated() && s.lastCrash() > s.AnsweredAt {
			continue
		}
		i.forget(p)
	}
	i.losses = slices.DeleteFunc(i.losses, func(c Crash) bool { return now-c.At > crashTTL })
	for p, at := range i.answered {
		if now-at > answerTTL {
			delete(i.answered, p)
		}
	}
	for p, n := range i.shared {
		if now-n.since > answerTTL {
			delete(i.shared, p)
		}
	}
}

// record returns the state of a part, which is added if it is missing.
func (i *Isolator) record(p Part) *State {
	if s := i.records[p]; s != nil {
		return s
	}
	if i.records == nil {
		i.records = make(map[Part]*State)
	}
	if len(i.records) >= maxRecords {
		i.forget(least(i.records, func(a, b *State) int {
			return cmp.Or(-compareTrue(a.IsIsolated(), b.IsIsolated()), cmp.Compare(len(a.Crashes), len(b.Crashes)), cmp.Compare(a.lastCrash(), b.lastCrash()))
		}))
	}
	s := &State{Part: p, AnsweredAt: i.answered[p], requestsBefore: i.requests}
	delete(i.answered, p)
	i.records[p] = s
	return s
}

// forget deletes the state of a part, but not when it was last answered.
func (i *Isolator) forget(p Part) {
	if at := i.records[p].AnsweredAt; at > 0 {
		i.keepAnswer(p, at)
	}
	delete(i.records, p)
}

// keepAnswer records when a part without state was last answered.
func (i *Isolator) keepAnswer(p Part, at time.Duration) {
	if i.answered == nil {
		i.answered = make(map[Part]time.Duration)
	}
	if _, ok := i.answered[p]; !ok && len(i.answered) >= maxAnswered {
		delete(i.answered, least(i.answered, cmp.Compare[time.Duration]))
	}
	i.answered[p] = at
}

// report calls OnIsolate and OnRelease, without the lock.
func (i *Isolator) report(changed []State, learned bool) {
	for _, s := range changed {
		f := i.OnRelease
		if s.IsIsolated() {
			f = i.OnIsolate
		}
		if f != nil {
			f(s, learned)
		}
	}
}

// takeWithheld returns the parts for which OnWithhold is due.
func (i *Isolator) takeWithheld() []State {
	out := i.withheld
	i.withheld = nil
	return out
}

// reportWithheld calls OnWithhold, without the lock.
func (i *Isolator) reportWithheld(list []State) {
	for _, s := range list {
		if i.OnWithhold != nil {
			i.OnWithhold(s)
		}
	}
}
