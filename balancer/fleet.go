package balancer

import (
	"slices"
	"strings"
	"time"
)

// Member is an upstream with this host's view of it.
type Member struct {
	Upstream
	// Unavailable is set while it is dead or ejected.
	Unavailable bool
	// BackingOff is set while it wants nothing sent to it. It keeps its layers and its place.
	BackingOff bool
	// InFlight counts the requests of all hosts whose path it is on.
	InFlight int
}

// Fleet returns the upstreams of a service, sorted by address.
func (b *Balancer) Fleet(now time.Duration, service string) []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Member
	for _, u := range b.upstreams {
		if u.Service == service {
			out = append(out, Member{Upstream: u.Upstream, Unavailable: u.dead || u.ejectedUntil > now, BackingOff: u.announcement.backingOff(now), InFlight: int(b.totalUsage(now, u).requests)})
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

//go:generate enumer -type State -trimprefix State -transform lower -output state_gen.go

// State is the state of an upstream as this host sees it.
type State int

// The states. Each upstream is in exactly one.
const (
	// StateUsable upstreams take new work.
	StateUsable State = iota
	// StateEmpty upstreams could take new work but hold no layers of their model.
	StateEmpty
	// StateLeaving upstreams take no new work and will stop.
	StateLeaving
	// StateDead upstreams accept no connection from this host.
	StateDead
	// StateOut upstreams are ejected: they get no new work for a while.
	StateOut
	// StateBackoff upstreams have asked this host for a backoff, or return from one.
	StateBackoff
)

// Count returns the number of upstreams in a state.
func (b *Balancer) Count(now time.Duration, state State) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.upstreams {
		if b.state(now, u) == state {
			n++
		}
	}
	return n
}

func (b *Balancer) state(now time.Duration, u *upstream) State {
	s := b.services[u.Service]
	switch {
	case u.Leaving:
		return StateLeaving
	case u.dead:
		return StateDead
	case u.ejectedUntil > now:
		return StateOut
	case u.announcement.withheld(now):
		return StateBackoff
	case s != nil && s.Engine != nil && s.Engine.Layers > 0 && u.Layers.Len() == 0:
		return StateEmpty
	default:
		return StateUsable
	}
}
