package balancer

import "time"

// Passing is what one host has in flight over an upstream.
type Passing struct {
	Upstream string
	// Requests are those whose path the upstream is on.
	Requests int
	// Room is what they take there, in tokens times layers.
	Room float64
	// Dead is set while the upstream takes no connection from that host.
	Dead bool
	// Doubted is set for some seconds after the upstream was taken out of use by
	// that host and served nothing there since.
	Doubted bool
	// Pace is how many times as long as its kind of accelerator it takes, as it
	// told that host; 0 where it did not.
	Pace float64
}

// news is what another host has in flight.
type news struct {
	at      time.Duration
	passing map[string]Passing
}

// newsAge is how long what another host told is believed: some exchanges, and
// about as long as a stream lasts.
const newsAge = 1500 * time.Millisecond

// Own lists what this host has in flight.
func (b *Balancer) Own(now time.Duration) []Passing {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Passing
	for id, u := range b.ups {
		p := Passing{Upstream: id, Requests: u.passing, Room: u.reserved, Dead: u.dead, Doubted: u.doubtUntil > now, Pace: u.ownPace(now)}
		if p.Requests > 0 || p.Room > 0 || p.Dead || p.Doubted || p.Pace > 0 {
			out = append(out, p)
		}
	}
	return out
}

// Heard takes in what another host has in flight. Without it each host would
// take an upstream for empty that all the others fill.
func (b *Balancer) Heard(now time.Duration, host string, list []Passing) {
	n := news{at: now, passing: make(map[string]Passing, len(list))}
	for _, p := range list {
		n.passing[p.Upstream] = p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heard == nil {
		b.heard = make(map[string]news)
	}
	b.heard[host] = n
	for name, old := range b.heard {
		if now-old.at > newsAge {
			delete(b.heard, name)
		}
	}
}

// Told lists what another host last told that it has in flight.
func (b *Balancer) Told(host string) []Passing {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Passing
	for _, p := range b.heard[host].passing {
		out = append(out, p)
	}
	return out
}

// Listed returns the list of upstreams as it is known.
func (b *Balancer) Listed() []Upstream {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Upstream, 0, len(b.ups))
	for _, u := range b.ups {
		out = append(out, u.Upstream)
	}
	return out
}

// SetHosts takes in the other hosts, each with its data centre.
func (b *Balancer) SetHosts(hosts map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = hosts
}

// silent is how many hosts of a data centre, this one included, have not told
// what they have in flight. They are taken to have as much there as this one.
func (b *Balancer) silent(now time.Duration, dataCentre string) float64 {
	n := 1.0
	for name, dc := range b.hosts {
		if news, ok := b.heard[name]; dc == dataCentre && (!ok || now-news.at > newsAge) {
			n++
		}
	}
	return n
}

// doubted reports whether this host or another one doubts an upstream.
//
// The load it answers: upstreams that left during an outage of the source and
// turn everything away. A path has a dozen hops; with one in twelve upstreams
// gone four tries were mostly in vain, and each of many hosts had to learn each
// of them by itself.
func (b *Balancer) doubted(now time.Duration, u *upstream) bool {
	if u.doubtUntil > now {
		return true
	}
	for _, n := range b.heard {
		if now-n.at <= newsAge && n.passing[u.ID].Doubted {
			return true
		}
	}
	return false
}

// load is what is known to be in flight over an upstream.
type load struct{ requests, room float64 }

// known adds up what all hosts have in flight over an upstream.
func (b *Balancer) known(now time.Duration, u *upstream) load {
	share := b.silent(now, u.DataCentre)
	out := load{float64(u.passing) * share, u.reserved * share}
	for _, n := range b.heard {
		if now-n.at > newsAge {
			continue
		}
		if p, ok := n.passing[u.ID]; ok {
			out.requests += float64(p.Requests)
			out.room += p.Room
		}
	}
	return out
}
