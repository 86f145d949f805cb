package follower

import (
	"fmt"
	"time"

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

// State is what a host tells a peer of its knowledge.
type State struct {
	// Version is that of the configuration in force; 0 is none.
	Version int64
	// Revision is the one of the source that all but the configuration is of.
	Revision int64
	// Age and ReadAge are those of the Follower.
	Age, ReadAge time.Duration
	// Update is what changed since the peer's revision; nil where that is not known.
	Update *Update
}

// State returns what is known, for a peer that knows a revision; 0 is none.
func (f *Follower) State(revision int64) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Ages are taken first: what is read meanwhile only makes the rest younger.
	out := State{Age: f.Age(), ReadAge: f.ReadAge(), Revision: f.revision}
	if t := f.table.Load(); t != nil {
		out.Version = t.Version
	}
	// Entries that lapsed in an outage are neither gone nor back yet.
	if revision > 0 && len(f.missing) == 0 {
		out.Update = f.history.after(revision, f.revision)
	}
	return out
}

// Told takes in the state that a peer answered to a call which this host sent at
// sent. Where the peer has a newer configuration or changes that it can't tell, this
// host reads the source itself: a configuration is too large to go through the link
// of one host to all others.
func (f *Follower) Told(sent time.Duration, s *State) {
	f.mu.Lock()
	took := f.told(sent, s)
	f.mu.Unlock()
	if took && f.OnChange != nil {
		f.OnChange()
	}
}

func (f *Follower) told(sent time.Duration, s *State) (took bool) {
	t := f.table.Load()
	switch {
	case f.revision == 0 || t == nil || s.Version < t.Version || len(f.missing) > 0:
		return false
	case s.Version > t.Version || (s.Revision > f.revision && s.Update == nil):
		if s.Version > f.newestVersion || (s.Version == t.Version && s.Revision > f.newestRevision) {
			select {
			case f.wake <- struct{}{}:
			default:
			}
		}
		f.newestVersion = max(f.newestVersion, s.Version)
		if s.Version == t.Version {
			f.newestRevision = max(f.newestRevision, s.Revision)
		}
		return false
	}
	at := sent - s.ReadAge
	if s.Revision > f.revision {
		if s.Update.After != f.revision || s.Revision < f.listed {
			return false // this host has read on meanwhile
		}
		f.advance(s.Update, nil, at)
		took = true
	}
	f.read.Store(max(f.read.Load(), int64(at)))
	f.fresh.Store(max(f.fresh.Load(), int64(at)))
	if f.outage && f.ReadAge() < 2*pause {
		f.outage = false
		f.Log.Info().Dur("age", f.Age()).Msg("follower: source regained through peers")
	}
	return took
}
