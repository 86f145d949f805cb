package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineward/sardineward/deduplicator"
	"github.com/sardineward/sardineward/gossiper"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/prober"
	"github.com/sardineward/sardineward/tracker"
)

// news tells other hosts what this one saw.
type news struct{ *Host }

// AnnounceLeaving implements router.News.
func (n news) AnnounceLeaving(upstream string, incarnation int64) {
	n.gossip.Publish(true, &peer.Item{Kind: peer.ItemKind_ITEM_KIND_LEAVING, Key: upstream, Incarnation: incarnation, State: 1})
}

// AnnounceDown implements router.News. Only an upstream's own probers speak for it: a
// host that merely can't reach it, over a cut link, would set all others
// against what they see.
func (n news) AnnounceDown(upstream string, incarnation int64, down bool) {
	u, ok := n.track.Upstream(upstream)
	if !ok || u.DataCentre != n.Settings.DataCentre || !n.probe.Owns("probe/"+upstream, prober.ProbersPerUpstream) {
		return
	}
	n.track.RecordProberReport(time.Now(), upstream, incarnation, down)
	// Within an incarnation the state counts up, odd for down, so that the
	// last word wins.
	var state int32
	if it := n.gossip.Get(peer.ItemKind_ITEM_KIND_UPSTREAM, upstream); it != nil && it.Incarnation == incarnation {
		if it.State%2 == 1 == down {
			return
		}
		state = it.State + 1
	} else if down {
		state = 1
	}
	n.gossip.Publish(true, &peer.Item{Kind: peer.ItemKind_ITEM_KIND_UPSTREAM, Key: upstream, Incarnation: incarnation, State: state})
}

// AnnounceStrike implements router.News.
func (n news) AnnounceStrike(s tracker.Strike) {
	it := &peer.Item{Kind: peer.ItemKind_ITEM_KIND_STRIKE, Key: s.Key(), State: 1, Expires: s.Expires.UnixMilli()}
	if s.Cleared {
		it.State = 2
	}
	n.gossip.Publish(true, it)
}

// ProbeSoon implements router.News.
func (n news) ProbeSoon(upstreams []string) { n.probe.ProbeNow(upstreams) }

// FindUnresponsive implements router.News. A probe is given as long as a stall takes to
// show, twice the round trip at the least.
func (n news) FindUnresponsive(ctx context.Context, upstreams []string) string {
	ctx, cancel := context.WithTimeout(ctx, ms(n.Settings.Timing.StallFloorMs))
	defer cancel()
	return n.probe.FindUnresponsive(ctx, upstreams)
}

// heard takes in what is new, from this host or another.
func (h *Host) heard(items []*peer.Item) {
	for _, it := range items {
		h.learn(it)
	}
}

func (h *Host) learn(it *peer.Item) {
	switch it.Kind {
	case peer.ItemKind_ITEM_KIND_LEAVING:
		h.track.MarkLeaving(it.Key, it.Incarnation)
	case peer.ItemKind_ITEM_KIND_UPSTREAM:
		h.track.RecordProberReport(time.Now(), it.Key, it.Incarnation, it.State%2 == 1)
	case peer.ItemKind_ITEM_KIND_STRIKE:
		s, err := tracker.ParseStrike(it.Key, time.UnixMilli(it.Expires), it.State == 2)
		if err != nil {
			h.Log.Warn().Err(err).Msg("runner: strike can't be read")
			return
		}
		h.susp.Add(s)
	case peer.ItemKind_ITEM_KIND_REVISION:
		h.watch.Heard(it.Incarnation)
	default:
	}
}

// relearn tells the tracker again what gossip knows of upstreams that a new
// configuration may just have brought.
func (h *Host) relearn() {
	for _, kind := range []peer.ItemKind{peer.ItemKind_ITEM_KIND_LEAVING, peer.ItemKind_ITEM_KIND_UPSTREAM} {
		h.heard(h.gossip.All(kind))
	}
}

// asker asks other hosts for the fate of idempotency records.
type asker struct{ *Host }

// QueryClaim implements deduplicator.Asker.
func (a asker) QueryClaim(ctx context.Context, rec deduplicator.Record) (running, abandoned bool, err error) {
	c := a.gossip.ClientAt(rec.Host, rec.Address)
	if c == nil {
		return false, false, fmt.Errorf("host %s is gone", rec.Host)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	resp, err := c.Record(ctx, &peer.RecordRequest{Nonce: rec.Nonce, Incarnation: rec.Incarnation})
	if err != nil {
		return false, false, err
	}
	return resp.Running, resp.Abandoned, nil
}

// fetcher gets configuration from other hosts.
type fetcher struct{ *Host }

// Fetch implements watcher.Fetcher. It asks a few hosts at random, those of
// this data centre first.
func (f fetcher) Fetch(ctx context.Context, part string, atLeast int64) ([]byte, error) {
	const tries = 4
	for _, it := range f.candidates(tries) {
		one, cancel := context.WithTimeout(ctx, 2*time.Second)
		resp, err := f.gossip.Dial(it.Host.GetAddress()).Configuration(one, &peer.ConfigurationRequest{Part: part})
		cancel()
		if err == nil && len(resp.Body) > 0 && (part != "" || resp.Revision >= atLeast) {
			return resp.Body, nil
		}
	}
	return nil, errNoPeer
}

func (f fetcher) candidates(n int) []*peer.Item {
	var near, far []*peer.Item
	for _, it := range f.gossip.Live() {
		switch {
		case it.Key == f.Settings.Host || gossiper.StateOf(it) == gossiper.HostSuspect:
		case it.Host.GetDataCentre() == f.Settings.DataCentre:
			near = append(near, it)
		default:
			far = append(far, it)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	all := slices.Concat(near[:min(len(near), n-1)], far)
	return all[:min(len(all), n)]
}
