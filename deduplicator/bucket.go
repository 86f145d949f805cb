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
	// sealBytes is the size at which a generation is sealed. Every commit
	// writes a generation whole, so it is kept far below the platform's limit.
	sealBytes = 32 << 10
	// sealRecords and batchRecords keep a generation under the platform's limit
	// when every record it holds later gets an outcome of inlineBytes.
	sealRecords  = 256
	batchRecords = 128
	// retryPause is the wait after a failed call on the platform.
	retryPause = 50 * time.Millisecond
)

// operation is a change to one record. apply must be idempotent: it may be
// applied again to what its first write left.
type operation struct {
	key string
	// apply gets the record now held under key, or nil, and returns the one to
	// hold, which is the same pointer when nothing changes.
	apply func(old *Record) *Record
	// result is the record held after the operation.
	result Record
	err    error
	done   chan struct{}
	// until is when the caller stops waiting.
	until time.Time
}

// bucket commits operations on one hash range of keys. Operations that come
// while a write is under way are committed together by the next one.
//
// Its records stand in generations, numbered keys of which only the last takes
// new records. Two hosts with clocks apart must agree which one that is, or a
// repeat at the turn of a generation would find no record and run again. So
// the turn is no matter of clocks: a generation is sealed by compare-and-swap,
// and a host that still writes to it gets a conflict, reads that it is sealed,
// and moves on to the next.
type bucket struct {
	d  *Deduplicator
	id int

	mu      sync.Mutex
	pending []*operation
	busy    bool

	// Below is used by the committing goroutine only.
	loaded  bool
	current generation
	sealed  map[int]*generation
}

type generation struct {
	number   int
	revision int64
	doc      *document
	// size is the bytes of doc as last written.
	size int
	// fresh is false when doc is a cached copy.
	fresh bool
}

// submit queues an operation and waits for it.
func (b *bucket) submit(ctx context.Context, op *operation) error {
	op.done = make(chan struct{})
	op.until = time.Now().Add(b.d.Patience)
	b.mu.Lock()
	b.pending = append(b.pending, op)
	lead := !b.busy
	b.busy = true
	b.mu.Unlock()
	if lead {
		go b.commitAll()
	}
	select {
	case <-op.done:
		return op.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (b *bucket) commitAll() {
	for {
		b.mu.Lock()
		n := min(len(b.pending), batchRecords)
		batch := b.pending[:n:n]
		b.pending = b.pending[n:]
		if n == 0 {
			b.busy = false
			b.mu.Unlock()
			return
		}
		b.mu.Unlock()
		b.commit(batch)
	}
}

// commit applies a batch until it is written or its time is over. A conflict
// and a lost answer are settled alike: read again and apply again.
func (b *bucket) commit(batch []*operation) {
	for {
		batch = b.dropLate(batch)
		if len(batch) == 0 {
			return
		}
		ctx, cancel := context.WithDeadline(context.Background(), latest(batch))
		err := b.try(ctx, batch)
		cancel()
		if err == nil {
			for _, op := range batch {
				close(op.done)
			}
			return
		}
		b.loaded = false
		if !errors.Is(err, storer.ErrConflict) {
			b.stale()
			b.d.Log.Debug().Int("bucket", b.id).Err(err).Msg("deduplicator: commit failed")
			b.d.sleep(retryPause)
		}
	}
}

func (b *bucket) dropLate(batch []*operation) []*operation {
	now := time.Now()
	kept := batch[:0]
	for _, op := range batch {
		if op.until.After(now) && !b.d.stopped() {
			kept = append(kept, op)
			continue
		}
		op.err = ErrUnsettled
		close(op.done)
	}
	return kept
}

func latest(batch []*operation) time.Time {
	var t time.Time
	for _, op := range batch {
		if op.until.After(t) {
			t = op.until
		}
	}
	return t
}

// try makes one attempt. It returns nil only when every operation's result is
// what the platform holds.
func (b *bucket) try(ctx context.Context, batch []*operation) error {
	if err := b.load(ctx); err != nil {
		return err
	}
	touched := make(map[*generation]*document)
	for _, op := range batch {
		g := b.find(op.key)
		doc := touched[g]
		if doc == nil {
			doc = g.doc.clone()
		}
		old := doc.Records[op.key]
		next := op.apply(old)
		if next == old && !g.fresh {
			// A cached copy may be behind: an outcome may have been recorded
			// since. What is not written over must be read.
			if err := b.refresh(ctx, g); err != nil {
				return err
			}
			return storer.ErrConflict
		}
		if next != old {
			doc.Records[op.key] = next
			touched[g] = doc
		}
		if next != nil {
			op.result = *next
		}
	}
	for g, doc := range touched {
		if err := b.write(ctx, g, doc); err != nil {
			return err
		}
	}
	b.stale()
	b.turn(ctx)
	return nil
}

// stale marks what is cached as possibly behind.
func (b *bucket) stale() {
	b.current.fresh = false
	for _, g := range b.sealed {
		g.fresh = false
	}
}

// find returns the generation that holds a key, or the current one.
func (b *bucket) find(key string) *generation {
	for _, g := range b.sealed {
		if g.doc.Records[key] != nil {
			return g
		}
	}
	return &b.current
}

func (b *bucket) write(ctx context.Context, g *generation, doc *document) error {
	if doc.StartedAt == 0 {
		doc.StartedAt = b.d.Clock().UnixMilli()
	}
	value := encode(doc)
	rev, err := b.d.Store.Swap(ctx, storer.Write{Key: b.key(g.number), Value: value, Expect: g.revision})
	if err != nil {
		delete(b.sealed, g.number)
		return err
	}
	g.revision, g.doc, g.size = rev, doc, len(value)
	return nil
}

// turn seals the current generation when it is full or old, and deletes those
// past their retention. Its failures are left to the next commit.
func (b *bucket) turn(ctx context.Context) {
	doc := b.current.doc
	full := len(doc.Records) >= sealRecords || b.current.size >= sealBytes
	old := doc.StartedAt != 0 && b.d.age(doc.StartedAt) > b.d.Retention/2
	if !full && !old {
		return
	}
	next := doc.clone()
	next.Sealed, next.SealedAt = true, b.d.Clock().UnixMilli()
	b.loaded = false
	if err := b.write(ctx, &b.current, next); err == nil {
		b.expire(ctx)
	}
}

// expire moves the pointer past the sealed generation and deletes generations
// whose retention is over. The pointer goes first: a host that finds a key
// gone reads the pointer before it would start that generation anew.
func (b *bucket) expire(ctx context.Context) {
	at, rev, err := b.readPointer(ctx)
	if err != nil {
		return
	}
	var gone []*generation
	next := pointer{Oldest: at.Oldest, Current: max(at.Current, b.current.number+1)}
	for n := at.Oldest; n < b.current.number; n++ {
		g := b.sealed[n]
		if g != nil && b.d.age(g.doc.SealedAt) < b.d.Retention {
			break
		}
		if g != nil {
			gone = append(gone, g)
		}
		next.Oldest = n + 1
	}
	if _, err := b.d.Store.Swap(ctx, storer.Write{Key: b.pointerKey(), Value: encode(next), Expect: rev}); err != nil {
		return
	}
	for _, g := range gone {
		if _, err := b.d.Store.Swap(ctx, storer.Write{Key: b.key(g.number), Expect: g.revision, Delete: true}); err != nil {
			b.d.Log.Debug().Int("bucket", b.id).Int("generation", g.number).Err(err).Msg("deduplicator: generation not deleted")
		}
		delete(b.sealed, g.number)
	}
}

// load reads the pointer, the generations not cached, and the current one.
func (b *bucket) load(ctx context.Context) error {
	if b.loaded {
		return nil
	}
	at, _, err := b.readPointer(ctx)
	if err != nil {
		return err
	}
	if b.sealed == nil {
		b.sealed = make(map[int]*generation)
	}
	for n := range b.sealed {
		if n < at.Oldest {
			delete(b.sealed, n)
		}
	}
	for n := at.Oldest; ; n++ {
		if g := b.sealed[n]; g != nil {
			continue
		}
		g := &generation{number: n}
		if err := b.refresh(ctx, g); err != nil {
			return err
		}
		if g.doc.Sealed {
			b.sealed[n] = g
			continue
		}
		if n < at.Current {
			continue
		}
		if g.revision == 0 {
			return b.start(ctx, g)
		}
		b.current, b.loaded = *g, true
		return nil
	}
}

// start makes an empty generation and has the bucket loaded again. A host was
// paused for longer than the retention between reading the pointer and writing
// its record: the generation was sealed, expired and deleted meanwhile, and its
// record would have stood alone in a new one of the old number. So records only
// go to a generation that existed when the pointer was read after it.
func (b *bucket) start(ctx context.Context, g *generation) error {
	_, err := b.d.Store.Swap(ctx, storer.Write{Key: b.key(g.number), Value: encode(g.doc)})
	if err != nil {
		return err
	}
	return storer.ErrConflict
}

// age is how long ago a stamp was, by this host's wall clock.
func (d *Deduplicator) age(unixMilli int64) time.Duration {
	return d.Clock().Sub(time.UnixMilli(unixMilli))
}

// refresh reads a generation; one that is absent is empty.
func (b *bucket) refresh(ctx context.Context, g *generation) error {
	e, err := b.d.Store.Get(ctx, b.key(g.number))
	if errors.Is(err, storer.ErrNotFound) {
		g.revision, g.doc, g.fresh = 0, &document{Records: make(map[string]*Record)}, true
		return nil
	}
	if err != nil {
		return err
	}
	doc := new(document)
	if err := decode(e.Value, doc); err != nil {
		return err
	}
	if doc.Records == nil {
		doc.Records = make(map[string]*Record)
	}
	g.revision, g.doc, g.fresh = e.Revision, doc, true
	return nil
}

func (b *bucket) readPointer(ctx context.Context) (pointer, int64, error) {
	var at pointer
	e, err := b.d.Store.Get(ctx, b.pointerKey())
	if errors.Is(err, storer.ErrNotFound) {
		return at, 0, nil
	}
	if err != nil {
		return at, 0, err
	}
	return at, e.Revision, decode(e.Value, &at)
}

func (b *bucket) pointerKey() string { return fmt.Sprintf("idempotency/%d", b.id) }

func (b *bucket) key(generation int) string {
	return fmt.Sprintf("idempotency/%d/%d", b.id, generation)
}
