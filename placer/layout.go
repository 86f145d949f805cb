package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// maxBandPaceRatio is by how much the paces of members may differ that hold one part
	// of the model together: a path takes any of them for a layer.
	maxBandPaceRatio = 1.5
	// minRedundantRateRatio is the part of the highest rate that a layout must bear in which
	// every layer has two holders. A fleet has more rate than it needs on most
	// days, and none at all at a layer that nobody holds.
	minRedundantRateRatio = 0.8
	// maxRows bounds how many rows a band is cut into.
	maxRows = 8
)

// layoutGroup gives every member its range of a new layout.
func layoutGroup(m Model, members []Member) []Move {
	var out []Move
	layouts := make(map[string][]Span)
	for _, cell := range splitCells(m, members) {
		key := kindsKey(cell)
		if layouts[key] == nil {
			layouts[key] = layout(m, cell)
		}
		for i, s := range layouts[key] {
			if s.Len() > 0 && !cell[i].Pending && !cell[i].Missing {
				out = append(out, Move{cell[i].ID, s})
			}
		}
	}
	return out
}

const (
	// targetCellSize is about how many members a cell of a large group has, mostCell how
	// many one has at most.
	targetCellSize = 40
	maxCellSize    = 64
)

// splitCells deals a large group out into parts that are laid out alone, each with its
// share of every kind: the ways to lay out members grow faster than their number, and
// a layer needs only so many holders in one layout.
func splitCells(m Model, members []Member) [][]Member {
	if len(members) <= maxCellSize {
		return [][]Member{members}
	}
	sorted := slices.Clone(members)
	slices.SortStableFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Pace, b.Pace), cmp.Compare(b.MB, a.MB), strings.Compare(a.ID, b.ID))
	})
	for n := len(members) / targetCellSize; n > 1; n-- {
		out := make([][]Member, n)
		for i, x := range sorted {
			out[i%n] = append(out[i%n], x)
		}
		if !slices.ContainsFunc(out, func(cell []Member) bool { return !canHoldModel(m, cell) }) {
			return out
		}
	}
	return [][]Member{members}
}

// kindsKey names the kinds of members in order: cells with the same have the same
// layout.
func kindsKey(members []Member) string {
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
	var fastest, redundant candidate
	for _, p := range bestPartitions(m, members, bands) {
		c := buildLayout(m, members, bands, p)
		if c.rate > fastest.rate {
			fastest = c
		}
		if c.soleHolders == 0 && c.rate > redundant.rate {
			redundant = c
		}
	}
	switch {
	case fastest.rate == 0:
		return packByMemory(m, members, bands)
	case redundant.rate >= minRedundantRateRatio*fastest.rate:
		return redundant.spans
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
		if last < 0 || members[out[last][0]].Pace > maxBandPaceRatio*members[i].Pace {
			out = append(out, nil)
			last++
		}
		out[last] = append(out[last], i)
	}
	return out
}

// candidate is a layout and what it is worth.
type candidate struct {
	spans []Span
	// soleHolders is how many members hold a layer that no other one holds.
	soleHolders int
	// rate is the requests that it bears in a unit of time; 0 where a layer is
	// not held.
	rate float64
}

// buildLayout lays the bands out one after the other.
// In each, members fill rows that hold its layers whole; those that are left over
// stand beside the layers that fewest hold.
func buildLayout(m Model, members []Member, bands []band, p partition) candidate {
	c := candidate{spans: make([]Span, len(members))}
	holders := newCoverage(m)
	var unplaced []int
	var sizes []int
	at := 0
	for k, b := range bands {
		rest, size := fillRows(m, members, b, p.concurrency, Span{at, at + p.layers[k]}, c.spans)
		unplaced = append(unplaced, rest...)
		sizes = append(sizes, size...)
		at += p.layers[k]
	}
	for _, s := range c.spans {
		holders.add(s, 1)
	}
	if slices.Contains(holders.count, 0) {
		return c
	}
	for n, i := range unplaced {
		c.spans[i] = leastCoveredSpan(holders, sizes[n], c.spans)
		holders.add(c.spans[i], 1)
	}
	c.soleHolders, c.rate = evaluate(m, members, c.spans, holders)
	return c
}

// fillRows fills a span with members as often as they hold it whole with room for
// their part of the requests, each row spread over it evenly. It returns the
// members that are left, and how many layers each holds.
func fillRows(m Model, members []Member, b band, concurrency float64, target Span, spans []Span) (rest []int, sizes []int) {
	n := min(len(b), maxRows)
	if target.Len() == 0 {
		return b, layerCapacities(m, members, b, concurrency/float64(n)/targetUtilization)
	}
	for ; n > 0; n-- {
		sizes = layerCapacities(m, members, b, concurrency/float64(n)/targetUtilization)
		ends := rowEnds(sizes, target.Len())
		if len(ends) < n {
			continue
		}
		from := 0
		for _, to := range ends {
			spreadRow(b[from:to], sizes[from:to], target, spans)
			from = to
		}
		return b[from:], sizes[from:]
	}
	return b, make([]int, len(b))
}

// layerCapacities is how many layers each member of a band holds beside room for some
// requests.
func layerCapacities(m Model, members []Member, b band, requests float64) []int {
	out := make([]int, len(b))
	for n, i := range b {
		out[n] = maxLayers(m, members[i].MB, requests)
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

// spreadRow shares a span among the members of one row by their sizes.
func spreadRow(row []int, sizes []int, target Span, spans []Span) {
	sum := 0
	for _, size := range sizes {
		sum += size
	}
	at, placed := target.From, 0
	for n, i := range row {
		placed += sizes[n]
		to := target.From + int(math.Round(float64(placed)*float64(target.Len())/float64(sum)))
		spans[i] = Span{at, to}
		at = to
	}
}

// leastCoveredSpan is the range of a size that fewest members hold, from the start of
// another one's range on or up to its end: each boundary more is a hop more for
// the paths over it.
func leastCoveredSpan(holders *coverage, size int, spans []Span) Span {
	best, bestValue := Span{}, 0.0
	consider := func(s Span) {
		if s.From < 0 || s.To > len(holders.count) || s.Len() == 0 {
			return
		}
		sum := 0.0
		for _, n := range holders.count[s.From:s.To] {
			sum += holderValue[min(n, len(holderValue)-1)]
		}
		if sum > bestValue {
			best, bestValue = s, sum
		}
	}
	size = min(size, len(holders.count))
	for _, s := range spans {
		if s.Len() > 0 {
			consider(Span{s.From, s.From + size})
			consider(Span{s.To - size, s.To})
		}
	}
	return best
}

// holderValue is what one more holder of a layer is worth, by how many it has: a
// layer that one member holds goes far before all that two hold.
var holderValue = [...]float64{512, 64, 8, 1, 1.0 / 8, 1.0 / 64, 1.0 / 512}

// evaluate is how many members hold a layer alone and the requests that a layout
// bears in a unit of time: as many at once as have room everywhere, over the time
// that each takes with all of them in the batches. The holders of a layer share
// its requests.
func evaluate(m Model, members []Member, spans []Span, holders *coverage) (soleHolders int, rate float64) {
	if slices.Contains(holders.count, 0) {
		return len(members), 0
	}
	concurrency := float64(maxRequests)
	firstHolders := 0
	base, perRequest := 0.0, 0.0
	for i, s := range spans {
		if s.Len() == 0 {
			continue
		}
		if s.From == 0 {
			firstHolders++
		}
		share, sum := 0.0, 0.0
		for _, n := range holders.count[s.From:s.To] {
			share = max(share, 1/float64(n))
			sum += 1 / float64(n)
		}
		if share == 1 {
			soleHolders++
		}
		capacity := targetUtilization * (members[i].MB - float64(s.Len())*m.LayerMB) / (m.TokenMB * m.Tokens * float64(s.Len()))
		concurrency = min(concurrency, capacity/share)
		weight := members[i].Pace * sum / float64(m.Layers)
		base += weight * m.Step
		perRequest += weight * share * m.Request
	}
	if m.Slots > 0 {
		concurrency = min(concurrency, float64(firstHolders*m.Slots))
	}
	return soleHolders, concurrency / (base + perRequest*concurrency)
}

// packByMemory shares the layers by memory alone where no layout has the least room,
// to the fastest first.
func packByMemory(m Model, members []Member, bands []band) []Span {
	out := make([]Span, len(members))
	at := 0
	for _, b := range slices.Backward(bands) {
		for _, i := range b {
			n := min(m.Layers-at, maxLayers(m, members[i].MB, 1))
			out[i] = Span{at, at + n}
			at += n
		}
	}
	return out
}
