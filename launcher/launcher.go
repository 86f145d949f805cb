// Package launcher wires an entry host that forwards requests by a route table, and runs it from
// start to graceful stop. The configuration source, the store and the header names are fields of
// Host, so that the same code runs against the platform and against the fakes of tests.
package launcher

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/archiver"
	"github.com/sardineward/sardineward/assessor"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
	"github.com/sardineward/sardineward/detector"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/orderer"
	"github.com/sardineward/sardineward/pacer"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/registrar"
	"github.com/sardineward/sardineward/sharer"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// readHeaderTimeout and idleTimeout exceed what configurations set, since connections are
	// accepted before a configuration is in force.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// revocationMargin is subtracted from Settings.RevokeMs, the time after which a revoked key
	// must not be served: a request has to reach its upstream before that time is over.
	revocationMargin = 700 * time.Millisecond
	// sweepInterval is the time between two sweeps of unusable connections and expired crash
	// suspects.
	sweepInterval = time.Second
	// drainPollInterval is the time between two checks whether the last requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// finalResponseTimeout bounds the wait for the final responses of a stop that has timed out.
	finalResponseTimeout = 300 * time.Millisecond
	// memoryLimitRatio is the fraction of Settings.MemoryMB that is set as the soft memory limit
	// of the Go runtime, near which it collects garbage more often.
	memoryLimitRatio = 0.7
)

// Engines sends orders to upstreams and reads their reports.
type Engines interface {
	orderer.Engines
	forwarder.Engines
	pacer.Engines
}

// Host is one entry host. Exported fields are set before Run and not changed after.
type Host struct {
	Settings *loader.Forward
	Store    storer.Store
	Source   follower.Source
	Engines  Engines
	// EngineTransport carries the HTTP calls of Engines; nil where they make none.
	EngineTransport *forwarder.EngineTransport
	Headers         forwarder.Headers
	// ReadyPath is the path of the readiness check, which the external load balancer polls.
	ReadyPath string
	// Now is a clock that also advances while the machine is suspended.
	Now func() time.Duration
	// Listen and Dial open listeners and connections; nil means the operating system's network.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Seed makes random choices repeatable; 0 draws a random seed.
	Seed uint64
	// DroppedLogLines returns the number of log lines that were not written; nil if none are ever dropped.
	DroppedLogLines func() float64
	// Version identifies the program in the log and the metrics; it may be empty.
	Version string
	Log     zerolog.Logger

	balancer  *balancer.Balancer
	follower  *follower.Follower
	forwarder *forwarder.Forwarder
	registrar *registrar.Registrar
	orderer   *orderer.Orderer
	sharer    *sharer.Sharer
	archiver  *archiver.Archiver
	pacer     *pacer.Pacer
	pool      *connector.Pool
	meter     *meter.Meter

	// connectionsOpened counts the connections that requests needed.
	connectionsOpened atomic.Int64
	// unhostedSince maps the name of a data centre to the time of Now, a time.Duration, since
	// which it is known to have no host.
	unhostedSince sync.Map
	mu            sync.Mutex
	servers       []*http.Server

	// startedAt is when the host was started, by Now.
	startedAt time.Duration
	fleetSize admitter.FleetSize

	retryBudgets lazyMap[admitter.WindowRetryBudget]
	latencies    lazyMap[admitter.StreamLimiters]
}

// Run serves requests until ctx ends, then stops gracefully. It returns an error if an address
// can't be opened, or if requests are still in flight when the stop times out.
func (h *Host) Run(ctx context.Context) error {
	h.build()
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	var wg sync.WaitGroup
	defer wg.Wait()
	callers, err := h.listen()
	if err != nil {
		return err
	}
	dutyCtx, cancelDuty := context.WithCancel(ctx)
	defer cancelDuty()
	wg.Go(func() { h.follower.Run(workCtx) })
	wg.Go(func() { h.forwarder.Watch(workCtx) })
	wg.Go(func() { h.registrar.Run(dutyCtx) })
	wg.Go(func() { h.orderer.Run(dutyCtx) })
	wg.Go(func() { h.sharer.Run(workCtx) })
	wg.Go(func() { h.archiver.Run(workCtx) })
	wg.Go(func() { h.pacer.Run(workCtx) })
	wg.Go(func() { h.runSweeps(workCtx) })
	h.Log.Info().Str("host", h.Settings.Host).Str("dataCentre", h.Settings.DataCentre).Bool("firstStart", h.Settings.FirstStart).Str("version", h.Version).Msg("launcher: started")
	<-ctx.Done()
	err = h.stop(callers)
	cancelWork()
	h.close()
	return err
}

// close closes the servers and the pooled connections after a stop.
func (h *Host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.Close()
	}
	h.pool.Close()
	h.sharer.HTTP.CloseIdleConnections()
}

// stop fails the readiness check and keeps serving for Settings.BalancerMs, so that the external
// load balancer notices. It then closes the listener for callers and waits for the requests in
// flight. Settings.StopMs bounds both steps together; shortly before, requests still in flight get their final response, on a host
// that is late up to finalResponseTimeout later.
func (h *Host) stop(callers *http.Server) error {
	h.Log.Info().Int64("inFlight", h.forwarder.InFlight()).Msg("launcher: stopping")
	h.forwarder.Stop(millis(h.Settings.StopMs))
	shutdownCtx, cancel := context.WithTimeout(context.Background(), millis(h.Settings.StopMs))
	defer cancel()
	select {
	case <-time.After(millis(h.Settings.BalancerMs)):
	case <-shutdownCtx.Done():
	}
	err := callers.Shutdown(shutdownCtx)
	h.awaitDelegated(shutdownCtx)
	if shutdownCtx.Err() != nil {
		err = h.awaitFinalResponses(callers)
	}
	inFlight := h.forwarder.InFlight()
	h.Log.Info().Int64("cut", inFlight).Msg("launcher: stopped")
	if err != nil && inFlight > 0 {
		return fmt.Errorf("stop timed out with %d requests in flight", inFlight)
	}
	return nil
}

// awaitFinalResponses waits for the final responses of a stop that has timed out.
func (h *Host) awaitFinalResponses(callers *http.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), finalResponseTimeout)
	defer cancel()
	err := callers.Shutdown(ctx)
	h.awaitDelegated(ctx)
	return err
}

// awaitDelegated waits until the requests that this host serves for others have ended, or ctx has.
func (h *Host) awaitDelegated(ctx context.Context) {
	for ctx.Err() == nil {
		if _, taken := h.forwarder.Delegator.InFlight(); taken == 0 {
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// build creates the parts of the host from its settings and connects them to each other.
func (h *Host) build() {
	cfg := h.Settings
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryLimitRatio * 1e6))
	}
	h.setDefaults()
	h.startedAt = h.Now()
	h.retryBudgets.New = h.newRetryBudget
	h.meter = meter.New(meter.LabelValues(admitter.ReasonValues()), meter.LabelValues(streamer.CauseValues()))
	for _, cause := range forwarder.CutCauses() {
		h.meter.StreamsCut.WithLabelValues(cause)
	}
	for _, finding := range assessor.FindingValues() {
		h.meter.UnansweredChecks.WithLabelValues(finding.String())
	}
	h.balancer = &balancer.Balancer{
		Host:       cfg.Host,
		DataCentre: cfg.DataCentre,
		Policy:     picker.Cheapest{Steepness: 2, Jitter: 0.1, PreferredFactor: 0.9},
		Rand:       rand.New(rand.NewPCG(h.Seed, 1)),
	}
	h.follower = &follower.Follower{Host: cfg.Host, Source: h.Source, Balancer: h.balancer, Now: h.Now, OnChange: h.updateHosts, HeartbeatInterval: millis(cfg.UpstreamHeartbeatMs), Log: h.Log}
	h.pool = &connector.Pool{Dial: h.Dial, Now: h.Now, RequestIDHeader: h.Headers.RequestID, OnDial: h.countConnection, OnSkipped: h.meter.ResponsesSkipped.Inc}
	suspects := new(tracker.Suspects)
	hostCount := func() int { return len(h.follower.Hosts()) + 1 }
	demands := &admitter.Demands{Hosts: hostCount}
	h.forwarder = &forwarder.Forwarder{
		Tables:         h.follower,
		Balancer:       h.balancer,
		Pool:           h.pool,
		Engines:        h.Engines,
		Headers:        h.Headers,
		RetryBudget:    h.retryBudgets.Get,
		StreamLimiters: h.latencies.Get,
		DivideCapacity: cfg.WorkspaceShares,
		Demands:        demands,
		RankReserve:    &admitter.RankReserve{MoreUrgent: demands.MoreUrgent, Hosts: hostCount},
		Suspects:       suspects,
		HostName:       cfg.Host,
		Delegator:      &delegator.Delegator{DataCentre: cfg.DataCentre, Hosts: h.respondingHosts},
		Detector:       detector.Detector{Upstreams: func() int { return h.balancer.SubsetSize(h.Now()) }},
		MemoryBytes:    int64(cfg.MemoryMB) * 1e6,
		Now:            h.Now,
		Meter:          h.meter,
		Log:            h.Log,
	}
	h.forwarder.Detector.Slowness = h.forwarder.Assessor.Slowness
	h.pool.OnDialed = h.forwarder.RecordDial
	i := &h.forwarder.Isolator
	i.Started, i.Rank = h.startedAt, h.rank
	i.OnIsolate, i.OnRelease, i.OnWithhold = h.handleIsolated, h.handleReleased, h.forwarder.LogWithheld
	h.archiver = &archiver.Archiver{Store: h.Store, Isolator: i, Suspects: suspects, Now: h.Now, Started: h.startedAt, Log: h.Log}
	h.archiver.Init()
	h.forwarder.KeepStrikes = h.archiver.KeepStrikes
	h.follower.OnLoad = func(ch *follower.Changes) { h.archiver.Load(ch.Parts) }
	h.forwarder.PartsKnown = func() bool { return cfg.FirstStart || h.archiver.Loaded() }
	suspects.WentDown, suspects.Explained = h.forwarder.WentDown, h.forwarder.ExplainsCrash
	if h.EngineTransport != nil {
		h.EngineTransport.Forwarder = h.forwarder
	}
	if cfg.RevokeMs > 0 {
		h.forwarder.MaxKeyAge = millis(cfg.RevokeMs) - revocationMargin
	}
	h.registrar = &registrar.Registrar{
		Store:          h.Store,
		Entry:          registrar.Entry{Name: cfg.Host, Address: cfg.Peer, DataCentre: cfg.DataCentre},
		Now:            h.Now,
		FreeDuties:     h.claimableDuties,
		DutiesDisabled: h.upstreamsLost,
		Hosts:          func() int { return len(h.follower.Hosts()) + 1 },
		Log:            h.Log,
	}
	if s, ok := h.Store.(storer.Restorable); ok {
		h.registrar.Era = s.Era
	}
	h.sharer = &sharer.Sharer{
		Self:       cfg.Host,
		DataCentre: cfg.DataCentre,
		Follower:   h.follower,
		Balancer:   h.balancer,
		Demands:    demands,
		Suspects:   suspects,
		Isolator:   &h.forwarder.Isolator,
		Now:        h.Now,
		HTTP:       h.peerClient(),
		Log:        h.Log,
	}
	h.follower.ReadsSource, h.follower.ReaderCount = h.sharer.ReadsSource, h.sharer.ReaderCount
	h.forwarder.LimitsKnown = h.sharer.KnowsLimits
	h.pacer = &pacer.Pacer{Balancer: h.balancer, Engines: h.Engines, Now: h.Now, Log: h.Log}
	h.exportMetrics()
	h.orderer = &orderer.Orderer{
		Balancer: h.balancer,
		Engines:  h.Engines,
		Services: h.services,
		Holds:    func(dataCentre string) bool { return !h.upstreamsLost() && h.registrar.Holding(dataCentre) },
		HoldsAny: func() bool { return !h.upstreamsLost() && h.registrar.HoldingAny() },
		Now:      h.Now,
		Log:      h.Log,
	}
}

func (h *Host) setDefaults() {
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

// updateHosts passes the data centres of the other hosts to the balancer, and their number to the retry
// budgets.
func (h *Host) updateHosts() {
	hosts := make(map[string]string)
	for _, other := range h.follower.Hosts() {
		hosts[other.Name] = other.DataCentre
	}
	h.balancer.SetHosts(hosts)
	h.observeFleetSize()
}

// respondingHosts returns the other hosts, without those that did not answer their last call.
func (h *Host) respondingHosts() []delegator.Host {
	var out []delegator.Host
	for _, other := range h.follower.Hosts() {
		if !h.sharer.IsUnresponsive(other.Name) {
			out = append(out, delegator.Host(other))
		}
	}
	return out
}

// upstreamsLost reports whether this host reaches no upstream.
func (h *Host) upstreamsLost() bool { return h.forwarder.Detector.State(h.Now()).Lost }

// handleIsolated withdraws requests with a part that was isolated, and stores what this host decided.
func (h *Host) handleIsolated(s isolator.State, learned bool) {
	h.forwarder.WithdrawIsolated(s, learned)
	if !learned && !s.Tentative {
		h.archiver.Changed(s)
	}
}

// handleReleased is the same for a part that is no longer isolated, or that other hosts should not have isolated. What
// this host has stored it removes also where another one ends the isolation.
func (h *Host) handleReleased(s isolator.State, learned bool) {
	h.forwarder.LogReleased(s, learned)
	if !learned || h.archiver.HasStored(s.Part) {
		h.archiver.Changed(s)
	}
}

// maxPeerResponseBytes bounds a response of another host, which may have the list of all upstreams.
const maxPeerResponseBytes = 16 << 20

// peerClient returns the client for exchanges with other hosts.
func (h *Host) peerClient() *http.Client {
	t := &http.Transport{DialContext: connector.DetectResets(h.Dial), MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: connector.MaxHeaderBytes}
	return &http.Client{Transport: &connector.BoundedTransport{Base: &connector.CheckedTransport{Base: t}, MaxBytes: maxPeerResponseBytes}}
}

// rank returns the number of other hosts whose names sort before that of this one.
func (h *Host) rank() int {
	n := 0
	for _, other := range h.follower.Hosts() {
		if other.Name < h.Settings.Host {
			n++
		}
	}
	return n
}

// hasLowestName reports whether the name of no other host sorts before that of this one.
func (h *Host) hasLowestName() bool { return h.rank() == 0 }

// takeoverDelay is how long a data centre must have had no host before a host of another data
// centre takes its duty, see claimableDuties. It is longer than a restart, and than a short period
// in which the store rejects a host.
const takeoverDelay = 1500 * time.Millisecond

// claimableDuties returns the data centres whose duty this host should take: its own, and, on the
// host with the lowest name, those that have upstreams and no host. Only the holder of a data
// centre's duty gives orders to its engines. Hosts prefer their own data centre, since they detect
// failures of its upstreams first.
func (h *Host) claimableDuties() []string {
	own := h.Settings.DataCentre
	hosted := map[string]bool{own: true}
	for _, other := range h.follower.Hosts() {
		hosted[other.DataCentre] = true
	}
	lowestName := h.hasLowestName()
	var out []string
	for _, dc := range append(h.balancer.DataCentres(), own) {
		holder, known := h.follower.Holder(dc)
		if hosted[dc] {
			h.unhostedSince.Delete(dc)
		}
		// The store names this host as the holder but it holds no lease: it was restarted.
		restarted := holder == h.Settings.Host && !h.registrar.Holding(dc)
		if !known || (holder != "" && !restarted) || slices.Contains(out, dc) {
			continue
		}
		if restarted {
			out = append(out, dc)
			continue
		}
		since, _ := h.unhostedSince.LoadOrStore(dc, h.Now())
		if dc == own || (lowestName && !hosted[dc] && h.Now()-since.(time.Duration) > takeoverDelay) {
			out = append(out, dc)
		}
	}
	return out
}

func (h *Host) services() map[string]*matcher.Service {
	if t := h.follower.Table(); t != nil {
		return t.Services
	}
	return nil
}

// newRetryBudget returns a retry budget for one service, with the limits of the settings.
func (h *Host) newRetryBudget() *admitter.WindowRetryBudget {
	return &admitter.WindowRetryBudget{
		Ratio:   h.Settings.RetryRatio,
		Length:  time.Duration(h.Settings.RetryWindowS) * time.Second,
		Fixed:   h.Settings.RetryFixed,
		Hosts:   func() int { return h.fleetSize.Max(h.Now()) },
		Started: h.startedAt, FirstStart: h.Settings.FirstStart,
	}
}

// observeFleetSize records how many hosts are known, by the list or by what hosts report.
func (h *Host) observeFleetSize() {
	h.fleetSize.Observe(h.Now(), max(len(h.follower.Hosts()), h.balancer.ReportedHosts(h.Now()))+1)
}

// runSweeps closes unusable connections, removes expired crash suspects, counts the hosts and exports the
// retry budgets until ctx ends.
func (h *Host) runSweeps(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			h.pool.CloseExpired()
			h.forwarder.Suspects.Sweep(time.Now())
			h.forwarder.Isolator.Sweep(h.Now())
			h.observeFleetSize()
			h.exportRetryBudgets()
		}
	}
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
