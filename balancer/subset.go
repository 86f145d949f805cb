package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// mostUsed is the number of upstreams up to which a host uses all of them.
	mostUsed = 400
	// nearCopies and farCopies are how many holders of each layer a host uses at least
	// in its own and in each other data centre: half of them may be lost before the
	// list tells.
	nearCopies = 8
	farCopies  = 3
	// users is how many hosts of its data centre use an upstream on average at least:
	// with fewer some upstreams would have hardly any.
	users = 5
	// subsetRest is the time between two subsets.
	subsetRest = 200 * time.Millisecond
	// mostWider bounds by how much the subset grows in a shortage, wideFor is how long
	// it stays so after the last one.
	mostWider = 4
	wideFor   = 10 * time.Second
)

// subset is the part of a large fleet that a host uses: what it does for each choice
// and each report grows with that part, not with the fleet.
type subset struct {
	// used are the upstreams that new work goes to, or that have some in flight;
	// all of them in a small fleet.
	used map[string]*upstream
	// stale is set once it may be out of date, at is when it was chosen.
	stale bool
	at    time.Duration
	// wider multiplies the copies of each layer, since widened; 0 counts as 1.
	wider   int
	widened time.Duration
}

// refresh chooses the subset anew where it is out of date.
func (b *Balancer) refresh(now time.Duration) {
	if len(b.ups) <= mostUsed {
		b.useAll()
		return
	}
	if b.subset.wider > 1 && now-b.subset.widened > wideFor {
		b.subset.wider, b.subset.stale = 1, true
	}
	if b.subset.used != nil && (!b.subset.stale || now-b.subset.at < subsetRest) {
		return
	}
	b.subset.used, b.subset.stale, b.subset.at = b.chooseSubset(), false, now
}

// useAll makes the subset all upstreams.
func (b *Balancer) useAll() {
	if len(b.subset.used) == len(b.ups) && !b.subset.stale {
		return
	}
	b.subset = subset{used: b.ups}
	for _, u := range b.ups {
		u.retired = false
	}
}

// widen makes the subset larger after a shortage. It reports whether it did.
func (b *Balancer) widen(now time.Duration) bool {
	s := &b.subset
	if len(s.used) >= len(b.ups) {
		return false
	}
	wider := min(mostWider, 2*max(1, s.wider))
	s.widened = now
	if wider == s.wider {
		return false
	}
	s.wider, s.used, s.at = wider, nil, now
	b.refresh(now)
	return true
}

// chooseSubset takes upstreams in an order of this host's own, so that each is used by
// as many hosts as any other that holds the same: plain ones all, others until each
// layer has enough holders in each data centre.
func (b *Balancer) chooseSubset() map[string]*upstream {
	used := make(map[string]*upstream)
	pools := make(map[[2]string][]*upstream)
	for id, u := range b.ups {
		s := b.services[u.Service]
		u.retired = false
		switch {
		case s == nil || s.Engine == nil || s.Engine.Layers == 0:
			used[id] = u
			continue
		case u.passing > 0:
			u.retired = true
			used[id] = u
		}
		if u.Holds.Len() > 0 && !u.Leaving {
			key := [2]string{u.Service, u.DataCentre}
			pools[key] = append(pools[key], u)
		}
	}
	for key, pool := range pools {
		b.cover(pool, b.services[key[0]].Engine.Layers, key[1], used)
	}
	return used
}

// cover adds upstreams of a data centre until each layer has enough holders that take
// connections.
func (b *Balancer) cover(pool []*upstream, layers int, dataCentre string, used map[string]*upstream) {
	slices.SortFunc(pool, func(x, y *upstream) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), strings.Compare(x.ID, y.ID))
	})
	copies := b.copies(pool, layers, dataCentre)
	holders := make([]int, layers)
	for _, u := range pool {
		span := holders[min(layers, max(0, u.Holds.From)):min(layers, u.Holds.To)]
		if len(span) == 0 || slices.Min(span) >= copies {
			continue
		}
		u.retired = false
		used[u.ID] = u
		if u.dead || u.strikes > 0 {
			continue
		}
		for l := range span {
			span[l]++
		}
	}
}

// copies is how many holders of each layer this host uses in a data centre.
func (b *Balancer) copies(pool []*upstream, layers int, dataCentre string) int {
	out := farCopies
	if dataCentre == b.DataCentre {
		held := 0
		for _, u := range pool {
			held += u.Holds.Len()
		}
		hosts := 1 + b.hosts[dataCentre]
		out = max(nearCopies, int(math.Ceil(users*float64(held)/float64(layers*hosts))))
	}
	return out * max(1, b.subset.wider)
}

// rankOf is the place of an upstream in a host's own order, by rendezvous hashing: the
// loss of one changes no other's.
func rankOf(host, upstream string) uint64 { return xxhash.Sum64String(host + "/" + upstream) }

// InUse is how many upstreams this host uses.
func (b *Balancer) InUse(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	return len(b.subset.used)
}

// Used lists the ids of upstreams that this host uses, where it does not use all; nil
// is all.
func (b *Balancer) Used(now time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refresh(now)
	if len(b.subset.used) >= len(b.ups) {
		return nil
	}
	return slices.Collect(maps.Keys(b.subset.used))
}
