package forwarder

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/tracker"
)

// fingerprintOf hashes what stays the same when a caller repeats a request: host, path, key and
// body.
func fingerprintOf(k *call) uint64 {
	d := xxhash.New()
	for _, part := range []string{k.r.Host, k.r.RequestURI, k.r.Header.Get("Authorization")} {
		_, _ = d.WriteString(part + "\n")
	}
	_, _ = d.Write(k.body)
	return d.Sum64()
}

// refuseQuarantined refuses a request that crashed the upstreams which ran it, and reports whether
// it did. Without that, a body that crashes engines crashes one more with each retry and each time
// that the caller repeats it, at any host.
func (k *call) refuseQuarantined() bool {
	wait, ok := k.Suspects.Quarantined(time.Now(), k.fingerprint)
	if !ok {
		return false
	}
	k.retryAfter = wait
	if k.runs > 0 {
		return !k.refuse(admitter.ReasonUpstream, "upstreams crashed while it was in flight, each time")
	}
	return !k.refuse(admitter.ReasonQuarantined, "upstreams crashed while it was in flight, each time")
}

// detectCrash checks whether an upstream that did not answer a request has crashed: a crashed one
// refuses connections, one that only closed the connection accepts a new one. The check continues
// after the caller disconnects, because a canceled dial would look like a refused one: a healthy
// upstream would be marked dead and the request would get a strike.
func (k *call) detectCrash(ctx context.Context, h balancer.Hop, begun bool) {
	err := k.Pool.Check(context.WithoutCancel(ctx), h.Address, connector.PurposeCrashProbe, probeTimeout)
	if err == nil || isTimeout(err) {
		return
	}
	if k.Balancer.SetDead(k.Now(), h.ID, true) {
		k.Log.Warn().Str("requestId", k.id).Str("upstream", h.ID).Str("address", h.Address).Err(err).Msg("forwarder: upstream crashed")
		k.recordLoss(h, err)
		k.moveOthers(ctx, h, err, k.Now())
	}
	k.Balancer.MarkStopped(h.ID)
	if isReset(err) {
		return
	}
	k.addStrike(k.id, k.suspect(), h, begun)
}

// maxLoggedParts bounds the bytes of a list of prompt parts in the log.
const maxLoggedParts = 256

// suspect is what the crash of an upstream is held against where a request was in flight.
type suspect struct {
	fingerprint uint64
	// route and workspace are the names of the request's; workspace is empty where it needs no key.
	route, workspace string
	// header is the value of the header Parts, parts what it lists.
	header string
	parts  []isolator.Part
}

func (k *call) suspect() suspect {
	s := suspect{fingerprint: k.fingerprint, header: k.partsHeader(), parts: k.parts}
	if k.route != nil {
		s.route = k.route.Name
	}
	if k.workspace != nil {
		s.workspace = k.workspace.Name
	}
	return s
}

// addStrike records the crash of an upstream against a request in flight and the parts of its prompt. The end of one
// that leaves is no crash. A
// stream that had begun has run at that upstream without crashing it, unless it began just before: then
// only its parts are suspected.
func (f *Forwarder) addStrike(requestID string, s suspect, h balancer.Hop, begun bool) {
	if f.Balancer.IsDeparting(h.ID) {
		f.Log.Info().Str("requestId", requestID).Str("upstream", h.ID).Str("address", h.Address).Msg("forwarder: in flight at an upstream that left")
		return
	}
	now, startedAt := time.Now(), f.Balancer.StartedAt(h.ID)
	if !begun {
		f.Suspects.Add(tracker.NewStrike(now, s.fingerprint, h.ID, startedAt))
		f.strikes.add(f.Now(), s.fingerprint)
	}
	f.Isolator.RecordCrashOf(f.Now(), s.parts, isolator.Workspace(s.workspace), h.ID, []uint64{s.fingerprint})
	f.Meter.Strikes.Inc()
	f.Log.Info().Str("requestId", requestID).Str("upstream", h.ID).Str("address", h.Address).Int64("startedAt", startedAt).
		Str("route", s.route).Str("workspace", s.workspace).Str("fingerprint", strconv.FormatUint(s.fingerprint, 16)).
		Str("parts", s.header[:min(len(s.header), maxLoggedParts)]).Bool("begun", begun).Int("strikes", len(f.Suspects.Active(now, s.fingerprint))).
		Msg("forwarder: in flight at a crash")
}

// keepStrikes stores the strikes against a request, so that neither the kill of all hosts nor another host, which the caller
// turns to next, has it crash further upstreams. The wait is short; it is over before the caller gets an answer.
func (k *call) keepStrikes(ctx context.Context) {
	if k.KeepStrikes != nil && len(k.Suspects.Active(time.Now(), k.fingerprint)) > 0 {
		k.KeepStrikes(ctx, k.fingerprint)
	}
}

// clearStrikes removes the strikes against a request that was served.
func (k *call) clearStrikes() { k.Suspects.Clear(time.Now(), k.fingerprint) }

// WentDown lists the upstreams that went down within the given time of at. tracker.Suspects calls
// it.
func (f *Forwarder) WentDown(at time.Time, within time.Duration) []string {
	return f.Balancer.DiedAround(f.Now()-time.Since(at), within)
}
