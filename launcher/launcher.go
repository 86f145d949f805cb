// Package launcher wires an entry host that forwards by a route table, and runs
// it from start to graceful stop. What it follows and which names it speaks
// come in as fields, so that the platform and the stand-ins are served alike.
package launcher

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/orderer"
	"github.com/sardineward/sardineward/pacer"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/registrar"
	"github.com/sardineward/sardineward/sharer"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// headerTimeout and idleTimeout are above what configurations ask for, as
	// connections are taken before there is one.
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
	// keyMargin is taken off the time after which a key must be gone: a request
	// has to reach its upstream before it is over.
	keyMargin = 700 * time.Millisecond
	// sweepPeriod is the time between two looks for stale connections.
	sweepPeriod = time.Second
	// memoryShare is the part of the process's memory at which collection gets
	// eager.
	memoryShare = 0.7
)

// Engines gives orders to upstreams.
type Engines interface {
	orderer.Engines
	forwarder.Engines
	pacer.Engines
}

// Host is one entry host. The fields are set before Run.
type Host struct {
	Settings *loader.Forward
	Store    storer.Store
	Source   follower.Source
	Engines  Engines
	Headers  forwarder.Headers
	// ReadyPath is what the balancer asks.
	ReadyPath string
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	// Listen and Dial reach the network; nil means the machine's own.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed makes choices repeatable; 0 draws one.
	Seed uint64
	// Dropped is how many log lines were not written; nil where none are.
	Dropped func() float64
	Log     zerolog.Logger

	balancer *balancer.Balancer
	follow   *follower.Follower
	forward  *forwarder.Forwarder
	register *registrar.Registrar
	orders   *orderer.Orderer
	share    *sharer.Sharer
	paces    *pacer.Pacer
	pool     *connector.Pool
	meter    *meter.Meter

	opened atomic.Int64
	// hostless is since when data centres have no host, by name.
	hostless sync.Map
	mu       sync.Mutex
	servers  []*http.Server

	budgets   named[admitter.WindowRetryBudget]
	latencies named[admitter.StreamLimiter]
}

// Run answers until ctx ends, then stops gracefully.
func (h *Host) Run(ctx context.Context) error {
	h.build()
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var wg sync.WaitGroup
	defer wg.Wait()
	callers, err := h.listen()
	if err != nil {
		return err
	}
	duty, endDuty := context.WithCancel(ctx)
	defer endDuty()
	wg.Go(func() { h.follow.Run(work) })
	wg.Go(func() { h.forward.Watch(work) })
	wg.Go(func() { h.register.Run(duty) })
	wg.Go(func() { h.orders.Run(duty) })
	wg.Go(func() { h.share.Run(work) })
	wg.Go(func() { h.paces.Run(work) })
	wg.Go(func() { h.sweep(work) })
	h.Log.Info().Str("host", h.Settings.Host).Str("dataCentre", h.Settings.DataCentre).Msg("launcher: started")
	<-ctx.Done()
	err = h.stop(callers)
	end()
	h.close()
	return err
}

// close ends what nobody needs after the stop.
func (h *Host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.Close()
	}
	h.pool.Close()
	h.share.HTTP.CloseIdleConnections()
}

// stop lets the balancer see that this host is leaving, and every open request
// end, before the listener goes.
func (h *Host) stop(callers *http.Server) error {
	h.Log.Info().Int64("inFlight", h.forward.InFlight()).Msg("launcher: stopping")
	h.forward.Stop()
	limit, cancel := context.WithTimeout(context.Background(), millis(h.Settings.StopMs))
	defer cancel()
	select {
	case <-time.After(millis(h.Settings.BalancerMs)):
	case <-limit.Done():
	}
	err := callers.Shutdown(limit)
	left := h.forward.InFlight()
	h.Log.Info().Int64("cut", left).Msg("launcher: stopped")
	if err != nil && left > 0 {
		return fmt.Errorf("stop cut off %d requests", left)
	}
	return nil
}

func (h *Host) build() {
	cfg := h.Settings
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryShare * 1e6))
	}
	h.defaults()
	h.budgets.New = h.newBudget
	h.meter = meter.New(meter.LabelValues(admitter.ReasonValues()), meter.LabelValues(streamer.CauseValues()))
	h.balancer = &balancer.Balancer{
		Host:       cfg.Host,
		DataCentre: cfg.DataCentre,
		Policy:     picker.Cheapest{Steepness: 2, Jitter: 0.1},
		Rand:       rand.New(rand.NewPCG(h.Seed, 1)),
	}
	h.follow = &follower.Follower{Host: cfg.Host, Source: h.Source, Balancer: h.balancer, Now: h.Now, OnChange: h.tellHosts, Log: h.Log}
	h.pool = &connector.Pool{Dial: h.Dial, Now: h.Now, RequestIDHeader: h.Headers.RequestID, OnDial: func() { h.opened.Add(1) }}
	suspects := new(tracker.Suspects)
	h.forward = &forwarder.Forwarder{
		Tables:        h.follow,
		Balancer:      h.balancer,
		Pool:          h.pool,
		Engines:       h.Engines,
		Headers:       h.Headers,
		RetryBudget:   h.budgets.Get,
		StreamLimiter: h.latencies.Get,
		Suspects:      suspects,
		Now:           h.Now,
		Meter:         h.meter,
		Log:           h.Log,
	}
	suspects.WentDown = h.forward.WentDown
	if cfg.RevokeMs > 0 {
		h.forward.MaxKeyAge = millis(cfg.RevokeMs) - keyMargin
	}
	h.register = &registrar.Registrar{
		Store:      h.Store,
		Entry:      registrar.Entry{Name: cfg.Host, Address: cfg.Peer, DataCentre: cfg.DataCentre},
		Now:        h.Now,
		FreeDuties: h.freeDuties,
		Log:        h.Log,
	}
	if s, ok := h.Store.(storer.Restorable); ok {
		h.register.Era = s.Era
	}
	h.share = &sharer.Sharer{
		Self:       cfg.Host,
		DataCentre: cfg.DataCentre,
		Follower:   h.follow,
		Balancer:   h.balancer,
		Suspects:   suspects,
		Now:        h.Now,
		HTTP:       &http.Client{Transport: &http.Transport{DialContext: h.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}},
		Log:        h.Log,
	}
	h.follow.ReadsSource, h.follow.ReaderCount = h.share.ReadsSource, h.share.ReaderCount
	h.forward.LimitsKnown = h.share.KnowsLimits
	h.paces = &pacer.Pacer{Balancer: h.balancer, Engines: h.Engines, Now: h.Now, Log: h.Log}
	h.exportMetrics()
	h.orders = &orderer.Orderer{
		Balancer: h.balancer,
		Engines:  h.Engines,
		Services: h.services,
		Holds:    h.register.Holding,
		HoldsAny: h.register.HoldingAny,
		Now:      h.Now,
		Log:      h.Log,
	}
}

func (h *Host) defaults() {
	if h.Listen == nil {
		h.Listen = func(address string) (net.Listener, error) {
			return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		}
	}
	if h.Dial == nil {
		h.Dial = new(net.Dialer).DialContext
	}
	if h.Seed == 0 {
		h.Seed = rand.Uint64()
	}
}

// exportMetrics registers what is read when it is asked for.
func (h *Host) exportMetrics() {
	m := h.meter
	m.GaugeFunc("knowledge_age_seconds", "Age of configuration, keys and list, also by what peers answered.", func() float64 { return h.follow.Age().Seconds() })
	m.GaugeFunc("source_age_seconds", "Age of what this host read from the store itself.", func() float64 { return h.follow.OwnAge().Seconds() })
	m.GaugeFunc("read_age_seconds", "Age of what this host read from the store or was told by a relay.", func() float64 { return h.follow.ReadAge().Seconds() })
	m.GaugeFunc("reader", "1 while this host reads the store for its data centre.", func() float64 { return gauge(h.share.ReadsSource()) })
	m.GaugeFunc("relay", "1 while the hosts of this data centre report to this one.", func() float64 { return gauge(h.share.IsRelay()) })
	m.GaugeFunc("source_revision", "Revision of the store up to which this host knows upstreams and hosts.", func() float64 { return float64(h.follow.Position().Revision) })
	m.GaugeFunc("source_era", "How often the store came back from a copy, as this host knows; 0 where it does not say.", func() float64 { return float64(h.follow.Position().Era) })
	m.GaugeFunc("configuration_version", "Version of the configuration in force; 0 is none.", func() float64 {
		if t := h.follow.Table(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	m.GaugeFunc("hosts", "Other entry hosts that are listed.", func() float64 { return float64(len(h.follow.Hosts())) })
	m.GaugeFunc("requests_in_flight", "Requests being answered.", func() float64 { return float64(h.forward.InFlight()) })
	m.GaugeFunc("ready", "1 while this host takes requests.", func() float64 { return gauge(h.forward.Ready()) })
	m.GaugeFunc("duty_held", "1 while this host gives orders to engines.", func() float64 { return gauge(h.register.HoldingAny()) })
	for _, state := range balancer.StateValues() {
		m.GaugeFunc("upstreams_"+state.String(), "Upstreams in this state.", func() float64 { return float64(h.balancer.Count(h.Now(), state)) })
	}
	m.GaugeFunc("upstreams_in_use", "Upstreams that this host sends to or has requests at; a part of a large fleet.", func() float64 { return float64(h.balancer.SubsetSize(h.Now())) })
	m.GaugeFunc("limits_in_force", "Upstreams that name a limit in their answers.", func() float64 { return float64(h.balancer.LimitCount()) })
	m.CounterFunc("limited_requests_sent_total", "Requests sent to upstreams while they named a limit.", func() float64 { return float64(h.balancer.LimitedSentCount()) })
	m.CounterFunc("limited_requests_held_off_total", "Requests that did not go to an upstream since its limit had no room.", func() float64 { return float64(h.balancer.ThrottledCount()) })
	if h.Dropped != nil {
		m.CounterFunc("log_lines_dropped_total", "Log lines that were too many, or whose reader was too slow.", h.Dropped)
	}
	m.CounterFunc("connections_opened_total", "Connections made to upstreams.", func() float64 { return float64(h.opened.Load()) })
}

func gauge(ok bool) float64 {
	if ok {
		return 1
	}
	return 0
}

// tellHosts hands the other hosts on to the balancer.
func (h *Host) tellHosts() {
	hosts := make(map[string]string)
	for _, other := range h.follow.Hosts() {
		hosts[other.Name] = other.DataCentre
	}
	h.balancer.SetHosts(hosts)
}

// takeover is how long a data centre must have had no host before the host of
// another one gives orders there: longer than a restart, and than the store
// turns a host away for a moment.
const takeover = 1500 * time.Millisecond

// freeDuties are the data centres whose duty this host is to take: its own, and
// those that have upstreams and no host left. Hosts of a data centre see its
// upstreams fail first.
func (h *Host) freeDuties() []string {
	own := h.Settings.DataCentre
	hosted := map[string]bool{own: true}
	first := true
	for _, other := range h.follow.Hosts() {
		hosted[other.DataCentre] = true
		first = first && h.Settings.Host < other.Name
	}
	var out []string
	for _, dc := range append(h.balancer.DataCentres(), own) {
		holder, known := h.follow.Holder(dc)
		if hosted[dc] {
			h.hostless.Delete(dc)
		}
		// Named as its holder without holding it, this host was started again.
		last := holder == h.Settings.Host && !h.register.Holding(dc)
		if !known || (holder != "" && !last) || slices.Contains(out, dc) {
			continue
		}
		if last {
			out = append(out, dc)
			continue
		}
		since, _ := h.hostless.LoadOrStore(dc, h.Now())
		if dc == own || (first && !hosted[dc] && h.Now()-since.(time.Duration) > takeover) {
			out = append(out, dc)
		}
	}
	return out
}

func (h *Host) services() map[string]*matcher.Service {
	if t := h.follow.Table(); t != nil {
		return t.Services
	}
	return nil
}

// newBudget makes the retry budget of a service.
func (h *Host) newBudget() *admitter.WindowRetryBudget {
	return &admitter.WindowRetryBudget{
		Ratio:  h.Settings.RetryRatio,
		Length: time.Duration(h.Settings.RetryWindowS) * time.Second,
		Fixed:  h.Settings.RetryFixed,
		Hosts:  func() int { return len(h.follow.Hosts()) + 1 },
	}
}

func (h *Host) sweep(ctx context.Context) {
	tick := time.NewTicker(sweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.pool.CloseExpired()
			h.forward.Suspects.Sweep(time.Now())
		}
	}
}

// listen opens all addresses and returns the server of the callers.
func (h *Host) listen() (*http.Server, error) {
	cfg := h.Settings
	callers := server(h.forward)
	for _, one := range []struct {
		address string
		server  *http.Server
	}{
		{cfg.Ready, server(h.readyHandler())},
		{cfg.Admin, server(h.adminHandler())},
		{cfg.Peer, server(peer.NewShareServer(h.share))},
		{cfg.Callers, callers},
	} {
		l, err := h.Listen(one.address)
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", one.address, err)
		}
		h.mu.Lock()
		h.servers = append(h.servers, one.server)
		h.mu.Unlock()
		go func() {
			if err := one.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
				h.Log.Error().Err(err).Str("address", one.address).Msg("launcher: listener ended")
			}
		}()
	}
	return callers, nil
}

func server(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes}
}

func (h *Host) readyHandler() http.Handler {
	e := echo.New()
	e.GET(h.ReadyPath, func(c echo.Context) error {
		if h.forward.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

func (h *Host) adminHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(h.meter.Registry, promhttp.HandlerOpts{})))
	return e
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
