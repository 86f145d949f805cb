// Package orderer carries out the layouts that package placer decides. For each data centre one
// host does so: the one that holds its duty, the exclusive right to give orders to its upstreams.
//
// Each order states how many orders the upstream must have taken before it. An upstream thereby
// refuses an order that arrives late, after newer ones, and a host that was suspended and still
// believes that it holds the duty cannot undo the orders of its successor.
package orderer

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/placer"
)

// Errors of Engines.
var (
	// ErrRefused means that the upstream is not in the expected state.
	ErrRefused = errors.New("orderer: upstream is not in the expected state")
	// ErrUncertain means that no answer came. The order may still be carried out, even late.
	ErrUncertain = errors.New("orderer: no answer from the upstream")
)

// Engines sends orders to upstreams. Each call is for the upstream with the id of u: another one that has its address
// now refuses it.
type Engines interface {
	// Place orders an upstream to hold a span of layers. expected is the number of orders
	// that it must have taken before; otherwise the error wraps ErrRefused.
	Place(ctx context.Context, u balancer.Hop, span balancer.Span, expected int64) error
	// OrderCount returns the number of orders that an upstream has taken since its start.
	OrderCount(ctx context.Context, u balancer.Hop) (int64, error)
}

const (
	// planPeriod is the time between two comparisons of the fleet with its layout. idlePeriod
	// replaces it on a host that gives no orders and only records which members are listed.
	planPeriod = 250 * time.Millisecond
	idlePeriod = time.Second
	// pendingTimeout is how long an accepted order counts as pending, beyond its load time,
	// while the list does not show it. An upstream first drains the streams that use the layers
	// it gives up; with four seconds, a second and a third upstream got orders for the same gap.
	pendingTimeout = 20 * time.Second
	// retryDelay is the time without orders to an upstream that refused one or did not answer.
	retryDelay = time.Second
	// orderTimeout bounds one order and its retry: a hundred round trips.
	orderTimeout = 500 * time.Millisecond
	// settleTime is how long the fleet must not have grown before the first layout, so that
	// the layout includes all of it: its upstreams appear over the course of a heartbeat.
	settleTime = 900 * time.Millisecond
	// returnGrace is how long an upstream that is no longer listed keeps its place: the few
	// seconds until it returns from a crash, less the heartbeats until its list entry expires.
	returnGrace = 4 * time.Second
)

// Orderer gives orders to upstreams. The exported fields are set before Run.
type Orderer struct {
	Balancer *balancer.Balancer
	Engines  Engines
	// Services returns the services in force by name.
	Services func() map[string]*matcher.Service
	// Holds reports whether this host holds the duty for a data centre, HoldsAny whether it
	// holds any. Both must return false when this host may have lost it.
	Holds    func(dataCentre string) bool
	HoldsAny func() bool
	// Now is a clock that also advances while the machine is suspended.
	Now func() time.Duration
	Log zerolog.Logger

	// grownAt is when the fleet was last seen to grow before the first layout, fleetSize the
	// number of its members then. settled is set once it has stopped growing.
	grownAt   time.Duration
	fleetSize int
	settled   bool
	// lastListed holds the members seen recently, by address.
	lastListed map[string]listedMember

	mu sync.Mutex
	// pendingOrder and orderCount are keyed by the ID of the upstream.
	pendingOrder map[string]pendingOrder
	orderCount   map[string]orderCount
}

// orderCount is the number of orders that an upstream has taken since startedAt, its start in
// Unix milliseconds.
type orderCount struct {
	orders, startedAt int64
}

// pendingOrder is an order that the list does not show yet.
type pendingOrder struct {
	span placer.Span
	// startedAt identifies the incarnation of the upstream that got the order by its start, in
	// Unix milliseconds.
	startedAt int64
	// until is when the order no longer counts as pending, by Orderer.Now.
	until time.Duration
	// failed is set if the order was refused or not answered.
	failed bool
}

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.pendingOrder = make(map[string]pendingOrder)
	o.orderCount = make(map[string]orderCount)
	o.lastListed = make(map[string]listedMember)
	tick := time.NewTicker(planPeriod)
	defer tick.Stop()
	var lastPlanned time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		holds := o.HoldsAny()
		if !holds {
			o.forgetOrders()
		}
		if now := o.Now(); o.settled && !holds && now-lastPlanned < idlePeriod-planPeriod/2 {
			continue
		}
		lastPlanned = o.Now()
		for _, s := range o.Services() {
			if s.Engine != nil && s.Engine.Layers > 0 {
				o.placeService(ctx, s, holds)
			}
		}
	}
}

// placeService compares one service with its layout, and gives orders if this host holds a duty.
// If not, it still records which members are listed: a duty is mostly taken right after an
// outage or a network partition, when entries that expired meanwhile are about to return.
func (o *Orderer) placeService(ctx context.Context, s *matcher.Service, holds bool) {
	fleet := o.Balancer.Fleet(o.Now(), s.Name)
	if len(fleet) == 0 || !o.fleetSettled(len(fleet)) {
		return
	}
	byID := make(map[string]*balancer.Member, len(fleet))
	var members []placer.Member
	addresses := make(map[string]string, len(fleet))
	for i := range fleet {
		u := &fleet[i]
		if u.Leaving {
			// It does not return, so what it holds is a gap from now on.
			delete(o.lastListed, u.Address)
			continue
		}
		byID[u.ID] = u
		addresses[u.ID] = u.Address
		members = append(members, o.memberOf(s.Engine, u))
	}
	members = o.addRecentlyListed(members, addresses)
	if !holds {
		return
	}
	for _, m := range placer.PlanFor(modelOf(s.Engine), members, o.Holds) {
		u := byID[m.ID]
		if u == nil || u.Unavailable || u.BackingOff || !o.Holds(u.DataCentre) {
			continue
		}
		o.addPending(s.Engine, u, m.Span)
		go o.sendOrder(ctx, u, m.Span)
	}
}

// addRecentlyListed adds members that were listed a moment ago, as unreachable, and sets how long
// the empty ones have been empty. An upstream that crashed is listed again within seconds, empty and
// possibly under another ID, at the same address.
func (o *Orderer) addRecentlyListed(members []placer.Member, addresses map[string]string) []placer.Member {
	now := o.Now()
	listed := make(map[string]bool, len(members))
	for i := range members {
		m := &members[i]
		address := addresses[m.ID]
		listed[address] = true
		r, known := o.lastListed[address]
		switch {
		case m.Held.Len() > 0:
			o.lastListed[address] = listedMember{*m, now, 0}
		case !known || r.emptySince == 0:
			o.lastListed[address] = listedMember{*m, now, now}
		default:
			m.EmptyFor = now - r.emptySince
		}
	}
	for _, address := range slices.Sorted(maps.Keys(o.lastListed)) {
		r := o.lastListed[address]
		if listed[address] {
			continue
		}
		if now-r.seenAt > returnGrace || r.member.Held.Len() == 0 {
			delete(o.lastListed, address)
			continue
		}
		r.member.Unreachable, r.member.Pending = true, false
		members = append(members, r.member)
	}
	return members
}

// listedMember is a member as it was last listed.
type listedMember struct {
	member placer.Member
	seenAt time.Duration
	// emptySince is when it was first listed without layers; 0 while it holds layers.
	emptySince time.Duration
}

// fleetSettled reports whether the fleet has ever stopped growing for settleTime, so that it was
// seen whole. size is its current number of members.
func (o *Orderer) fleetSettled(size int) bool {
	if size > o.fleetSize {
		o.fleetSize = size
		o.grownAt = o.Now()
	}
	o.settled = o.settled || o.Now()-o.grownAt >= settleTime
	return o.settled
}

// forgetOrders drops all state about orders, since another host may give them now.
func (o *Orderer) forgetOrders() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.pendingOrder)
	clear(o.orderCount)
}

// modelOf returns the parameters of a model for its placement.
func modelOf(e *matcher.Engine) placer.Model {
	return placer.Model{
		Layers:  e.Layers,
		LayerMB: e.LayerMB,
		TokenMB: e.TokenBytes / float64(e.Layers) / 1e6,
		// On average over its lifetime a request holds its prompt and half of its answer.
		TokensPerRequest:   e.Prompt + e.Answer/2,
		StepTime:           e.StepMs,
		StepTimePerRequest: e.PerSequenceMs + e.PerContextMs*(e.Prompt+e.Answer/2)/1e3,
		Slots:              e.Slots,
	}
}

// memberOf returns an upstream as placer sees it. While an order to it is pending, it counts as
// holding the ordered span: it takes no new requests for its old layers.
func (o *Orderer) memberOf(e *matcher.Engine, u *balancer.Member) placer.Member {
	card := balancer.CardOf(e, u.Card)
	if card.MB == 0 {
		// An upstream of unknown size is ordered to hold no more than it holds.
		card.MB = float64(u.Layers.Len()) * e.LayerMB
	}
	m := placer.Member{ID: u.ID, DataCentre: u.DataCentre, MB: card.MB, Pace: card.StepTimeFactor, Held: placer.Span(u.Layers), Unreachable: u.Unavailable, Streams: u.InFlight}
	if o.orderPending(u) {
		m.Pending = true
		o.mu.Lock()
		m.Held = o.pendingOrder[u.ID].span
		o.mu.Unlock()
	}
	return m
}

// orderPending reports whether an order to u is pending. It drops an order that has been carried
// out, has timed out or went to another incarnation.
func (o *Orderer) orderPending(u *balancer.Member) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.pendingOrder[u.ID]
	if !ok {
		return false
	}
	done := p.span.Len() > 0 && placer.Span(u.Layers) == p.span && !p.failed
	if done || p.startedAt != u.StartedAt || o.Now() > p.until {
		delete(o.pendingOrder, u.ID)
		return false
	}
	return true
}

// addPending records an order that is about to be sent.
func (o *Orderer) addPending(e *matcher.Engine, u *balancer.Member, span placer.Span) {
	loadTime := time.Duration(float64(e.LoadTime) * float64(span.Len()) / float64(e.Layers))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pendingOrder[u.ID] = pendingOrder{span: span, startedAt: u.StartedAt, until: o.Now() + loadTime + pendingTimeout}
}

// sendOrder sends one order. If the upstream refuses it, because its order count was unknown or
// wrong, the count is fetched and the order sent once more.
func (o *Orderer) sendOrder(ctx context.Context, u *balancer.Member, span placer.Span) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := o.tryOrder(ctx, u, span)
	if errors.Is(err, ErrRefused) {
		o.fetchCount(ctx, u)
		err = o.tryOrder(ctx, u, span)
	}
	if err != nil {
		o.mu.Lock()
		delete(o.orderCount, u.ID)
		o.pendingOrder[u.ID] = pendingOrder{span: placer.Span(u.Layers), startedAt: u.StartedAt, until: o.Now() + retryDelay, failed: true}
		o.mu.Unlock()
	}
	o.Log.Info().Err(err).Str("upstream", u.ID).Str("address", u.Address).Int("from", span.From).Int("to", span.To).
		Msg("orderer: order given")
}

// tryOrder sends an order once. It returns ErrRefused if this host no longer holds the duty.
func (o *Orderer) tryOrder(ctx context.Context, u *balancer.Member, span placer.Span) error {
	// A host that was suspended past its lease gave orders beside its successor, so the lease
	// is checked right before the order is sent.
	if !o.Holds(u.DataCentre) {
		return ErrRefused
	}
	n := o.expectedCount(u)
	err := o.Engines.Place(ctx, hopOf(u), balancer.Span(span), n)
	if err == nil {
		o.mu.Lock()
		o.orderCount[u.ID] = orderCount{orders: n + 1, startedAt: u.StartedAt}
		o.mu.Unlock()
	}
	return err
}

// hopOf returns how Engines names an upstream.
func hopOf(u *balancer.Member) balancer.Hop { return balancer.Hop{ID: u.ID, Address: u.Address} }

// expectedCount returns the number of orders that an upstream should have taken: the last known
// number, or 0 if none is known since its start.
func (o *Orderer) expectedCount(u *balancer.Member) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.orderCount[u.ID]; t.startedAt == u.StartedAt {
		return t.orders
	}
	return 0
}

// fetchCount asks an upstream for the number of orders that it has taken.
func (o *Orderer) fetchCount(ctx context.Context, u *balancer.Member) {
	n, err := o.Engines.OrderCount(ctx, hopOf(u))
	if err != nil {
		o.Log.Debug().Err(err).Str("upstream", u.ID).Msg("orderer: reading the order count failed")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orderCount[u.ID] = orderCount{orders: n, startedAt: u.StartedAt}
}
