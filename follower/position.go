package follower

import "cmp"

// Position is a point in the history of a source. Revisions of different eras cannot be compared,
// because a source that was restored from a copy issues its revisions again.
type Position struct {
	// Era counts how often the source was restored from a copy; 0 if it reports none.
	Era int64 `json:"era,omitempty"`
	// Revision increases with each change within an era; 0 is before the first change.
	Revision int64 `json:"revision"`
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Revision, other.Revision))
}

// Before reports whether p comes before other.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// IsZero reports whether p is the zero position, at which nothing was read.
func (p Position) IsZero() bool { return p == Position{} }

// later returns the later of two positions.
func later(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
