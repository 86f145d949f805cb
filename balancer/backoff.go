package balancer

import (
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/matcher"
)

const (
	// maxBackoff bounds the backoff that one answer can ask for, so that a wrong value does not
	// take an upstream out of use for long. An upstream that needs more asks again.
	maxBackoff = 10 * time.Minute
	// maxReturnWindow is the return window from which an upstream is no longer returning.
	maxReturnWindow = 32
	// returnTime is how long after a backoff an upstream is returning, unless it accepts enough
	// requests before: other hosts still learn of the backoff, so that this one finds out whether
	// the upstream still rejects requests.
	returnTime = time.Second
	// backoffMemory is how long after its last known backoff an upstream that no request of this
	// host was accepted by since is expected to reject requests. It spans the window that retries
	// are counted in, so that one host does not spend them on the same upstreams again and again.
	backoffMemory = 10 * time.Second
	// firstToReturn is how many of the hosts that keep a backoff of an upstream send to it again
	// without regard to the others, on average. With one, there would often be none.
	firstToReturn = 2
	// leavingMemory is how long an incarnation that left is remembered beyond its list entry: far
	// longer than a list can be out of date.
	leavingMemory = time.Hour
)

// incarnation identifies one run of an upstream's process.
type incarnation struct {
	id        string
	startedAt int64
}

// announcement is what an upstream's incarnation said about itself in answers to this host. It
// outlasts the list entry, which a store that is restored or unreachable may lose for a while.
type announcement struct {
	// backoffUntil is when this host may send requests again, backoffFrom when the current
	// backoff began; both are 0 before the first one.
	backoffFrom, backoffUntil time.Duration
	// returnWindow is how many of this host's requests may be in flight that were sent after the
	// backoff, until returnTime after its end; 0 means any number. It doubles with each request that
	// is accepted.
	returnWindow int
	// returning counts these requests.
	returning int
	// draw is a random number in [0, 1) for each backoff. It decides whether this host is among
	// the first that send to the upstream again.
	draw float64
	// isLeaving is set once the incarnation has said that it leaves, at leavingSince. It does not
	// come back, whatever a list says.
	isLeaving    bool
	leavingSince time.Duration
}

// backingOff reports whether this host must not send to the upstream now.
func (a *announcement) backingOff(now time.Duration) bool { return a != nil && a.backoffUntil > now }

// isReturning reports whether a backoff has just ended and it is not clear yet whether the upstream
// accepts requests again.
func (a *announcement) isReturning(now time.Duration) bool {
	return a != nil && a.returnWindow > 0 && a.backoffUntil <= now && now < a.backoffUntil+returnTime
}

// withheld reports whether the upstream must not get a new request now: in a backoff, or while the
// requests sent after one are not accepted yet.
func (a *announcement) withheld(now time.Duration) bool {
	return a.backingOff(now) || (a.isReturning(now) && a.returning >= a.returnWindow)
}

// withheldFrom reports whether a request with these requirements must not go to the upstream now.
func (u *upstream) withheldFrom(now time.Duration, n *Requirements) bool {
	a := u.announcement
	return a.withheld(now) || (n.AvoidReturning && (a.isReturning(now) || u.mayRejectAgain(now)))
}

// mayRejectAgain reports whether the upstream has recently asked this host or another one for a
// backoff and has accepted no request of this host since.
func (u *upstream) mayRejectAgain(now time.Duration) bool {
	if a := u.announcement; a != nil && a.returnWindow == 1 && now < a.backoffUntil+backoffMemory {
		return true
	}
	return u.othersBackoffUntil > now
}

// isReported reports whether this host's reports count the backoff.
func (a *announcement) isReported(now time.Duration) bool {
	return a.backingOff(now) || (a.isReturning(now) && a.returnWindow == 1)
}

// Backoff is the time in which an upstream wants no request from this host.
type Backoff struct {
	Upstream, Address string
	// Wait is its whole length.
	Wait time.Duration
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (o *Backoff) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", o.Upstream).Str("address", o.Address).Float64("seconds", o.Wait.Seconds())
}

// ObserveBackoff applies the wait that an answer of an upstream's incarnation asks for, at most
// maxBackoff. A shorter wait never ends a longer one. It reports whether a backoff begins or becomes
// longer; begins tells these apart.
func (b *Balancer) ObserveBackoff(now time.Duration, id string, startedAt int64, wait time.Duration) (o Backoff, begins, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := now + min(wait, maxBackoff)
	if wait <= 0 || until <= b.announced[incarnation{id, startedAt}].until() {
		return Backoff{}, false, false
	}
	a := b.announce(incarnation{id, startedAt})
	if begins = !a.backingOff(now); begins {
		a.backoffFrom = now
		b.backoffCount++
	}
	a.backoffUntil, a.returnWindow, a.draw = until, 1, b.Rand.Float64()
	b.backingOff[incarnation{id, startedAt}] = a
	return b.backoffOf(incarnation{id, startedAt}, a), begins, true
}

// until returns when the last backoff ends or ended; 0 when there was none.
func (a *announcement) until() time.Duration {
	if a == nil {
		return 0
	}
	return a.backoffUntil
}

// announce returns the announcement of an incarnation, and creates it if there is none.
func (b *Balancer) announce(key incarnation) *announcement {
	if b.announced == nil {
		b.announced = make(map[incarnation]*announcement)
		b.backingOff = make(map[incarnation]*announcement)
	}
	a := b.announced[key]
	if a == nil {
		a = new(announcement)
		b.announced[key] = a
	}
	if u := b.upstreams[key.id]; u != nil && u.StartedAt == key.startedAt {
		u.announcement = a
	}
	return a
}

// backoffOf describes the last backoff of an incarnation.
func (b *Balancer) backoffOf(key incarnation, a *announcement) Backoff {
	o := Backoff{Upstream: key.id, Wait: a.backoffUntil - a.backoffFrom}
	if u := b.upstreams[key.id]; u != nil && u.StartedAt == key.startedAt {
		o.Address = u.Address
	}
	return o
}

// ObserveLeaving records that an upstream's incarnation has said that it leaves. It reports whether
// that is new.
func (b *Balancer) ObserveLeaving(now time.Duration, id string, startedAt int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.announce(incarnation{id, startedAt})
	if a.isLeaving {
		return false
	}
	a.isLeaving, a.leavingSince = true, now
	b.leavingCount++
	if u := b.upstreams[id]; u != nil && u.announcement == a {
		u.Leaving = true
		b.subset.stale = true
	}
	b.forgetLeft(now)
	return true
}

// forgetLeft drops the announcements of incarnations that left long ago and are not listed.
func (b *Balancer) forgetLeft(now time.Duration) {
	for key, a := range b.announced {
		if u := b.upstreams[key.id]; a.isLeaving && now-a.leavingSince > leavingMemory && (u == nil || u.announcement != a) {
			delete(b.announced, key)
		}
	}
}

// LeavingCount returns the number of upstreams that have announced in responses that they leave.
func (b *Balancer) LeavingCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.leavingCount
}

// EndedBackoffs returns the backoffs that have ended since the last call, sorted by upstream.
func (b *Balancer) EndedBackoffs(now time.Duration) []Backoff {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Backoff
	for key, a := range b.backingOff {
		if a.backingOff(now) {
			continue
		}
		delete(b.backingOff, key)
		out = append(out, b.backoffOf(key, a))
		if u := b.upstreams[key.id]; !a.isLeaving && (u == nil || u.announcement != a) {
			delete(b.announced, key)
		}
	}
	slices.SortFunc(out, func(a, b Backoff) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// MaySend reports whether an upstream's incarnation may be sent something now: no backoff of it runs.
// It is asked right before the send, since an upstream may ask for a backoff after Acquire.
func (b *Balancer) MaySend(now time.Duration, id string, startedAt int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.announced[incarnation{id, startedAt}].backingOff(now)
}

// MayStart is MaySend for a new request, which an upstream that leaves must not get either.
func (b *Balancer) MayStart(now time.Duration, id string, startedAt int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.announced[incarnation{id, startedAt}]
	return !a.backingOff(now) && (a == nil || !a.isLeaving)
}

// RecordAccepted records that the upstreams of a lease did not reject its request. Upstreams whose
// backoff is over may then have twice as many requests in flight.
func (b *Balancer) RecordAccepted(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.accepted {
		return
	}
	l.accepted = true
	for _, h := range l.hops {
		if u := b.upstreams[h.ID]; u != nil {
			u.othersBackoffUntil = 0
		}
	}
	for _, a := range l.returning {
		if a.returnWindow *= 2; a.returnWindow > maxReturnWindow {
			a.returnWindow = 0
		}
	}
}

// trackReturning counts a new lease at the upstreams of its path whose backoff is over.
func (b *Balancer) trackReturning(now time.Duration, l *Lease) {
	for _, h := range l.hops {
		if u := b.upstreams[h.ID]; u != nil && u.announcement.isReturning(now) {
			u.announcement.returning++
			l.returning = append(l.returning, u.announcement)
		}
	}
}

// countWithheld counts a request that skipped upstreams because of their backoff.
func (b *Balancer) countWithheld(withheld []string) {
	if len(withheld) > 0 {
		b.withheldCount++
	}
}

// BackoffCount returns the number of backoffs that upstreams have asked for.
func (b *Balancer) BackoffCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.backoffCount
}

// WithheldCount returns the number of requests that skipped an upstream because of its backoff.
func (b *Balancer) WithheldCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.withheldCount
}

// BackoffWait returns the time until enough backoffs have ended that the service can be served: the
// earliest one of a plain service, and of engines the last one of those that hold each layer first.
// Where upstreams without a backoff hold all of it, and so are full, it is the time until the first
// backoff ends. It is 0 when no backoff is the reason.
func (b *Balancer) BackoffWait(now time.Duration, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return 0
	}
	// waits holds the least wait for each layer, for plain services in its only element.
	waits := make([]time.Duration, layerCount(s))
	for i := range waits {
		waits[i] = -1
	}
	earliest := time.Duration(0)
	for _, u := range b.upstreams {
		if u.Service != service || !u.reachable(now, nil) {
			continue
		}
		wait := max(0, u.announcement.until()-now)
		if wait > 0 && (earliest == 0 || wait < earliest) {
			earliest = wait
		}
		from, to := 0, 1
		if s.Engine != nil && s.Engine.Layers > 0 {
			from, to = max(0, u.Layers.From), min(len(waits), u.Layers.To)
		}
		for l := from; l < to; l++ {
			if waits[l] < 0 || wait < waits[l] {
				waits[l] = wait
			}
		}
	}
	if slices.Contains(waits, -1) {
		return 0
	}
	if longest := slices.Max(waits); longest > 0 {
		return longest
	}
	return earliest
}

// layerCount returns the number of a service's layers; a plain service counts as one.
func layerCount(s *matcher.Service) int {
	if s.Engine != nil && s.Engine.Layers > 0 {
		return s.Engine.Layers
	}
	return 1
}
