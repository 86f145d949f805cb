package follower

import (
	"fmt"

	"github.com/sardineward/sardineward/balancer"
)

// Update is what changed at the source between two revisions, but the
// configuration.
type Update struct {
	// After is the revision that it begins at, Revision the one that it leads to.
	After    int64 `json:"after"`
	Revision int64 `json:"revision"`
	// Gone upstreams go before Listed ones: one that came back is in both.
	Gone      []string            `json:"gone,omitempty"`
	Listed    []balancer.Upstream `json:"listed,omitempty"`
	HostsGone []string            `json:"hostsGone,omitempty"`
	Hosts     []Host              `json:"hosts,omitempty"`
	Duties    []Duty              `json:"duties,omitempty"`
}

// Check reports what is wrong in an update that a peer sent.
func (u *Update) Check() error {
	if u.After <= 0 || u.Revision < u.After {
		return fmt.Errorf("follower: update leads from revision %d to %d", u.After, u.Revision)
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

// join adds what came later.
func (u *Update) join(later *Update) {
	for _, id := range later.Gone {
		u.Listed = without(u.Listed, func(l balancer.Upstream) bool { return l.ID == id })
		u.Gone = append(u.Gone, id)
	}
	for i := range later.Listed {
		l := later.Listed[i]
		u.Listed = append(without(u.Listed, func(o balancer.Upstream) bool { return o.ID == l.ID }), l)
	}
	for _, name := range later.HostsGone {
		u.Hosts = without(u.Hosts, func(h Host) bool { return h.Name == name })
		u.HostsGone = append(u.HostsGone, name)
	}
	for _, h := range later.Hosts {
		u.HostsGone = without(u.HostsGone, func(name string) bool { return name == h.Name })
		u.Hosts = append(without(u.Hosts, func(o Host) bool { return o.Name == h.Name }), h)
	}
	u.Duties = append(u.Duties, later.Duties...)
	u.Revision = later.Revision
}

func without[T any](list []T, drop func(T) bool) []T {
	out := make([]T, 0, len(list)+1)
	for _, v := range list {
		if !drop(v) {
			out = append(out, v)
		}
	}
	return out
}

// mostUpdates is how many updates are remembered: some twenty seconds of a source
// that changes all the time.
const mostUpdates = 64

// history is what changed lately, for peers.
type history struct {
	// from is the revision from which all changes are known; 0 is none.
	from    int64
	updates []*Update
}

func (h *history) add(u *Update) {
	if h.from == 0 {
		h.from = u.Revision
		return
	}
	if u.empty() {
		return
	}
	h.updates = append(h.updates, u)
	if len(h.updates) > mostUpdates {
		h.from = h.updates[0].Revision
		h.updates = h.updates[1:]
	}
}

// after joins what changed after a revision up to another; nil where that is not
// known.
func (h *history) after(revision, upTo int64) *Update {
	if h.from == 0 || revision < h.from || revision > upTo {
		return nil
	}
	out := &Update{After: revision, Revision: revision}
	for _, u := range h.updates {
		if u.Revision > revision {
			out.join(u)
		}
	}
	out.Revision = upTo
	return out
}
