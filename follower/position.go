package follower

import "cmp"

// Position is a point in the history of a source. Those of different eras have nothing to
// do with each other: a source that came back from a copy gives its revisions out again.
type Position struct {
	// Era counts how often the source came back from a copy; 0 where it does not say.
	Era int64 `json:"era,omitempty"`
	// Revision rises with each change within an era; 0 is before all of them.
	Revision int64 `json:"revision"`
}

// Compare orders positions as they come to be known.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether a position comes before another one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether nothing was read.
func (p Position) IsZero() bool { return p == Position{} }

// later is the later one of two positions.
func later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
