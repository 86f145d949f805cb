// Package sharer exchanges soft state with the other entry hosts: what each has
// in flight over which upstream, what the source holds, how old that knowledge is,
// and which requests crashed upstreams. All of it can be lost and comes again with
// the next exchanges.
//
// Hosts exchange with a few relays of their data centre, which add up reports and read
// the source, and relays with those of other data centres. Who is one follows from the
// list of hosts and from who answers.
package sharer

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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
	// perHost stretches the period, so that a relay spends a fixed part of its
	// processor on the hosts of its data centre however many there are.
	perHost = 10 * time.Millisecond
	// perFar is the same for the relays of other data centres: what crosses is paid for
	// and matters less, since callers stay in their own data centre where they can.
	perFar = 50 * time.Millisecond
	// timeout bounds one exchange: a hundred times the way there and back.
	timeout = 300 * time.Millisecond
	// behind is the age of what was read from which a host is no source for others,
	// and of the own reading from which it asks others.
	behind = 2 * time.Second
	// unserved is the age of all that was read or told from which such a host asks.
	unserved = 1800 * time.Millisecond
	// asked is how many others a host that is behind asks at once for what they
	// read. One may be behind as well.
	asked = 2
	// mostStrikes bounds the crashes told in one exchange: 2 KB.
	mostStrikes = 32
	// mostLimits bounds the limits told in one exchange: 3 KB.
	mostLimits = 64
	// starting is the time between two looks for other hosts before the first reading.
	starting = 10 * time.Millisecond
)

// Sharer is a peer.Share. The fields are set before Run.
type Sharer struct {
	Self       string
	DataCentre string
	Follower   *follower.Follower
	Balancer   *balancer.Balancer
	// Suspects keeps the crashes that requests were in flight for.
	Suspects *tracker.Suspects
	// Now is a clock that goes on while the machine is suspended.
	Now  func() time.Duration
	HTTP *http.Client
	Log  zerolog.Logger

	roles roles
	mu    sync.Mutex
	// busy are the hosts with which an exchange is under way.
	busy map[string]bool
	// turn counts the rounds, so that hosts are asked in turn.
	turn int
	// farAt is when relays of other data centres were last called.
	farAt time.Duration
	// impossible are the hosts whose report was logged as such.
	impossible map[string]bool
	// informed is set once another host answered, or called.
	informed atomic.Bool
	// hostsAt is when other hosts were first known; 0 is not yet.
	hostsAt atomic.Int64
}

// Run exchanges until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		hosts := s.Follower.Hosts()
		if len(hosts) > 0 {
			s.hostsAt.CompareAndSwap(0, int64(s.Now()))
		}
		p := s.assign(hosts)
		calls := s.calls(p)
		if s.Follower.OwnAge() > behind && s.Follower.ReadAge() > unserved {
			calls = askBehind(calls, s.sources(hosts))
		}
		for _, h := range s.roles.probes(s.Now()) {
			calls = append(calls, call{host: h})
		}
		for _, c := range calls {
			s.begin(ctx, c)
		}
		if s.roles.standsIn(s.Now(), s.Follower.ReadAge()) {
			s.Follower.Wake()
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.pause(hosts, p)):
		}
	}
}

// call is one exchange to begin.
type call struct {
	host  follower.Host
	scope peer.Scope
	// behind asks for everything, and changes for what the source holds that this
	// host does not know yet.
	behind, changes bool
}

// calls are the exchanges of one round. Of two relays of different data centres
// the one whose name comes first calls the other.
func (s *Sharer) calls(p plan) []call {
	if !p.relay {
		if len(p.near) == 0 {
			return nil
		}
		return []call{{host: p.near[s.next(1)%len(p.near)], scope: peer.Scope_SCOPE_HOST, changes: true}}
	}
	var out []call
	for _, h := range p.near {
		out = append(out, call{host: h, scope: peer.Scope_SCOPE_HOST, changes: true})
	}
	if !s.farDue(len(p.far)) {
		return out
	}
	for _, h := range p.far {
		if s.Self < h.Name {
			out = append(out, call{host: h, scope: peer.Scope_SCOPE_DATA_CENTRE})
		}
	}
	return out
}

// askBehind has some hosts asked for everything, in the calls to them where there are
// any: a second call to a host does not begin while one is under way.
func askBehind(calls []call, sources []follower.Host) []call {
	for _, h := range sources {
		i := slices.IndexFunc(calls, func(c call) bool { return c.host.Name == h.Name })
		if i < 0 {
			calls = append(calls, call{host: h, behind: true})
		} else {
			calls[i].behind = true
		}
	}
	return calls
}

// farDue reports whether relays of other data centres are to be called in this round.
func (s *Sharer) farDue(relays int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	// Half of a period of slack: rounds begin a little after they are due.
	if now-s.farAt < max(period, time.Duration(relays)*perFar)-period/2 {
		return false
	}
	s.farAt = now
	return true
}

// pause is the time between two rounds. A host that is no relay calls one relay in
// each, in turn, and hears from all of them within a period.
func (s *Sharer) pause(hosts []follower.Host, p plan) time.Duration {
	if s.Follower.Position().IsZero() {
		return starting
	}
	near := 1
	for _, h := range hosts {
		if h.DataCentre == s.DataCentre {
			near++
		}
	}
	out := max(period, time.Duration(near)*perHost)
	if !p.relay {
		out /= time.Duration(max(1, len(p.near)))
	}
	return out
}

// sources are the hosts to ask for what they read, in turn: those that answered
// last, where there are any. They are few, since all of them together would fill
// the link of the one that asks.
func (s *Sharer) sources(hosts []follower.Host) []follower.Host {
	var list []follower.Host
	for _, answering := range []bool{true, false} {
		for _, h := range hosts {
			if s.roles.isSilent(h.Name) != answering {
				list = append(list, h)
			}
		}
		if len(list) >= asked {
			break
		}
	}
	sortByName(list)
	turn := s.next(asked)
	var out []follower.Host
	for i := range min(asked, len(list)) {
		out = append(out, list[(turn+i)%len(list)])
	}
	return out
}

// next returns the turn and adds to it.
func (s *Sharer) next(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	turn := s.turn
	s.turn += n
	return turn
}

// begin starts an exchange unless one with that host is under way.
func (s *Sharer) begin(ctx context.Context, c call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy == nil {
		s.busy = make(map[string]bool)
	}
	if s.busy[c.host.Name] {
		return
	}
	s.busy[c.host.Name] = true
	go func() {
		s.exchange(ctx, c)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.busy, c.host.Name)
	}()
}

// exchange makes one call and takes the answer in.
func (s *Sharer) exchange(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := s.Now()
	req := &peer.ShareRequest{Host: s.Self, DataCentre: s.DataCentre, Report: s.report(c.scope, c.host.Name, nil), Behind: c.behind, Strikes: s.strikes(), Limits: s.limits()}
	if cfg := s.Follower.Configuration(); cfg != nil {
		req.Version = cfg.Version
	}
	if c.scope == peer.Scope_SCOPE_HOST {
		req.Upstreams = s.Balancer.Used(sent)
	}
	if c.changes || c.behind {
		at := s.Follower.Position()
		req.Era, req.Revision = at.Era, at.Revision
	}
	resp, err := peer.NewShareProtobufClient("http://"+c.host.Address, s.HTTP).Exchange(ctx, req)
	s.roles.answered(s.Now(), c.host, err == nil)
	if err != nil {
		s.Log.Debug().Err(err).Str("peer", c.host.Name).Msg("sharer: exchange failed")
		return
	}
	s.takeReport(c.host.Name, c.host.DataCentre, resp.Report)
	s.takeStrikes(c.host.Name, resp.Strikes)
	s.takeLimits(c.host.Name, resp.Limits)
	if err := s.takeState(sent, c, resp); err != nil {
		s.Log.Warn().Err(err).Str("peer", c.host.Name).Msg("sharer: answer can't be read")
	}
}

// takeState takes in what a peer knows of the source.
func (s *Sharer) takeState(sent time.Duration, c call, resp *peer.ShareResponse) error {
	cfg, err := decode[matcher.Configuration](resp.Configuration)
	if err != nil {
		return err
	}
	s.Follower.Heard(sent, millis(resp.AgeMs), resp.Version, cfg)
	if !c.behind && !c.changes {
		return nil
	}
	update, err := decode[follower.Update](resp.Changes)
	if err != nil {
		return err
	}
	if update != nil {
		if err := update.Check(); err != nil {
			return err
		}
	}
	at := follower.Position{Era: resp.Era, Revision: resp.Revision}
	s.Follower.Told(sent, &follower.State{
		Peer: c.host.Name, Version: resp.Version, Position: at, Age: millis(resp.AgeMs), ReadAge: millis(resp.ReadAgeMs), Update: update,
	})
	list, err := decode[[]balancer.Upstream](resp.Upstreams)
	if err != nil {
		return err
	}
	if list != nil {
		s.Follower.Listed(*list, at)
	}
	return nil
}

// Exchange implements peer.Share.
func (s *Sharer) Exchange(_ context.Context, req *peer.ShareRequest) (*peer.ShareResponse, error) {
	s.takeReport(req.Host, req.DataCentre, req.Report)
	s.takeStrikes(req.Host, req.Strikes)
	s.takeLimits(req.Host, req.Limits)
	if req.GetReport().GetScope() == peer.Scope_SCOPE_HOST && s.roles.asked(s.Now()) {
		s.Follower.Wake()
	}
	state := s.Follower.State(follower.Position{Era: req.Era, Revision: req.Revision})
	resp := &peer.ShareResponse{
		Host: s.Self, Report: s.report(answering(req.GetReport().GetScope()), req.Host, req.Upstreams), Strikes: s.strikes(), Limits: s.limits(),
		Version: state.Version, Era: state.Era, Revision: state.Revision, AgeMs: state.Age.Milliseconds() + 1, ReadAgeMs: state.ReadAge.Milliseconds() + 1,
	}
	var err error
	if state.Update != nil {
		if resp.Changes, err = json.Marshal(state.Update); err != nil {
			return nil, err
		}
	}
	if !req.Behind {
		return resp, nil
	}
	// Only a host that can't read the source is sent the configuration: a change of
	// it went from each host to all others otherwise, and filled their links.
	resp.Configuration = s.newer(req.Version)
	if state.Update == nil && state.ReadAge < behind {
		if resp.Upstreams, err = json.Marshal(s.Balancer.Listed()); err != nil {
			return nil, err
		}
	}
	return resp, nil
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

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

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

// takeStrikes takes in the crashes that a peer told of.
func (s *Sharer) takeStrikes(host string, list []*peer.Strike) {
	now := time.Now()
	for _, p := range list {
		st, err := tracker.ParseStrike(p.Key, now.Add(millis(p.ExpiresInMs)), p.Cleared)
		if err != nil {
			s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: strike can't be read")
			continue
		}
		s.Suspects.Add(st)
	}
}

func sortByName(hosts []follower.Host) {
	slices.SortFunc(hosts, func(a, b follower.Host) int { return strings.Compare(a.Name, b.Name) })
}
