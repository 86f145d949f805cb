// Package orderer has the layout that placer decides carried out, on the one
// host that holds the duty for a data centre.
//
// An order names how many orders the upstream must have taken before. One that
// is carried out late, after newer ones, is refused by that; and a host that
// was suspended and still believes it holds the duty can't undo what its
// successor ordered.
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

// Errors of an order.
var (
	// ErrRefused: the upstream's state is not the expected one.
	ErrRefused = errors.New("orderer: upstream is in another state")
	// ErrUncertain: no answer came; the order may be carried out, also late.
	ErrUncertain = errors.New("orderer: no answer")
)

// Engines is the seam to upstreams.
type Engines interface {
	// Place orders an upstream to hold a range of layers. expected is how many
	// orders it has taken.
	Place(ctx context.Context, address string, span balancer.Span, expected int64) error
	// Taken returns how many orders an upstream has taken since its start.
	Taken(ctx context.Context, address string) (int64, error)
}

const (
	// planPeriod is the time between two looks at the layout, and idlePeriod on a host
	// that gives no orders and only remembers what was listed.
	planPeriod = 250 * time.Millisecond
	idlePeriod = time.Second
	// pendingTimeout is how long an order that was accepted is awaited before the list
	// is believed again. An upstream first drains the streams over what it gives
	// up; with four seconds a second and a third one were sent for the same gap.
	pendingTimeout = 20 * time.Second
	// retryDelay is how long one that was refused, or not answered, is left alone.
	retryDelay = time.Second
	// orderTimeout bounds one order: a hundred times the way there and back.
	orderTimeout = 500 * time.Millisecond
	// settleTime is how long the fleet must not have grown before the first layout
	// is made, so that one plan has all of it: upstreams appear over a heartbeat.
	settleTime = 900 * time.Millisecond
	// returnGrace is how long the place of one that is no longer listed is kept:
	// some seconds of a crash less the heartbeats until its entry lapses.
	returnGrace = 4 * time.Second
)

// Orderer gives orders. The fields are set before Run.
type Orderer struct {
	Balancer *balancer.Balancer
	Engines  Engines
	// Services returns the services in force.
	Services func() map[string]*matcher.Service
	// Holds reports whether this host surely holds the duty for a data centre,
	// HoldsAny whether it does for any.
	Holds    func(dataCentre string) bool
	HoldsAny func() bool
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	Log zerolog.Logger

	// grownAt is when the fleet was last seen to grow before the first layout,
	// and size how many it had.
	grownAt    time.Duration
	fleetSize  int
	settled    bool
	lastListed map[string]listedMember

	mu          sync.Mutex
	pending     map[string]pendingOrder
	orderCounts map[string]orderCount
}

// orderCount is how many orders an upstream took since its start.
type orderCount struct {
	orders, startedAt int64
}

// pendingOrder is an order that the list does not show yet.
type pendingOrder struct {
	span placer.Span
	// startedAt is the start of the upstream that it was given to.
	startedAt int64
	until     time.Duration
	// failed is set where it was refused or not answered.
	failed bool
}

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.pending = make(map[string]pendingOrder)
	o.orderCounts = make(map[string]orderCount)
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

// placeService looks at one service, and gives orders where this host holds a duty. Where
// it does not, it still remembers what was listed: a duty is mostly taken right
// after an outage or a cut, while entries that lapsed in it are on their way back.
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
			// It does not come back: what it holds is a gap from now on.
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
		if u == nil || u.Out || !o.Holds(u.DataCentre) {
			continue
		}
		o.addPending(s.Engine, u, m.Span)
		go o.sendOrder(ctx, u, m.Span)
	}
}

// addRecentlyListed adds members that were listed a moment ago, and notes since when the
// empty ones are. One that crashed is listed again within seconds, empty and
// maybe under another name, at the same address.
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
			m.Waited = now - r.emptySince
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
		r.member.Missing, r.member.Pending = true, false
		members = append(members, r.member)
	}
	return members
}

// listedMember is a member as it was last listed.
type listedMember struct {
	member placer.Member
	seenAt time.Duration
	// emptySince is since when it holds nothing; 0 while it holds layers.
	emptySince time.Duration
}

// fleetSettled reports whether the fleet was seen whole once.
func (o *Orderer) fleetSettled(size int) bool {
	if size > o.fleetSize {
		o.fleetSize = size
		o.grownAt = o.Now()
	}
	o.settled = o.settled || o.Now()-o.grownAt >= settleTime
	return o.settled
}

// forgetOrders drops what is known of orders: another host gives them now.
func (o *Orderer) forgetOrders() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.pending)
	clear(o.orderCounts)
}

func modelOf(e *matcher.Engine) placer.Model {
	return placer.Model{
		Layers:  e.Layers,
		LayerMB: e.LayerMB,
		TokenMB: e.TokenBytes / float64(e.Layers) / 1e6,
		// Over its life a request holds its prompt and half of its answer.
		Tokens:  e.Prompt + e.Answer/2,
		Step:    e.StepMs,
		Request: e.PerSequenceMs + e.PerContextMs*(e.Prompt+e.Answer/2)/1e3,
		Slots:   e.Slots,
	}
}

// memberOf is an upstream as the layout sees it. While an order is under way it is
// taken to hold what it was ordered: it takes nothing new for its old layers.
func (o *Orderer) memberOf(e *matcher.Engine, u *balancer.Member) placer.Member {
	card := balancer.CardOf(e, u.Card)
	m := placer.Member{ID: u.ID, DataCentre: u.DataCentre, MB: card.MB, Pace: card.Pace, Held: placer.Span(u.Holds), Missing: u.Out, Streams: u.Streams}
	if o.orderPending(u) {
		m.Pending = true
		o.mu.Lock()
		m.Held = o.pending[u.ID].span
		o.mu.Unlock()
	}
	return m
}

// orderPending reports whether an order to u is under way.
func (o *Orderer) orderPending(u *balancer.Member) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.pending[u.ID]
	if !ok {
		return false
	}
	done := p.span.Len() > 0 && placer.Span(u.Holds) == p.span && !p.failed
	if done || p.startedAt != u.Born || o.Now() > p.until {
		delete(o.pending, u.ID)
		return false
	}
	return true
}

func (o *Orderer) addPending(e *matcher.Engine, u *balancer.Member, span placer.Span) {
	loadTime := time.Duration(float64(e.LoadTime) * float64(span.Len()) / float64(e.Layers))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[u.ID] = pendingOrder{span: span, startedAt: u.Born, until: o.Now() + loadTime + pendingTimeout}
}

// sendOrder gives one order. Where the count of orders is not known, or was wrong,
// the upstream is asked for it.
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
		delete(o.orderCounts, u.ID)
		o.pending[u.ID] = pendingOrder{span: placer.Span(u.Holds), startedAt: u.Born, until: o.Now() + retryDelay, failed: true}
		o.mu.Unlock()
	}
	o.Log.Info().Err(err).Str("upstream", u.ID).Str("address", u.Address).Int("from", span.From).Int("to", span.To).
		Msg("orderer: order given")
}

func (o *Orderer) tryOrder(ctx context.Context, u *balancer.Member, span placer.Span) error {
	// A host was suspended past its lease and gave orders beside its successor;
	// the lease is looked at right before the order is sent.
	if !o.Holds(u.DataCentre) {
		return ErrRefused
	}
	n := o.expectedCount(u)
	err := o.Engines.Place(ctx, u.Address, balancer.Span(span), n)
	if err == nil {
		o.mu.Lock()
		o.orderCounts[u.ID] = orderCount{orders: n + 1, startedAt: u.Born}
		o.mu.Unlock()
	}
	return err
}

// expectedCount is how many orders an upstream has taken: none since its start, unless
// this host knows better.
func (o *Orderer) expectedCount(u *balancer.Member) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.orderCounts[u.ID]; t.startedAt == u.Born {
		return t.orders
	}
	return 0
}

func (o *Orderer) fetchCount(ctx context.Context, u *balancer.Member) {
	n, err := o.Engines.Taken(ctx, u.Address)
	if err != nil {
		o.Log.Debug().Err(err).Str("upstream", u.ID).Msg("orderer: count of orders not learnt")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.orderCounts[u.ID] = orderCount{orders: n, startedAt: u.Born}
}
