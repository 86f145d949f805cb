// Package planner keeps each engine at the model, version and layers that the configuration
// wants it to hold.
//
// In each data centre one host does so, the one that holds the data centre's lease. It takes a
// fencing token, which is incremented by compare-and-swap at each change of holder, and sends it
// with every order. Engines that check it refuse a former holder. For the others, the holder
// checks its lease right before each order, waits for the longest pause of a process before its
// first one, and keeps comparing what they report with what is wanted, so that a stale order is
// undone.
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

// Target is what an engine holds or should hold: the layers First to Last, both included, of a
// version of a model.
type Target struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	First   int    `json:"first"`
	Last    int    `json:"last"`
}

// Order is a command to an engine to load a target.
type Order struct {
	// Fence is the fencing token of the holder.
	Fence  int64  `json:"fence"`
	Target Target `json:"target"`
}

// EngineClient sends orders to engines.
type EngineClient interface {
	// Loaded returns what an engine holds.
	Loaded(ctx context.Context, address string) (Target, error)
	// Order sends an order. It returns ErrFenced if the engine has seen a higher fencing token.
	Order(ctx context.Context, address string, o Order) error
}

// ErrFenced means that an engine refused a stale fencing token.
var ErrFenced = errors.New("planner: order refused: fencing token is stale")

var errLeaseHeld = errors.New("planner: another host holds the lease")

// Planner gives orders for one data centre. The fields up to Log are set before Run.
type Planner struct {
	Store      storer.Store
	Engines    EngineClient
	Host       string
	DataCentre string
	// LeaseTTL is the time to live of the lease. MaxPause is the longest pause of a process
	// that the planner guards against.
	LeaseTTL, MaxPause time.Duration
	// Candidate reports whether this host is among the few of its data centre that try for
	// the lease; nil means it is. If all hosts tried, the calls to the platform would grow
	// with the fleet.
	Candidate func() bool
	// Assignments returns the engines of this data centre and what each of them should hold.
	Assignments func() []Assignment
	// MayLoad reports whether an engine may go out of service to load now. It is called
	// before an order to an engine that does not hold its target.
	MayLoad func(upstream string) bool
	// LoadSpacing returns how long to wait after a load of t, so that the loads stay within the
	// rate of the weight store.
	LoadSpacing func(t Target) time.Duration
	Checker     *checker.Checker
	Log         zerolog.Logger
	// Orders counts the orders given.
	Orders atomic.Int64
	// FencedOrders counts the orders refused for a stale fencing token.
	FencedOrders atomic.Int64

	holding atomic.Bool
}

// Assignment is an engine and its target. ChecksFence is set if the engine refuses stale fencing
// tokens.
type Assignment struct {
	Upstream    builder.Upstream
	Target      Target
	ChecksFence bool
}

// Holding reports whether this host holds the lease, and so gives the orders.
func (p *Planner) Holding() bool { return p.holding.Load() }

// term is one period in which this host holds the lease.
type term struct {
	lease int64
	fence int64
	// expiresAt is the earliest time at which the lease may expire, on the monotonic clock.
	// It counts from before the call that extended the lease.
	expiresAt time.Time
	// unfencedAfter is the time before which engines that do not check the fencing token get
	// no orders.
	unfencedAfter time.Time
}

// Run tries to acquire the lease, and gives orders while it holds it, until ctx ends.
func (p *Planner) Run(ctx context.Context) {
	for ctx.Err() == nil {
		t, err := p.acquire(ctx)
		if err == nil {
			p.holding.Store(true)
			p.Log.Info().Int64("fence", t.fence).Msg("planner: lease acquired")
			p.holdLease(ctx, t)
			p.holding.Store(false)
		}
		sleep(ctx, p.LeaseTTL/2)
	}
}

func (p *Planner) leaseKey() string { return "orders/" + p.DataCentre + "/holder" }
func (p *Planner) fenceKey() string { return "orders/" + p.DataCentre + "/fence" }

// acquire acquires the lease, and then a fencing token. If the response to a call is lost, the
// lease expires by itself.
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
	lease, err := p.Store.Grant(ctx, p.LeaseTTL)
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
		expiresAt: start.Add(p.LeaseTTL),
		// The previous holder may have been paused right after it checked its lease, and then
		// gives one more order when it resumes. It checks its lease again within MaxPause.
		// Until then, engines that would not refuse its order get none from this host.
		unfencedAfter: start.Add(p.LeaseTTL + p.MaxPause),
	}, nil
}

// incrementFence increments the stored fencing token by compare-and-swap, and returns it.
func (p *Planner) incrementFence(ctx context.Context) (int64, error) {
	e, err := p.Store.Get(ctx, p.fenceKey())
	var old int64
	switch {
	case errors.Is(err, storer.ErrNotFound):
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(e.Value, &old); err != nil {
			return 0, fmt.Errorf("decoding fencing token: %w", err)
		}
	}
	next := old + 1
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encoding fencing token: %w", err)
	}
	_, err = p.Store.Swap(ctx, storer.Write{Key: p.fenceKey(), Value: value, Expect: e.Revision})
	return next, err
}

// holdLease extends the lease and gives orders until either fails.
func (p *Planner) holdLease(ctx context.Context, t *term) {
	defer p.revoke(ctx, t.lease)
	limiter := rate.NewLimiter(rate.Every(p.LeaseTTL/4), 1)
	for limiter.Wait(ctx) == nil {
		if !p.extendLease(ctx, t) {
			p.Log.Warn().Int64("fence", t.fence).Msg("planner: lease lost")
			return
		}
		if err := p.reconcile(ctx, t); err != nil {
			p.Log.Warn().Err(err).Msg("planner: lease given up")
			return
		}
	}
}

// revoke revokes a lease. If that fails, the lease expires by itself.
func (p *Planner) revoke(ctx context.Context, lease int64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.LeaseTTL)
	defer cancel()
	if err := p.Store.Revoke(ctx, lease); err != nil {
		p.Log.Debug().Err(err).Msg("planner: lease not revoked, it will expire")
	}
}

// extendLease extends the lease and reports whether it is still held. After an error that does
// not say that the lease is gone, it counts as held until it may have expired.
func (p *Planner) extendLease(ctx context.Context, t *term) bool {
	start := time.Now()
	err := p.Store.KeepAlive(ctx, t.lease)
	if err == nil {
		t.expiresAt = start.Add(p.LeaseTTL)
		return true
	}
	return !errors.Is(err, storer.ErrLease) && t.leaseValid()
}

// leaseValid reports whether the lease has certainly not expired.
func (t *term) leaseValid() bool { return time.Now().Before(t.expiresAt) }

// reconcile gives an order to each engine that does not hold its target.
func (p *Planner) reconcile(ctx context.Context, t *term) error {
	for _, w := range p.Assignments() {
		if !t.leaseValid() {
			return nil
		}
		if !w.ChecksFence && time.Now().Before(t.unfencedAfter) {
			continue
		}
		loaded, err := p.Engines.Loaded(ctx, w.Upstream.Address)
		if err != nil || loaded == w.Target || !p.MayLoad(w.Upstream.Name) {
			continue
		}
		if err := p.sendOrder(ctx, t, w); err != nil {
			return err
		}
		if !p.waitSpacing(ctx, t, p.LoadSpacing(w.Target)) {
			return nil
		}
	}
	return nil
}

// sendOrder gives one order. It returns an error only if this host no longer holds the lease.
func (p *Planner) sendOrder(ctx context.Context, t *term, w Assignment) error {
	// A host that was paused past its lease (SIGSTOP, a long garbage collection) resumed in the
	// belief that it still held the lease, and two hosts loaded different versions into one
	// engine. So the clock is read right before the call, and the call times out when the
	// lease expires.
	if !t.leaseValid() {
		return errors.New("lease expired before the order was sent")
	}
	ctx, cancel := context.WithDeadline(ctx, t.expiresAt)
	defer cancel()
	p.Checker.Assert(t.leaseValid(), checker.InvariantOrder, "", "order with fencing token %d after the lease expired", t.fence)
	err := p.Engines.Order(ctx, w.Upstream.Address, Order{Fence: t.fence, Target: w.Target})
	if errors.Is(err, ErrFenced) {
		p.FencedOrders.Add(1)
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

// waitSpacing waits for d between loads and extends the lease meanwhile. It reports whether the
// lease is still held and ctx has not ended.
func (p *Planner) waitSpacing(ctx context.Context, t *term, d time.Duration) bool {
	end := time.Now().Add(d)
	for time.Now().Before(end) && ctx.Err() == nil {
		sleep(ctx, min(time.Until(end), p.LeaseTTL/4))
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
