package sharer

import (
	"strings"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/peer"
)

// addDemands adds to a report to a peer the demand of the hosts in its scope; nil is no report.
func (s *Sharer) addDemands(r *peer.Report, to string) {
	if s.Demands == nil || r == nil {
		return
	}
	now := s.Now()
	var from admitter.DemandReport
	switch r.Scope {
	case peer.Scope_SCOPE_HOST:
		from = s.Demands.Own(now)
	case peer.Scope_SCOPE_FLEET:
		from = s.Demands.Sum(now, func(source string) bool { return source == to })
	case peer.Scope_SCOPE_DATA_CENTRE:
		from = s.Demands.Sum(now, func(source string) bool { return strings.HasPrefix(source, dataCentreSource) })
	default:
		return
	}
	r.DemandHosts = uint32(from.Hosts)
	r.Demands = make([]*peer.Demand, len(from.Demands))
	for i, d := range from.Demands {
		r.Demands[i] = &peer.Demand{
			Service: d.Service, Rank: int32(d.Rank), Workspace: d.Workspace, Arrivals: float32(d.Arrivals), Admitted: float32(d.Admitted), Lacked: float32(d.Lacked),
		}
	}
}

// applyDemands stores the demand that a peer reported for a source.
func (s *Sharer) applyDemands(host, source string, r *peer.Report) {
	if s.Demands == nil {
		return
	}
	from := admitter.DemandReport{Hosts: int(r.DemandHosts), Demands: make([]admitter.Demand, len(r.Demands))}
	for i, p := range r.Demands {
		key := admitter.DemandKey{Service: p.Service, Rank: int(p.Rank), Workspace: p.Workspace}
		from.Demands[i] = admitter.Demand{DemandKey: key, Arrivals: float64(p.Arrivals), Admitted: float64(p.Admitted), Lacked: float64(p.Lacked)}
	}
	if err := s.Demands.SetReport(s.Now(), source, from); err != nil && s.firstInvalid(host) {
		s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: invalid demand in a report from peer, ignored")
	}
}

// keepDemands drops the reports that this host received in another role than its present one.
func (s *Sharer) keepDemands(relay bool) {
	if s.Demands != nil {
		s.Demands.KeepReports(func(source string) bool { return (source == fleetSource) != relay })
	}
}
