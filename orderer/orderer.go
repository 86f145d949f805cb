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
	// period is the time between two looks at the layout, and idlePeriod on a host
	// that gives no orders and only remembers what was listed.
	period     = 250 * time.Millisecond
	idlePeriod = time.Second
	// patience is how long an order that was accepted is awaited before the list
	// is believed again. An upstream first drains the streams over what it gives
	// up; with four seconds a second and a third one were sent for the same gap.
	patience = 20 * time.Second
	// refused is how long one that was refused, or not answered, is left alone.
	refused = time.Second
	// timeout bounds one order: a hundred times the way there and back.
	timeout = 500 * time.Millisecond
	// settle is how long the fleet must not have grown before the first layout
	// is made, so that one plan has all of it: upstreams appear over a heartbeat.
	settle = 900 * time.Millisecond
	// returns is how long the place of one that is no longer listed is kept:
	// some seconds of a crash less the heartbeats until its entry lapses.
	returns = 4 * time.Second
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

	// grown is when the fleet was last seen to grow before the first layout,
	// and size how many it had.
	grown   time.Duration
	size    int
	settled bool
	last    map[string]remembered

	mu      sync.Mutex
	pending map[string]pending
	taken   map[string]taken
}

// taken is how many orders an upstream took since its start.
type taken struct {
	orders, born int64
}

// pending is an order that the list does not show yet.
type pending struct {
	span placer.Span
	// born is the start of the upstream that it was given to.
	born  int64
	until time.Duration
	// failed is set where it was refused or not answered.
	failed bool
}

// Run gives orders until ctx ends.
func (o *Orderer) Run(ctx context.Context) {
	o.pending = make(map[string]pending)
	o.taken = make(map[string]taken)
	o.last = make(map[string]remembered)
	tick := time.NewTicker(period)
	defer tick.Stop()
	var looked time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		holds := o.HoldsAny()
		if !holds {
			o.forget()
		}
		if now := o.Now(); o.settled && !holds && now-looked < idlePeriod-period/2 {
			continue
		}
		looked = o.Now()
		for _, s := range o.Services() {
			if s.Engine != nil && s.Engine.Layers > 0 {
				o.place(ctx, s, holds)
			}
		}
	}
}

// place looks at one service, and gives orders where this host holds a duty. Where
// it does not, it still remembers what was listed: a duty is mostly taken right
// after an outage or a cut, while entries that lapsed in it are on their way back.
func (o *Orderer) place(ctx context.Context, s *matcher.Service, holds bool) {
	fleet := o.Balancer.Fleet(o.Now(), s.Name)
	if len(fleet) == 0 || !o.settle(len(fleet)) {
		return
	}
	byID := make(map[string]*balancer.Member, len(fleet))
	var members []placer.Member
	addresses := make(map[string]string, len(fleet))
	for i := range fleet {
		u := &fleet[i]
		if u.Leaving {
			// It does not come back: what it holds is a gap from now on.
			delete(o.last, u.Address)
			continue
		}
		byID[u.ID] = u
		addresses[u.ID] = u.Address
		members = append(members, o.member(s.Engine, u))
	}
	members = o.remember(members, addresses)
	if !holds {
		return
	}
	for _, m := range placer.PlanFor(model(s.Engine), members, o.Holds) {
		u := byID[m.ID]
		if u == nil || u.Out || !o.Holds(u.DataCentre) {
			continue
		}
		o.expect(s.Engine, u, m.Span)
		go o.order(ctx, u, m.Span)
	}
}

// remember adds members that were listed a moment ago, and notes since when the
// empty ones are. One that crashed is listed again within seconds, empty and
// maybe under another name, at the same address.
func (o *Orderer) remember(members []placer.Member, addresses map[string]string) []placer.Member {
	now := o.Now()
	listed := make(map[string]bool, len(members))
	for i := range members {
		m := &members[i]
		address := addresses[m.ID]
		listed[address] = true
		r, known := o.last[address]
		switch {
		case m.Held.Len() > 0:
			o.last[address] = remembered{*m, now, 0}
		case !known || r.emptySince == 0:
			o.last[address] = remembered{*m, now, now}
		default:
			m.Waited = now - r.emptySince
		}
	}
	for _, address := range slices.Sorted(maps.Keys(o.last)) {
		r := o.last[address]
		if listed[address] {
			continue
		}
		if now-r.seen > returns || r.member.Held.Len() == 0 {
			delete(o.last, address)
			continue
		}
		r.member.Missing, r.member.Pending = true, false
		members = append(members, r.member)
	}
	return members
}

// remembered is a member as it was last listed.
type remembered struct {
	member placer.Member
	seen   time.Duration
	// emptySince is since when it holds nothing; 0 while it holds layers.
	emptySince time.Duration
}

// settle reports whether the fleet was seen whole once.
func (o *Orderer) settle(size int) bool {
	if size > o.size {
		o.size = size
		o.grown = o.Now()
	}
	o.settled = o.settled || o.Now()-o.grown >= settle
	return o.settled
}

// forget drops what is known of orders: another host gives them now.
func (o *Orderer) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	clear(o.pending)
	clear(o.taken)
}

func model(e *matcher.Engine) placer.Model {
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

// member is an upstream as the layout sees it. While an order is under way it is
// taken to hold what it was ordered: it takes nothing new for its old layers.
func (o *Orderer) member(e *matcher.Engine, u *balancer.Member) placer.Member {
	card := balancer.CardOf(e, u.Card)
	m := placer.Member{ID: u.ID, DataCentre: u.DataCentre, MB: card.MB, Pace: card.Pace, Held: placer.Span(u.Holds), Missing: u.Out, Streams: u.Streams}
	if o.awaits(u) {
		m.Pending = true
		o.mu.Lock()
		m.Held = o.pending[u.ID].span
		o.mu.Unlock()
	}
	return m
}

// awaits reports whether an order to u is under way.
func (o *Orderer) awaits(u *balancer.Member) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p, ok := o.pending[u.ID]
	if !ok {
		return false
	}
	done := p.span.Len() > 0 && placer.Span(u.Holds) == p.span && !p.failed
	if done || p.born != u.Born || o.Now() > p.until {
		delete(o.pending, u.ID)
		return false
	}
	return true
}

func (o *Orderer) expect(e *matcher.Engine, u *balancer.Member, span placer.Span) {
	load := time.Duration(float64(e.LoadTime) * float64(span.Len()) / float64(e.Layers))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending[u.ID] = pending{span: span, born: u.Born, until: o.Now() + load + patience}
}

// order gives one order. Where the count of orders is not known, or was wrong,
// the upstream is asked for it.
func (o *Orderer) order(ctx context.Context, u *balancer.Member, span placer.Span) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := o.try(ctx, u, span)
	if errors.Is(err, ErrRefused) {
		o.learn(ctx, u)
		err = o.try(ctx, u, span)
	}
	if err != nil {
		o.mu.Lock()
		delete(o.taken, u.ID)
		o.pending[u.ID] = pending{span: placer.Span(u.Holds), born: u.Born, until: o.Now() + refused, failed: true}
		o.mu.Unlock()
	}
	o.Log.Info().Err(err).Str("upstream", u.ID).Str("address", u.Address).Int("from", span.From).Int("to", span.To).
		Msg("orderer: order given")
}

func (o *Orderer) try(ctx context.Context, u *balancer.Member, span placer.Span) error {
	// A host was suspended past its lease and gave orders beside its successor;
	// the lease is looked at right before the order is sent.
	if !o.Holds(u.DataCentre) {
		return ErrRefused
	}
	n := o.count(u)
	err := o.Engines.Place(ctx, u.Address, balancer.Span(span), n)
	if err == nil {
		o.mu.Lock()
		o.taken[u.ID] = taken{orders: n + 1, born: u.Born}
		o.mu.Unlock()
	}
	return err
}

// count is how many orders an upstream has taken: none since its start, unless
// this host knows better.
func (o *Orderer) count(u *balancer.Member) int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	if t := o.taken[u.ID]; t.born == u.Born {
		return t.orders
	}
	return 0
}

func (o *Orderer) learn(ctx context.Context, u *balancer.Member) {
	n, err := o.Engines.Taken(ctx, u.Address)
	if err != nil {
		o.Log.Debug().Err(err).Str("upstream", u.ID).Msg("orderer: count of orders not learnt")
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.taken[u.ID] = taken{orders: n, born: u.Born}
}
