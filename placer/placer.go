// Package placer decides which layers of a model each upstream holds.
//
// Many requests run at once, and each passes every layer of the model for each token. A step
// of an accelerator takes longer with each request in its batch, so slow accelerators with
// many layers lengthen every answer, which in turn puts more requests into every batch. Above
// a certain arrival rate this growth has no end. Each request also takes cache memory (its KV
// cache) beside the layers until its answer is complete. The package looks for the layout that
// sustains the highest arrival rate, and accepts a rate that is somewhat lower if every layer
// then has two holders.
//
// Its results depend only on its arguments: the members that are alive and what they hold.
package placer

import (
	"slices"
	"time"
)

// Span is a half-open range of layers; it is empty if To is not above From.
type Span struct {
	// From is the first layer, To the one after the last.
	From, To int
}

// Len returns the number of layers.
func (s Span) Len() int { return max(0, s.To-s.From) }

// Model describes the model to place.
type Model struct {
	// Layers is the number of layers, LayerMB the size of one in MB.
	Layers  int
	LayerMB float64
	// TokenMB is the KV cache of one token in one layer, in MB.
	TokenMB float64
	// TokensPerRequest is the number of tokens that a typical request has in the cache.
	TokensPerRequest float64
	// StepTime is the time of a token step over all layers at pace 1. StepTimePerRequest is
	// what each request in the batch adds to it, in the same unit.
	StepTime, StepTimePerRequest float64
	// Slots bounds the concurrent requests sent to a member that holds the first layer; 0
	// means no bound.
	Slots int
}

// Member is an upstream that may hold layers.
type Member struct {
	ID         string
	DataCentre string
	// MB is its memory for layers and the cache of requests, in MB.
	MB float64
	// Pace multiplies the time of a step: the higher, the slower.
	Pace float64
	// Held is the span that it holds, or that it is loading if it holds none.
	Held Span
	// Pending is set while an order to it is not carried out yet.
	Pending bool
	// Unreachable is set while it can't be reached but may return soon. The layers it held
	// are no gap in the meantime: paths use another data centre for them.
	Unreachable bool
	// Streams is the number of streams that pass through it.
	Streams int
	// EmptyFor is how long it has held no layers.
	EmptyFor time.Duration
}

// Move is an order to a member to hold a span from now on.
type Move struct {
	ID   string
	Span Span
}

const (
	// minRequests is the number of typical requests for which a member keeps cache memory
	// beside its layers. With fewer, any burst of arrivals fills it.
	minRequests = 24
	// maxRequests bounds the concurrency for which layouts are made: ten full batches of
	// the known engines.
	maxRequests = 2000
	// targetUtilization is the planned fraction of the cache memory in use. The rest is for
	// bursts of arrivals and answers that are longer than expected.
	targetUtilization = 0.85
)

// Plan returns the orders to give now. A fleet that holds no layers gets a complete layout.
// Later only gaps are closed, each by one order if possible, to an empty member or else to
// one whose layers have other holders. An upstream drains the layers that it gives up until
// their streams end, and takes no other order in the meantime; a layout that moves every span
// a little would take half a minute to settle.
func Plan(m Model, members []Member) []Move {
	return PlanFor(m, members, func(string) bool { return true })
}

// PlanFor is Plan restricted to groups with a member in a selected data centre. Laying out a
// group takes long, and each host that gives orders is responsible for few data centres.
func PlanFor(m Model, members []Member, selected func(name string) bool) []Move {
	var out []Move
	for _, group := range formGroups(m, members) {
		if slices.ContainsFunc(group, func(x Member) bool { return selected(x.DataCentre) }) {
			out = append(out, planGroup(m, group)...)
		}
	}
	return out
}

// formGroups divides members into groups that each hold a whole model: one for each data
// centre that can hold it alone, and one for the members of all other data centres. If the
// latter cannot hold the model together either, all members form one group.
func formGroups(m Model, members []Member) [][]Member {
	byDataCentre := make(map[string][]Member)
	for _, x := range members {
		byDataCentre[x.DataCentre] = append(byDataCentre[x.DataCentre], x)
	}
	var out [][]Member
	var rest []Member
	for _, dc := range sortedKeys(byDataCentre) {
		// A data centre that holds the model remains its own group: while it is cut off, the
		// list entries of its members expire, and other members must not move into its gaps.
		if canHoldModel(m, byDataCentre[dc]) || holdsMostLayers(m, byDataCentre[dc]) {
			out = append(out, byDataCentre[dc])
		} else {
			rest = append(rest, byDataCentre[dc]...)
		}
	}
	if len(rest) == 0 {
		return out
	}
	if canHoldModel(m, rest) {
		return append(out, rest)
	}
	return [][]Member{members}
}

// holdsMostLayers reports whether members hold more than half of the layers, as they do
// after one of them is lost.
func holdsMostLayers(m Model, members []Member) bool {
	holders := newCoverage(m)
	for _, x := range members {
		holders.add(x.Held, 1)
	}
	n := 0
	for _, count := range holders.n {
		if count > 0 {
			n++
		}
	}
	return 2*n > m.Layers
}

// canHoldModel reports whether members have memory for all layers and the cache of
// minRequests requests.
func canHoldModel(m Model, members []Member) bool {
	n := 0
	for _, x := range members {
		n += maxLayers(m, x.MB, minRequests)
	}
	return n >= m.Layers
}

// maxLayers returns how many layers fit into mb beside the cache of the given number of
// requests.
func maxLayers(m Model, mb, requests float64) int {
	n := int(mb / (m.LayerMB + requests*m.TokensPerRequest*m.TokenMB))
	return max(0, min(n, m.Layers))
}
