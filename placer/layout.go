package placer

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// maxBandPaceRatio bounds the ratio between the paces of a band's members. They hold one
	// part of the model together, and a path may use any holder of a layer.
	maxBandPaceRatio = 1.5
	// minRedundantRateRatio is the fraction of the highest rate that a layout must reach to
	// be preferred because every layer has two holders. Most of the time a fleet has more
	// capacity than it needs, but it has none if a layer has no holder.
	minRedundantRateRatio = 0.8
	// maxRows bounds the number of rows that a band is divided into.
	maxRows = 8
)

// layoutGroup lays out a group, a set of members that hold a whole model together. It returns a
// move for every member that has a span in the layout and can take orders.
func layoutGroup(m Model, members []Member) []Move {
	var out []Move
	layouts := make(map[string][]Span)
	for _, cell := range splitCells(m, members) {
		key := kindsKey(cell)
		if layouts[key] == nil {
			layouts[key] = layout(m, cell)
		}
		for i, s := range layouts[key] {
			if s.Len() > 0 && !cell[i].Pending && !cell[i].Unreachable {
				out = append(out, Move{cell[i].ID, s})
			}
		}
	}
	return out
}

const (
	// targetCellSize is the approximate number of members of each cell of a large group.
	// maxCellSize is the size up to which a group is not divided into cells.
	targetCellSize = 40
	maxCellSize    = 64
)

// splitCells divides a large group into cells that are laid out separately, each with its
// share of every kind of member. The number of possible layouts grows faster than the number
// of members, and in one layout a layer needs only a limited number of holders. A group that
// cannot be divided into cells that each hold the model stays whole.
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

// kindsKey lists the memory and pace of each member in order. Cells with equal keys have the
// same layout.
func kindsKey(members []Member) string {
	var out strings.Builder
	for _, x := range members {
		fmt.Fprintf(&out, "%g/%g ", x.MB, x.Pace)
	}
	return out.String()
}

// layout returns the span of each member once all orders are carried out. While a layer has
// no holder, all requests of the data centre go elsewhere until another member has drained
// and loaded it. A layout in which every layer has two holders is therefore preferred if
// memory allows it and its rate is close to the highest.
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

// band is a set of members of similar pace, as indices into the members of the group.
type band []int

// bandsOf divides members into bands, slowest first; the slowest hold the first layers. A
// stream that loses its first upstream has to be sent again as a new request, while any other
// hop of its path can be replaced while it runs. Among the slowest members the most are left
// that can take the new request.
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

// candidate is a layout and its rating.
type candidate struct {
	spans []Span
	// soleHolders is the number of members that hold a layer that no other member holds.
	soleHolders int
	// rate is in requests per unit of time; 0 if a layer has no holder.
	rate float64
}

// buildLayout lays out the bands one after the other. Members of a band form rows that each
// hold all of its layers. The members left over hold the layers with the fewest holders.
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
	if slices.Contains(holders.n, 0) {
		return c
	}
	for n, i := range unplaced {
		c.spans[i] = leastCoveredSpan(holders, sizes[n], c.spans)
		holders.add(c.spans[i], 1)
	}
	c.soleHolders, c.rate = evaluate(m, members, c.spans, holders)
	return c
}

// fillRows assigns target to as many rows of members as can hold it together with the cache
// of their share of the requests, and divides it evenly within each row. It returns the
// members left over, and how many layers each of them can hold.
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

// layerCapacities returns how many layers each member of a band can hold beside the cache of
// the given number of requests.
func layerCapacities(m Model, members []Member, b band, requests float64) []int {
	out := make([]int, len(b))
	for n, i := range b {
		out[n] = maxLayers(m, members[i].MB, requests)
	}
	return out
}

// rowEnds divides sizes into consecutive rows that each hold the given number of layers, and
// returns where each row ends. Sizes after the last end are left over.
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

// spreadRow divides target among the members of one row in proportion to their sizes.
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

// leastCoveredSpan returns the span of the given size whose layers have the fewest holders.
// It starts or ends where another span does, because each further boundary adds a hop to the
// paths across it.
func leastCoveredSpan(holders *coverage, size int, spans []Span) Span {
	best, bestValue := Span{}, 0.0
	consider := func(s Span) {
		if s.From < 0 || s.To > len(holders.n) || s.Len() == 0 {
			return
		}
		sum := 0.0
		for _, n := range holders.n[s.From:s.To] {
			sum += holderValue[min(n, len(holderValue)-1)]
		}
		if sum > bestValue {
			best, bestValue = s, sum
		}
	}
	size = min(size, len(holders.n))
	for _, s := range spans {
		if s.Len() > 0 {
			consider(Span{s.From, s.From + size})
			consider(Span{s.To - size, s.To})
		}
	}
	return best
}

// holderValue is the value of one more holder of a layer, indexed by the holders it has. Each
// holder divides it by eight, so that layers with one holder precede those with two by far.
var holderValue = [...]float64{512, 64, 8, 1, 1.0 / 8, 1.0 / 64, 1.0 / 512}

// evaluate returns the number of sole holders of a layout, and its rate in requests per unit
// of time: the highest concurrency for which every member has cache memory, over the time of
// a request when all of them are in the batches. The holders of a layer share its requests.
func evaluate(m Model, members []Member, spans []Span, holders *coverage) (soleHolders int, rate float64) {
	if slices.Contains(holders.n, 0) {
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
		for _, n := range holders.n[s.From:s.To] {
			share = max(share, 1/float64(n))
			sum += 1 / float64(n)
		}
		if share == 1 {
			soleHolders++
		}
		capacity := targetUtilization * (members[i].MB - float64(s.Len())*m.LayerMB) / (m.TokenMB * m.TokensPerRequest * float64(s.Len()))
		concurrency = min(concurrency, capacity/share)
		weight := members[i].Pace * sum / float64(m.Layers)
		base += weight * m.StepTime
		perRequest += weight * share * m.StepTimePerRequest
	}
	if m.Slots > 0 {
		concurrency = min(concurrency, float64(firstHolders*m.Slots))
	}
	return soleHolders, concurrency / (base + perRequest*concurrency)
}

// packByMemory assigns layers by memory alone, fastest members first, for groups in which no
// layout has cache memory for minRequests.
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
