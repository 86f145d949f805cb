// Package archiver keeps the isolated parts of prompts, and the strikes against requests that were in flight
// when upstreams crashed, in the platform's store, so that hosts which all start anew know them. The store is not
// needed to decide on a request: while it is out of reach, hosts go on with what they know and tell each other.
package archiver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/tracker"
)

// Key is the key in the store.
const Key = "sardineward/parts"

const (
	// maxStored bounds the stored parts, those isolated last.
	maxStored = 64
	// maxLoadWait is how long a starting host waits for Load.
	maxLoadWait = 1500 * time.Millisecond
	// retryDelay is the pause after a call that failed, callTimeout bounds each.
	retryDelay  = 500 * time.Millisecond
	callTimeout = time.Second
)

// record is the value of Key.
type record struct {
	Parts []storedPart `json:"parts"`
	// Requests holds maxStoredRequests at most.
	Requests []storedRequest `json:"requests,omitempty"`
}

// storedPart is an isolated part.
type storedPart struct {
	Part isolator.Part `json:"part"`
	// Workspace is the hash of the only workspace that is refused, in hexadecimal; empty for all.
	Workspace string `json:"workspace,omitempty"`
	// IsolatedAtMs is when it was isolated, in Unix milliseconds.
	IsolatedAtMs int64 `json:"isolatedAtMs"`
	Confirmed    bool  `json:"confirmed,omitempty"`
	Samples      int   `json:"samples,omitempty"`
}

// UnmarshalJSON checks the parts.
func (r *record) UnmarshalJSON(b []byte) error {
	type plain record
	if err := json.Unmarshal(b, (*plain)(r)); err != nil {
		return err
	}
	for _, p := range r.Parts {
		if p.Part == "" || p.IsolatedAtMs <= 0 || p.Samples < 0 {
			return fmt.Errorf("stored part %q: want an id, a time above 0 and no negative count, found %d and %d", p.Part, p.IsolatedAtMs, p.Samples)
		}
		if _, err := p.workspace(); err != nil {
			return fmt.Errorf("workspace of stored part %q: %w", p.Part, err)
		}
	}
	for i := range r.Requests {
		if err := r.Requests[i].check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *storedPart) workspace() (uint64, error) {
	if p.Workspace == "" {
		return 0, nil
	}
	return strconv.ParseUint(p.Workspace, 16, 64)
}

// Archiver takes over the stored parts as a host starts, and stores those that it isolates or releases.
// Exported fields are set before Run.
type Archiver struct {
	Store    storer.Store
	Isolator *isolator.Isolator
	// Suspects keeps the strikes; nil means that none are stored.
	Suspects *tracker.Suspects
	// Now is the clock of the host, Clock the time of day; nil means time.Now.
	Now   func() time.Duration
	Clock func() time.Time
	// Started is when the host was started, by Now.
	Started time.Duration
	Log     zerolog.Logger

	// loaded is set by the first Load.
	loaded atomic.Bool
	// changes holds the parts that were isolated or released here and are not stored yet.
	changes chan isolator.State

	mu sync.Mutex
	// stored holds the parts that this host has stored.
	stored   map[isolator.Part]bool
	requests requests
}

// Init makes Changed usable.
func (a *Archiver) Init() {
	a.changes = make(chan isolator.State, maxStored)
	a.requests.wake = make(chan struct{}, 1)
}

// Loaded reports whether the stored parts are known, or were not to be had within maxLoadWait.
func (a *Archiver) Loaded() bool { return a.loaded.Load() || a.Now()-a.Started > maxLoadWait }

// Changed stores a part that this host isolated or released, in Run. It does not block: if too many
// wait, hosts only tell each other.
func (a *Archiver) Changed(s isolator.State) {
	select {
	case a.changes <- s:
	default:
		a.Log.Warn().Str("part", string(s.Part)).Msg("archiver: too many parts to store, skipped")
	}
}

// HasStored reports whether this host has stored a part that it has not removed since.
func (a *Archiver) HasStored(p isolator.Part) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.stored[p]
}

// setStored records whether this host has stored a part.
func (a *Archiver) setStored(p isolator.Part, stored bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !stored {
		delete(a.stored, p)
		return
	}
	if a.stored == nil {
		a.stored = make(map[isolator.Part]bool)
	}
	a.stored[p] = true
}

// Load takes over the stored parts, of which value is the record in the store; nil if there is none. It is
// called with everything that a starting host reads from the store, as a call of its own by each host
// would cost the store of a large fleet too much. Later calls have no effect.
func (a *Archiver) Load(value []byte) {
	if !a.loaded.CompareAndSwap(false, true) {
		return
	}
	r := a.decode(value)
	now := a.Isolator.Time(a.Now())
	list := make([]isolator.State, 0, len(r.Parts))
	for _, p := range r.Parts {
		workspace, _ := p.workspace()
		at := now - max(0, a.clock().Sub(time.UnixMilli(p.IsolatedAtMs)))
		list = append(list, isolator.State{Part: p.Part, Workspace: workspace, Confirmed: p.Confirmed, IsolatedAt: at, Samples: p.Samples, RequestedAt: now})
	}
	a.Isolator.Merge(a.Now(), list)
	a.learnStrikes(&r)
	a.Log.Info().Int("parts", len(list)).Int("requests", len(r.Requests)).Msg("archiver: isolated parts and strikes read from the store")
}

// Run stores changes until ctx ends.
func (a *Archiver) Run(ctx context.Context) {
	if a.Suspects != nil {
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(func() { a.storeStrikes(ctx) })
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case s := <-a.changes:
			for ctx.Err() == nil && !a.store(ctx, s) {
				sleep(ctx, retryDelay)
			}
		}
	}
}

// decode returns the parts in a record. What can't be decoded is logged and taken as empty.
func (a *Archiver) decode(value []byte) record {
	var r record
	if value == nil {
		return r
	}
	if err := json.Unmarshal(value, &r); err != nil {
		a.Log.Warn().Err(err).Str("key", Key).Msg("archiver: stored parts are invalid, ignored")
		return record{}
	}
	return r
}

// maxUpdateAttempts bounds the writes of one update that meet a write of another host.
const maxUpdateAttempts = 3

// update changes the record in the store. change returns false if the record, as it is stored now, needs no change; it is
// called again if another host has written meanwhile.
func (a *Archiver) update(ctx context.Context, change func(r *record) bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var e storer.Entry
	var conflict *storer.ConflictError
	for range maxUpdateAttempts {
		if conflict != nil {
			e = conflict.Current
		} else if read, err := a.Store.Get(ctx, Key); err == nil || errors.Is(err, storer.ErrNotFound) {
			e = read
		} else {
			return err
		}
		r := a.decode(e.Value)
		if !change(&r) {
			return nil
		}
		value, err := json.Marshal(r)
		if err != nil {
			return fmt.Errorf("encoding the record: %w", err)
		}
		_, err = a.Store.Swap(ctx, storer.Write{Key: Key, Value: value, Expect: e.Revision, Era: e.Era})
		if !errors.Is(err, storer.ErrConflict) {
			return err
		}
		if !errors.As(err, &conflict) {
			conflict = nil
		}
	}
	return storer.ErrConflict
}

// store writes one part, or removes it where it is released, and reports whether it could.
func (a *Archiver) store(ctx context.Context, s isolator.State) bool {
	next := storedPart{Part: s.Part, IsolatedAtMs: a.clock().Add(s.IsolatedAt - a.Isolator.Time(a.Now())).UnixMilli(), Confirmed: s.Confirmed, Samples: s.Samples}
	if s.Workspace != 0 {
		next.Workspace = strconv.FormatUint(s.Workspace, 16)
	}
	parts, written := 0, false
	err := a.update(ctx, func(r *record) bool {
		written = r.setPart(&next, s.IsIsolated())
		parts = len(r.Parts)
		return written
	})
	if err != nil || written {
		a.Log.Info().Err(err).Str("part", string(s.Part)).Bool("isolated", s.IsIsolated()).Int("parts", parts).Msg("archiver: isolated parts written to the store")
	}
	if err == nil && (written || !s.IsIsolated()) {
		a.setStored(s.Part, s.IsIsolated())
	}
	return err == nil
}

// setPart adds or removes a part and reports whether that changes the record.
func (r *record) setPart(next *storedPart, isolated bool) bool {
	at := slices.IndexFunc(r.Parts, func(p storedPart) bool { return p.Part == next.Part })
	switch {
	case at < 0 && !isolated:
		return false
	case at >= 0 && isolated && r.Parts[at].Workspace == next.Workspace && r.Parts[at].Confirmed == next.Confirmed:
		return false // another host isolated it as well
	case at >= 0:
		r.Parts = slices.Delete(r.Parts, at, at+1)
	}
	if isolated {
		r.Parts = append(r.Parts, *next)
		r.Parts = r.Parts[max(0, len(r.Parts)-maxStored):]
	}
	return true
}

func (a *Archiver) clock() time.Time {
	if a.Clock == nil {
		return time.Now()
	}
	return a.Clock()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
