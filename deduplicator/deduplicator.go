// Package deduplicator runs calls that are not idempotent at most once.
//
// Before a call is dispatched, a record of it is written to the platform by compare-and-swap, and
// the call is dispatched under the record's nonce. A repeat finds the record and gets the recorded
// outcome, or an error that the call is running or that its outcome is unknown. Safety depends on
// the compare-and-swap alone; which host writes a record only affects latency.
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
	// ErrClaimTimeout means that the call's record could not be written before CommitTimeout or the
	// caller's deadline. The call did not run and never will under its nonce.
	ErrClaimTimeout = errors.New("deduplicator: platform did not answer in time")
	// ErrNotDispatched means that no byte of the call was sent, and none will be.
	ErrNotDispatched = errors.New("deduplicator: not dispatched")
	// ErrKeyReused means that the key was used before with a different request.
	ErrKeyReused = errors.New("deduplicator: key used for another request")
	// ErrRunning means that an earlier request with the key is running, or that its outcome could
	// not be read now.
	ErrRunning = errors.New("deduplicator: call is running")
	// ErrOutcomeUnknown means that the call may have run; it is never run again.
	ErrOutcomeUnknown = errors.New("deduplicator: outcome unknown")
)

// maxInlineBody is the size in bytes of the largest body stored in the record itself. A larger body
// is stored under its own key.
const maxInlineBody = 1 << 10

// ClaimQuerier queries the host that claimed a call.
type ClaimQuerier interface {
	// QueryClaim returns what ClaimState returns on the host that wrote the record. It returns an
	// error when the host can't be reached or is not the one that claimed the call; the outcome is
	// then unknown.
	QueryClaim(ctx context.Context, rec Record) (running, abandoned bool, err error)
}

// Dispatch sends the call once. sent is false only when no byte was sent to any upstream. known is
// false when the call was sent but its answer did not arrive completely.
type Dispatch func(ctx context.Context) (out Outcome, sent, known bool)

// Call identifies one request that is not idempotent.
type Call struct {
	RequestID string
	// Key is a hash of workspace, service, method, declared path and idempotency key.
	Key string
	// Digest is a hash of the request's method, path, query and body.
	Digest string
}

// Deduplicator runs each call at most once across all hosts that share its Store. It is safe for
// concurrent use. The exported fields are set before Start.
type Deduplicator struct {
	Store storer.Store
	// Host and Incarnation identify this process in records. Address is where other hosts can query
	// it.
	Host         string
	Incarnation  int64
	Address      string
	ClaimQuerier ClaimQuerier
	Checker      *checker.Checker
	Log          zerolog.Logger
	// Buckets is the number of hash ranges of keys. It must be the same on every host.
	Buckets int
	// Retention is the minimum time that a record is kept.
	Retention time.Duration
	// CommitTimeout is the longest that a caller waits for a record to be written.
	CommitTimeout time.Duration
	// Clock is this host's wall clock, which may be wrong; nil means time.Now. Only the expiry of
	// records depends on it.
	Clock func() time.Time

	buckets []*bucket
	mu      sync.Mutex
	// liveNonces holds the nonces of this process that may still be dispatched, and those that were
	// dispatched and whose outcome is not recorded yet.
	liveNonces map[string]bool
	wg         sync.WaitGroup
	done       chan struct{}
}

// Start creates the buckets. Call it before any other method.
func (d *Deduplicator) Start() {
	d.liveNonces = make(map[string]bool)
	d.done = make(chan struct{})
	if d.Clock == nil {
		d.Clock = time.Now
	}
	for i := range d.Buckets {
		d.buckets = append(d.buckets, &bucket{d: d, id: i})
	}
}

// Pending returns the number of calls of this process without a recorded outcome.
func (d *Deduplicator) Pending() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.liveNonces)
}

// Wait blocks until every outcome of this process is recorded, or abandoned because of Stop.
func (d *Deduplicator) Wait() { d.wg.Wait() }

// Stop abandons the outcomes that are not recorded yet. Repeats of those calls get ErrOutcomeUnknown.
func (d *Deduplicator) Stop() { close(d.done) }

func (d *Deduplicator) stopped() bool {
	select {
	case <-d.done:
		return true
	default:
		return false
	}
}

// sleep waits for t or until Stop.
func (d *Deduplicator) sleep(t time.Duration) {
	select {
	case <-d.done:
	case <-time.After(t):
	}
}

// Do runs a call, or returns the recorded outcome of an earlier run. ran is false when this
// invocation sent no byte of it.
func (d *Deduplicator) Do(ctx context.Context, c Call, dispatch Dispatch) (out Outcome, ran bool, err error) {
	nonce := rand.Text()
	d.addLive(nonce)
	rec, running, err := d.claim(ctx, c, nonce)
	if err != nil || rec.Nonce != nonce {
		// Whether or not the record was written, this nonce is never dispatched. Once the nonce is no
		// longer live, a repeat that queries this host learns so and takes the record over.
		d.removeLive(nonce)
		if err != nil {
			return Outcome{}, false, fmt.Errorf("%w: %w", ErrClaimTimeout, err)
		}
		out, err = d.replay(ctx, c, rec, running)
		return out, false, err
	}
	return d.dispatch(ctx, c, rec, dispatch)
}

// claim returns the record stored for the key. When it has the given nonce, this call may be
// dispatched. running reports that the host which claimed it answers that it is running.
func (d *Deduplicator) claim(ctx context.Context, c Call, nonce string) (rec Record, running bool, err error) {
	abandonedNonce := ""
	for {
		rec, err = d.insert(ctx, c, nonce, abandonedNonce)
		if err != nil || rec.Nonce == nonce || rec.State != StateClaimed || rec.Digest != c.Digest {
			return rec, false, err
		}
		running, abandoned := d.queryClaim(ctx, rec)
		if !abandoned {
			return rec, running, nil
		}
		abandonedNonce = rec.Nonce
	}
}

// insert stores a record with the given nonce where the key has none, or one that is abandoned or
// has abandonedNonce. It returns the record stored afterwards.
func (d *Deduplicator) insert(ctx context.Context, c Call, nonce, abandonedNonce string) (Record, error) {
	claim := &Record{Key: c.Key, Digest: c.Digest, Nonce: nonce, Host: d.Host, Incarnation: d.Incarnation, Address: d.Address}
	op := &operation{key: c.Key, apply: func(old *Record) *Record {
		switch {
		case old == nil, old.Nonce == abandonedNonce && old.State == StateClaimed:
			return claim
		case old.State == StateAbandoned && old.Digest == c.Digest:
			return claim
		default:
			return old
		}
	}}
	err := d.bucketOf(c.Key).submit(ctx, op)
	return op.result, err
}

// queryClaim returns the result of ClaimState on the host that wrote a record, and false for both
// when that host can't be queried.
func (d *Deduplicator) queryClaim(ctx context.Context, rec Record) (running, abandoned bool) {
	if rec.Host == d.Host {
		return d.ClaimState(rec.Incarnation, rec.Nonce)
	}
	running, abandoned, err := d.ClaimQuerier.QueryClaim(ctx, rec)
	if err != nil {
		d.Log.Info().Str("host", rec.Host).Err(err).Msg("deduplicator: host that claimed a call can't be queried")
		return false, false
	}
	return running, abandoned
}

// ClaimState reports to another host the state of a nonce of this process. A nonce that isn't live
// was never dispatched, or its outcome is recorded. The other host then takes the record over by
// compare-and-swap, which fails in the latter case. For another incarnation of this host both
// results are false: the state is unknown.
func (d *Deduplicator) ClaimState(incarnation int64, nonce string) (running, abandoned bool) {
	if incarnation != d.Incarnation {
		return false, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	running = d.liveNonces[nonce]
	return running, !running
}

// replay answers a repeated call from the record of the first.
func (d *Deduplicator) replay(ctx context.Context, c Call, rec Record, running bool) (Outcome, error) {
	if rec.Digest != c.Digest {
		return Outcome{}, ErrKeyReused
	}
	switch rec.State {
	case StateDone:
		return d.loadOutcome(ctx, rec)
	case StateUnknown:
		return Outcome{}, ErrOutcomeUnknown
	case StateClaimed, StateAbandoned:
	}
	if running {
		return Outcome{}, ErrRunning
	}
	return Outcome{}, ErrOutcomeUnknown
}

func (d *Deduplicator) loadOutcome(ctx context.Context, rec Record) (Outcome, error) {
	out := *rec.Outcome
	if out.Body != nil || !out.StoredSeparately {
		return out, nil
	}
	e, err := d.Store.Get(ctx, outcomeKey(rec.Nonce))
	if errors.Is(err, storer.ErrNotFound) {
		return out, ErrOutcomeUnknown
	}
	if err != nil {
		return out, ErrRunning
	}
	out.Body = e.Value
	return out, nil
}

// dispatch sends a claimed call and records its outcome. The second result is false when no byte was
// sent.
func (d *Deduplicator) dispatch(ctx context.Context, c Call, rec Record, send Dispatch) (Outcome, bool, error) {
	// When this host is paused between claim and dispatch for longer than the caller's deadline, the
	// caller may have repeated the call through another host, which can't query this one meanwhile.
	// So a call that was not sent in time is not sent at all.
	if ctx.Err() != nil {
		d.recordOutcome(rec, StateAbandoned, nil)
		return Outcome{}, false, ErrClaimTimeout
	}
	d.Checker.Assert(d.isLive(rec.Nonce), checker.InvariantAtMostOnce, c.RequestID, "dispatch under nonce %s, which is not live", rec.Nonce)
	out, sent, known := send(ctx)
	switch {
	case !sent:
		d.recordOutcome(rec, StateAbandoned, nil)
		return Outcome{}, false, ErrNotDispatched
	case !known:
		d.recordOutcome(rec, StateUnknown, nil)
		return Outcome{}, true, ErrOutcomeUnknown
	default:
		d.recordOutcome(rec, StateDone, &out)
		return out, true, nil
	}
}

// recordOutcome records the final state of a call in the background and retries while the platform
// is unavailable. The nonce stays live until then, so a repeat gets ErrRunning. The caller's answer
// waits up to maxRecordWait for the record, so that a repeat after the answer finds the outcome, and
// the loss of this host does not make it unknown.
func (d *Deduplicator) recordOutcome(rec Record, st State, out *Outcome) {
	const maxRecordWait = 250 * time.Millisecond
	recorded := make(chan struct{})
	defer func() {
		select {
		case <-recorded:
		case <-time.After(maxRecordWait):
		}
	}()
	d.wg.Go(func() {
		defer close(recorded)
		if out != nil && len(out.Body) > maxInlineBody {
			out = d.storeBody(rec, *out)
		}
		for !d.stopped() && !d.writeOutcome(rec, st, out) {
			d.sleep(time.Second)
		}
		d.removeLive(rec.Nonce)
	})
}

// writeOutcome makes one attempt to write the final state of a call. It reports whether the commit
// succeeded, also when the record is no longer held under this nonce.
func (d *Deduplicator) writeOutcome(rec Record, st State, out *Outcome) bool {
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

// storeBody stores a large body under its own key, before the record that refers to it is written.
// A body that is larger than storer.MaxValueBytes, or can't be stored in five attempts, is missing,
// and repeats of the call get ErrOutcomeUnknown.
func (d *Deduplicator) storeBody(rec Record, out Outcome) *Outcome {
	body := out.Body
	out.Body, out.StoredSeparately = nil, true
	if len(body) > storer.MaxValueBytes {
		return &out
	}
	for range 5 {
		ctx, cancel := context.WithTimeout(context.Background(), d.CommitTimeout)
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

func (d *Deduplicator) addLive(nonce string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.liveNonces[nonce] = true
}

func (d *Deduplicator) removeLive(nonce string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.liveNonces, nonce)
}

func (d *Deduplicator) isLive(nonce string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.liveNonces[nonce]
}
