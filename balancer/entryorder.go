package balancer

import (
	"slices"

	"github.com/rs/zerolog"
)

const (
	// maxRemovedEntries bounds the removed upstreams whose last entry is remembered. A write that got no answer is
	// carried out seconds later, and in that time far fewer are removed.
	maxRemovedEntries = 4096
	// minEntriesAlive is how many outdated entries in a row, with rising numbers, show that the upstream is alive and
	// that what was known of it is wrong: more than are written in the seconds by which a write can be late.
	minEntriesAlive = 6
	// maxOutdatedKept bounds the outdated entries kept for OutdatedEntries.
	maxOutdatedKept = 16
)

// lastEntry is the newest known entry of an upstream. It outlasts the upstream's removal from the list.
type lastEntry struct {
	startedAt, sequence int64
	// removed is set while the upstream is not listed.
	removed bool
	// These describe the last of the outdated entries since; outdatedCount came in a row, with rising numbers.
	outdatedStartedAt, outdatedSequence int64
	outdatedCount                       int
}

// RemovedEntry is the last entry of an upstream that was removed.
type RemovedEntry struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"born"`
	Sequence  int64  `json:"sequence"`
}

// RemovedEntries returns the last entries of those among ids that were removed and had a number.
func (b *Balancer) RemovedEntries(ids []string) []RemovedEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []RemovedEntry
	for _, id := range ids {
		if last := b.lastEntries[id]; last.isRemoved() && last.sequence > 0 {
			out = append(out, RemovedEntry{id, last.startedAt, last.sequence})
		}
	}
	return out
}

// NoteRemovedEntries learns from another host the last entries of upstreams that are removed here too. A host that gets
// only changes does not know how far the numbers of unchanged entries had come.
func (b *Balancer) NoteRemovedEntries(list []RemovedEntry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range list {
		if last := b.lastEntries[r.ID]; last.isRemoved() && last.sequence > 0 && last.startedAt == r.StartedAt {
			last.sequence = max(last.sequence, r.Sequence)
		}
	}
}

// OutdatedEntry is an entry that arrived after a later one of its upstream.
type OutdatedEntry struct {
	Upstream            string
	StartedAt, Sequence int64
	// LastStartedAt and LastSequence are those of the newest known entry, and Removed is set if that was removed.
	LastStartedAt, LastSequence int64
	Removed                     bool
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (o *OutdatedEntry) MarshalZerologObject(e *zerolog.Event) {
	e.Str("upstream", o.Upstream).Int64("startedAt", o.StartedAt).Int64("sequence", o.Sequence).
		Int64("lastStartedAt", o.LastStartedAt).Int64("lastSequence", o.LastSequence).Bool("removed", o.Removed)
}

// supersedes reports whether e was written after l, or is l and was removed. Entries without a number can't be ordered.
func (e *lastEntry) supersedes(l *Upstream) bool {
	switch {
	case l.Sequence == 0 || e.sequence == 0 || l.StartedAt > e.startedAt:
		return false
	case l.StartedAt < e.startedAt:
		return true
	default:
		return l.Sequence < e.sequence || e.removed && l.Sequence == e.sequence
	}
}

// showsAlive counts an outdated entry and reports whether there were so many that the upstream is alive.
func (e *lastEntry) showsAlive(l *Upstream) bool {
	switch {
	case e.outdatedCount == 0 || l.StartedAt != e.outdatedStartedAt:
		e.outdatedCount = 1
	case l.Sequence <= e.outdatedSequence:
		return false
	default:
		e.outdatedCount++
	}
	e.outdatedStartedAt, e.outdatedSequence = l.StartedAt, l.Sequence
	return e.outdatedCount >= minEntriesAlive
}

// noteEntry records an entry as the newest of its upstream and reports whether it is. The source orders writes by their
// arrival, and one that got no answer may arrive seconds late: after the report that the upstream leaves, after the
// removal of its entry, or after its restart.
func (b *Balancer) noteEntry(l *Upstream) bool {
	if b.lastEntries == nil {
		b.lastEntries = make(map[string]*lastEntry)
	}
	last := b.lastEntries[l.ID]
	if last != nil && last.supersedes(l) && !last.showsAlive(l) {
		b.noteOutdated(l, last)
		return false
	}
	if last == nil {
		last = new(lastEntry)
		b.lastEntries[l.ID] = last
	}
	*last = lastEntry{startedAt: l.StartedAt, sequence: l.Sequence}
	return true
}

// noteOutdated counts an ignored entry, unless it differs from the listed one in nothing but its number.
func (b *Balancer) noteOutdated(l *Upstream, last *lastEntry) {
	if u := b.upstreams[l.ID]; u != nil && u.isRepeatedBy(*l) {
		return
	}
	b.outdatedCount++
	if len(b.outdated) < maxOutdatedKept {
		b.outdated = append(b.outdated, OutdatedEntry{l.ID, l.StartedAt, l.Sequence, last.startedAt, last.sequence, last.removed})
	}
}

// IsOutdated reports whether an entry was written before the newest known one of its upstream.
func (b *Balancer) IsOutdated(l *Upstream) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := b.lastEntries[l.ID]
	return last != nil && last.supersedes(l)
}

// noteRemoval records that an upstream is not listed any more.
func (b *Balancer) noteRemoval(id string) {
	last := b.lastEntries[id]
	if last == nil || last.removed {
		return
	}
	last.removed, last.outdatedCount = true, 0
	b.removedEntries = append(b.removedEntries, id)
	if len(b.removedEntries) <= maxRemovedEntries {
		return
	}
	if oldest := b.removedEntries[0]; b.lastEntries[oldest].isRemoved() {
		delete(b.lastEntries, oldest)
	}
	b.removedEntries = b.removedEntries[1:]
}

func (e *lastEntry) isRemoved() bool { return e != nil && e.removed }

// RemovedEntryCount returns how many upstreams that are not listed any more are remembered.
func (b *Balancer) RemovedEntryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.removedEntries)
}

// OutdatedEntries returns outdated entries that were ignored since the last call and would have changed the list,
// maxOutdatedKept at most.
func (b *Balancer) OutdatedEntries() []OutdatedEntry {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := slices.Clone(b.outdated)
	b.outdated = b.outdated[:0]
	return out
}

// OutdatedEntryCount returns the number of outdated entries that were ignored and would have changed the list.
func (b *Balancer) OutdatedEntryCount() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outdatedCount
}
