// Package sharer exchanges soft state with the other entry hosts: the requests each has in flight
// per upstream, what the source holds and how stale that knowledge is, the limits that upstreams
// name, and which requests were in flight when upstreams crashed. All of it may be lost, since the
// next exchanges restore it.
//
// Hosts exchange with a few relays of their data centre, which aggregate reports and read the
// source. Relays also exchange with those of other data centres. Each host derives who is a relay
// from the list of hosts and from which of them respond.
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

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// exchangeInterval is the time between two exchanges with a host while there are few hosts: a
	// tenth of the lifetime of a stream.
	exchangeInterval = 200 * time.Millisecond
	// intervalPerHost lengthens the interval, so that a relay spends a fixed share of its CPU on
	// the hosts of its data centre however many there are.
	intervalPerHost = 10 * time.Millisecond
	// intervalPerRemoteRelay is the same for the relays of other data centres. Traffic between data
	// centres is paid for and matters less, since callers stay in their own data centre where they
	// can.
	intervalPerRemoteRelay = 50 * time.Millisecond
	// exchangeTimeout bounds one exchange: a hundred times the round-trip time.
	exchangeTimeout = 300 * time.Millisecond
	// staleAge is the staleness of what was read from which a host is no source for others. It is
	// also the time within which a host must know that an upstream leaves.
	staleAge = 2 * time.Second
	// askAge is the staleness from which a host asks others for what they read. One round and one
	// exchange later it knows what they know.
	askAge = staleAge - exchangeInterval - exchangeTimeout
	// maxSources is how many other hosts a stale host asks at once for what they read. More than
	// one, because any of them may be stale as well.
	maxSources = 2
	// maxStrikes bounds the strikes sent in one exchange: 2 KB.
	maxStrikes = 32
	// maxLimits bounds the upstream limits sent in one exchange: 3 KB.
	maxLimits = 64
	// startupInterval is the time between two checks whether the source was first read.
	startupInterval = 10 * time.Millisecond
)

// Sharer exchanges state with other hosts and serves their calls as a peer.Share. The exported
// fields are set before Run.
type Sharer struct {
	// Self is the name of this host, DataCentre the data centre it is in.
	Self       string
	DataCentre string
	Follower   *follower.Follower
	Balancer   *balancer.Balancer
	// Demands counts what callers ask for; nil means that it is neither reported nor received.
	Demands *admitter.Demands
	// Suspects keeps the strikes against requests that were in flight when an upstream crashed.
	Suspects *tracker.Suspects
	// Isolator keeps the parts of prompts that crash upstreams; nil means that they are neither told nor taken.
	Isolator *isolator.Isolator
	// Now reads a clock that keeps running while the machine is suspended.
	Now  func() time.Duration
	HTTP *http.Client
	Log  zerolog.Logger

	roles          roles
	configurations configurations
	mu             sync.Mutex
	// inProgress holds the names of the hosts with which an exchange is in progress.
	inProgress map[string]bool
	// ahead is the name of a host that knows more of the source than this one.
	ahead string
	// rotation advances with each round, so that hosts are asked in turn.
	rotation int
	// remoteCalledAt is when relays of other data centres were last called.
	remoteCalledAt time.Duration
	// invalidLogged holds the names of the hosts whose invalid reports or limits were logged.
	invalidLogged map[string]bool
	// heardFromHost is set once another host answered or called.
	heardFromHost atomic.Bool
	// hostsKnownAt is when other hosts were first known; 0 means that none are known yet.
	hostsKnownAt atomic.Int64
}

// Run exchanges state with other hosts until ctx ends.
func (s *Sharer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		// Without a list of hosts this one would take itself for the reader of its data centre and
		// read the source again right after its first read.
		if s.Follower.Position().IsZero() {
			select {
			case <-ctx.Done():
			case <-time.After(startupInterval):
			}
			continue
		}
		hosts := s.Follower.Hosts()
		if len(hosts) > 0 {
			s.hostsKnownAt.CompareAndSwap(0, int64(s.Now()))
		}
		p := s.updateRole(hosts)
		s.keepDemands(p.relay)
		calls := s.calls(p)
		if s.Follower.OwnAge() > askAge && s.Follower.ReadAge() > askAge && !s.Follower.AwaitsPeer() {
			calls = requestFull(calls, s.sources(hosts))
		}
		for _, h := range s.roles.dueProbes(s.Now()) {
			calls = append(calls, call{host: h})
		}
		for _, c := range calls {
			s.startExchange(ctx, c)
		}
		if s.roles.takeOver(s.Now(), s.Follower.ReadAge()) {
			s.Follower.Wake()
		}
		select {
		case <-ctx.Done():
		case <-time.After(min(s.roundInterval(p), untilAsk(s.Follower.ReadAge()))):
		}
	}
}

// call is an exchange to start.
type call struct {
	host  follower.Host
	scope peer.Scope
	// full asks for everything the peer knows; changes asks for what changed at the source after
	// this host's position.
	full, changes bool
}

// calls returns the exchanges of one round. Of two relays in different data centres, the one whose
// name sorts first calls the other.
func (s *Sharer) calls(p plan) []call {
	if !p.relay {
		if len(p.localRelays) == 0 {
			return nil
		}
		return []call{{host: p.localRelays[s.advanceRotation(1)%len(p.localRelays)], scope: peer.Scope_SCOPE_HOST, changes: true}}
	}
	var out []call
	for _, h := range p.localRelays {
		out = append(out, call{host: h, scope: peer.Scope_SCOPE_HOST, changes: true})
	}
	if !s.remoteCallDue(max(hostsInterval(p.localHosts), time.Duration(len(p.remoteRelays))*intervalPerRemoteRelay)) {
		return out
	}
	for _, h := range p.remoteRelays {
		if s.Self < h.Name {
			out = append(out, call{host: h, scope: peer.Scope_SCOPE_DATA_CENTRE})
		}
	}
	return out
}

// remoteCallDue reports whether relays of other data centres, which are called at an interval, are to
// be called in this round, and if so records the time.
func (s *Sharer) remoteCallDue(interval time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Now()
	// Half an interval of tolerance, because rounds start a little after they are due.
	if now-s.remoteCalledAt < interval-exchangeInterval/2 {
		return false
	}
	s.remoteCalledAt = now
	return true
}

// roundInterval returns the time between two rounds. A host that is no relay calls one relay in
// each round, in turn, and so exchanges with all of them within one interval. A relay calls only
// other relays; what it gets from the one that reads the source must be as recent in a large data
// centre as in a small one, else both read the source.
func (s *Sharer) roundInterval(p plan) time.Duration {
	if p.relay {
		return exchangeInterval
	}
	return hostsInterval(p.localHosts) / time.Duration(max(1, len(p.localRelays)))
}

// hostsInterval returns the time between two exchanges of a relay with one of the hosts of its data
// centre, and with the relays of another one.
func hostsInterval(localHosts int) time.Duration {
	return max(exchangeInterval, time.Duration(localHosts)*intervalPerHost)
}

// advanceRotation adds n to the rotation and returns its value before.
func (s *Sharer) advanceRotation(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.rotation
	s.rotation += n
	return before
}

// startExchange starts an exchange unless one with the same host is in progress.
func (s *Sharer) startExchange(ctx context.Context, c call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inProgress == nil {
		s.inProgress = make(map[string]bool)
	}
	if s.inProgress[c.host.Name] {
		return
	}
	s.inProgress[c.host.Name] = true
	go func() {
		s.exchange(ctx, c)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inProgress, c.host.Name)
	}()
}

// exchange makes one call and applies the answer.
func (s *Sharer) exchange(ctx context.Context, c call) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := s.Now()
	req := &peer.ShareRequest{Host: s.Self, DataCentre: s.DataCentre, Report: s.report(c.scope, c.host.Name, nil), Behind: c.full, Strikes: s.strikes(), Limits: s.limits(), PromptParts: s.promptParts(), Losses: s.losses(), AnsweredParts: s.answeredParts()}
	req.Version, req.ConfigurationDigest = s.Follower.ConfigurationDigest()
	if c.scope == peer.Scope_SCOPE_HOST {
		req.Upstreams = s.Balancer.SubsetIDs(sent)
	}
	if c.changes || c.full {
		at := s.Follower.Position()
		req.Era, req.Revision = at.Era, at.Revision
	}
	resp, err := peer.NewShareProtobufClient("http://"+c.host.Address, s.HTTP).Exchange(ctx, req)
	s.roles.noteResult(s.Now(), c.host, err == nil)
	if err != nil {
		s.Log.Debug().Err(err).Str("peer", c.host.Name).Msg("sharer: exchange failed")
		return
	}
	s.applyReport(c.host.Name, c.host.DataCentre, resp.Report)
	s.applyStrikes(c.host.Name, resp.Strikes)
	s.applyLosses(resp.Losses)
	s.applyAnsweredParts(resp.AnsweredParts)
	s.applyPromptParts(resp.PromptParts)
	s.applyLimits(c.host.Name, resp.Limits)
	if err := s.applyState(sent, c, resp); err != nil {
		s.Log.Warn().Err(err).Str("peer", c.host.Name).Msg("sharer: invalid answer from peer")
	}
}

// applyState applies what a peer knows of the source.
func (s *Sharer) applyState(sent time.Duration, c call, resp *peer.ShareResponse) error {
	if err := s.applyConfiguration(sent, c.host.Name, resp); err != nil {
		return err
	}
	if !c.full && !c.changes {
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
	s.Follower.ApplyPeerState(sent, &follower.State{
		Peer: c.host.Name, Version: resp.Version, Position: at, Age: millis(resp.AgeMs), ReadAge: millis(resp.ReadAgeMs), Update: update,
		ChangeFollows: resp.ConfigurationFollows, Receiving: resp.ReceivingLongAnswer,
	})
	list, err := decode[[]balancer.Upstream](resp.Upstreams)
	if err != nil {
		return err
	}
	if list != nil {
		s.Follower.ApplyPeerUpstreams(*list, at)
	}
	return nil
}

// Exchange implements peer.Share: it applies what the calling host sent, and answers with the state
// of this host.
func (s *Sharer) Exchange(ctx context.Context, req *peer.ShareRequest) (*peer.ShareResponse, error) {
	s.applyReport(req.Host, req.DataCentre, req.Report)
	s.applyStrikes(req.Host, req.Strikes)
	s.applyLosses(req.Losses)
	s.applyAnsweredParts(req.AnsweredParts)
	s.applyPromptParts(req.PromptParts)
	s.applyLimits(req.Host, req.Limits)
	if req.GetReport().GetScope() == peer.Scope_SCOPE_HOST && s.roles.noteRelayCall(s.Now()) {
		s.Follower.Wake()
	}
	at := follower.Position{Era: req.Era, Revision: req.Revision}
	s.noteAhead(req.Host, at)
	state := s.Follower.State(at)
	resp := &peer.ShareResponse{
		Host: s.Self, Report: s.report(answerScope(req.GetReport().GetScope()), req.Host, req.Upstreams), Strikes: s.strikes(), Limits: s.limits(), PromptParts: s.promptParts(), Losses: s.losses(), AnsweredParts: s.answeredParts(),
		Version: state.Version, Era: state.Era, Revision: state.Revision, AgeMs: state.Age.Milliseconds() + 1, ReadAgeMs: state.ReadAge.Milliseconds() + 1,
		ReceivingLongAnswer: state.Receiving,
	}
	var err error
	if state.Update != nil {
		if resp.Changes, err = json.Marshal(state.Update); err != nil {
			return nil, err
		}
	}
	if hold := s.addConfiguration(resp, req); hold > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(hold):
		}
	}
	if len(resp.ConfigurationChange)+len(resp.CompressedConfiguration) > 0 {
		markCompressed(ctx)
	}
	if !req.Behind {
		return resp, nil
	}
	if state.Update == nil && state.ReadAge < staleAge {
		if resp.Upstreams, err = json.Marshal(s.Balancer.Upstreams()); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

// decode parses JSON; it returns nil for empty input.
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

// strikes returns the strikes to send to a peer, the newest first.
func (s *Sharer) strikes() []*peer.Strike {
	now := time.Now()
	list := s.Suspects.Newest(now, maxStrikes)
	out := make([]*peer.Strike, len(list))
	for i, st := range list {
		out[i] = &peer.Strike{Key: st.Key(), ExpiresInMs: st.Expires.Sub(now).Milliseconds(), Cleared: st.Cleared}
	}
	return out
}

// applyStrikes adds the strikes sent by a peer.
func (s *Sharer) applyStrikes(host string, list []*peer.Strike) {
	now := time.Now()
	for _, p := range list {
		st, err := tracker.ParseStrike(p.Key, now.Add(millis(p.ExpiresInMs)), p.Cleared)
		if err != nil {
			s.Log.Warn().Err(err).Str("peer", host).Msg("sharer: invalid strike from peer, ignored")
			continue
		}
		s.Suspects.Add(st)
	}
}

func sortByName(hosts []follower.Host) {
	slices.SortFunc(hosts, func(a, b follower.Host) int { return strings.Compare(a.Name, b.Name) })
}
