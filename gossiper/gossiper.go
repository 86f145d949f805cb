// Package gossiper keeps the soft state that the hosts share: who is alive,
// which upstream is down or leaving, which requests crashed what runs them,
// which configuration revision exists, and how much each workspace asks for.
//
// Each host probes one other a period and both tell what is new; a host that
// can't be reached, not even through two others, becomes suspect, and dead when
// it doesn't refute that. Urgent news is passed on at once to a few hosts. All
// of it can be lost and is rebuilt. A caller sets the exported fields, mounts
// the Gossiper behind peer.NewPeerServer, and calls Run.
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

// HostState is what hosts think of one. A higher one wins within an
// incarnation; a host refutes HostSuspect and HostDead by raising its own.
type HostState int32

// The states of a host, as they stand in peer.Item.State.
const (
	// HostUnknown is no state.
	HostUnknown HostState = iota
	// HostAlive answers callers.
	HostAlive
	// HostLeaving stops, and answers only what it has.
	HostLeaving
	// HostSuspect could not be reached, and has some periods to refute that.
	HostSuspect
	// HostDead did not refute it.
	HostDead
)

// StateOf is the state that an item about a host tells.
func StateOf(it *peer.Item) HostState { return HostState(it.State) }

const (
	// messageBytes bounds the items of one message.
	messageBytes = 1200
	// pageBytes bounds one page for a host that joins.
	pageBytes = 64 << 10
	// fanout is how many hosts urgent news is passed on to at once.
	fanout = 3
	// relays is how many hosts are asked to reach one that didn't answer.
	relays = 2
	// tombstone is how long a dead host is remembered, so that an old report
	// of its life isn't taken for news.
	tombstone = 10 * time.Minute
	// healEvery is the number of periods between tries at a dead or settings
	// peer, by which two halves of a partition find each other again.
	healEvery = 5
	// joinFor is the number of periods in which peers of the settings that are
	// not known yet are tried each time; later they are most likely gone.
	joinFor = 30
	// bulkFrom is the number of differing buckets from which the whole state is
	// fetched instead of repaired bit by bit, and bulkEvery how often at most.
	bulkFrom  = digestBuckets / 4
	bulkEvery = 5
	// demandEvery is the number of probes between two that compare demands. At
	// 220 workspaces those are 880 bytes each way, most of an exchange.
	demandEvery = 2
	// coalesce is how long urgent news waits for more of it.
	coalesce = 10 * time.Millisecond
)

// Gossiper is one host's part in the exchange.
type Gossiper struct {
	// Self is this host's name, and Host what others need to know of it.
	Self string
	Host *peer.Host
	// Peers are addresses to join through.
	Peers []string
	// Dial returns the client for a peer's address.
	Dial func(address string) peer.Peer
	// Period is the time between two probes, and the timeout of each.
	Period time.Duration
	// OnChange is called with items that were new, never concurrently with
	// itself from one message. It must not block.
	OnChange func([]*peer.Item)
	// Revision returns the revision in force on this host.
	Revision func() int64
	// Rand draws peers; it is used under mu.
	Rand *rand.Rand
	Log  zerolog.Logger

	state       *State
	demand      demandTable
	incarnation atomic.Int64
	leaving     atomic.Bool
	probes      atomic.Int64
	wake        chan struct{}

	mu      sync.Mutex
	urgent  []*peer.Item
	order   []string
	turn    int
	suspect map[string]time.Time
	live    []*peer.Item
	// fetched is when the whole state was last fetched.
	fetched time.Time
}

// Start makes the host known to itself; call it before Run or any handler.
func (g *Gossiper) Start() {
	g.state = NewState()
	g.wake = make(chan struct{}, 1)
	g.suspect = make(map[string]time.Time)
	g.incarnation.Store(time.Now().UnixMilli())
	g.announce()
}

// Run probes until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { g.runUrgent(ctx) })
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
		if n <= joinFor || n%healEvery == 0 {
			wg.Go(func() { g.joinAny(ctx) })
		}
		if n%healEvery == 0 {
			wg.Go(func() { g.heal(ctx) })
		}
		g.judge()
		g.changed(g.state.Expire(time.Now()))
	}
}

// Incarnation is this host's, raised whenever it refutes a report of its death.
func (g *Gossiper) Incarnation() int64 { return g.incarnation.Load() }

// Leave tells the others that this host takes no new work.
func (g *Gossiper) Leave() {
	g.leaving.Store(true)
	g.incarnation.Add(1)
	g.announce()
}

// Publish makes items known to all hosts; urgent ones are passed on at once.
func (g *Gossiper) Publish(urgent bool, items ...*peer.Item) {
	fresh := g.state.Merge(time.Now(), items, true)
	g.changed(fresh)
	if urgent {
		g.push(fresh)
	}
}

// Get returns what is known under a key, or nil.
func (g *Gossiper) Get(kind peer.ItemKind, key string) *peer.Item {
	return g.state.Get(kind, key)
}

// All returns the items of a kind, ordered by key.
func (g *Gossiper) All(kind peer.ItemKind) []*peer.Item { return g.state.All(kind) }

// SetDemand takes in this host's request rate of each workspace.
func (g *Gossiper) SetDemand(list uint32, own []float32) { g.demand.set(list, own) }

// Demand returns the estimated mean over the hosts; nil for another list.
func (g *Gossiper) Demand(list uint32) []float32 { return g.demand.read(list) }

// Live returns the hosts that answer callers, this one included, by name.
func (g *Gossiper) Live() []*peer.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.live == nil {
		g.live = g.computeLive()
	}
	return g.live
}

func (g *Gossiper) computeLive() []*peer.Item {
	all := g.state.All(peer.ItemKind_ITEM_KIND_HOST)
	return slices.DeleteFunc(all, func(it *peer.Item) bool {
		return StateOf(it) == HostDead || StateOf(it) == HostLeaving
	})
}

// Owners returns the n live hosts of a data centre that a key falls to by
// rendezvous hashing; an empty data centre means any.
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

// Owns reports whether a key falls to this host. It stops at the nth host that
// the key falls to sooner, which for most keys comes early, so the answer
// hardly grows dearer with the number of hosts.
func (g *Gossiper) Owns(key, dataCentre string, n int) bool {
	own := score(key, g.Self)
	before := 0
	self := false
	for _, it := range g.Live() {
		if dataCentre != "" && it.Host.GetDataCentre() != dataCentre {
			continue
		}
		if it.Key == g.Self {
			self = true
			continue
		}
		if score(key, it.Key) > own {
			before++
		}
		if before >= n {
			return false
		}
	}
	return self
}

// score orders hosts by rendezvous hashing.
func score(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Client returns the client for a host by name, or nil when it is not known or
// dead.
func (g *Gossiper) Client(name string) peer.Peer {
	it := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name)
	if it == nil || StateOf(it) == HostDead {
		return nil
	}
	return g.Dial(it.Host.GetAddress())
}

// ClientAt is Client, but for a host that is not known here yet and can be asked
// at the address that it gave elsewhere. One that joined a moment ago is known
// to others only after some exchanges.
func (g *Gossiper) ClientAt(name, address string) peer.Peer {
	if address != "" && g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name) == nil {
		return g.Dial(address)
	}
	return g.Client(name)
}

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

// take merges what a peer told. A report that this host is suspect or dead is
// refuted at once with a higher incarnation.
func (g *Gossiper) take(items []*peer.Item, news bool) {
	fresh := g.state.Merge(time.Now(), items, news)
	if len(fresh) == 0 {
		return
	}
	g.changed(fresh)
	if !news {
		g.refuteIn(fresh)
		return
	}
	var pass []*peer.Item
	for _, it := range fresh {
		if it.Kind == peer.ItemKind_ITEM_KIND_HOST && it.Key == g.Self {
			g.refute(it)
			continue
		}
		if urgency(it.Kind) > 0 || StateOf(it) == HostLeaving {
			pass = append(pass, it)
		}
	}
	g.push(pass)
}

func (g *Gossiper) refuteIn(items []*peer.Item) {
	for _, it := range items {
		if it.Kind == peer.ItemKind_ITEM_KIND_HOST && it.Key == g.Self {
			g.refute(it)
		}
	}
}

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
	g.Log.Info().Int64("incarnation", g.incarnation.Load()).Msg("gossiper: refuted own death")
	g.announce()
}

func (g *Gossiper) changed(items []*peer.Item) {
	if len(items) == 0 {
		return
	}
	g.mu.Lock()
	for _, it := range items {
		if it.Kind != peer.ItemKind_ITEM_KIND_HOST {
			continue
		}
		g.live = nil
		delete(g.suspect, it.Key)
		if StateOf(it) == HostSuspect {
			g.suspect[it.Key] = time.Now()
		}
	}
	g.mu.Unlock()
	if g.OnChange != nil {
		g.OnChange(items)
	}
}

// judge declares suspects dead that had their time to refute.
func (g *Gossiper) judge() {
	now := time.Now()
	g.mu.Lock()
	patience := g.patience()
	var dead []string
	for name, since := range g.suspect {
		if now.Sub(since) >= patience {
			dead = append(dead, name)
		}
	}
	g.mu.Unlock()
	for _, name := range dead {
		it := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name)
		if it == nil || StateOf(it) != HostSuspect {
			continue
		}
		g.Log.Info().Str("host", name).Msg("gossiper: host dead")
		g.Publish(true, verdict(it, HostDead, now.Add(tombstone)))
	}
}

// patience is how long a suspect has to refute: two periods, longer as the
// news of its suspicion takes longer to reach it.
func (g *Gossiper) patience() time.Duration {
	hops := math.Log2(float64(max(2, len(g.order))))
	return g.Period * time.Duration(2+hops/2)
}

func verdict(it *peer.Item, st HostState, expires time.Time) *peer.Item {
	out := &peer.Item{Kind: it.Kind, Key: it.Key, Incarnation: it.Incarnation, State: int32(st), Host: it.Host}
	if !expires.IsZero() {
		out.Expires = expires.UnixMilli()
	}
	return out
}
