package forwarder

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/tracker"
)

// fingerprintOf names a request by what comes again with it when its caller
// sends it once more: host, path, key and body.
func fingerprintOf(k *call) uint64 {
	d := xxhash.New()
	for _, part := range []string{k.r.Host, k.r.RequestURI, k.r.Header.Get("Authorization")} {
		_, _ = d.WriteString(part + "\n")
	}
	_, _ = d.Write(k.body)
	return d.Sum64()
}

// quarantined refuses a request that crashed the upstreams which ran it. One
// whose body an engine can't bear took down an engine with each retry and each
// time that its caller came again, at any host.
func (k *call) quarantined() bool {
	wait, ok := k.Suspects.Quarantined(time.Now(), k.fingerprint)
	if !ok {
		return false
	}
	k.comeBack = wait
	if k.runs > 0 {
		return !k.refuse(admitter.ReasonUpstream, "upstreams crashed while it was in flight, each time")
	}
	return !k.refuse(admitter.ReasonQuarantined, "upstreams crashed while it was in flight, each time")
}

// checkCrash looks whether the upstream that took a request and did not answer
// has crashed. Then nothing listens at its address; one that merely broke the
// connection off takes a new one. The look goes on when the caller leaves: its
// end would pass for a refused connection, and take an upstream that lives out of
// use with a strike against the request.
func (k *call) checkCrash(ctx context.Context, h balancer.Hop) {
	err := k.connect(context.WithoutCancel(ctx), h.Address)
	if err == nil || isTimeout(err) {
		return
	}
	if k.Balancer.SetDead(k.Now(), h.ID, true) {
		k.Log.Warn().Str("requestId", k.id).Str("upstream", h.ID).Str("address", h.Address).Err(err).Msg("forwarder: upstream crashed")
	}
	k.Balancer.Ended(h.ID)
	k.strike(k.id, k.fingerprint, h)
}

// strike holds the crash of an upstream against a request that had not begun.
// What has begun was run by that upstream before, and did not crash it.
func (f *Forwarder) strike(requestID string, fingerprint uint64, h balancer.Hop) {
	f.Suspects.Add(tracker.NewStrike(time.Now(), fingerprint, h.ID, f.Balancer.Born(h.ID)))
	f.Log.Info().Str("requestId", requestID).Str("upstream", h.ID).Str("address", h.Address).Msg("forwarder: in flight at a crash")
}

// cleared takes an answered request out of suspicion.
func (k *call) cleared() { k.Suspects.Clear(time.Now(), k.fingerprint) }

// WentDown lists the upstreams that went down about a time; it is what
// tracker.Suspects asks.
func (f *Forwarder) WentDown(at time.Time, within time.Duration) []string {
	return f.Balancer.WentDown(f.Now()-time.Since(at), within)
}
