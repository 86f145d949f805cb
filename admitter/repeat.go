package admitter

import (
	"sync"
	"time"
)

const (
	// maxWaits bounds the requests that Repeats keeps in memory: 700 KB.
	maxWaits = 8192
	// shortageTime is how long after a refusal for lack of capacity a service counts as short of it.
	shortageTime = 500 * time.Millisecond
	// deadlineTolerance is how much the deadline of a repeated request may differ from that of the first:
	// the variation of the time on the way.
	deadlineTolerance = 50 * time.Millisecond
)

// Asked identifies a caller's request. An equal request that ends at another time comes from another caller.
type Asked struct {
	Fingerprint uint64
	// Deadline is when the caller gives up by its own account; 0 if it names no deadline.
	Deadline time.Duration
}

// askedKey is an Asked with its deadline in units of deadlineTolerance.
type askedKey struct {
	fingerprint uint64
	slot        int64
}

// key returns the key of a.
func (a Asked) key() askedKey { return askedKey{a.Fingerprint, int64(a.Deadline / deadlineTolerance)} }

// refusedRequest is when a refused request may return.
type refusedRequest struct {
	returnAt time.Duration
	// latest is the latest time that callers with the same request were given since, at least returnAt.
	latest time.Duration
}

// Repeats keeps which refused requests this host has asked to return later. It answers callers that
// repeat a refused request at once and often, which would take places and retries from those that
// wait. A request that comes before its time is let through once others find capacity. It is safe for
// concurrent use; the zero value is ready to use.
type Repeats struct {
	mu sync.Mutex
	// refused holds the requests, order their keys from the oldest on.
	refused map[askedKey]refusedRequest
	order   []askedKey
	// shortAt is when a service last had no capacity for a request that is no repeat.
	shortAt map[string]time.Duration
}

// RecordRefused records that a request found no capacity and may return after a wait.
func (p *Repeats) RecordRefused(now time.Duration, service string, a Asked, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refused == nil {
		p.refused, p.shortAt = make(map[askedKey]refusedRequest), make(map[string]time.Duration)
	}
	if _, known := p.shortAt[service]; !known && len(p.shortAt) >= maxPromiseServices {
		clear(p.shortAt)
	}
	p.shortAt[service] = now
	key, known := p.find(a)
	if !known {
		p.order = append(p.order, key)
	}
	p.refused[key] = refusedRequest{now + wait, now + wait}
	p.removeExpired(now)
}

// find returns the key under which a request is kept, and whether it is.
func (p *Repeats) find(a Asked) (key askedKey, known bool) {
	own := a.key()
	for _, slot := range []int64{own.slot, own.slot - 1, own.slot + 1} {
		key = askedKey{own.fingerprint, slot}
		if _, known = p.refused[key]; known {
			return key, true
		}
	}
	return own, false
}

// removeExpired removes the oldest entries that have expired, and those beyond maxWaits. An entry
// with a long wait keeps those after it until it expires.
func (p *Repeats) removeExpired(now time.Duration) {
	for len(p.order) > 0 && (len(p.order) > maxWaits || now-p.refused[p.order[0]].latest > returnTolerance) {
		delete(p.refused, p.order[0])
		p.order = p.order[1:]
	}
}

// Remaining returns for how much longer a request is to wait, and whether it is, while the service
// has no capacity for others either.
func (p *Repeats) Remaining(now time.Duration, service string, a Asked) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, known := p.find(a)
	shortAt, short := p.shortAt[service]
	if at := p.refused[key].returnAt; known && now < at && short && now-shortAt <= shortageTime {
		return at - now, true
	}
	return 0, false
}

// Latest returns the latest time that callers with the same request were given; 0 if there is none.
func (p *Repeats) Latest(a Asked) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	key, _ := p.find(a)
	return p.refused[key].latest
}

// RecordRepeat records that a request which came before its time may return at another one. The first
// time holds on, as it may have been given to another caller.
func (p *Repeats) RecordRepeat(a Asked, returnAt time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if key, known := p.find(a); known {
		one := p.refused[key]
		one.latest = max(one.latest, returnAt)
		p.refused[key] = one
	}
}

// Len returns the number of requests that are kept.
func (p *Repeats) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.refused)
}
