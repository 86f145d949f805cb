// Package deduplicator runs calls that are not idempotent at most once.
//
// Before a call is dispatched its record is put into the platform by
// compare-and-swap; the record's nonce is what the dispatch goes out under. A
// repeat finds the record and gets the recorded outcome, or is told that the
// call is running or that its outcome is not known. Safety stands in the
// compare-and-swap alone; which host writes a record only matters for speed.
package deduplicator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/storer"
)

var (
	// ErrUnsettled means the record could not be written in time; the call was
	// not run and never will be under its nonce.
	ErrUnsettled = errors.New("deduplicator: platform did not answer in time")
	// ErrNotDispatched means that no byte was sent, and none will be.
	ErrNotDispatched = errors.New("deduplicator: not dispatched")
	// ErrKeyReused means the key came before with another request.
	ErrKeyReused = errors.New("deduplicator: key used for another request")
	// ErrRunning means the call is running now.
	ErrRunning = errors.New("deduplicator: call is running")
	// ErrUnknown means the call may have run, and is never run again.
	ErrUnknown = errors.New("deduplicator: outcome unknown")
)

// inlineBytes is the largest body kept in the record itself; a larger one gets
// a key of its own.
const inlineBytes = 1 << 10

// Asker asks the host that wrote a record what became of it.
type Asker interface {
	// Ask returns an error when the host can't be reached, or is not the one
	// that claimed: the outcome is unknown then.
	Ask(ctx context.Context, rec Record) (running, abandoned bool, err error)
}

// Dispatch sends the call once. sent is false only when no upstream was sent
// any byte. known is false when it was sent and the answer did not come whole.
type Dispatch func(ctx context.Context) (out Outcome, sent, known bool)

// Call is one request that is not idempotent.
type Call struct {
	RequestID string
	// Key is a hash of workspace, service, call and idempotency key.
	Key string
	// Digest is a hash of the whole request.
	Digest string
}

// Deduplicator is safe for concurrent use. The fields are set before Start.
type Deduplicator struct {
	Store storer.Store
	// Host and Incarnation name this process in records, Address is where other
	// hosts ask it.
	Host        string
	Incarnation int64
	Address     string
	Asker       Asker
	Checker     *checker.Checker
	Log         zerolog.Logger
	// Buckets is how many hash ranges there are; the same on every host.
	Buckets int
	// Retention is how long a record is kept at the least.
	Retention time.Duration
	// Patience is how long a caller waits for a record to be written.
	Patience time.Duration
	// Clock is this host's wall clock, which may be wrong; nil means time.Now.
	// Only the expiry of records goes by it.
	Clock func() time.Time

	buckets []*bucket
	mu      sync.Mutex
	// live holds the nonces of this process that may yet be dispatched, were
	// dispatched, or whose outcome isn't recorded.
	live map[string]bool
	wg   sync.WaitGroup
	done chan struct{}
}

// Start makes the buckets; call it before any other method.
func (d *Deduplicator) Start() {
	d.live = make(map[string]bool)
	d.done = make(chan struct{})
	if d.Clock == nil {
		d.Clock = time.Now
	}
	for i := range d.Buckets {
		d.buckets = append(d.buckets, &bucket{d: d, id: i})
	}
}

// Pending is how many calls of this process have no recorded outcome yet.
func (d *Deduplicator) Pending() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.live)
}

// Wait blocks until every outcome of this process is recorded or given up on.
func (d *Deduplicator) Wait() { d.wg.Wait() }

// Stop gives up what is not recorded yet; repeats of those calls will be told
// that the outcome is unknown.
func (d *Deduplicator) Stop() { close(d.done) }

func (d *Deduplicator) stopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// sleep waits, or ends early at Stop.
func (d *Deduplicator) sleep(t time.Duration) {
	select {
	case <-d.done:
	case <-time.After(t):
	}
}

// Do runs a call, or returns the recorded outcome of an earlier run. ran is
// false when this call sent no byte.
func (d *Deduplicator) Do(ctx context.Context, c Call, dispatch Dispatch) (out Outcome, ran bool, err error) {
	nonce := rand.Text()
	d.hold(nonce)
	rec, running, err := d.claim(ctx, c, nonce)
	if err != nil || rec.Nonce != nonce {
		// Whether or not the record got written, this nonce is never dispatched;
		// once it isn't live, a repeat that asks is told so and takes over.
		d.drop(nonce)
		if err != nil {
			return Outcome{}, false, fmt.Errorf("%w: %w", ErrUnsettled, err)
		}
		out, err = d.replay(ctx, c, rec, running)
		return out, false, err
	}
	return d.dispatch(ctx, c, rec, dispatch)
}

// claim returns the record that holds the key. It has the nonce when this call
// may be dispatched. running tells that the host which claimed it says it runs.
func (d *Deduplicator) claim(ctx context.Context, c Call, nonce string) (rec Record, running bool, err error) {
	takeOver := ""
	for {
		rec, err = d.insert(ctx, c, nonce, takeOver)
		if err != nil || rec.Nonce == nonce || rec.State != StateClaimed || rec.Digest != c.Digest {
			return rec, false, err
		}
		running, abandoned := d.ask(ctx, rec)
		if !abandoned {
			return rec, running, nil
		}
		takeOver = rec.Nonce
	}
}

func (d *Deduplicator) insert(ctx context.Context, c Call, nonce, takeOver string) (Record, error) {
	mine := &Record{Key: c.Key, Digest: c.Digest, Nonce: nonce, Host: d.Host, Incarnation: d.Incarnation, Address: d.Address}
	op := &operation{key: c.Key, apply: func(old *Record) *Record {
		switch {
		case old == nil, old.Nonce == takeOver && old.State == StateClaimed:
			return mine
		case old.State == StateAbandoned && old.Digest == c.Digest:
			return mine
		default:
			return old
		}
	}}
	err := d.bucketOf(c.Key).submit(ctx, op)
	return op.result, err
}

// ask is Answer of the host that wrote a record. One that can't be asked says
// neither.
func (d *Deduplicator) ask(ctx context.Context, rec Record) (running, abandoned bool) {
	if rec.Host == d.Host {
		return d.Answer(rec.Incarnation, rec.Nonce)
	}
	running, abandoned, err := d.Asker.Ask(ctx, rec)
	if err != nil {
		d.Log.Info().Str("host", rec.Host).Err(err).Msg("deduplicator: host of a record can't be asked")
		return false, false
	}
	return running, abandoned
}

// Answer tells another host what became of a nonce of this one. A nonce that
// isn't live was never dispatched, or its outcome is recorded; the asker then
// takes the record over by compare-and-swap, which fails in the latter case.
func (d *Deduplicator) Answer(incarnation int64, nonce string) (running, abandoned bool) {
	if incarnation != d.Incarnation {
		return false, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	running = d.live[nonce]
	return running, !running
}

// replay answers a repeat from the record of the first.
func (d *Deduplicator) replay(ctx context.Context, c Call, rec Record, running bool) (Outcome, error) {
	if rec.Digest != c.Digest {
		return Outcome{}, ErrKeyReused
	}
	switch rec.State {
	case StateDone:
		return d.outcome(ctx, rec)
	case StateUnknown:
		return Outcome{}, ErrUnknown
	case StateClaimed, StateAbandoned:
	}
	if running {
		return Outcome{}, ErrRunning
	}
	return Outcome{}, ErrUnknown
}

func (d *Deduplicator) outcome(ctx context.Context, rec Record) (Outcome, error) {
	out := *rec.Outcome
	if out.Body != nil || !out.Apart {
		return out, nil
	}
	e, err := d.Store.Get(ctx, outcomeKey(rec.Nonce))
	if errors.Is(err, storer.ErrNotFound) {
		return out, ErrUnknown
	}
	if err != nil {
		return out, ErrRunning
	}
	out.Body = e.Value
	return out, nil
}

func (d *Deduplicator) dispatch(ctx context.Context, c Call, rec Record, send Dispatch) (Outcome, bool, error) {
	// A host was paused between its claim and its dispatch, for as long as the
	// caller's deadline and more. The caller has gone to another host, which
	// can't ask this one; so what was not sent in time is not sent at all.
	if ctx.Err() != nil {
		d.finish(rec, StateAbandoned, nil)
		return Outcome{}, false, ErrUnsettled
	}
	d.Checker.Assert(d.isLive(rec.Nonce), checker.InvariantAtMostOnce, c.RequestID, "dispatch under nonce %s that was given up", rec.Nonce)
	out, sent, known := send(ctx)
	switch {
	case !sent:
		d.finish(rec, StateAbandoned, nil)
		return Outcome{}, false, ErrNotDispatched
	case !known:
		d.finish(rec, StateUnknown, nil)
		return Outcome{}, true, ErrUnknown
	default:
		d.finish(rec, StateDone, &out)
		return out, true, nil
	}
}

// finish records what became of a call, and keeps trying when the platform is
// out. The nonce stays live until then, so a repeat is told that it runs. The
// caller's answer waits a moment for the record, so that a repeat that follows
// it finds the outcome, and the loss of this host doesn't make it unknown.
func (d *Deduplicator) finish(rec Record, st State, out *Outcome) {
	const moment = 250 * time.Millisecond
	recorded := make(chan struct{})
	defer func() {
		select {
		case <-recorded:
		case <-time.After(moment):
		}
	}()
	d.wg.Go(func() {
		defer close(recorded)
		if out != nil && len(out.Body) > inlineBytes {
			out = d.storeApart(rec, *out)
		}
		for !d.stopped() && !d.record(rec, st, out) {
			d.sleep(time.Second)
		}
		d.drop(rec.Nonce)
	})
}

func (d *Deduplicator) record(rec Record, st State, out *Outcome) bool {
	op := &operation{key: rec.Key, apply: func(old *Record) *Record {
		if old == nil || old.Nonce != rec.Nonce || old.State != StateClaimed {
			return old
		}
		next := *old
		next.State, next.Outcome = st, out
		return &next
	}}
	return d.bucketOf(rec.Key).submit(context.Background(), op) == nil
}

// storeApart puts a large body under a key of its own, before the record that
// speaks of it.
func (d *Deduplicator) storeApart(rec Record, out Outcome) *Outcome {
	body := out.Body
	out.Body, out.Apart = nil, true
	if len(body) > storer.MaxValue {
		return &out
	}
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), d.Patience)
		_, err := d.Store.Swap(ctx, storer.Write{Key: outcomeKey(rec.Nonce), Value: body})
		cancel()
		if err == nil || errors.Is(err, storer.ErrConflict) {
			break
		}
		d.sleep(time.Second)
	}
	return &out
}

func outcomeKey(nonce string) string { return "idempotency/outcome/" + nonce }

func (d *Deduplicator) bucketOf(key string) *bucket {
	return d.buckets[xxhash.Sum64String(key)%uint64(len(d.buckets))]
}

func (d *Deduplicator) hold(nonce string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.live[nonce] = true
}

func (d *Deduplicator) drop(nonce string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.live, nonce)
}

func (d *Deduplicator) isLive(nonce string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.live[nonce]
}
