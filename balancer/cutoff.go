package balancer

import (
	"slices"
	"strings"
	"time"
)

// SetCutOff records whether this host reaches no upstream. While it does not, its reports don't say what it
// observed of upstreams: other hosts would avoid upstreams that they reach.
func (b *Balancer) SetCutOff(cutOff bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cutOff = cutOff
}

// Reach is what reports say of other hosts and the upstreams that this host uses.
type Reach struct {
	// Hosts is how many other hosts reported lately and reach some upstream, Upstreams how many upstreams at
	// least one of them has not found dead.
	Hosts, Upstreams int
}

// OthersReach reports whether another host reaches an upstream.
func (r Reach) OthersReach() bool { return r.Hosts > 0 && r.Upstreams > 0 }

// ReachOfOthers returns what recent reports say.
func (b *Balancer) ReachOfOthers(now time.Duration) Reach {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReports.expire(now)
	out := Reach{Hosts: -b.peerReports.cutOffHosts}
	for _, n := range b.peerReports.hosts {
		out.Hosts += n
	}
	out.Hosts = max(0, out.Hosts)
	for id := range b.subset.used {
		if sum := b.peerReports.sum[id]; sum == nil || sum.DeadHosts < int64(out.Hosts) {
			out.Upstreams++
		}
	}
	return out
}

// Addresses returns the addresses of the upstreams that this host uses, those of different services and data
// centres in turn, so that the first of them tell most about all.
func (b *Balancer) Addresses() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	type group struct{ service, dataCentre string }
	groups := make(map[group][]string)
	for _, u := range b.subset.used {
		g := group{u.Service, u.DataCentre}
		groups[g] = append(groups[g], u.Address)
	}
	lists := make([][]string, 0, len(groups))
	for _, list := range groups {
		slices.Sort(list)
		lists = append(lists, list)
	}
	slices.SortFunc(lists, func(a, b []string) int { return strings.Compare(a[0], b[0]) })
	var out []string
	for i := 0; len(lists) > 0; i++ {
		lists = slices.DeleteFunc(lists, func(list []string) bool { return i >= len(list) })
		for _, list := range lists {
			out = append(out, list[i])
		}
	}
	return out
}
