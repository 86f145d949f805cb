package forwarder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sardineward/sardineward/connector"
)

const (
	// lostSilence is how long a request waits for an upstream that is lost with all others until it is sent
	// elsewhere: longer than the usual time to a first event and between two.
	lostSilence = 300 * time.Millisecond
	// reachCheckInterval is the time between two rounds of checks of whether any upstream is reached,
	// lostCheckInterval that while none is: callers are served by other hosts meanwhile.
	reachCheckInterval = 100 * time.Millisecond
	lostCheckInterval  = 250 * time.Millisecond
	// checkedInTurn is how many upstreams are checked in one round.
	checkedInTurn = 6
)

// RecordDial records the outcome of a dial to an upstream that began at begunAt. connector.Pool calls it.
func (f *Forwarder) RecordDial(address string, purpose connector.Purpose, begunAt time.Duration, err error) {
	now := f.Now()
	if err == nil {
		f.lastContact.Store(int64(now))
		f.Assessor.RecordAccept(begunAt, now)
		before := f.Detector.State(now)
		back := f.Detector.RecordAccept(now)
		switch {
		case back:
			f.Balancer.SetCutOff(false)
			f.Log.Warn().Dur("lasted", now-before.Since).Msg("forwarder: upstreams accept connections again")
		case !before.Returning && f.Detector.State(now).Returning:
			f.Log.Info().Str("address", address).Dur("lasted", now-before.Since).Msg("forwarder: upstreams accept connections again, on probation")
		}
		return
	}
	if purpose == connector.PurposeDeadProbe && !f.Detector.State(now).Suspicious() {
		return // an upstream that is known to be dead
	}
	if isTimeout(err) && f.Assessor.Paused(begunAt, now) > maxTickDelay {
		return // the answer may have arrived and wait to be read
	}
	if !f.Detector.RecordFailure(now, address, !isTimeout(err)) {
		return
	}
	f.Balancer.SetCutOff(true)
	state, reach := f.Detector.State(now), f.Balancer.ReachOfOthers(now)
	withdrawn := f.withdrawStrikes(now - state.StreakAge)
	f.Log.Warn().Err(err).Str("address", address).EmbedObject(state).Int("reachingHosts", reach.Hosts).Int("reachedUpstreams", reach.Upstreams).
		Int("strikesWithdrawn", withdrawn).Msg("forwarder: no upstream accepts connections")
}

// watchReach checks, where there are signs of it, whether this host has lost all upstreams, and whether the
// hosts that serve its requests live. Requests that wait for a lost upstream go elsewhere.
func (f *Forwarder) watchReach(ctx context.Context, now time.Duration) {
	// Dials may end in another order than they are recorded in, so that the last word of RecordDial may be old.
	f.Balancer.SetCutOff(f.Detector.State(now).Lost)
	f.checkReach(ctx, now)
	f.checkDelegations(ctx, now)
	if f.isCutOff() {
		f.moveFromLost(now)
	}
}

// checkReach checks some upstreams while several connections in a row have failed, so that the host learns whether it
// reaches any.
func (f *Forwarder) checkReach(ctx context.Context, now time.Duration) {
	state := f.Detector.State(now)
	if !state.Suspicious() {
		return
	}
	interval := reachCheckInterval
	if state.Lost {
		interval = lostCheckInterval
	}
	if last := time.Duration(f.reachCheckedAt.Load()); now-last < interval {
		return
	}
	f.reachCheckedAt.Store(int64(now))
	addresses := f.Balancer.Addresses()
	if state.Lost && len(addresses) > 0 {
		// The same few would not tell that others are back.
		n := f.reachRound % len(addresses)
		f.reachRound += checkedInTurn
		addresses = slices.Concat(addresses[n:], addresses[:n])[:min(checkedInTurn, len(addresses))]
	} else {
		addresses = f.Detector.Unchecked(addresses, checkedInTurn)
	}
	for _, address := range addresses {
		go func() {
			if err := f.Pool.Check(ctx, address, connector.PurposeWitnessProbe, probeTimeout); err != nil {
				f.Log.Debug().Err(err).Str("address", address).Msg("forwarder: upstream does not accept a connection")
			}
		}()
	}
}

// exchange is a plain request under way that may be repeated.
type exchange struct {
	sentAt time.Duration
	cancel context.CancelCauseFunc
}

// trackExchange tracks a plain request under way, so that it is not waited for once this host is cut off. One
// that may not be repeated is waited for: it may have run.
func (k *call) trackExchange(ctx context.Context, sent time.Duration) (tracked context.Context, done func()) {
	if !k.route.Repeatable() {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{sentAt: sent, cancel: cancel}
	k.mu.Lock()
	if k.exchanges == nil {
		k.exchanges = make(map[*exchange]struct{})
	}
	k.exchanges[e] = struct{}{}
	k.mu.Unlock()
	return ctx, func() {
		k.mu.Lock()
		delete(k.exchanges, e)
		k.mu.Unlock()
		cancel(nil)
	}
}

// moveFromLost cancels requests that wait for a lost upstream, so that another host serves them. Connections that
// were open before a cut may live on, and what comes over them is waited for.
func (f *Forwarder) moveFromLost(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.streams {
		if now-time.Duration(a.lastEvent.Load()) > lostSilence && a.moving.CompareAndSwap(false, true) {
			go f.resume(a)
		}
	}
	if f.Detector.State(now).Silence < lostSilence {
		return
	}
	for e := range f.exchanges {
		if now-e.sentAt > lostSilence {
			e.cancel(errUpstreamSilent)
		}
	}
}

// strikeMemory is how long a strike may be withdrawn: longer than it takes to notice that all upstreams are
// lost.
const strikeMemory = 2 * time.Second

// recentStrikes holds the strikes that a host has added lately. The zero value is ready to use.
type recentStrikes struct {
	mu   sync.Mutex
	list []recentStrike
}

type recentStrike struct {
	at          time.Duration
	fingerprint uint64
}

// add records a strike and forgets old ones.
func (r *recentStrikes) add(now time.Duration, fingerprint uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.list) > 0 && now-r.list[0].at > strikeMemory {
		r.list = r.list[1:]
	}
	r.list = append(r.list, recentStrike{now, fingerprint})
}

// takeSince removes and returns the fingerprints of the strikes since a time.
func (r *recentStrikes) takeSince(since time.Duration) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []uint64
	for _, s := range r.list {
		if s.at >= since {
			out = append(out, s.fingerprint)
		}
	}
	r.list = nil
	return out
}

// withdrawStrikes clears the requests that got a strike since a time, as the upstreams that refused connections
// were not down, but this host was cut off. It returns their number.
func (f *Forwarder) withdrawStrikes(since time.Duration) int {
	list := f.strikes.takeSince(since)
	for _, fingerprint := range list {
		f.Suspects.Clear(time.Now(), fingerprint)
	}
	return len(list)
}
