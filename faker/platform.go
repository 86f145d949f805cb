package faker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sardineward/sardineward/storer"
)

// Platform is an in-memory storer.Store that can be served over HTTP. The zero value is ready to
// use. Faults can be set at any time.
type Platform struct {
	mu      sync.Mutex
	entries map[string]storer.Entry
	leases  map[int64]*lease
	// leaseOfKey maps a key to the lease that it expires with.
	leaseOfKey map[string]int64
	revision   int64
	lastLease  int64
	changed    chan struct{}
	calls      int64
	faults     Faults
	snapshot   map[string]storer.Entry
}

// Faults are the faults that a Platform simulates; the zero value means none.
type Faults struct {
	// Unavailable makes every call fail with storer.ErrUnavailable.
	Unavailable bool
	// Delay is added to the duration of every call.
	Delay time.Duration
	// LoseResponse reports whether the response to a write that took effect is lost, so that Swap
	// returns storer.ErrUncertain; nil means never.
	LoseResponse func(w storer.Write) bool
	// Stale makes reads return values from the copy that TakeSnapshot made.
	Stale bool
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// SetFaults replaces the faults and ends the wait of watches, which check them again.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatches()
}

// TakeSnapshot takes a copy of all entries for Faults.Stale.
func (p *Platform) TakeSnapshot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = make(map[string]storer.Entry, len(p.entries))
	for k, e := range p.entries {
		p.snapshot[k] = e
	}
}

// Calls returns the number of calls made; a watch counts once, however long it waits.
func (p *Platform) Calls() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// Keys returns the number of keys that have a value, and the total size of the values in bytes.
func (p *Platform) Keys() (keys, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.entries {
		bytes += len(e.Value)
	}
	return len(p.entries), bytes
}

// errMissingWrite means that a swap request has no write.
var errMissingWrite = errors.New("swap request has no write")

// beginCall counts a call and applies the faults that precede its effect.
func (p *Platform) beginCall(ctx context.Context) error {
	p.mu.Lock()
	p.calls++
	f := p.faults
	p.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return storer.ErrUncertain
		}
	}
	if f.Unavailable {
		return storer.ErrUnavailable
	}
	return nil
}

// lazyInit creates the maps on first use; p.mu is held.
func (p *Platform) lazyInit() {
	if p.entries == nil {
		p.entries = make(map[string]storer.Entry)
		p.leases = make(map[int64]*lease)
		p.leaseOfKey = make(map[string]int64)
		p.changed = make(chan struct{})
	}
}

// notifyWatches wakes all waiting watches; p.mu is held.
func (p *Platform) notifyWatches() {
	p.lazyInit()
	close(p.changed)
	p.changed = make(chan struct{})
}

// expireLeases removes expired leases and their keys; p.mu is held.
func (p *Platform) expireLeases() {
	now := time.Now()
	for id, l := range p.leases {
		if !l.expiry.After(now) {
			p.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; p.mu is held.
func (p *Platform) endLease(id int64) {
	delete(p.leases, id)
	for k, l := range p.leaseOfKey {
		if l == id {
			delete(p.leaseOfKey, k)
			delete(p.entries, k)
			p.notifyWatches()
		}
	}
}

// Get implements storer.Store.
func (p *Platform) Get(ctx context.Context, key string) (storer.Entry, error) {
	if err := p.beginCall(ctx); err != nil {
		return storer.Entry{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.get(key)
}

func (p *Platform) get(key string) (storer.Entry, error) {
	p.lazyInit()
	p.expireLeases()
	from := p.entries
	if p.faults.Stale && p.snapshot != nil {
		from = p.snapshot
	}
	e, ok := from[key]
	if !ok {
		return storer.Entry{}, storer.ErrNotFound
	}
	return e, nil
}

// Swap implements storer.Store.
func (p *Platform) Swap(ctx context.Context, w storer.Write) (int64, error) {
	if err := p.beginCall(ctx); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	rev, err := p.swap(w)
	if err == nil && p.faults.LoseResponse != nil && p.faults.LoseResponse(w) {
		return 0, storer.ErrUncertain
	}
	return rev, err
}

func (p *Platform) swap(w storer.Write) (int64, error) {
	p.lazyInit()
	p.expireLeases()
	switch {
	case len(w.Value) > storer.MaxValueBytes:
		return 0, storer.ErrTooLarge
	case p.entries[w.Key].Revision != w.Expect:
		return 0, storer.ErrConflict
	case w.Lease != 0 && p.leases[w.Lease] == nil:
		return 0, storer.ErrLease
	}
	defer p.notifyWatches()
	delete(p.leaseOfKey, w.Key)
	if w.Delete {
		delete(p.entries, w.Key)
		return 0, nil
	}
	p.revision++
	p.entries[w.Key] = storer.Entry{Key: w.Key, Value: w.Value, Revision: p.revision}
	if w.Lease != 0 {
		p.leaseOfKey[w.Key] = w.Lease
	}
	return p.revision, nil
}

// Watch implements storer.Store.
func (p *Platform) Watch(ctx context.Context, key string, after int64) (storer.Entry, error) {
	if err := p.beginCall(ctx); err != nil {
		return storer.Entry{}, err
	}
	for {
		p.mu.Lock()
		if p.faults.Unavailable {
			p.mu.Unlock()
			return storer.Entry{}, storer.ErrUnavailable
		}
		e, err := p.get(key)
		changed := p.changed
		p.mu.Unlock()
		if err == nil && e.Revision > after || err != nil && after > 0 {
			return e, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return storer.Entry{}, storer.ErrUnavailable
		}
	}
}

// Grant implements storer.Store.
func (p *Platform) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	if err := p.beginCall(ctx); err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lazyInit()
	p.lastLease++
	p.leases[p.lastLease] = &lease{ttl, time.Now().Add(ttl)}
	return p.lastLease, nil
}

// KeepAlive implements storer.Store.
func (p *Platform) KeepAlive(ctx context.Context, id int64) error {
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lazyInit()
	p.expireLeases()
	l := p.leases[id]
	if l == nil {
		return storer.ErrLease
	}
	l.expiry = time.Now().Add(l.ttl)
	return nil
}

// Revoke implements storer.Store.
func (p *Platform) Revoke(ctx context.Context, id int64) error {
	if err := p.beginCall(ctx); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lazyInit()
	p.endLease(id)
	return nil
}

// Handler returns the HTTP API that storer.Client calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	serve := func(method string, f func(ctx context.Context, in storer.Request) (storer.Response, error)) {
		mux.HandleFunc("POST /v1/kv/"+method, func(w http.ResponseWriter, r *http.Request) {
			var in storer.Request
			if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			out, err := f(r.Context(), in)
			if err != nil {
				w.WriteHeader(platformStatus(err))
				return
			}
			json.NewEncoder(w).Encode(out)
		})
	}
	serve("get", func(ctx context.Context, in storer.Request) (storer.Response, error) {
		e, err := p.Get(ctx, in.Key)
		return storer.Response{Entry: &e}, err
	})
	serve("watch", func(ctx context.Context, in storer.Request) (storer.Response, error) {
		e, err := p.Watch(ctx, in.Key, in.After)
		return storer.Response{Entry: &e}, err
	})
	serve("swap", func(ctx context.Context, in storer.Request) (storer.Response, error) {
		if in.Write == nil {
			return storer.Response{}, errMissingWrite
		}
		rev, err := p.Swap(ctx, *in.Write)
		return storer.Response{Revision: rev}, err
	})
	serve("grant", func(ctx context.Context, in storer.Request) (storer.Response, error) {
		id, err := p.Grant(ctx, time.Duration(in.TTLMs)*time.Millisecond)
		return storer.Response{Lease: id}, err
	})
	serve("keepAlive", func(ctx context.Context, in storer.Request) (storer.Response, error) {
		return storer.Response{}, p.KeepAlive(ctx, in.Lease)
	})
	serve("revoke", func(ctx context.Context, in storer.Request) (storer.Response, error) {
		return storer.Response{}, p.Revoke(ctx, in.Lease)
	})
	return mux
}

func platformStatus(err error) int {
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, storer.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, storer.ErrLease):
		return http.StatusGone
	case errors.Is(err, storer.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, storer.ErrUnavailable):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
