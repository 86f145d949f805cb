// Package prober asks upstreams how they are, and reads the platform's list of
// hosts. Each upstream is probed by two entry hosts of its data centre, so the
// number of probes doesn't grow with the number of entry hosts.
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
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/tracker"
)

// Probers is how many entry hosts probe one upstream.
const Probers = 2

// ErrRefused means that nobody listens at an address.
var ErrRefused = errors.New("prober: connection refused")

// Listed is one line of the platform's list of hosts.
type Listed struct {
	Name        string `json:"name"`
	Incarnation int64  `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
}

// Upstreams is the seam to upstreams and to the list.
type Upstreams interface {
	// Probe returns an upstream's load. It wraps ErrRefused when the
	// connection was refused.
	Probe(ctx context.Context, address string) (tracker.Load, error)
	// List returns the platform's list of hosts.
	List(ctx context.Context) ([]Listed, error)
}

// Prober is one host's part. The fields are set before Run.
type Prober struct {
	Upstreams Upstreams
	Tracker   *tracker.Tracker
	// Owns reports whether a key falls to this host among n of its data centre.
	Owns       func(key string, n int) bool
	DataCentre string
	// OnLeaving and OnDown tell what other hosts must hear.
	OnLeaving func(upstream string, incarnation int64)
	OnDown    func(upstream string, incarnation int64, down bool)
	// Wake is called when an upstream may have room again.
	Wake func()
	// Period is the time between probes, and ListPeriod between looks at the
	// list; 0 reads no list.
	Period, ListPeriod time.Duration
	Log                zerolog.Logger

	once  sync.Once
	doubt chan string
}

// Doubt asks for upstreams to be probed at once.
func (p *Prober) Doubt(names []string) {
	p.init()
	for _, n := range names {
		select {
		case p.doubt <- n:
		default:
		}
	}
}

func (p *Prober) init() {
	p.once.Do(func() { p.doubt = make(chan string, 256) })
}

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	p.init()
	var wg sync.WaitGroup
	defer wg.Wait()
	if p.ListPeriod > 0 {
		wg.Go(func() { p.runList(ctx) })
	}
	tick := time.NewTicker(p.Period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case name := <-p.doubt:
			if u, ok := p.Tracker.Upstream(name); ok {
				wg.Go(func() { p.probe(ctx, u) })
			}
		case <-tick.C:
			for _, u := range p.mine() {
				wg.Go(func() { p.probe(ctx, u) })
			}
			p.Wake()
		}
	}
}

// Ask probes upstreams at once and returns one that did not answer before ctx
// ended; empty means that all did.
func (p *Prober) Ask(ctx context.Context, names []string) string {
	silent := make(chan string, len(names))
	for _, name := range names {
		go func() {
			u, ok := p.Tracker.Upstream(name)
			if !ok {
				silent <- ""
				return
			}
			load, err := p.Upstreams.Probe(ctx, u.Address)
			if err != nil {
				silent <- name
				return
			}
			p.Tracker.RecordLoad(time.Now(), name, load)
			silent <- ""
		}()
	}
	for range names {
		if name := <-silent; name != "" {
			return name
		}
	}
	return ""
}

// mine is the upstreams that fall to this host, and those that it alone holds
// for down: their probers reach them, so would never tell it otherwise.
func (p *Prober) mine() []builder.Upstream {
	out := p.owned()
	for _, name := range p.Tracker.SuspectedLocally() {
		u, ok := p.Tracker.Upstream(name)
		if ok && !slices.ContainsFunc(out, func(o builder.Upstream) bool { return o.Name == name }) {
			out = append(out, u)
		}
	}
	return out
}

func (p *Prober) owned() []builder.Upstream {
	var out []builder.Upstream
	for _, u := range p.Tracker.Upstreams(p.DataCentre) {
		if p.Owns("probe/"+u.Name, Probers) {
			out = append(out, u)
		}
	}
	return out
}

func (p *Prober) probe(ctx context.Context, u builder.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, p.Period)
	defer cancel()
	load, err := p.Upstreams.Probe(ctx, u.Address)
	now := time.Now()
	if err != nil {
		p.failed(ctx, now, u.Name, err)
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

// failed tells a refused connection, which is sure, from a silence, which may
// be this host's own network.
func (p *Prober) failed(ctx context.Context, now time.Time, name string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	down := errors.Is(err, ErrRefused)
	if !p.Tracker.RecordFailure(now, name, down) {
		return
	}
	p.Log.Info().Str("upstream", name).Bool("down", down).Err(err).Msg("prober: upstream does not answer")
	if down {
		p.OnDown(name, p.Tracker.Incarnation(name), true)
	}
}

func (p *Prober) runList(ctx context.Context) {
	for ctx.Err() == nil {
		p.readList(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(p.ListPeriod):
		}
	}
}

func (p *Prober) readList(ctx context.Context) {
	const readers = 1
	if !p.Owns("hostList", readers) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, p.ListPeriod)
	defer cancel()
	list, err := p.Upstreams.List(ctx)
	if err != nil {
		p.Log.Debug().Err(err).Msg("prober: list of hosts not read")
		return
	}
	for _, l := range list {
		if l.Leaving && p.Tracker.MarkLeaving(l.Name, l.Incarnation) {
			p.OnLeaving(l.Name, l.Incarnation)
		}
	}
}

// Client probes over HTTP.
type Client struct {
	HTTP *http.Client
	// HostList is the address of the list; empty means none.
	HostList string
	// Refused reports whether an error is a refused connection.
	Refused func(error) bool
}

// Probe implements Upstreams.
func (c *Client) Probe(ctx context.Context, address string) (tracker.Load, error) {
	var load tracker.Load
	err := c.get(ctx, "http://"+address+"/v1/load", &load)
	if err != nil && c.Refused(err) {
		err = fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return load, err
}

// List implements Upstreams.
func (c *Client) List(ctx context.Context) ([]Listed, error) {
	var list []Listed
	err := c.get(ctx, "http://"+c.HostList+"/v1/hosts", &list)
	return list, err
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	const most = 8 << 20
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("making probe: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("probe answered status %d", resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, most)).Decode(into)
}
