package balancer

import (
	"slices"
)

// UpdateUpstreams applies changes of the list of upstreams, first the removals. Entries that were
// written before the newest known one of their upstream are ignored, see OutdatedEntries. It returns
// the entries that differ from the known ones, since upstreams repeat their entry with each
// heartbeat, and the ids among gone that were known.
func (b *Balancer) UpdateUpstreams(listed []Upstream, gone []string) (changed []Upstream, dropped []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.upstreams == nil {
		b.upstreams = make(map[string]*upstream)
		b.byAddress = make(map[string]*upstream)
	}
	for _, id := range gone {
		if b.upstreams[id] != nil {
			dropped = append(dropped, id)
		}
		b.drop(id)
		b.noteRemoval(id)
	}
	for _, l := range listed {
		if l.Layers.Check() != nil {
			continue // of a host that does not check entries
		}
		if !b.noteEntry(&l) {
			continue
		}
		if a := b.announced[incarnation{l.ID, l.StartedAt}]; a != nil && a.isLeaving {
			l.Leaving = true
		}
		u := b.upstreams[l.ID]
		if u != nil && u.mustStayLeaving(&l) {
			l.Leaving = true
		}
		if u != nil && u.isRepeatedBy(l) {
			u.Sequence = l.Sequence
			continue
		}
		changed = append(changed, l)
		if u != nil && (u.StartedAt != l.StartedAt || u.Address != l.Address) {
			b.drop(l.ID)
			u = nil
		}
		if u == nil {
			u = &upstream{rank: rankOf(b.Host, l.ID), announcement: b.announced[incarnation{l.ID, l.StartedAt}]}
			b.upstreams[l.ID] = u
		}
		u.Upstream = l
		u.updateCapacity(b.services[l.Service])
		b.supersede(u)
	}
	if len(b.upstreams) <= subsetThreshold {
		b.useAll()
	}
	b.subset.stale = b.subset.stale || len(changed)+len(dropped) > 0
	return changed, dropped
}

// mustStayLeaving reports whether the upstream leaves and l can't be shown to be later. Without a number l may be older,
// and an incarnation that leaves doesn't come back.
func (u *upstream) mustStayLeaving(l *Upstream) bool {
	return u.Leaving && u.StartedAt == l.StartedAt && (u.Sequence == 0 || l.Sequence == 0)
}

// isRepeatedBy reports whether l differs from the known entry in nothing but its number.
func (u *upstream) isRepeatedBy(l Upstream) bool {
	l.Sequence = u.Sequence
	return u.Upstream == l
}

// supersede drops the older of two upstreams at one address. A restarted upstream is listed
// under a new id while its old entry stays for some heartbeats. Requests routed by the layers
// of the old entry would be rejected and the failures counted against the new one.
func (b *Balancer) supersede(u *upstream) {
	old := b.byAddress[u.Address]
	switch {
	case old == nil || old == u || b.upstreams[old.ID] != old || old.Address != u.Address:
		b.byAddress[u.Address] = u
	case old.StartedAt <= u.StartedAt:
		b.drop(old.ID)
		b.byAddress[u.Address] = u
	default:
		b.drop(u.ID)
	}
}

func (b *Balancer) drop(id string) {
	u := b.upstreams[id]
	if u == nil {
		return
	}
	delete(b.upstreams, id)
	delete(b.limited, id)
	delete(b.subset.used, id)
	if key := (incarnation{u.ID, u.StartedAt}); b.backingOff[key] == nil && (u.announcement == nil || !u.announcement.isLeaving) {
		delete(b.announced, key)
	}
	if b.byAddress[u.Address] == u {
		delete(b.byAddress, u.Address)
	}
}

// Upstreams returns the known upstreams, in no particular order.
func (b *Balancer) Upstreams() []Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Upstream, 0, len(b.upstreams))
	for _, u := range b.upstreams {
		out = append(out, u.Upstream)
	}
	return out
}

// Listed returns the upstreams among ids that are known.
func (b *Balancer) Listed(ids []string) []Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Upstream
	for _, id := range ids {
		if u := b.upstreams[id]; u != nil {
			out = append(out, u.Upstream)
		}
	}
	return out
}

// IDs returns the ids of the known upstreams, in no particular order.
func (b *Balancer) IDs() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]string, 0, len(b.upstreams))
	for id := range b.upstreams {
		out = append(out, id)
	}
	return out
}

// DataCentres returns the data centres that have upstreams, sorted.
func (b *Balancer) DataCentres() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for _, u := range b.upstreams {
		if !slices.Contains(out, u.DataCentre) {
			out = append(out, u.DataCentre)
		}
	}
	slices.Sort(out)
	return out
}

// IncarnationAt returns the id of the upstream at an address and when it was started, in Unix
// milliseconds, or "" when none is known.
func (b *Balancer) IncarnationAt(address string) (id string, startedAt int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.byAddress[address]; u != nil {
		return u.ID, u.StartedAt
	}
	return "", 0
}
