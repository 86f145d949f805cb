package placer

import "slices"

// coverage counts the members that hold each layer; n is indexed by layer.
type coverage struct{ n []int }

func newCoverage(m Model) *coverage { return &coverage{n: make([]int, m.Layers)} }

// add changes the number of holders of each layer in s by delta; s may exceed the model.
func (c *coverage) add(s Span, delta int) {
	for l := max(0, s.From); l < min(s.To, len(c.n)); l++ {
		c.n[l] += delta
	}
}

// gap returns the first range of layers that no member holds; empty if there is none.
func (c *coverage) gap() Span {
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

// redundant reports whether each layer of s has at least two holders, which holds for an empty s.
func (c *coverage) redundant(s Span) bool {
	for l := max(0, s.From); l < min(s.To, len(c.n)); l++ {
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
