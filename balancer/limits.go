package balancer

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/limiter"
)

const (
	// handover is how long a host waits before it uses a limited upstream in place of
	// another one: until that has heard that it is there, or its lease is over.
	handover = 3 * time.Second
	// limitNews is how long a change of a limit is told before all others.
	limitNews = 2 * time.Second
)

// limit is what a host knows of the limit that an upstream names, and what it sent since.
type limit struct {
	limiter.Limit
	share  limiter.Share
	bucket limiter.Bucket
	// version and hosts are those that share was worked out for.
	version, hosts int64
	// from is when this host may use its share.
	from time.Duration
	// changed is when the limit last changed.
	changed time.Duration
	// unreadable is set once a limit came that can't be read.
	unreadable bool
}

// LimitChange is the limit of an upstream before and after some news, in requests a
// second; limiter.Unlimited is none.
type LimitChange struct {
	Upstream, Address string
	Was, Is           float64
	// Age is how long ago an answer named it.
	Age time.Duration
}

// String says what changed.
func (ch *LimitChange) String() string {
	switch {
	case ch.Is == limiter.Unlimited:
		return "limit of upstream ended"
	case ch.Was == limiter.Unlimited:
		return "upstream names a limit"
	default:
		return "limit of upstream changed"
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (ch *LimitChange) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", ch.Upstream).Str("address", ch.Address).Dur("age", ch.Age)
	if ch.Was != limiter.Unlimited {
		e.Float64("was", ch.Was)
	}
	if ch.Is != limiter.Unlimited {
		e.Float64("perSecond", ch.Is)
	}
}

// ObserveLimit takes in the requests a second that an answer of an incarnation of an
// upstream names, limiter.Unlimited for none, to a request that was sent at sent. It
// reports whether that changes anything.
func (b *Balancer) ObserveLimit(now, sent time.Duration, id string, born int64, perSecond float64) (LimitChange, bool) {
	return b.changeLimit(now, id, born, func(l *limiter.Limit) bool { return l.Observe(now, sent, perSecond) })
}

// MergeLimit takes in what another host knows. It reports whether that changes anything.
func (b *Balancer) MergeLimit(now time.Duration, other UpstreamLimit) (LimitChange, bool) {
	return b.changeLimit(now, other.Upstream, other.Born, func(l *limiter.Limit) bool { return l.Merge(now, other.Limit) })
}

func (b *Balancer) changeLimit(now time.Duration, id string, born int64, change func(l *limiter.Limit) bool) (LimitChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	if u == nil || u.Born != born {
		return LimitChange{}, false
	}
	l := &u.limit
	was := l.Rate()
	if !change(&l.Limit) {
		return LimitChange{}, false
	}
	l.changed = now
	if b.limited == nil {
		b.limited = make(map[string]*upstream)
	}
	b.limited[id] = u
	if l.Rate() < was {
		// What was sent before counts as well.
		l.bucket = limiter.NewBucket(now)
	}
	return LimitChange{Upstream: id, Address: u.Address, Was: was, Is: l.Rate(), Age: now - l.Heard}, true
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

// UpstreamLimit is what hosts tell each other of the limit of an incarnation of an
// upstream.
type UpstreamLimit struct {
	Upstream string
	// Born is when it was started, in Unix milliseconds.
	Born int64
	limiter.Limit
}

// Limits lists what is known of limits, at most some: those that changed a moment ago,
// then others drawn at random, so that all are told in some exchanges.
func (b *Balancer) Limits(now time.Duration, most int) []UpstreamLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news, rest []UpstreamLimit
	for id, u := range b.limited {
		one := UpstreamLimit{Upstream: id, Born: u.Born, Limit: u.limit.Limit}
		if now-u.limit.changed <= limitNews {
			news = append(news, one)
		} else {
			rest = append(rest, one)
		}
	}
	slices.SortFunc(news, func(a, b UpstreamLimit) int { return strings.Compare(a.Upstream, b.Upstream) })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	out := slices.Concat(news, rest)
	return out[:min(most, len(out))]
}

// LimitCount is how many upstreams name a limit.
func (b *Balancer) LimitCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.limited {
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

// permitted reports whether a limited upstream may be sent a request now. begun is for
// one that has to go on.
func (b *Balancer) permitted(now time.Duration, u *upstream, begun bool) bool {
	l := &u.limit
	if !l.InForce() {
		return true
	}
	b.divide(now, u)
	return now >= l.from && l.bucket.Has(now, l.share, begun)
}

// noteSent counts a request to an upstream against its limit.
func (b *Balancer) noteSent(now time.Duration, u *upstream) {
	if u.limit.InForce() {
		u.limit.bucket.Take(now, u.limit.share)
		b.limitedSent++
	}
}

// noteHeld counts a request that did not go to some upstreams for their limit.
func (b *Balancer) noteHeld(held []string) {
	if len(held) > 0 {
		b.heldOff++
	}
}

// HeldOff is how many requests did not go to an upstream since its limit had no room.
func (b *Balancer) HeldOff() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.heldOff
}

// MayAsk reports whether an upstream may be asked something beside requests. Questions
// count against its limit, which ends with its entry.
func (b *Balancer) MayAsk(now time.Duration, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.ups[id]
	return u == nil || b.takePermit(now, u)
}

// takePermit is permitted for something that is sent then.
func (b *Balancer) takePermit(now time.Duration, u *upstream) bool {
	if !b.permitted(now, u, false) {
		return false
	}
	b.noteSent(now, u)
	return true
}

// divide works out this host's share of a limit where the limit or the hosts changed.
func (b *Balancer) divide(now time.Duration, u *upstream) {
	l := &u.limit
	if b.hostsNoted != b.hostsVersion {
		b.hostsNoted, b.hostsAt = b.hostsVersion, now
	}
	if l.version == l.Version && l.hosts == b.hostsVersion {
		return
	}
	first, had := l.version == 0, l.share.PerSecond > 0
	place, hosts := b.placeFor(u)
	l.share = limiter.ShareOf(l.PerSecond, place, hosts)
	switch {
	case first && b.hostsVersion > 0:
		l.from = b.hostsAt + handover
	case !had && l.hosts != b.hostsVersion:
		l.from = now + handover
	}
	l.version, l.hosts = l.Version, b.hostsVersion
}

// placeFor is this host's place among those that may use a limited upstream, and how many
// these are: the hosts of its data centre, all where that has none. It is by rendezvous
// hashing, so that one that comes or goes changes the place of few.
func (b *Balancer) placeFor(u *upstream) (place, hosts int) {
	near := b.hosts[u.DataCentre] > 0 || b.DataCentre == u.DataCentre
	if near && b.DataCentre != u.DataCentre {
		return len(b.hostNames) + 1, b.hosts[u.DataCentre]
	}
	own := rankOf(b.Host, u.ID)
	hosts = 1
	for name, dc := range b.hostNames {
		if near && dc != u.DataCentre {
			continue
		}
		hosts++
		if rank := rankOf(name, u.ID); rank < own || (rank == own && name < b.Host) {
			place++
		}
	}
	return place, hosts
}

// LimitWait is when some upstream of a service has room within its limit again, or when
// another host may, by what this one knows.
func (b *Balancer) LimitWait(now time.Duration, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out time.Duration
	for _, u := range b.limited {
		if u.Service != service || !u.limit.InForce() || !u.usable(now, nil) {
			continue
		}
		b.divide(now, u)
		wait, ok := u.limit.bucket.Wait(now, u.limit.share)
		if !ok {
			wait = limiter.Interval(u.limit.PerSecond)
		}
		wait = max(wait, u.limit.from-now)
		if out == 0 || wait < out {
			out = wait
		}
	}
	return out
}
