// Package placer decides which layers of a model each upstream holds.
//
// The load pattern it answers: many requests at once, each of which needs cache
// memory on every upstream of its path, so that memory beside the layers binds
// long before steps do; and upstreams that die, leave or come at any moment.
// It is a pure function of what is alive and what it holds.
package placer

import (
	"cmp"
	"slices"
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
	// Tokens is what one request usually needs.
	Tokens float64
}

// Member is an upstream that may hold layers.
type Member struct {
	ID         string
	DataCentre string
	// MB is its memory for layers and requests.
	MB float64
	// Held is what it holds or is loading; empty when it holds nothing.
	Held Span
}

// Move tells a member what to hold from now on.
type Move struct {
	ID   string
	Span Span
}

const (
	// coverage is how many times the layers of a model are held in a data
	// centre. At 1 every loss cuts all paths there until layers are loaded
	// again; each layer more a card holds takes room from requests.
	coverage = 1.35
	// leastRequests is the room that a card keeps beside its layers, in usual
	// requests; with less it is full at every clump of arrivals.
	leastRequests = 24
)

// Plan returns the moves that are worth their price: layers for members that
// hold none, and as few moves of others as close a gap.
func Plan(m Model, members []Member) []Move {
	var out []Move
	for _, group := range groups(m, members) {
		out = append(out, planGroup(m, group)...)
	}
	return out
}

// groups are the members that hold whole models together: those of a data
// centre where that fits, else those of all data centres where it doesn't. When
// these fall short too, all members are one group.
func groups(m Model, members []Member) [][]Member {
	byCentre := make(map[string][]Member)
	for _, x := range members {
		byCentre[x.DataCentre] = append(byCentre[x.DataCentre], x)
	}
	var out [][]Member
	var rest []Member
	for _, dc := range sortedKeys(byCentre) {
		if fits(m, byCentre[dc]) {
			out = append(out, byCentre[dc])
		} else {
			rest = append(rest, byCentre[dc]...)
		}
	}
	if len(rest) == 0 {
		return out
	}
	if fits(m, rest) {
		return append(out, rest)
	}
	return [][]Member{members}
}

func fits(m Model, members []Member) bool {
	return total(m, members, leastRequests*m.Tokens) >= m.Layers
}

// most is how many layers a card holds that keeps room for some tokens.
func most(m Model, mb, tokens float64) int {
	n := int(mb / (m.LayerMB + tokens*m.TokenMB))
	return max(0, min(n, m.Layers))
}

func total(m Model, members []Member, tokens float64) int {
	n := 0
	for _, x := range members {
		n += most(m, x.MB, tokens)
	}
	return n
}

// room is the number of tokens for which each card keeps room: as many as leave
// the wanted coverage.
func room(m Model, members []Member) float64 {
	lo, hi := leastRequests*m.Tokens, 1e7
	want := int(coverage * float64(m.Layers))
	if total(m, members, lo) < want {
		return lo
	}
	const steps = 40
	for range steps {
		mid := (lo + hi) / 2
		if total(m, members, mid) >= want {
			lo = mid
		} else {
			hi = mid
		}
	}
	return lo
}

// cover is how much room the members hold for each layer, in tokens.
type cover struct {
	m    Model
	room []float64
}

func (c *cover) add(x Member, sign float64) {
	if x.Held.Len() == 0 {
		return
	}
	tokens := max(1, (x.MB-float64(x.Held.Len())*c.m.LayerMB)/c.m.TokenMB/float64(x.Held.Len()))
	for l := x.Held.From; l < min(x.Held.To, c.m.Layers); l++ {
		c.room[l] += sign * tokens
	}
}

// held reports whether any member holds a layer; what rounding leaves is none.
func (c *cover) held(l int) bool { return c.room[l] > 0.5 }

func (c *cover) gaps() int {
	n := 0
	for l := range c.room {
		if !c.held(l) {
			n++
		}
	}
	return n
}

// best is the range of n layers that closes most of the gaps, then the one with
// least room. gain is how many layers of it nobody held.
func (c *cover) best(n int) (s Span, gain int) {
	var least float64
	for from := 0; from+n <= len(c.room); from++ {
		sum, g := 0.0, 0
		for l := from; l < from+n; l++ {
			sum += c.room[l]
			if !c.held(l) {
				g++
			}
		}
		if from == 0 || g > gain || (g == gain && sum < least) {
			s, gain, least = Span{from, from + n}, g, sum
		}
	}
	return s, gain
}

func planGroup(m Model, members []Member) []Move {
	c := &cover{m: m, room: make([]float64, m.Layers)}
	tokens := room(m, members)
	var empty, holding []Member
	for _, x := range members {
		if x.Held.Len() == 0 {
			empty = append(empty, x)
			continue
		}
		holding = append(holding, x)
		c.add(x, 1)
	}
	// The largest first: a small card fits the gap that is left, a large one
	// would hold twice what it has next to it.
	slices.SortStableFunc(empty, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.MB, a.MB), cmp.Compare(a.ID, b.ID))
	})
	var out []Move
	for _, x := range empty {
		n := most(m, x.MB, tokens)
		if n == 0 {
			continue
		}
		x.Held, _ = c.best(n)
		c.add(x, 1)
		out = append(out, Move{x.ID, x.Held})
	}
	return append(out, repair(c, holding)...)
}

// repair moves members whose layers others hold too onto gaps, until none is
// left or no member can be spared. Without it the loss of one upstream cuts
// every path of its data centre until it is back.
func repair(c *cover, holding []Member) []Move {
	var out []Move
	moved := make(map[string]bool)
	for c.gaps() > 0 {
		at, span, gain := -1, Span{}, 0
		for i, x := range holding {
			if moved[x.ID] || !c.spare(x) {
				continue
			}
			c.add(x, -1)
			s, g := c.best(x.Held.Len())
			c.add(x, 1)
			if g > gain || (g == gain && at >= 0 && x.Held.Len() < holding[at].Held.Len()) {
				at, span, gain = i, s, g
			}
		}
		if at < 0 {
			return out
		}
		c.add(holding[at], -1)
		holding[at].Held = span
		c.add(holding[at], 1)
		moved[holding[at].ID] = true
		out = append(out, Move{holding[at].ID, span})
	}
	return out
}

// spare reports whether every layer of a member is held by another too.
func (c *cover) spare(x Member) bool {
	c.add(x, -1)
	defer c.add(x, 1)
	for l := x.Held.From; l < min(x.Held.To, c.m.Layers); l++ {
		if !c.held(l) {
			return false
		}
	}
	return true
}

func sortedKeys(m map[string][]Member) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
