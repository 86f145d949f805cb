package follower

import (
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// State is what a host reports to a peer about its knowledge of the source.
type State struct {
	// Peer is the name of the reporting host, for logs.
	Peer string
	// Version is the version of the configuration in force; 0 means none.
	Version int64
	// Position is how far the host knows the source, except for the configuration.
	Position
	// Age and ReadAge are the results of the Follower's methods of these names.
	Age, ReadAge time.Duration
	// Update holds the changes since the position that the peer asked from; nil if they are not
	// known.
	Update *Update
	// ChangeFollows is set if the peer will send the change from the receiver's configuration to its own
	// newer one.
	ChangeFollows bool
	// Receiving is set while the host receives a long answer of the source. Its state ages meanwhile, but
	// other hosts that read the source as well would only get theirs later.
	Receiving bool
}

// State returns the state of this host for a peer that knows the source up to since; a zero
// position asks for no update.
func (f *Follower) State(since Position) State {
	f.mu.Lock()
	defer f.mu.Unlock()
	// The ages are read first: what is applied after that only makes the rest newer.
	out := State{Age: f.Age(), ReadAge: f.ReadAge(), Position: f.position, Receiving: f.receiving()}
	if t := f.table.Load(); t != nil {
		out.Version = t.Version
	}
	// While entries that expired in an outage may still be written again, it is unknown whether
	// they belong in the update.
	if !since.IsZero() && !f.hasMissing() {
		out.Update = f.history.updateSince(since, f.position)
	}
	return out
}

// ApplyPeerState applies the state with which a peer answered a call that this host sent at sent.
// If the peer has a newer configuration or changes that it cannot send, this host reads the source
// itself: a configuration is too large to be sent over the link of one host to all others. If the peer
// will send the change of its configuration, this host first waits for that.
func (f *Follower) ApplyPeerState(sent time.Duration, s *State) {
	f.peerAnsweredAt.Store(int64(sent))
	if s.Receiving {
		f.peerReceivingAt.Store(int64(f.Now()))
	}
	f.mu.Lock()
	applied := f.applyPeerState(sent, s)
	f.mu.Unlock()
	if applied && f.OnChange != nil {
		f.OnChange()
	}
}

// applyPeerState applies s and reports whether it changed anything but ages. f.mu is held.
func (f *Follower) applyPeerState(sent time.Duration, s *State) (applied bool) {
	t := f.table.Load()
	switch {
	case f.position.IsZero() || t == nil || s.Version < t.Version || f.hasMissing():
		// This host has read nothing yet, the peer's configuration is older, or the update may omit
		// entries that expired in an outage and were written again since.
		return false
	case s.Era < f.position.Era:
		// The peer has not noticed yet that the source was restored from a copy.
		return false
	case s.Version > t.Version || (f.position.Before(s.Position) && s.Update == nil):
		if s.Version > t.Version {
			f.delayRead(s.ChangeFollows)
		}
		if s.Version > f.newestPeerVersion || (s.Version == t.Version && f.newestPeerPosition.Before(s.Position)) {
			select {
			case f.wake <- struct{}{}:
			default:
			}
		}
		if s.Version > f.newestPeerVersion {
			f.newestPeerVersion, f.newVersionAt = s.Version, f.Now()
		}
		if s.Version == t.Version {
			f.newestPeerPosition = later(f.newestPeerPosition, s.Position)
		}
		return f.awaitsChange() && f.applyAhead(s)
	}
	at := sent - s.ReadAge
	if f.position.Before(s.Position) {
		if s.Update.After != f.position || s.Before(f.peerListPosition) {
			return false // this host has advanced since it sent the call
		}
		if f.reloaded {
			f.reloaded = false
			f.Log.Info().Str("peer", s.Peer).Int64("revision", s.Revision).Int64("was", f.position.Revision).Msg("follower: led on by a peer")
		}
		f.advance(s.Update, nil, at)
		applied = true
	}
	f.readAt.Store(max(f.readAt.Load(), int64(at)))
	f.confirmedAt.Store(max(f.confirmedAt.Load(), int64(sent-max(s.Age, s.ReadAge))))
	if f.outage && f.ReadAge() < 2*minPollInterval {
		f.outage = false
		f.Log.Info().Dur("age", f.Age()).Msg("follower: source reachable again through peers")
	}
	return applied
}

// ApplyPeerConfiguration applies the version and the age with which a peer answered a call that
// this host sent at sent, and the configuration if the peer sent one. This keeps a host that the
// source refuses as current as its peers. Only answers count, because the transit time of a call
// from a peer is not known.
func (f *Follower) ApplyPeerConfiguration(sent, age time.Duration, version int64, cfg *matcher.Configuration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configure(cfg)
	t := f.table.Load()
	if t == nil || t.Version < version {
		return
	}
	f.confirmedAt.Store(max(f.confirmedAt.Load(), int64(sent-age)))
}

// ApplyPeerUpstreams applies the full list of upstreams that a peer knew at a position of the
// source, unless this host has read a later one: a host that was suspended may receive an answer
// that is seconds old.
func (f *Follower) ApplyPeerUpstreams(list []balancer.Upstream, at Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := later(f.position, f.peerListPosition)
	f.peerListPosition = later(newest, at)
	if !newest.Before(at) {
		return
	}
	// The list may contain changes that belong to no position this host has reached.
	f.history = history{}
	known := make(map[string]bool, len(list))
	for i := range list {
		known[list[i].ID] = true
	}
	var removed []string
	for _, id := range f.Balancer.IDs() {
		if !known[id] {
			removed = append(removed, id)
		}
	}
	f.updateUpstreams(list, removed)
}
