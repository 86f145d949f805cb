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
	"github.com/sardineward/sardineward/connector"
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

// DefaultPolicy is the route policy of hosts whose Policy is nil. It has the best results of the
// policies compared in docs/MEASUREMENTS.md.
var DefaultPolicy = picker.Cheapest{Steepness: 1, Jitter: 0.1, PreferredFactor: 0.7}

const (
	// dialTimeout bounds the set-up of a TCP connection by the default Dial.
	dialTimeout = 2 * time.Second
	// commitTimeout is how long a call that may not be repeated waits for the platform to store
	// its record.
	commitTimeout = 5 * time.Second
)

// Build creates and connects all parts of the host without starting them. Afterwards every other
// method may be called. Run calls Build when it hasn't been called; later calls return the result
// of the first.
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
	h.sharedTransport = h.newTransport()
	h.meter = meter.New(meter.LabelValues(admitter.ReasonValues()), meter.LabelValues(streamer.CauseValues()))
	cfg := h.Settings
	h.store = &storer.Client{Address: cfg.Platform, HTTP: boundedClient(h.sharedTransport, maxStoreResponseBytes), Timeout: ms(cfg.Timing.PlatformMs)}
	h.buildGossiper()
	h.buildRequestPath()
	h.buildWatcher()
	h.buildProber()
	h.buildPlanner()
	h.buildServer()
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

const (
	// maxStoreResponseBytes bounds a response of the platform's store: an entry with its value in base64.
	maxStoreResponseBytes = 2 * storer.MaxValueBytes
	// maxPeerResponseBytes bounds a response of another host.
	maxPeerResponseBytes = 16 << 20
)

func (h *Host) newTransport() *http.Transport {
	const maxIdlePerHost = 256
	return &http.Transport{
		DialContext:         connector.DetectResets(h.Dial),
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: connector.MaxHeaderBytes,
	}
}

// newClient returns a client of t that takes no invalid response.
func newClient(t *http.Transport) *http.Client {
	return &http.Client{Transport: &connector.CheckedTransport{Base: t}}
}

// boundedClient is newClient with a bound on the body of each response.
func boundedClient(t *http.Transport, maxBytes int64) *http.Client {
	return &http.Client{Transport: &connector.BoundedTransport{Base: &connector.CheckedTransport{Base: t}, MaxBytes: maxBytes}}
}

func (h *Host) buildGossiper() {
	cfg := h.Settings
	t := h.newTransport()
	t.DialContext = countingDial(t.DialContext, &h.controlBytes)
	t.TLSClientConfig = h.peerTLS
	// Gossip rotates over all hosts, so a kept connection would rarely be used again before it is
	// closed.
	t.MaxIdleConnsPerHost, t.IdleConnTimeout = 1, 5*time.Second
	h.peerTransport = t
	client := boundedClient(t, maxPeerResponseBytes)
	scheme := "http://"
	if h.peerTLS != nil {
		scheme = "https://"
	}
	h.gossip = &gossiper.Gossiper{
		Self:   cfg.Host,
		Host:   &peer.Host{Address: cfg.Peer.Advertise, DataCentre: cfg.DataCentre, Region: cfg.Region},
		Peers:  cfg.Peers,
		Period: ms(cfg.Timing.GossipMs),
		Rand:   newRand(h.Seed, 1),
		Log:    h.Log,
		Dial: func(address string) peer.Peer {
			return peer.NewPeerProtobufClient(scheme+address, client)
		},
		OnChange: h.applyItems,
		Revision: func() int64 { return h.configWatcher.Revision() },
	}
}

func (h *Host) buildRequestPath() {
	h.upstreamTracker = &tracker.Tracker{
		Policy:    h.Policy,
		Rand:      newRand(h.Seed, 2),
		Host:      h.Settings.Host,
		HostCount: func() int { return len(h.gossip.Live()) },
		Checker:   h.Checker,
	}
	h.upstreamTracker.Configure(&builder.Configuration{})
	h.suspects = &tracker.Suspects{WentDown: h.upstreamTracker.WentDown}
	h.admission = &admitter.Admitter[picker.Route]{MaxQueued: h.Settings.Limits.Queued}
	h.limits = new(admitter.RateLimiter)
	h.requestRouter = &router.Router{
		DataCentre: h.Settings.DataCentre,
		Tracker:    h.upstreamTracker,
		Suspects:   h.suspects,
		Admitter:   h.admission,
		Limits:     h.limits,
		Budget:     &admitter.RetryBudget{Ratio: retryRatio, Burst: retryBurst},
		Announcer:  announcer{h},
		Meter:      h.meter,
		Checker:    h.Checker,
	}
	h.tokenStreamer = &streamer.Streamer{
		Engine:          &streamer.Client{HTTP: newClient(h.sharedTransport)},
		Router:          h.requestRouter,
		Checker:         h.Checker,
		Log:             h.Log,
		MinStallTimeout: ms(h.Settings.Timing.StallFloorMs),
	}
	h.dedup = &deduplicator.Deduplicator{
		Store:         h.store,
		Host:          h.Settings.Host,
		Incarnation:   time.Now().UnixMilli(),
		Address:       h.gossip.Host.GetAddress(),
		ClaimQuerier:  claimQuerier{h},
		Checker:       h.Checker,
		Log:           h.Log,
		Buckets:       idempotencyBuckets,
		Retention:     idempotencyRetention,
		CommitTimeout: commitTimeout,
	}
	h.dedup.Start()
}

func (h *Host) buildWatcher() {
	h.configWatcher = &watcher.Watcher{
		Store:    h.store,
		Peers:    configurationFetcher{h},
		IsReader: func() bool { return h.gossip.Owns("configuration", h.Settings.DataCentre, ownersPerDataCentre) },
		Apply:    h.applyConfiguration,
		Period:   ms(h.Settings.Timing.ConfigurationMs),
		Checker:  h.Checker,
		Log:      h.Log,
	}
	h.configWatcher.Start()
}

func (h *Host) buildProber() {
	cfg := h.Settings
	n := announcer{h}
	h.upstreamProber = &prober.Prober{
		Upstreams:  &prober.Client{HTTP: newClient(h.sharedTransport), HostList: cfg.HostList, Refused: isConnectionRefused},
		Tracker:    h.upstreamTracker,
		Owns:       func(key string, n int) bool { return h.gossip.Owns(key, cfg.DataCentre, n) },
		DataCentre: cfg.DataCentre,
		OnLeaving:  n.AnnounceLeaving,
		OnDown:     n.AnnounceDown,
		Wake:       func() { h.admission.WakeAll(time.Now()) },
		Period:     ms(cfg.Timing.ProbeMs),
		// The shortest silence that counts as a stall, which is at least twice the round trip.
		ResponseTime: ms(cfg.Timing.StallFloorMs),
		Log:          h.Log,
	}
	if cfg.HostList != "" {
		h.upstreamProber.ListPeriod = ms(cfg.Timing.HostListMs)
	}
}

func (h *Host) buildPlanner() {
	cfg := h.Settings
	h.orderPlanner = &planner.Planner{
		Store:       h.store,
		Engines:     &planner.Client{HTTP: newClient(h.sharedTransport)},
		Host:        cfg.Host,
		DataCentre:  cfg.DataCentre,
		LeaseTTL:    ms(cfg.Timing.LeaseMs),
		MaxPause:    ms(cfg.Timing.PauseMs),
		Candidate:   func() bool { return h.gossip.Owns("orders", cfg.DataCentre, ownersPerDataCentre) },
		Assignments: h.assignments,
		MayLoad:     func(string) bool { return true },
		LoadSpacing: h.loadSpacing,
		Checker:     h.Checker,
		Log:         h.Log,
	}
}

func (h *Host) buildServer() {
	unsharedTransport := h.newTransport()
	unsharedTransport.DisableKeepAlives = true
	h.apiServer = &server.Server{
		Host:         h.Settings.Host,
		Limits:       h.Settings.Limits,
		Router:       h.requestRouter,
		Streamer:     h.tokenStreamer,
		Deduplicator: h.dedup,
		Services:     &server.HTTPServiceClient{Shared: newClient(h.sharedTransport), Unshared: newClient(unsharedTransport)},
		Meter:        h.meter,
		Checker:      h.Checker,
		Log:          h.Log,
	}
}

func (h *Host) exportMetrics() {
	h.meter.GaugeFunc("revision", "Configuration revision in force.", func() float64 { return float64(h.configWatcher.Revision()) })
	h.meter.GaugeFunc("live_hosts", "Entry hosts that answer callers, as known here.", func() float64 { return float64(len(h.gossip.Live())) })
	h.meter.GaugeFunc("in_flight", "Requests being answered.", func() float64 { return float64(h.apiServer.InFlight()) })
	h.meter.GaugeFunc("holds_orders", "Whether this host gives orders to engines.", func() float64 {
		if h.orderPlanner.Holding() {
			return 1
		}
		return 0
	})
	h.meter.CounterFunc("platform_calls_total", "Calls on the platform.", func() float64 { return float64(h.store.Calls()) })
	h.meter.CounterFunc("control_bytes_total", "Bytes to and from other hosts.", func() float64 { return float64(h.controlBytes.Load()) })
	h.meter.CounterFunc("tokens_total", "Tokens relayed to callers.", func() float64 { return float64(h.tokenStreamer.RelayedTokens.Load()) })
	h.meter.CounterFunc("frames_dropped_total", "Frames of another attempt or index.", func() float64 { return float64(h.tokenStreamer.DroppedFrames.Load()) })
	h.meter.CounterFunc("orders_total", "Orders given to engines.", func() float64 { return float64(h.orderPlanner.Orders.Load()) })
	h.meter.CounterFunc("orders_fenced_total", "Orders refused for an old fencing number.", func() float64 { return float64(h.orderPlanner.FencedOrders.Load()) })
	h.meter.CounterFunc("violations_total", "Invariants found violated; any is a defect.", func() float64 { return float64(h.Checker.Total()) })
}

// assignments returns the engines of this data centre and the layers that each is to hold.
func (h *Host) assignments() []planner.Assignment {
	cfg := h.configWatcher.Current()
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

// loadSpacing returns how long the weight store takes to serve the layers of a target; 0 means
// that the rate of the weight store or the model isn't configured.
func (h *Host) loadSpacing(t planner.Target) time.Duration {
	cfg := h.configWatcher.Current()
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
