package sharer

import (
	"strings"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/peer"
)

// Sources of reports beside hosts, which go by their name.
const (
	// fleetSource is a relay that reported on all other hosts.
	fleetSource = "fleet:"
	// centreSource is followed by a data centre.
	centreSource = "dataCentre:"
)

// mostFar bounds the upstreams that a relay tells those of other data centres of. These
// send little there while their own have room, and what is hardly used may pass for
// idle.
const mostFar = 256

// answering is the scope of the report that answers one of a scope.
func answering(asked peer.Scope) peer.Scope {
	switch asked {
	case peer.Scope_SCOPE_HOST:
		return peer.Scope_SCOPE_FLEET
	case peer.Scope_SCOPE_DATA_CENTRE:
		return peer.Scope_SCOPE_DATA_CENTRE
	default:
		return peer.Scope_SCOPE_NONE
	}
}

// report is what this host tells a peer: of some upstreams where it sums the fleet up,
// none is all. It is nil for no scope, and where this host does not know the hosts of
// the scope one by one.
func (s *Sharer) report(scope peer.Scope, to string, upstreams []string) *peer.Report {
	now := s.Now()
	switch scope {
	case peer.Scope_SCOPE_HOST:
		return encode(scope, s.Balancer.Usage(now))
	case peer.Scope_SCOPE_FLEET:
		return encode(scope, s.Balancer.Sum(now, func(source string) bool { return source == to }, upstreams))
	case peer.Scope_SCOPE_DATA_CENTRE:
		if !s.roles.isRelay() {
			return nil
		}
		sum := s.Balancer.Sum(now, func(source string) bool { return strings.HasPrefix(source, centreSource) }, nil)
		return encode(scope, sum.Fullest(mostFar))
	default:
		return nil
	}
}

// takeReport takes in what a peer reported, unless another report holds the same
// hosts.
func (s *Sharer) takeReport(host, dataCentre string, r *peer.Report) {
	relay := s.roles.isRelay()
	source := ""
	switch r.GetScope() {
	case peer.Scope_SCOPE_HOST:
		if relay && dataCentre == s.DataCentre {
			source = host
		}
	case peer.Scope_SCOPE_DATA_CENTRE:
		if relay && dataCentre != s.DataCentre {
			source = centreSource + dataCentre
		}
	case peer.Scope_SCOPE_FLEET:
		if !relay {
			source = fleetSource
		}
	default:
	}
	if source == "" {
		return
	}
	if err := s.Balancer.SetReport(s.Now(), source, translate(r)); err != nil && s.firstImpossible(host) {
		s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: report has an impossible figure, which is left out")
	}
}

// firstImpossible reports whether a host's report is the first one with a figure
// that can't be.
func (s *Sharer) firstImpossible(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.impossible == nil {
		s.impossible = make(map[string]bool)
	}
	first := !s.impossible[host]
	s.impossible[host] = true
	return first
}

func encode(scope peer.Scope, r balancer.Report) *peer.Report {
	out := &peer.Report{Scope: scope, Hosts: make(map[string]uint32, len(r.Hosts)), Usage: make([]*peer.Usage, len(r.Usage))}
	for dc, n := range r.Hosts {
		if n > 0 {
			out.Hosts[dc] = uint32(n)
		}
	}
	list := make([]peer.Usage, len(r.Usage))
	for i := range r.Usage {
		u, p := &r.Usage[i], &list[i]
		p.Upstream, p.Requests, p.Room = u.Upstream, uint64(max(0, u.Requests)), uint64(max(0, u.Room))
		p.Dead, p.Suspected, p.Paced, p.Pace = uint32(u.Dead), uint32(u.Suspected), uint32(u.Paced), u.Pace
		out.Usage[i] = p
	}
	return out
}

func translate(r *peer.Report) balancer.Report {
	out := balancer.Report{Hosts: make(map[string]int, len(r.Hosts)), Usage: make([]balancer.Usage, len(r.Usage))}
	for dc, n := range r.Hosts {
		out.Hosts[dc] = int(n)
	}
	for i, p := range r.Usage {
		out.Usage[i] = balancer.Usage{
			Upstream: p.Upstream, Requests: int64(p.Requests), Room: int64(p.Room),
			Dead: int64(p.Dead), Suspected: int64(p.Suspected), Paced: int64(p.Paced), Pace: p.Pace,
		}
	}
	return out
}
