// Package gossiper replicates soft state between entry hosts by gossip: which hosts are alive,
// which upstreams are down or leaving, which requests were in flight when an upstream crashed,
// the newest configuration revision, and the mean demand of each workspace.
//
// Membership works as in SWIM. In every period each host probes one other host, and both send
// each other recent updates. A host that answers neither the probe nor two indirect probes becomes
// suspect, and is declared dead unless it refutes the suspicion in time. Urgent updates are also
// pushed to a few random hosts at once. Nothing is persisted: state that is lost gets rebuilt.
//
// To use a Gossiper, set its exported fields, call Start, embed it in the host's implementation of
// peer.Peer, and call Run.
package gossiper

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/peer"
)

//go:generate enumer -type HostState -trimprefix Host -transform title-lower -output hoststate_gen.go

// HostState is the state of a host in the view of the others. Within an incarnation the higher
// state wins; a host refutes HostSuspect and HostDead by raising its incarnation.
type HostState int32

// The states of a host; peer.Item.State holds them as numbers.
const (
	// HostUnknown is the zero value; no host announces it.
	HostUnknown HostState = iota
	// HostAlive means that the host serves callers.
	HostAlive
	// HostLeaving means that the host is draining: it finishes the requests that it has.
	HostLeaving
	// HostSuspect means that probes failed; the host has a few periods to refute it.
	HostSuspect
	// HostDead means that the host did not refute the suspicion in time.
	HostDead
)

// StateOf returns the state in an item of kind HOST.
func StateOf(it *peer.Item) HostState { return HostState(it.State) }

const (
	// maxMessageBytes bounds the updates, and separately the repairs, in one message.
	maxMessageBytes = 1200
	// maxPageBytes bounds one page of a full sync.
	maxPageBytes = 64 << 10
	// fanout is the number of random hosts to which urgent updates are pushed.
	fanout = 3
	// indirectProbes is the number of hosts asked to probe one that didn't answer.
	indirectProbes = 2
	// tombstoneTTL is how long the item of a dead host is kept, so that a delayed report that
	// it is alive is not mistaken for a new host.
	tombstoneTTL = 10 * time.Minute
	// reconnectEveryPeriods is the number of periods between attempts to reach a dead host or a
	// configured peer, by which the sides of a partition find each other after it heals.
	reconnectEveryPeriods = 5
	// joinPeriods is the number of periods after the start in which a configured peer that is
	// not known yet is tried in every period; peers still unknown after that are most likely
	// gone, and are tried every reconnectEveryPeriods.
	joinPeriods = 30
	// fullSyncMinBuckets is the number of differing buckets from which the whole state is
	// fetched instead of being repaired item by item. fullSyncMinPeriods is the least number of
	// periods between two such fetches.
	fullSyncMinBuckets = digestBuckets / 4
	fullSyncMinPeriods = 5
	// demandEveryExchanges sends demands in every nth exchange that carries a digest. At 220
	// workspaces they take 880 bytes each way, most of an exchange.
	demandEveryExchanges = 2
	// coalesceDelay is how long urgent updates wait for others to be sent in the same message.
	coalesceDelay = 10 * time.Millisecond
)

// Gossiper takes part in the gossip protocol for one host; it implements the Exchange, Relay and
// Sync calls of peer.Peer. The exported fields are set before Start and not changed after.
type Gossiper struct {
	// Self is this host's name, and Host the address and location announced to the others.
	Self string
	Host *peer.Host
	// Peers are the addresses of configured peers, through which the host joins.
	Peers []string
	// Dial returns a client for a peer's address.
	Dial func(address string) peer.Peer
	// Period is the time between probes, and the timeout of each exchange.
	Period time.Duration
	// OnChange, if set, is called with the items that changed or expired. Calls for the same
	// message are never concurrent, calls for different messages may be. It must not block.
	OnChange func([]*peer.Item)
	// Revision returns the configuration revision in force on this host, 0 for none; nil means
	// that it is always 0.
	Revision func() int64
	// Rand picks random peers; it is used with mu held.
	Rand *rand.Rand
	Log  zerolog.Logger

	state       *State
	demand      demandTable
	incarnation atomic.Int64
	leaving     atomic.Bool
	// digestExchanges counts the exchanges that this host started with a digest.
	digestExchanges atomic.Int64
	// urgentReady wakes sendUrgent after an item was added to urgent.
	urgentReady chan struct{}

	mu sync.Mutex
	// urgent holds the items for the next urgent push.
	urgent []*peer.Item
	// probeOrder lists the hosts to probe in this round, nextProbe indexes the next one.
	probeOrder []string
	nextProbe  int
	// suspectedAt is when each host that is suspect became so, by name.
	suspectedAt map[string]time.Time
	// liveCache is the result of Live; nil after a change of a host.
	liveCache []*peer.Item
	// lastFullSync is when an exchange last started a full sync.
	lastFullSync time.Time
}

// Start initialises the state and adds this host to it; call it before any other method.
func (g *Gossiper) Start() {
	g.state = NewState()
	g.urgentReady = make(chan struct{}, 1)
	g.suspectedAt = make(map[string]time.Time)
	g.incarnation.Store(time.Now().UnixMilli())
	g.announce()
}

// Run joins through the configured peers, then probes and expires items until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.sendUrgent(ctx) })
	g.join(ctx)
	tick := time.NewTicker(g.Period)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		wg.Go(func() { g.probeNext(ctx) })
		if n <= joinPeriods || n%reconnectEveryPeriods == 0 {
			wg.Go(func() { g.joinUnknownPeer(ctx) })
		}
		if n%reconnectEveryPeriods == 0 {
			wg.Go(func() { g.reconnect(ctx) })
		}
		g.declareDead()
		g.handleChanges(g.state.Expire(time.Now()))
	}
}

// Incarnation returns this host's incarnation. It starts as the Unix time in milliseconds and
// rises when the host leaves or refutes a report that it is suspect or dead.
func (g *Gossiper) Incarnation() int64 { return g.incarnation.Load() }

// Leave announces that this host is draining and takes no new work.
func (g *Gossiper) Leave() {
	g.leaving.Store(true)
	g.incarnation.Add(1)
	g.announce()
}

// Publish stores items and disseminates them to all hosts; with urgent set they are also pushed
// to a few hosts at once.
func (g *Gossiper) Publish(urgent bool, items ...*peer.Item) {
	fresh := g.state.Merge(time.Now(), items, true)
	g.handleChanges(fresh)
	if urgent {
		g.queueUrgent(fresh)
	}
}

// Get returns the item stored under a kind and key, or nil.
func (g *Gossiper) Get(kind peer.ItemKind, key string) *peer.Item {
	return g.state.Get(kind, key)
}

// All returns the items of a kind, sorted by key.
func (g *Gossiper) All(kind peer.ItemKind) []*peer.Item { return g.state.All(kind) }

// SetDemand updates this host's request rates, in requests per second. list is the hash of the
// list of workspaces, whose order own follows.
func (g *Gossiper) SetDemand(list uint32, own []float32) { g.demand.set(list, own) }

// Demand returns the estimated mean over all hosts of each workspace's request rate, in requests
// per second and in the order of the list; nil when list is not the one last set.
func (g *Gossiper) Demand(list uint32) []float32 { return g.demand.estimates(list) }

// Live returns the items of the hosts that are neither leaving nor dead, including this one,
// sorted by name. The slice is shared: callers must not change it.
func (g *Gossiper) Live() []*peer.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.liveCache == nil {
		g.liveCache = g.computeLive()
	}
	return g.liveCache
}

func (g *Gossiper) computeLive() []*peer.Item {
	all := g.state.All(peer.ItemKind_ITEM_KIND_HOST)
	return slices.DeleteFunc(all, func(it *peer.Item) bool {
		return StateOf(it) == HostDead || StateOf(it) == HostLeaving
	})
}

// Owners returns the names of the n live hosts of a data centre that own a key by rendezvous
// hashing, best score first. It returns fewer when fewer are live; an empty data centre means any.
func (g *Gossiper) Owners(key, dataCentre string, n int) []string {
	type scored struct {
		name  string
		score uint64
	}
	var all []scored
	for _, it := range g.Live() {
		if dataCentre == "" || it.Host.GetDataCentre() == dataCentre {
			all = append(all, scored{it.Key, score(key, it.Key)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.name)
	}
	return out
}

// Owns reports whether this host is one of the n live hosts of a data centre that own a key; an
// empty data centre means any. It returns at the nth host with a higher score, which for most keys
// comes early, so the cost hardly grows with the number of hosts.
func (g *Gossiper) Owns(key, dataCentre string, n int) bool {
	own := score(key, g.Self)
	ahead := 0
	live := false
	for _, it := range g.Live() {
		if dataCentre != "" && it.Host.GetDataCentre() != dataCentre {
			continue
		}
		if it.Key == g.Self {
			live = true
			continue
		}
		if score(key, it.Key) > own {
			ahead++
		}
		if ahead >= n {
			return false
		}
	}
	return live
}

// score is the rendezvous hash of a key and a host; the hosts with the highest scores own the key.
func score(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Client returns a client for the named host, or nil when the host is unknown or dead.
func (g *Gossiper) Client(name string) peer.Peer {
	it := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name)
	if it == nil || StateOf(it) == HostDead {
		return nil
	}
	return g.Dial(it.Host.GetAddress())
}

// ClientAt is like Client, but dials address when the host is not known here yet: other hosts
// learn of a host that has just joined only after some exchanges. An empty address means none.
func (g *Gossiper) ClientAt(name, address string) peer.Peer {
	if address != "" && g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name) == nil {
		return g.Dial(address)
	}
	return g.Client(name)
}

// announce publishes this host's own item, with its current incarnation.
func (g *Gossiper) announce() {
	st := HostAlive
	if g.leaving.Load() {
		st = HostLeaving
	}
	g.Publish(true, &peer.Item{
		Kind:        peer.ItemKind_ITEM_KIND_HOST,
		Key:         g.Self,
		Incarnation: g.incarnation.Load(),
		State:       int32(st),
		Host:        g.Host,
	})
}

// receive merges items from a peer and pushes the urgent ones on when disseminate is set. A
// report about this host that supersedes its own item is refuted at once.
func (g *Gossiper) receive(items []*peer.Item, disseminate bool) {
	fresh := g.state.Merge(time.Now(), items, disseminate)
	if len(fresh) == 0 {
		return
	}
	g.handleChanges(fresh)
	if !disseminate {
		g.refuteOwnReports(fresh)
		return
	}
	var urgent []*peer.Item
	for _, it := range fresh {
		if it.Kind == peer.ItemKind_ITEM_KIND_HOST && it.Key == g.Self {
			g.refute(it)
			continue
		}
		if priority(it.Kind) > 0 || StateOf(it) == HostLeaving {
			urgent = append(urgent, it)
		}
	}
	g.queueUrgent(urgent)
}

// refuteOwnReports refutes the items that are about this host.
func (g *Gossiper) refuteOwnReports(items []*peer.Item) {
	for _, it := range items {
		if it.Kind == peer.ItemKind_ITEM_KIND_HOST && it.Key == g.Self {
			g.refute(it)
		}
	}
}

// refute raises this host's incarnation above that of a report about it, and announces it. A
// report of an earlier incarnation needs no answer.
func (g *Gossiper) refute(it *peer.Item) {
	for {
		old := g.incarnation.Load()
		if old > it.Incarnation {
			return
		}
		if g.incarnation.CompareAndSwap(old, it.Incarnation+1) {
			break
		}
	}
	g.Log.Info().Int64("incarnation", g.incarnation.Load()).Msg("gossiper: refuted a report about this host")
	g.announce()
}

// handleChanges updates what is derived from host items that changed or expired, and calls
// OnChange.
func (g *Gossiper) handleChanges(items []*peer.Item) {
	if len(items) == 0 {
		return
	}
	g.mu.Lock()
	for _, it := range items {
		if it.Kind != peer.ItemKind_ITEM_KIND_HOST {
			continue
		}
		g.liveCache = nil
		delete(g.suspectedAt, it.Key)
		switch StateOf(it) {
		case HostSuspect:
			g.suspectedAt[it.Key] = time.Now()
		case HostDead, HostLeaving:
			g.demand.recordLoss()
		default:
		}
	}
	g.mu.Unlock()
	if g.OnChange != nil {
		g.OnChange(items)
	}
}

// declareDead publishes the hosts as dead that stayed suspect for the suspicion timeout.
func (g *Gossiper) declareDead() {
	now := time.Now()
	g.mu.Lock()
	timeout := g.suspicionTimeout()
	var dead []string
	for name, since := range g.suspectedAt {
		if now.Sub(since) >= timeout {
			dead = append(dead, name)
		}
	}
	g.mu.Unlock()
	for _, name := range dead {
		it := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name)
		if it == nil || StateOf(it) != HostSuspect {
			continue
		}
		g.Log.Info().Str("host", name).Msg("gossiper: host declared dead")
		g.Publish(true, withState(it, HostDead, now.Add(tombstoneTTL)))
	}
}

// suspicionTimeout is how long a suspect has to refute: two periods and half a period for each
// gossip hop, since the suspicion has to reach the suspect first, rounded down to whole periods.
// It is called with mu held.
func (g *Gossiper) suspicionTimeout() time.Duration {
	hops := math.Log2(float64(max(2, len(g.probeOrder))))
	return g.Period * time.Duration(2+hops/2)
}

// withState returns a copy of a host's item with another state and expiry; the zero time means
// that it never expires.
func withState(it *peer.Item, st HostState, expires time.Time) *peer.Item {
	out := &peer.Item{Kind: it.Kind, Key: it.Key, Incarnation: it.Incarnation, State: int32(st), Host: it.Host}
	if !expires.IsZero() {
		out.Expires = expires.UnixMilli()
	}
	return out
}
