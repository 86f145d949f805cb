package placer

import (
	"cmp"
	"slices"
)

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
