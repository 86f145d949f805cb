package sharer

import (
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
	"github.com/sardineward/sardineward/peer"
)

// uninformed bounds how long a host that starts waits to hear from another one.
const uninformed = 400 * time.Millisecond

// Informed reports whether another host told this one which upstreams name a limit, or there
// is nobody to tell it.
func (s *Sharer) Informed() bool {
	if s.informed.Load() {
		return true
	}
	if s.Follower.Position().IsZero() {
		return false
	}
	since := s.hostsAt.Load()
	return len(s.Follower.Hosts()) == 0 || (since > 0 && s.Now()-time.Duration(since) > uninformed)
}

// limits are what upstreams named, for a peer.
func (s *Sharer) limits() []*peer.Limit {
	now := s.Now()
	list := s.Balancer.Limits(now, mostLimits)
	out := make([]*peer.Limit, len(list))
	for i := range list {
		l := &list[i]
		out[i] = &peer.Limit{Upstream: l.Upstream, Born: l.Born, Version: l.Version, AgeMs: (now - l.Heard).Milliseconds()}
		if out[i].Ended = !l.InForce(); !out[i].Ended {
			out[i].PerSecond = l.PerSecond
		}
	}
	return out
}

// takeLimits takes in the limits that a peer told of.
func (s *Sharer) takeLimits(host string, list []*peer.Limit) {
	s.informed.Store(true)
	now := s.Now()
	for _, p := range list {
		l := limiter.Limit{Version: p.Version, PerSecond: p.PerSecond, Heard: now - millis(p.AgeMs)}
		if p.Ended {
			l.PerSecond = limiter.Unlimited
		}
		if err := l.Check(); err != nil {
			if s.firstImpossible(host) {
				s.Log.Warn().Err(err).Str("peer", host).Str("upstream", p.Upstream).Msg("sharer: limit is left out")
			}
			continue
		}
		ch, changed := s.Balancer.MergeLimit(now, balancer.UpstreamLimit{Upstream: p.Upstream, Born: p.Born, Limit: l})
		if changed {
			s.Log.Info().Str("peer", host).EmbedObject(&ch).Msg("sharer: " + ch.String())
		}
	}
}
