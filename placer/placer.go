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
	// Tokens is what one request usually holds.
	Tokens float64
	// Step is the time of a token step over all layers, Request what each
	// request in the batch adds to it, in one unit.
	Step, Request float64
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
	// Missing is set while it can't be reached and may be back soon. Its place
	// is kept, and what it held is lent to others.
	Missing bool
}

// Move tells a member what to hold from now on.
type Move struct {
	ID   string
	Span Span
}

const (
	// leastRequests is the room that a card keeps beside its layers, in usual
	// requests; with less it is full at every clump of arrivals.
	leastRequests = 24
	// lentRequests is the room that a card keeps while it also holds layers of
	// a missing one: a narrow path is better than none.
	lentRequests = 16
	// mostRequests bounds the requests at once that a layout is made for: it is
	// the largest batch of the known engines.
	mostRequests = 192
	// fill is the part of its room that a card is planned to have in use:
	// arrivals clump, and answers are longer than expected.
	fill = 0.85
	// copies bounds how often one kind of card holds its part of the model.
	copies = 4
)

// Plan returns the orders to give now. Ranges move step by step towards a layout
// of what is alive: a member first loads what it lacks, as far as its memory
// allows, and gives up a layer only when another holds it, so that paths over
// what is left never break.
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
	n := 0
	for _, x := range members {
		n += most(m, x.MB, leastRequests)
	}
	return n >= m.Layers
}

// most is how many layers a card holds that keeps room for some requests.
func most(m Model, mb, requests float64) int {
	n := int(mb / (m.LayerMB + requests*m.Tokens*m.TokenMB))
	return max(0, min(n, m.Layers))
}

// planGroup moves the members of a group towards their targets.
func planGroup(m Model, members []Member) []Move {
	targets := layout(m, members)
	held := newCover(m)
	for _, x := range members {
		if !x.Missing {
			held.add(x.Held, 1)
		}
	}
	lend(m, members, targets, held)
	var out []Move
	for i, x := range members {
		if x.Pending || x.Missing {
			continue
		}
		next := step(m, x, targets[i], held)
		if next == x.Held || next.Len() == 0 {
			continue
		}
		out = append(out, Move{x.ID, next})
		// What it gives up counts at once, so that the other holder of the same
		// layers does not give them up too.
		held.leave(x.Held, next)
	}
	return out
}

// lend widens the targets of members beside layers that nobody can be reached
// for, each as far as its memory allows.
func lend(m Model, members []Member, targets []Span, held *cover) {
	wanted := newCover(m)
	for i, x := range members {
		if !x.Missing && x.Held.Len() > 0 {
			wanted.add(targets[i], 1)
		}
	}
	for l := range m.Layers {
		if held.n[l] > 0 || wanted.n[l] > 0 {
			continue
		}
		if i := lender(m, members, targets, l); i >= 0 {
			targets[i] = Span{min(targets[i].From, l), max(targets[i].To, l+1)}
		}
	}
}

// lender is the member that reaches layer l with most room to spare: one whose
// target ends beside it.
func lender(m Model, members []Member, targets []Span, l int) int {
	best, spare := -1, 0
	for i, x := range members {
		t := targets[i]
		if x.Missing || x.Held.Len() == 0 || (t.To != l && t.From != l+1) {
			continue
		}
		if s := most(m, x.MB, lentRequests) - t.Len(); s > spare {
			best, spare = i, s
		}
	}
	return best
}

// step is what a member holds next on its way to a target.
func step(m Model, x Member, target Span, held *cover) Span {
	if x.Held.Len() == 0 {
		return target
	}
	next := shrink(x, target, held)
	if next != x.Held {
		return next
	}
	if next.To <= target.From || next.From >= target.To {
		// A range elsewhere is loaded in one go once nobody needs the old one.
		if held.free(x.Held) {
			return target
		}
		return x.Held
	}
	return extend(m, x, target)
}

// shrink gives up layers that are not in the target and that others hold.
func shrink(x Member, target Span, held *cover) Span {
	next := x.Held
	for next.From < target.From && next.Len() > 1 && held.n[next.From] > 1 {
		next.From++
	}
	for next.To > target.To && next.Len() > 1 && held.n[next.To-1] > 1 {
		next.To--
	}
	return next
}

// extend takes layers of the target that lie next to those held, as many as
// leave the least room.
func extend(m Model, x Member, target Span) Span {
	next := x.Held
	limit := most(m, x.MB, lentRequests)
	for next.Len() < limit {
		switch {
		case target.To > next.To:
			next.To++
		case target.From < next.From:
			next.From--
		default:
			return next
		}
	}
	return next
}

// cover counts the members that hold each layer.
type cover struct{ n []int }

func newCover(m Model) *cover { return &cover{n: make([]int, m.Layers)} }

func (c *cover) add(s Span, by int) {
	for l := max(0, s.From); l < min(s.To, len(c.n)); l++ {
		c.n[l] += by
	}
}

// leave takes away what is in old and not in next.
func (c *cover) leave(old, next Span) {
	for l := old.From; l < min(old.To, len(c.n)); l++ {
		if l < next.From || l >= next.To {
			c.n[l]--
		}
	}
}

// free reports whether others hold every layer of a span too.
func (c *cover) free(s Span) bool {
	for l := s.From; l < min(s.To, len(c.n)); l++ {
		if c.n[l] < 2 {
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

// layout is the range of each member once all moves are made. Each kind of card
// holds one part of the model, the fastest the first, in one or more rows that
// each hold that part whole.
func layout(m Model, members []Member) []Span {
	kinds := kindsOf(members)
	out := make([]Span, len(members))
	at := 0
	for k, part := range divide(m, kinds) {
		assign(members, kinds[k].members, slots(at, part, len(kinds[k].members)), out)
		at += part.layers
	}
	return out
}

// kind is the members with one pace and one memory.
type kind struct {
	mb, pace float64
	// members are indices into the group's.
	members []int
}

// kindsOf groups members, the fastest first.
func kindsOf(members []Member) []kind {
	var out []kind
	for i, x := range members {
		k := slices.IndexFunc(out, func(k kind) bool { return k.mb == x.MB && k.pace == x.Pace })
		if k < 0 {
			out = append(out, kind{mb: x.MB, pace: x.Pace})
			k = len(out) - 1
		}
		out[k].members = append(out[k].members, i)
	}
	slices.SortFunc(out, func(a, b kind) int {
		return cmp.Or(cmp.Compare(a.pace, b.pace), cmp.Compare(b.mb, a.mb))
	})
	return out
}

// part is what one kind holds: a number of layers, in a number of rows.
type part struct{ layers, rows int }

// divide shares the layers among the kinds so that the highest rate of arrivals
// can be borne: requests at once over the time that each takes.
func divide(m Model, kinds []kind) []part {
	var best []part
	var rate float64
	const steps, growth = 24, 1.12
	for n, i := float64(leastRequests), 0; i < steps && n <= mostRequests; n, i = n*growth, i+1 {
		parts := make([]part, len(kinds))
		tryRows(m, kinds, n, parts, 0, func(t float64) {
			if r := n / t; r > rate {
				best, rate = slices.Clone(parts), r
			}
		})
	}
	if best == nil {
		best = squeeze(m, kinds)
	}
	return best
}

// tryRows tries every number of rows of each kind from k on.
func tryRows(m Model, kinds []kind, n float64, parts []part, k int, found func(t float64)) {
	if k == len(kinds) {
		if t, ok := fillParts(m, kinds, n, parts); ok {
			found(t)
		}
		return
	}
	for rows := 1; rows <= min(copies, len(kinds[k].members)); rows++ {
		parts[k].rows = rows
		tryRows(m, kinds, n, parts, k+1, found)
	}
}

// fillParts gives the layers to the kinds on which a layer takes least time when
// n requests run at once, as many as leave room for these, and returns the time
// of a token over all layers.
func fillParts(m Model, kinds []kind, n float64, parts []part) (float64, bool) {
	order := make([]int, len(kinds))
	price := make([]float64, len(kinds))
	for k := range kinds {
		order[k] = k
		parts[k].layers = 0
		price[k] = kinds[k].pace * (m.Step + m.Request*n/float64(parts[k].rows))
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(price[a], price[b]) })
	left, t := m.Layers, 0.0
	for _, k := range order {
		p := &parts[k]
		perRow := len(kinds[k].members) / p.rows
		p.layers = min(left, perRow*most(m, kinds[k].mb, n/float64(p.rows)/fill))
		left -= p.layers
		t += price[k] * float64(p.layers) / float64(m.Layers)
	}
	return t, left == 0
}

// squeeze shares the layers by memory alone where no layout has the least room.
func squeeze(m Model, kinds []kind) []part {
	out := make([]part, len(kinds))
	left := m.Layers
	for k := range kinds {
		n := min(left, len(kinds[k].members)*most(m, kinds[k].mb, 1))
		out[k] = part{layers: n, rows: 1}
		left -= n
	}
	return out
}

// slots are the ranges of a kind's members from layer at on: rows that each
// cover the part, with members as even as they can be.
func slots(at int, p part, members int) []Span {
	var out []Span
	if p.layers == 0 {
		return nil
	}
	for row := range p.rows {
		n := members / p.rows
		if row < members%p.rows {
			n++
		}
		for i := range n {
			s := Span{at + i*p.layers/n, at + (i+1)*p.layers/n}
			if s.Len() == 0 {
				// More members than layers: they hold one that others hold too.
				s.To = s.From + 1
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b Span) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	return out
}

// assign gives each member a slot: its own where it holds one, else in the order
// of what they hold, so that each moves little. Empty members take what is left.
func assign(members []Member, which []int, free []Span, out []Span) {
	var rest []int
	for _, i := range which {
		if at := slices.Index(free, members[i].Held); at >= 0 {
			out[i] = free[at]
			free = slices.Delete(free, at, at+1)
			continue
		}
		rest = append(rest, i)
	}
	slices.SortFunc(rest, func(a, b int) int {
		x, y := members[a], members[b]
		if (x.Held.Len() == 0) != (y.Held.Len() == 0) {
			return cmp.Compare(y.Held.Len(), x.Held.Len())
		}
		return cmp.Or(cmp.Compare(x.Held.From+x.Held.To, y.Held.From+y.Held.To), cmp.Compare(x.ID, y.ID))
	})
	for _, i := range rest {
		if len(free) == 0 {
			out[i] = members[i].Held
			continue
		}
		at := nearest(free, members[i].Held)
		out[i] = free[at]
		free = slices.Delete(free, at, at+1)
	}
}

// nearest is the slot that a member reaches with the fewest loads; the first for
// an empty one.
func nearest(free []Span, held Span) int {
	if held.Len() == 0 {
		return 0
	}
	best, dist := 0, -1
	for i, s := range free {
		if d := abs(s.From-held.From) + abs(s.To-held.To); dist < 0 || d < dist {
			best, dist = i, d
		}
	}
	return best
}

func abs(n int) int { return max(n, -n) }
