package follower

import (
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// State is what a host tells a peer of its knowledge.
type State struct {
	// Peer is the host that told it, for logs.
	Peer string
	// Version is that of the configuration in force; 0 is none.
	Version int64
	// Position is the one of the source that all but the configuration is of.
	Position
	// Age and ReadAge are those of the Follower.
	Age, ReadAge time.Duration
	// Update is what changed since the peer's position; nil where that is not known.
	Update *Update
}

// State returns what is known, for a peer that knows up to a position; zero is nothing.
func (f *Follower) State(of Position) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	// Ages are taken first: what is read meanwhile only makes the rest younger.
	out := State{Age: f.Age(), ReadAge: f.ReadAge(), Position: f.position}
	if t := f.table.Load(); t != nil {
		out.Version = t.Version
	}
	// Entries that lapsed in an outage are neither gone nor back yet.
	if !of.IsZero() && !f.unsettled() {
		out.Update = f.history.after(of, f.position)
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
	case f.position.IsZero() || t == nil || s.Version < t.Version || f.unsettled():
		return false
	case s.Era < f.position.Era:
		// A peer that has not noticed yet that the source came back from a copy.
		return false
	case s.Version > t.Version || (f.position.Before(s.Position) && s.Update == nil):
		if s.Version > f.newestVersion || (s.Version == t.Version && f.newest.Before(s.Position)) {
			select {
			case f.wake <- struct{}{}:
			default:
			}
		}
		f.newestVersion = max(f.newestVersion, s.Version)
		if s.Version == t.Version {
			f.newest = later(f.newest, s.Position)
		}
		return false
	}
	at := sent - s.ReadAge
	if f.position.Before(s.Position) {
		if s.Update.After != f.position || s.Before(f.listed) {
			return false // this host has read on meanwhile
		}
		if f.reloaded {
			f.reloaded = false
			f.Log.Info().Str("peer", s.Peer).Int64("revision", s.Revision).Int64("was", f.position.Revision).Msg("follower: led on by a peer")
		}
		f.advance(s.Update, nil, at)
		took = true
	}
	f.read.Store(max(f.read.Load(), int64(at)))
	f.fresh.Store(max(f.fresh.Load(), int64(sent-max(s.Age, s.ReadAge))))
	if f.outage && f.ReadAge() < 2*pause {
		f.outage = false
		f.Log.Info().Dur("age", f.Age()).Msg("follower: source regained through peers")
	}
	return took
}

// Heard takes in what a peer answered to a call that this host sent at sent: its
// version and its age. A host that the source turns away stays as fresh as its
// peers by that. Only answers count: how long a call was on its way to this host
// is not known.
func (f *Follower) Heard(sent, age time.Duration, version int64, cfg *matcher.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configure(cfg)
	t := f.table.Load()
	if t == nil || t.Version < version {
		return
	}
	f.fresh.Store(max(f.fresh.Load(), int64(sent-age)))
}

// Listed takes in the upstreams that a peer knew at a position of the source,
// unless this host has read a later one: an answer to a host that was suspended may
// be seconds old.
func (f *Follower) Listed(list []balancer.Upstream, of Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := later(f.position, f.listed)
	f.listed = later(newest, of)
	if !newest.Before(of) {
		return
	}
	f.Balancer.KeepLeaving(list)
	// What this changes belongs to no position that this host has read to.
	f.history = history{}
	known := make(map[string]bool, len(list))
	for i := range list {
		known[list[i].ID] = true
	}
	var gone []string
	for _, id := range f.Balancer.IDs() {
		if !known[id] {
			gone = append(gone, id)
		}
	}
	f.Balancer.List(list, gone)
}
