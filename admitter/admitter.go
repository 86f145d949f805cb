// Package admitter decides which request runs next and which is refused.
//
// A request for which there is no capacity waits in a queue that is ordered by priority, then by
// the work that its workspace was served (least first), then by arrival. A request that could not
// start before its deadline is refused at once, with the time after which a retry can succeed.
// Requests whose callers give up leave the queue. The package does no I/O; the caller's try function
// defines what a slot is.
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

// Reason is why a request was refused or abandoned.
type Reason int

// The reasons. Their texts are values of a metric's label and are sent to callers.
const (
	// ReasonNone: no refusal.
	ReasonNone Reason = iota
	// ReasonQueueFull: too many requests wait on this host.
	ReasonQueueFull
	// ReasonDeadline: the request could not start, or end, before its deadline.
	ReasonDeadline
	// ReasonRateLimit: the workspace exceeds its request rate.
	ReasonRateLimit
	// ReasonNoRoute: no upstream can run the request.
	ReasonNoRoute
	// ReasonQuarantined: the request crashed the upstreams that ran it.
	ReasonQuarantined
	// ReasonStopping: this host is draining.
	ReasonStopping
	// ReasonNotReady: this host has no configuration yet, or its configuration is too old.
	ReasonNotReady
	// ReasonUnauthorised: the key is missing or belongs to no workspace.
	ReasonUnauthorised
	// ReasonForbidden: the workspace may not use what it requests.
	ReasonForbidden
	// ReasonMalformed: the request can't be parsed.
	ReasonMalformed
	// ReasonTooLarge: the request's body exceeds the limit.
	ReasonTooLarge
	// ReasonUnknown: the path, pipeline, service or call does not exist.
	ReasonUnknown
	// ReasonNoKey: a call that is not idempotent has no idempotency key.
	ReasonNoKey
	// ReasonKeyReused: the idempotency key was used with another request.
	ReasonKeyReused
	// ReasonRunning: the same call is still running.
	ReasonRunning
	// ReasonOutcomeUnknown: the call may have run, and is never run again.
	ReasonOutcomeUnknown
	// ReasonPlatform: the platform can't be reached, so a call that is not
	// idempotent can't be recorded.
	ReasonPlatform
	// ReasonUpstream: upstreams failed the request and no attempts are left.
	ReasonUpstream
	// ReasonRetryBudget: the retry budget is used up.
	ReasonRetryBudget
	// ReasonCanceled: the caller disconnected.
	ReasonCanceled
	// ReasonUpstreamLimit: the upstreams that could run the request are at the limits that they
	// announced.
	ReasonUpstreamLimit
	// ReasonUpstreamBackoff: the upstreams that could run the request have asked for a backoff.
	ReasonUpstreamBackoff
	// ReasonRepeated: the same request was asked to return later, and came before that.
	ReasonRepeated
	// ReasonCutOff: no upstream accepts connections from this host, and no other host takes the request.
	ReasonCutOff
	// ReasonPromptPart: a part of the request's prompt crashes upstreams.
	ReasonPromptPart
	// ReasonMemory: no memory is left for the body of the request.
	ReasonMemory
)

// Refusal is the error for a request that was not served; it holds the reason.
type Refusal struct {
	// Reason is never ReasonNone.
	Reason Reason
	// RetryAfter is the time after which a retry can succeed; 0 means that a retry won't help.
	RetryAfter time.Duration
	// NotRun is set only when no upstream was sent any byte of the request.
	NotRun bool
	// Detail is a text for people; it may be empty.
	Detail string
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return r.Reason.String()
	}
	return r.Reason.String() + ": " + r.Detail
}

// Ticket describes a request for a slot.
type Ticket struct {
	Workspace string
	// Group is the pipeline or service that the request waits for; requests of different groups
	// don't delay each other.
	Group string
	// Priority orders the queue; higher values are served first.
	Priority int
	// Cost is the expected work, in the same unit for all tickets; less than 1 counts as 1.
	Cost float64
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// ServiceTime is the expected time from start to the complete answer.
	ServiceTime time.Duration
}

// Admitter grants slots of type T, for example routes, and queues the requests for which no slot is
// free. It is safe for concurrent use; MaxQueued is set before use.
type Admitter[T any] struct {
	// MaxQueued is the maximum number of waiting requests over all groups.
	MaxQueued int

	mu     sync.Mutex
	groups map[string]*group[T]
	// served is the work served so far, by workspace.
	served map[string]float64
	// waitingTotal is the number of waiting requests over all groups.
	waitingTotal int
}

// group is the queue for one pipeline or service.
type group[T any] struct {
	// waiting is sorted by before.
	waiting []*waiter[T]
	// grantRate is the smoothed number of slots granted a second.
	grantRate float64
	lastGrant time.Time
}

// waiter is a request that waits for a slot.
type waiter[T any] struct {
	ticket Ticket
	try    func() (T, bool)
	// slot receives the granted slot.
	slot chan T
	// fairKey is the work served to the workspace when the request arrived, plus its own cost.
	fairKey   float64
	arrivedAt time.Time
}

// Acquire returns a slot from try, at once or after waiting, or a Refusal. try must not block: it
// is called with the admitter's lock held, so that slots are granted in order.
func (a *Admitter[T]) Acquire(ctx context.Context, now time.Time, tk Ticket, try func() (T, bool)) (T, *Refusal) {
	var none T
	w, slot, refusal := a.admitOrQueue(now, tk, try)
	if w == nil {
		return slot, refusal
	}
	timer := time.NewTimer(tk.Deadline.Add(-tk.ServiceTime).Sub(now))
	defer timer.Stop()
	select {
	case slot = <-w.slot:
		return slot, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	refusal = abandonedRefusal(ctx)
	if slot, ok := a.dequeue(tk.Group, w); ok {
		return slot, nil
	}
	refusal.RetryAfter = a.RetryAfter(tk.Group)
	return none, refusal
}

// abandonedRefusal returns the refusal of a request that waited and got no slot: its caller
// disconnected, or its deadline is too near.
func abandonedRefusal(ctx context.Context) *Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return &Refusal{Reason: ReasonCanceled, NotRun: true}
	}
	return &Refusal{Reason: ReasonDeadline, NotRun: true, Detail: "no place before the deadline"}
}

// admitOrQueue returns the waiter that it put into the queue, or a nil waiter with either a slot or
// a refusal.
func (a *Admitter[T]) admitOrQueue(now time.Time, tk Ticket, try func() (T, bool)) (*waiter[T], T, *Refusal) {
	var none T
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.group(tk.Group)
	w := &waiter[T]{ticket: tk, try: try, slot: make(chan T, 1), arrivedAt: now, fairKey: a.fairnessKey(tk)}
	if len(g.waiting) == 0 || before(w, g.waiting[0]) {
		if slot, ok := try(); ok {
			a.recordGrant(now, g, w)
			return nil, slot, nil
		}
	}
	if a.waitingTotal >= a.MaxQueued {
		return nil, none, &Refusal{Reason: ReasonQueueFull, NotRun: true, RetryAfter: g.waitFor(len(g.waiting))}
	}
	index := g.position(w)
	if wait := g.waitFor(index); now.Add(wait + tk.ServiceTime).After(tk.Deadline) {
		return nil, none, &Refusal{Reason: ReasonDeadline, NotRun: true, RetryAfter: max(wait, time.Second), Detail: "expected wait is past the deadline"}
	}
	g.waiting = append(g.waiting, nil)
	copy(g.waiting[index+1:], g.waiting[index:])
	g.waiting[index] = w
	a.waitingTotal++
	return w, none, nil
}

// dequeue removes a waiter, or returns true and the slot that the waiter was granted meanwhile.
func (a *Admitter[T]) dequeue(name string, w *waiter[T]) (T, bool) {
	var none T
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case slot := <-w.slot:
		return slot, true
	default:
	}
	g := a.group(name)
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			a.waitingTotal--
			break
		}
	}
	return none, false
}

// Wake grants slots to a group's waiters in order until try finds none. It is to be called when a
// slot may have become free.
func (a *Admitter[T]) Wake(now time.Time, name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.groups[name]
	if g == nil {
		return
	}
	for len(g.waiting) > 0 {
		w := g.waiting[0]
		slot, ok := w.try()
		if !ok {
			return
		}
		g.waiting = g.waiting[1:]
		a.waitingTotal--
		a.recordGrant(now, g, w)
		w.slot <- slot
	}
}

// WakeAll calls Wake for every group.
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

// Waiting returns the number of waiting requests in each group.
func (a *Admitter[T]) Waiting() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int, len(a.groups))
	for n, g := range a.groups {
		out[n] = len(g.waiting)
	}
	return out
}

// RetryAfter returns the expected time to drain the present queue of a group, at least 1 s.
func (a *Admitter[T]) RetryAfter(name string) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	g := a.group(name)
	return max(time.Second, g.waitFor(len(g.waiting)))
}

// group returns the group with a name, created if necessary.
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

// fairnessKey orders requests of equal priority by the work that their workspaces were served. A
// workspace that was idle starts with the work of the least served one, so that it can't claim the
// share that it did not use.
func (a *Admitter[T]) fairnessKey(tk Ticket) float64 {
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

// recordGrant counts a granted slot for the workspace and the group.
func (a *Admitter[T]) recordGrant(now time.Time, g *group[T], w *waiter[T]) {
	a.served[w.ticket.Workspace] += max(1, w.ticket.Cost)
	g.recordGrant(now)
}

// recordGrant updates the grant rate, smoothed over about the last two seconds.
func (g *group[T]) recordGrant(now time.Time) {
	const smoothingSeconds = 2.0
	if !g.lastGrant.IsZero() {
		g.grantRate *= math.Exp(-now.Sub(g.lastGrant).Seconds() / smoothingSeconds)
	}
	g.grantRate += 1 / smoothingSeconds
	g.lastGrant = now
}

// waitFor returns the expected time until n slots are granted. It is 0 before the first grant, so
// that the first requests may wait.
func (g *group[T]) waitFor(n int) time.Duration {
	if g.grantRate <= 0 || n == 0 {
		return 0
	}
	return time.Duration(float64(n) / g.grantRate * float64(time.Second))
}

// position returns the index in the queue at which w belongs.
func (g *group[T]) position(w *waiter[T]) int {
	for i, other := range g.waiting {
		if before(w, other) {
			return i
		}
	}
	return len(g.waiting)
}

// before reports whether a is served before b.
func before[T any](a, b *waiter[T]) bool {
	if a.ticket.Priority != b.ticket.Priority {
		return a.ticket.Priority > b.ticket.Priority
	}
	if a.fairKey != b.fairKey {
		return a.fairKey < b.fairKey
	}
	return a.arrivedAt.Before(b.arrivedAt)
}

// RetryBudget limits retries to a fraction of the successful requests, so that a failing upstream
// can't multiply the load on the others. Earn and Spend are safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries that each success earns.
	Ratio float64
	// Burst is the maximum number of saved retries; the budget starts with this many.
	Burst float64

	mu    sync.Mutex
	spent float64
}

// Earn records a success.
func (b *RetryBudget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-b.Ratio)
}

// Spend takes one retry, and returns false when there is none.
func (b *RetryBudget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}

// newLimiter returns a limiter whose burst is the number of requests in a second, at least 1.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(math.Ceil(perSecond))))
}
