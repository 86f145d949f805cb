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
	// Held is what it holds or is loading; empty when it holds nothing.
	Held Span
}

// Move tells a member what to hold from now on.
type Move struct {
	ID   string
	Span Span
}

// leastRequests is the room that a card keeps beside its layers, in usual
// requests; with less it is full at every clump of arrivals.
const leastRequests = 24

// Plan returns the moves that are worth their price: layers for members that
// hold none, on the layers that nobody holds or that have least room.
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

// gap is the first longest range of layers that nobody holds.
func (c *cover) gap() Span {
	var best, now Span
	for l, r := range c.room {
		if r > 0 {
			now = Span{l + 1, l + 1}
			continue
		}
		now.To = l + 1
		if now.Len() > best.Len() {
			best = now
		}
	}
	return best
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

// planGroup keeps what members hold where that makes a whole model with the
// empty ones on its gaps, and lays all anew otherwise.
func planGroup(m Model, members []Member) []Move {
	if slices.IndexFunc(members, func(x Member) bool { return x.Held.Len() > 0 }) < 0 {
		return layAll(m, members)
	}
	c := &cover{m: m, room: make([]float64, m.Layers)}
	for _, x := range members {
		c.add(x)
	}
	var out []Move
	planned := sizes(m, members)
	for _, i := range emptyFirst(members) {
		x := members[i]
		if gap := c.gap(); gap.Len() > 0 {
			x.Held = Span{gap.From, min(gap.To, gap.From+most(m, x.MB, leastRequests*m.Tokens))}
		} else {
			x.Held = c.weakest(max(1, min(planned[i], most(m, x.MB, leastRequests*m.Tokens))))
		}
		if x.Held.Len() == 0 {
			continue
		}
		c.add(x)
		out = append(out, Move{x.ID, x.Held})
	}
	return out
}

// Gaps reports whether any layer of a group is held by nobody.
func Gaps(m Model, members []Member) bool {
	for _, group := range groups(m, members) {
		c := &cover{m: m, room: make([]float64, m.Layers)}
		for _, x := range group {
			c.add(x)
		}
		if c.gap().Len() > 0 {
			return true
		}
	}
	return false
}

// Relay lays the groups with gaps anew over the members that are left, in the
// order in which they hold layers now, so that each keeps most of what it has.
// It answers the loss of an upstream for good: until then every path of its data
// centre crosses to another one.
func Relay(m Model, members []Member) []Move {
	var out []Move
	for _, group := range groups(m, members) {
		if Gaps(m, group) {
			out = append(out, relayGroup(m, group)...)
		}
	}
	return out
}

func relayGroup(m Model, members []Member) []Move {
	planned := sizes(m, members)
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := members[a], members[b]
		return cmp.Or(cmp.Compare(x.Held.From, y.Held.From), cmp.Compare(x.Held.To, y.Held.To), cmp.Compare(x.ID, y.ID))
	})
	var out []Move
	at := 0
	for _, i := range order {
		if planned[i] == 0 {
			continue
		}
		span := Span{at, at + planned[i]}
		at = span.To
		if span != members[i].Held {
			out = append(out, Move{members[i].ID, span})
		}
	}
	return out
}

// emptyFirst are the members that hold nothing, the largest first: a small one
// fits the gap that is left.
func emptyFirst(members []Member) []int {
	var out []int
	for i, x := range members {
		if x.Held.Len() == 0 {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(a, b int) int {
		return cmp.Or(cmp.Compare(members[b].MB, members[a].MB), cmp.Compare(members[a].ID, members[b].ID))
	})
	return out
}

// layAll gives every member its range, one after the other; those that are not
// needed for one model hold the layers with least room once more.
func layAll(m Model, members []Member) []Move {
	planned := sizes(m, members)
	c := &cover{m: m, room: make([]float64, m.Layers)}
	order := make([]int, len(members))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		x, y := members[a], members[b]
		return cmp.Or(cmp.Compare(x.Pace, y.Pace), cmp.Compare(y.MB, x.MB), cmp.Compare(x.ID, y.ID))
	})
	var out []Move
	at := 0
	for _, i := range order {
		if planned[i] == 0 {
			continue
		}
		x := members[i]
		x.Held = Span{at, at + planned[i]}
		at += planned[i]
		c.add(x)
		out = append(out, Move{x.ID, x.Held})
	}
	for _, i := range order {
		x := members[i]
		n := most(m, x.MB, 2*leastRequests*m.Tokens)
		if planned[i] > 0 || n == 0 {
			continue
		}
		x.Held = c.weakest(n)
		c.add(x)
		out = append(out, Move{x.ID, x.Held})
	}
	return out
}

func sortedKeys(m map[string][]Member) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
