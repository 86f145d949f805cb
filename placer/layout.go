package placer

import (
	"cmp"
	"math"
	"slices"
)

const (
	// sameBand is by how much the paces of members may differ that hold one part
	// of the model together: a path takes any of them for a layer.
	sameBand = 1.5
	// keptRate is the part of the highest rate that a layout must bear. What is
	// above is worth less than layers that outlive the loss of a member: a fleet
	// has more rate than it needs on most days, and no rate at all at the layer
	// that nobody holds.
	keptRate = 0.9
	// roomGrowth is the step between two rooms that layouts are tried with.
	roomGrowth = 1.15
	// mostDivisions bounds the ways to divide the layers that are tried, for
	// fleets of many kinds.
	mostDivisions = 400
)

// layAll gives every member its range of a new layout.
func layAll(m Model, members []Member) []Move {
	var out []Move
	for i, s := range layout(m, members) {
		if s.Len() > 0 && !members[i].Pending && !members[i].Missing {
			out = append(out, Move{members[i].ID, s})
		}
	}
	return out
}

// layout is the range of each member once all moves are made.
//
// The load it answers: a member is lost, with a layer that no other one in its
// data centre holds. Every request there has to cross to another data centre or
// to go there whole, each running one reads its prompt anew, and the others have
// to bear what it bore, until a member was found, drained and loaded. So of the
// layouts that bear enough requests, the one is taken in which fewest members
// hold a layer alone, and of these the one that bears most.
func layout(m Model, members []Member) []Span {
	bands := bandsOf(members)
	var plans []plan
	highest := 0.0
	for room := float64(leastRequests); room <= mostRequests; room *= roomGrowth {
		sizes := make([]int, len(members))
		for i, x := range members {
			sizes[i] = most(m, x.MB, room)
		}
		for _, layers := range divisions(m.Layers, sizes, bands) {
			if p := build(m, members, bands, sizes, layers); p.rate > 0 {
				plans = append(plans, p)
				highest = max(highest, p.rate)
			}
		}
	}
	if len(plans) == 0 {
		return squeeze(m, members, bands)
	}
	plans = slices.DeleteFunc(plans, func(p plan) bool { return p.rate < keptRate*highest })
	return slices.MinFunc(plans, func(a, b plan) int {
		return cmp.Or(cmp.Compare(a.alone, b.alone), cmp.Compare(b.rate, a.rate))
	}).spans
}

// band is the members of about one pace, as indices into the group's.
type band []int

// bandsOf groups members, the slowest first. They hold the first layers: a stream
// whose first upstream is lost has to be sent again as a new request, while
// another hop of its path is replaced by an order, and of the slowest there are
// most that can take a request.
func bandsOf(members []Member) []band {
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(members[b].Pace, members[a].Pace), cmp.Compare(members[b].MB, members[a].MB))
	})
	var out []band
	for _, i := range order {
		last := len(out) - 1
		if last < 0 || members[out[last][0]].Pace > sameBand*members[i].Pace {
			out = append(out, nil)
			last++
		}
		out[last] = append(out[last], i)
	}
	return out
}

// divisions are ways to share the layers among bands, as the number of each. A
// band without any stands beside the others.
func divisions(layers int, sizes []int, bands []band) [][]int {
	step := 1
	for ways(layers/step, len(bands)-1) > mostDivisions {
		step++
	}
	var out [][]int
	var share func(k, left int, to []int)
	share = func(k, left int, to []int) {
		holds := 0
		for _, i := range bands[k] {
			holds += sizes[i]
		}
		if k == len(bands)-1 {
			if holds >= left {
				out = append(out, append(slices.Clone(to), left))
			}
			return
		}
		for n := 0; n <= min(left, holds); n += step {
			share(k+1, left-n, append(slices.Clone(to), n))
		}
	}
	share(0, layers, nil)
	return out
}

// ways is about how many ways there are to cut n layers k times.
func ways(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n+1+i) / float64(i+1)
	}
	return out
}

// plan is a layout and what it is worth.
type plan struct {
	spans []Span
	// alone is how many members hold a layer that no other one holds.
	alone int
	// rate is the requests that it bears in a unit of time; 0 where a layer is
	// not held.
	rate float64
}

// build lays the bands out one after the other. In each, members fill rows that
// hold its layers whole; those that are left over stand beside the layers that
// fewest hold.
func build(m Model, members []Member, bands []band, sizes, layers []int) plan {
	p := plan{spans: make([]Span, len(members))}
	held := newCover(m)
	var left []int
	at := 0
	for k, b := range bands {
		left = append(left, rows(b, sizes, Span{at, at + layers[k]}, p.spans)...)
		at += layers[k]
	}
	for _, s := range p.spans {
		held.add(s, 1)
	}
	for _, i := range left {
		p.spans[i] = beside(held, sizes[i], p.spans)
		held.add(p.spans[i], 1)
	}
	p.alone, p.rate = worth(m, members, p.spans, held)
	return p
}

// rows fills a span with members as often as they hold it whole, each row spread
// over it evenly, and returns the members that are left.
func rows(b band, sizes []int, whole Span, spans []Span) []int {
	if whole.Len() == 0 {
		return b
	}
	rest := b
	for len(rest) > 0 {
		n, sum := 0, 0
		for n < len(rest) && sum < whole.Len() {
			sum += sizes[rest[n]]
			n++
		}
		if sum < whole.Len() {
			break
		}
		at, done := whole.From, 0
		for _, i := range rest[:n] {
			done += sizes[i]
			to := whole.From + int(math.Round(float64(done)*float64(whole.Len())/float64(sum)))
			spans[i] = Span{at, to}
			at = to
		}
		rest = rest[n:]
	}
	return rest
}

// beside is the range of a size that fewest members hold, from the start of
// another one's range on or up to its end: each boundary more is a hop more for
// the paths over it.
func beside(held *cover, size int, spans []Span) Span {
	best, fewest := Span{}, math.Inf(1)
	try := func(s Span) {
		if s.From < 0 || s.To > len(held.n) || s.Len() == 0 {
			return
		}
		sum := 0.0
		for _, n := range held.n[s.From:s.To] {
			// A layer that one member holds is far more urgent than one that two
			// hold.
			sum -= math.Pow(beneath, -float64(n))
		}
		if sum < fewest {
			best, fewest = s, sum
		}
	}
	size = min(size, len(held.n))
	for _, s := range spans {
		if s.Len() > 0 {
			try(Span{s.From, s.From + size})
			try(Span{s.To - size, s.To})
		}
	}
	return best
}

// beneath is how much more it counts that a layer has one holder less.
const beneath = 8.0

// worth is how many members hold a layer alone and the requests that a layout
// bears in a unit of time: as many at once as have room everywhere, over the time
// that each takes with all of them in the batches. The holders of a layer share
// its requests.
func worth(m Model, members []Member, spans []Span, held *cover) (alone int, rate float64) {
	if slices.Contains(held.n, 0) {
		return len(members), 0
	}
	atOnce := float64(mostRequests)
	starts := 0
	step, batch := 0.0, 0.0
	for i, s := range spans {
		if s.Len() == 0 {
			continue
		}
		if s.From == 0 {
			starts++
		}
		share, sum := 0.0, 0.0
		for _, n := range held.n[s.From:s.To] {
			share = max(share, 1/float64(n))
			sum += 1 / float64(n)
		}
		if share == 1 {
			alone++
		}
		room := fill * (members[i].MB - float64(s.Len())*m.LayerMB) / (m.TokenMB * m.Tokens * float64(s.Len()))
		atOnce = min(atOnce, room/share)
		part := members[i].Pace * sum / float64(m.Layers)
		step += part * m.Step
		batch += part * share * m.Request
	}
	if m.Slots > 0 {
		atOnce = min(atOnce, float64(starts*m.Slots))
	}
	return alone, atOnce / (step + batch*atOnce)
}

// squeeze shares the layers by memory alone where no layout has the least room,
// to the fastest first.
func squeeze(m Model, members []Member, bands []band) []Span {
	out := make([]Span, len(members))
	at := 0
	for _, b := range slices.Backward(bands) {
		for _, i := range b {
			n := min(m.Layers-at, most(m, members[i].MB, 1))
			out[i] = Span{at, at + n}
			at += n
		}
	}
	return out
}
