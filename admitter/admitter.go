// Package admitter decides which request goes next and which is refused.
//
// A request that finds no room waits in a queue ordered by priority, then by
// how little its workspace was served, then by arrival. The queue is bounded in
// time: one that could not start before its deadline is refused at once, with
// the time after which a new try is worthwhile. Nothing given up on is held
// back. The package does no I/O; what a place is comes in as Try.
package admitter

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

//go:generate enumer -type Reason -trimprefix Reason -transform title-lower -output reason_gen.go

// Reason is why a request was refused or given up on.
type Reason int

// The reasons, each the label of a counter.
const (
	// ReasonNone is no refusal.
	ReasonNone Reason = iota
	// ReasonQueueFull: too many requests wait on this host.
	ReasonQueueFull
	// ReasonDeadline: it could not start, or end, before its deadline.
	ReasonDeadline
	// ReasonRateLimit: its workspace is over its limit.
	ReasonRateLimit
	// ReasonNoRoute: no upstream can run it.
	ReasonNoRoute
	// ReasonQuarantined: it crashed the upstreams that ran it.
	ReasonQuarantined
	// ReasonStopping: this host is stopping.
	ReasonStopping
	// ReasonNotReady: this host has no configuration yet.
	ReasonNotReady
	// ReasonUnauthorised: no key, or one that names no workspace.
	ReasonUnauthorised
	// ReasonForbidden: the workspace may not use what it asks for.
	ReasonForbidden
	// ReasonMalformed: the request can't be read.
	ReasonMalformed
	// ReasonTooLarge: the request's body is over the limit.
	ReasonTooLarge
	// ReasonUnknown: there is no such path, pipeline, service or call.
	ReasonUnknown
	// ReasonNoKey: a call that is not idempotent came without a key.
	ReasonNoKey
	// ReasonKeyReused: the key came before with another request.
	ReasonKeyReused
	// ReasonRunning: the same call is still running.
	ReasonRunning
	// ReasonOutcomeUnknown: the call may have run; it is never run again.
	ReasonOutcomeUnknown
	// ReasonPlatform: the platform can't be reached, so a call that is not
	// idempotent can't be recorded.
	ReasonPlatform
	// ReasonUpstream: upstreams failed it and retrying is over.
	ReasonUpstream
	// ReasonRetryBudget: too many retries already, so no more.
	ReasonRetryBudget
	// ReasonCanceled: the caller went away.
	ReasonCanceled
	// ReasonUpstreamLimit: the upstreams that could run it get as many requests as they
	// said that they take.
	ReasonUpstreamLimit
)

// Refusal tells a caller why its request was not answered.
type Refusal struct {
	// Reason is the counter's label; never ReasonNone.
	Reason Reason
	// RetryAfter is when a new try is worthwhile; 0 means a new try won't help.
	RetryAfter time.Duration
	// NotRun holds only when no upstream was sent any byte of the request.
	NotRun bool
	// Detail is for people; it may be empty.
	Detail string
}

// Error gives the reason and the detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return r.Reason.String()
	}
	return r.Reason.String() + ": " + r.Detail
}

// Ticket is a request that wants a place.
type Ticket struct {
	Workspace string
	// Group is what it waits for, a pipeline or service; requests of different
	// groups don't hold each other up.
	Group string
	// Priority is served before lower ones.
	Priority int
	// Cost is the expected work, in any one unit; at least 1.
	Cost float64
	// Deadline is when the answer must be whole.
	Deadline time.Time
	// Service is how long the answer takes once started.
	Service time.Duration
}

// Admitter hands out places of type T, such as a route.
type Admitter[T any] struct {
	// Queued bounds the requests that wait.
	Queued int

	mu     sync.Mutex
	groups map[string]*group[T]
	served map[string]float64
	total  int
}

type group[T any] struct {
	waiting []*waiter[T]
	// drain is the smoothed rate of places given, in a second.
	drain float64
	last  time.Time
}

type waiter[T any] struct {
	ticket Ticket
	try    func() (T, bool)
	ready  chan T
	// fair is the work served to its workspace when it came, plus its own.
	fair float64
	seq  time.Time
}

// Acquire returns a place from try, at once or after waiting, or a Refusal.
// try must not block. It is called under the admitter's lock, so places go out
// in order.
func (a *Admitter[T]) Acquire(ctx context.Context, now time.Time, tk Ticket, try func() (T, bool)) (T, *Refusal) {
	var none T
	w, place, refusal := a.enter(now, tk, try)
	if w == nil {
		return place, refusal
	}
	timer := time.NewTimer(tk.Deadline.Add(-tk.Service).Sub(now))
	defer timer.Stop()
	select {
	case place = <-w.ready:
		return place, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	refusal = givenUp(ctx)
	if place, ok := a.leave(tk.Group, w); ok {
		return place, nil
	}
	refusal.RetryAfter = a.RetryAfter(tk.Group)
	return none, refusal
}

// givenUp is why a request that waited got no place: its caller went away, or
// its time is over.
func givenUp(ctx context.Context) *Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Refusal{Reason: ReasonCanceled, NotRun: true}
	}
	return &Refusal{Reason: ReasonDeadline, NotRun: true, Detail: "no place before the deadline"}
}

// enter gives a place, a refusal or a waiter.
func (a *Admitter[T]) enter(now time.Time, tk Ticket, try func() (T, bool)) (*waiter[T], T, *Refusal) {
	var none T
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.group(tk.Group)
	w := &waiter[T]{ticket: tk, try: try, ready: make(chan T, 1), seq: now, fair: a.fairness(tk)}
	if len(g.waiting) == 0 || before(w, g.waiting[0]) {
		if place, ok := try(); ok {
			a.gave(now, g, w)
			return nil, place, nil
		}
	}
	if a.total >= a.Queued {
		return nil, none, &Refusal{Reason: ReasonQueueFull, NotRun: true, RetryAfter: g.wait(len(g.waiting))}
	}
	at := g.position(w)
	if wait := g.wait(at); now.Add(wait + tk.Service).After(tk.Deadline) {
		return nil, none, &Refusal{Reason: ReasonDeadline, NotRun: true, RetryAfter: max(wait, time.Second), Detail: "expected wait is past the deadline"}
	}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[at+1:], g.waiting[at:])
	g.waiting[at] = w
	a.total++
	return w, none, nil
}

// leave takes a waiter out, or returns the place it was given meanwhile.
func (a *Admitter[T]) leave(name string, w *waiter[T]) (T, bool) {
	var none T
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case place := <-w.ready:
		return place, true
	default:
	}
	g := a.group(name)
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			a.total--
			break
		}
	}
	return none, false
}

// Wake gives places to those who wait, in order, until there is none left. It
// is called when a place may have become free.
func (a *Admitter[T]) Wake(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.groups[name]
	if g == nil {
		return
	}
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		place, ok := w.try()
		if !ok {
			return
		}
		g.waiting = g.waiting[1:]
		a.total--
		a.gave(now, g, w)
		w.ready <- place
	}
}

// WakeAll is Wake for every group.
func (a *Admitter[T]) WakeAll(now time.Time) {
	a.mu.Lock()
	names := make([]string, 0, len(a.groups))
	for n, g := range a.groups {
		if len(g.waiting) > 0 {
			names = append(names, n)
		}
	}
	a.mu.Unlock()
	for _, n := range names {
		a.Wake(now, n)
	}
}

// Waiting returns how many wait in each group.
func (a *Admitter[T]) Waiting() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, len(a.groups))
	for n, g := range a.groups {
		out[n] = len(g.waiting)
	}
	return out
}

// RetryAfter is how long the present queue of a group takes to drain, at least
// a second.
func (a *Admitter[T]) RetryAfter(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.group(name)
	return max(time.Second, g.wait(len(g.waiting)))
}

func (a *Admitter[T]) group(name string) *group[T] {
	if a.groups == nil {
		a.groups = make(map[string]*group[T])
		a.served = make(map[string]float64)
	}
	g := a.groups[name]
	if g == nil {
		g = new(group[T])
		a.groups[name] = g
	}
	return g
}

// fairness orders requests of equal priority by the work their workspaces were
// served. One that was idle starts level with the least served, so that it
// can't claim what it didn't use.
func (a *Admitter[T]) fairness(tk Ticket) float64 {
	least := math.Inf(1)
	for _, v := range a.served {
		least = min(least, v)
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	if a.served[tk.Workspace] < least {
		a.served[tk.Workspace] = least
	}
	return a.served[tk.Workspace] + max(1, tk.Cost)
}

func (a *Admitter[T]) gave(now time.Time, g *group[T], w *waiter[T]) {
	a.served[w.ticket.Workspace] += max(1, w.ticket.Cost)
	g.gave(now)
}

// gave smooths the rate of places over about the last two seconds.
func (g *group[T]) gave(now time.Time) {
	const window = 2.0
	if !g.last.IsZero() {
		g.drain *= math.Exp(-now.Sub(g.last).Seconds() / window)
	}
	g.drain += 1 / window
	g.last = now
}

// wait is how long n places take at the present rate; 0 when none was given
// yet, so the first requests are let wait.
func (g *group[T]) wait(n int) time.Duration {
	if g.drain <= 0 || n == 0 {
		return 0
	}
	return time.Duration(float64(n) / g.drain * float64(time.Second))
}

func (g *group[T]) position(w *waiter[T]) int {
	for i, other := range g.waiting {
		if before(w, other) {
			return i
		}
	}
	return len(g.waiting)
}

func before[T any](a, b *waiter[T]) bool {
	if a.ticket.Priority != b.ticket.Priority {
		return a.ticket.Priority > b.ticket.Priority
	}
	if a.fair != b.fair {
		return a.fair < b.fair
	}
	return a.seq.Before(b.seq)
}

// Budget bounds retries to a part of the requests that succeeded, so that a
// failing upstream can't multiply the load on the others.
type Budget struct {
	// Ratio is how many retries each success earns.
	Ratio float64
	// Burst is how many can be saved up; the budget starts full.
	Burst float64

	mu    sync.Mutex
	spent float64
}

// Earn takes in a success.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// Spend takes one retry, or reports that there is none.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// newLimiter allows a second's worth at once, and at least one.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}
