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
	// subsetThreshold is the number of upstreams up to which a host uses all of them.
	subsetThreshold = 400
	// localCopies and remoteCopies are the least number of holders of each layer that a host
	// uses in its own and in each other data centre. Half of them may be lost before the list
	// shows it.
	localCopies  = 8
	remoteCopies = 3
	// minHostsPerUpstream is how many hosts of its data centre use an upstream at least on
	// average: with fewer, some upstreams would have hardly any.
	minHostsPerUpstream = 5
	// subsetInterval is the least time between two choices of the subset.
	subsetInterval = 200 * time.Millisecond
	// maxCopyFactor limits how much the subset grows in a shortage. widenedFor is how long it
	// stays widened after the last one.
	maxCopyFactor = 4
	widenedFor    = 10 * time.Second
)

// subset is the part of a large fleet that a host uses. The work of each choice and each report
// grows with the subset, not with the fleet.
type subset struct {
	// used holds the upstreams that new work goes to or that have requests in flight; in a
	// small fleet all upstreams.
	used map[string]*upstream
	// stale is set once the subset may be out of date; chosenAt is when it was chosen.
	stale    bool
	chosenAt time.Duration
	// copyFactor multiplies the copies of each layer, since widenedAt; 0 counts as 1.
	copyFactor int
	widenedAt  time.Duration
}

// refreshSubset chooses the subset again if it is out of date.
func (b *Balancer) refreshSubset(now time.Duration) {
	if len(b.upstreams) <= subsetThreshold {
		b.useAll()
		return
	}
	if b.subset.copyFactor > 1 && now-b.subset.widenedAt > widenedFor {
		b.subset.copyFactor, b.subset.stale = 1, true
	}
	if b.subset.used != nil && (!b.subset.stale || now-b.subset.chosenAt < subsetInterval) {
		return
	}
	b.subset.used, b.subset.stale, b.subset.chosenAt = b.chooseSubset(), false, now
}

// useAll makes the subset all upstreams.
func (b *Balancer) useAll() {
	if len(b.subset.used) == len(b.upstreams) && !b.subset.stale {
		return
	}
	b.subset = subset{used: b.upstreams}
	for _, u := range b.upstreams {
		u.retired = false
	}
}

// widenSubset enlarges the subset after a shortage. It reports whether it did.
func (b *Balancer) widenSubset(now time.Duration) bool {
	s := &b.subset
	if len(s.used) >= len(b.upstreams) {
		return false
	}
	factor := min(maxCopyFactor, 2*max(1, s.copyFactor))
	s.widenedAt = now
	if factor == s.copyFactor {
		return false
	}
	s.copyFactor, s.used, s.chosenAt = factor, nil, now
	b.refreshSubset(now)
	return true
}

// chooseSubset takes all upstreams of plain services. It adds the others in this host's own order
// until each layer has enough holders in each data centre. Since the order differs by host,
// upstreams that hold the same layers are used by about as many hosts each.
func (b *Balancer) chooseSubset() map[string]*upstream {
	used := make(map[string]*upstream)
	pools := make(map[[2]string][]*upstream)
	for id, u := range b.upstreams {
		s := b.services[u.Service]
		u.retired = false
		switch {
		case s == nil || s.Engine == nil || s.Engine.Layers == 0:
			used[id] = u
			continue
		case u.requests > 0:
			u.retired = true
			used[id] = u
		}
		if u.Layers.Len() > 0 && !u.Leaving {
			key := [2]string{u.Service, u.DataCentre}
			pools[key] = append(pools[key], u)
		}
	}
	for key, pool := range pools {
		b.cover(pool, b.services[key[0]].Engine.Layers, key[1], used)
	}
	return used
}

// cover adds upstreams of a data centre until each layer has enough holders that accept
// connections.
func (b *Balancer) cover(pool []*upstream, layers int, dataCentre string, used map[string]*upstream) {
	slices.SortFunc(pool, func(x, y *upstream) int {
		return cmp.Or(cmp.Compare(x.rank, y.rank), strings.Compare(x.ID, y.ID))
	})
	copies := b.copiesPerLayer(pool, layers, dataCentre)
	holders := make([]int, layers)
	for _, u := range pool {
		span := holders[min(layers, max(0, u.Layers.From)):min(layers, u.Layers.To)]
		if len(span) == 0 || slices.Min(span) >= copies {
			continue
		}
		u.retired = false
		used[u.ID] = u
		if u.dead || u.ejections > 0 {
			continue
		}
		for l := range span {
			span[l]++
		}
	}
}

// copiesPerLayer returns how many holders of each layer this host uses in a data centre.
func (b *Balancer) copiesPerLayer(pool []*upstream, layers int, dataCentre string) int {
	out := remoteCopies
	if dataCentre == b.DataCentre {
		layersHeld := 0
		for _, u := range pool {
			layersHeld += u.Layers.Len()
		}
		hosts := 1 + b.hostCounts[dataCentre]
		out = max(localCopies, int(math.Ceil(minHostsPerUpstream*float64(layersHeld)/float64(layers*hosts))))
	}
	return out * max(1, b.subset.copyFactor)
}

// rankOf returns the sort key of an upstream in a host's own order, lowest first. Rendezvous hashing
// keeps the loss of one upstream from changing any other's rank.
func rankOf(host, upstream string) uint64 { return xxhash.Sum64String(host + "/" + upstream) }

// SubsetSize returns the number of upstreams that this host uses.
func (b *Balancer) SubsetSize(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshSubset(now)
	return len(b.subset.used)
}

// SubsetIDs returns the ids of the upstreams that this host uses; nil when it uses all.
func (b *Balancer) SubsetIDs(now time.Duration) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refreshSubset(now)
	if len(b.subset.used) >= len(b.upstreams) {
		return nil
	}
	return slices.Collect(maps.Keys(b.subset.used))
}
