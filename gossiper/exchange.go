package gossiper

import (
	"context"
	"slices"
	"time"

	"github.com/sardineward/sardineward/peer"
)

// probeNext exchanges news with the next host in turn, and suspects it when
// neither this host nor two others reach it.
func (g *Gossiper) probeNext(ctx context.Context) {
	it := g.nextTarget()
	if it == nil {
		return
	}
	if g.exchange(ctx, it.Host.GetAddress(), g.state.News(messageBytes), true) {
		return
	}
	if ctx.Err() != nil || g.relay(ctx, it) {
		return
	}
	cur := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, it.Key)
	if cur == nil || cur.Incarnation != it.Incarnation || StateOf(cur) >= HostSuspect {
		return
	}
	g.Log.Info().Str("host", it.Key).Msg("gossiper: host suspected")
	g.Publish(false, verdict(cur, HostSuspect, time.Time{}))
}

// nextTarget walks all hosts in a random order that is drawn anew each round,
// so that every host is probed within two rounds at the most.
func (g *Gossiper) nextTarget() *peer.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	for range 2 {
		for g.turn < len(g.order) {
			name := g.order[g.turn]
			g.turn++
			it := g.state.Get(peer.ItemKind_ITEM_KIND_HOST, name)
			if it != nil && StateOf(it) != HostDead {
				return it
			}
		}
		g.shuffle()
	}
	return nil
}

func (g *Gossiper) shuffle() {
	g.order = g.order[:0]
	g.turn = 0
	for _, it := range g.state.All(peer.ItemKind_ITEM_KIND_HOST) {
		if StateOf(it) != HostDead && it.Key != g.Self {
			g.order = append(g.order, it.Key)
		}
	}
	g.Rand.Shuffle(len(g.order), func(i, j int) { g.order[i], g.order[j] = g.order[j], g.order[i] })
}

// exchange makes one call both ways and reports whether the peer answered.
func (g *Gossiper) exchange(ctx context.Context, address string, items []*peer.Item, full bool) bool {
	ctx, cancel := context.WithTimeout(ctx, g.Period)
	defer cancel()
	req := &peer.ExchangeRequest{From: g.Self, Items: items, Revision: g.revision()}
	if full {
		req.Digest = g.state.Digest()
		if g.probes.Add(1)%demandEvery == 0 {
			req.Demands = g.demand.message()
		}
	}
	resp, err := g.Dial(address).Exchange(ctx, req)
	if err != nil {
		return false
	}
	g.take(resp.Items, true)
	g.hearRevision(resp.Revision)
	if full {
		g.demand.settle(req.Demands, resp.Demands)
	}
	if resp.Differing >= bulkFrom && g.mayFetch() {
		g.fetch(ctx, address)
	}
	return true
}

// mayFetch spaces bulk fetches. A data centre came back and hundreds of hosts
// started at once; at a few hosts a message, they took minutes to know of each
// other. Fetching the whole state from whoever has much that is new takes
// seconds, and the spacing keeps it from costing more than the exchange does.
func (g *Gossiper) mayFetch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.fetched) < bulkEvery*g.Period {
		return false
	}
	g.fetched = time.Now()
	return true
}

func (g *Gossiper) relay(ctx context.Context, it *peer.Item) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*g.Period)
	defer cancel()
	helpers := g.draw(relays, it.Key)
	reached := make(chan bool, len(helpers))
	for _, h := range helpers {
		go func() {
			resp, err := g.Dial(h.Host.GetAddress()).Relay(ctx, &peer.RelayRequest{Address: it.Host.GetAddress()})
			reached <- err == nil && resp.Reached
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

// draw picks n random hosts that are not dead, without this one and another.
func (g *Gossiper) draw(n int, without string) []*peer.Item {
	live := g.Live()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*peer.Item
	for range 4 * n {
		if len(out) == n || len(live) == 0 {
			break
		}
		it := live[g.Rand.IntN(len(live))]
		if it.Key != g.Self && it.Key != without && !slices.Contains(out, it) {
			out = append(out, it)
		}
	}
	return out
}

// push hands urgent news to the sender.
func (g *Gossiper) push(items []*peer.Item) {
	if len(items) == 0 {
		return
	}
	g.mu.Lock()
	g.urgent = append(g.urgent, items...)
	g.mu.Unlock()
	select {
	case g.wake <- struct{}{}:
	default:
	}
}

// runUrgent passes news on as soon as there is any. Each host passes an item
// on once, to fanout others, so news costs the fleet fanout messages a host.
func (g *Gossiper) runUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(coalesce):
		}
		g.mu.Lock()
		items := g.urgent
		g.urgent = nil
		g.mu.Unlock()
		for batch := range slices.Chunk(items, 16) {
			for _, it := range g.draw(fanout, "") {
				go g.exchange(ctx, it.Host.GetAddress(), batch, false)
			}
		}
	}
}

// heal tries a host thought dead, or a peer of the settings. Two halves of a
// partition each think the other dead; without this neither would ever ask.
func (g *Gossiper) heal(ctx context.Context) {
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
		g.exchange(ctx, address, g.state.News(messageBytes), true)
	}
}

// join fetches the whole state from the first peer that answers.
func (g *Gossiper) join(ctx context.Context) {
	g.mu.Lock()
	order := g.Rand.Perm(len(g.Peers))
	g.mu.Unlock()
	for _, i := range order {
		if g.Peers[i] != g.Host.Address && g.sync(ctx, g.Peers[i]) {
			return
		}
	}
}

// joinAny fetches the state of a peer of the settings that is no host known
// here, if any. Hosts that all start at once join each other in twos and threes;
// such groups did not know of each other for ten seconds and more, until one of
// them happened to try a peer of another.
func (g *Gossiper) joinAny(ctx context.Context) {
	known := map[string]bool{g.Host.Address: true}
	for _, it := range g.state.All(peer.ItemKind_ITEM_KIND_HOST) {
		known[it.Host.GetAddress()] = true
	}
	strangers := slices.DeleteFunc(slices.Clone(g.Peers), func(address string) bool { return known[address] })
	if len(strangers) == 0 {
		return
	}
	g.mu.Lock()
	address := strangers[g.Rand.IntN(len(strangers))]
	g.mu.Unlock()
	g.sync(ctx, address)
}

func (g *Gossiper) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, 5*g.Period)
	defer cancel()
	return g.exchange(ctx, address, g.state.News(messageBytes), false) && g.fetch(ctx, address)
}

// fetch pages through the state of a peer.
func (g *Gossiper) fetch(ctx context.Context, address string) bool {
	for page := int32(0); ; {
		resp, err := g.Dial(address).Sync(ctx, &peer.SyncRequest{Page: page})
		if err != nil {
			return false
		}
		g.take(resp.Items, false)
		page += int32(len(resp.Items))
		if !resp.More {
			return true
		}
	}
}

func (g *Gossiper) revision() int64 {
	if g.Revision == nil {
		return 0
	}
	return g.Revision()
}

// hearRevision spreads a peer's revision when it is above all heard of.
func (g *Gossiper) hearRevision(rev int64) {
	if rev == 0 {
		return
	}
	it := g.state.Get(peer.ItemKind_ITEM_KIND_REVISION, "")
	if it == nil || it.Incarnation < rev {
		g.Publish(true, &peer.Item{Kind: peer.ItemKind_ITEM_KIND_REVISION, Incarnation: rev})
	}
}

// Exchange answers a probe.
func (g *Gossiper) Exchange(_ context.Context, req *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	g.take(req.Items, true)
	g.hearRevision(req.Revision)
	resp := &peer.ExchangeResponse{Revision: g.revision()}
	if len(req.Digest) == 0 {
		return resp, nil
	}
	resp.Demands = g.demand.answer(req.Demands)
	resp.Differing = int32(g.state.Differs(req.Digest))
	resp.Items = g.state.News(messageBytes)
	g.mu.Lock()
	start := g.Rand.IntN(1 << 20)
	g.mu.Unlock()
	resp.Items = append(resp.Items, g.state.Differing(req.Digest, start, messageBytes)...)
	return resp, nil
}

// Relay probes a third host.
func (g *Gossiper) Relay(ctx context.Context, req *peer.RelayRequest) (*peer.RelayResponse, error) {
	return &peer.RelayResponse{Reached: g.exchange(ctx, req.Address, nil, false)}, nil
}

// Sync returns one page of the state.
func (g *Gossiper) Sync(_ context.Context, req *peer.SyncRequest) (*peer.SyncResponse, error) {
	items, more := g.state.Page(int(max(0, req.Page)), pageBytes)
	return &peer.SyncResponse{Items: items, More: more}, nil
}
