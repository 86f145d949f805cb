// Package runner assembles one entry host and runs it from start to graceful stop. Programs and
// tests share this wiring; tests supply their own Listen and Dial.
package runner

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/deduplicator"
	"github.com/sardineward/sardineward/gossiper"
	"github.com/sardineward/sardineward/loader"
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

const (
	// idempotencyBuckets is the number of hash ranges that idempotency records are divided into.
	// It must be the same on every host and never change, since a key's bucket is derived from
	// it.
	idempotencyBuckets = 64
	// idempotencyRetention is the minimum time that an idempotency record is kept.
	idempotencyRetention = time.Hour
	// ownersPerDataCentre is the number of hosts of a data centre that read the configuration
	// from the platform, and of those that are candidates for the lease on orders.
	ownersPerDataCentre = 3
	// retryRatio is the number of retries that each success earns, and retryBurst the number that
	// can be saved up.
	retryRatio = 0.1
	retryBurst = 20
)

// Host is one entry host. Its exported fields are set before Build or Run.
type Host struct {
	Settings *loader.Settings
	Log      zerolog.Logger
	Checker  *checker.Checker
	// Listen and Dial open network connections; nil means the standard network stack.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Policy chooses routes; nil means DefaultPolicy.
	Policy picker.Policy
	// Seed seeds random choices, so that tests are repeatable; 0 means a random seed.
	Seed uint64

	gossip          *gossiper.Gossiper
	configWatcher   *watcher.Watcher
	upstreamTracker *tracker.Tracker
	suspects        *tracker.Suspects
	admission       *admitter.Admitter[picker.Route]
	limits          *admitter.RateLimiter
	requestRouter   *router.Router
	tokenStreamer   *streamer.Streamer
	dedup           *deduplicator.Deduplicator
	upstreamProber  *prober.Prober
	orderPlanner    *planner.Planner
	apiServer       *server.Server
	meter           *meter.Meter
	store           *storer.Client
	peerTLS         *tls.Config
	// controlBytes counts the bytes sent to and received from other hosts.
	controlBytes atomic.Int64

	killed              chan struct{}
	buildOnce, killOnce sync.Once
	buildErr            error
	mu                  sync.Mutex
	clients             map[string]peer.Peer
	servers             []*http.Server
	sharedTransport     *http.Transport
	peerTransport       *http.Transport
}

// Run serves requests until ctx ends, then stops gracefully. Closing cut ends the graceful stop
// early; a nil cut never does. Run returns an error when an address can't be listened on or when
// the stop cut off requests.
func (h *Host) Run(ctx context.Context, cut <-chan struct{}) error {
	if err := h.Build(); err != nil {
		return err
	}
	workCtx, cancelWork := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelWork()
	ordersCtx, cancelOrders := context.WithCancel(ctx)
	defer cancelOrders()
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	h.startLoops(workCtx, ordersCtx, &wg)
	h.serveAll(listeners, &wg)
	h.Log.Info().Str("host", h.Settings.Host).Str("dataCentre", h.Settings.DataCentre).Msg("runner: started")
	select {
	case <-ctx.Done():
		err = h.stop(cut)
	case <-h.killed:
	}
	cancelOrders()
	cancelWork()
	h.dedup.Stop()
	h.close()
	wg.Wait()
	return err
}

// Kill makes Run return at once without a graceful stop and without notifying other hosts, as a
// crash does.
func (h *Host) Kill() {
	h.killOnce.Do(func() { close(h.killed) })
}

func (h *Host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.Close()
	}
	for _, t := range []*http.Transport{h.sharedTransport, h.peerTransport} {
		if t != nil {
			t.CloseIdleConnections()
		}
	}
}

// stop shuts the host down gracefully. It first announces the stop and still accepts requests
// while the balancer may send them; then it refuses new requests and waits for the open ones.
func (h *Host) stop(cut <-chan struct{}) error {
	h.Log.Info().Int64("inFlight", h.apiServer.InFlight()).Msg("runner: stopping")
	h.gossip.Leave()
	stopCtx, cancel := context.WithTimeout(context.Background(), ms(h.Settings.Timing.StopMs))
	defer cancel()
	if cut != nil {
		go func() {
			select {
			case <-cut:
				cancel()
			case <-stopCtx.Done():
			}
		}()
	}
	select {
	case <-time.After(ms(h.Settings.Timing.BalancerMs)):
	case <-stopCtx.Done():
	}
	h.apiServer.Stop()
	left := h.apiServer.Wait(stopCtx)
	if left > 0 {
		h.Log.Error().Int64("cut", left).Msg("runner: stop cut off requests")
		return fmt.Errorf("stop cut off %d requests", left)
	}
	h.drainConnections(stopCtx)
	h.Checker.Assert(h.apiServer.InFlight() == 0, checker.InvariantGraceful, "", "stopped with %d in flight", h.apiServer.InFlight())
	h.waitForOutcomes(stopCtx)
	h.Log.Info().Msg("runner: stopped")
	return nil
}

// drainConnections waits until all answers are written to their connections. The last chunk of a
// stream is written after its handler has returned, so closing the server once no request is in
// flight could truncate that answer.
func (h *Host) drainConnections(ctx context.Context) {
	h.mu.Lock()
	callerServer := h.servers[0]
	h.mu.Unlock()
	if err := callerServer.Shutdown(ctx); err != nil {
		h.Log.Warn().Err(err).Msg("runner: caller connections still open after the stop")
	}
}

// waitForOutcomes waits until the outcomes of all calls are recorded or ctx ends.
func (h *Host) waitForOutcomes(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		h.dedup.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	if n := h.dedup.Pending(); n > 0 {
		h.Log.Warn().Int("calls", n).Msg("runner: stopped with unrecorded outcomes; repeats of those calls are refused with an unknown outcome")
	}
}

// startLoops starts the background work of the host. Orders to engines end with ordersCtx, when the
// graceful stop begins; all other work ends with workCtx, when the stop is complete.
func (h *Host) startLoops(workCtx, ordersCtx context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { h.gossip.Run(workCtx) })
	wg.Go(func() { h.configWatcher.Run(workCtx) })
	wg.Go(func() { h.upstreamProber.Run(workCtx) })
	wg.Go(func() { h.orderPlanner.Run(ordersCtx) })
	wg.Go(func() { h.housekeep(workCtx) })
}

// housekeep runs the periodic work of the host, once a second.
func (h *Host) housekeep(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		demands, ownDemand := h.limits.MeasureDemand(now)
		h.gossip.SetDemand(demands, ownDemand)
		h.limits.SetShares(now, len(h.gossip.Live()), demands, h.gossip.Demand(demands))
		h.suspects.Sweep(now)
		h.admission.WakeAll(now)
		const boundEveryTicks = 5
		if n%boundEveryTicks == 0 {
			h.exportThroughputBounds(now)
		}
	}
}

func (h *Host) exportThroughputBounds(now time.Time) {
	cfg := h.configWatcher.Current()
	if cfg == nil {
		return
	}
	for _, p := range cfg.Pipelines {
		if b, err := h.upstreamTracker.ThroughputBound(now, p.Name, false); err == nil {
			h.meter.ThroughputBound.WithLabelValues(p.Name).Set(b)
		}
	}
}

// boundServer is an HTTP server and the open listener that it will serve.
type boundServer struct {
	server   *http.Server
	listener net.Listener
}

func (h *Host) listen() ([]boundServer, error) {
	cfg := h.Settings
	callerTLS, err := h.callerTLS()
	if err != nil {
		return nil, err
	}
	var out []boundServer
	for _, endpoint := range []struct {
		address string
		tls     *tls.Config
		handler http.Handler
	}{
		{cfg.Callers.Listen, callerTLS, h.apiServer.Handler()},
		{cfg.Peer.Listen, h.peerTLS, h.peerHandler()},
		{cfg.Admin.Listen, nil, h.adminHandler()},
	} {
		l, err := h.Listen(endpoint.address)
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", endpoint.address, err)
		}
		if endpoint.address == cfg.Peer.Listen {
			l = countingListener{l, &h.controlBytes}
		}
		if endpoint.tls != nil {
			l = tls.NewListener(l, endpoint.tls)
		}
		s := &http.Server{Handler: endpoint.handler, ReadHeaderTimeout: ms(cfg.Limits.HeaderMs), MaxHeaderBytes: 64 << 10}
		out = append(out, boundServer{s, l})
	}
	return out, nil
}

func (h *Host) serveAll(all []boundServer, wg *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, bound := range all {
		h.servers = append(h.servers, bound.server)
		wg.Go(func() {
			if err := bound.server.Serve(bound.listener); !errors.Is(err, http.ErrServerClosed) {
				h.Log.Error().Err(err).Msg("runner: listener failed")
			}
		})
	}
}

func (h *Host) applyConfiguration(_ int64, cfg *builder.Configuration) {
	h.upstreamTracker.Configure(cfg)
	h.limits.Configure(time.Now(), len(h.gossip.Live()), cfg.Workspaces)
	h.apiServer.Configure(cfg)
	h.admission.WakeAll(time.Now())
	h.reapplyGossip()
}

// Ready reports whether the host can serve callers: it has the newest configuration that it knows
// of and isn't leaving.
func (h *Host) Ready() bool {
	return !h.configWatcher.Behind() && !h.leaving()
}

func (h *Host) leaving() bool {
	it := h.gossip.Get(peer.ItemKind_ITEM_KIND_HOST, h.Settings.Host)
	return it != nil && gossiper.StateOf(it) == gossiper.HostLeaving
}

// InFlight returns the number of requests being answered.
func (h *Host) InFlight() int64 { return h.apiServer.InFlight() }

// isConnectionRefused reports whether err means that nothing listens at the dialled address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func newRand(seed, stream uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, stream))
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
