// Package watcher keeps a host on the newest configuration of the operators, and submits new
// configurations.
//
// The platform stores a configuration as parts, named by their hash, and one head that lists the
// parts of a revision. Hosts only ever move to a higher revision. A few hosts of each data centre
// watch the platform; the others learn of a revision by gossip and fetch it from their peers.
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
	// maxPartBytes bounds a part's size before compression, and on average one name in
	// namesPerPart ends a part. A change of one upstream then costs a host one part and the head
	// in place of the whole 2 MB.
	maxPartBytes = 64 << 10
	namesPerPart = 64
	// maxRecent is the number of earlier submissions kept in the head, so that a submission whose
	// answer was lost is still found after others.
	maxRecent = 64
)

// Head lists the parts of a configuration revision.
type Head struct {
	// Revision counts from 1.
	Revision int64 `json:"revision"`
	// Parts are the hashes of the parts, in order.
	Parts []string `json:"parts"`
	// Submission is the ID of the submission that made this revision.
	Submission string `json:"submission"`
	// By names the submitter.
	By string `json:"by"`
	// Recent holds earlier submissions, the newest first.
	Recent []Submission `json:"recent,omitempty"`
}

// Submission is the record of an earlier submission in a head.
type Submission struct {
	ID       string `json:"id"`
	Revision int64  `json:"revision"`
	By       string `json:"by"`
}

// validate returns an error when a decoded head is unusable.
func (h *Head) validate() error {
	if h.Revision < 1 || len(h.Parts) == 0 {
		return fmt.Errorf("head of revision %d with %d parts", h.Revision, len(h.Parts))
	}
	return nil
}

// Fetcher fetches heads and parts from other hosts.
type Fetcher interface {
	// Fetch returns the head (part empty) or the bytes of a part from any host with a revision of
	// at least atLeast.
	Fetch(ctx context.Context, part string, atLeast int64) ([]byte, error)
}

// Watcher keeps the configuration of a host up to date. It is safe for concurrent use. The
// exported fields are set before Run.
type Watcher struct {
	Store storer.Store
	Peers Fetcher
	// IsReader reports whether this host watches the platform.
	IsReader func() bool
	// Apply is called with each configuration that is put in force, in order of revisions.
	Apply func(revision int64, cfg *builder.Configuration)
	// Period is the interval between retries. A watch of the platform that sees no change is
	// renewed after ten periods.
	Period  time.Duration
	Checker *checker.Checker
	Log     zerolog.Logger

	revision atomic.Int64
	// target is the highest known revision.
	target atomic.Int64
	wake   chan struct{}
	mu     sync.Mutex
	// head and parts are the stored form of current, parts by hash.
	head    []byte
	parts   map[string][]byte
	current *builder.Configuration
}

// Start initializes the watcher; call it before any other method.
func (w *Watcher) Start() { w.wake = make(chan struct{}, 1) }

// Revision returns the revision in force; 0 means none yet.
func (w *Watcher) Revision() int64 { return w.revision.Load() }

// Current returns the configuration in force; nil means none yet.
func (w *Watcher) Current() *builder.Configuration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current
}

// NoteRevision records that a revision exists, and wakes Run when it is newer than all known ones.
func (w *Watcher) NoteRevision(revision int64) {
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

// Behind reports whether a higher revision than the one in force is known, or none is in force
// yet.
func (w *Watcher) Behind() bool {
	rev := w.Revision()
	return rev == 0 || rev < w.target.Load()
}

// Run keeps the configuration up to date until ctx ends. A failed fetch is retried each period,
// since a joining host may learn of a revision before it knows a peer to ask.
func (w *Watcher) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { w.watchPlatform(ctx) })
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		case <-time.After(w.Period):
		}
		if w.Behind() {
			w.pullFromPeers(ctx, max(1, w.target.Load()))
		}
	}
}

// watchPlatform watches the head in the platform while this host is a reader or has no
// configuration yet.
func (w *Watcher) watchPlatform(ctx context.Context) {
	var after int64
	for ctx.Err() == nil {
		if w.Revision() != 0 && !w.IsReader() {
			sleep(ctx, w.Period)
			continue
		}
		var err error
		if after, err = w.watchHead(ctx, after); err != nil {
			w.Log.Debug().Err(err).Msg("watcher: updating the configuration from the platform failed")
			sleep(ctx, w.Period)
		}
	}
}

// watchHead waits until the head's entry in the platform has a revision above after, applies the
// head, and returns that revision. A watch without a change ends after watchPeriods, so that a host
// that is no longer a reader stops watching.
func (w *Watcher) watchHead(ctx context.Context, after int64) (int64, error) {
	const watchPeriods = 10
	watchCtx, cancel := context.WithTimeout(ctx, watchPeriods*w.Period)
	defer cancel()
	e, err := w.Store.Watch(watchCtx, headKey, after)
	if watchCtx.Err() != nil && ctx.Err() == nil {
		return after, nil
	}
	if err != nil {
		return 0, err
	}
	return e.Revision, w.applyHead(ctx, e.Value, w.readPart)
}

func (w *Watcher) readPart(ctx context.Context, hash string) ([]byte, error) {
	e, err := w.Store.Get(ctx, partPrefix+hash)
	return e.Value, err
}

// pullFromPeers fetches revision rev or a higher one from other hosts.
func (w *Watcher) pullFromPeers(ctx context.Context, rev int64) {
	if rev <= w.Revision() {
		return
	}
	head, err := w.Peers.Fetch(ctx, "", rev)
	if err != nil {
		w.Log.Debug().Int64("revision", rev).Err(err).Msg("watcher: fetching the head from peers failed")
		return
	}
	err = w.applyHead(ctx, head, func(ctx context.Context, hash string) ([]byte, error) {
		return w.Peers.Fetch(ctx, hash, rev)
	})
	if err != nil {
		w.Log.Warn().Int64("revision", rev).Err(err).Msg("watcher: applying a revision failed")
	}
}

// applyHead puts the revision of a head in force when it is higher than the current one.
func (w *Watcher) applyHead(ctx context.Context, src []byte, get func(context.Context, string) ([]byte, error)) error {
	head, err := decodeHead(src)
	if err != nil {
		return err
	}
	// The head may come from an old copy of the platform or from a peer that was cut off.
	// Applying it would put a configuration back in force that operators had replaced.
	if head.Revision <= w.Revision() {
		return nil
	}
	parts, err := w.collectParts(ctx, head, get)
	if err != nil {
		return err
	}
	var whole []byte
	for _, h := range head.Parts {
		if whole, err = appendExpanded(whole, parts[h]); err != nil {
			return fmt.Errorf("expanding part %s: %w", h, err)
		}
	}
	cfg, err := builder.Decode(whole)
	if err != nil {
		return fmt.Errorf("reading revision %d: %w", head.Revision, err)
	}
	w.putInForce(head, src, parts, cfg)
	return nil
}

func (w *Watcher) collectParts(ctx context.Context, head *Head, get func(context.Context, string) ([]byte, error)) (map[string][]byte, error) {
	w.mu.Lock()
	known := w.parts
	w.mu.Unlock()
	parts := make(map[string][]byte)
	for _, h := range head.Parts {
		if p, ok := known[h]; ok {
			parts[h] = p
			continue
		}
		p, err := get(ctx, h)
		if err != nil {
			return nil, fmt.Errorf("reading part %s: %w", h, err)
		}
		if hashPart(p) != h {
			return nil, fmt.Errorf("part %s has another hash", h)
		}
		parts[h] = p
	}
	return parts, nil
}

func (w *Watcher) putInForce(head *Head, src []byte, parts map[string][]byte, cfg *builder.Configuration) {
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

// Serve returns the head (part empty) or a part for a peer, and the revision in force. The body
// is nil when this host doesn't have the part.
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
	return h, h.validate()
}

func hashPart(b []byte) string {
	const hashBytes = 12
	sum := sha256.Sum256(b)
	return base64.RawURLEncoding.EncodeToString(sum[:hashBytes])
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ConflictError is the error of a submission that another one preceded.
type ConflictError struct {
	// Base is the revision that the submission was made against, Have the one in force.
	Base, Have int64
	// By names the submitter of the revision in force.
	By string
}

// Error names the submitter and the revision in force.
func (c *ConflictError) Error() string {
	return fmt.Sprintf("submitted against revision %d, but %q made revision %d", c.Base, c.By, c.Have)
}

// ReadHead returns the head and its entry in the store. A nil head means that there is none.
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

// ReadConfiguration returns the text of the configuration that a head lists.
func ReadConfiguration(ctx context.Context, store storer.Store, head *Head) ([]byte, error) {
	var whole []byte
	for _, h := range head.Parts {
		e, err := store.Get(ctx, partPrefix+h)
		if err != nil {
			return nil, fmt.Errorf("reading part %s: %w", h, err)
		}
		if whole, err = appendExpanded(whole, e.Value); err != nil {
			return nil, fmt.Errorf("expanding part %s: %w", h, err)
		}
	}
	return whole, nil
}

// Submit makes src the configuration that follows revision base, and returns the new revision.
// All retries of a submission share its id, by which Submit finds out whether a write took effect
// whose answer was lost. The error is a *ConflictError when another submission came first.
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
		if err == nil || !isRetryable(err) || ctx.Err() != nil {
			return rev, err
		}
		sleep(ctx, 100*time.Millisecond)
	}
}

func isRetryable(err error) bool {
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
	if rev, ok := head.findSubmission(id); ok {
		return rev, nil
	}
	if head.Revision != base {
		return 0, &ConflictError{Base: base, Have: head.Revision, By: head.By}
	}
	next := &Head{Revision: base + 1, Parts: parts, Submission: id, By: by, Recent: head.recentSubmissions()}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, fmt.Errorf("encoding head: %w", err)
	}
	if _, err := store.Swap(ctx, storer.Write{Key: headKey, Value: value, Expect: entry.Revision}); err != nil {
		return 0, err
	}
	return next.Revision, nil
}

func (h *Head) findSubmission(id string) (int64, bool) {
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

func (h *Head) recentSubmissions() []Submission {
	if h.Revision == 0 {
		return nil
	}
	out := append([]Submission{{ID: h.Submission, Revision: h.Revision, By: h.By}}, h.Recent...)
	return out[:min(len(out), maxRecent)]
}

// writeParts stores the parts that the current head doesn't list yet, and returns all hashes.
func writeParts(ctx context.Context, store storer.Store, src []byte) ([]string, error) {
	head, _, err := ReadHead(ctx, store)
	if err != nil && !isRetryable(err) {
		return nil, err
	}
	var hashes []string
	for _, text := range splitParts(src) {
		part, err := compress(text)
		if err != nil {
			return nil, err
		}
		h := hashPart(part)
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

// compress compresses a part's text. Equal texts give equal bytes, since the hash names the part.
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

// appendExpanded appends the text of a compressed part. Parts exceed maxPartBytes by at most one
// line, so one that expands to far more is invalid.
func appendExpanded(whole, part []byte) ([]byte, error) {
	const maxTextBytes = 4 * maxPartBytes
	r, err := gzip.NewReader(bytes.NewReader(part))
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxTextBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > maxTextBytes {
		return nil, fmt.Errorf("part is above %d bytes", maxTextBytes)
	}
	return append(whole, text...), nil
}

// splitParts splits a configuration at lines chosen by their content, so that an upstream added
// in the middle changes one part and not all parts after it.
func splitParts(src []byte) [][]byte {
	var parts [][]byte
	partStart := 0
	for lineStart := 0; lineStart < len(src); {
		lineEnd := lineStart + bytes.IndexByte(src[lineStart:], '\n') + 1
		if lineEnd == lineStart {
			lineEnd = len(src)
		}
		// Only name lines are unique. Lines that occur in every upstream would never end a part
		// or always do, so parts would end by size, and a change would shift all parts after it.
		hasName := bytes.Contains(src[lineStart:lineEnd], []byte(`"name": `))
		if hasName && xxhash.Sum64(src[lineStart:lineEnd])%namesPerPart == 0 || lineEnd-partStart >= maxPartBytes {
			parts = append(parts, src[partStart:lineEnd])
			partStart = lineEnd
		}
		lineStart = lineEnd
	}
	if partStart < len(src) {
		parts = append(parts, src[partStart:])
	}
	return parts
}

// writePart retries until the part is stored. A conflict means that it is stored already, since
// its key is its hash.
func writePart(ctx context.Context, store storer.Store, hash string, part []byte) error {
	for {
		_, err := store.Swap(ctx, storer.Write{Key: partPrefix + hash, Value: part})
		if err == nil || errors.Is(err, storer.ErrConflict) {
			return nil
		}
		if !isRetryable(err) || ctx.Err() != nil {
			return fmt.Errorf("writing part: %w", err)
		}
		sleep(ctx, 100*time.Millisecond)
	}
}
