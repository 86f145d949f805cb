package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// sameBand is by how much the paces of members may differ that hold one part
	// of the model together: a path takes any of them for a layer.
	sameBand = 1.5
	// keptRate is the part of the highest rate that a layout must bear in which
	// every layer has two holders. A fleet has more rate than it needs on most
	// days, and none at all at a layer that nobody holds.
	keptRate = 0.8
	// copies bounds how many rows a band is cut into.
	copies = 8
)

// layAll gives every member its range of a new layout.
func layAll(m Model, members []Member) []Move {
	var out []Move
	known := make(map[string][]Span)
	for _, cell := range cells(m, members) {
		kinds := kindsOf(cell)
		if known[kinds] == nil {
			known[kinds] = layout(m, cell)
		}
		for i, s := range known[kinds] {
			if s.Len() > 0 && !cell[i].Pending && !cell[i].Missing {
				out = append(out, Move{cell[i].ID, s})
			}
		}
	}
	return out
}

const (
	// cellSize is about how many members a cell of a large group has, mostCell how
	// many one has at most.
	cellSize = 40
	mostCell = 64
)

// cells deals a large group out into parts that are laid out alone, each with its
// share of every kind: the ways to lay out members grow faster than their number, and
// a layer needs only so many holders in one layout.
func cells(m Model, members []Member) [][]Member {
	if len(members) <= mostCell {
		return [][]Member{members}
	}
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(b.MB, a.MB), strings.Compare(a.ID, b.ID))
	})
	for n := len(members) / cellSize; n > 1; n-- {
		out := make([][]Member, n)
		for i, x := range sorted {
			out[i%n] = append(out[i%n], x)
		}
		if !slices.ContainsFunc(out, func(cell []Member) bool { return !fits(m, cell) }) {
			return out
		}
	}
	return [][]Member{members}
}

// kindsOf names the kinds of members in order: cells with the same have the same
// layout.
func kindsOf(members []Member) string {
	var out strings.Builder
	for _, x := range members {
		fmt.Fprintf(&out, "%g/%g ", x.MB, x.Pace)
	}
	return out.String()
}

// layout is the range of each member once all moves are made. Without a member that
// holds a layer alone all requests of its data centre go elsewhere, until another one
// was drained and loaded; so every layer is held twice where the fleet has memory for
// that and still bears nearly as much.
func layout(m Model, members []Member) []Span {
	bands := bandsOf(members)
	var fastest, safe plan
	for _, d := range divisions(m, members, bands) {
		p := build(m, members, bands, d)
		if p.rate > fastest.rate {
			fastest = p
		}
		if p.alone == 0 && p.rate > safe.rate {
			safe = p
		}
	}
	switch {
	case fastest.rate == 0:
		return squeeze(m, members, bands)
	case safe.rate >= keptRate*fastest.rate:
		return safe.spans
	default:
		return fastest.spans
	}
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

// plan is a layout and what it is worth.
type plan struct {
	spans []Span
	// alone is how many members hold a layer that no other one holds.
	alone int
	// rate is the requests that it bears in a unit of time; 0 where a layer is
	// not held.
	rate float64
}

// build lays the bands out one after the other.
// In each, members fill rows that hold its layers whole; those that are left over
// stand beside the layers that fewest hold.
func build(m Model, members []Member, bands []band, d division) plan {
	p := plan{spans: make([]Span, len(members))}
	held := newCover(m)
	var left []int
	var sizes []int
	at := 0
	for k, b := range bands {
		rest, size := rows(m, members, b, d.atOnce, Span{at, at + d.layers[k]}, p.spans)
		left = append(left, rest...)
		sizes = append(sizes, size...)
		at += d.layers[k]
	}
	for _, s := range p.spans {
		held.add(s, 1)
	}
	if slices.Contains(held.n, 0) {
		return p
	}
	for n, i := range left {
		p.spans[i] = beside(held, sizes[n], p.spans)
		held.add(p.spans[i], 1)
	}
	p.alone, p.rate = worth(m, members, p.spans, held)
	return p
}

// rows fills a span with members as often as they hold it whole with room for
// their part of the requests, each row spread over it evenly. It returns the
// members that are left, and how many layers each holds.
func rows(m Model, members []Member, b band, atOnce float64, whole Span, spans []Span) (rest []int, sizes []int) {
	n := min(len(b), copies)
	if whole.Len() == 0 {
		return b, sizesOf(m, members, b, atOnce/float64(n)/fill)
	}
	for ; n > 0; n-- {
		sizes = sizesOf(m, members, b, atOnce/float64(n)/fill)
		ends := rowEnds(sizes, whole.Len())
		if len(ends) < n {
			continue
		}
		from := 0
		for _, to := range ends {
			spread(b[from:to], sizes[from:to], whole, spans)
			from = to
		}
		return b[from:], sizes[from:]
	}
	return b, make([]int, len(b))
}

// sizesOf is how many layers each member of a band holds beside room for some
// requests.
func sizesOf(m Model, members []Member, b band, requests float64) []int {
	out := make([]int, len(b))
	for n, i := range b {
		out[n] = most(m, members[i].MB, requests)
	}
	return out
}

// rowEnds cuts sizes into rows that each hold a number of layers; what is too
// small for one more is left over.
func rowEnds(sizes []int, layers int) []int {
	var out []int
	sum := 0
	for n, size := range sizes {
		if sum += size; sum >= layers {
			out = append(out, n+1)
			sum = 0
		}
	}
	return out
}

// spread shares a span among the members of one row by their sizes.
func spread(row []int, sizes []int, whole Span, spans []Span) {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	at, done := whole.From, 0
	for n, i := range row {
		done += sizes[n]
		to := whole.From + int(math.Round(float64(done)*float64(whole.Len())/float64(sum)))
		spans[i] = Span{at, to}
		at = to
	}
}

// beside is the range of a size that fewest members hold, from the start of
// another one's range on or up to its end: each boundary more is a hop more for
// the paths over it.
func beside(held *cover, size int, spans []Span) Span {
	best, most := Span{}, 0.0
	try := func(s Span) {
		if s.From < 0 || s.To > len(held.n) || s.Len() == 0 {
			return
		}
		sum := 0.0
		for _, n := range held.n[s.From:s.To] {
			sum += urgency[min(n, len(urgency)-1)]
		}
		if sum > most {
			best, most = s, sum
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

// urgency is what one more holder of a layer is worth, by how many it has: a
// layer that one member holds goes far before all that two hold.
var urgency = [...]float64{512, 64, 8, 1, 1.0 / 8, 1.0 / 64, 1.0 / 512}

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
