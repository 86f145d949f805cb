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
	// leastRequests is the room that a card keeps beside its layers, in usual
	// requests; with less it is full at every clump of arrivals.
	leastRequests = 24
	// fillerRequests is the room that a card keeps when it takes the layers of
	// another: less than planned, as those beside it have more.
	fillerRequests = 48
	// spareAfter is how long an empty member waits for a gap before it holds
	// what others hold too: the one that it replaces drains only after it came.
	spareAfter = 8 * time.Second
	// mostRequests bounds the requests at once that a layout is made for: ten
	// full batches of the known engines.
	mostRequests = 2000
	// fill is the part of its room that a card is planned to have in use:
	// arrivals clump, and answers are longer than expected.
	fill = 0.85
	// copies bounds how often one kind of card holds its part of the model.
	copies = 6
)

// Plan returns the orders to give now. A fleet that holds nothing is laid out
// whole. Later only gaps are closed, each by one order: by an empty member, else
// by one whose layers others hold too. An upstream drains what it gives up, for
// as long as its streams last, and takes no other order meanwhile; so layouts
// that moved every range a little took half a minute to settle.
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
		// One that holds a model stays by itself: when it is cut off, entries of
		// its members lapse, and the others must not move into its gaps.
		if fits(m, byCentre[dc]) || whole(m, byCentre[dc]) {
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

// whole reports whether members hold all layers, or nearly: one was lost.
func whole(m Model, members []Member) bool {
	held := newCover(m)
	for _, x := range members {
		held.add(x.Held, 1)
	}
	n := 0
	for _, by := range held.n {
		if by > 0 {
			n++
		}
	}
	return 2*n > m.Layers
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

// planGroup closes the gaps of a group, or lays it out.
func planGroup(m Model, members []Member) []Move {
	if slices.IndexFunc(members, func(x Member) bool { return x.Held.Len() > 0 }) < 0 {
		return layAll(m, members)
	}
	held := newCover(m)
	for _, x := range members {
		held.add(x.Held, 1)
	}
	moved := make(map[string]bool)
	var out []Move
	give := func(x Member, s Span) {
		held.add(x.Held, -1)
		held.add(s, 1)
		moved[x.ID] = true
		out = append(out, Move{x.ID, s})
	}
	for gap := held.gap(); gap.Len() > 0; gap = held.gap() {
		x, s := filler(m, members, moved, held, gap)
		if s.Len() == 0 {
			x, s = neighbour(m, members, moved, gap)
		}
		if s.Len() == 0 {
			// Nobody can take it now; the other gaps are looked at all the same.
			held.add(gap, 1)
			continue
		}
		give(x, s)
	}
	for _, x := range members {
		if x.Held.Len() > 0 || x.Pending || moved[x.ID] || x.Waited < spareAfter {
			continue
		}
		if s := relief(m, members, x); s.Len() > 0 {
			give(x, s)
		}
	}
	return out
}

// filler is the member that closes most of a gap, and the range it takes: the
// empty one that fits best, else the one that can best be spared.
func filler(m Model, members []Member, moved map[string]bool, held *cover, gap Span) (Member, Span) {
	best, span, grade := Member{}, Span{}, 0.0
	for _, x := range members {
		if x.Pending || x.Missing || moved[x.ID] || !held.spare(x.Held) {
			continue
		}
		n := min(gap.Len(), most(m, x.MB, fillerRequests))
		// Closing more counts most, then being empty, then having few streams to
		// drain, then being fast.
		g := 1e6 * float64(n)
		if x.Held.Len() == 0 {
			g += 1e5
		}
		g += 1e3 / float64(1+x.Streams)
		g += 1 / max(1, x.Pace)
		if n > 0 && g > grade {
			best, span, grade = x, Span{gap.From, gap.From + n}, g
		}
	}
	return best, span
}

// neighbour is a member that holds layers beside a gap and has memory for some
// more, and the range that it holds with them. It comes after members that can
// be spared: what it lends, the streams of its data centre lack. Without it a
// data centre in which each layer is held once never has a path of its own again
// after a loss for good.
func neighbour(m Model, members []Member, moved map[string]bool, gap Span) (Member, Span) {
	best, span, closed := Member{}, Span{}, 0
	for _, x := range members {
		if x.Pending || x.Missing || moved[x.ID] || x.Held.Len() == 0 {
			continue
		}
		n := min(gap.Len(), most(m, x.MB, leastRequests)-x.Held.Len())
		switch {
		case n <= closed:
		case x.Held.To == gap.From:
			best, span, closed = x, Span{x.Held.From, x.Held.To + n}, n
		case x.Held.From == gap.To:
			best, span, closed = x, Span{x.Held.From - n, x.Held.To}, n
		}
	}
	return best, span
}

// relief is the range that an empty member holds beside others: the one of a
// member whose layers take most time for those that hold them.
func relief(m Model, members []Member, x Member) Span {
	best, load := Span{}, 0.0
	for _, y := range members {
		if y.Held.Len() == 0 || y.Held.Len() > most(m, x.MB, fillerRequests) {
			continue
		}
		holders := 0.0
		for _, z := range members {
			if z.Held == y.Held {
				holders++
			}
		}
		if l := y.Pace * float64(y.Held.Len()) / holders; l > load {
			best, load = y.Held, l
		}
	}
	return best
}

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

// cover counts the members that hold each layer.
type cover struct{ n []int }

func newCover(m Model) *cover { return &cover{n: make([]int, m.Layers)} }

func (c *cover) add(s Span, by int) {
	for l := max(0, s.From); l < min(s.To, len(c.n)); l++ {
		c.n[l] += by
	}
}

// gap is the first range of layers that nobody holds.
func (c *cover) gap() Span {
	from := slices.Index(c.n, 0)
	if from < 0 {
		return Span{}
	}
	to := from
	for to < len(c.n) && c.n[to] == 0 {
		to++
	}
	return Span{from, to}
}

// spare reports whether others than its holder hold every layer of a span.
func (c *cover) spare(s Span) bool {
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
// holds one part of the model in one or more rows that each hold that part whole.
//
// The slowest comes first: it has most rows. A stream whose first upstream is
// lost has to be sent again as a new request, while another hop of its path is
// replaced by an order; with the one fastest card of a data centre first, its
// loss cut 114 streams at once.
func layout(m Model, members []Member) []Span {
	kinds := kindsOf(members)
	out := make([]Span, len(members))
	at := 0
	parts := divide(m, kinds)
	for k := len(kinds) - 1; k >= 0; k-- {
		part := parts[k]
		for i, s := range slots(at, part, len(kinds[k].members)) {
			out[kinds[k].members[i]] = s
		}
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
	const steps, growth = 40, 1.12
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
	return out
}
