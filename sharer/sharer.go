// Package sharer exchanges soft state with the other entry hosts: what each has
// in flight over which upstream, which configuration is in force and how old
// that knowledge is. All of it can be lost and comes again with the next
// exchange.
package sharer

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// period is the time between two exchanges with a host, up to some hosts:
	// a tenth of the life of a stream.
	period = 200 * time.Millisecond
	// perHost stretches the period, so that a host spends a fixed part of its
	// processor on exchanges however many there are.
	perHost = 15 * time.Millisecond
	// timeout bounds one exchange: a hundred times the way there and back.
	timeout = 300 * time.Millisecond
	// behind is the age of the own knowledge from which a host asks all others
	// for theirs: it missed an answer of the source.
	behind = 2 * time.Second
	// asked is how many others a host that is behind asks at once for what they
	// read, the configuration and the list. One may be behind as well.
	asked = 2
	// mostStrikes bounds the crashes told in one exchange: 2 KB.
	mostStrikes = 32
)

// Sharer is a peer.Share. The fields are set before Run.
type Sharer struct {
	Self     string
	Follower *follower.Follower
	Balancer *balancer.Balancer
	// Suspects keeps the crashes that requests were in flight for.
	Suspects *tracker.Suspects
	// Now is a clock that goes on while the machine is suspended.
	Now  func() time.Duration
	HTTP *http.Client
	Log  zerolog.Logger

	mu sync.Mutex
	// busy are the hosts with which an exchange is under way.
	busy map[string]bool
	// silent are the hosts that did not answer the last one.
	silent map[string]bool
	// turn counts the rounds, so that each other host is asked in turn.
	turn int
}

// Run exchanges until ctx ends. Of two hosts the one whose name comes first
// calls the other; one that is behind calls all, and asks some for what they
// read.
func (s *Sharer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := s.Follower.Hosts()
		late := s.Follower.OwnAge() > behind
		var sources map[string]bool
		if late {
			sources = s.sources(hosts)
		}
		for _, h := range hosts {
			if (late || s.Self < h.Name) && s.begin(h.Name) {
				go s.exchange(ctx, h, sources[h.Name])
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(max(period, time.Duration(len(hosts))*perHost)):
		}
	}
}

// sources are the hosts to ask for what they read, in turn: those that answered
// last, where there are any.
//
// The load it answers: the store turns one host away while configurations of a
// megabyte come in quick succession. Asked for by that host, every other one sent
// it each of them; its link was full for seconds, no answer of an upstream came
// through, it took them all for dead and cut the streams over them.
func (s *Sharer) sources(hosts []follower.Host) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for _, answering := range []bool{true, false} {
		for _, h := range hosts {
			if s.silent[h.Name] != answering {
				names = append(names, h.Name)
			}
		}
		if len(names) >= asked {
			break
		}
	}
	slices.Sort(names)
	out := make(map[string]bool)
	for i := range min(asked, len(names)) {
		out[names[(s.turn+i)%len(names)]] = true
	}
	s.turn += asked
	return out
}

// heard notes whether a host answered.
func (s *Sharer) heard(host string, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent == nil {
		s.silent = make(map[string]bool)
	}
	if answered {
		delete(s.silent, host)
	} else {
		s.silent[host] = true
	}
}

// begin reports whether no exchange with a host is under way, and notes one.
func (s *Sharer) begin(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy == nil {
		s.busy = make(map[string]bool)
	}
	if s.busy[host] {
		return false
	}
	s.busy[host] = true
	return true
}

func (s *Sharer) end(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, host)
}

// exchange tells a host what this one has in flight and takes in the same, and
// with ask what the other one read.
func (s *Sharer) exchange(ctx context.Context, h follower.Host, ask bool) {
	defer s.end(h.Name)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := s.Now()
	req := &peer.ShareRequest{Host: s.Self, Passing: s.own(), Behind: ask, Strikes: s.strikes()}
	if cfg := s.Follower.Configuration(); cfg != nil {
		req.Version = cfg.Version
	}
	resp, err := peer.NewShareProtobufClient("http://"+h.Address, s.HTTP).Exchange(ctx, req)
	s.heard(h.Name, err == nil)
	if err != nil {
		s.Log.Debug().Err(err).Str("peer", h.Name).Msg("sharer: exchange failed")
		return
	}
	s.take(h.Name, resp.Passing)
	s.struck(h.Name, resp.Strikes)
	cfg, err := decode[matcher.Configuration](resp.Configuration)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", h.Name).Msg("sharer: configuration can't be read")
		return
	}
	s.Follower.Heard(sent, time.Duration(resp.AgeMs)*time.Millisecond, resp.Version, cfg)
	if !ask {
		return
	}
	list, err := decode[[]balancer.Upstream](resp.Upstreams)
	if err != nil {
		s.Log.Warn().Err(err).Str("peer", h.Name).Msg("sharer: upstreams can't be read")
		return
	}
	if list != nil {
		s.Follower.Listed(*list, resp.Revision)
	}
}

// Exchange implements peer.Share.
func (s *Sharer) Exchange(_ context.Context, req *peer.ShareRequest) (*peer.ShareResponse, error) {
	s.take(req.Host, req.Passing)
	s.struck(req.Host, req.Strikes)
	age := s.Follower.Age()
	resp := &peer.ShareResponse{Host: s.Self, Passing: s.own(), Strikes: s.strikes(), AgeMs: age.Milliseconds() + 1}
	if cfg := s.Follower.Configuration(); cfg != nil {
		resp.Version = cfg.Version
	}
	// Only a host that can't read the source is sent what it lacks. A change of
	// the configuration went from each host to all others otherwise, and filled
	// their links for a third of a second.
	if req.Behind {
		resp.Configuration = s.newer(req.Version)
	}
	if req.Behind && s.Follower.OwnAge() < behind {
		var err error
		// Read before the list: what changes in between is in it as well.
		resp.Revision = s.Follower.Revision()
		if resp.Upstreams, err = json.Marshal(s.Balancer.Listed()); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

func (s *Sharer) take(host string, list []*peer.Passing) {
	passing := make([]balancer.Passing, len(list))
	for i, p := range list {
		passing[i] = balancer.Passing{Upstream: p.Upstream, Requests: int(p.Requests), Room: p.Room, Dead: p.Dead, Doubted: p.Doubted, Pace: p.Pace}
	}
	s.Balancer.Heard(s.Now(), host, passing)
}

// strikes are the newest crashes that requests were in flight for.
func (s *Sharer) strikes() []*peer.Strike {
	now := time.Now()
	list := s.Suspects.Newest(now, mostStrikes)
	out := make([]*peer.Strike, len(list))
	for i, st := range list {
		out[i] = &peer.Strike{Key: st.Key(), ExpiresInMs: st.Expires.Sub(now).Milliseconds(), Cleared: st.Cleared}
	}
	return out
}

// struck takes in the crashes that a peer told of.
func (s *Sharer) struck(host string, list []*peer.Strike) {
	now := time.Now()
	for _, p := range list {
		st, err := tracker.ParseStrike(p.Key, now.Add(time.Duration(p.ExpiresInMs)*time.Millisecond), p.Cleared)
		if err != nil {
			s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: strike can't be read")
			continue
		}
		s.Suspects.Add(st)
	}
}

func (s *Sharer) own() []*peer.Passing {
	list := s.Balancer.Own(s.Now())
	out := make([]*peer.Passing, len(list))
	for i, p := range list {
		out[i] = &peer.Passing{Upstream: p.Upstream, Requests: uint32(p.Requests), Room: p.Room, Dead: p.Dead, Doubted: p.Doubted, Pace: p.Pace}
	}
	return out
}

// newer is the configuration in force when it is above a version, else nil.
func (s *Sharer) newer(version int64) []byte {
	cfg := s.Follower.Configuration()
	if cfg == nil || cfg.Version <= version {
		return nil
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		s.Log.Error().Err(err).Msg("sharer: configuration can't be encoded")
		return nil
	}
	return b
}

// decode reads JSON; nil for nothing.
func decode[T any](b []byte) (*T, error) {
	if len(b) == 0 {
		return nil, nil //nolint:nilnil // nothing was sent, which is no error
	}
	out := new(T)
	if err := json.Unmarshal(b, out); err != nil {
		return nil, err
	}
	return out, nil
}
