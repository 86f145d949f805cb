package placer

import (
	"slices"
	"time"
)

const (
	// repairRequests is the number of requests for which a member keeps cache memory when it
	// takes over layers: fewer than layouts plan, as the members next to it have more.
	repairRequests = 48
	// spareDelay is how long an empty member is kept free for a gap while the members that
	// are the sole holder of a layer outnumber the empty ones.
	spareDelay = 8 * time.Second
)

// planGroup closes the gaps of a group, the ranges of layers that no member holds. If no member
// holds any layers, it lays out the whole group.
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
	for gap := holders.gap(); gap.Len() > 0; gap = holders.gap() {
		x, s := pickReplacement(m, members, moved, holders, gap)
		if s.Len() == 0 {
			x, s = extendNeighbour(m, members, moved, gap)
		}
		if s.Len() == 0 {
			// No member can take the gap now. Counting it as held lets the other gaps be closed.
			holders.add(gap, 1)
			continue
		}
		assign(x, s)
	}
	// If there are at least as many empty members as sole holders, all of these can get a
	// second holder at once. Otherwise an empty member may be the replacement of one of them,
	// which drains only after the replacement has joined.
	empty := availableEmpty(members, moved)
	enoughEmpty := countSoleHolders(members, holders) <= len(empty)
	for _, x := range empty {
		var s Span
		switch {
		case enoughEmpty:
			s = leastCoveredSpan(holders, maxLayers(m, x.MB, repairRequests), heldSpans(members))
		case x.EmptyFor >= spareDelay:
			s = mostLoadedSpan(m, members, x)
		}
		if s.Len() > 0 {
			assign(x, s)
		}
	}
	return out
}

// availableEmpty returns the empty members that can be given layers.
func availableEmpty(members []Member, moved map[string]bool) []Member {
	var out []Member
	for _, x := range members {
		if x.Held.Len() == 0 && !x.Pending && !x.Unreachable && !moved[x.ID] {
			out = append(out, x)
		}
	}
	return out
}

// countSoleHolders counts the members that hold a layer that no other member holds.
func countSoleHolders(members []Member, holders *coverage) int {
	out := 0
	for _, x := range members {
		if x.Held.Len() > 0 && !holders.redundant(x.Held) {
			out++
		}
	}
	return out
}

// heldSpans returns the span of each member.
func heldSpans(members []Member) []Span {
	out := make([]Span, len(members))
	for i, x := range members {
		out[i] = x.Held
	}
	return out
}

// pickReplacement returns the member that closes the largest part of a gap, and the span it
// takes: the best empty member, otherwise the best one whose layers all have other holders.
// The span is empty if there is no such member.
func pickReplacement(m Model, members []Member, moved map[string]bool, holders *coverage, gap Span) (Member, Span) {
	best, span, bestScore := Member{}, Span{}, 0.0
	for _, x := range members {
		if x.Pending || x.Unreachable || moved[x.ID] || !holders.redundant(x.Held) {
			continue
		}
		n := evenShare(gap.Len(), maxLayers(m, x.MB, repairRequests))
		// The weights rank by the number of layers closed, then empty members first, then fewer
		// streams to drain, then faster members.
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

// evenShare returns how many layers of a gap a member takes that has memory for capacity
// layers. If it takes several members, they take about equally many: were all but the last
// filled up and the last left with one layer, the others could serve few requests.
func evenShare(gap, capacity int) int {
	if capacity <= 0 {
		return 0
	}
	members := (gap + capacity - 1) / capacity
	return (gap + members - 1) / members
}

// extendNeighbour returns a member next to a gap that has memory for more layers, and its
// span extended into the gap. It is used after pickReplacement, because the streams of the
// data centre lose the memory that the extension takes. Without it, a data centre that holds
// each layer once never regains a complete path of its own after a member is lost for good.
func extendNeighbour(m Model, members []Member, moved map[string]bool, gap Span) (Member, Span) {
	best, span, covered := Member{}, Span{}, 0
	for _, x := range members {
		if x.Pending || x.Unreachable || moved[x.ID] || x.Held.Len() == 0 {
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

// mostLoadedSpan returns the span that an empty member takes as an additional holder: the
// one with the longest step time per holder among those that fit.
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
