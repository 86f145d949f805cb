package sharer

import (
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
	"github.com/sardineward/sardineward/peer"
)

// maxLimitsWait bounds how long a starting host waits for the limits of another one, from the moment
// it knows of other hosts.
const maxLimitsWait = 400 * time.Millisecond

// KnowsLimits reports whether this host knows which upstreams name a limit on the requests per
// second that they accept. That holds if another host has sent its limits, if there is no other
// host, or if none answered within maxLimitsWait.
func (s *Sharer) KnowsLimits() bool {
	if s.heardFromHost.Load() {
		return true
	}
	if s.Follower.Position().IsZero() {
		return false
	}
	since := s.hostsKnownAt.Load()
	return len(s.Follower.Hosts()) == 0 || (since > 0 && s.Now()-time.Duration(since) > maxLimitsWait)
}

// limits returns the limits named by upstreams, to send to a peer.
func (s *Sharer) limits() []*peer.Limit {
	now := s.Now()
	list := s.Balancer.Limits(now, maxLimits)
	out := make([]*peer.Limit, len(list))
	for i := range list {
		l := &list[i]
		out[i] = &peer.Limit{Upstream: l.Upstream, Born: l.StartedAt, Version: l.Version, AgeMs: (now - l.LastNamedAt).Milliseconds()}
		if out[i].Ended = !l.InForce(); !out[i].Ended {
			out[i].PerSecond = l.PerSecond
		}
	}
	return out
}

// applyLimits merges the limits sent by a peer.
func (s *Sharer) applyLimits(host string, list []*peer.Limit) {
	s.heardFromHost.Store(true)
	now := s.Now()
	for _, p := range list {
		l := limiter.Limit{Version: p.Version, PerSecond: p.PerSecond, LastNamedAt: now - millis(p.AgeMs)}
		if p.Ended {
			l.PerSecond = limiter.Unlimited
		}
		if err := l.Check(); err != nil {
			if s.firstInvalid(host) {
				s.Log.Warn().Err(err).Str("peer", host).Str("upstream", p.Upstream).Msg("sharer: invalid limit from peer, ignored")
			}
			continue
		}
		ch, changed := s.Balancer.MergeLimit(now, balancer.UpstreamLimit{Upstream: p.Upstream, StartedAt: p.Born, Limit: l})
		if changed {
			s.Log.Info().Str("peer", host).EmbedObject(&ch).Msg("sharer: " + ch.String())
		}
	}
}
