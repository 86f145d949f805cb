package balancer

import (
	"slices"
	"strings"
	"time"
)

// Member is an upstream with what this host saw of it.
type Member struct {
	Upstream
	// Out is set while it can't be reached.
	Out bool
	// Streams are the requests whose path it is on, of all hosts.
	Streams int
}

// Fleet lists the upstreams of services whose engines hold layers.
func (b *Balancer) Fleet(now time.Duration, service string) []Member {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Member
	for _, u := range b.ups {
		if u.Service == service {
			out = append(out, Member{Upstream: u.Upstream, Out: u.dead || u.outUntil > now, Streams: int(b.known(now, u).requests)})
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Address, b.Address) })
	return out
}

//go:generate enumer -type State -trimprefix State -transform lower -output state_gen.go

// State is how an upstream stands.
type State int

// The states; each upstream is in one.
const (
	// StateUsable upstreams take new work.
	StateUsable State = iota
	// StateEmpty ones would, but hold no layers of their model.
	StateEmpty
	// StateLeaving ones are going.
	StateLeaving
	// StateDead ones take no connection from this host.
	StateDead
	// StateOut ones are left alone for a while.
	StateOut
)

// Count returns how many upstreams are in a state.
func (b *Balancer) Count(now time.Duration, state State) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.ups {
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
	case u.outUntil > now:
		return StateOut
	case s != nil && s.Engine != nil && s.Engine.Layers > 0 && u.Holds.Len() == 0:
		return StateEmpty
	default:
		return StateUsable
	}
}
