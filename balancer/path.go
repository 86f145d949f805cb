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
	// hopCost is what one more upstream on a path costs beside its layers: the batch step that
	// it waits for and the transfer to it.
	hopCost = 2 * time.Millisecond
	// remoteBias raises the cost of upstreams in other data centres: callers there come first,
	// and a lost link cuts the stream. With a small bias, data centres with faster cards draw
	// load from all others. The cost of an upstream is multiplied by 1 plus its biases.
	remoteBias = 1.0
	// crossingCost is what a link between data centres inside a path costs beyond its time:
	// more than any path inside one data centre, so that a path crosses links only where there
	// is no other. The activations of the whole prompt cross the link, one request after the
	// other, so that full data centres that send each other their load delay every first event.
	crossingCost = 10 * time.Second
	// lateBias raises the cost of the upstreams of a data centre whose first events take as
	// long as callers accept at most: they then cost as much as those of another data centre,
	// and requests beyond that go there while there is capacity.
	lateBias = 1.0
	// linkTokenDelay is the delay that each generated token costs over a link.
	linkTokenDelay = time.Millisecond
	// suspectBias raises the cost of an upstream that some host suspects, so that it is taken
	// only where hardly another one holds its layers.
	suspectBias = 10.0
	// backoffBias raises the cost of an upstream that has asked another host for a backoff.
	backoffBias = 10.0
	// failureBias raises the cost of an upstream that fails all its requests.
	failureBias = 20.0
	// batchWeight is how often the time counts that the requests in a batch add to its step:
	// once for the delay of this request and once for the delay that it adds to theirs.
	batchWeight = 2.0
	// maxSlotShare is the share of its slots that an upstream is given as a first hop; beyond
	// it, requests wait there for others to end.
	maxSlotShare = 0.9
	// headroom is the share of the capacity kept free for what other hosts reserve in the
	// meantime and for answers longer than expected.
	headroom = 0.1
)

// acquirePath acquires the cheapest path over all layers with capacity on each hop.
func (b *Balancer) acquirePath(now time.Duration, s *matcher.Service, n Requirements) (*Lease, Reason) {
	cands, withheld := b.candidates(now, s, n)
	throttled := b.excludeThrottled(now, cands, n)
	hops, reason := b.choosePath(now, s.Engine, n, cands)
	if reason == ReasonNoRoom {
		hops = b.crossingPath(now, s.Engine, n, cands)
	}
	b.countThrottled(throttled)
	b.countWithheld(withheld)
	if hops == nil {
		switch {
		case reason == ReasonNoRoom && len(throttled) > 0:
			reason = ReasonLimit
		case len(withheld) > 0:
			reason = ReasonBackoff
		}
		return nil, reason
	}
	first := b.upstreams[hops[0].ID]
	l := &Lease{requirements: n, tokens: n.expectedTokens(), hops: hops, First: hops[0], StartedAt: first.StartedAt, DataCentre: first.DataCentre, Throttled: throttled, Withheld: withheld}
	// Once the request runs, its path may change into the capacity that others are left.
	l.requirements.KeepFree = 0
	b.reserve(l)
	b.spread.recordSent(now)
	b.trackReturning(now, l)
	b.countSent(now, first)
	return l, ReasonNone
}

// expectedTokens returns the tokens that a request holds on average over its life, on each of
// its upstreams: its prompt and half of its answer.
func (n Requirements) expectedTokens() float64 { return n.PromptTokens + n.AnswerTokens/2 }

// choosePath returns the cheapest path; nil unless the reason is ReasonNone. The path crosses
// data centres only where none of them holds all layers: full data centres would otherwise fill
// the pipes between them with prompts, and every stream over a pipe waits there at each event.
func (b *Balancer) choosePath(now time.Duration, e *matcher.Engine, n Requirements, cands []picker.Candidate) ([]Hop, Reason) {
	if len(cands) == 0 {
		return nil, ReasonNoUpstream
	}
	route := b.Policy.Pick(cands, picker.Requirements{Layers: e.Layers, Local: true}, nil, b.Rand)
	if route == nil && someDataCentreHoldsAll(cands, e.Layers) {
		return nil, ReasonNoRoom
	}
	if route == nil {
		route = b.Policy.Pick(cands, picker.Requirements{Layers: e.Layers}, b.links(now, e, n, cands), b.Rand)
	}
	if route == nil {
		return nil, b.shortageReason(cands, e.Layers)
	}
	return b.hopsOf(route), ReasonNone
}

// candidates returns the upstreams of the service that new work may go to, and the ids of those that
// are withheld from it because of a backoff.
func (b *Balancer) candidates(now time.Duration, s *matcher.Service, n Requirements) (out []picker.Candidate, withheld []string) {
	out = make([]picker.Candidate, 0, len(b.subset.used))
	degree := b.spreadDegree(now)
	for _, u := range b.subset.used {
		if u.Service != n.Service || u.Layers.Len() == 0 || u.retired || !u.reachable(now, n.Avoid) || slices.Contains(n.AvoidDataCentres, u.DataCentre) {
			continue
		}
		if u.withheldFrom(now, &n) {
			withheld = append(withheld, u.ID)
			continue
		}
		c := b.candidate(now, s.Engine, u, n, n.expectedTokens())
		spreadCost(&c, (c.Slots-c.Sequences)/(n.expectedTokens()*float64(u.Layers.Len())), degree, b.Rand)
		out = append(out, c)
	}
	return out, withheld
}

// excludeThrottled excludes the candidates for the first hop whose rate limit allows no request
// now, and returns their ids. Limits don't apply to later hops.
func (b *Balancer) excludeThrottled(now time.Duration, cands []picker.Candidate, n Requirements) []string {
	if len(b.limited) == 0 {
		return nil
	}
	var throttled []string
	for i := range cands {
		c := &cands[i]
		if c.First == 0 && !c.Excluded && !b.withinLimit(now, b.upstreams[c.Name], n.InProgress) {
			c.Excluded = true
			throttled = append(throttled, c.Name)
		}
	}
	return throttled
}

func (b *Balancer) hopsOf(route picker.Route) []Hop {
	hops := make([]Hop, len(route))
	for i, h := range route {
		u := b.upstreams[h.Upstream]
		hops[i] = Hop{ID: u.ID, Address: u.Address, From: h.First, To: h.Last + 1}
	}
	return hops
}

// crossingPath returns a path across data centres although some data centre holds all layers,
// since these are full. It returns nil where this host's share of the pipes on it is used up.
func (b *Balancer) crossingPath(now time.Duration, e *matcher.Engine, n Requirements, cands []picker.Candidate) []Hop {
	if !b.pipes.available(now) {
		return nil
	}
	route := b.Policy.Pick(cands, picker.Requirements{Layers: e.Layers}, b.links(now, e, n, cands), b.Rand)
	if route == nil {
		return nil
	}
	hops := b.hopsOf(route)
	if !b.pipes.take(now, b.linksOf(hops), transferTime(e, n), b.hostCount()) {
		return nil
	}
	return hops
}

// reserve takes the capacity of a lease.
func (b *Balancer) reserve(l *Lease) {
	for i, h := range l.hops {
		u := b.upstreams[h.ID]
		if u == nil {
			continue
		}
		u.reserved += l.tokens * float64(h.To-h.From)
		if i == 0 {
			u.firstHopRequests++
		}
		u.requests++
		if l.started {
			u.activeStreams++
		}
	}
}

// keptBias replaces the biases of the upstreams already on a path when the path changes, which
// makes them much cheaper: they keep what they have read, while new ones read all of it again.
const keptBias = -0.9

// Repath finds another path for a running request without the upstreams to avoid, and moves the
// reservation there. It keeps the first hop and as many others as it can. It returns nil and
// leaves the lease as it was when there is no such path.
func (b *Balancer) Repath(now time.Duration, l *Lease, avoid ...string) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.released {
		return nil
	}
	b.release(l)
	defer b.reserve(l)
	hops := b.detour(now, l, avoid...)
	if hops == nil {
		return nil
	}
	l.hops = hops
	return slices.Clone(hops)
}

// detour returns the path for Repath. The caller has released the capacity of the lease.
func (b *Balancer) detour(now time.Duration, l *Lease, avoid ...string) []Hop {
	s := b.services[l.requirements.Service]
	if s == nil || s.Engine == nil || len(l.hops) < 2 {
		return nil
	}
	e, first := s.Engine, l.First
	var cands []picker.Candidate
	for _, u := range b.subset.used {
		if u.Service != s.Name || u.Layers.To <= first.To || u.ID == first.ID || !u.usable(now, avoid) {
			continue
		}
		c := b.candidate(now, e, u, l.requirements, l.tokens)
		c.First, c.Last = max(0, c.First-first.To), c.Last-first.To
		for _, h := range l.hops {
			if h.ID == u.ID {
				c.Bias = keptBias
			}
		}
		cands = append(cands, c)
	}
	route := b.Policy.Pick(cands, picker.Requirements{Layers: e.Layers - first.To}, b.links(now, e, l.requirements, cands), b.Rand)
	if route == nil {
		return nil
	}
	hops := []Hop{first}
	for _, h := range route {
		u := b.upstreams[h.Upstream]
		hops = append(hops, Hop{ID: u.ID, Address: u.Address, From: h.First + first.To, To: h.Last + 1 + first.To})
	}
	return hops
}

// maxCrossingWait is how long the streams of a lost upstream may together take to cross a link.
// Where callers set a limit, they accept a pause of 250 ms, of which detecting a silent upstream
// takes 150 ms.
const maxCrossingWait = 50 * time.Millisecond

// ShouldRestartElsewhere reports whether a running request should restart in another data centre
// rather than take a changed path around an upstream. Where no other upstream of its data centre
// holds the layers, a path around it crosses a pipe with all that the stream has read, one stream
// after the other. A path inside another data centre reads the prompt anew and crosses nothing.
func (b *Balancer) ShouldRestartElsewhere(now time.Duration, l *Lease, avoid string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u, s := b.upstreams[avoid], b.services[l.requirements.Service]
	if u == nil || s == nil || s.Engine == nil || l.released {
		return false
	}
	b.release(l)
	defer b.reserve(l)
	added := b.crossingCount(b.detour(now, l, avoid)) - b.crossingCount(l.hops)
	if added <= 0 {
		return false
	}
	wait := time.Duration(b.totalUsage(now, u).requests * float64(added) * float64(transferTime(s.Engine, l.requirements)))
	if wait <= maxCrossingWait {
		return false
	}
	cands, _ := b.candidates(now, s, l.requirements)
	b.excludeThrottled(now, cands, l.requirements)
	whole, _ := b.choosePath(now, s.Engine, l.requirements, cands)
	return whole != nil && b.crossingCount(whole) == 0
}

// transferTime returns how long the activations of a prompt take through a pipe between two data
// centres; 0 where no bandwidth is declared.
func transferTime(e *matcher.Engine, n Requirements) time.Duration {
	if e.PipeMbps <= 0 {
		return 0
	}
	return time.Duration(n.PromptTokens * e.ActivationBytes * 8 / (e.PipeMbps * 1e6) * float64(time.Second))
}

// candidate describes an upstream to the path policy. Its capacity counts in token-layers, and the
// request takes its tokens times all layers that the upstream holds.
func (b *Balancer) candidate(now time.Duration, e *matcher.Engine, u *upstream, n Requirements, tokens float64) picker.Candidate {
	card := CardOf(e, u.Card)
	span := u.Layers
	free := headroom + n.KeepFree
	if n.InProgress {
		free = 0
	}
	known := b.totalUsage(now, u)
	perStep := e.StepMs + batchWeight*known.requests*(e.PerSequenceMs+e.PerContextMs*tokens/1e3)
	perLayer := b.pace(now, u) * (n.PromptTokens/e.ReadPerSecond*card.ReadTimeFactor + n.AnswerTokens*perStep/1e3*card.StepTimeFactor) / float64(e.Layers)
	c := picker.Candidate{
		Name:       u.ID,
		DataCentre: u.DataCentre,
		First:      span.From,
		Last:       span.To - 1,
		StepTime:   hopCost,
		LayerTime:  time.Duration(perLayer * float64(time.Second)),
		Batch:      1,
		Sequences:  u.estimatedUsage(now, known.tokenLayers),
		Slots:      u.capacity*(1-free) - tokens*float64(span.To-span.From),
		Bias:       failureBias * u.failureRate,
		// Only the first hop of a path takes a slot.
		Excluded: span.From == 0 && (!n.allowsFirst(u.ID) || (e.Slots > 0 && known.requests >= (maxSlotShare-n.KeepFree)*float64(e.Slots))),
	}
	c.Preferred = span.From == 0 && b.prefersConnected(&n, u.Address)
	if u.DataCentre != b.DataCentre {
		c.Bias += remoteBias
	}
	// A stage with too few upstreams delays every first event of its data centre, while the cost
	// of its own steps hardly shows that.
	if n.FirstEventTarget > 0 {
		c.Bias += lateBias * float64(b.localDelay(now, u.DataCentre).delay) / float64(n.FirstEventTarget)
	}
	c.Bias += lateShareBias * b.lateShares[u.DataCentre].decayed(now)
	if b.isSuspected(now, u) {
		c.Bias += suspectBias
	}
	if b.othersBackOff(now, u) {
		c.Bias += backoffBias
	}
	return c
}

// links returns the cost of a link inside a path between any two data centres.
func (b *Balancer) links(now time.Duration, e *matcher.Engine, n Requirements, cands []picker.Candidate) picker.Links {
	cost := crossingCost + time.Duration(n.AnswerTokens)*linkTokenDelay + transferTime(e, n)
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
			links[[2]string{x, y}] = cost + time.Duration(linkDelayFactor*float64(b.linkDelay(now, linkKey(x, y)).delay))
		}
	}
	return links
}

// maxDescribed bounds the upstreams that DescribeUncovered describes.
const maxDescribed = 16

// DescribeUncovered describes for logs why a service has no usable upstream: which layers none holds,
// and why the upstreams that hold some, or that are plain, aren't usable.
func (b *Balancer) DescribeUncovered(now time.Duration, service string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[service]
	if s == nil {
		return ""
	}
	held := make([]bool, layerCount(s))
	isPlain := s.Engine == nil || s.Engine.Layers == 0
	var lacking []string
	for _, u := range b.subset.used {
		switch {
		case u.Service != service || (!isPlain && u.Layers.Len() == 0):
		case u.usable(now, nil):
			u.markHeld(s, held)
		default:
			lacking = append(lacking, fmt.Sprintf("%s=%d-%d leaving=%t dead=%t out=%t backoff=%t", u.Address, u.Layers.From, u.Layers.To, u.Leaving, u.dead, u.ejectedUntil > now, u.announcement.withheld(now)))
		}
	}
	slices.Sort(lacking)
	if len(lacking) > maxDescribed {
		lacking = append(lacking[:maxDescribed], fmt.Sprintf("and %d more", len(lacking)-maxDescribed))
	}
	out := "unusable: " + strings.Join(lacking, " ")
	if isPlain {
		return out
	}
	return "layers " + strings.Join(gaps(held), ",") + " not held; " + out
}

// gaps lists the ranges of layers that are not held.
func gaps(held []bool) (out []string) {
	for l := 0; l < len(held); l++ {
		from := l
		for l < len(held) && !held[l] {
			l++
		}
		if l > from {
			out = append(out, fmt.Sprintf("%d-%d", from, l))
		}
	}
	return out
}

// shortageReason returns ReasonNoUpstream if some layer is held by no candidate, and otherwise
// ReasonNoRoom: the candidates hold all layers and lack capacity.
func (b *Balancer) shortageReason(cands []picker.Candidate, layers int) Reason {
	held := make([]bool, layers)
	for i := range cands {
		markLayers(held, &cands[i])
	}
	if slices.Contains(held, false) {
		return ReasonNoUpstream
	}
	return ReasonNoRoom
}

// someDataCentreHoldsAll reports whether some data centre holds all layers, full or not.
func someDataCentreHoldsAll(cands []picker.Candidate, layers int) bool {
	held := make(map[string][]bool)
	for i := range cands {
		dc := cands[i].DataCentre
		if held[dc] == nil {
			held[dc] = make([]bool, layers)
		}
		markLayers(held[dc], &cands[i])
	}
	for _, layers := range held {
		if !slices.Contains(layers, false) {
			return true
		}
	}
	return false
}

// markLayers marks the layers that a candidate holds.
func markLayers(held []bool, c *picker.Candidate) {
	for l := c.First; l <= c.Last && l < len(held); l++ {
		held[l] = true
	}
}
