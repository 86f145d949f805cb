package forwarder

import (
	"context"
	"slices"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

const (
	// watchInterval is the time between two checks for silent upstreams.
	watchInterval = 20 * time.Millisecond
	// probeInterval is the time between two probes of one upstream.
	probeInterval = 120 * time.Millisecond
	// slowFirstEvent is how long a stream waits for its first event before the upstreams of its
	// path are probed, and the time between two of these probes of one upstream. It is twice the
	// usual time to a first event.
	slowFirstEvent = 250 * time.Millisecond
	// deadProbeInterval is the time between two rounds of probes of dead upstreams,
	// deadProbesPerDataCentre the number of upstreams of each data centre in one round.
	deadProbeInterval       = 400 * time.Millisecond
	deadProbesPerDataCentre = 4
	// stalledFirstEvent and stalledNextEvent are how long a stream waits for its first and for
	// a further event before the first upstream of its path is asked for which other upstream it
	// waits: some upstreams accept connections but can't reach each other.
	stalledFirstEvent = 400 * time.Millisecond
	stalledNextEvent  = 200 * time.Millisecond
	// stallQueryInterval is the time between two queries to one upstream for its stalled requests.
	// The answer is some hundred milliseconds old.
	stallQueryInterval = 250 * time.Millisecond
	// stallQueryTimeout bounds one query for stalled requests.
	stallQueryTimeout = 150 * time.Millisecond
	// maxTickDelay is how late a check may run. A later one means that this host itself was
	// suspended or overloaded, and silence says nothing about upstreams.
	maxTickDelay = 40 * time.Millisecond
	// lateLogInterval is the least time between two log lines that report that this host runs late.
	lateLogInterval = time.Second
	// repathTimeout bounds one request to an engine to change a path, see withOwnDelay.
	repathTimeout = 150 * time.Millisecond
	// pathProbeInterval is the age up to which an event or an accepted check shows that an upstream
	// can take over a stream: shorter than the silence after which the first of several upstreams
	// that were lost together is noticed.
	pathProbeInterval = 40 * time.Millisecond
	// pathProbeTimeout is how long a changed path waits for the checks of its upstreams.
	pathProbeTimeout = probeTimeout / 2
)

// Engines controls requests that run on engines.
type Engines interface {
	// Repath orders the first upstream of a path to continue a request over other hops. After an
	// error the path may or may not have changed.
	Repath(ctx context.Context, requestID string, hops []balancer.Hop) error
	// QueryStalls returns the requests for which the upstream u is the first hop and which
	// wait for another upstream.
	QueryStalls(ctx context.Context, u balancer.Hop) ([]Stall, error)
}

// Stall is a request that waits for an upstream of its path.
type Stall struct {
	RequestID string
	// Address is the address of the upstream that it waits for.
	Address string
}

// Watch detects silent upstreams until ctx ends. An upstream that accepts no connection is not used
// until it does, and the streams over it continue on other paths. Otherwise each of them would
// stall until its engine gives up waiting, which takes seconds.
func (f *Forwarder) Watch(ctx context.Context) {
	lastTick := f.Now()
	dueAt := lastTick + watchInterval
	var lastDeadProbe time.Duration
	round := 0
	for sleep(ctx, dueAt-f.Now()) {
		now := f.Now()
		dueAt += max(0, now-dueAt).Truncate(watchInterval) + watchInterval
		late := now-lastTick > watchInterval+maxTickDelay
		lastTick = now
		f.recordTick(now)
		for _, o := range f.Balancer.EndedBackoffs(now) {
			f.Log.Info().EmbedObject(&o).Msg("forwarder: backoff of upstream is over")
		}
		if late {
			f.Detector.Forget()
			continue
		}
		f.watchReach(ctx, now)
		for _, h := range f.Balancer.SilentUpstreams(now) {
			f.probe(ctx, h, connector.PurposeSilentProbe)
		}
		for _, h := range f.slowStartHops(now) {
			f.probe(ctx, h, connector.PurposeSlowStartProbe)
		}
		for _, h := range f.stalledFirstHops(now) {
			f.queryStalls(ctx, h)
		}
		if now-lastDeadProbe < deadProbeInterval {
			continue
		}
		lastDeadProbe = now
		f.probes.expire(now, f.Balancer.SubsetSize(now))
		for _, h := range f.Balancer.DeadChecks(now, round, deadProbesPerDataCentre) {
			f.probe(ctx, h, connector.PurposeDeadProbe)
		}
		round++
	}
}

// recordTick records that a check for silent upstreams begins, and logs when the host runs late.
func (f *Forwarder) recordTick(now time.Duration) {
	delay := f.Assessor.RecordTick(now, watchInterval)
	f.Meter.TickDelay.Observe(delay.Seconds())
	if delay > maxTickDelay && now-f.lateLoggedAt >= lateLogInterval {
		f.lateLoggedAt = now
		f.Log.Warn().Dur("delay", delay).Int64("inFlight", f.InFlight()).Msg("forwarder: this host runs late")
	}
}

// slowStartHops lists the upstreams on the paths of streams whose first event is slow.
func (f *Forwarder) slowStartHops(now time.Duration) []balancer.Hop {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []balancer.Hop
	for a := range f.streams {
		if !a.begun.Load() && now-a.sentAt > slowFirstEvent {
			out = append(out, f.Balancer.SlowStartHops(now, a.lease, a.sentAt, slowFirstEvent)...)
		}
	}
	return out
}

// stalledFirstHops lists the first upstreams of streams that wait too long for an event, each
// once.
func (f *Forwarder) stalledFirstHops(now time.Duration) []balancer.Hop {
	f.mu.Lock()
	defer f.mu.Unlock()
	seen := make(map[string]bool)
	var out []balancer.Hop
	for a := range f.streams {
		maxWait := stalledFirstEvent
		if a.begun.Load() {
			maxWait = stalledNextEvent
		}
		waited := now - time.Duration(a.lastEvent.Load())
		if waited < maxWait || (!a.begun.Load() && waited < f.Balancer.FirstEventLimit(now, a.lease, maxWait)) {
			continue
		}
		if first := a.lease.First; !seen[first.ID] {
			seen[first.ID] = true
			out = append(out, first)
		}
	}
	return out
}

// queryStalls asks an upstream which upstreams its requests wait for, and reroutes the streams over
// those.
func (f *Forwarder) queryStalls(ctx context.Context, h balancer.Hop) {
	name := "stalled " + h.ID
	if !f.probes.begin(f.Now(), name, 0, stallQuery) {
		return
	}
	if !f.Balancer.AllowProbe(f.Now(), h.ID) {
		f.probes.end(f.Now(), name, false)
		return
	}
	go func() {
		defer func() { f.probes.end(f.Now(), name, false) }()
		ctx, cancel := context.WithTimeout(ctx, stallQueryTimeout)
		defer cancel()
		stalls, err := f.Engines.QueryStalls(ctx, h)
		if err != nil {
			f.Log.Debug().Err(err).Str("upstream", h.ID).Msg("forwarder: query for stalled requests failed")
			return
		}
		for _, s := range stalls {
			f.handleStall(ctx, s)
		}
	}()
}

// handleStall reacts to a request that waits for an upstream. On a path within one data centre that
// upstream is unreachable, and all streams over it are rerouted. On a path across data centres the
// link between them may be down, and which upstream is named depends on the side that was asked; so
// only this stream is rerouted, and its wait counts as the latency of the links.
func (f *Forwarder) handleStall(ctx context.Context, s Stall) {
	a := f.findAttempt(s.RequestID)
	id, _ := f.Balancer.IncarnationAt(s.Address)
	if a == nil || id == "" {
		return
	}
	h := balancer.Hop{ID: id, Address: s.Address}
	ctx = context.WithoutCancel(ctx)
	if f.Balancer.CrossesDataCentres(a.lease) {
		now := f.Now()
		f.Balancer.RecordFirstEventDelay(a.lease, now, now-time.Duration(a.lastEvent.Load()))
		go f.reroute(ctx, a, h) // it may wait for a retry
		return
	}
	if !f.Balancer.Eject(f.Now(), id) {
		// It was ejected for another reason, or the stream was not moved then.
		if f.runsOver(a, id) {
			go f.reroute(ctx, a, h)
		}
		return
	}
	streams := f.streamsThrough(id)
	f.Log.Warn().Str("upstream", id).Str("address", s.Address).Int("streams", len(streams)).Msg("forwarder: upstream out of reach of other upstreams")
	for _, a := range streams {
		go f.reroute(ctx, a, h)
	}
}

// findAttempt returns the attempt under way for a request, or nil.
func (f *Forwarder) findAttempt(requestID string) *attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	for a := range f.streams {
		if a.id == requestID {
			return a
		}
	}
	return nil
}

// streamsThrough lists the streams whose path contains an upstream.
func (f *Forwarder) streamsThrough(id string) []*attempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*attempt
	for a := range f.streams {
		for _, hop := range f.Balancer.Path(a.lease) {
			if hop.ID == id {
				out = append(out, a)
			}
		}
	}
	return out
}

// awaitSilence waits while a stream still delivers over an upstream that did not answer a check that began at begunAt.
// It reports true once the stream has been silent for probeTimeout, or at once if it has delivered nothing since
// begunAt, and false once it needs no other path. An upstream may be late to accept connections while its streams go on.
func (f *Forwarder) awaitSilence(ctx context.Context, a *attempt, lost balancer.Hop, begunAt time.Duration) bool {
	if !a.begun.Load() || time.Duration(a.lastEvent.Load()) <= begunAt {
		return true
	}
	for f.Now()-time.Duration(a.lastEvent.Load()) < probeTimeout {
		time.Sleep(probeStep)
		if ctx.Err() != nil || !f.isTracked(a) || !f.Balancer.IsDead(lost.ID) {
			return false
		}
	}
	return f.runsOver(a, lost.ID)
}

// runsOver reports whether the path of a stream contains an upstream.
func (f *Forwarder) runsOver(a *attempt, id string) bool {
	return slices.ContainsFunc(f.Balancer.Path(a.lease), func(h balancer.Hop) bool { return h.ID == id })
}

// leave continues a stream on another path for as long as it is over a lost upstream: one event may still come as it
// waits for a retry, and none after it.
func (f *Forwarder) leave(ctx context.Context, a *attempt, lost balancer.Hop, begunAt time.Duration) {
	for f.awaitSilence(ctx, a, lost, begunAt) && f.isTracked(a) {
		last := a.lastEvent.Load()
		f.reroute(ctx, a, lost)
		if a.lastEvent.Load() == last || !f.runsOver(a, lost.ID) {
			return
		}
		begunAt = 0
	}
}

// reroute continues a stream over a path without its lost upstreams. A stream that lost its first
// upstream is resumed as a new request at once.
func (f *Forwarder) reroute(ctx context.Context, a *attempt, lost balancer.Hop) {
	if a.lease.First.ID == lost.ID {
		f.resume(a)
		return
	}
	if !a.changes.begin(lost) {
		return
	}
	for again := true; again; {
		f.rerouteOnce(ctx, a, lost)
		lost, again = a.changes.end(f.Balancer.Path(a.lease))
	}
}

// rerouteOnce asks the first upstream to change the path: the other upstreams keep the tokens that
// they have processed, and the request is not sent again. The stream is resumed as a new request
// where that would delay it too long or fails.
func (f *Forwarder) rerouteOnce(ctx context.Context, a *attempt, lost balancer.Hop) {
	if f.Balancer.ShouldRestartElsewhere(f.Now(), a.lease, lost.ID) && a.reserveRetry() {
		a.cancel(errUpstreamSilent)
		return
	}
	if hops := f.detour(ctx, a, lost); hops != nil {
		ctx, cancel := f.withOwnDelay(ctx, repathTimeout)
		defer cancel()
		err := f.Engines.Repath(ctx, a.id, hops)
		f.Log.Info().Err(err).Str("requestId", a.id).Str("dead", lost.ID).Str("hops", FormatPath(hops)).Msg("forwarder: path changed")
		if err == nil {
			a.repaths.Add(1)
			return
		}
	}
	f.resume(a)
}

// withOwnDelay returns a context that is canceled after timeout, not counting pauses of this host, plus the time that
// its link delays packets, up to maxProbeTime.
func (f *Forwarder) withOwnDelay(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	begunAt := f.Now()
	go func() {
		for left := timeout; left > 0 && ctx.Err() == nil; {
			select {
			case <-ctx.Done():
			case <-time.After(left):
			}
			now := f.Now()
			left = timeout + min(maxProbeTime, f.Assessor.Slowness(now)) + f.Assessor.Paused(begunAt, now) - (now - begunAt)
		}
		cancel()
	}()
	return ctx, cancel
}

// resume cancels an attempt whose upstreams seem lost, so that the stream is resumed as a new request. One
// that has begun is canceled only once it has the retry for that, and only if it has delivered nothing until then:
// without a retry the caller would lose an answer that may still come.
func (f *Forwarder) resume(a *attempt) {
	defer a.moving.Store(false)
	last := a.lastEvent.Load()
	for wait := resumeRetryInterval; a.begun.Load(); wait = longerWait(wait) {
		if a.lastEvent.Load() != last || !f.isTracked(a) {
			return
		}
		if a.takeResumption() {
			break
		}
		time.Sleep(wait)
	}
	a.cancel(errUpstreamSilent)
}

// detour moves the reservation of a stream to a path without a lost upstream, and returns that path, or
// nil if there is none or the stream should be resumed as a new request. Upstreams are often lost
// together and noticed one after the other, so it avoids those that don't answer a check either while
// there are others.
func (f *Forwarder) detour(ctx context.Context, a *attempt, lost balancer.Hop) []balancer.Hop {
	avoid := []string{lost.ID}
	hops := f.Balancer.Repath(f.Now(), a.lease, avoid...)
	for until := f.Now() + repathTimeout; hops != nil && f.Now() < until; {
		unanswered := f.unanswered(ctx, hops[1:])
		if len(unanswered) == 0 {
			break
		}
		restart := func(id string) bool { return f.Balancer.ShouldRestartElsewhere(f.Now(), a.lease, id) }
		if slices.ContainsFunc(unanswered, restart) && a.reserveRetry() {
			return nil
		}
		avoid = append(avoid, unanswered...)
		next := f.Balancer.Repath(f.Now(), a.lease, avoid...)
		if next == nil {
			// Without another path only the end of the checks tells whether this one is lost too.
			lost := func(id string) bool { return f.probes.wait(id, probeTimeout) && f.Balancer.IsDead(id) }
			if slices.ContainsFunc(unanswered, lost) {
				return nil
			}
			break
		}
		hops = next
	}
	return hops
}

// unanswered returns the upstreams that have not delivered an event just now and don't accept a
// connection either.
func (f *Forwarder) unanswered(ctx context.Context, hops []balancer.Hop) []string {
	var checked, out []string
	for _, h := range hops {
		if f.Now()-f.Balancer.LastEventAt(h.ID) > pathProbeInterval {
			f.probeAt(ctx, h, connector.PurposeNeighbourProbe, pathProbe)
			checked = append(checked, h.ID)
		}
	}
	until := f.Now() + pathProbeTimeout
	for _, id := range checked {
		if f.probes.wait(id, until-f.Now()) {
			out = append(out, id)
		}
	}
	return out
}

func (f *Forwarder) track(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.streams == nil {
		f.streams = make(map[*attempt]struct{})
	}
	f.streams[a] = struct{}{}
}

func (f *Forwarder) isTracked(a *attempt) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.streams[a]
	return ok
}

func (f *Forwarder) untrack(a *attempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.streams, a)
}
