package forwarder

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/assessor"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

const (
	// probeTimeout is the time within which a sound upstream nearly always accepts a connection. One that does not may
	// be lost.
	probeTimeout = 80 * time.Millisecond
	// maxProbeTime bounds one check, not counting pauses of this host: longer than the queue of a full link.
	maxProbeTime = 400 * time.Millisecond
	// probeStep is the interval at which an unanswered check is assessed again.
	probeStep = 20 * time.Millisecond
	// witnessDelay is how long a check is unanswered before other upstreams, the witnesses, are checked beside it, and
	// the time between two rounds of witnesses.
	witnessDelay = probeTimeout / 2
)

// probe checks in the background whether an upstream accepts connections. It does nothing while
// another probe of that upstream runs, or ended just now.
func (f *Forwarder) probe(ctx context.Context, h balancer.Hop, purpose connector.Purpose) {
	spec := silentProbe
	if purpose == connector.PurposeSlowStartProbe {
		spec = slowStartProbe
		if !f.Balancer.HasManyHosts() {
			spec.afterAccepted = 0
		}
	}
	if purpose == connector.PurposeDeadProbe {
		spec = deadProbe
	}
	f.probeAt(ctx, h, purpose, spec)
}

// probeAt is probe at a given pace.
func (f *Forwarder) probeAt(ctx context.Context, h balancer.Hop, purpose connector.Purpose, spec probeSpec) {
	if !f.probes.begin(f.Now(), h.ID, f.Balancer.LastEventAt(h.ID), spec) {
		return
	}
	go func() {
		c := &check{Forwarder: f, hop: h, purpose: purpose}
		accepted := c.run(ctx)
		f.probes.end(f.Now(), h.ID, accepted)
	}()
}

// check is a check under way of whether an upstream accepts connections.
type check struct {
	*Forwarder
	hop     balancer.Hop
	purpose connector.Purpose
	// begunAt is when the dial began, which on a busy host is later than when the check did.
	begunAt time.Duration
	// timedOut is set once the check has lasted for probeTimeout and that is recorded as a failed dial.
	timedOut bool
	// witnesses holds the ids of the upstreams that were checked beside it.
	witnesses []string
}

// run makes the check and records what it shows. It reports whether the upstream accepted the connection.
func (c *check) run(ctx context.Context) (accepted bool) {
	dialCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialed := make(chan error, 1)
	begun := make(chan struct{})
	go func() {
		c.begunAt = c.Now()
		close(begun)
		conn, err := c.Pool.Open(dialCtx, c.hop.Address, c.purpose)
		if err == nil {
			conn.Close()
		}
		dialed <- err
	}()
	<-begun
	timer := time.NewTimer(witnessDelay)
	defer timer.Stop()
	for {
		select {
		case err := <-dialed:
			if ctx.Err() == nil {
				c.recordProbe(ctx, c.hop, err, c.begunAt)
			}
			return err == nil
		case <-timer.C:
		}
		if c.decide(ctx) {
			return false
		}
		timer.Reset(probeStep)
	}
}

// decide assesses a check that is not answered yet, records what it shows, and reports whether the check is over.
func (c *check) decide(ctx context.Context) bool {
	now := c.Now()
	age := now - c.begunAt
	if c.Balancer.IsDead(c.hop.ID) {
		return age >= maxProbeTime // nothing is to be found out but that it is back
	}
	if !c.Assessor.HasWitness(c.begunAt) {
		c.findWitnesses(ctx)
	}
	if age < probeTimeout {
		return false
	}
	finding := c.Assessor.Assess(c.begunAt, now)
	if !c.timedOut {
		c.timedOut = true
		c.RecordDial(c.hop.Address, c.purpose, c.begunAt, os.ErrDeadlineExceeded)
	}
	if finding != assessor.FindingLost && age-c.Assessor.Paused(c.begunAt, now) < maxProbeTime {
		return false
	}
	c.Meter.UnansweredChecks.WithLabelValues(finding.String()).Inc()
	if finding == assessor.FindingLost {
		c.recordProbe(ctx, c.hop, os.ErrDeadlineExceeded, c.begunAt)
	} else {
		c.Log.Debug().Str("upstream", c.hop.ID).Stringer("finding", finding).EmbedObject(c.circumstances(c.begunAt)).Msg("forwarder: no answer, nor from any other upstream")
	}
	return true
}

// findWitnesses checks other upstreams, which tells whether the checked one is lost or this host's own link is full or
// down. Their answers count for all checks that began before.
func (c *check) findWitnesses(ctx context.Context) {
	const name = "witness"
	if !c.probes.begin(c.Now(), name, 0, witnessProbe) {
		return
	}
	defer func() { c.probes.end(c.Now(), name, false) }()
	for _, other := range c.Balancer.Witnesses(append(c.witnesses, c.hop.ID)...) {
		c.witnesses = append(c.witnesses, other.ID)
		go func() {
			if err := c.Pool.Check(ctx, other.Address, connector.PurposeWitnessProbe, maxProbeTime); err != nil {
				c.Log.Debug().Err(err).Str("upstream", other.ID).Msg("forwarder: witness upstream did not accept a connection")
			}
		}()
	}
}

// isTimeout reports whether a dial got no answer, as opposed to a refused connection.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &t) && t.Timeout())
}

// isReset reports whether a dial was reset, as by a link or a proxy in between; the upstream may be well.
func isReset(err error) bool { return errors.Is(err, syscall.ECONNRESET) }

// recordLoss records that an upstream was lost if it refused a connection, with or without a request in flight, and did
// not leave.
func (f *Forwarder) recordLoss(h balancer.Hop, dialErr error) {
	if !isTimeout(dialErr) && !isReset(dialErr) && !f.Balancer.IsDeparting(h.ID) {
		f.Isolator.RecordLoss(f.Now(), h.ID)
	}
}

// circumstances describes the state of this host at the end of a check, for log lines.
type circumstances struct {
	// took is how long the check took, paused how much of that time this host did not run.
	took, paused time.Duration
	// sinceContact is the time since any upstream sent an event or accepted a connection.
	sinceContact time.Duration
	// reach is what other hosts report.
	reach balancer.Reach
}

// circumstances returns the state of this host at the end of a check that began at startedAt.
func (f *Forwarder) circumstances(startedAt time.Duration) circumstances {
	now := f.Now()
	return circumstances{
		took: now - startedAt, paused: f.Assessor.Paused(startedAt, now),
		sinceContact: now - time.Duration(f.lastContact.Load()), reach: f.Balancer.ReachOfOthers(now),
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (c circumstances) MarshalZerologObject(e *zerolog.Event) {
	e.Dur("took", c.took).Dur("paused", c.paused).Dur("sinceContact", c.sinceContact).Int("reachingHosts", c.reach.Hosts).Int("reachedUpstreams", c.reach.Upstreams)
}

// recordProbe records whether an upstream accepts connections, and reroutes the streams over one
// that does not. dialErr is why it does not, or nil; begunAt is when the check began.
func (f *Forwarder) recordProbe(ctx context.Context, h balancer.Hop, dialErr error, begunAt time.Duration) {
	changed := f.Balancer.SetDead(f.Now(), h.ID, dialErr != nil)
	if dialErr != nil && !isTimeout(dialErr) {
		f.Balancer.MarkStopped(h.ID)
	}
	if !changed {
		return
	}
	if dialErr == nil {
		f.Log.Info().Str("upstream", h.ID).Str("address", h.Address).Msg("forwarder: upstream accepts connections again")
		for _, other := range f.Balancer.DeadInSameDataCentre(h.ID) {
			f.probe(ctx, other, connector.PurposeNeighbourProbe)
		}
		return
	}
	for _, other := range f.Balancer.CorrelatedSuspects(f.Now(), h.ID) {
		f.probe(ctx, other, connector.PurposeNeighbourProbe)
	}
	f.recordLoss(h, dialErr)
	streams := f.streamsThrough(h.ID)
	f.Log.Warn().Err(dialErr).Str("upstream", h.ID).Str("address", h.Address).Int("streams", len(streams)).EmbedObject(f.circumstances(begunAt)).Msg("forwarder: silent upstream out")
	for _, a := range streams {
		if !isTimeout(dialErr) && !isReset(dialErr) && f.isSuspected(a) {
			f.addStrike(a.id, a.suspect, h, a.begun.Load())
		}
		go func() {
			switch {
			case isTimeout(dialErr):
				f.leave(ctx, a, h, begunAt)
			case a.begun.Load():
				f.leave(ctx, a, h, 0) // it may go on over a connection that is open
			default:
				f.reroute(ctx, a, h)
			}
		}()
	}
}

// moveOthers reroutes the streams of other requests over an upstream that this request found to be lost. Where it
// refuses connections, open ones either break by themselves or live on, so only streams that have begun and are silent
// are rerouted.
func (k *call) moveOthers(ctx context.Context, h balancer.Hop, dialErr error, begunAt time.Duration) {
	ctx = context.WithoutCancel(ctx)
	refused := !isTimeout(dialErr)
	if refused {
		begunAt = 0
	}
	for _, a := range k.streamsThrough(h.ID) {
		if a.id == k.id || refused && !a.begun.Load() {
			continue // this request's own attempt ends by itself
		}
		go k.leave(ctx, a, h, begunAt)
	}
}

// recordUnreachable records that an upstream did not accept the connection for this request. A timeout counts against
// the upstream only where the assessor finds it lost.
func (k *call) recordUnreachable(ctx context.Context, h balancer.Hop, err *connector.Error) {
	k.avoidUpstream(h.ID)
	if isTimeout(err) {
		finding := k.Assessor.Assess(err.BegunAt, k.Now())
		k.Meter.UnansweredChecks.WithLabelValues(finding.String()).Inc()
		if finding != assessor.FindingLost {
			return
		}
	}
	if k.Balancer.SetDead(k.Now(), h.ID, true) {
		k.recordLoss(h, err)
		k.Log.Warn().Str("requestId", k.id).Str("upstream", h.ID).Str("address", h.Address).Err(err).EmbedObject(k.circumstances(err.BegunAt)).Msg("forwarder: upstream out")
		k.moveOthers(ctx, h, err, err.BegunAt)
	}
}
