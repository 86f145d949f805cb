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
		if f.reloaded {
			f.reloaded = false
			f.Log.Info().Str("peer", s.Peer).Int64("revision", s.Revision).Int64("was", f.revision).Msg("follower: led on by a peer")
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
	if at := int64(sent - age); at > f.fresh.Load() {
		f.fresh.Store(at)
	}
}

// Listed takes in the upstreams that a peer knew at a revision of the source,
// unless this host has read a later one: an answer to a host that was suspended may
// be seconds old.
func (f *Follower) Listed(list []balancer.Upstream, revision int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := max(f.revision, f.listed)
	f.listed = max(newest, revision)
	if revision <= newest {
		return
	}
	// What this changes belongs to no revision that this host has read to.
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
