package prober

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sardineward/sardineward/assessor"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// tickInterval is the time between two ticks that show that this host runs, and the interval at which an unanswered
	// probe is assessed again.
	tickInterval = 20 * time.Millisecond
	// maxResponseFactor times ResponseTime is how long a probe may be unanswered, not counting pauses of this host,
	// where no answer of another upstream shows that the probed one is unresponsive.
	maxResponseFactor = 4
)

// FindUnresponsive probes upstreams concurrently, reports their loads to the tracker, and returns the name of the first
// one that fails its probe or does not respond. An upstream that has not answered within ResponseTime counts as
// unresponsive once another one has answered a probe that was sent later: until then this host may be late itself, or
// its link full. An empty name means that all answered; upstreams that the tracker does not know count as answered.
func (p *Prober) FindUnresponsive(ctx context.Context, names []string) string {
	p.init()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan string, len(names))
	for _, name := range names {
		go func() {
			u, ok := p.Tracker.Upstream(name)
			if ok && p.isUnresponsive(ctx, u, names) {
				results <- name
				return
			}
			results <- ""
		}()
	}
	for range names {
		if name := <-results; name != "" {
			return name
		}
	}
	return ""
}

// isUnresponsive probes an upstream and reports whether it fails the probe or does not respond. The upstreams in beside
// are being probed too, and are not chosen as witnesses.
func (p *Prober) isUnresponsive(ctx context.Context, u builder.Upstream, beside []string) bool {
	var sentAt atomic.Int64
	sentAt.Store(int64(p.now()))
	begunAt := p.now()
	answered := make(chan error, 1)
	go func() {
		// Connecting and asking take one round trip each, so an answer over a connection that was open already shows
		// nothing of an upstream whose connection is still being opened.
		trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { sentAt.Store(int64(p.now())) }}
		answered <- p.probeLoad(httptrace.WithClientTrace(ctx, trace), u)
	}()
	timer := time.NewTimer(p.ResponseTime / 2)
	defer timer.Stop()
	for {
		select {
		case err := <-answered:
			if err == nil || ctx.Err() != nil {
				return false
			}
			if !isTimeout(err) {
				return true
			}
			answered = nil // a timeout of the probe itself is assessed like no answer
		case <-timer.C:
			if p.showsUnresponsive(ctx, begunAt, time.Duration(sentAt.Load()), beside) {
				return true
			}
			timer.Reset(tickInterval)
		case <-ctx.Done():
			return false
		}
	}
}

// showsUnresponsive reports whether a probe that began at begunAt, was sent at sentAt and is still not answered shows
// that the upstream does not respond. It probes witnesses where none has answered since.
func (p *Prober) showsUnresponsive(ctx context.Context, begunAt, sentAt time.Duration, beside []string) bool {
	now := p.now()
	if !p.assessor.HasAnswer(sentAt) {
		p.probeOthers(ctx, now, beside)
	}
	age := now - begunAt
	if age < p.ResponseTime {
		return false
	}
	if p.assessor.AssessHost(sentAt, now) == assessor.FindingLost {
		return true
	}
	return age-p.assessor.Paused(begunAt, now) >= maxResponseFactor*p.ResponseTime
}

// probeOthers probes an upstream of this data centre and one of another one as witnesses, without those named in
// without. It does nothing if it has done so within the last half ResponseTime for any probe.
func (p *Prober) probeOthers(ctx context.Context, now time.Duration, without []string) {
	last := p.askedOthersAt.Load()
	if last != 0 && now-time.Duration(last) < p.ResponseTime/2 || !p.askedOthersAt.CompareAndSwap(last, int64(now)) {
		return
	}
	others := slices.DeleteFunc(p.Tracker.Upstreams(""), func(u builder.Upstream) bool {
		return slices.Contains(without, u.Name) || p.Tracker.StateOf(time.Now(), u.Name) != tracker.StateUp
	})
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, near := range []bool{true, false} {
		n := slices.IndexFunc(others, func(u builder.Upstream) bool { return (u.DataCentre == p.DataCentre) == near })
		if n < 0 {
			continue
		}
		go func() {
			// The answer counts for all probes, so this one goes on when the probe that asked for it ends.
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxResponseFactor*p.ResponseTime)
			defer cancel()
			if err := p.probeLoad(ctx, others[n]); err != nil {
				p.Log.Debug().Err(err).Str("upstream", others[n].Name).Msg("prober: witness upstream did not answer")
			}
		}()
	}
}

// probeLoad probes an upstream and reports its load to the tracker.
func (p *Prober) probeLoad(ctx context.Context, u builder.Upstream) error {
	begunAt := p.now()
	load, err := p.Upstreams.Probe(ctx, u.Address)
	if err != nil {
		return err
	}
	p.assessor.RecordAnswer(begunAt, p.now())
	p.Tracker.RecordLoad(time.Now(), u.Name, load)
	return nil
}

// recordTicks records that this host runs until ctx ends.
func (p *Prober) recordTicks(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.assessor.RecordTick(p.now(), tickInterval)
		}
	}
}

// now returns the time since epoch, plus 1 ns so that it is never 0.
func (p *Prober) now() time.Duration { return time.Since(p.epoch) + 1 }

// isTimeout reports whether a probe got no answer, as opposed to a refused connection.
func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &t) && t.Timeout())
}
