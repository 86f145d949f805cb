package gossiper

import (
	"context"
	"slices"
	"time"

	"github.com/sardineward/sardineward/peer"
)

// probeNext exchanges updates with the next host in the probe order, and marks it suspect when
// neither this host nor any relay can reach it.
func (g *Gossiper) probeNext(ctx context.Context) {
	it := g.nextTarget()
	if it == nil {
		return
	}
	if g.exchange(ctx, it.Host.GetAddress(), g.state.PendingUpdates(maxMessageBytes), true) {
		return
	}
	if ctx.Err() != nil || g.probeIndirectly(ctx, it) {
		return
	}
	cur := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, it.Key)
	if cur == nil || cur.Incarnation != it.Incarnation || StateOf(cur) >= HostSuspect {
		return
	}
	g.Log.Info().Str("host", it.Key).Msg("gossiper: host suspected")
	g.Publish(false, withState(cur, HostSuspect, time.Time{}))
}

// nextTarget returns the next host to probe, or nil when there is none. It iterates over all hosts
// in a random order that is shuffled again after each round, so that the probes of a host are at
// most two rounds apart.
func (g *Gossiper) nextTarget() *peer.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 2 {
		for g.nextProbe < len(g.probeOrder) {
			name := g.probeOrder[g.nextProbe]
			g.nextProbe++
			it := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name)
			if it != nil && StateOf(it) != HostDead {
				return it
			}
		}
		g.shuffleProbeOrder()
	}
	return nil
}

// shuffleProbeOrder starts a new round over the hosts that are not dead; it is called with mu held.
func (g *Gossiper) shuffleProbeOrder() {
	g.probeOrder = g.probeOrder[:0]
	g.nextProbe = 0
	for _, it := range g.state.All(peer.ItemKind_ITEM_KIND_HOST) {
		if StateOf(it) != HostDead && it.Key != g.Self {
			g.probeOrder = append(g.probeOrder, it.Key)
		}
	}
	g.Rand.Shuffle(len(g.probeOrder), func(i, j int) { g.probeOrder[i], g.probeOrder[j] = g.probeOrder[j], g.probeOrder[i] })
}

// exchange sends items to a peer, merges what it answers, and reports whether it answered within
// a period. With withDigest set the peer also compares digests and sends items that differ.
func (g *Gossiper) exchange(ctx context.Context, address string, items []*peer.Item, withDigest bool) bool {
	ctx, cancel := context.WithTimeout(ctx, g.Period)
	defer cancel()
	req := &peer.ExchangeRequest{From: g.Self, Items: items, Revision: g.revision()}
	if withDigest {
		req.Digest = g.state.Digest()
		if g.digestExchanges.Add(1)%demandEveryExchanges == 0 {
			req.Demands = g.demand.message()
		}
	}
	resp, err := g.Dial(address).Exchange(ctx, req)
	if err != nil {
		return false
	}
	g.receive(resp.Items, true)
	g.observeRevision(resp.Revision)
	if withDigest {
		g.demand.applyAnswer(req.Demands, resp.Demands)
	}
	if resp.Differing >= fullSyncMinBuckets && g.allowFullSync() {
		g.fullSync(ctx, address)
	}
	return true
}

// allowFullSync reports whether an exchange may start a full sync, at most one in
// fullSyncMinPeriods. When hundreds of hosts of a data centre start at once, repairing a few hosts
// per message takes minutes, and a full sync seconds; the limit keeps full syncs from costing more
// than the exchanges do.
func (g *Gossiper) allowFullSync() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.lastFullSync) < fullSyncMinPeriods*g.Period {
		return false
	}
	g.lastFullSync = time.Now()
	return true
}

// probeIndirectly asks random hosts to probe one that did not answer, and reports whether any of
// them reached it.
func (g *Gossiper) probeIndirectly(ctx context.Context, it *peer.Item) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*g.Period)
	defer cancel()
	relays := g.randomHosts(indirectProbes, it.Key)
	reached := make(chan bool, len(relays))
	for _, relay := range relays {
		go func() {
			resp, err := g.Dial(relay.Host.GetAddress()).Relay(ctx, &peer.RelayRequest{Address: it.Host.GetAddress()})
			reached <- err == nil && resp.Reached
		}()
	}
	for range relays {
		if <-reached {
			return true
		}
	}
	return false
}

// randomHosts returns up to n random live hosts, except this one and the one named exclude. It
// tries 4*n times, so it may return fewer than n hosts where few are live.
func (g *Gossiper) randomHosts(n int, exclude string) []*peer.Item {
	live := g.Live()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*peer.Item
	for range 4 * n {
		if len(out) == n || len(live) == 0 {
			break
		}
		it := live[g.Rand.IntN(len(live))]
		if it.Key != g.Self && it.Key != exclude && !slices.Contains(out, it) {
			out = append(out, it)
		}
	}
	return out
}

// queueUrgent adds items to the next urgent push and wakes sendUrgent.
func (g *Gossiper) queueUrgent(items []*peer.Item) {
	if len(items) == 0 {
		return
	}
	g.mu.Lock()
	g.urgent = append(g.urgent, items...)
	g.mu.Unlock()
	select {
	case g.urgentReady <- struct{}{}:
	default:
	}
}

// sendUrgent pushes urgent updates to random hosts until ctx ends, coalesceDelay after the first
// is queued. Each host pushes an item once, to fanout others, so an update costs the fleet fanout
// messages per host.
func (g *Gossiper) sendUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.urgentReady:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(coalesceDelay):
		}
		g.mu.Lock()
		items := g.urgent
		g.urgent = nil
		g.mu.Unlock()
		for batch := range slices.Chunk(items, 16) {
			for _, it := range g.randomHosts(fanout, "") {
				go g.exchange(ctx, it.Host.GetAddress(), batch, false)
			}
		}
	}
}

// reconnect exchanges updates with a random dead host or configured peer. After a partition each
// side considers the other dead and does not probe it, so without this they would stay separated.
func (g *Gossiper) reconnect(ctx context.Context) {
	var addresses []string
	for _, it := range g.state.All(peer.ItemKind_ITEM_KIND_HOST) {
		if StateOf(it) == HostDead {
			addresses = append(addresses, it.Host.GetAddress())
		}
	}
	addresses = append(addresses, g.Peers...)
	if len(addresses) == 0 {
		return
	}
	g.mu.Lock()
	address := addresses[g.Rand.IntN(len(addresses))]
	g.mu.Unlock()
	if address != g.Host.Address {
		g.exchange(ctx, address, g.state.PendingUpdates(maxMessageBytes), true)
	}
}

// join fetches the whole state from the first configured peer that answers, in random order.
func (g *Gossiper) join(ctx context.Context) {
	g.mu.Lock()
	order := g.Rand.Perm(len(g.Peers))
	g.mu.Unlock()
	for _, i := range order {
		if g.Peers[i] != g.Host.Address && g.joinThrough(ctx, g.Peers[i]) {
			return
		}
	}
}

// joinUnknownPeer fetches the state of a random configured peer that is not known here, if any.
// Hosts that start at once join in groups of two or three; without this the groups stay apart for
// ten seconds or more, until one of them happens to try a peer of another group.
func (g *Gossiper) joinUnknownPeer(ctx context.Context) {
	known := map[string]bool{g.Host.Address: true}
	for _, it := range g.state.All(peer.ItemKind_ITEM_KIND_HOST) {
		known[it.Host.GetAddress()] = true
	}
	unknown := slices.DeleteFunc(slices.Clone(g.Peers), func(address string) bool { return known[address] })
	if len(unknown) == 0 {
		return
	}
	g.mu.Lock()
	address := unknown[g.Rand.IntN(len(unknown))]
	g.mu.Unlock()
	g.joinThrough(ctx, address)
}

// joinThrough announces this host to a peer and fetches the peer's whole state. It reports whether
// both succeeded within five periods.
func (g *Gossiper) joinThrough(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*g.Period)
	defer cancel()
	return g.exchange(ctx, address, g.state.PendingUpdates(maxMessageBytes), false) && g.fullSync(ctx, address)
}

// fullSync fetches a peer's whole state page by page, and reports whether it got all of it.
func (g *Gossiper) fullSync(ctx context.Context, address string) bool {
	for page := int32(0); ; {
		resp, err := g.Dial(address).Sync(ctx, &peer.SyncRequest{Page: page})
		if err != nil {
			return false
		}
		g.receive(resp.Items, false)
		page += int32(len(resp.Items))
		if !resp.More {
			return true
		}
	}
}

// revision returns the configuration revision in force on this host; 0 means none.
func (g *Gossiper) revision() int64 {
	if g.Revision == nil {
		return 0
	}
	return g.Revision()
}

// observeRevision publishes a peer's configuration revision when it is the highest seen so far.
func (g *Gossiper) observeRevision(rev int64) {
	if rev == 0 {
		return
	}
	it := g.state.Get(peer.ItemKind_ITEM_KIND_REVISION, "")
	if it == nil || it.Incarnation < rev {
		g.Publish(true, &peer.Item{Kind: peer.ItemKind_ITEM_KIND_REVISION, Incarnation: rev})
	}
}

// Exchange implements peer.Peer: it answers a probe with recent updates and, when the request
// carries a digest, with items of the buckets that differ.
func (g *Gossiper) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	g.receive(req.Items, true)
	g.observeRevision(req.Revision)
	resp := &peer.ExchangeResponse{Revision: g.revision()}
	if len(req.Digest) == 0 {
		return resp, nil
	}
	resp.Demands = g.demand.averageWith(req.Demands)
	resp.Differing = int32(g.state.CountDiffering(req.Digest))
	resp.Items = g.state.PendingUpdates(maxMessageBytes)
	g.mu.Lock()
	start := g.Rand.IntN(1 << 20)
	g.mu.Unlock()
	resp.Items = append(resp.Items, g.state.DifferingItems(req.Digest, start, maxMessageBytes)...)
	return resp, nil
}

// Relay implements peer.Peer: it probes a third host and reports whether that answered.
func (g *Gossiper) Relay(ctx context.Context, req *peer.RelayRequest) (*peer.RelayResponse, error) {
	return &peer.RelayResponse{Reached: g.exchange(ctx, req.Address, nil, false)}, nil
}

// Sync implements peer.Peer: it returns one page of the state, from the item at req.Page on.
func (g *Gossiper) Sync(_ context.Context, req *peer.SyncRequest) (*peer.SyncResponse, error) {
	items, more := g.state.Page(int(max(0, req.Page)), maxPageBytes)
	return &peer.SyncResponse{Items: items, More: more}, nil
}
