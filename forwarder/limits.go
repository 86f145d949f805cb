package forwarder

import (
	"net/http"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
)

// observeLimit updates the upstream's request limit from its response to a request sent at sent. A
// response without a limit header ends the limit only if it has a header that shows that it comes
// from that upstream: its signature, or the mark that the request did not run.
func (k *call) observeLimit(l *balancer.Lease, resp *http.Response, sent time.Duration) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return // the response is from another upstream at that address
	}
	perSecond, err := limiter.Parse(resp.Header.Values(k.Headers.Limit))
	id := l.First.ID
	if err != nil {
		k.Meter.LimitsUnreadable.Inc()
		if k.Balancer.FirstUnreadable(id, k.Headers.Limit) {
			k.Log.Warn().Err(err).Str("requestId", k.id).Str("upstream", id).Msg("forwarder: limit can't be read, nothing changed")
		}
		return
	}
	if perSecond == limiter.Unlimited && !k.Headers.fromUpstream(resp) {
		return
	}
	change, changed := k.Balancer.ObserveLimit(k.Now(), sent, id, l.StartedAt, perSecond)
	if changed {
		k.Log.Info().Str("requestId", k.id).EmbedObject(&change).Msg("forwarder: " + change.String())
	}
}
