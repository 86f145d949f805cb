// Package balancer chooses the upstreams of a request: one for a plain service,
// or a path of engines that run a model's layers in turn.
//
// It knows what the list of upstreams says, what this host has in flight, and
// what its own requests saw. It does no I/O; time comes in as an argument, on a
// clock that does not run backwards.
package balancer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// Span is a range of layers that an upstream holds.
type Span struct {
	From int `json:"from"`
	// To is the one after the last.
	To int `json:"to"`
}

// Len is the number of layers.
func (s Span) Len() int { return max(0, s.To-s.From) }

// Upstream is what the list says of one.
type Upstream struct {
	// ID is unique to an incarnation, unless Born tells otherwise.
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Leaving upstreams take no new work.
	Leaving bool `json:"leaving"`
	// Card is its kind of accelerator; empty where the service names none.
	Card string `json:"card"`
	// Holds are its layers; empty means that it holds none, or needs none.
	Holds Span `json:"holds"`
	// Born is when it was started, in Unix milliseconds.
	Born int64 `json:"born"`
}

// Hop is one upstream of a path and the layers it runs; both 0 for a plain one.
type Hop struct {
	ID, Address string
	// From is the first layer, To the one after the last.
	From, To int
}

// Lease is a chosen path with its room reserved, until Release.
type Lease struct {
	// First is the hop that the request is sent to; it never changes.
	First Hop
	// Born is when the upstream of First was started, in Unix milliseconds.
	Born int64
	// hops is the whole path, which may change while the lease is held: it is
	// read through Balancer.Path.
	hops []Hop
	// HeldOff are upstreams that were passed over since their limit has no room.
	HeldOff []string
	// need is what it was reserved for.
	need Need
	// tokens is the room reserved on each hop for each layer.
	tokens float64
	// first is set once an event has come.
	first bool
}

// Need is what a request asks for.
type Need struct {
	Service string
	// Prompt and Answer are the expected tokens; 0 for a plain service.
	Prompt, Answer float64
	// Avoid are upstreams that failed this request.
	Avoid []string
	// Firsts are the upstreams that it may be sent to; nil means any.
	Firsts []string
	// Begun is set for a stream that has to go on: it may take the room that is
	// kept free otherwise.
	Begun bool
	// Target is how soon the first event is wanted; 0 is not known.
	Target time.Duration
}

//go:generate enumer -type Reason -trimprefix Reason -transform title-lower -output reason_gen.go

// Reason is why there is no place.
type Reason int

// The reasons.
const (
	// ReasonNone: there is a place.
	ReasonNone Reason = iota
	// ReasonNoUpstream: no upstream that is up, or no path over all layers.
	ReasonNoUpstream
	// ReasonNoRoom: all that could run it are full.
	ReasonNoRoom
	// ReasonLimit: all that could run it are full, or get as many requests as their
	// limit allows.
	ReasonLimit
)

// upstream is all that is known of one.
type upstream struct {
	Upstream
	// running counts requests of this host that it is the first to run, passing
	// those whose path it is on.
	running, passing int
	// room is the token-layers that this host's requests may fill there.
	room, reserved float64
	// outUntil keeps new work off it after a failure that no list knows yet.
	outUntil time.Duration
	// suspectUntil is until when it is dearer after it was out, unless it serves.
	suspectUntil time.Duration
	// pace is how many times as long as its kind of accelerator it takes, as it
	// reported at paceAt; 0 before the first report.
	pace   float64
	paceAt time.Duration
	// slow counts slow events over it since slowSince.
	slow      int
	slowSince time.Duration
	// strikes counts failures in a row that took it out.
	strikes int
	// dead is set while it takes no connection, until it does again; died is
	// when that was found.
	dead bool
	died time.Duration
	// ended is set while it refuses connections, which shows that it is at work
	// no more.
	ended bool
	// grey is the smoothed share of failed requests.
	grey float64
	// load is what it last said of all hosts' requests, at loadAt.
	load   Load
	loadAt time.Duration
	// flows are this host's streams through it that have begun, and progressed
	// is when the last event came over any of them.
	flows      int
	progressed time.Duration
	// hidden are token-layers that nobody told of, as of fullAt, when the
	// upstream had no room though this host expected some.
	hidden float64
	fullAt time.Duration
	limit  limit
	// rank is its place in this host's own order, retired is set where the subset
	// holds it for what is in flight only.
	rank    uint64
	retired bool
}

// Load is what an upstream says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Balancer is safe for concurrent use. The fields are set before use.
type Balancer struct {
	// Host is this host's name; which part of a large fleet it uses follows from it.
	Host string
	// DataCentre is this host's own.
	DataCentre string
	Policy     picker.Policy
	Rand       *rand.Rand

	mu sync.Mutex
	// hosts counts the other hosts, by data centre.
	hosts map[string]int
	// base is the smoothed time to the first event of paths that stay in one
	// data centre, seen what is known of the links between them, and local of the
	// paths that stay in one.
	base     time.Duration
	seen     map[[2]string]*link
	local    map[string]*link
	peers    reports
	services map[string]*matcher.Service
	ups      map[string]*upstream
	byAddr   map[string]*upstream
	subset   subset
	pipes    pipes
	// limited are the upstreams that named a limit once.
	limited map[string]*upstream
	// limitedSent counts requests sent to upstreams while they named a limit, heldOff
	// those that did not go to one since its limit had no room.
	limitedSent, heldOff int64
	// hostNames are the other hosts with their data centres. hostsVersion counts their
	// changes, and hostsAt is when the change hostsNoted was noticed.
	hostNames                map[string]string
	hostsVersion, hostsNoted int64
	hostsAt                  time.Duration
}

// Configure takes in the services.
func (b *Balancer) Configure(services map[string]*matcher.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services = services
	for _, u := range b.ups {
		u.measure(services[u.Service])
	}
	b.subset.stale = true
}

// List takes in changes of the list. It returns those that differ from what was
// known: upstreams repeat their entry with each heartbeat.
func (b *Balancer) List(listed []Upstream, gone []string) (changed []Upstream, dropped []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ups == nil {
		b.ups = make(map[string]*upstream)
		b.byAddr = make(map[string]*upstream)
	}
	for _, id := range gone {
		if b.ups[id] != nil {
			dropped = append(dropped, id)
		}
		b.drop(id)
	}
	for _, l := range listed {
		u := b.ups[l.ID]
		if u != nil && u.Upstream == l {
			continue
		}
		changed = append(changed, l)
		if u != nil && (u.Born != l.Born || u.Address != l.Address) {
			b.drop(l.ID)
			u = nil
		}
		if u == nil {
			u = &upstream{rank: rankOf(b.Host, l.ID)}
			b.ups[l.ID] = u
		}
		u.Upstream = l
		u.measure(b.services[l.Service])
		b.supersede(u)
	}
	if len(b.ups) <= mostUsed {
		b.useAll()
	}
	b.subset.stale = b.subset.stale || len(changed)+len(dropped) > 0
	return changed, dropped
}

// KeepLeaving marks those of a list as leaving that are known to: a list from a copy may be
// older than that, and an incarnation that leaves does not come back.
func (b *Balancer) KeepLeaving(list []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range list {
		if u := b.ups[list[i].ID]; u != nil && u.Born == list[i].Born && u.Leaving {
			list[i].Leaving = true
		}
	}
}

// supersede drops the older of two upstreams with one address. One that was
// started again is listed under a new id while its old entry stays for some
// heartbeats; paths over the layers of the old one were turned away, and the
// new one was blamed for it.
func (b *Balancer) supersede(u *upstream) {
	old := b.byAddr[u.Address]
	switch {
	case old == nil || old == u || b.ups[old.ID] != old || old.Address != u.Address:
		b.byAddr[u.Address] = u
	case old.Born <= u.Born:
		b.drop(old.ID)
		b.byAddr[u.Address] = u
	default:
		b.drop(u.ID)
	}
}

func (b *Balancer) drop(id string) {
	u := b.ups[id]
	if u == nil {
		return
	}
	delete(b.ups, id)
	delete(b.limited, id)
	delete(b.subset.used, id)
	if b.byAddr[u.Address] == u {
		delete(b.byAddr, u.Address)
	}
}

// Listed returns the list of upstreams as it is known.
func (b *Balancer) Listed() []Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Upstream, 0, len(b.ups))
	for _, u := range b.ups {
		out = append(out, u.Upstream)
	}
	return out
}

// IDs lists the known upstreams.
func (b *Balancer) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.ups))
	for id := range b.ups {
		out = append(out, id)
	}
	return out
}

// DataCentres lists those with upstreams, in order.
func (b *Balancer) DataCentres() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, u := range b.ups {
		if !slices.Contains(out, u.DataCentre) {
			out = append(out, u.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// measure computes the room beside the layers that an upstream holds.
func (u *upstream) measure(s *matcher.Service) {
	u.room = 0
	if s == nil || s.Engine == nil {
		return
	}
	e := s.Engine
	free := CardOf(e, u.Card).MB - float64(u.Holds.Len())*e.LayerMB
	u.room = max(0, free*1e6/(e.TokenBytes/float64(e.Layers)))
}

// CardOf returns the kind of accelerator; one that holds everything where the
// service names none.
func CardOf(e *matcher.Engine, name string) matcher.Card {
	for _, c := range e.Cards {
		if c.Name == name {
			return c
		}
	}
	return matcher.Card{Name: name, MB: e.LayerMB * float64(e.Layers) * 2, Pace: 1, ReadPace: 1}
}

// Acquire reserves a place at the cheapest upstreams. The lease is nil unless
// the reason is ReasonNone.
func (b *Balancer) Acquire(now time.Duration, n Need) (*Lease, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[n.Service]
	if s == nil {
		return nil, ReasonNoUpstream
	}
	if s.Engine == nil || s.Engine.Layers == 0 {
		return b.plain(now, n)
	}
	b.refresh(now)
	l, reason := b.path(now, s, n)
	if l == nil && b.widen(now) {
		l, reason = b.path(now, s, n)
	}
	return l, reason
}

// first reports whether the request may be sent to an upstream.
func (n *Need) first(id string) bool {
	return n.Firsts == nil || slices.Contains(n.Firsts, id)
}

// usable reports whether new work may go to u.
func (u *upstream) usable(now time.Duration, avoid []string) bool {
	return !u.Leaving && !u.dead && u.outUntil <= now && !slices.Contains(avoid, u.ID)
}

const (
	// distance is how many requests in flight a plain upstream in another data
	// centre counts for: crossing costs bytes and a millisecond, and is still
	// better than to wait.
	distance = 2.0
	// greyWeight is how many requests in flight an upstream counts for that
	// fails all it gets. It has to outweigh an upstream that is nearly full.
	greyWeight = 40.0
	// stale is how long a load report is believed; older ones say nothing.
	stale = time.Second
)

// plain takes the least loaded upstream, by its own word and by what this host
// has in flight there.
func (b *Balancer) plain(now time.Duration, n Need) (*Lease, Reason) {
	var best *upstream
	var cost float64
	known := false
	var held []string
	for _, u := range b.subset.used {
		if u.Service != n.Service {
			continue
		}
		if !u.usable(now, n.Avoid) || !n.first(u.ID) {
			continue
		}
		known = true
		if !b.permitted(now, u, n.Begun) {
			held = append(held, u.ID)
			continue
		}
		c := u.pressure(now) + greyWeight*u.grey + b.Rand.Float64()*0.5
		if u.DataCentre != b.DataCentre {
			c += distance
		}
		if best == nil || c < cost {
			best, cost = u, c
		}
	}
	b.noteHeld(held)
	switch {
	case best != nil:
	case len(held) > 0:
		return nil, ReasonLimit
	case known:
		return nil, ReasonNoRoom
	default:
		return nil, ReasonNoUpstream
	}
	best.running++
	b.noteSent(now, best)
	hop := Hop{ID: best.ID, Address: best.Address}
	return &Lease{need: n, First: hop, Born: best.Born, HeldOff: held, hops: []Hop{hop}}, ReasonNone
}

// pressure is the requests that an upstream is thought to hold.
func (u *upstream) pressure(now time.Duration) float64 {
	own := float64(u.running)
	if now-u.loadAt > stale {
		return own
	}
	weight := 1 - float64(now-u.loadAt)/float64(stale)
	return own + weight*max(0, float64(u.load.Running+u.load.Waiting)-own)
}

// Release gives the places of a lease back.
func (b *Balancer) Release(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(l)
}

func (b *Balancer) release(l *Lease) {
	for i, h := range l.hops {
		u := b.ups[h.ID]
		if u == nil {
			continue
		}
		if i == 0 {
			u.running = max(0, u.running-1)
		}
		u.passing = max(0, u.passing-1)
		u.reserved = max(0, u.reserved-l.tokens*float64(h.To-h.From))
		if l.first {
			u.flows = max(0, u.flows-1)
		}
	}
}

// Path returns the hops of a lease now.
func (b *Balancer) Path(l *Lease) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(l.hops)
}

// ByAddress returns the id of the upstream at an address, or "".
func (b *Balancer) ByAddress(address string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.byAddr[address]; u != nil {
		return u.ID
	}
	return ""
}
