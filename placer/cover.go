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
func (c *cover) spare(s Span) bool { return c.holders(s, 2) }

// holders reports whether every layer of a span has some holders or more.
func (c *cover) holders(s Span, least int) bool {
	for l := s.From; l < min(s.To, len(c.n)); l++ {
		if c.n[l] < least {
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
