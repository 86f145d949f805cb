package placer

import "slices"

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
