package placer

import (
	"slices"
	"time"
)

const (
	// repairRequests is the room that a card keeps when it takes the layers of
	// another: less than planned, as those beside it have more.
	repairRequests = 48
	// spareDelay is how long an empty member waits for a gap, where more members
	// hold a layer alone than there are empty ones.
	spareDelay = 8 * time.Second
)

// planGroup closes the gaps of a group, or lays it out.
func planGroup(m Model, members []Member) []Move {
	if slices.IndexFunc(members, func(x Member) bool { return x.Held.Len() > 0 }) < 0 {
		return layoutGroup(m, members)
	}
	holders := newCoverage(m)
	for _, x := range members {
		holders.add(x.Held, 1)
	}
	moved := make(map[string]bool)
	var out []Move
	assign := func(x Member, s Span) {
		holders.add(x.Held, -1)
		holders.add(s, 1)
		moved[x.ID] = true
		out = append(out, Move{x.ID, s})
	}
	for gap := holders.firstGap(); gap.Len() > 0; gap = holders.firstGap() {
		x, s := pickReplacement(m, members, moved, holders, gap)
		if s.Len() == 0 {
			x, s = extendNeighbour(m, members, moved, gap)
		}
		if s.Len() == 0 {
			// Nobody can take it now; the other gaps are looked at all the same.
			holders.add(gap, 1)
			continue
		}
		assign(x, s)
	}
	// Where as many are empty as hold a layer alone, these can all be relieved at
	// once. Else an empty one may be there to replace one of them, which drains only
	// after it came.
	empty := availableEmpty(members, moved)
	enoughEmpty := countSoleHolders(members, holders) <= len(empty)
	for _, x := range empty {
		var s Span
		switch {
		case enoughEmpty:
			s = leastCoveredSpan(holders, maxLayers(m, x.MB, repairRequests), heldSpans(members))
		case x.Waited >= spareDelay:
			s = mostLoadedSpan(m, members, x)
		}
		if s.Len() > 0 {
			assign(x, s)
		}
	}
	return out
}

// availableEmpty are the empty members that can be given layers.
func availableEmpty(members []Member, moved map[string]bool) []Member {
	var out []Member
	for _, x := range members {
		if x.Held.Len() == 0 && !x.Pending && !x.Missing && !moved[x.ID] {
			out = append(out, x)
		}
	}
	return out
}

// countSoleHolders is how many members hold a layer that no other one holds.
func countSoleHolders(members []Member, holders *coverage) int {
	out := 0
	for _, x := range members {
		if x.Held.Len() > 0 && !holders.redundant(x.Held) {
			out++
		}
	}
	return out
}

// heldSpans are the ranges that members hold.
func heldSpans(members []Member) []Span {
	out := make([]Span, len(members))
	for i, x := range members {
		out[i] = x.Held
	}
	return out
}

// pickReplacement is the member that closes most of a gap, and the range it takes: the
// empty one that fits best, else the one that can best be spared.
func pickReplacement(m Model, members []Member, moved map[string]bool, holders *coverage, gap Span) (Member, Span) {
	best, span, bestScore := Member{}, Span{}, 0.0
	for _, x := range members {
		if x.Pending || x.Missing || moved[x.ID] || !holders.redundant(x.Held) {
			continue
		}
		n := evenShare(gap.Len(), maxLayers(m, x.MB, repairRequests))
		// Closing more counts most, then being empty, then having few streams to
		// drain, then being fast.
		score := 1e6 * float64(n)
		if x.Held.Len() == 0 {
			score += 1e5
		}
		score += 1e3 / float64(1+x.Streams)
		score += 1 / max(1, x.Pace)
		if n > 0 && score > bestScore {
			best, span, bestScore = x, Span{gap.From, gap.From + n}, score
		}
	}
	return best, span
}

// evenShare is how many layers of a gap a member takes that can hold some at most. Where
// it needs others beside it they take about as many each: with one layer on the last
// and all that fit on the others, these would have room for few requests.
func evenShare(gap, capacity int) int {
	if capacity <= 0 {
		return 0
	}
	members := (gap + capacity - 1) / capacity
	return (gap + members - 1) / members
}

// extendNeighbour is a member that holds layers beside a gap and has memory for some
// more, and the range that it holds with them. It comes after members that can
// be spared: what it lends, the streams of its data centre lack. Without it a
// data centre in which each layer is held once never has a path of its own again
// after a loss for good.
func extendNeighbour(m Model, members []Member, moved map[string]bool, gap Span) (Member, Span) {
	best, span, covered := Member{}, Span{}, 0
	for _, x := range members {
		if x.Pending || x.Missing || moved[x.ID] || x.Held.Len() == 0 {
			continue
		}
		n := min(gap.Len(), maxLayers(m, x.MB, minRequests)-x.Held.Len())
		switch {
		case n <= covered:
		case x.Held.To == gap.From:
			best, span, covered = x, Span{x.Held.From, x.Held.To + n}, n
		case x.Held.From == gap.To:
			best, span, covered = x, Span{x.Held.From - n, x.Held.To}, n
		}
	}
	return best, span
}

// mostLoadedSpan is the range that an empty member holds beside others: the one of a
// member whose layers take most time for those that hold them.
func mostLoadedSpan(m Model, members []Member, x Member) Span {
	best, maxLoad := Span{}, 0.0
	for _, y := range members {
		if y.Held.Len() == 0 || y.Held.Len() > maxLayers(m, x.MB, repairRequests) {
			continue
		}
		holders := 0.0
		for _, z := range members {
			if z.Held == y.Held {
				holders++
			}
		}
		if load := y.Pace * float64(y.Held.Len()) / holders; load > maxLoad {
			best, maxLoad = y.Held, load
		}
	}
	return best
}
