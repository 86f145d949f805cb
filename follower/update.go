package follower

import (
	"fmt"
	"maps"
	"slices"

	"github.com/sardineward/sardineward/balancer"
)

// Update is what changed at the source between two positions, but the
// configuration.
type Update struct {
	// After is the position that it begins at, Position the one that it leads to.
	After Position `json:"from"`
	Position
	// Gone upstreams go before Listed ones: one that came back is in both.
	Gone      []string            `json:"gone,omitempty"`
	Listed    []balancer.Upstream `json:"listed,omitempty"`
	HostsGone []string            `json:"hostsGone,omitempty"`
	Hosts     []Host              `json:"hosts,omitempty"`
	Duties    []Duty              `json:"duties,omitempty"`
}

// Check reports what is wrong in an update that a peer sent.
func (u *Update) Check() error {
	if u.After.Revision <= 0 || u.Before(u.After) {
		return fmt.Errorf("follower: update leads from revision %d of era %d to %d of %d", u.After.Revision, u.After.Era, u.Revision, u.Era)
	}
	for i := range u.Listed {
		if l := &u.Listed[i]; l.ID == "" || l.Address == "" {
			return fmt.Errorf("follower: upstream %q in an update lacks its id or address", l.ID)
		}
	}
	for _, h := range u.Hosts {
		if h.Name == "" || h.Address == "" || h.DataCentre == "" {
			return fmt.Errorf("follower: host %q in an update lacks a field", h.Name)
		}
	}
	return nil
}

func (u *Update) empty() bool {
	return len(u.Gone)+len(u.Listed)+len(u.HostsGone)+len(u.Hosts)+len(u.Duties) == 0
}

// merged joins updates in the order in which they were made. What it costs grows with
// their entries.
type merged struct {
	listed          map[string]balancer.Upstream
	hosts           map[string]Host
	gone, hostsGone map[string]bool
	duties          map[string]string
}

func newMerged() *merged {
	return &merged{
		listed: make(map[string]balancer.Upstream), hosts: make(map[string]Host),
		gone: make(map[string]bool), hostsGone: make(map[string]bool), duties: make(map[string]string),
	}
}

// add adds what came later.
func (m *merged) add(u *Update) {
	for _, id := range u.Gone {
		delete(m.listed, id)
		m.gone[id] = true
	}
	for i := range u.Listed {
		m.listed[u.Listed[i].ID] = u.Listed[i]
	}
	for _, name := range u.HostsGone {
		delete(m.hosts, name)
		m.hostsGone[name] = true
	}
	for _, h := range u.Hosts {
		delete(m.hostsGone, h.Name)
		m.hosts[h.Name] = h
	}
	for _, d := range u.Duties {
		m.duties[d.DataCentre] = d.Holder
	}
}

// update is all that was added.
func (m *merged) update(after, upTo Position) *Update {
	out := &Update{After: after, Position: upTo, Gone: slices.Sorted(maps.Keys(m.gone)), HostsGone: slices.Sorted(maps.Keys(m.hostsGone))}
	for _, id := range slices.Sorted(maps.Keys(m.listed)) {
		out.Listed = append(out.Listed, m.listed[id])
	}
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		out.Hosts = append(out.Hosts, m.hosts[name])
	}
	for _, dc := range slices.Sorted(maps.Keys(m.duties)) {
		out.Duties = append(out.Duties, Duty{DataCentre: dc, Holder: m.duties[dc]})
	}
	return out
}

// mostUpdates is how many updates are remembered: some twenty seconds of a source
// that changes all the time.
const mostUpdates = 64

// history is what changed lately, for peers.
type history struct {
	// from is the position from which all changes are known; zero is none.
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
	if len(h.updates) > mostUpdates {
		h.from = h.updates[0].Position
		h.updates = h.updates[1:]
	}
}

// after joins what changed after a position up to another; nil where that is not
// known.
func (h *history) after(of, upTo Position) *Update {
	if h.from.IsZero() || of.Before(h.from) || upTo.Before(of) {
		return nil
	}
	all := newMerged()
	for _, u := range h.updates {
		if !of.Before(u.Position) {
			continue
		}
		if of.Era == u.After.Era && of.Era < u.Era && u.After.Before(of) {
			return nil // it was told of changes that the source has lost and this host never saw
		}
		all.add(u)
	}
	return all.update(of, upTo)
}
