package sharer

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/follower"
)

const (
	// relaysPerDataCentre is how many hosts of a data centre are its relays, with which its other
	// hosts exchange state: if one is lost, the other still serves. The first one reads the source.
	relaysPerDataCentre = 2
	// probeInterval is the time between two probes of a host that did not answer; maxProbes is how
	// many such hosts are probed in one round.
	probeInterval = 2 * time.Second
	maxProbes     = 4
	// actingReaderTerm is how long a host reads the source after it was called as a relay, or after
	// it took over from the reader of its data centre.
	actingReaderTerm = 2 * time.Second
	// takeoverAge is the staleness of what was read from which the other relay takes over from the
	// reader, before all hosts of the data centre fall back to reading the source themselves.
	takeoverAge = 1200 * time.Millisecond
)

// roles decides which hosts are relays. It does no I/O and takes the time as an argument. The zero
// value is ready to use.
type roles struct {
	mu sync.Mutex
	// unresponsive holds the hosts that did not answer their last call.
	unresponsive map[string]unresponsiveHost
	// actingUntil is the time until which this host reads the source even if it sees another host
	// as the reader.
	actingUntil time.Duration
	// relay and reader are the roles of this host as it sees them; readers is how many hosts it
	// sees as readers of the source, 0 before the first plan.
	relay, reader bool
	readers       int
}

// unresponsiveHost is a host that did not answer.
type unresponsiveHost struct {
	host follower.Host
	// probeAt is when the next probe is due.
	probeAt time.Duration
}

// plan holds the relays with which a host exchanges state, and whether it is a relay itself.
type plan struct {
	relay bool
	// localHosts is the number of hosts of the own data centre, with this one.
	localHosts int
	// localRelays are the other relays of the own data centre, remoteRelays those of all others.
	localRelays, remoteRelays []follower.Host
}

// plan computes the plan of a host from the other known hosts and records its roles. Hosts that do
// not respond are left out.
func (r *roles) plan(self follower.Host, hosts []follower.Host) plan {
	r.prune(hosts)
	centres := map[string][]follower.Host{self.DataCentre: {self}}
	for _, h := range hosts {
		if !r.isUnresponsive(h.Name) {
			centres[h.DataCentre] = append(centres[h.DataCentre], h)
		}
	}
	out := plan{localHosts: 1}
	for _, h := range hosts {
		if h.DataCentre == self.DataCentre {
			out.localHosts++
		}
	}
	reader := false
	for dc, list := range centres {
		list = sortByRank(list)
		list = list[:min(relaysPerDataCentre, len(list))]
		for i, h := range list {
			switch {
			case h.Name == self.Name:
				out.relay, reader = true, i == 0
			case dc == self.DataCentre:
				out.localRelays = append(out.localRelays, h)
			default:
				out.remoteRelays = append(out.remoteRelays, h)
			}
		}
	}
	sortByName(out.localRelays)
	sortByName(out.remoteRelays)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay, r.reader, r.readers = out.relay, reader, len(centres)
	return out
}

// sortByRank sorts hosts by the hash of their name. All hosts agree on this order, and the loss of
// one host keeps the order of the others.
func sortByRank(hosts []follower.Host) []follower.Host {
	slices.SortFunc(hosts, func(a, b follower.Host) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), strings.Compare(a.Name, b.Name))
	})
	return hosts
}

// noteResult records whether a host answered. If it answers again, the path to its data centre
// works, so the other hosts there are called again as well.
func (r *roles) noteResult(now time.Duration, h follower.Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unresponsive == nil {
		r.unresponsive = make(map[string]unresponsiveHost)
	}
	if !ok {
		r.unresponsive[h.Name] = unresponsiveHost{h, now + probeInterval}
		return
	}
	if _, found := r.unresponsive[h.Name]; !found {
		return
	}
	for name, s := range r.unresponsive {
		if s.host.DataCentre == h.DataCentre {
			delete(r.unresponsive, name)
		}
	}
}

// isUnresponsive reports whether a host did not answer its last call.
func (r *roles) isUnresponsive(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.unresponsive[host]
	return ok
}

// prune removes unresponsive hosts that are no longer listed.
func (r *roles) prune(hosts []follower.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.unresponsive {
		if !slices.Contains(hosts, s.host) {
			delete(r.unresponsive, name)
		}
	}
}

// dueProbes returns the unresponsive hosts to probe now, the longest overdue first, and schedules
// their next probes.
func (r *roles) dueProbes(now time.Duration) []follower.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []unresponsiveHost
	for _, s := range r.unresponsive {
		if s.probeAt <= now {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b unresponsiveHost) int {
		return cmp.Or(cmp.Compare(a.probeAt, b.probeAt), strings.Compare(a.host.Name, b.host.Name))
	})
	var out []follower.Host
	for _, s := range due[:min(maxProbes, len(due))] {
		r.unresponsive[s.host.Name] = unresponsiveHost{s.host, now + probeInterval}
		out = append(out, s.host)
	}
	return out
}

// noteRelayCall records that another host called this one as a relay, and reports whether this host
// starts to act as a reader because of it. Before the first plan the role of this host is unknown.
func (r *roles) noteRelayCall(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relay || r.readers == 0 {
		return false
	}
	started := r.actingUntil <= now
	r.actingUntil = now + actingReaderTerm
	return started
}

// isReader reports whether this host reads the source.
func (r *roles) isReader(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader || r.actingUntil > now
}

// takeOver makes this host an acting reader if it is a relay and what the reader read is out of
// date, and reports whether it did.
func (r *roles) takeOver(now, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relay || r.reader || age < takeoverAge || r.actingUntil > now {
		return false
	}
	r.actingUntil = now + actingReaderTerm
	return true
}

// isRelay reports whether this host sees itself as a relay.
func (r *roles) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay
}

// ReadsSource reports whether this host reads the source itself.
func (s *Sharer) ReadsSource() bool { return s.roles.isReader(s.Now()) }

// IsUnresponsive reports whether a host did not answer its last call.
func (s *Sharer) IsUnresponsive(host string) bool { return s.roles.isUnresponsive(host) }

// IsRelay reports whether this host is a relay of its data centre.
func (s *Sharer) IsRelay() bool { return s.roles.isRelay() }

// ReaderCount returns how many hosts read the source as this host sees it; at least one.
func (s *Sharer) ReaderCount() int {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	return max(1, s.roles.readers)
}

// updateRole computes the plan of this host. If its role changes, reports received in the former
// role are dropped, because hosts would be counted twice.
func (s *Sharer) updateRole(hosts []follower.Host) plan {
	was := s.roles.isRelay()
	p := s.roles.plan(follower.Host{Name: s.Self, DataCentre: s.DataCentre}, hosts)
	if p.relay != was {
		s.Balancer.KeepReports(func(source string) bool { return (source == fleetSource) != p.relay })
		s.Log.Info().Bool("relay", p.relay).Int("hosts", len(hosts)+1).Msg("sharer: part in the exchange changed")
		s.Follower.Wake()
	}
	return p
}
