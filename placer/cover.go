package placer

import "slices"

// coverage counts the members that hold each layer.
type coverage struct{ count []int }

func newCoverage(m Model) *coverage { return &coverage{count: make([]int, m.Layers)} }

func (c *coverage) add(s Span, delta int) {
	for l := max(0, s.From); l < min(s.To, len(c.count)); l++ {
		c.count[l] += delta
	}
}

// firstGap is the first range of layers that nobody holds.
func (c *coverage) firstGap() Span {
	from := slices.Index(c.count, 0)
	if from < 0 {
		return Span{}
	}
	to := from
	for to < len(c.count) && c.count[to] == 0 {
		to++
	}
	return Span{from, to}
}

// redundant reports whether others than its holder hold every layer of a span.
func (c *coverage) redundant(s Span) bool {
	for l := s.From; l < min(s.To, len(c.count)); l++ {
		if c.count[l] < 2 {
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
