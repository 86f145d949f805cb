package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sardineward/sardineward/storer"
)

const (
	// sealBytes is the encoded size at which a generation is sealed. Every commit writes the whole
	// generation, so this is far below the platform's limit on the size of a value.
	sealBytes = 32 << 10
	// sealRecords and maxBatchOperations keep a generation under that limit even if each of its
	// records later gets an outcome of maxInlineBody bytes.
	sealRecords        = 256
	maxBatchOperations = 128
	// retryDelay is the wait after a failed call to the platform.
	retryDelay = 50 * time.Millisecond
)

// operation is a change to one record. apply must be idempotent: when the answer to a write is lost,
// it is applied again to the record that the write left.
type operation struct {
	key string
	// apply gets the record stored under key, or nil, and returns the record to store, which is the
	// same pointer when nothing changes.
	apply func(old *Record) *Record
	// result is the stored record after the operation.
	result Record
	err    error
	done   chan struct{}
	// deadline is when the caller stops waiting for the commit.
	deadline time.Time
}

// bucket commits operations on one hash range of keys. Operations that arrive during a write are
// committed together by the next write.
//
// Its records are stored in generations, numbered keys of which only the last takes new records. All
// hosts must agree which one that is even when their clocks differ; otherwise a repeat during the
// change to a new generation would find no record and run again. The change therefore does not
// depend on clocks: a generation is sealed by compare-and-swap, and a host that still writes to it
// gets a conflict, reads that it is sealed, and continues with the next.
type bucket struct {
	d  *Deduplicator
	id int

	mu         sync.Mutex
	pending    []*operation
	committing bool

	// The fields below are used by the committing goroutine only.
	loaded  bool
	current generation
	sealed  map[int]*generation
}

// generation is a cached copy of one generation and the revision it was read or written at.
type generation struct {
	number   int
	revision int64
	doc      *storedGeneration
	// size is the encoded size of doc in bytes when this host last wrote it; 0 before.
	size int
	// fresh is false when doc may be outdated because it was cached before this attempt.
	fresh bool
}

// submit queues an operation and waits until it is committed, its deadline passes or ctx ends.
func (b *bucket) submit(ctx context.Context, op *operation) error {
	op.done = make(chan struct{})
	op.deadline = time.Now().Add(b.d.CommitTimeout)
	b.mu.Lock()
	b.pending = append(b.pending, op)
	startCommitter := !b.committing
	b.committing = true
	b.mu.Unlock()
	if startCommitter {
		go b.commitAll()
	}
	select {
	case <-op.done:
		return op.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// commitAll commits the pending operations, batch by batch, until none is left.
func (b *bucket) commitAll() {
	for {
		b.mu.Lock()
		n := min(len(b.pending), maxBatchOperations)
		batch := b.pending[:n:n]
		b.pending = b.pending[n:]
		if n == 0 {
			b.committing = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.commit(batch)
	}
}

// commit retries a batch until it is written or the deadlines of its operations pass. A conflict and
// a lost answer are handled the same way: read again and apply again.
func (b *bucket) commit(batch []*operation) {
	for {
		batch = b.dropExpired(batch)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), latestDeadline(batch))
		err := b.tryCommit(ctx, batch)
		cancel()
		if err == nil {
			for _, op := range batch {
				close(op.done)
			}
			return
		}
		b.loaded = false
		if !errors.Is(err, storer.ErrConflict) {
			b.markStale()
			b.d.Log.Debug().Int("bucket", b.id).Err(err).Msg("deduplicator: commit failed")
			b.d.sleep(retryDelay)
		}
	}
}

// dropExpired fails the operations past their deadline with ErrClaimTimeout and returns the others.
// After Stop it fails all of them.
func (b *bucket) dropExpired(batch []*operation) []*operation {
	now := time.Now()
	kept := batch[:0]
	for _, op := range batch {
		if op.deadline.After(now) && !b.d.stopped() {
			kept = append(kept, op)
			continue
		}
		op.err = ErrClaimTimeout
		close(op.done)
	}
	return kept
}

func latestDeadline(batch []*operation) time.Time {
	var t time.Time
	for _, op := range batch {
		if op.deadline.After(t) {
			t = op.deadline
		}
	}
	return t
}

// tryCommit makes one attempt to commit a batch. It returns nil only when every operation's result
// is what the platform stores.
func (b *bucket) tryCommit(ctx context.Context, batch []*operation) error {
	if err := b.load(ctx); err != nil {
		return err
	}
	modified := make(map[*generation]*storedGeneration)
	for _, op := range batch {
		g := b.generationOf(op.key)
		doc := modified[g]
		if doc == nil {
			doc = g.doc.clone()
		}
		old := doc.Records[op.key]
		next := op.apply(old)
		if next == old && !g.fresh {
			// A cached copy may be outdated, for example lack an outcome recorded since. A write
			// would detect that by its compare-and-swap; without a write, read it again.
			if err := b.readGeneration(ctx, g); err != nil {
				return err
			}
			return storer.ErrConflict
		}
		if next != old {
			doc.Records[op.key] = next
			modified[g] = doc
		}
		if next != nil {
			op.result = *next
		}
	}
	for g, doc := range modified {
		if err := b.writeGeneration(ctx, g, doc); err != nil {
			return err
		}
	}
	b.markStale()
	b.sealIfDue(ctx)
	return nil
}

// markStale marks every cached generation as possibly outdated.
func (b *bucket) markStale() {
	b.current.fresh = false
	for _, g := range b.sealed {
		g.fresh = false
	}
}

// generationOf returns the sealed generation that holds a key's record, or else the current one.
func (b *bucket) generationOf(key string) *generation {
	for _, g := range b.sealed {
		if g.doc.Records[key] != nil {
			return g
		}
	}
	return &b.current
}

// writeGeneration writes doc as generation g by compare-and-swap and caches it. After a failure a
// sealed generation is no longer cached.
func (b *bucket) writeGeneration(ctx context.Context, g *generation, doc *storedGeneration) error {
	if doc.StartedAt == 0 {
		doc.StartedAt = b.d.Clock().UnixMilli()
	}
	value := encode(doc)
	rev, err := b.d.Store.Swap(ctx, storer.Write{Key: b.generationKey(g.number), Value: value, Expect: g.revision})
	if err != nil {
		delete(b.sealed, g.number)
		return err
	}
	g.revision, g.doc, g.size = rev, doc, len(value)
	return nil
}

// sealIfDue seals the current generation when it is full or older than half the retention, and then
// deletes generations past their retention. After a failure the next commit tries again.
func (b *bucket) sealIfDue(ctx context.Context) {
	doc := b.current.doc
	full := len(doc.Records) >= sealRecords || b.current.size >= sealBytes
	aged := doc.StartedAt != 0 && b.d.age(doc.StartedAt) > b.d.Retention/2
	if !full && !aged {
		return
	}
	next := doc.clone()
	next.Sealed, next.SealedAt = true, b.d.Clock().UnixMilli()
	b.loaded = false
	if err := b.writeGeneration(ctx, &b.current, next); err == nil {
		b.deleteExpired(ctx)
	}
}

// deleteExpired moves the pointer past the generation just sealed and deletes generations past their
// retention. It writes the pointer first: a host that finds a generation's key missing reads the
// pointer before it would create that generation again.
func (b *bucket) deleteExpired(ctx context.Context) {
	ptr, rev, err := b.readPointer(ctx)
	if err != nil {
		return
	}
	var expired []*generation
	next := pointer{Oldest: ptr.Oldest, Current: max(ptr.Current, b.current.number+1)}
	for n := ptr.Oldest; n < b.current.number; n++ {
		g := b.sealed[n]
		if g != nil && b.d.age(g.doc.SealedAt) < b.d.Retention {
			break
		}
		if g != nil {
			expired = append(expired, g)
		}
		next.Oldest = n + 1
	}
	if _, err := b.d.Store.Swap(ctx, storer.Write{Key: b.pointerKey(), Value: encode(next), Expect: rev}); err != nil {
		return
	}
	for _, g := range expired {
		if _, err := b.d.Store.Swap(ctx, storer.Write{Key: b.generationKey(g.number), Expect: g.revision, Delete: true}); err != nil {
			b.d.Log.Debug().Int("bucket", b.id).Int("generation", g.number).Err(err).Msg("deduplicator: generation not deleted")
		}
		delete(b.sealed, g.number)
	}
}

// load reads the pointer, the sealed generations that are not cached, and the current generation.
func (b *bucket) load(ctx context.Context) error {
	if b.loaded {
		return nil
	}
	ptr, _, err := b.readPointer(ctx)
	if err != nil {
		return err
	}
	if b.sealed == nil {
		b.sealed = make(map[int]*generation)
	}
	for n := range b.sealed {
		if n < ptr.Oldest {
			delete(b.sealed, n)
		}
	}
	for n := ptr.Oldest; ; n++ {
		if g := b.sealed[n]; g != nil {
			continue
		}
		g := &generation{number: n}
		if err := b.readGeneration(ctx, g); err != nil {
			return err
		}
		if g.doc.Sealed {
			b.sealed[n] = g
			continue
		}
		if n < ptr.Current {
			continue
		}
		if g.revision == 0 {
			return b.createGeneration(ctx, g)
		}
		b.current, b.loaded = *g, true
		return nil
	}
}

// createGeneration creates an empty generation and returns storer.ErrConflict, so that the bucket is
// loaded again before any record is written. Otherwise a host that is paused for longer than the
// retention between reading the pointer and writing its record, while the generation is sealed and
// deleted, would write that record to a new generation under the old number, where no other host
// looks for it.
func (b *bucket) createGeneration(ctx context.Context, g *generation) error {
	_, err := b.d.Store.Swap(ctx, storer.Write{Key: b.generationKey(g.number), Value: encode(g.doc)})
	if err != nil {
		return err
	}
	return storer.ErrConflict
}

// age returns the time since a timestamp by this host's wall clock.
func (d *Deduplicator) age(unixMilli int64) time.Duration {
	return d.Clock().Sub(time.UnixMilli(unixMilli))
}

// readGeneration reads a generation into g. One that does not exist is read as empty with revision 0.
func (b *bucket) readGeneration(ctx context.Context, g *generation) error {
	e, err := b.d.Store.Get(ctx, b.generationKey(g.number))
	if errors.Is(err, storer.ErrNotFound) {
		g.revision, g.doc, g.fresh = 0, &storedGeneration{Records: make(map[string]*Record)}, true
		return nil
	}
	if err != nil {
		return err
	}
	doc := new(storedGeneration)
	if err := decode(e.Value, doc); err != nil {
		return err
	}
	if doc.Records == nil {
		doc.Records = make(map[string]*Record)
	}
	g.revision, g.doc, g.fresh = e.Revision, doc, true
	return nil
}

// readPointer returns the bucket's pointer and its revision, both zero when none is stored.
func (b *bucket) readPointer(ctx context.Context) (pointer, int64, error) {
	var ptr pointer
	e, err := b.d.Store.Get(ctx, b.pointerKey())
	if errors.Is(err, storer.ErrNotFound) {
		return ptr, 0, nil
	}
	if err != nil {
		return ptr, 0, err
	}
	return ptr, e.Revision, decode(e.Value, &ptr)
}

func (b *bucket) pointerKey() string { return fmt.Sprintf("idempotency/%d", b.id) }

func (b *bucket) generationKey(generation int) string {
	return fmt.Sprintf("idempotency/%d/%d", b.id, generation)
}
