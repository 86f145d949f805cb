// Package planner keeps engines at what the configuration wants of them: which
// model, version and layers each holds.
//
// One host a data centre does so, the one that holds the data centre's lease.
// It takes a fencing number, raised by compare-and-swap at each change of
// holder, and sends it with every order. Engines that check it refuse an old
// holder; for the others the holder checks its lease just before each order,
// waits out the longest pause before its first, and goes on comparing what they
// report with what is wanted, so that a stale order is undone.
package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/storer"
)

// Target is what an engine is to hold, or holds.
type Target struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
}

// Order tells an engine to load a target.
type Order struct {
	// Fence is the fencing number of the holder.
	Fence  int64  `json:"fence"`
	Target Target `json:"target"`
}

// Orderer is the seam to engines.
type Orderer interface {
	// Loaded returns what an engine holds.
	Loaded(ctx context.Context, address string) (Target, error)
	// Order returns ErrFenced when the engine has seen a higher number.
	Order(ctx context.Context, address string, o Order) error
}

// ErrFenced means an engine refused an old fencing number.
var ErrFenced = errors.New("planner: fencing number is old")

var errLeaseHeld = errors.New("planner: another host holds the lease")

// Planner gives orders for one data centre. The fields are set before Run.
type Planner struct {
	Store      storer.Store
	Engines    Orderer
	Host       string
	DataCentre string
	// Lease is the time to live of the lease, Pause the longest pause of a
	// process that is guarded against.
	Lease, Pause time.Duration
	// Candidate reports whether this host is among the few of its data centre
	// that try for the lease; nil means yes. If all hosts tried, the calls on
	// the platform would grow with the fleet.
	Candidate func() bool
	// Wanted returns the engines of this data centre and what each is to hold.
	Wanted func() []Wish
	// Serving reports whether an engine may be taken out for loading now; it
	// is called before an order to one that holds something else.
	Serving func(upstream string) bool
	// Spacing returns the pause that the weight store's rate asks for after a
	// load of that many layers of a model.
	Spacing func(t Target) time.Duration
	Checker *checker.Checker
	Log     zerolog.Logger
	// Orders counts orders given.
	Orders atomic.Int64
	// Fenced counts orders refused for their fencing number.
	Fenced atomic.Int64

	holding atomic.Bool
}

// Wish is an engine and what it is to hold.
type Wish struct {
	Upstream    builder.Upstream
	Target      Target
	ChecksFence bool
}

// Holding reports whether this host gives the orders now.
func (p *Planner) Holding() bool { return p.holding.Load() }

// term is one holding of the lease.
type term struct {
	lease int64
	fence int64
	// expiresAt is when the lease lapses at the earliest, on the monotonic clock:
	// counted from before the call that prolonged it.
	expiresAt time.Time
	// unfencedAfter is until when orders that aren't fenced must wait.
	unfencedAfter time.Time
}

// Run tries for the lease, and gives orders while it is held, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := p.acquire(ctx)
		if err == nil {
			p.holding.Store(true)
			p.Log.Info().Int64("fence", t.fence).Msg("planner: holding the lease")
			p.holdLease(ctx, t)
			p.holding.Store(false)
		}
		sleep(ctx, p.Lease/2)
	}
}

func (p *Planner) leaseKey() string { return "orders/" + p.DataCentre + "/holder" }
func (p *Planner) fenceKey() string { return "orders/" + p.DataCentre + "/fence" }

// acquire takes the lease, then the fencing number. An answer lost on the way
// leaves a lease that lapses by itself.
func (p *Planner) acquire(ctx context.Context) (*term, error) {
	if p.Candidate != nil && !p.Candidate() {
		return nil, errLeaseHeld
	}
	if _, err := p.Store.Get(ctx, p.leaseKey()); err == nil {
		return nil, errLeaseHeld
	} else if !errors.Is(err, storer.ErrNotFound) {
		return nil, err
	}
	start := time.Now()
	lease, err := p.Store.Grant(ctx, p.Lease)
	if err != nil {
		return nil, err
	}
	if _, err := p.Store.Swap(ctx, storer.Write{Key: p.leaseKey(), Value: []byte(p.Host), Lease: lease}); err != nil {
		p.revoke(ctx, lease)
		return nil, err
	}
	fence, err := p.incrementFence(ctx)
	if err != nil {
		p.revoke(ctx, lease)
		return nil, err
	}
	return &term{
		lease:     lease,
		fence:     fence,
		expiresAt: start.Add(p.Lease),
		// The holder before was paused after its last look at its lease, and
		// wakes to give one more order. It looks again within its pause; until
		// then this host gives no order that the engine wouldn't refuse to it.
		unfencedAfter: start.Add(p.Lease + p.Pause),
	}, nil
}

func (p *Planner) incrementFence(ctx context.Context) (int64, error) {
	e, err := p.Store.Get(ctx, p.fenceKey())
	var old int64
	switch {
	case errors.Is(err, storer.ErrNotFound):
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(e.Value, &old); err != nil {
			return 0, fmt.Errorf("decoding fencing number: %w", err)
		}
	}
	next := old + 1
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encoding fencing number: %w", err)
	}
	_, err = p.Store.Swap(ctx, storer.Write{Key: p.fenceKey(), Value: value, Expect: e.Revision})
	return next, err
}

// holdLease gives orders and keeps the lease alive until either fails.
func (p *Planner) holdLease(ctx context.Context, t *term) {
	defer p.revoke(ctx, t.lease)
	limiter := rate.NewLimiter(rate.Every(p.Lease/4), 1)
	for limiter.Wait(ctx) == nil {
		if !p.extendLease(ctx, t) {
			p.Log.Warn().Int64("fence", t.fence).Msg("planner: lease lost")
			return
		}
		if err := p.reconcile(ctx, t); err != nil {
			p.Log.Warn().Err(err).Msg("planner: gave up holding")
			return
		}
	}
}

// revoke gives a lease back; one that can't be lapses by itself.
func (p *Planner) revoke(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.Lease)
	defer cancel()
	if err := p.Store.Revoke(ctx, lease); err != nil {
		p.Log.Debug().Err(err).Msg("planner: lease left to lapse")
	}
}

func (p *Planner) extendLease(ctx context.Context, t *term) bool {
	start := time.Now()
	err := p.Store.KeepAlive(ctx, t.lease)
	if err == nil {
		t.expiresAt = start.Add(p.Lease)
		return true
	}
	return !errors.Is(err, storer.ErrLease) && t.leaseValid()
}

// leaseValid reports whether the lease surely has not lapsed.
func (t *term) leaseValid() bool { return time.Now().Before(t.expiresAt) }

// reconcile orders each engine that holds something else than wanted.
func (p *Planner) reconcile(ctx context.Context, t *term) error {
	for _, w := range p.Wanted() {
		if !t.leaseValid() {
			return nil
		}
		if !w.ChecksFence && time.Now().Before(t.unfencedAfter) {
			continue
		}
		loaded, err := p.Engines.Loaded(ctx, w.Upstream.Address)
		if err != nil || loaded == w.Target || !p.Serving(w.Upstream.Name) {
			continue
		}
		if err := p.sendOrder(ctx, t, w); err != nil {
			return err
		}
		if !p.waitSpacing(ctx, t, p.Spacing(w.Target)) {
			return nil
		}
	}
	return nil
}

// sendOrder gives one order.
func (p *Planner) sendOrder(ctx context.Context, t *term, w Wish) error {
	// A host was paused (SIGSTOP, a long collection) past its lease and woke up
	// believing it still led; two hosts loaded different versions into one
	// engine. The clock is read right before the write, and the write is given
	// no longer than what is left.
	if !t.leaseValid() {
		return errors.New("lease lapsed before an order")
	}
	ctx, cancel := context.WithDeadline(ctx, t.expiresAt)
	defer cancel()
	p.Checker.Assert(t.leaseValid(), checker.InvariantOrder, "", "order with fence %d after the lease", t.fence)
	err := p.Engines.Order(ctx, w.Upstream.Address, Order{Fence: t.fence, Target: w.Target})
	if errors.Is(err, ErrFenced) {
		p.Fenced.Add(1)
		return err
	}
	if err != nil {
		p.Log.Info().Str("upstream", w.Upstream.Name).Err(err).Msg("planner: order failed")
		return nil
	}
	p.Orders.Add(1)
	p.Log.Info().Str("upstream", w.Upstream.Name).Str("version", w.Target.Version).Int64("fence", t.fence).Msg("planner: order given")
	return nil
}

// waitSpacing waits between loads, keeping the lease alive.
func (p *Planner) waitSpacing(ctx context.Context, t *term, d time.Duration) bool {
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, min(time.Until(end), p.Lease/4))
		if !p.extendLease(ctx, t) {
			return false
		}
	}
	return ctx.Err() == nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
