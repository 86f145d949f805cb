package forwarder

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/sardineward/sardineward/assessor"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
)

const (
	// pingTimeout is the time within which a sound host nearly always answers a ping: a hundred times the delay
	// between hosts.
	pingTimeout = 200 * time.Millisecond
	// maxPingTime is how long a ping may be unanswered, not counting pauses of this host, where no answer of another
	// host shows that the asked one is silent: longer than the queue of a link that still carries streams.
	maxPingTime = time.Second
	// pingWitnessDelay is how long a ping is unanswered before other hosts, the witnesses, are asked beside it, and the
	// time between two rounds of witnesses.
	pingWitnessDelay = pingTimeout / 2
)

// hostPing is a ping of a host that serves requests for this one, hostWitness one of other hosts beside it.
var (
	hostPing    = probeSpec{}
	hostWitness = probeSpec{interval: pingWitnessDelay}
)

// ping asks a host in the background whether it runs, and cancels the requests that it serves for this one if it is
// silent. It does nothing while another ping of that host is in progress.
func (f *Forwarder) ping(ctx context.Context, h delegator.Host) {
	name := "host " + h.Name
	if !f.probes.begin(f.Now(), name, 0, hostPing) {
		return
	}
	go func() {
		p := &ping{Forwarder: f, host: h}
		err := p.run(ctx)
		f.probes.end(f.Now(), name, err == nil)
		if err != nil && ctx.Err() == nil {
			f.recordSilentHost(h, err)
		}
	}()
}

// ping is a call in progress that asks whether a host runs.
type ping struct {
	*Forwarder
	host    delegator.Host
	askedAt time.Duration
	// sentAt is when the request was sent over an open connection, as nanoseconds of Now; 0 before that.
	sentAt atomic.Int64
	// witnesses holds the names of the hosts that were asked beside it.
	witnesses []string
}

// run asks the host and returns nil once it answers, the error of a call that failed, or os.ErrDeadlineExceeded once
// the host counts as silent.
func (p *ping) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := p.begin(ctx)
	timer := time.NewTimer(pingWitnessDelay)
	defer timer.Stop()
	for {
		select {
		case err := <-answered:
			if !isTimeout(err) || ctx.Err() != nil || p.isSilent(ctx) {
				return err
			}
			answered = p.begin(ctx) // the time to connect has passed while this host did not run
			continue
		case <-timer.C:
		}
		if p.isSilent(ctx) {
			return os.ErrDeadlineExceeded
		}
		timer.Reset(probeStep)
	}
}

// begin asks the host in the background and returns a channel that gets the outcome.
func (p *ping) begin(ctx context.Context) <-chan error {
	p.askedAt = p.Now()
	p.sentAt.Store(0)
	answered := make(chan error, 1)
	go func() {
		answered <- p.ask(ctx, p.host, func() bool {
			p.sentAt.Store(int64(p.Now()))
			return true
		})
	}()
	return answered
}

// ask asks a host whether it runs, and returns once it has answered, the call has failed or ctx has ended. maySend is
// called right before the request is written; nil means no call.
func (f *Forwarder) ask(ctx context.Context, h delegator.Host, maySend func() bool) error {
	askedAt := f.Now()
	resp, err := f.Pool.Do(ctx, &connector.Request{
		Address: h.Address, Purpose: connector.PurposePeer, Method: http.MethodGet, Target: "/", Host: h.Address,
		Header: http.Header{delegatedByHeader: {f.HostName}, delegationHeader: {delegationPing}}, AtMostOnce: true,
		DialTimeout: maxPingTime, MaySend: maySend,
	})
	if err != nil {
		return err
	}
	resp.Done()
	f.Assessor.RecordAnswer(askedAt, f.Now())
	return nil
}

// isSilent reports whether the host counts as silent because the ping is still unanswered. It asks witnesses where none
// has answered since.
func (p *ping) isSilent(ctx context.Context) bool {
	now := p.Now()
	// Connecting and asking take one round trip each, so an answer over a connection that was open already shows
	// nothing of a host whose connection is still being opened.
	since := max(p.askedAt, time.Duration(p.sentAt.Load()))
	if !p.Assessor.HasAnswer(since) {
		p.askOthers(ctx)
	}
	age := now - p.askedAt
	if age < pingTimeout {
		return false
	}
	return p.Assessor.AssessHost(since, now) == assessor.FindingLost || age-p.Assessor.Paused(p.askedAt, now) >= maxPingTime
}

// askOthers asks a host of this data centre and one of another one whether they run, which tells whether the asked one
// is silent or this host's own link is full or down. Their answers count for all pings that were sent before. Where
// there is no other host, a connection that the asked host's machine accepts is the witness.
func (p *ping) askOthers(ctx context.Context) {
	const name = "host witness"
	if !p.probes.begin(p.Now(), name, 0, hostWitness) {
		return
	}
	defer func() { p.probes.end(p.Now(), name, false) }()
	others := p.Delegator.Witnesses(append(p.witnesses, p.host.Name)...)
	for _, h := range others {
		p.witnesses = append(p.witnesses, h.Name)
		go func() {
			ctx, cancel := context.WithTimeout(ctx, maxPingTime)
			defer cancel()
			if err := p.ask(ctx, h, nil); err != nil {
				p.Log.Debug().Err(err).Str("host", h.Name).Msg("forwarder: witness host did not answer")
			}
		}()
	}
	if len(others) > 0 {
		return
	}
	go func() {
		begunAt := p.Now()
		if err := p.Pool.Check(ctx, p.host.Address, connector.PurposePeer, maxPingTime); err != nil {
			p.Log.Debug().Err(err).Str("host", p.host.Name).Msg("forwarder: host does not accept a connection")
			return
		}
		p.Assessor.RecordAnswer(begunAt, p.Now())
	}()
}

// recordSilentHost cancels the requests that a silent host serves for this one, and excludes it from serving more for
// some time.
func (f *Forwarder) recordSilentHost(h delegator.Host, err error) {
	f.Delegator.Exclude(h, "", f.Now()+exclusion)
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for d := range f.delegations {
		if d.host.Name == h.Name {
			d.cancel(errHostSilent)
			n++
		}
	}
	f.Log.Warn().Err(err).Str("host", h.Name).Int("requests", n).Msg("forwarder: host that serves requests for this one is silent")
}
