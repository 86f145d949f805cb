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
	// handoverDelay is how long a host waits before it uses a limited upstream in place of
	// another host. By then the other host has learned of the change, or its lease has expired.
	handoverDelay = 3 * time.Second
	// maxRecentLimitAge is how long after its last change a limit counts as recently changed. Limits
	// returns those before all others.
	maxRecentLimitAge = 2 * time.Second
)

// limit is an upstream's rate limit with this host's share of it and what it has sent.
type limit struct {
	limiter.Limit
	share  limiter.Share
	bucket limiter.Bucket
	// shareVersion and shareHostsVersion are the versions that share was computed for.
	shareVersion, shareHostsVersion int64
	// usableFrom is when this host may start to use its share.
	usableFrom time.Duration
	// changedAt is when the limit last changed.
	changedAt time.Duration
}

// LimitChange is an upstream's rate limit before and after a change, in requests a second;
// limiter.Unlimited stands for no limit.
type LimitChange struct {
	Upstream, Address string
	Before, After     float64
	// Age is how long ago an answer last named the limit.
	Age time.Duration
}

// String describes the change for logs.
func (ch *LimitChange) String() string {
	switch {
	case ch.After == limiter.Unlimited:
		return "limit of upstream ended"
	case ch.Before == limiter.Unlimited:
		return "upstream names a limit"
	default:
		return "limit of upstream changed"
	}
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (ch *LimitChange) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", ch.Upstream).Str("address", ch.Address).Dur("age", ch.Age)
	if ch.Before != limiter.Unlimited {
		e.Float64("was", ch.Before)
	}
	if ch.After != limiter.Unlimited {
		e.Float64("perSecond", ch.After)
	}
}

// ObserveLimit applies the rate limit that an answer of an upstream's incarnation names, in
// requests a second; limiter.Unlimited for none. sent is when the request was sent. It reports
// whether the limit changed.
func (b *Balancer) ObserveLimit(now, sent time.Duration, id string, born int64, perSecond float64) (LimitChange, bool) {
	return b.changeLimit(now, id, born, func(l *limiter.Limit) bool { return l.Observe(now, sent, perSecond) })
}

// MergeLimit applies a limit as another host knows it. It reports whether the limit changed.
func (b *Balancer) MergeLimit(now time.Duration, other UpstreamLimit) (LimitChange, bool) {
	return b.changeLimit(now, other.Upstream, other.StartedAt, func(l *limiter.Limit) bool { return l.Merge(now, other.Limit) })
}

func (b *Balancer) changeLimit(now time.Duration, id string, born int64, change func(l *limiter.Limit) bool) (LimitChange, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil || u.StartedAt != born {
		return LimitChange{}, false
	}
	l := &u.limit
	was := l.Rate()
	if !change(&l.Limit) {
		return LimitChange{}, false
	}
	l.changedAt = now
	if b.limited == nil {
		b.limited = make(map[string]*upstream)
	}
	b.limited[id] = u
	if l.Rate() < was {
		// Requests that were sent before count against the lower limit as well.
		l.bucket = limiter.NewBucket(now)
	}
	return LimitChange{Upstream: id, Address: u.Address, Before: was, After: l.Rate(), Age: now - l.LastNamedAt}, true
}

// FirstUnreadable records that an upstream sent a header that can't be parsed. It reports whether
// that is the first time with that header.
func (b *Balancer) FirstUnreadable(id, header string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	if u == nil || slices.Contains(u.unreadable, header) {
		return false
	}
	u.unreadable = append(u.unreadable, header)
	return true
}

// UpstreamLimit is the rate limit of an upstream's incarnation, as hosts exchange it.
type UpstreamLimit struct {
	Upstream string
	// StartedAt is when the incarnation was started, in Unix milliseconds.
	StartedAt int64
	limiter.Limit
}

// Limits returns at most a given number of the known limits: recently changed ones first, then
// others drawn at random, so that all are sent within some exchanges.
func (b *Balancer) Limits(now time.Duration, maxCount int) []UpstreamLimit {
	b.mu.Lock()
	defer b.mu.Unlock()
	var recent, rest []UpstreamLimit
	for id, u := range b.limited {
		one := UpstreamLimit{Upstream: id, StartedAt: u.StartedAt, Limit: u.limit.Limit}
		if now-u.limit.changedAt <= maxRecentLimitAge {
			recent = append(recent, one)
		} else {
			rest = append(rest, one)
		}
	}
	slices.SortFunc(recent, func(a, b UpstreamLimit) int { return strings.Compare(a.Upstream, b.Upstream) })
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	out := slices.Concat(recent, rest)
	return out[:min(maxCount, len(out))]
}

// LimitCount returns the number of upstreams that name a limit.
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

// LimitedSentCount returns the number of requests sent to upstreams with a limit in force.
func (b *Balancer) LimitedSentCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limitedSent
}

// withinLimit reports whether the limit of an upstream allows a request now. inProgress is set for
// a stream that has begun and needs a path to continue on.
func (b *Balancer) withinLimit(now time.Duration, u *upstream, inProgress bool) bool {
	l := &u.limit
	if !l.InForce() {
		return true
	}
	b.updateShare(now, u)
	return now >= l.usableFrom && l.bucket.CanTake(now, l.share, inProgress)
}

// countSent counts a sent request against the limit of its upstream.
func (b *Balancer) countSent(now time.Duration, u *upstream) {
	if u.limit.InForce() {
		u.limit.bucket.Take(now, u.limit.share)
		b.limitedSent++
	}
}

// countThrottled counts a request that skipped upstreams because of their limit.
func (b *Balancer) countThrottled(throttled []string) {
	if len(throttled) > 0 {
		b.throttledCount++
	}
}

// ThrottledCount returns the number of requests that skipped an upstream because its limit had no
// capacity.
func (b *Balancer) ThrottledCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.throttledCount
}

// AllowProbe reports whether an upstream may be sent a probe, and counts it against the limit. A
// limit ends with the list entry, so that an upstream that isn't listed may always be probed.
func (b *Balancer) AllowProbe(now time.Duration, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.upstreams[id]
	return u == nil || b.takePermit(now, u)
}

// takePermit reports whether the limit allows a request now, and counts one if so.
func (b *Balancer) takePermit(now time.Duration, u *upstream) bool {
	if !b.withinLimit(now, u, false) {
		return false
	}
	b.countSent(now, u)
	return true
}

// updateShare recomputes this host's share if the limit or the hosts have changed.
func (b *Balancer) updateShare(now time.Duration, u *upstream) {
	l := &u.limit
	if b.hostsVersionSeen != b.hostsVersion {
		b.hostsVersionSeen, b.hostsChangedAt = b.hostsVersion, now
	}
	if l.shareVersion == l.Version && l.shareHostsVersion == b.hostsVersion {
		return
	}
	first, had := l.shareVersion == 0, l.share.PerSecond > 0
	place, hosts := b.placeFor(u)
	l.share = limiter.ShareOf(l.PerSecond, place, hosts)
	switch {
	case first && b.hostsVersion > 0:
		l.usableFrom = b.hostsChangedAt + handoverDelay
	case !had && l.shareHostsVersion != b.hostsVersion:
		l.usableFrom = now + handoverDelay
	}
	l.shareVersion, l.shareHostsVersion = l.Version, b.hostsVersion
}

// placeFor returns this host's place among the hosts that may use a limited upstream, and their
// number. These are the hosts of its data centre, or all hosts where that has none. Rendezvous
// hashing sets the order, so that a host that joins or leaves changes the place of few others.
func (b *Balancer) placeFor(u *upstream) (place, hosts int) {
	nearby := b.hostCounts[u.DataCentre] > 0 || b.DataCentre == u.DataCentre
	if nearby && b.DataCentre != u.DataCentre {
		return len(b.hostDataCentres) + 1, b.hostCounts[u.DataCentre]
	}
	own := rankOf(b.Host, u.ID)
	hosts = 1
	for name, dc := range b.hostDataCentres {
		if nearby && dc != u.DataCentre {
			continue
		}
		hosts++
		if rank := rankOf(name, u.ID); rank < own || (rank == own && name < b.Host) {
			place++
		}
	}
	return place, hosts
}

// LimitWait returns the time until this host, or another one as far as this host knows, may send a
// request to some limited upstream of the service; 0 when no limit is in force.
func (b *Balancer) LimitWait(now time.Duration, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out time.Duration
	for _, u := range b.limited {
		if u.Service != service || !u.limit.InForce() || !u.usable(now, nil) {
			continue
		}
		b.updateShare(now, u)
		wait, ok := u.limit.bucket.Wait(now, u.limit.share)
		if !ok {
			wait = limiter.Interval(u.limit.PerSecond)
		}
		wait = max(wait, u.limit.usableFrom-now)
		if out == 0 || wait < out {
			out = wait
		}
	}
	return out
}
