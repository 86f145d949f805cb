// Package runner wires the parts of one entry host and runs it from start to
// graceful stop. Programs and tests use the same wiring; tests hand in their
// own Listen and Dial.
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
	// buckets is how many hash ranges idempotency records are cut into. It is
	// the same on every host for ever, since a key's bucket follows from it.
	buckets = 64
	// retention is how long an idempotency record is kept at the least.
	retention = time.Hour
	// readers is how many hosts of a data centre read configuration from the
	// platform.
	readers = 3
	// retryRatio and retryBurst are the retry budget.
	retryRatio = 0.1
	retryBurst = 20
)

// Host is one entry host. The fields are set before Run.
type Host struct {
	Settings *loader.Settings
	Log      zerolog.Logger
	Checker  *checker.Checker
	// Listen and Dial reach the network; nil means the machine's own.
	Listen func(address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
	// Policy chooses routes; nil means the default.
	Policy picker.Policy
	// Seed makes choices repeatable; 0 draws one.
	Seed uint64

	gossip  *gossiper.Gossiper
	watch   *watcher.Watcher
	track   *tracker.Tracker
	susp    *tracker.Suspects
	admit   *admitter.Admitter[picker.Route]
	limits  *admitter.RateLimiter
	route   *router.Router
	stream  *streamer.Streamer
	dedup   *deduplicator.Deduplicator
	probe   *prober.Prober
	plan    *planner.Planner
	serve   *server.Server
	meter   *meter.Meter
	store   *storer.Client
	peerTLS *tls.Config
	// control counts bytes to and from other hosts.
	control atomic.Int64

	killed              chan struct{}
	buildOnce, killOnce sync.Once
	buildErr            error
	mu                  sync.Mutex
	clients             map[string]peer.Peer
	servers             []*http.Server
	conns               *http.Transport
	peerConns           *http.Transport
}

// Run answers until ctx ends, then stops gracefully. cut ends the stop early;
// nil never does. The error tells of an address that can't be listened on, or
// of requests that were cut off.
func (h *Host) Run(ctx context.Context, cut <-chan struct{}) error {
	if err := h.Build(); err != nil {
		return err
	}
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	defer endWork()
	orders, endOrders := context.WithCancel(ctx)
	defer endOrders()
	listeners, err := h.listen()
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	h.start(work, orders, &wg)
	h.answer(listeners, &wg)
	h.Log.Info().Str("host", h.Settings.Host).Str("dataCentre", h.Settings.DataCentre).Msg("runner: started")
	select {
	case <-ctx.Done():
		err = h.stop(cut)
	case <-h.killed:
	}
	endOrders()
	endWork()
	h.dedup.Stop()
	h.close()
	wg.Wait()
	return err
}

// Kill makes Run end at once and tell nobody, as a crash would.
func (h *Host) Kill() {
	h.killOnce.Do(func() { close(h.killed) })
}

func (h *Host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.servers {
		s.Close()
	}
	for _, t := range []*http.Transport{h.conns, h.peerConns} {
		if t != nil {
			t.CloseIdleConnections()
		}
	}
}

// stop is the graceful shutdown. First the host tells everybody, while it still
// takes what the balancer sends; then it refuses, and sees every open request
// to its end.
func (h *Host) stop(cut <-chan struct{}) error {
	h.Log.Info().Int64("inFlight", h.serve.InFlight()).Msg("runner: stopping")
	h.gossip.Leave()
	limit, cancel := context.WithTimeout(context.Background(), ms(h.Settings.Timing.StopMs))
	defer cancel()
	if cut != nil {
		go func() {
			select {
			case <-cut:
				cancel()
			case <-limit.Done():
			}
		}()
	}
	select {
	case <-time.After(ms(h.Settings.Timing.BalancerMs)):
	case <-limit.Done():
	}
	h.serve.Stop()
	left := h.serve.Wait(limit)
	if left > 0 {
		h.Log.Error().Int64("cut", left).Msg("runner: stop cut off requests")
		return fmt.Errorf("stop cut off %d requests", left)
	}
	h.drainConnections(limit)
	h.Checker.Assert(h.serve.InFlight() == 0, checker.InvariantGraceful, "", "stopped with %d in flight", h.serve.InFlight())
	h.settle(limit)
	h.Log.Info().Msg("runner: stopped")
	return nil
}

// drainConnections waits until what was answered is also written. A handler had
// ended, so nothing was in flight, and the listener was closed with all its
// connections; but the last chunk of a stream is written after its handler
// ends, and a caller's answer lacked it now and then.
func (h *Host) drainConnections(ctx context.Context) {
	h.mu.Lock()
	callers := h.servers[0]
	h.mu.Unlock()
	if err := callers.Shutdown(ctx); err != nil {
		h.Log.Warn().Err(err).Msg("runner: connections left open at the stop")
	}
}

// settle waits for outcomes to be recorded.
func (h *Host) settle(ctx context.Context) {
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
		h.Log.Warn().Int("calls", n).Msg("runner: stopped with outcomes not recorded; repeats of those calls will be told that the outcome is unknown")
	}
}

func (h *Host) start(work, orders context.Context, wg *sync.WaitGroup) {
	wg.Go(func() { h.gossip.Run(work) })
	wg.Go(func() { h.watch.Run(work) })
	wg.Go(func() { h.probe.Run(work) })
	wg.Go(func() { h.plan.Run(orders) })
	wg.Go(func() { h.housekeep(work) })
}

// housekeep does what is due once a second.
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
		list, own := h.limits.MeasureDemand(now)
		h.gossip.SetDemand(list, own)
		h.limits.SetShares(now, len(h.gossip.Live()), list, h.gossip.Demand(list))
		h.susp.Sweep(now)
		h.admit.WakeAll(now)
		const boundEvery = 5
		if n%boundEvery == 0 {
			h.measureBound(now)
		}
	}
}

func (h *Host) measureBound(now time.Time) {
	cfg := h.watch.Current()
	if cfg == nil {
		return
	}
	for _, p := range cfg.Pipelines {
		if b, err := h.track.ThroughputBound(now, p.Name, false); err == nil {
			h.meter.ThroughputBound.WithLabelValues(p.Name).Set(b)
		}
	}
}

type listening struct {
	server   *http.Server
	listener net.Listener
}

func (h *Host) listen() ([]listening, error) {
	cfg := h.Settings
	callerTLS, err := h.callerTLS()
	if err != nil {
		return nil, err
	}
	var out []listening
	for _, one := range []struct {
		address string
		tls     *tls.Config
		handler http.Handler
	}{
		{cfg.Callers.Listen, callerTLS, h.serve.Handler()},
		{cfg.Peer.Listen, h.peerTLS, h.peerHandler()},
		{cfg.Admin.Listen, nil, h.adminHandler()},
	} {
		l, err := h.Listen(one.address)
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", one.address, err)
		}
		if one.address == cfg.Peer.Listen {
			l = countedListener{l, &h.control}
		}
		if one.tls != nil {
			l = tls.NewListener(l, one.tls)
		}
		s := &http.Server{Handler: one.handler, ReadHeaderTimeout: ms(cfg.Limits.HeaderMs), MaxHeaderBytes: 64 << 10}
		out = append(out, listening{s, l})
	}
	return out, nil
}

func (h *Host) answer(all []listening, wg *sync.WaitGroup) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range all {
		h.servers = append(h.servers, one.server)
		wg.Go(func() {
			if err := one.server.Serve(one.listener); !errors.Is(err, http.ErrServerClosed) {
				h.Log.Error().Err(err).Msg("runner: listener ended")
			}
		})
	}
}

func (h *Host) apply(_ int64, cfg *builder.Configuration) {
	h.track.Configure(cfg)
	h.limits.Configure(time.Now(), len(h.gossip.Live()), cfg.Workspaces)
	h.serve.Configure(cfg)
	h.admit.WakeAll(time.Now())
	h.relearn()
}

// Ready reports whether the host can answer callers.
func (h *Host) Ready() bool {
	return !h.watch.Behind() && !h.leaving()
}

func (h *Host) leaving() bool {
	it := h.gossip.Get(peer.ItemKind_ITEM_KIND_HOST, h.Settings.Host)
	return it != nil && gossiper.StateOf(it) == gossiper.HostLeaving
}

// InFlight is how many requests are being answered.
func (h *Host) InFlight() int64 { return h.serve.InFlight() }

// isRefused reports whether nobody listens where a connection went.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func seeded(seed, stream uint64) *rand.Rand {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return rand.New(rand.NewPCG(seed, stream))
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
