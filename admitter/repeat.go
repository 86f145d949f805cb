package admitter

import (
	"sync"
	"time"
)

const (
	// maxWaits bounds the requests that Repeats keeps in memory: 400 KB.
	maxWaits = 8192
	// shortageTime is how long after a refusal for lack of capacity a service counts as short of it.
	shortageTime = 500 * time.Millisecond
)

// Repeats keeps which refused requests this host has asked to return later, by fingerprint. It
// answers callers that repeat a refused request at once and often, which would take places and
// retries from those that wait. A request that comes before its time is let through once others find
// capacity. It is safe for concurrent use; the zero value is ready to use.
type Repeats struct {
	mu sync.Mutex
	// returnAt is when a request may return, order its fingerprints from the oldest on.
	returnAt map[uint64]time.Duration
	order    []uint64
	// shortAt is when a service last had no capacity for a request that is no repeat.
	shortAt map[string]time.Duration
}

// RecordRefused records that a request found no capacity and may return after a wait.
func (p *Repeats) RecordRefused(now time.Duration, service string, fingerprint uint64, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.returnAt == nil {
		p.returnAt, p.shortAt = make(map[uint64]time.Duration), make(map[string]time.Duration)
	}
	if _, known := p.shortAt[service]; !known && len(p.shortAt) >= maxPromiseServices {
		clear(p.shortAt)
	}
	p.shortAt[service] = now
	if _, known := p.returnAt[fingerprint]; !known {
		p.order = append(p.order, fingerprint)
	}
	p.returnAt[fingerprint] = now + wait
	p.removeExpired(now)
}

// removeExpired removes the oldest entries that have expired, and those beyond maxWaits. An entry
// with a long wait keeps those after it until it expires.
func (p *Repeats) removeExpired(now time.Duration) {
	for len(p.order) > 0 && (len(p.order) > maxWaits || now-p.returnAt[p.order[0]] > returnTolerance) {
		delete(p.returnAt, p.order[0])
		p.order = p.order[1:]
	}
}

// Remaining returns for how much longer a request is to wait, and whether it is, while the service
// has no capacity for others either.
func (p *Repeats) Remaining(now time.Duration, service string, fingerprint uint64) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.returnAt[fingerprint]
	shortAt, short := p.shortAt[service]
	if !ok || now >= at || !short || now-shortAt > shortageTime {
		return 0, false
	}
	return at - now, true
}

// Returned reports whether a request returns as it was asked to.
func (p *Repeats) Returned(now time.Duration, fingerprint uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, ok := p.returnAt[fingerprint]
	return ok && now >= at && now-at <= returnTolerance
}

// Len returns the number of requests that are kept.
func (p *Repeats) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.returnAt)
}
