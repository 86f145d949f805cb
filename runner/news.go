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

// announcer implements router.Announcer: it gossips what this host observed of upstreams.
type announcer struct{ *Host }

// AnnounceLeaving implements router.Announcer: it publishes that an upstream is leaving. That holds
// until the upstream restarts with a newer incarnation.
func (n announcer) AnnounceLeaving(upstream string, incarnation int64) {
	n.gossip.Publish(true, &peer.Item{Kind: peer.ItemKind_ITEM_KIND_LEAVING, Key: upstream, Incarnation: incarnation, State: 1})
}

// AnnounceDown implements router.Announcer. Only the probers of an upstream announce its state: a
// host that can't reach it because of a broken link would otherwise override the observations of
// all other hosts.
func (n announcer) AnnounceDown(upstream string, incarnation int64, down bool) {
	u, ok := n.upstreamTracker.Upstream(upstream)
	if !ok || u.DataCentre != n.Settings.DataCentre || !n.upstreamProber.Owns("probe/"+upstream, prober.ProbersPerUpstream) {
		return
	}
	n.upstreamTracker.RecordProberReport(time.Now(), upstream, incarnation, down)
	// Within an incarnation the state only increases and is odd while the upstream is down, so
	// the latest announcement wins.
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

// AnnounceStrike implements router.Announcer. A strike records that a request was in flight on an
// upstream when it crashed. State 2 clears it, and supersedes state 1.
func (n announcer) AnnounceStrike(s tracker.Strike) {
	it := &peer.Item{Kind: peer.ItemKind_ITEM_KIND_STRIKE, Key: s.Key(), State: 1, Expires: s.Expires.UnixMilli()}
	if s.Cleared {
		it.State = 2
	}
	n.gossip.Publish(true, it)
}

// ProbeSoon implements router.Announcer: it requests probes of upstreams without waiting for them.
func (n announcer) ProbeSoon(upstreams []string) { n.upstreamProber.ProbeNow(upstreams) }

// FindUnresponsive implements router.Announcer: it probes upstreams and returns one that doesn't
// answer, or an empty name.
func (n announcer) FindUnresponsive(ctx context.Context, upstreams []string) string {
	return n.upstreamProber.FindUnresponsive(ctx, upstreams)
}

// applyItems passes new gossip items, from this host or others, to the parts that use them.
func (h *Host) applyItems(items []*peer.Item) {
	for _, it := range items {
		h.applyItem(it)
	}
}

func (h *Host) applyItem(it *peer.Item) {
	switch it.Kind {
	case peer.ItemKind_ITEM_KIND_LEAVING:
		h.upstreamTracker.MarkLeaving(it.Key, it.Incarnation)
	case peer.ItemKind_ITEM_KIND_UPSTREAM:
		h.upstreamTracker.RecordProberReport(time.Now(), it.Key, it.Incarnation, it.State%2 == 1)
	case peer.ItemKind_ITEM_KIND_STRIKE:
		s, err := tracker.ParseStrike(it.Key, time.UnixMilli(it.Expires), it.State == 2)
		if err != nil {
			h.Log.Warn().Err(err).Msg("runner: malformed strike ignored")
			return
		}
		h.suspects.Add(s)
	case peer.ItemKind_ITEM_KIND_REVISION:
		h.configWatcher.NoteRevision(it.Incarnation)
	default:
	}
}

// reapplyGossip passes the known states of upstreams to the tracker again, since a new
// configuration may have added upstreams that the tracker didn't know.
func (h *Host) reapplyGossip() {
	for _, kind := range []peer.ItemKind{peer.ItemKind_ITEM_KIND_LEAVING, peer.ItemKind_ITEM_KIND_UPSTREAM} {
		h.applyItems(h.gossip.All(kind))
	}
}

// claimQuerier asks other hosts about the state of their idempotency claims.
type claimQuerier struct{ *Host }

// QueryClaim implements deduplicator.ClaimQuerier: it asks the host that claimed a call whether the
// call is running or was abandoned.
func (a claimQuerier) QueryClaim(ctx context.Context, rec deduplicator.Record) (running, abandoned bool, err error) {
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

// configurationFetcher fetches configuration heads and parts from other hosts.
type configurationFetcher struct{ *Host }

// Fetch implements watcher.Fetcher. It asks up to maxPeers random hosts, those of this data
// centre first.
func (f configurationFetcher) Fetch(ctx context.Context, part string, atLeast int64) ([]byte, error) {
	const maxPeers = 4
	for _, it := range f.candidates(maxPeers) {
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		resp, err := f.gossip.Dial(it.Host.GetAddress()).Configuration(callCtx, &peer.ConfigurationRequest{Part: part})
		cancel()
		if err == nil && len(resp.Body) > 0 && (part != "" || resp.Revision >= atLeast) {
			return resp.Body, nil
		}
	}
	return nil, errNoPeer
}

func (f configurationFetcher) candidates(n int) []*peer.Item {
	var sameDataCentre, otherDataCentres []*peer.Item
	for _, it := range f.gossip.Live() {
		switch {
		case it.Key == f.Settings.Host || gossiper.StateOf(it) == gossiper.HostSuspect:
		case it.Host.GetDataCentre() == f.Settings.DataCentre:
			sameDataCentre = append(sameDataCentre, it)
		default:
			otherDataCentres = append(otherDataCentres, it)
		}
	}
	rand.Shuffle(len(sameDataCentre), func(i, j int) { sameDataCentre[i], sameDataCentre[j] = sameDataCentre[j], sameDataCentre[i] })
	rand.Shuffle(len(otherDataCentres), func(i, j int) { otherDataCentres[i], otherDataCentres[j] = otherDataCentres[j], otherDataCentres[i] })
	all := slices.Concat(sameDataCentre[:min(len(sameDataCentre), n-1)], otherDataCentres)
	return all[:min(len(all), n)]
}
