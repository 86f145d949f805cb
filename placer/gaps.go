package placer

import (
	"slices"
	"time"
)

const (
	// fillerRequests is the room that a card keeps when it takes the layers of
	// another: less than planned, as those beside it have more.
	fillerRequests = 48
	// spareAfter is how long an empty member waits for a gap, where more members
	// hold a layer alone than there are empty ones.
	spareAfter = 8 * time.Second
)

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
	// Where as many are empty as hold a layer alone, these can all be relieved at
	// once. Else an empty one may be there to replace one of them, which drains only
	// after it came.
	empty := idle(members, moved)
	enough := alone(members, held) <= len(empty)
	for _, x := range empty {
		var s Span
		switch {
		case enough:
			s = beside(held, most(m, x.MB, fillerRequests), spansOf(members))
		case x.Waited >= spareAfter:
			s = relief(m, members, x)
		}
		if s.Len() > 0 {
			give(x, s)
		}
	}
	return out
}

// idle are the empty members that can be given layers.
func idle(members []Member, moved map[string]bool) []Member {
	var out []Member
	for _, x := range members {
		if x.Held.Len() == 0 && !x.Pending && !x.Missing && !moved[x.ID] {
			out = append(out, x)
		}
	}
	return out
}

// alone is how many members hold a layer that no other one holds.
func alone(members []Member, held *cover) int {
	out := 0
	for _, x := range members {
		if x.Held.Len() > 0 && !held.spare(x.Held) {
			out++
		}
	}
	return out
}

// spansOf are the ranges that members hold.
func spansOf(members []Member) []Span {
	out := make([]Span, len(members))
	for i, x := range members {
		out[i] = x.Held
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
		n := evenPart(gap.Len(), most(m, x.MB, fillerRequests))
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

// evenPart is how many layers of a gap a member takes that can hold some at most. Where
// it needs others beside it they take about as many each: with one layer on the last
// and all that fit on the others, these would have room for few requests.
func evenPart(gap, most int) int {
	if most <= 0 {
		return 0
	}
	members := (gap + most - 1) / most
	return (gap + members - 1) / members
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
