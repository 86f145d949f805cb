package archiver

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/sardineward/sardineward/tracker"
)

const (
	// maxStoredRequests bounds the stored requests. Those with the fewest strikes go first, of these the oldest.
	maxStoredRequests = 64
	// maxStoredStrikes bounds the strikes of one request, the newest; fewer are enough to refuse it.
	maxStoredStrikes = 4
	// maxStoreWait bounds how long a retry waits until the strikes against its request are stored: ten calls.
	maxStoreWait = 100 * time.Millisecond
	// minStoreInterval is the shortest time between two writes of strikes by one host. The loss of a rack strikes many
	// requests at once.
	minStoreInterval = 50 * time.Millisecond
	// reviewInterval is the time between two checks of the strikes that are stored: longer than it takes until it is
	// known whether other upstreams were lost at the same time.
	reviewInterval = 3 * time.Second
)

// storedRequest is a request that was in flight when upstreams crashed.
type storedRequest struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string         `json:"fingerprint"`
	Strikes     []storedStrike `json:"strikes"`
}

// storedStrike is the crash of one upstream.
type storedStrike struct {
	Upstream string `json:"upstream"`
	// StartedAtMs and ExpiresAtMs are in Unix milliseconds.
	StartedAtMs int64 `json:"startedAtMs"`
	ExpiresAtMs int64 `json:"expiresAtMs"`
}

func (r *storedRequest) check() error {
	if _, err := strconv.ParseUint(r.Fingerprint, 16, 64); err != nil {
		return fmt.Errorf("fingerprint of stored request %q: %w", r.Fingerprint, err)
	}
	for _, s := range r.Strikes {
		if s.Upstream == "" || s.ExpiresAtMs <= 0 {
			return fmt.Errorf("strike against stored request %q: want an upstream and a time above 0, found %q and %d", r.Fingerprint, s.Upstream, s.ExpiresAtMs)
		}
	}
	return nil
}

// requests holds what this host has to store of requests; Archiver.mu guards it.
type requests struct {
	// pending holds the requests whose strikes are to be stored, waiting is closed once that was tried.
	pending map[uint64]bool
	waiting chan struct{}
	// stored holds the keys of the strikes that are known to be stored, by request.
	stored map[uint64]map[string]bool
	// failing is set while the store does not take strikes, so that no retry waits for it.
	failing bool
	// wake has one element if there is something new to store or to review.
	wake chan struct{}
}

func (q *requests) wakeUp() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// KeepStrikes stores the strikes against a request, and learns those that other hosts have stored, before it is sent
// again. It returns when that is done, or after maxStoreWait. Strikes that are probably not due to the request are not
// stored.
func (a *Archiver) KeepStrikes(ctx context.Context, fingerprint uint64) {
	waiting, ok := a.queue(fingerprint)
	if !ok {
		return
	}
	select {
	case <-ctx.Done():
	case <-waiting:
	case <-time.After(maxStoreWait):
	}
}

// queue adds a request to those to store. It returns the channel that is closed when that was tried; ok is false if there
// is nothing to store, or nothing to wait for.
func (a *Archiver) queue(fingerprint uint64) (waiting <-chan struct{}, ok bool) {
	strikes := a.Suspects.Attributable(a.clock(), fingerprint)
	a.mu.Lock()
	defer a.mu.Unlock()
	q := &a.requests
	if !slices.ContainsFunc(strikes, func(s tracker.Strike) bool { return !q.stored[fingerprint][s.Key()] }) {
		return nil, false
	}
	if q.pending == nil {
		q.pending, q.waiting = make(map[uint64]bool), make(chan struct{})
	}
	if !q.pending[fingerprint] && len(q.pending) >= maxStoredRequests {
		return nil, false
	}
	q.pending[fingerprint] = true
	q.wakeUp()
	return q.waiting, !q.failing
}

// storeStrikes stores the queued requests, and reviews the stored ones, until ctx ends.
func (a *Archiver) storeStrikes(ctx context.Context) {
	for ctx.Err() == nil {
		review := make(<-chan time.Time)
		if a.hasStoredRequests() {
			review = time.After(reviewInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-a.requests.wake:
		case <-review:
		}
		if a.storeRequests(ctx) {
			sleep(ctx, minStoreInterval)
		} else {
			sleep(ctx, retryDelay)
		}
	}
}

func (a *Archiver) hasStoredRequests() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.requests.stored) > 0
}

// storeRequests makes the record hold what is known of queued and stored requests, and reports whether it could.
func (a *Archiver) storeRequests(ctx context.Context) bool {
	a.mu.Lock()
	pending, waiting := a.requests.pending, a.requests.waiting
	a.requests.pending, a.requests.waiting = nil, nil
	changed := make(map[uint64]bool)
	for fp := range pending {
		changed[fp] = true
	}
	for fp := range a.requests.stored {
		if len(a.Suspects.Attributable(a.clock(), fp)) == 0 {
			changed[fp] = true
		}
	}
	a.mu.Unlock()
	if waiting != nil {
		defer close(waiting)
	}
	if len(changed) == 0 {
		return true
	}
	written, count := false, 0
	err := a.update(ctx, func(r *record) bool {
		written = false
		for fp := range changed {
			a.learn(r.request(fp))
			if r.setRequest(fp, a.Suspects.Attributable(a.clock(), fp)) {
				written = true
			}
		}
		r.trimRequests(a.clock())
		count = len(r.Requests)
		return written
	})
	if written || err != nil {
		a.Log.Info().Err(err).Int("requests", len(changed)).Int("stored", count).Msg("archiver: strikes against requests written to the store")
	}
	a.noteStored(changed, err == nil)
	return err == nil
}

// noteStored records which strikes are stored now, or queues the requests again if they could not be.
func (a *Archiver) noteStored(changed map[uint64]bool, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q := &a.requests
	q.failing = !ok
	for fp := range changed {
		strikes := a.Suspects.Attributable(a.clock(), fp)
		switch {
		case !ok && len(strikes) > 0:
			if q.pending == nil {
				q.pending, q.waiting = make(map[uint64]bool), make(chan struct{})
			}
			q.pending[fp] = true
			q.wakeUp()
		case len(strikes) == 0:
			delete(q.stored, fp)
		default:
			a.markStored(fp, strikes)
		}
	}
}

// markStored records strikes as stored; a.mu is held.
func (a *Archiver) markStored(fingerprint uint64, strikes []tracker.Strike) {
	q := &a.requests
	if q.stored == nil {
		q.stored = make(map[uint64]map[string]bool)
	}
	keys := make(map[string]bool, len(strikes))
	for _, s := range strikes {
		keys[s.Key()] = true
	}
	q.stored[fingerprint] = keys
}

// learnStrikes takes over the strikes in the record that a starting host reads.
func (a *Archiver) learnStrikes(r *record) {
	if a.Suspects == nil {
		return
	}
	for i := range r.Requests {
		strikes := a.learn(&r.Requests[i])
		a.mu.Lock()
		a.markStored(r.Requests[i].fingerprint(), strikes)
		a.mu.Unlock()
	}
	if len(r.Requests) > 0 {
		a.requests.wakeUp()
	}
}

// learn takes over the strikes against a stored request that have not expired, and returns them.
func (a *Archiver) learn(r *storedRequest) []tracker.Strike {
	if r == nil {
		return nil
	}
	now := a.clock()
	var out []tracker.Strike
	for _, s := range r.Strikes {
		if st := tracker.NewStrike(now, r.fingerprint(), s.Upstream, s.StartedAtMs); s.ExpiresAtMs > now.UnixMilli() {
			// The clock of the host that wrote it may be ahead.
			if at := time.UnixMilli(s.ExpiresAtMs); at.Before(st.Expires) {
				st.Expires = at
			}
			a.Suspects.Add(st)
			out = append(out, st)
		}
	}
	return out
}

func (r *storedRequest) fingerprint() uint64 {
	fp, _ := strconv.ParseUint(r.Fingerprint, 16, 64)
	return fp
}

// request returns the stored request with a fingerprint; nil if there is none.
func (r *record) request(fingerprint uint64) *storedRequest {
	for i := range r.Requests {
		if r.Requests[i].fingerprint() == fingerprint {
			return &r.Requests[i]
		}
	}
	return nil
}

// setRequest makes the record hold strikes against a request, or nothing of it if there are none, and reports whether that
// changes the record.
func (r *record) setRequest(fingerprint uint64, strikes []tracker.Strike) bool {
	old := r.request(fingerprint)
	if len(strikes) == 0 {
		before := len(r.Requests)
		r.Requests = slices.DeleteFunc(r.Requests, func(o storedRequest) bool { return o.fingerprint() == fingerprint })
		return len(r.Requests) < before
	}
	next := storedRequest{Fingerprint: strconv.FormatUint(fingerprint, 16)}
	for _, s := range strikes {
		next.Strikes = append(next.Strikes, storedStrike{Upstream: s.Upstream, StartedAtMs: s.Incarnation, ExpiresAtMs: s.Expires.UnixMilli()})
	}
	if old != nil {
		if !slices.ContainsFunc(next.Strikes, func(s storedStrike) bool { return !old.has(s) }) {
			return false
		}
		next.Strikes = append(next.Strikes, slices.DeleteFunc(slices.Clone(old.Strikes), next.has)...)
	}
	slices.SortFunc(next.Strikes, func(a, b storedStrike) int {
		return cmp.Or(cmp.Compare(b.ExpiresAtMs, a.ExpiresAtMs), cmp.Compare(a.Upstream, b.Upstream))
	})
	next.Strikes = next.Strikes[:min(len(next.Strikes), maxStoredStrikes)]
	if old == nil {
		r.Requests = append(r.Requests, next)
		return true
	}
	*old = next
	return true
}

// has reports whether the crash is among the stored strikes.
func (r *storedRequest) has(s storedStrike) bool {
	return slices.ContainsFunc(r.Strikes, func(o storedStrike) bool { return o.Upstream == s.Upstream && o.StartedAtMs == s.StartedAtMs })
}

// trimRequests removes requests whose strikes have expired, and the least important ones beyond maxStoredRequests.
func (r *record) trimRequests(now time.Time) {
	r.Requests = slices.DeleteFunc(r.Requests, func(o storedRequest) bool { return o.expiresAtMs() <= now.UnixMilli() })
	if len(r.Requests) <= maxStoredRequests {
		return
	}
	slices.SortStableFunc(r.Requests, func(a, b storedRequest) int {
		return cmp.Or(cmp.Compare(len(b.Strikes), len(a.Strikes)), cmp.Compare(b.expiresAtMs(), a.expiresAtMs()))
	})
	r.Requests = r.Requests[:maxStoredRequests]
}

// expiresAtMs returns when the last strike expires.
func (r *storedRequest) expiresAtMs() int64 {
	out := int64(0)
	for _, s := range r.Strikes {
		out = max(out, s.ExpiresAtMs)
	}
	return out
}
