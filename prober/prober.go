// Package prober probes the health and load of upstreams, and reads the platform's list of hosts.
// Each upstream is probed by two entry hosts of its data centre, so that the number of probes
// doesn't grow with the number of entry hosts.
package prober

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/assessor"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/tracker"
)

// ProbersPerUpstream is the number of entry hosts that probe an upstream.
const ProbersPerUpstream = 2

// ErrRefused means that a connection was refused: nothing listens at the address.
var ErrRefused = errors.New("prober: connection refused")

// ListedHost is an entry of the platform's list of hosts. Name is that of an upstream.
type ListedHost struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
}

// UpstreamClient is how a Prober reaches upstreams and the list of hosts; Client implements it over
// HTTP.
type UpstreamClient interface {
	// Probe returns the load of the upstream at an address. The error wraps ErrRefused when the
	// connection was refused.
	Probe(ctx context.Context, address string) (tracker.Load, error)
	// List returns the platform's list of hosts.
	List(ctx context.Context) ([]ListedHost, error)
}

// Prober probes the upstreams that this host owns and reports what it finds to the tracker. The
// exported fields are set before Run.
type Prober struct {
	Upstreams UpstreamClient
	Tracker   *tracker.Tracker
	// Owns reports whether this host is one of the n hosts of its data centre that own a key.
	Owns       func(key string, n int) bool
	DataCentre string
	// OnLeaving and OnDown are called with changes that other hosts need to know: an upstream
	// began to leave, refuses connections (down) or answers again (not down).
	OnLeaving func(upstream string, incarnation int64)
	OnDown    func(upstream string, incarnation int64, down bool)
	// Wake is called every Period, as upstreams may have free capacity by then.
	Wake func()
	// Period is the time between probes and the timeout of each. ListPeriod is the time between
	// reads of the list and the timeout of each; 0 means that the list is not read.
	Period, ListPeriod time.Duration
	// ResponseTime is the time within which a sound upstream nearly always answers a probe; above 0 if
	// FindUnresponsive is used.
	ResponseTime time.Duration
	Log          zerolog.Logger

	// assessor records when this host did not run and when upstreams answered, in the time of now.
	assessor assessor.Assessor
	// epoch is where the time of now begins.
	epoch time.Time
	// askedOthersAt is when upstreams were last probed beside one that did not answer, as nanoseconds of now; 0 before
	// the first.
	askedOthersAt atomic.Int64

	once sync.Once
	// requested holds the names of upstreams to probe at once.
	requested chan string
}

// ProbeNow requests probes of upstreams at once, without waiting for them. Requests beyond the
// capacity of the queue are dropped.
func (p *Prober) ProbeNow(names []string) {
	p.init()
	for _, n := range names {
		select {
		case p.requested <- n:
		default:
		}
	}
}

// init makes the channel of requests, which ProbeNow may need before Run, and sets the epoch.
func (p *Prober) init() {
	p.once.Do(func() {
		p.requested = make(chan string, 256)
		p.epoch = time.Now()
	})
}

// Run probes upstreams and reads the list of hosts until ctx ends, and waits for probes under way.
func (p *Prober) Run(ctx context.Context) {
	p.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.ListPeriod > 0 {
		wg.Go(func() { p.pollHostList(ctx) })
	}
	wg.Go(func() { p.recordTicks(ctx) })
	tick := time.NewTicker(p.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-p.requested:
			if u, ok := p.Tracker.Upstream(name); ok {
				wg.Go(func() { p.probe(ctx, u) })
			}
		case <-tick.C:
			for _, u := range p.targets() {
				wg.Go(func() { p.probe(ctx, u) })
			}
			p.Wake()
		}
	}
}

// targets returns the upstreams that this host owns, and those that it alone considers down or
// suspect. The owners of the latter can reach them, so no owner announces that they answer again,
// and this host has to find out by its own probes.
func (p *Prober) targets() []builder.Upstream {
	out := p.owned()
	for _, name := range p.Tracker.SuspectedLocally() {
		u, ok := p.Tracker.Upstream(name)
		if ok && !slices.ContainsFunc(out, func(o builder.Upstream) bool { return o.Name == name }) {
			out = append(out, u)
		}
	}
	return out
}

// owned returns the upstreams of the data centre that this host owns as one of their probers.
func (p *Prober) owned() []builder.Upstream {
	var out []builder.Upstream
	for _, u := range p.Tracker.Upstreams(p.DataCentre) {
		if p.Owns("probe/"+u.Name, ProbersPerUpstream) {
			out = append(out, u)
		}
	}
	return out
}

// probe probes an upstream, reports the result to the tracker, and announces changes.
func (p *Prober) probe(ctx context.Context, u builder.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, p.Period)
	defer cancel()
	load, err := p.Upstreams.Probe(ctx, u.Address)
	now := time.Now()
	if err != nil {
		p.handleFailure(ctx, now, u.Name, err)
		return
	}
	if p.Tracker.RecordLoad(now, u.Name, load) && load.Leaving {
		p.OnLeaving(u.Name, load.Incarnation)
	}
	if p.Tracker.RecordProbeSuccess(now, u.Name) {
		p.OnDown(u.Name, load.Incarnation, false)
		p.Log.Info().Str("upstream", u.Name).Msg("prober: upstream answers again")
	}
}

// handleFailure reports a failed probe. A refused connection proves that the upstream is down, and
// is announced to the other hosts. Any other failure may be that of this host's own network. Probes
// that the end of Run cancels are ignored.
func (p *Prober) handleFailure(ctx context.Context, now time.Time, name string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	down := errors.Is(err, ErrRefused)
	if !p.Tracker.RecordFailure(now, name, down) {
		return
	}
	p.Log.Info().Str("upstream", name).Bool("down", down).Err(err).Msg("prober: probe of upstream failed")
	if down {
		p.OnDown(name, p.Tracker.Incarnation(name), true)
	}
}

// pollHostList reads the list of hosts every ListPeriod until ctx ends.
func (p *Prober) pollHostList(ctx context.Context) {
	for ctx.Err() == nil {
		p.readHostList(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.ListPeriod):
		}
	}
}

// readHostList reads the list of hosts and marks the upstreams that it lists as leaving. Only the
// one host of the data centre that owns the list reads it.
func (p *Prober) readHostList(ctx context.Context) {
	const readers = 1
	if !p.Owns("hostList", readers) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.ListPeriod)
	defer cancel()
	list, err := p.Upstreams.List(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("prober: cannot read list of hosts")
		return
	}
	for _, l := range list {
		if l.Leaving && p.Tracker.MarkLeaving(l.Name, l.Incarnation) {
			p.OnLeaving(l.Name, l.Incarnation)
		}
	}
}

// Client implements UpstreamClient over HTTP.
type Client struct {
	HTTP *http.Client
	// HostList is the IP:port of the service that lists hosts; empty means that there is none.
	HostList string
	// Refused reports whether an error means that a connection was refused.
	Refused func(error) bool
}

// Probe implements UpstreamClient.
func (c *Client) Probe(ctx context.Context, address string) (tracker.Load, error) {
	var load tracker.Load
	err := c.get(ctx, "http://"+address+"/v1/load", &load)
	if err != nil && c.Refused(err) {
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return load, err
}

// List implements UpstreamClient.
func (c *Client) List(ctx context.Context) ([]ListedHost, error) {
	var list []ListedHost
	err := c.get(ctx, "http://"+c.HostList+"/v1/hosts", &list)
	return list, err
}

// get decodes the JSON body of a GET request into out. It fails for a status other than 200, and
// reads at most maxBodyBytes.
func (c *Client) get(ctx context.Context, url string, out any) error {
	const maxBodyBytes = 8 << 20
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("creating request: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("request answered with status %d, want 200", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxBodyBytes)).Decode(out)
}
