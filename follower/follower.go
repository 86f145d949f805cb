// Package follower keeps the route table and the list of upstreams in step
// with their source, and knows how old that knowledge is.
//
// Age is counted from the moment at which the last call that was answered had
// been sent, on a clock that goes on while the machine is suspended. What a
// host can't read itself it takes from peers, with their age added.
package follower

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// ErrCompacted means that the source no longer has the changes since a position, or came
// back from a copy since: everything has to be read again.
var ErrCompacted = errors.New("follower: history no longer available")

// Changes is what a source tells.
type Changes struct {
	// Position is where the next call goes on.
	Position
	// Configuration is nil when it has not changed.
	Configuration *matcher.Configuration
	// Listed are upstreams that are new or changed, Gone the ids of those whose
	// entry was removed.
	Listed []balancer.Upstream
	Gone   []string
	// Hosts are entry hosts that are new or changed, HostsGone their names.
	Hosts     []Host
	HostsGone []string
	// Duties are those that changed hands.
	Duties []Duty
}

// Duty is the giving of orders to the engines of a data centre, which one host
// holds at a time.
type Duty struct {
	DataCentre string `json:"dataCentre"`
	// Holder is a host's name; empty when nobody holds it.
	Holder string `json:"holder"`
}

// Host is another entry host.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// Turn tells a host that starts how long to wait before it reads long lists, by the other
// hosts.
type Turn func(others []Host) time.Duration

// Source is where configuration and upstreams are declared.
type Source interface {
	// Load reads everything. Where that is much it waits for its turn before it reads
	// more than the hosts.
	Load(ctx context.Context, turn Turn) (*Changes, error)
	// Changes returns what changed after a position, at once if there is any,
	// else after wait. It returns ErrCompacted when that can't be told.
	Changes(ctx context.Context, after Position, wait time.Duration) (*Changes, error)
	// Configuration reads the configuration alone.
	Configuration(ctx context.Context) (*matcher.Configuration, error)
}

const (
	// pause gathers changes between two calls, since heartbeats of the
	// upstreams would end each waiting call at once. A leaving upstream may get
	// new work for two seconds at most; a fifth of that leaves time for a lost
	// call.
	pause = 400 * time.Millisecond
	// pausePerHost stretches the pause where many hosts read the source, up to
	// mostPause, so that all of them together call it as often as a dozen.
	pausePerHost = 36 * time.Millisecond
	mostPause    = 900 * time.Millisecond
	// wait bounds a call that has nothing to tell, so that the knowledge of a
	// quiet source does not age.
	// Twice that and the pause are below the age from which other hosts read in place
	// of this one, so that a quiet source does not look like one that is away.
	wait = 250 * time.Millisecond
	// slack is how long beyond wait an answer may take: a hundred times the
	// usual, and short enough to try twice before keys have to be doubted.
	slack = 700 * time.Millisecond
	// loadTime bounds the reading of everything: all hosts of a large fleet may start
	// at once and share the link of the source.
	loadTime = 12 * time.Second
	// retry is the pause after a failed call.
	retry = 250 * time.Millisecond
	// fallback is the age of what was read from which a host that relays serve reads
	// the source itself: some exchanges with relays that don't answer, or can't
	// reach the source.
	fallback = 1500 * time.Millisecond
	// leastIdle is the shortest time between two looks whether to fall back.
	leastIdle = 50 * time.Millisecond
	// returning is how long entries that lapsed while the source was away have
	// to come back.
	returning = 2200 * time.Millisecond
)

// Follower is safe for concurrent use. The fields are set before Run.
type Follower struct {
	// Host is this host's name.
	Host     string
	Source   Source
	Balancer *balancer.Balancer
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	// OnChange is called after each change that was taken in; nil is none.
	OnChange func()
	// Reads reports whether this host is to read the source itself. The others are
	// told by peers, and read it only while these are silent or out of date; nil is
	// always.
	Reads func() bool
	// Readers is how many hosts read the source; nil is all of them.
	Readers func() int
	Log     zerolog.Logger

	table atomic.Pointer[matcher.Table]
	// cfg is what table was made of.
	cfg atomic.Pointer[matcher.Configuration]
	// fresh is when the last answered call was sent, on the clock of Now, by
	// this host or by a peer; own is when this host's was. Up to read everything is
	// known, and not the configuration alone.
	fresh, read, own atomic.Int64
	wake             chan struct{}

	mu sync.Mutex
	// position is up to where this host has read, or was told by peers.
	position Position
	// listed is the latest position of a list that a peer told.
	listed Position
	hosts  map[string]Host
	// holders are the hosts that hold duties, by data centre.
	holders map[string]string
	history history
	// newestVersion and newest are what peers know that could not tell it.
	newestVersion int64
	newest        Position
	// missing are upstreams whose entry lapsed while the source was away, with
	// the time from which they are taken as gone.
	missing map[string]time.Duration
	// missingHosts are entry hosts in the same state.
	missingHosts map[string]time.Duration
	outage       bool
	// back is set until the first answer after an outage was taken in.
	back bool
	// reloaded is set after everything was read, until a peer leads on from there.
	reloaded bool
	// forgottenUntil is set while the source, back from a copy, holds an older configuration
	// than is known and may get it again: until then it does not show what is in force.
	forgottenUntil time.Duration
}

// Table is what is in force; nil before the first was read.
func (f *Follower) Table() *matcher.Table { return f.table.Load() }

// Age is how old the knowledge of the configuration is; it is very large before the
// first answer.
func (f *Follower) Age() time.Duration { return f.since(&f.fresh) }

// OwnAge is the age of what this host read itself.
func (f *Follower) OwnAge() time.Duration { return f.since(&f.own) }

// ReadAge is the age of all that is known of the source, read by this host or by a
// peer that told the changes.
func (f *Follower) ReadAge() time.Duration { return f.since(&f.read) }

func (f *Follower) since(at *atomic.Int64) time.Duration {
	t := at.Load()
	if t == 0 {
		return time.Hour
	}
	return f.Now() - time.Duration(t)
}

// Configuration is what is in force; nil before the first was read.
func (f *Follower) Configuration() *matcher.Configuration { return f.cfg.Load() }

// Position is the one of the source up to which this host has read; zero before the
// first.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Hosts returns the other entry hosts that are known.
func (f *Follower) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		out = append(out, h)
	}
	return out
}

// Holder returns the host that holds the duty for a data centre, or "". known is
// false before anything was read.
func (f *Follower) Holder(dataCentre string) (name string, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holders[dataCentre], !f.position.IsZero()
}

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	f.mu.Lock()
	f.hosts = make(map[string]Host)
	f.holders = make(map[string]string)
	f.missing = make(map[string]time.Duration)
	f.missingHosts = make(map[string]time.Duration)
	f.wake = make(chan struct{}, 1)
	f.mu.Unlock()
	for ctx.Err() == nil {
		next := f.pause()
		if f.served() {
			next = max(leastIdle, fallback-f.ReadAge())
		} else if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.lost(err)
			next = retry
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(next):
		}
	}
}

// Wake makes Run look at once whether to read the source.
func (f *Follower) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// served reports whether peers tell this host what changes.
func (f *Follower) served() bool {
	return f.Reads != nil && !f.Reads() && !f.outdated() && f.ReadAge() < fallback
}

// outdated reports whether a peer knows more than this host that it could not tell, or
// entries that lapsed in an outage may still come back.
func (f *Follower) outdated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table.Load()
	return t == nil || t.Version < f.newestVersion || f.position.Before(f.newest) || f.unsettled()
}

// unsettled reports whether entries that lapsed may still come back. f.mu is held.
func (f *Follower) unsettled() bool { return len(f.missing)+len(f.missingHosts) > 0 }

// pause is the time between two calls. The source counts each call and serves
// only so many: the more hosts ask, the less often each of them does.
func (f *Follower) pause() time.Duration {
	readers := len(f.Hosts()) + 1
	if f.Readers != nil {
		readers = f.Readers()
	}
	return min(mostPause, max(pause, pausePerHost*time.Duration(readers)))
}

func (f *Follower) step(ctx context.Context) error {
	sent := f.Now()
	f.mu.Lock()
	after := f.position
	f.mu.Unlock()
	if after.IsZero() {
		return f.reload(ctx, sent)
	}
	call, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	if f.lacksConfiguration() {
		return f.readConfiguration(call, sent)
	}
	ch, err := f.Source.Changes(call, after, wait)
	if errors.Is(err, ErrCompacted) {
		f.Log.Info().Int64("revision", after.Revision).Int64("era", after.Era).Msg("follower: history is gone, reading everything")
		return f.reload(ctx, f.Now())
	}
	if err != nil {
		return err
	}
	f.regained()
	f.take(ch, sent)
	return nil
}

// lacksConfiguration reports whether a newer configuration is all that peers could not
// tell this host.
func (f *Follower) lacksConfiguration() bool {
	if f.Reads == nil || f.Reads() || f.ReadAge() >= fallback {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table.Load()
	return t != nil && t.Version < f.newestVersion && !f.position.Before(f.newest) && !f.unsettled()
}

// readConfiguration reads the configuration alone: entries of a large fleet, which are
// written again all the time, are many times as long.
func (f *Follower) readConfiguration(ctx context.Context, sent time.Duration) error {
	cfg, err := f.Source.Configuration(ctx)
	if err != nil {
		return err
	}
	f.regained()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.configure(cfg)
	f.own.Store(int64(sent))
	f.recall(cfg)
	f.proveFresh(sent)
	return nil
}

// recall notes that the source holds a configuration again that is as new as any known.
// f.mu is held.
func (f *Follower) recall(cfg *matcher.Configuration) {
	if cfg != nil && cfg.Version >= f.newestKnown() {
		f.forgottenUntil = 0
	}
}

// newestKnown is the version of the newest configuration that this host or a peer knows.
// f.mu is held.
func (f *Follower) newestKnown() int64 {
	if t := f.table.Load(); t != nil {
		return max(f.newestVersion, t.Version)
	}
	return f.newestVersion
}

// proveFresh notes that the configuration was in force at a time. f.mu is held.
func (f *Follower) proveFresh(at time.Duration) {
	if f.Now() >= f.forgottenUntil {
		f.fresh.Store(max(f.fresh.Load(), int64(at)))
	}
}

func (f *Follower) reload(ctx context.Context, sent time.Duration) error {
	call, cancel := context.WithTimeout(ctx, loadTime)
	defer cancel()
	ch, err := f.Source.Load(call, f.turn)
	if err != nil {
		return err
	}
	f.regained()
	// What is listed no longer has gone, unless its entry lapsed in an outage.
	listed := make(map[string]bool, len(ch.Listed))
	for i := range ch.Listed {
		listed[ch.Listed[i].ID] = true
	}
	for _, id := range f.Balancer.IDs() {
		if !listed[id] {
			ch.Gone = append(ch.Gone, id)
		}
	}
	f.mu.Lock()
	known := make(map[string]bool, len(ch.Hosts))
	for _, h := range ch.Hosts {
		known[h.Name] = true
	}
	for name := range f.hosts {
		if !known[name] {
			ch.HostsGone = append(ch.HostsGone, name)
		}
	}
	held := make(map[string]bool, len(ch.Duties))
	for _, d := range ch.Duties {
		held[d.DataCentre] = true
	}
	for dc := range f.holders {
		if !held[dc] {
			ch.Duties = append(ch.Duties, Duty{DataCentre: dc})
		}
	}
	was := f.position
	f.reconcile(ch)
	f.mu.Unlock()
	inForce := f.take(ch, sent)
	f.mu.Lock()
	f.reloaded = inForce
	f.mu.Unlock()
	f.Log.Info().Int64("revision", ch.Revision).Int64("era", ch.Era).Int64("was", was.Revision).Int64("wasEra", was.Era).
		Bool("inForce", inForce).Msg("follower: everything read")
	return nil
}

// reconcile prepares for a reading of everything at a source that came back from a copy: what
// it lacks may be written again, and what it holds may be older than what is known. f.mu is
// held.
func (f *Follower) reconcile(ch *Changes) {
	t := f.table.Load()
	if t != nil && ch.Era == 0 && ch.Before(f.position) {
		// It does not say that it came back, but has lost what this host knows.
		f.position, f.listed, f.newest, f.history = Position{}, Position{}, Position{}, history{}
	}
	f.Balancer.KeepLeaving(ch.Listed)
	if f.position.IsZero() || ch.Era <= f.position.Era {
		return
	}
	f.back = true
	if newest := f.newestKnown(); ch.Configuration == nil || ch.Configuration.Version < newest {
		f.forgottenUntil = f.Now() + returning
		f.Log.Warn().Int64("version", newest).Msg("follower: source has forgotten the newest configuration")
	}
}

// loadSlot is the time between two hosts that begin to read long lists: about what some
// thousand entries take through the link of the source.
const loadSlot = 16 * time.Millisecond

// turn has the hosts of a large fleet that start together read long lists one after the
// other. All at once they would be through so late that what changed meanwhile is as
// long again.
func (f *Follower) turn(others []Host) time.Duration {
	rank, before := xxhash.Sum64String(f.Host), 0
	for _, h := range others {
		if xxhash.Sum64String(h.Name) < rank {
			before++
		}
	}
	return time.Duration(before) * loadSlot
}

func (f *Follower) lost(err error) {
	f.mu.Lock()
	was := f.outage
	f.outage = true
	f.mu.Unlock()
	if !was {
		f.Log.Warn().Err(err).Dur("age", f.Age()).Msg("follower: source lost")
	}
}

// regained notes the end of an outage. Entries lapse while the source is away
// and are written again by upstreams that live; dropping them at once would
// leave callers without upstreams for as long.
func (f *Follower) regained() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		f.Log.Info().Dur("age", f.Age()).Msg("follower: source regained")
		f.outage = false
		f.back = true
	}
}

// take puts changes in force that this host read, unless it knows of later ones, and
// reports whether it did.
func (f *Follower) take(ch *Changes, sent time.Duration) bool {
	f.mu.Lock()
	f.configure(ch.Configuration)
	f.own.Store(int64(sent))
	// A peer may have told of later changes while the call was under way.
	f.recall(ch.Configuration)
	current := !ch.Before(later(f.position, f.listed))
	if current {
		gone, hostsGone, back := f.lapse(ch)
		f.advance(&Update{
			After: f.position, Position: ch.Position, Listed: ch.Listed, Gone: gone,
			Hosts: ch.Hosts, HostsGone: hostsGone, Duties: ch.Duties,
		}, back, sent)
		f.proveFresh(sent)
	}
	f.mu.Unlock()
	if current && f.OnChange != nil {
		f.OnChange()
	}
	return current
}

// lapse returns the upstreams and hosts that are gone for good, and the upstreams that came
// back whose entry had lapsed in an outage. f.mu is held.
func (f *Follower) lapse(ch *Changes) (gone, hostsGone []string, back []balancer.Upstream) {
	now := f.Now()
	// Only the first answer tells of entries that lapsed in the outage. One that is
	// removed later left. Those of hosts lapse in an outage as their leases do; a copy
	// may lack them though they live.
	gone = keepMissing(f.missing, ch.Gone, f.back, now)
	hostsGone = keepMissing(f.missingHosts, ch.HostsGone, f.back && ch.Era > f.position.Era, now)
	f.back = false
	for i := range ch.Listed {
		if _, missing := f.missing[ch.Listed[i].ID]; missing {
			back = append(back, ch.Listed[i])
			delete(f.missing, ch.Listed[i].ID)
		}
	}
	for _, h := range ch.Hosts {
		delete(f.missingHosts, h.Name)
	}
	return append(gone, overdue(f.missing, now)...), append(hostsGone, overdue(f.missingHosts, now)...), back
}

// keepMissing keeps those that are gone as missing where they may come back, and returns the others.
func keepMissing(missing map[string]time.Duration, gone []string, back bool, now time.Duration) []string {
	if !back {
		return gone
	}
	for _, id := range gone {
		missing[id] = now + returning
	}
	return nil
}

// overdue takes out those that did not come back in time.
func overdue(missing map[string]time.Duration, now time.Duration) []string {
	var out []string
	for id, until := range missing {
		if until <= now {
			out = append(out, id)
			delete(missing, id)
		}
	}
	return out
}

// advance puts an update in force that shows what the source held at a time, and
// remembers what it changed and what came back: peers without an outage of their own
// dropped that. f.mu is held.
func (f *Follower) advance(u *Update, back []balancer.Upstream, at time.Duration) {
	for _, h := range u.Hosts {
		f.hosts[h.Name] = h
	}
	for _, name := range u.HostsGone {
		delete(f.hosts, name)
	}
	for _, d := range u.Duties {
		f.holders[d.DataCentre] = d.Holder
	}
	u.Listed, u.Gone = f.Balancer.List(u.Listed, u.Gone)
	u.Listed = withBack(u.Listed, back)
	f.position = u.Position
	f.history.add(u)
	f.read.Store(max(f.read.Load(), int64(at)))
}

// withBack is a list with upstreams that came back, each once.
func withBack(list, back []balancer.Upstream) []balancer.Upstream {
	if len(back) == 0 {
		return list
	}
	ids := make(map[string]bool, len(back))
	for i := range back {
		ids[back[i].ID] = true
	}
	list = slices.DeleteFunc(list, func(l balancer.Upstream) bool { return ids[l.ID] })
	return append(list, back...)
}

// configure puts a configuration in force unless a newer one is. f.mu is held.
func (f *Follower) configure(cfg *matcher.Configuration) {
	if cfg == nil {
		return
	}
	old := f.table.Load()
	if old != nil && old.Version >= cfg.Version {
		return
	}
	t := matcher.New(cfg)
	f.cfg.Store(cfg)
	f.table.Store(t)
	f.Balancer.Configure(t.Services)
	f.Log.Info().Int64("version", cfg.Version).Int("routes", len(cfg.Routes)).Msg("follower: configuration in force")
}
