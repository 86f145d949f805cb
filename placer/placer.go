// Package placer decides which layers of a model each upstream holds.
//
// The load pattern it answers: many requests at once, each of which passes every
// layer of the model for each token. A card's step gets longer with each request
// in its batch, so that slow cards with many layers make every answer longer,
// which puts more requests into every batch; past a certain rate of arrivals
// that never ends. And each request takes cache memory beside the layers for as
// long as its answer takes. The layout with the highest such rate is chosen.
//
// It is a pure function of what is alive and what that holds.
package placer

import (
	"slices"
	"time"
)

// Span is a range of layers; it is empty when To is not above From.
type Span struct {
	// From is the first layer, To the one after the last.
	From, To int
}

// Len is the number of layers.
func (s Span) Len() int { return max(0, s.To-s.From) }

// Model is what is to be placed.
type Model struct {
	// Layers is how many it has, LayerMB the size of one in MB.
	Layers  int
	LayerMB float64
	// TokenMB is the cache memory of one token in one layer, in MB.
	TokenMB float64
	// Tokens is what one request usually holds.
	Tokens float64
	// Step is the time of a token step over all layers, Request what each
	// request in the batch adds to it, in one unit.
	Step, Request float64
	// Slots is how many requests a member that holds the first layer is sent at
	// once; 0 is any number.
	Slots int
}

// Member is an upstream that may hold layers.
type Member struct {
	ID         string
	DataCentre string
	// MB is its memory for layers and requests.
	MB float64
	// Pace multiplies the time of a step.
	Pace float64
	// Held is what it holds, or is loading while it holds nothing.
	Held Span
	// Pending is set while an order to it is under way.
	Pending bool
	// Missing is set while it can't be reached and may be back soon. What it
	// held is no gap meanwhile: paths cross to another data centre there.
	Missing bool
	// Streams is how many pass it now.
	Streams int
	// Waited is how long it has held nothing.
	Waited time.Duration
}

// Move tells a member what to hold from now on.
type Move struct {
	ID   string
	Span Span
}

const (
	// minRequests is the room that a card keeps beside its layers, in usual
	// requests; with less it is full at every clump of arrivals.
	minRequests = 24
	// maxRequests bounds the requests at once that a layout is made for: ten
	// full batches of the known engines.
	maxRequests = 2000
	// targetUtilization is the part of its room that a card is planned to have in use:
	// arrivals clump, and answers are longer than expected.
	targetUtilization = 0.85
)

// Plan returns the orders to give now. A fleet that holds nothing is laid out
// whole. Later only gaps are closed, each by one order: by an empty member, else
// by one whose layers others hold too. An upstream drains what it gives up, for
// as long as its streams last, and takes no other order meanwhile; so layouts
// that moved every range a little took half a minute to settle.
func Plan(m Model, members []Member) []Move {
	return PlanFor(m, members, func(string) bool { return true })
}

// PlanFor is Plan for the groups with a member in some data centres. To lay out a
// group takes a while, and each host that gives orders does so for a few.
func PlanFor(m Model, members []Member, selected func(name string) bool) []Move {
	var out []Move
	for _, group := range formGroups(m, members) {
		if slices.ContainsFunc(group, func(x Member) bool { return selected(x.DataCentre) }) {
			out = append(out, planGroup(m, group)...)
		}
	}
	return out
}

// formGroups are the members that hold whole models together: those of a data
// centre where that fits, else those of all data centres where it doesn't. When
// these fall short too, all members are one group.
func formGroups(m Model, members []Member) [][]Member {
	byDataCentre := make(map[string][]Member)
	for _, x := range members {
		byDataCentre[x.DataCentre] = append(byDataCentre[x.DataCentre], x)
	}
	var out [][]Member
	var rest []Member
	for _, dc := range sortedKeys(byDataCentre) {
		// One that holds a model stays by itself: when it is cut off, entries of
		// its members lapse, and the others must not move into its gaps.
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

// holdsMostLayers reports whether members hold all layers, or nearly: one was lost.
func holdsMostLayers(m Model, members []Member) bool {
	holders := newCoverage(m)
	for _, x := range members {
		holders.add(x.Held, 1)
	}
	n := 0
	for _, count := range holders.count {
		if count > 0 {
			n++
		}
	}
	return 2*n > m.Layers
}

func canHoldModel(m Model, members []Member) bool {
	n := 0
	for _, x := range members {
		n += maxLayers(m, x.MB, minRequests)
	}
	return n >= m.Layers
}

// maxLayers is how many layers a card holds that keeps room for some requests.
func maxLayers(m Model, mb, requests float64) int {
	n := int(mb / (m.LayerMB + requests*m.Tokens*m.TokenMB))
	return max(0, min(n, m.Layers))
}
