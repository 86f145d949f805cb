package sharer

import (
	"slices"
	"time"

	"github.com/sardineward/sardineward/follower"
)

// untilAsk returns when a host whose knowledge has the given age looks again whether to ask others.
// The rounds of a large data centre are longer than that.
func untilAsk(age time.Duration) time.Duration { return max(exchangeInterval, askAge-age) }

// requestFull makes the calls to some hosts ask for everything, and adds calls to the other
// sources. A separate second call would not start while one to the same host is in progress.
func requestFull(calls []call, sources []follower.Host) []call {
	for _, h := range sources {
		i := slices.IndexFunc(calls, func(c call) bool { return c.host.Name == h.Name })
		if i < 0 {
			calls = append(calls, call{host: h, full: true})
		} else {
			calls[i].full = true
		}
	}
	return calls
}

// sources returns the hosts to ask for what they read, in turn. Hosts that answered their last call
// come first. At most maxSources are asked, because the answers of all hosts together would
// saturate the link of the one that asks.
func (s *Sharer) sources(hosts []follower.Host) []follower.Host {
	var list []follower.Host
	for _, answering := range []bool{true, false} {
		for _, h := range hosts {
			if s.roles.isUnresponsive(h.Name) != answering {
				list = append(list, h)
			}
		}
		if len(list) >= maxSources {
			break
		}
	}
	sortByName(list)
	start := s.advanceRotation(maxSources)
	var out []follower.Host
	for i := range min(maxSources, len(list)) {
		out = append(out, list[(start+i)%len(list)])
	}
	ahead := s.takeAhead()
	if i := slices.IndexFunc(hosts, func(h follower.Host) bool { return h.Name == ahead }); i >= 0 {
		out = append(out, hosts[i])
	}
	return out
}

// noteAhead records a host that called and knows more of the source than this one.
func (s *Sharer) noteAhead(host string, at follower.Position) {
	if !s.Follower.Position().Before(at) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead = host
}

// takeAhead returns and forgets the host that was last recorded by noteAhead.
func (s *Sharer) takeAhead() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.ahead
	s.ahead = ""
	return out
}
