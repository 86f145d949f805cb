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
	// relays is how many hosts of a data centre are its relays: while one is lost
	// the other serves on. The first one reads the source.
	relays = 2
	// silence is the time between two probes of a host that did not answer, probed how
	// many of them are probed in one round.
	silence = 2 * time.Second
	probed  = 4
	// acting is how long a host reads the source that was asked as a relay, or that
	// stands in for the reader of its data centre.
	acting = 2 * time.Second
	// standIn is the age of what was read from which the other relay stands in for the
	// reader, before all hosts of the data centre fall back to reading themselves.
	standIn = 1200 * time.Millisecond
)

// roles decides who is a relay. It does no input or output; time comes in as an
// argument. The zero value is ready.
type roles struct {
	mu sync.Mutex
	// silents are the hosts that did not answer, until they do.
	silents map[string]silent
	// actingUntil is until when this host reads the source though by its own view
	// another one is the reader.
	actingUntil time.Duration
	// relay and reader are this host's part by its own view, readers how many hosts
	// read the source by it.
	relay, reader bool
	readers       int
}

// silent is a host that did not answer.
type silent struct {
	host follower.Host
	// probeAt is when it is to be probed.
	probeAt time.Duration
}

// plan is a host's part in the exchange.
type plan struct {
	relay bool
	// near are the other relays of the own data centre, far those of all others.
	near, far []follower.Host
}

// plan draws the part of a host from the other hosts that are known.
func (r *roles) plan(self follower.Host, hosts []follower.Host) plan {
	r.prune(hosts)
	centres := map[string][]follower.Host{self.DataCentre: {self}}
	for _, h := range hosts {
		if !r.isSilent(h.Name) {
			centres[h.DataCentre] = append(centres[h.DataCentre], h)
		}
	}
	var out plan
	reader := false
	for dc, list := range centres {
		list = ranked(list)
		list = list[:min(relays, len(list))]
		for i, h := range list {
			switch {
			case h.Name == self.Name:
				out.relay, reader = true, i == 0
			case dc == self.DataCentre:
				out.near = append(out.near, h)
			default:
				out.far = append(out.far, h)
			}
		}
	}
	sortByName(out.near)
	sortByName(out.far)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.relay, r.reader, r.readers = out.relay, reader, len(centres)
	return out
}

// ranked sorts hosts by the hash of their name: all hosts agree on it, and the loss
// of one changes the rank of no other.
func ranked(hosts []follower.Host) []follower.Host {
	slices.SortFunc(hosts, func(a, b follower.Host) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), strings.Compare(a.Name, b.Name))
	})
	return hosts
}

// answered notes whether a host answered. One that does again speaks for the way to
// its data centre: the others there are called again as well.
func (r *roles) answered(now time.Duration, h follower.Host, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silents == nil {
		r.silents = make(map[string]silent)
	}
	if !ok {
		r.silents[h.Name] = silent{h, now + silence}
		return
	}
	if _, was := r.silents[h.Name]; !was {
		return
	}
	for name, s := range r.silents {
		if s.host.DataCentre == h.DataCentre {
			delete(r.silents, name)
		}
	}
}

// isSilent reports whether a host did not answer the last call.
func (r *roles) isSilent(host string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.silents[host]
	return ok
}

// prune forgets silent hosts that are no longer listed.
func (r *roles) prune(hosts []follower.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, s := range r.silents {
		if !slices.Contains(hosts, s.host) {
			delete(r.silents, name)
		}
	}
}

// probes are the silent hosts to call now, those first that were due first.
func (r *roles) probes(now time.Duration) []follower.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var due []silent
	for _, s := range r.silents {
		if s.probeAt <= now {
			due = append(due, s)
		}
	}
	slices.SortFunc(due, func(a, b silent) int {
		return cmp.Or(cmp.Compare(a.probeAt, b.probeAt), strings.Compare(a.host.Name, b.host.Name))
	})
	var out []follower.Host
	for _, s := range due[:min(probed, len(due))] {
		r.silents[s.host.Name] = silent{s.host, now + silence}
		out = append(out, s.host)
	}
	return out
}

// asked notes that a host took this one for a relay. It reports whether that is
// news.
func (r *roles) asked(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.relay {
		return false
	}
	news := r.actingUntil <= now
	r.actingUntil = now + acting
	return news
}

// reads reports whether this host is to read the source.
func (r *roles) reads(now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reader || r.actingUntil > now
}

// standsIn reports whether this host begins to read the source in place of a reader
// that is out of date.
func (r *roles) standsIn(now, age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.relay || r.reader || age < standIn || r.actingUntil > now {
		return false
	}
	r.actingUntil = now + acting
	return true
}

// isRelay reports whether this host is a relay by its own view.
func (r *roles) isRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relay
}

// Reads reports whether this host is to read the source itself.
func (s *Sharer) Reads() bool { return s.roles.reads(s.Now()) }

// Relays reports whether this host is a relay of its data centre.
func (s *Sharer) Relays() bool { return s.roles.isRelay() }

// Readers is how many hosts read the source by this host's view.
func (s *Sharer) Readers() int {
	s.roles.mu.Lock()
	defer s.roles.mu.Unlock()
	return max(1, s.roles.readers)
}

// assign draws this host's part anew. Reports of the former part are dropped where
// it changes: hosts would count twice.
func (s *Sharer) assign(hosts []follower.Host) plan {
	was := s.roles.isRelay()
	p := s.roles.plan(follower.Host{Name: s.Self, DataCentre: s.DataCentre}, hosts)
	if p.relay != was {
		s.Balancer.KeepReports(func(source string) bool { return (source == fleetSource) != p.relay })
		s.Log.Info().Bool("relay", p.relay).Int("hosts", len(hosts)+1).Msg("sharer: part in the exchange changed")
		s.Follower.Wake()
	}
	return p
}
