package balancer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

const (
	// hopTime is what one more upstream on a path costs beside its layers: the
	// pass it has to wait for and the transfer to it.
	hopTime = 2 * time.Millisecond
	// remoteBias makes upstreams of other data centres dearer: callers there
	// come first, and a lost link cuts the stream. With little of it, data centres
	// with faster cards draw load from all others.
	remoteBias = 1.0
	// crossing is what a link between data centres inside a path costs beyond
	// its time: more than any path inside one, so that a link is taken only where
	// no path goes without. All that a request has read goes over it, one request
	// after the other, so that full data centres which send each other their load
	// hold up every first event.
	crossing = 10 * time.Second
	// lateBias is how much dearer the upstreams of a data centre are in which first
	// events take as long as callers want at most: as dear as those of another one, so
	// that what is beyond goes there while there is room.
	lateBias = 1.0
	// tokenDelay is the delay of one link a token, where none is declared.
	tokenDelay = time.Millisecond
	// suspectBias is how much dearer an upstream is that some host suspects: taken only
	// where hardly another one holds its layers.
	suspectBias = 10.0
	// greyBias is how much dearer an upstream is that fails all it gets.
	greyBias = 20.0
	// batchWeight is how much of the time that the requests in a batch add to
	// its step counts: once for this request, and once for what this one adds to
	// theirs.
	batchWeight = 2.0
	// slotShare is the part of its slots that the first upstream of a path is
	// given; beyond, requests wait there for others to end.
	slotShare = 0.9
	// headroom is the part of the room that is kept for what other hosts
	// reserve meanwhile and for answers longer than expected.
	headroom = 0.1
)

// path takes the cheapest path over the layers with room on each hop.
func (b *Balancer) path(now time.Duration, s *matcher.Service, n Need) (*Lease, Reason) {
	cands := b.candidates(now, s, n)
	held := b.holdOff(now, cands, n)
	hops, reason := b.choose(now, s.Engine, n, cands)
	if reason == ReasonNoRoom {
		hops = b.overPipes(now, s.Engine, n, cands)
	}
	b.noteHeld(held)
	if hops == nil {
		if reason == ReasonNoRoom && len(held) > 0 {
			reason = ReasonLimit
		}
		return nil, reason
	}
	first := b.ups[hops[0].ID]
	l := &Lease{need: n, tokens: n.tokens(), hops: hops, First: hops[0], Born: first.Born, HeldOff: held}
	b.reserve(l)
	b.noteSent(now, first)
	return l, ReasonNone
}

// tokens are what a request holds over its life: its prompt and half of its
// answer; those on one upstream are at all stages of it.
func (n Need) tokens() float64 { return n.Prompt + n.Answer/2 }

// choose is the cheapest path; nil unless the reason is ReasonNone. It goes over
// several data centres only where none of them holds all layers. Full data centres
// would fill the pipes between them with prompts: every stream over a pipe waits there
// at each of its events.
func (b *Balancer) choose(now time.Duration, e *matcher.Engine, n Need, cands []picker.Candidate) ([]Hop, Reason) {
	if len(cands) == 0 {
		return nil, ReasonNoUpstream
	}
	route := b.Policy.Pick(cands, picker.Need{Layers: e.Layers, Local: true}, nil, b.Rand)
	if route == nil && holdsAll(cands, e.Layers) {
		return nil, ReasonNoRoom
	}
	if route == nil {
		route = b.Policy.Pick(cands, picker.Need{Layers: e.Layers}, b.links(now, e, n, cands), b.Rand)
	}
	if route == nil {
		return nil, b.shortage(cands, e.Layers)
	}
	return b.hopsOf(route), ReasonNone
}

// candidates are the upstreams that new work may go to.
func (b *Balancer) candidates(now time.Duration, s *matcher.Service, n Need) []picker.Candidate {
	out := make([]picker.Candidate, 0, len(b.subset.used))
	for _, u := range b.subset.used {
		if u.Service != n.Service || u.Holds.Len() == 0 || u.retired || !u.usable(now, n.Avoid) {
			continue
		}
		out = append(out, b.candidate(now, s.Engine, u, n, n.tokens()))
	}
	return out
}

// holdOff keeps a request off the limited upstreams that it may not be sent to now, and
// returns them. Those that it only passes are not concerned.
func (b *Balancer) holdOff(now time.Duration, cands []picker.Candidate, n Need) []string {
	if len(b.limited) == 0 {
		return nil
	}
	var held []string
	for i := range cands {
		c := &cands[i]
		if c.First == 0 && !c.Excluded && !b.permitted(now, b.ups[c.Name], n.Begun) {
			c.Excluded = true
			held = append(held, c.Name)
		}
	}
	return held
}

func (b *Balancer) hopsOf(route picker.Route) []Hop {
	hops := make([]Hop, len(route))
	for i, h := range route {
		u := b.ups[h.Upstream]
		hops[i] = Hop{ID: u.ID, Address: u.Address, From: h.First, To: h.Last + 1}
	}
	return hops
}

// overPipes is a path over several data centres though some hold all layers: these are
// full. It is nil where this host's part of the pipes on it is in use.
func (b *Balancer) overPipes(now time.Duration, e *matcher.Engine, n Need, cands []picker.Candidate) []Hop {
	if !b.pipes.free(now) {
		return nil
	}
	route := b.Policy.Pick(cands, picker.Need{Layers: e.Layers}, b.links(now, e, n, cands), b.Rand)
	if route == nil {
		return nil
	}
	hops := b.hopsOf(route)
	if !b.pipes.take(now, b.crossed(hops), transfer(e, n), b.allHosts()) {
		return nil
	}
	return hops
}

// reserve takes the room of a lease.
func (b *Balancer) reserve(l *Lease) {
	for i, h := range l.hops {
		u := b.ups[h.ID]
		if u == nil {
			continue
		}
		u.reserved += l.tokens * float64(h.To-h.From)
		if i == 0 {
			u.running++
		}
		u.passing++
		if l.first {
			u.flows++
		}
	}
}

// keptBias makes upstreams that a path has already much cheaper when it is
// changed: they keep what they have read, and new ones read it all again.
const keptBias = -0.9

// Repath finds another path for a running request that keeps the first hop and
// as many others as it can without the one to avoid, and moves the reservation.
// It returns nil when there is none; the lease is then as it was.
func (b *Balancer) Repath(now time.Duration, l *Lease, avoid string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release(l)
	defer b.reserve(l)
	hops := b.detour(now, l, avoid)
	if hops == nil {
		return nil
	}
	l.hops = hops
	return slices.Clone(hops)
}

// detour is the path of Repath. The room of the lease itself has to be free.
func (b *Balancer) detour(now time.Duration, l *Lease, avoid string) []Hop {
	s := b.services[l.need.Service]
	if s == nil || s.Engine == nil || len(l.hops) < 2 {
		return nil
	}
	e, first := s.Engine, l.First
	var cands []picker.Candidate
	for _, u := range b.subset.used {
		if u.Service != s.Name || u.Holds.To <= first.To || u.ID == first.ID || u.ID == avoid || !u.usable(now, nil) {
			continue
		}
		c := b.candidate(now, e, u, l.need, l.tokens)
		c.First, c.Last = max(0, c.First-first.To), c.Last-first.To
		for _, h := range l.hops {
			if h.ID == u.ID {
				c.Bias = keptBias
			}
		}
		cands = append(cands, c)
	}
	route := b.Policy.Pick(cands, picker.Need{Layers: e.Layers - first.To}, b.links(now, e, l.need, cands), b.Rand)
	if route == nil {
		return nil
	}
	hops := []Hop{first}
	for _, h := range route {
		u := b.ups[h.Upstream]
		hops = append(hops, Hop{ID: u.ID, Address: u.Address, From: h.First + first.To, To: h.Last + 1 + first.To})
	}
	return hops
}

// crossingWait is how long the streams of a lost upstream may take over a link
// together. Callers expect a pause of 250 ms at most where they say, of which
// finding a dark upstream takes 150 ms.
const crossingWait = 50 * time.Millisecond

// Elsewhere reports whether a running request should go on as a new one in
// another data centre, rather than over a changed path around an upstream. Where no
// other one of its data centre holds the layers, each path around it crosses a pipe
// with all that the stream has read, one stream after the other; a whole path elsewhere
// reads the prompt anew and crosses nothing.
func (b *Balancer) Elsewhere(now time.Duration, l *Lease, avoid string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, s := b.ups[avoid], b.services[l.need.Service]
	if u == nil || s == nil || s.Engine == nil {
		return false
	}
	b.release(l)
	defer b.reserve(l)
	added := b.crossings(b.detour(now, l, avoid)) - b.crossings(l.hops)
	if added <= 0 {
		return false
	}
	wait := time.Duration(b.known(now, u).requests * float64(added) * float64(transfer(s.Engine, l.need)))
	if wait <= crossingWait {
		return false
	}
	cands := b.candidates(now, s, l.need)
	b.holdOff(now, cands, l.need)
	whole, _ := b.choose(now, s.Engine, l.need, cands)
	return whole != nil && b.crossings(whole) == 0
}

// transfer is the time that a prompt's activations take through a pipe between
// two data centres.
func transfer(e *matcher.Engine, n Need) time.Duration {
	if e.PipeMbps <= 0 {
		return 0
	}
	return time.Duration(n.Prompt * e.ActivationBytes * 8 / (e.PipeMbps * 1e6) * float64(time.Second))
}

// candidate is an upstream as the path policy sees it: a sequence is one
// request of this size over all the layers that it holds.
func (b *Balancer) candidate(now time.Duration, e *matcher.Engine, u *upstream, n Need, tokens float64) picker.Candidate {
	card := CardOf(e, u.Card)
	span := u.Holds
	free := headroom
	if n.Begun {
		free = 0
	}
	known := b.known(now, u)
	perStep := e.StepMs + batchWeight*known.requests*(e.PerSequenceMs+e.PerContextMs*tokens/1e3)
	perLayer := b.pace(now, u) * (n.Prompt/e.ReadPerSecond*card.ReadPace + n.Answer*perStep/1e3*card.Pace) / float64(e.Layers)
	c := picker.Candidate{
		Name:       u.ID,
		DataCentre: u.DataCentre,
		First:      span.From,
		Last:       span.To - 1,
		Step:       hopTime,
		Layer:      time.Duration(perLayer * float64(time.Second)),
		Batch:      1,
		Sequences:  u.filled(now, known.room),
		Slots:      u.room*(1-free) - tokens*float64(span.To-span.From),
		Bias:       greyBias * u.grey,
		// Only what an upstream gets as the first of a path takes a slot.
		Excluded: span.From == 0 && (!n.first(u.ID) || (e.Slots > 0 && known.requests >= slotShare*float64(e.Slots))),
	}
	if u.DataCentre != b.DataCentre {
		c.Bias += remoteBias
	}
	// A stage that is too narrow holds up every first event of its data centre, while
	// the cost of its own steps hardly shows.
	if n.Target > 0 {
		c.Bias += lateBias * float64(b.localDelay(now, u.DataCentre).delay) / float64(n.Target)
	}
	if b.suspected(now, u) {
		c.Bias += suspectBias
	}
	return c
}

// links gives the cost of a link inside a path between any two data centres.
func (b *Balancer) links(now time.Duration, e *matcher.Engine, n Need, cands []picker.Candidate) picker.Links {
	cost := crossing + time.Duration(n.Answer)*tokenDelay + transfer(e, n)
	var centres []string
	seen := make(map[string]bool)
	for i := range cands {
		if dc := cands[i].DataCentre; !seen[dc] {
			seen[dc] = true
			centres = append(centres, dc)
		}
	}
	links := make(picker.Links)
	for _, x := range centres {
		for _, y := range centres {
			links[[2]string{x, y}] = cost + time.Duration(linkPrice*float64(b.link(now, pair(x, y)).delay))
		}
	}
	return links
}

// Uncovered tells which layers of a service no usable upstream holds, and what
// the upstreams that hold them lack; for logs.
func (b *Balancer) Uncovered(now time.Duration, service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil || s.Engine == nil {
		return ""
	}
	held := make([]bool, s.Engine.Layers)
	var lacking []string
	for _, u := range b.ups {
		switch {
		case u.Service != service || u.Holds.Len() == 0:
		case u.usable(now, nil):
			for l := max(0, u.Holds.From); l < min(u.Holds.To, len(held)); l++ {
				held[l] = true
			}
		default:
			lacking = append(lacking, fmt.Sprintf("%s=%d-%d leaving=%t dead=%t out=%t", u.Address, u.Holds.From, u.Holds.To, u.Leaving, u.dead, u.outUntil > now))
		}
	}
	var gaps []string
	for l := 0; l < len(held); l++ {
		from := l
		for l < len(held) && !held[l] {
			l++
		}
		if l > from {
			gaps = append(gaps, fmt.Sprintf("%d-%d", from, l))
		}
	}
	slices.Sort(lacking)
	return "layers " + strings.Join(gaps, ",") + " not held; unusable: " + strings.Join(lacking, " ")
}

// shortage tells a path without room from layers that nobody holds.
func (b *Balancer) shortage(cands []picker.Candidate, layers int) Reason {
	held := make([]bool, layers)
	for i := range cands {
		mark(held, &cands[i])
	}
	if slices.Contains(held, false) {
		return ReasonNoUpstream
	}
	return ReasonNoRoom
}

// holdsAll reports whether some data centre holds all layers, with room or without.
func holdsAll(cands []picker.Candidate, layers int) bool {
	held := make(map[string][]bool)
	for i := range cands {
		dc := cands[i].DataCentre
		if held[dc] == nil {
			held[dc] = make([]bool, layers)
		}
		mark(held[dc], &cands[i])
	}
	for _, layers := range held {
		if !slices.Contains(layers, false) {
			return true
		}
	}
	return false
}

// mark notes the layers that a candidate holds.
func mark(held []bool, c *picker.Candidate) {
	for l := c.First; l <= c.Last && l < len(held); l++ {
		held[l] = true
	}
}
