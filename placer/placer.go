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
	// Pace is how much time a token takes per layer, against the other members.
	Pace float64
	// Held is what it holds, or loads while it holds nothing.
	Held Span
	// Pending is set while an order to it is under way.
	Pending bool
}

// Move tells a member what to hold from now on.
type Move struct {
	ID   string
	Span Span
}

// emergencyRequests is the room that a card keeps while it holds layers beside
// its own: a narrow path is better than none.
const emergencyRequests = 8

// leastRequests is the room that a card keeps beside its layers, in usual
// requests; with less it is full at every clump of arrivals.
const leastRequests = 24

// Plan returns the orders to give now. Ranges move towards a layout of what is
// alive step by step: a member first loads what it lacks, as far as its memory
// allows, and gives up a layer only when another holds it. So the paths over the
// members that are left never break, and a lost range is closed by its
// neighbours within the time of loading a few layers.
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

// roomOf is the number of tokens for which a card has room beside n layers.
func roomOf(m Model, mb float64, n int) float64 {
	return max(0, (mb-float64(n)*m.LayerMB)/m.TokenMB/float64(max(1, n)))
}

// sizes decides how many layers each member holds so that together they hold
// the model once. A request takes room on every member for as long as its
// answer takes, so what counts is the least room over that time: fast cards take
// as many layers as leave that room, slow ones share the rest.
//
// Against one number of layers a kind of card, with each layer held 1.35 times,
// this has twice the room at the narrowest place: memory for the second copy is
// memory that requests lack.
func sizes(m Model, members []Member) []int {
	var best []int
	var least float64
	const steps = 60
	lo := leastRequests * m.Tokens
	for tokens, i := lo, 0; i < steps; tokens, i = tokens*1.07, i+1 {
		n, ok := fill(m, members, tokens)
		if !ok {
			break
		}
		if cost := pressure(m, members, n); best == nil || cost < least {
			best, least = n, cost
		}
	}
	if best == nil {
		best, _ = fill(m, members, 0)
	}
	return best
}

// fill gives the model's layers to the fastest members first, each as many as
// leave room for some tokens; those of the slowest kind that is needed share
// evenly what is left. It reports false when the model does not fit.
func fill(m Model, members []Member, tokens float64) ([]int, bool) {
	out := make([]int, len(members))
	left := m.Layers
	for _, kind := range byPace(members) {
		caps := 0
		for _, i := range kind {
			caps += most(m, members[i].MB, tokens)
		}
		if caps <= left {
			for _, i := range kind {
				out[i] = most(m, members[i].MB, tokens)
			}
			left -= caps
			continue
		}
		share(m, members, kind, left, tokens, out)
		return out, true
	}
	return out, left == 0
}

// share gives n layers to the members of a kind, as evenly as they fit.
func share(m Model, members []Member, kind []int, n int, tokens float64, out []int) {
	for n > 0 {
		at := -1
		for _, i := range kind {
			if out[i] < most(m, members[i].MB, tokens) && (at < 0 || out[i] < out[at]) {
				at = i
			}
		}
		if at < 0 {
			return
		}
		out[at]++
		n--
	}
}

// byPace groups members of one pace, fastest first.
func byPace(members []Member) [][]int {
	at := make(map[float64][]int)
	var paces []float64
	for i, x := range members {
		if at[x.Pace] == nil {
			paces = append(paces, x.Pace)
		}
		at[x.Pace] = append(at[x.Pace], i)
	}
	slices.Sort(paces)
	out := make([][]int, len(paces))
	for i, p := range paces {
		out[i] = at[p]
	}
	return out
}

// pressure is how full the narrowest member gets: the time of a token over all
// layers, for which every request holds its room, against that room.
func pressure(m Model, members []Member, n []int) float64 {
	pace, least := 0.0, 0.0
	for i, x := range members {
		if n[i] == 0 {
			continue
		}
		pace += x.Pace * float64(n[i])
		if r := roomOf(m, x.MB, n[i]); least == 0 || r < least {
			least = r
		}
	}
	if least == 0 {
		return 1e18
	}
	return pace / least
}

// cover is how much room the members hold for each layer, in tokens.
type cover struct {
	m    Model
	room []float64
}

func (c *cover) add(x Member) {
	for l := x.Held.From; l < min(x.Held.To, c.m.Layers); l++ {
		c.room[l] += max(1, roomOf(c.m, x.MB, x.Held.Len()))
	}
}

// drop takes away what a member gives up.
func (c *cover) drop(x Member, next Span) {
	tokens := max(1, roomOf(c.m, x.MB, x.Held.Len()))
	for l := x.Held.From; l < min(x.Held.To, c.m.Layers); l++ {
		if l < next.From || l >= next.To {
			c.room[l] -= tokens
		}
	}
}

// others reports whether another member than x holds a layer. What rounding
// leaves is nobody.
func (c *cover) others(x Member, l int) bool {
	return l >= c.m.Layers || c.room[l]-max(1, roomOf(c.m, x.MB, x.Held.Len())) > 0.5
}

// weakest is the range of n layers with least room.
func (c *cover) weakest(n int) Span {
	best, least := Span{}, 0.0
	for from := 0; from+n <= len(c.room); from++ {
		sum := 0.0
		for _, r := range c.room[from : from+n] {
			sum += r
		}
		if from == 0 || sum < least {
			best, least = Span{from, from + n}, sum
		}
	}
	return best
}

// planGroup moves the members of a group towards their targets.
func planGroup(m Model, members []Member) []Move {
	targets := layout(m, members)
	listed := &cover{m: m, room: make([]float64, m.Layers)}
	for _, x := range members {
		listed.add(x)
	}
	var out []Move
	for i, x := range members {
		if x.Pending {
			continue
		}
		next := step(m, x, targets[i], listed)
		if next == x.Held || next.Len() == 0 {
			continue
		}
		out = append(out, Move{x.ID, next})
		if next.From > x.Held.From || next.To < x.Held.To {
			// What it gives up counts at once, so that the other holder of the
			// same layers does not give them up too.
			listed.drop(x, next)
		}
	}
	return out
}

// step is what a member holds next on its way to a target.
func step(m Model, x Member, target Span, listed *cover) Span {
	if x.Held.Len() == 0 {
		return target
	}
	next := shrink(x, target, listed)
	if next != x.Held {
		return next
	}
	return extend(m, x, target)
}

// shrink gives up layers that are not in the target and that others hold.
func shrink(x Member, target Span, listed *cover) Span {
	next := x.Held
	for next.From < target.From && next.Len() > 1 && listed.others(x, next.From) {
		next.From++
	}
	for next.To > target.To && next.Len() > 1 && listed.others(x, next.To-1) {
		next.To--
	}
	return next
}

// extend takes layers of the target that lie next to those held, as many as
// leave the least room.
func extend(m Model, x Member, target Span) Span {
	next := x.Held
	limit := most(m, x.MB, emergencyRequests*m.Tokens)
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

// layout is the range of each member once all moves are made. Those that are
// needed for one model follow each other in the order in which they hold layers
// now; an empty one comes in where least room is. The others hold the layers
// with least room once more.
func layout(m Model, members []Member) []Span {
	planned := sizes(m, members)
	out := make([]Span, len(members))
	c := &cover{m: m, room: make([]float64, m.Layers)}
	at := 0
	for _, i := range sequence(m, members, planned) {
		out[i] = Span{at, at + planned[i]}
		at = out[i].To
		x := members[i]
		x.Held = out[i]
		c.add(x)
	}
	for i, x := range members {
		if planned[i] > 0 {
			continue
		}
		if x.Held.Len() == 0 {
			x.Held = c.weakest(most(m, x.MB, 2*leastRequests*m.Tokens))
		}
		out[i] = x.Held
		c.add(x)
	}
	return out
}

// sequence orders the needed members along the model.
func sequence(m Model, members []Member, planned []int) []int {
	var holding, empty []int
	for i, x := range members {
		switch {
		case planned[i] == 0:
		case x.Held.Len() > 0:
			holding = append(holding, i)
		default:
			empty = append(empty, i)
		}
	}
	slices.SortStableFunc(holding, func(a, b int) int {
		x, y := members[a].Held, members[b].Held
		return cmp.Or(cmp.Compare(x.From+x.To, y.From+y.To), cmp.Compare(members[a].ID, members[b].ID))
	})
	slices.SortStableFunc(empty, func(a, b int) int {
		x, y := members[a], members[b]
		return cmp.Or(cmp.Compare(x.Pace, y.Pace), cmp.Compare(y.MB, x.MB), cmp.Compare(x.ID, y.ID))
	})
	if len(holding) == 0 {
		return empty
	}
	for _, i := range empty {
		holding = slices.Insert(holding, insertion(m, members, holding), i)
	}
	return holding
}

// insertion is the place in a sequence where an empty member relieves its
// neighbours most: at the widest gap, else beside the member with least room.
func insertion(m Model, members []Member, seq []int) int {
	best, widest, end := -1, 0, 0
	for k, i := range seq {
		h := members[i].Held
		if h.Len() == 0 {
			continue
		}
		if h.From-end > widest {
			best, widest = k, h.From-end
		}
		end = max(end, h.To)
	}
	if m.Layers-end > widest {
		return len(seq)
	}
	if best >= 0 {
		return best
	}
	least := 0.0
	for k, i := range seq {
		x := members[i]
		if x.Held.Len() == 0 {
			continue
		}
		if r := roomOf(m, x.MB, x.Held.Len()); best < 0 || r < least {
			best, least = k, r
		}
	}
	return best
}

func sortedKeys(m map[string][]Member) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
