package forwarder

import (
	"net/http"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
)

// heardLimit takes in the limit that an answer names to a request sent at sent. An
// answer without one ends the limit only where it is surely the upstream's own.
func (k *call) heardLimit(l *balancer.Lease, resp *http.Response, sent time.Duration) {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return // of another upstream at that address
	}
	perSecond, err := limiter.Parse(resp.Header.Values(k.Headers.Limit))
	id := l.First.ID
	if err != nil {
		k.Meter.LimitsUnreadable.Inc()
		if k.Balancer.UnreadableLimit(id) {
			k.Log.Warn().Err(err).Str("requestId", k.id).Str("upstream", id).Msg("forwarder: limit can't be read, nothing changed")
		}
		return
	}
	own := resp.Header.Get(k.Headers.Stamp) != "" || resp.Header.Get(k.Headers.NotRun) != ""
	if perSecond == limiter.Unlimited && !own {
		return
	}
	ch, changed := k.Balancer.ObserveLimit(k.Now(), sent, id, l.Born, perSecond)
	if changed {
		k.Log.Info().Str("requestId", k.id).EmbedObject(&ch).Msg("forwarder: " + ch.String())
	}
}
