// Package watcher keeps the operators' configuration in force on a host, and
// submits new ones.
//
// A configuration stands in the platform as parts, named by their hash, and one
// head that lists them under a revision. Hosts only ever move to a higher
// revision. A few hosts a data centre read the platform; the others hear of a
// revision by gossip and pull it from their peers.
package watcher

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/storer"
)

const (
	headKey    = "configuration/head"
	partPrefix = "configuration/part/"
	// partMost bounds a part's bytes, and one name in partEvery ends one, before
	// it is compressed. A change of one upstream then costs a host the part it
	// is in and the head, in place of the whole 2 MB.
	partMost  = 64 << 10
	partEvery = 64
	// recentIDs is how many submissions the head remembers, so that a lost
	// answer can be settled although others submitted meanwhile.
	recentIDs = 64
)

// Head names the parts of the configuration in force.
type Head struct {
	// Revision counts from 1.
	Revision int64 `json:"revision"`
	// Parts are the hashes of the parts, in order.
	Parts []string `json:"parts"`
	// Submission is the id of the submission that made this revision.
	Submission string `json:"submission"`
	// By says who submitted it.
	By string `json:"by"`
	// Recent are earlier submissions, the last first.
	Recent []Submission `json:"recent,omitempty"`
}

// Submission is what the head remembers of one.
type Submission struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	By       string `json:"by"`
}

// check reports what makes a decoded head unusable.
func (h *Head) check() error {
	if h.Revision < 1 || len(h.Parts) == 0 {
		return fmt.Errorf("head of revision %d with %d parts", h.Revision, len(h.Parts))
	}
	return nil
}

// Fetcher gets heads and parts from other hosts.
type Fetcher interface {
	// Fetch returns a head (part empty) or a part's bytes from any host that
	// has a revision of at least atLeast.
	Fetch(ctx context.Context, part string, atLeast int64) ([]byte, error)
}

// Watcher is safe for concurrent use. The fields are set before Run.
type Watcher struct {
	Store storer.Store
	Peers Fetcher
	// Reads reports whether this host is among the readers of the platform.
	Reads func() bool
	// Apply is called with each configuration that comes in force, in order.
	Apply func(revision int64, cfg *builder.Configuration)
	// Period is the longest time between two looks at the platform.
	Period  time.Duration
	Checker *checker.Checker
	Log     zerolog.Logger

	revision atomic.Int64
	// target is the highest revision heard of.
	target  atomic.Int64
	wake    chan struct{}
	mu      sync.Mutex
	head    []byte
	parts   map[string][]byte
	current *builder.Configuration
}

// Start makes the watcher ready; call it before any other method.
func (w *Watcher) Start() { w.wake = make(chan struct{}, 1) }

// Revision is the one in force; 0 means none yet.
func (w *Watcher) Revision() int64 { return w.revision.Load() }

// Current is the configuration in force; nil means none yet.
func (w *Watcher) Current() *builder.Configuration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// Heard tells that a revision exists somewhere.
func (w *Watcher) Heard(revision int64) {
	for {
		old := w.target.Load()
		if revision <= old {
			return
		}
		if w.target.CompareAndSwap(old, revision) {
			break
		}
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Behind reports whether a higher revision than the one in force exists, or
// none is in force yet.
func (w *Watcher) Behind() bool {
	rev := w.Revision()
	return rev == 0 || rev < w.target.Load()
}

// Run keeps the configuration in force until ctx ends. A pull that failed is
// tried again each period: a host that joins hears of the revision before it
// knows a peer to ask.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.runPlatform(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-time.After(w.Period):
		}
		if w.Behind() {
			w.pull(ctx, max(1, w.target.Load()))
		}
	}
}

// runPlatform waits on the head while this host is a reader, or has none yet.
func (w *Watcher) runPlatform(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		if w.Revision() != 0 && !w.Reads() {
			sleep(ctx, w.Period)
			continue
		}
		var err error
		if after, err = w.look(ctx, after); err != nil {
			w.Log.Debug().Err(err).Msg("watcher: platform gave no head")
			sleep(ctx, w.Period)
		}
	}
}

// look waits for the head to change; a watch that ends without a change is
// begun again, so that a reader that lost its duty stops.
func (w *Watcher) look(ctx context.Context, after int64) (int64, error) {
	const patience = 10
	wait, cancel := context.WithTimeout(ctx, patience*w.Period)
	defer cancel()
	e, err := w.Store.Watch(wait, headKey, after)
	if wait.Err() != nil && ctx.Err() == nil {
		return after, nil
	}
	if err != nil {
		return 0, err
	}
	return e.Revision, w.take(ctx, e.Value, w.readPart)
}

func (w *Watcher) readPart(ctx context.Context, hash string) ([]byte, error) {
	e, err := w.Store.Get(ctx, partPrefix+hash)
	return e.Value, err
}

// pull gets a revision from peers, and failing that from the platform.
func (w *Watcher) pull(ctx context.Context, rev int64) {
	if rev <= w.Revision() {
		return
	}
	head, err := w.Peers.Fetch(ctx, "", rev)
	if err != nil {
		w.Log.Debug().Int64("revision", rev).Err(err).Msg("watcher: no peer has the revision")
		return
	}
	err = w.take(ctx, head, func(ctx context.Context, hash string) ([]byte, error) {
		return w.Peers.Fetch(ctx, hash, rev)
	})
	if err != nil {
		w.Log.Warn().Int64("revision", rev).Err(err).Msg("watcher: revision not taken in")
	}
}

// take puts a head in force when its revision is higher.
func (w *Watcher) take(ctx context.Context, src []byte, get func(context.Context, string) ([]byte, error)) error {
	head, err := decodeHead(src)
	if err != nil {
		return err
	}
	// The platform answered from an old copy, or a peer that was cut off: a
	// configuration that operators had replaced came back, for some hosts.
	if head.Revision <= w.Revision() {
		return nil
	}
	parts, err := w.collect(ctx, head, get)
	if err != nil {
		return err
	}
	var whole []byte
	for _, h := range head.Parts {
		if whole, err = expand(whole, parts[h]); err != nil {
			return fmt.Errorf("expanding part %s: %w", h, err)
		}
	}
	cfg, err := builder.Decode(whole)
	if err != nil {
		return fmt.Errorf("reading revision %d: %w", head.Revision, err)
	}
	w.force(head, src, parts, cfg)
	return nil
}

func (w *Watcher) collect(ctx context.Context, head *Head, get func(context.Context, string) ([]byte, error)) (map[string][]byte, error) {
	w.mu.Lock()
	have := w.parts
	w.mu.Unlock()
	parts := make(map[string][]byte)
	for _, h := range head.Parts {
		if p, ok := have[h]; ok {
			parts[h] = p
			continue
		}
		p, err := get(ctx, h)
		if err != nil {
			return nil, fmt.Errorf("reading part %s: %w", h, err)
		}
		if hashOf(p) != h {
			return nil, fmt.Errorf("part %s has another hash", h)
		}
		parts[h] = p
	}
	return parts, nil
}

func (w *Watcher) force(head *Head, src []byte, parts map[string][]byte, cfg *builder.Configuration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.revision.Load()
	if head.Revision <= old {
		return
	}
	w.head, w.parts, w.current = src, parts, cfg
	w.revision.Store(head.Revision)
	w.Apply(head.Revision, cfg)
	w.Checker.Assert(w.revision.Load() > old, checker.InvariantRevision, "", "revision %d after %d", head.Revision, old)
	w.Log.Info().Int64("revision", head.Revision).Str("by", head.By).Msg("watcher: revision in force")
}

// Serve gives a peer the head (part empty) or a part.
func (w *Watcher) Serve(part string) (body []byte, revision int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if part == "" {
		return w.head, w.revision.Load()
	}
	return w.parts[part], w.revision.Load()
}

func decodeHead(src []byte) (*Head, error) {
	h := new(Head)
	if err := json.Unmarshal(src, h); err != nil {
		return nil, fmt.Errorf("decoding head: %w", err)
	}
	return h, h.check()
}

func hashOf(b []byte) string {
	const bytes = 12
	sum := sha256.Sum256(b)
	return base64.RawURLEncoding.EncodeToString(sum[:bytes])
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Conflict tells who won a race for a revision.
type Conflict struct {
	// Base is what the submission was made against, Have what is in force.
	Base, Have int64
	// By submitted what is in force.
	By string
}

// Error names the winner.
func (c *Conflict) Error() string {
	return fmt.Sprintf("submitted against revision %d, but %q made revision %d", c.Base, c.By, c.Have)
}

// ReadHead returns the head and its entry; a nil head means there is none.
func ReadHead(ctx context.Context, store storer.Store) (*Head, storer.Entry, error) {
	e, err := store.Get(ctx, headKey)
	if errors.Is(err, storer.ErrNotFound) {
		return nil, storer.Entry{}, nil
	}
	if err != nil {
		return nil, e, err
	}
	h, err := decodeHead(e.Value)
	return h, e, err
}

// ReadConfiguration returns the text that a head names.
func ReadConfiguration(ctx context.Context, store storer.Store, head *Head) ([]byte, error) {
	var whole []byte
	for _, h := range head.Parts {
		e, err := store.Get(ctx, partPrefix+h)
		if err != nil {
			return nil, fmt.Errorf("reading part %s: %w", h, err)
		}
		if whole, err = expand(whole, e.Value); err != nil {
			return nil, fmt.Errorf("expanding part %s: %w", h, err)
		}
	}
	return whole, nil
}

// Submit makes src the configuration that follows revision base, under an id
// that is the same for every try of one submission. It returns the revision.
// The error is a *Conflict when another submission came first. A lost answer
// is settled by looking for the id.
func Submit(ctx context.Context, store storer.Store, src []byte, base int64, id, by string) (int64, error) {
	cfg, err := builder.Parse("configuration", src)
	if err != nil {
		return 0, err
	}
	if src, err = builder.Canonical(cfg); err != nil {
		return 0, err
	}
	parts, err := writeParts(ctx, store, src)
	if err != nil {
		return 0, fmt.Errorf("writing configuration: %w", err)
	}
	for {
		rev, err := submitHead(ctx, store, parts, base, id, by)
		if err == nil || !unsettled(err) || ctx.Err() != nil {
			return rev, err
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

func unsettled(err error) bool {
	return errors.Is(err, storer.ErrUncertain) || errors.Is(err, storer.ErrUnavailable) || errors.Is(err, storer.ErrConflict)
}

func submitHead(ctx context.Context, store storer.Store, parts []string, base int64, id, by string) (int64, error) {
	head, entry, err := ReadHead(ctx, store)
	if err != nil {
		return 0, err
	}
	if head == nil {
		head = new(Head)
	}
	if rev, ok := head.find(id); ok {
		return rev, nil
	}
	if head.Revision != base {
		return 0, &Conflict{Base: base, Have: head.Revision, By: head.By}
	}
	next := &Head{Revision: base + 1, Parts: parts, Submission: id, By: by, Recent: head.remember()}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encoding head: %w", err)
	}
	if _, err := store.Swap(ctx, storer.Write{Key: headKey, Value: value, Expect: entry.Revision}); err != nil {
		return 0, err
	}
	return next.Revision, nil
}

func (h *Head) find(id string) (int64, bool) {
	if h.Submission == id {
		return h.Revision, true
	}
	for _, s := range h.Recent {
		if s.ID == id {
			return s.Revision, true
		}
	}
	return 0, false
}

func (h *Head) remember() []Submission {
	if h.Revision == 0 {
		return nil
	}
	out := append([]Submission{{ID: h.Submission, Revision: h.Revision, By: h.By}}, h.Recent...)
	return out[:min(len(out), recentIDs)]
}

// writeParts writes the parts that the head in force doesn't name already.
func writeParts(ctx context.Context, store storer.Store, src []byte) ([]string, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil && !unsettled(err) {
		return nil, err
	}
	var hashes []string
	for _, text := range cut(src) {
		part, err := compress(text)
		if err != nil {
			return nil, err
		}
		h := hashOf(part)
		hashes = append(hashes, h)
		if head != nil && slices.Contains(head.Parts, h) {
			continue
		}
		if err := writePart(ctx, store, h, part); err != nil {
			return nil, err
		}
	}
	return hashes, nil
}

// compress packs a part's text; equal texts give equal bytes.
func compress(text []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := gzip.NewWriterLevel(&b, gzip.BestCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// expand appends a part's text. No part is made above partMost and a line, so
// one that expands to far more is not one.
func expand(whole, part []byte) ([]byte, error) {
	const most = 4 * partMost
	r, err := gzip.NewReader(bytes.NewReader(part))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, err
	}
	if len(text) > most {
		return nil, fmt.Errorf("part is above %d bytes", most)
	}
	return append(whole, text...), nil
}

// cut divides a configuration into parts at lines that the text itself picks,
// so that an upstream added in the middle changes one part and not all that
// follow it.
func cut(src []byte) [][]byte {
	var parts [][]byte
	begin := 0
	for at := 0; at < len(src); {
		end := at + bytes.IndexByte(src[at:], '\n') + 1
		if end == at {
			end = len(src)
		}
		// Only names are unique: at a line that stands in every upstream, parts
		// would end by their size, and all after a change would be others.
		named := bytes.Contains(src[at:end], []byte(`"name": `))
		if named && xxhash.Sum64(src[at:end])%partEvery == 0 || end-begin >= partMost {
			parts = append(parts, src[begin:end])
			begin = end
		}
		at = end
	}
	if begin < len(src) {
		parts = append(parts, src[begin:])
	}
	return parts
}

// writePart tries until the part is there; a conflict means that it is, since
// its name is its hash.
func writePart(ctx context.Context, store storer.Store, hash string, part []byte) error {
	for {
		_, err := store.Swap(ctx, storer.Write{Key: partPrefix + hash, Value: part})
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return nil
		}
		if !unsettled(err) || ctx.Err() != nil {
			return fmt.Errorf("writing part: %w", err)
		}
		sleep(ctx, 100*time.Millisecond)
	}
}
