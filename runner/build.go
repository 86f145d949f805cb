package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/deduplicator"
	"github.com/sardineward/sardineward/gossiper"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/planner"
	"github.com/sardineward/sardineward/prober"
	"github.com/sardineward/sardineward/router"
	"github.com/sardineward/sardineward/server"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
	"github.com/sardineward/sardineward/watcher"
)

// DefaultPolicy is the one that docs/MEASUREMENTS.md shows to be best.
var DefaultPolicy = picker.Cheapest{Steepness: 1, Jitter: 0.1, PreferredFactor: 0.7}

const (
	dialTimeout = 2 * time.Second
	// patience is how long a call that may not be repeated waits for the
	// platform to take its record.
	patience = 5 * time.Second
)

// Build makes all parts and joins them. Nothing runs yet, but every other
// method may be called. Run does it where it wasn't done.
func (h *Host) Build() error {
	h.buildOnce.Do(func() { h.buildErr = h.build() })
	return h.buildErr
}

func (h *Host) build() error {
	h.killed = make(chan struct{})
	h.defaults()
	if err := h.loadPeerTLS(); err != nil {
		return err
	}
	h.conns = h.transport()
	h.meter = meter.New(meter.LabelValues(admitter.ReasonValues()), meter.LabelValues(streamer.CauseValues()))
	cfg := h.Settings
	h.store = &storer.Client{Address: cfg.Platform, HTTP: &http.Client{Transport: h.conns}, Timeout: ms(cfg.Timing.PlatformMs)}
	h.buildGossip()
	h.buildDecisions()
	h.buildWatch()
	h.buildProbe()
	h.buildPlan()
	h.buildServe()
	h.exportMetrics()
	h.gossip.Start()
	return nil
}

func (h *Host) defaults() {
	if h.Listen == nil {
		h.Listen = func(address string) (net.Listener, error) {
			return new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		}
	}
	if h.Dial == nil {
		h.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if h.Checker == nil {
		h.Checker = &checker.Checker{Log: h.Log}
	}
	if h.Policy == nil {
		h.Policy = DefaultPolicy
	}
	h.clients = make(map[string]peer.Peer)
}

func (h *Host) transport() *http.Transport {
	const idle = 256
	return &http.Transport{
		DialContext:         h.Dial,
		MaxIdleConnsPerHost: idle,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
}

func (h *Host) buildGossip() {
	cfg := h.Settings
	t := h.transport()
	t.DialContext = countedDial(h.Dial, &h.control)
	t.TLSClientConfig = h.peerTLS
	// Gossip goes round all hosts, so a kept connection would hardly be used
	// again before it is closed.
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = 1, 5*time.Second
	h.peerConns = t
	client := &http.Client{Transport: t}
	scheme := "http://"
	if h.peerTLS != nil {
		scheme = "https://"
	}
	h.gossip = &gossiper.Gossiper{
		Self:   cfg.Host,
		Host:   &peer.Host{Address: cfg.Peer.Advertise, DataCentre: cfg.DataCentre, Region: cfg.Region},
		Peers:  cfg.Peers,
		Period: ms(cfg.Timing.GossipMs),
		Rand:   seeded(h.Seed, 1),
		Log:    h.Log,
		Dial: func(address string) peer.Peer {
			return peer.NewPeerProtobufClient(scheme+address, client)
		},
		OnChange: h.heard,
		Revision: func() int64 { return h.watch.Revision() },
	}
}

func (h *Host) buildDecisions() {
	h.track = &tracker.Tracker{
		Policy:    h.Policy,
		Rand:      seeded(h.Seed, 2),
		Host:      h.Settings.Host,
		HostCount: func() int { return len(h.gossip.Live()) },
		Checker:   h.Checker,
	}
	h.track.Configure(&builder.Configuration{})
	h.susp = &tracker.Suspects{WentDown: h.track.WentDown}
	h.admit = &admitter.Admitter[picker.Route]{MaxQueued: h.Settings.Limits.Queued}
	h.limits = new(admitter.RateLimiter)
	h.route = &router.Router{
		DataCentre: h.Settings.DataCentre,
		Tracker:    h.track,
		Suspects:   h.susp,
		Admitter:   h.admit,
		Limits:     h.limits,
		Budget:     &admitter.RetryBudget{Ratio: retryRatio, Burst: retryBurst},
		Announcer:  news{h},
		Meter:      h.meter,
		Checker:    h.Checker,
	}
	h.stream = &streamer.Streamer{
		Engine:          &streamer.Client{HTTP: &http.Client{Transport: h.conns}},
		Router:          h.route,
		Checker:         h.Checker,
		Log:             h.Log,
		MinStallTimeout: ms(h.Settings.Timing.StallFloorMs),
	}
	h.dedup = &deduplicator.Deduplicator{
		Store:         h.store,
		Host:          h.Settings.Host,
		Incarnation:   time.Now().UnixMilli(),
		Address:       h.gossip.Host.GetAddress(),
		ClaimQuerier:  asker{h},
		Checker:       h.Checker,
		Log:           h.Log,
		Buckets:       buckets,
		Retention:     retention,
		CommitTimeout: patience,
	}
	h.dedup.Start()
}

func (h *Host) buildWatch() {
	h.watch = &watcher.Watcher{
		Store:   h.store,
		Peers:   fetcher{h},
		Reads:   func() bool { return h.gossip.Owns("configuration", h.Settings.DataCentre, readers) },
		Apply:   h.apply,
		Period:  ms(h.Settings.Timing.ConfigurationMs),
		Checker: h.Checker,
		Log:     h.Log,
	}
	h.watch.Start()
}

func (h *Host) buildProbe() {
	cfg := h.Settings
	n := news{h}
	h.probe = &prober.Prober{
		Upstreams:  &prober.Client{HTTP: &http.Client{Transport: h.conns}, HostList: cfg.HostList, Refused: isRefused},
		Tracker:    h.track,
		Owns:       func(key string, n int) bool { return h.gossip.Owns(key, cfg.DataCentre, n) },
		DataCentre: cfg.DataCentre,
		OnLeaving:  n.AnnounceLeaving,
		OnDown:     n.AnnounceDown,
		Wake:       func() { h.admit.WakeAll(time.Now()) },
		Period:     ms(cfg.Timing.ProbeMs),
		Log:        h.Log,
	}
	if cfg.HostList != "" {
		h.probe.ListPeriod = ms(cfg.Timing.HostListMs)
	}
}

func (h *Host) buildPlan() {
	cfg := h.Settings
	h.plan = &planner.Planner{
		Store:       h.store,
		Engines:     &planner.Client{HTTP: &http.Client{Transport: h.conns}},
		Host:        cfg.Host,
		DataCentre:  cfg.DataCentre,
		LeaseTTL:    ms(cfg.Timing.LeaseMs),
		MaxPause:    ms(cfg.Timing.PauseMs),
		Candidate:   func() bool { return h.gossip.Owns("orders", cfg.DataCentre, readers) },
		Assignments: h.wanted,
		MayLoad:     func(string) bool { return true },
		LoadSpacing: h.spacing,
		Checker:     h.Checker,
		Log:         h.Log,
	}
}

func (h *Host) buildServe() {
	once := h.transport()
	once.DisableKeepAlives = true
	h.serve = &server.Server{
		Host:         h.Settings.Host,
		Limits:       h.Settings.Limits,
		Router:       h.route,
		Streamer:     h.stream,
		Deduplicator: h.dedup,
		Services:     &server.HTTPCaller{Shared: &http.Client{Transport: h.conns}, Once: &http.Client{Transport: once}},
		Meter:        h.meter,
		Checker:      h.Checker,
		Log:          h.Log,
	}
}

func (h *Host) exportMetrics() {
	h.meter.GaugeFunc("revision", "Configuration revision in force.", func() float64 { return float64(h.watch.Revision()) })
	h.meter.GaugeFunc("live_hosts", "Entry hosts that answer callers, as known here.", func() float64 { return float64(len(h.gossip.Live())) })
	h.meter.GaugeFunc("in_flight", "Requests being answered.", func() float64 { return float64(h.serve.InFlight()) })
	h.meter.GaugeFunc("holds_orders", "Whether this host gives orders to engines.", func() float64 {
		if h.plan.Holding() {
			return 1
		}
		return 0
	})
	h.meter.CounterFunc("platform_calls_total", "Calls on the platform.", func() float64 { return float64(h.store.Calls()) })
	h.meter.CounterFunc("control_bytes_total", "Bytes to and from other hosts.", func() float64 { return float64(h.control.Load()) })
	h.meter.CounterFunc("tokens_total", "Tokens relayed to callers.", func() float64 { return float64(h.stream.RelayedTokens.Load()) })
	h.meter.CounterFunc("frames_dropped_total", "Frames of another attempt or index.", func() float64 { return float64(h.stream.DroppedFrames.Load()) })
	h.meter.CounterFunc("orders_total", "Orders given to engines.", func() float64 { return float64(h.plan.Orders.Load()) })
	h.meter.CounterFunc("orders_fenced_total", "Orders refused for an old fencing number.", func() float64 { return float64(h.plan.FencedOrders.Load()) })
	h.meter.CounterFunc("violations_total", "Invariants found violated; any is a defect.", func() float64 { return float64(h.Checker.Total()) })
}

// wanted is the engines of this data centre and what each is to hold.
func (h *Host) wanted() []planner.Assignment {
	cfg := h.watch.Current()
	if cfg == nil {
		return nil
	}
	versions := make(map[string]string)
	for _, m := range cfg.Models {
		versions[m.Name] = m.Version
	}
	var out []planner.Assignment
	for _, u := range cfg.Upstreams {
		if u.Model == "" || u.DataCentre != h.Settings.DataCentre {
			continue
		}
		out = append(out, planner.Assignment{
			Upstream:    u,
			ChecksFence: u.ChecksFence,
			Target:      planner.Target{Model: u.Model, Version: versions[u.Model], First: u.FirstLayer, Last: u.LastLayer},
		})
	}
	return out
}

// spacing is how long the weight store takes to hand out a target's layers.
func (h *Host) spacing(t planner.Target) time.Duration {
	cfg := h.watch.Current()
	if cfg == nil || cfg.WeightStoreBytesPerSecond == 0 {
		return 0
	}
	for _, m := range cfg.Models {
		if m.Name == t.Model {
			bytes := float64(m.LayerBytes) * float64(t.Last-t.First+1)
			return time.Duration(bytes / float64(cfg.WeightStoreBytesPerSecond) * float64(time.Second))
		}
	}
	return 0
}

var errNoPeer = errors.New("runner: no peer could be asked")

func (h *Host) callerTLS() (*tls.Config, error) {
	return serverTLS(h.Settings.TLS.CallerCertificate, h.Settings.TLS.CallerKey)
}
