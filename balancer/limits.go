package balancer

import (
	"time"

	"github.com/sardineward/sardineward/limiter"
)

// limit is what a host knows of the limit that an upstream names.
type limit struct {
	limiter.Limit
	// unreadable is set once a limit came that can't be read.
	unreadable bool
}

// LimitChange is a limit before and after an answer, in requests a second;
// limiter.Unlimited is none.
type LimitChange struct {
	Was, Is float64
}

// ObserveLimit takes in the requests a second that an answer of an incarnation of an
// upstream names, limiter.Unlimited for none. It reports whether that changes anything.
func (b *Balancer) ObserveLimit(now, sent time.Duration, id string, born int64, perSecond float64) (LimitChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil || u.Born != born {
		return LimitChange{}, false
	}
	was := u.limit.Rate()
	changed := u.limit.Observe(now, sent, perSecond)
	return LimitChange{Was: was, Is: u.limit.Rate()}, changed
}

// UnreadableLimit notes that an upstream named a limit which can't be read. It reports
// whether that is the first one.
func (b *Balancer) UnreadableLimit(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil || u.limit.unreadable {
		return false
	}
	u.limit.unreadable = true
	return true
}

// LimitCount is how many upstreams name a limit.
func (b *Balancer) LimitCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.ups {
		if u.limit.InForce() {
			n++
		}
	}
	return n
}

// LimitedSent is how many requests went to upstreams while they named a limit.
func (b *Balancer) LimitedSent() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limitedSent
}

// noteSent counts a request to an upstream that names a limit.
func (b *Balancer) noteSent(u *upstream) {
	if u.limit.InForce() {
		b.limitedSent++
	}
}
