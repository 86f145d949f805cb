package follower

import (
	"fmt"
	"maps"
	"slices"

	"github.com/sardineward/sardineward/balancer"
)

// Update holds what changed at the source between two positions, except for the configuration.
type Update struct {
	// After is the position at which the update starts, Position the one it leads to.
	After Position `json:"from"`
	Position
	// Removed is applied before Listed: an upstream that was removed and added again is in both.
	Removed []string            `json:"gone,omitempty"`
	Listed  []balancer.Upstream `json:"listed,omitempty"`
	// RemovedEntries holds the last entries of upstreams in Removed.
	RemovedEntries []balancer.RemovedEntry `json:"goneEntries,omitempty"`
	RemovedHosts   []string                `json:"hostsGone,omitempty"`
	Hosts          []Host                  `json:"hosts,omitempty"`
	Duties         []Duty                  `json:"duties,omitempty"`
}

// Check returns an error if an update received from a peer is invalid.
func (u *Update) Check() error {
	if u.After.Revision <= 0 || u.Before(u.After) {
		return fmt.Errorf("follower: invalid update from revision %d of era %d to revision %d of era %d", u.After.Revision, u.After.Era, u.Revision, u.Era)
	}
	for i := range u.Listed {
		if l := &u.Listed[i]; l.ID == "" || l.Address == "" {
			return fmt.Errorf("follower: upstream %q in an update has no id or no address", l.ID)
		}
	}
	for _, h := range u.Hosts {
		if h.Name == "" || h.Address == "" || h.DataCentre == "" {
			return fmt.Errorf("follower: host %q in an update has no name, address or data centre", h.Name)
		}
	}
	return nil
}

func (u *Update) empty() bool {
	return len(u.Removed)+len(u.Listed)+len(u.RemovedHosts)+len(u.Hosts)+len(u.Duties) == 0
}

// updateMerger joins consecutive updates into one. Its cost grows with the number of entries.
type updateMerger struct {
	listed                map[string]balancer.Upstream
	hosts                 map[string]Host
	removed, removedHosts map[string]bool
	duties                map[string]string
	removedEntries        map[string]balancer.RemovedEntry
}

func newUpdateMerger() *updateMerger {
	return &updateMerger{
		listed: make(map[string]balancer.Upstream), hosts: make(map[string]Host),
		removed: make(map[string]bool), removedHosts: make(map[string]bool), duties: make(map[string]string),
		removedEntries: make(map[string]balancer.RemovedEntry),
	}
}

// add appends an update that is later than all added before.
func (m *updateMerger) add(u *Update) {
	for _, id := range u.Removed {
		delete(m.listed, id)
		m.removed[id] = true
	}
	for _, r := range u.RemovedEntries {
		m.removedEntries[r.ID] = r
	}
	for i := range u.Listed {
		m.listed[u.Listed[i].ID] = u.Listed[i]
	}
	for _, name := range u.RemovedHosts {
		delete(m.hosts, name)
		m.removedHosts[name] = true
	}
	for _, h := range u.Hosts {
		delete(m.removedHosts, h.Name)
		m.hosts[h.Name] = h
	}
	for _, d := range u.Duties {
		m.duties[d.DataCentre] = d.Holder
	}
}

// update returns everything that was added as one update.
func (m *updateMerger) update(after, upTo Position) *Update {
	out := &Update{After: after, Position: upTo, Removed: slices.Sorted(maps.Keys(m.removed)), RemovedHosts: slices.Sorted(maps.Keys(m.removedHosts))}
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		out.Listed = append(out.Listed, m.listed[id])
	}
	for _, id := range slices.Sorted(maps.Keys(m.removedEntries)) {
		out.RemovedEntries = append(out.RemovedEntries, m.removedEntries[id])
	}
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		out.Hosts = append(out.Hosts, m.hosts[name])
	}
	for _, dc := range slices.Sorted(maps.Keys(m.duties)) {
		out.Duties = append(out.Duties, Duty{DataCentre: dc, Holder: m.duties[dc]})
	}
	return out
}

// maxHistoryUpdates is how many updates the history keeps: about twenty seconds for a source that
// changes all the time.
const maxHistoryUpdates = 64

// history keeps recent updates for peers.
type history struct {
	// from is the position after which all changes are known; zero means that none are.
	from    Position
	updates []*Update
}

func (h *history) add(u *Update) {
	if h.from.IsZero() {
		h.from = u.Position
		return
	}
	if u.empty() && u.Era == u.After.Era {
		return
	}
	h.updates = append(h.updates, u)
	if len(h.updates) > maxHistoryUpdates {
		h.from = h.updates[0].Position
		h.updates = h.updates[1:]
	}
}

// updateSince returns the changes from one position up to another as one update; nil if they are
// not all known.
func (h *history) updateSince(since, upTo Position) *Update {
	if h.from.IsZero() || since.Before(h.from) || upTo.Before(since) {
		return nil
	}
	all := newUpdateMerger()
	for _, u := range h.updates {
		if !since.Before(u.Position) {
			continue
		}
		if since.Era == u.After.Era && since.Era < u.Era && u.After.Before(since) {
			return nil // the peer applied changes that the source has lost and this host never saw
		}
		all.add(u)
	}
	return all.update(since, upTo)
}
