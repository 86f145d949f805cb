package sharer

import (
	"strings"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/peer"
)

// Sources of reports that are not single hosts. The report of a single host has its name as source.
const (
	// fleetSource stands for a relay that reported on all other hosts.
	fleetSource = "fleet:"
	// dataCentreSource is a prefix that is followed by the name of a data centre.
	dataCentreSource = "dataCentre:"
)

// maxRemoteUpstreams bounds the upstreams in a report to relays of other data centres. These send
// little to the upstreams here while their own have room, so upstreams that are hardly used may be
// reported as idle.
const maxRemoteUpstreams = 256

// answerScope returns the scope of the report that answers a report of the given scope.
func answerScope(request peer.Scope) peer.Scope {
	switch request {
	case peer.Scope_SCOPE_HOST:
		return peer.Scope_SCOPE_FLEET
	case peer.Scope_SCOPE_DATA_CENTRE:
		return peer.Scope_SCOPE_DATA_CENTRE
	default:
		return peer.Scope_SCOPE_NONE
	}
}

// report returns what this host reports to a peer; nil for no scope, and for the scope of a data
// centre if this host is no relay and does not know the hosts one by one. In the fleet scope the
// report is limited to the given upstreams; none means all.
func (s *Sharer) report(scope peer.Scope, to string, upstreams []string) *peer.Report {
	out := s.usageReport(scope, to, upstreams)
	s.addDemands(out, to)
	return out
}

// usageReport returns the part of a report on the usage of upstreams.
func (s *Sharer) usageReport(scope peer.Scope, to string, upstreams []string) *peer.Report {
	now := s.Now()
	switch scope {
	case peer.Scope_SCOPE_HOST:
		return encodeReport(scope, s.Balancer.Usage(now))
	case peer.Scope_SCOPE_FLEET:
		return encodeReport(scope, s.Balancer.Sum(now, func(source string) bool { return source == to }, upstreams))
	case peer.Scope_SCOPE_DATA_CENTRE:
		if !s.roles.isRelay() {
			return nil
		}
		sum := s.Balancer.Sum(now, func(source string) bool { return strings.HasPrefix(source, dataCentreSource) }, nil)
		return encodeReport(scope, sum.Truncate(maxRemoteUpstreams))
	default:
		return nil
	}
}

// applyReport stores a report of a peer, unless another report covers the same hosts.
func (s *Sharer) applyReport(host, dataCentre string, r *peer.Report) {
	relay := s.roles.isRelay()
	source := ""
	switch r.GetScope() {
	case peer.Scope_SCOPE_HOST:
		if relay && dataCentre == s.DataCentre {
			source = host
		}
	case peer.Scope_SCOPE_DATA_CENTRE:
		if relay && dataCentre != s.DataCentre {
			source = dataCentreSource + dataCentre
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
	if err := s.Balancer.SetReport(s.Now(), source, decodeReport(r)); err != nil && s.firstInvalid(host) {
		s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: invalid figure in a report from peer, ignored")
	}
	s.applyDemands(host, source, r)
}

// firstInvalid reports whether host sent invalid figures for the first time.
func (s *Sharer) firstInvalid(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.invalidLogged == nil {
		s.invalidLogged = make(map[string]bool)
	}
	first := !s.invalidLogged[host]
	s.invalidLogged[host] = true
	return first
}

func encodeReport(scope peer.Scope, r balancer.Report) *peer.Report {
	out := &peer.Report{Scope: scope, CutOffHosts: uint32(max(0, r.CutOffHosts)), Hosts: make(map[string]uint32, len(r.Hosts)), Usage: make([]*peer.Usage, len(r.Usage))}
	for dc, n := range r.Hosts {
		if n > 0 {
			out.Hosts[dc] = uint32(n)
		}
	}
	list := make([]peer.Usage, len(r.Usage))
	for i := range r.Usage {
		u, p := &r.Usage[i], &list[i]
		p.Upstream, p.Requests, p.Room = u.Upstream, uint64(max(0, u.Requests)), uint64(max(0, u.TokenLayers))
		p.Dead, p.Suspected, p.Paced, p.Pace = uint32(u.DeadHosts), uint32(u.SuspectingHosts), uint32(u.PaceHosts), u.Pace
		p.BackingOff = uint32(u.BackoffHosts)
		out.Usage[i] = p
	}
	return out
}

func decodeReport(r *peer.Report) balancer.Report {
	out := balancer.Report{Hosts: make(map[string]int, len(r.Hosts)), CutOffHosts: int(r.CutOffHosts), Usage: make([]balancer.Usage, len(r.Usage))}
	for dc, n := range r.Hosts {
		out.Hosts[dc] = int(n)
	}
	for i, p := range r.Usage {
		out.Usage[i] = balancer.Usage{
			Upstream: p.Upstream, Requests: int64(p.Requests), TokenLayers: int64(p.Room),
			DeadHosts: int64(p.Dead), SuspectingHosts: int64(p.Suspected), PaceHosts: int64(p.Paced), Pace: p.Pace, BackoffHosts: int64(p.BackingOff),
		}
	}
	return out
}
