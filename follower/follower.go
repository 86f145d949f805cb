// Package follower keeps the route table and the list of upstreams in sync with the Source, the
// store in which they are declared, and tracks how stale that knowledge is.
//
// Staleness is counted from the moment the last successful call was sent, on a clock that keeps
// running while the machine is suspended. A host that cannot read the source takes changes from its
// peers; its staleness is then theirs plus the time since it sent the call to them.
package follower

import (
	"context"
	"errors"
	"iter"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// ErrCompacted means that the source no longer holds the changes since a position, or was restored
// from a copy after that position. The caller must read everything again.
var ErrCompacted = errors.New("follower: history no longer available")

// Changes holds what changed at the source after a position, or everything it holds after a Load.
type Changes struct {
	// Position is where the next call to Source.Changes continues.
	Position
	// Configuration is nil if it has not changed.
	Configuration *matcher.Configuration
	// Listed holds new or changed upstreams, Removed the ids of those whose entry was removed. They are
	// added by AddUpstream and RemoveUpstream.
	Listed  []balancer.Upstream
	Removed []string
	// Replaced holds entries that another one in Listed or Removed followed. They are applied first: the
	// later one may be a write that the source carried out late.
	Replaced []balancer.Upstream
	// Rewritten holds the ids in Listed whose entry was removed before. They count as removed if the entry
	// in Listed was carried out late.
	Rewritten []string
	// Hosts holds new or changed entry hosts, RemovedHosts the names of those whose entry was
	// removed.
	Hosts        []Host
	RemovedHosts []string
	// Duties holds the data centres whose duty changed hands.
	Duties []Duty
	// Parts is the stored record of isolated parts of prompts; nil if there is none, or no new one.
	Parts []byte

	// listedAt holds the indexes in Listed by id.
	listedAt map[string]int
}

// AddUpstream adds an entry that is later than all added before.
func (c *Changes) AddUpstream(u *balancer.Upstream) {
	c.replace(u.ID)
	if at := slices.Index(c.Removed, u.ID); at >= 0 {
		c.Removed = slices.Delete(c.Removed, at, at+1)
		c.Rewritten = append(c.Rewritten, u.ID)
	}
	if c.listedAt == nil {
		c.listedAt = make(map[string]int)
	}
	c.listedAt[u.ID] = len(c.Listed)
	c.Listed = append(c.Listed, *u)
}

// RemoveUpstream adds the removal of an entry, after all changes added before.
func (c *Changes) RemoveUpstream(id string) {
	c.replace(id)
	c.Removed = append(c.Removed, id)
}

// replace moves the entry of an upstream from Listed to Replaced.
func (c *Changes) replace(id string) {
	at, ok := c.listedAt[id]
	if !ok {
		return
	}
	c.Replaced = append(c.Replaced, c.Listed[at])
	last := len(c.Listed) - 1
	c.Listed[at] = c.Listed[last]
	c.listedAt[c.Listed[at].ID] = at
	c.Listed = c.Listed[:last]
	delete(c.listedAt, id)
}

// Duty is the leadership of a data centre: the one host that holds it gives orders to the engines
// there.
type Duty struct {
	DataCentre string `json:"dataCentre"`
	// Holder is the name of the host; empty if no host holds the duty.
	Holder string `json:"holder"`
}

// Host is another entry host, as it is registered at the source.
type Host struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
}

// LoadDelay returns how long a starting host, given the other hosts, must wait before it reads long
// lists.
type LoadDelay func(others []Host) time.Duration

// Source is the store in which configuration, upstreams and entry hosts are declared.
type Source interface {
	// Load reads everything. If the lists are long, it first reads the hosts and waits for the time
	// that delay returns for them.
	Load(ctx context.Context, delay LoadDelay) (*Changes, error)
	// Changes returns what changed after a position: at once if anything did, else after wait at
	// the latest. It returns ErrCompacted if the source no longer knows these changes.
	Changes(ctx context.Context, after Position, wait time.Duration) (*Changes, error)
	// Configuration reads only the configuration. Unless it is to be fresh, it may be seconds old,
	// which costs the source less.
	Configuration(ctx context.Context, fresh bool) (*matcher.Configuration, error)
}

const (
	// minPollInterval is the shortest pause between two calls. It batches changes, because the
	// heartbeats of the upstreams would otherwise end each long poll at once. A leaving upstream
	// may get new work for at most two seconds; a fifth of that leaves time for one lost call.
	minPollInterval = 400 * time.Millisecond
	// pollIntervalPerReader lengthens the pause, up to maxPollInterval, if many hosts read the
	// source, so that all of them together call it about as often as a dozen hosts would at
	// minPollInterval.
	pollIntervalPerReader = 36 * time.Millisecond
	maxPollInterval       = 900 * time.Millisecond
	// maxLongPollWait bounds a call that has no change to return, so that knowledge of a quiet source
	// does not become stale. Twice maxLongPollWait plus minPollInterval is below the staleness at
	// which other hosts read in place of this one, so that a quiet source does not look
	// unreachable.
	maxLongPollWait = 250 * time.Millisecond
	// responseSlack is how long after that wait an answer may still arrive. It is a hundred
	// times the usual latency, and short enough for two attempts before the configuration is so
	// stale that its API keys are no longer accepted.
	responseSlack = 700 * time.Millisecond
	// loadTimeout bounds one reading of everything. All hosts of a large fleet may start at once
	// and share the bandwidth of the source.
	loadTimeout = 12 * time.Second
	// maxLoggedIDs bounds the ids in a log line.
	maxLoggedIDs = 16
	// retryDelay is the pause after a failed call.
	retryDelay = 250 * time.Millisecond
	// retryDelayPerHost lengthens the pause, up to maxRetryDelay, of hosts that do not usually read
	// the source, so that all together retry about as often as a few hosts would at retryDelay.
	retryDelayPerHost = 40 * time.Millisecond
	maxRetryDelay     = 4 * time.Second
	// fallbackAge is the staleness at which a host that gets changes from its peers reads the source
	// itself. It spans several exchanges with peers that do not answer or cannot reach the source.
	fallbackAge = 1500 * time.Millisecond
	// minFallbackCheckInterval is the shortest time between two checks whether to fall back.
	minFallbackCheckInterval = 50 * time.Millisecond
	// staleReadTerm is how long a host reads a new configuration from copies that may be old. It
	// leaves time for a fresh read before a change must be in force.
	staleReadTerm = 700 * time.Millisecond
)

// Follower keeps a Balancer and a route table in sync with a Source. It is safe for concurrent use.
// The exported fields are set before Run.
type Follower struct {
	// Host is the name of this host.
	Host     string
	Source   Source
	Balancer *balancer.Balancer
	// Now reads a clock that keeps running while the machine is suspended.
	Now func() time.Duration
	// OnChange is called after each change that was applied; nil means no call.
	OnChange func()
	// OnLoad is called after everything was read, before it is applied; nil means no call.
	OnLoad func(ch *Changes)
	// ReadsSource reports whether this host reads the source itself. Other hosts get changes from
	// their peers, and read the source only while these do not answer or are out of date; nil means
	// always.
	ReadsSource func() bool
	// ReaderCount returns how many hosts read the source; nil means all of them.
	ReaderCount func() int
	// HeartbeatInterval is how often each upstream writes its entry; 0 means defaultHeartbeatInterval.
	HeartbeatInterval time.Duration
	Log               zerolog.Logger

	table atomic.Pointer[matcher.Table]
	// cfg is the configuration from which table was built.
	cfg atomic.Pointer[matcher.Configuration]
	// Times on the clock of Now; 0 means never. confirmedAt is when the last successful call that
	// confirmed the configuration was sent, by this host or by a peer. readAt is the same for calls
	// that covered everything and not only the configuration. ownReadAt is when the last successful
	// call of this host was sent.
	confirmedAt, readAt, ownReadAt atomic.Int64
	// peerAnsweredAt is when the last call to a peer that answered was sent.
	peerAnsweredAt atomic.Int64
	// receivingAt is when the last part of a long, still incomplete answer of the source arrived; 0 if
	// none is arriving.
	receivingAt atomic.Int64
	// peerReceivingAt is when a peer last reported that it receives such an answer.
	peerReceivingAt atomic.Int64
	wake            chan struct{}

	mu sync.Mutex
	// position is how far this host has read the source or applied updates of peers.
	position Position
	// peerListPosition is the latest position of a full upstream list sent by a peer.
	peerListPosition Position
	hosts            map[string]Host
	// holders maps each data centre to the host that holds its duty.
	holders map[string]string
	history history
	// newestPeerVersion and newestPeerPosition are the newest ones that peers reported without
	// sending the changes that lead there.
	newestPeerVersion  int64
	newestPeerPosition Position
	// newVersionAt is when a peer first reported newestPeerVersion.
	newVersionAt time.Duration
	// known holds the latest configurations, the oldest first and the one in force last.
	known []knownConfiguration
	// changeDueAt is when this host stops waiting before it reads a configuration that a peer
	// announced; 0 if none was announced since the last one came into force.
	changeDueAt time.Duration
	// missingUpstreams maps upstreams whose entry expired while the source was unreachable to the
	// time at which they count as removed.
	missingUpstreams map[string]time.Duration
	// missingHosts is the same for entry hosts.
	missingHosts map[string]time.Duration
	// outage is set from a failed call to the source until a call succeeds or peers send recent
	// changes.
	outage bool
	// failedAt is when the last call to the source that failed was sent.
	failedAt time.Duration
	// afterOutage is set until the first answer after an outage was applied, restored as well if the
	// source was restored from a copy.
	afterOutage, restored bool
	// reloaded is set after everything was read, until an update of a peer is applied on top of it.
	reloaded bool
	// sourceStaleUntil is set while the source, restored from a copy, holds an older configuration
	// than a known one that may still be written again. Until then its answers do not confirm the
	// configuration in force.
	sourceStaleUntil time.Duration
}

// Table returns the route table in force; nil before the first read.
func (f *Follower) Table() *matcher.Table { return f.table.Load() }

// Age returns the staleness of the configuration. Before the first answer it is one hour.
func (f *Follower) Age() time.Duration { return f.ageOf(&f.confirmedAt) }

// OwnAge returns the staleness of what this host read itself. Before the first answer it is one
// hour.
func (f *Follower) OwnAge() time.Duration { return f.ageOf(&f.ownReadAt) }

// ReadAge returns the staleness of everything known of the source, read by this host or sent as
// changes by a peer. Before the first answer it is one hour.
func (f *Follower) ReadAge() time.Duration { return f.ageOf(&f.readAt) }

// ageOf returns the time since at; one hour if at is unset.
func (f *Follower) ageOf(at *atomic.Int64) time.Duration {
	t := at.Load()
	if t == 0 {
		return time.Hour
	}
	return f.Now() - time.Duration(t)
}

// Configuration returns the configuration in force; nil before the first read.
func (f *Follower) Configuration() *matcher.Configuration { return f.cfg.Load() }

// Position returns how far this host has read the source; zero before the first read.
func (f *Follower) Position() Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Hosts returns the other known entry hosts, in no particular order.
func (f *Follower) Hosts() []Host {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]Host, 0, len(f.hosts))
	for _, h := range f.hosts {
		out = append(out, h)
	}
	return out
}

// Holder returns the host that holds the duty for a data centre, or "" if none does. known is false
// before the first read.
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
	f.missingUpstreams = make(map[string]time.Duration)
	f.missingHosts = make(map[string]time.Duration)
	f.wake = make(chan struct{}, 1)
	f.mu.Unlock()
	for ctx.Err() == nil {
		next, sent := f.pollInterval(), f.Now()
		if f.servedByPeers() {
			next = f.untilFallback()
		} else if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.noteOutage(sent, err)
			next = f.retryInterval()
		} else {
			next = f.untilMissingDue(next)
		}
		select {
		case <-ctx.Done():
		case <-f.wake:
		case <-time.After(next):
		}
	}
}

// Wake makes Run check at once whether to read the source.
func (f *Follower) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// servedByPeers reports whether this host gets changes from its peers and need not read the source.
func (f *Follower) servedByPeers() bool {
	return f.ReadsSource != nil && !f.ReadsSource() && !f.outdated() && f.ReadAge() < f.maxPeerAge()
}

// outdated reports whether a peer knows more than it has sent and will send to this host, or entries that
// expired in an outage may still be written again.
func (f *Follower) outdated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.table.Load()
	return t == nil || (t.Version < f.newestPeerVersion && !f.awaitsChange()) || f.position.Before(f.newestPeerPosition) || f.hasMissing()
}

// hasMissing reports whether entries that expired in an outage may still be written again. f.mu is
// held.
func (f *Follower) hasMissing() bool { return len(f.missingUpstreams)+len(f.missingHosts) > 0 }

// noteSourceVersion clears sourceStaleUntil once the source holds a configuration that is as new as
// any known one. f.mu is held.
func (f *Follower) noteSourceVersion(cfg *matcher.Configuration) {
	if cfg != nil && cfg.Version >= f.newestKnownVersion() {
		f.sourceStaleUntil = 0
	}
}

// newestKnownVersion returns the version of the newest configuration known to this host or a peer.
// f.mu is held.
func (f *Follower) newestKnownVersion() int64 {
	if t := f.table.Load(); t != nil {
		return max(f.newestPeerVersion, t.Version)
	}
	return f.newestPeerVersion
}

// confirmConfiguration records that the configuration was in force at a time, unless the source is
// restored and may hold an older one. f.mu is held.
func (f *Follower) confirmConfiguration(at time.Duration) {
	if f.Now() >= f.sourceStaleUntil {
		f.confirmedAt.Store(max(f.confirmedAt.Load(), int64(at)))
	}
}

// reload reads everything from the source and removes what the source no longer lists.
func (f *Follower) reload(ctx context.Context, sent time.Duration) error {
	call, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	ch, err := f.Source.Load(call, f.loadDelay)
	if err != nil {
		return err
	}
	f.noteRecovery()
	if f.OnLoad != nil {
		f.OnLoad(ch)
	}
	// An upstream that is not listed is removed, unless its entry expired in an outage.
	listed := make(map[string]bool, len(ch.Listed))
	for i := range ch.Listed {
		listed[ch.Listed[i].ID] = true
	}
	for _, id := range f.Balancer.IDs() {
		if !listed[id] {
			ch.Removed = append(ch.Removed, id)
		}
	}
	f.mu.Lock()
	known := make(map[string]bool, len(ch.Hosts))
	for _, h := range ch.Hosts {
		known[h.Name] = true
	}
	for name := range f.hosts {
		if !known[name] {
			ch.RemovedHosts = append(ch.RemovedHosts, name)
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
	before := f.position
	f.reconcile(ch)
	f.mu.Unlock()
	inForce := f.apply(ch, sent)
	f.mu.Lock()
	f.reloaded = inForce
	f.mu.Unlock()
	f.Log.Info().Int64("revision", ch.Revision).Int64("era", ch.Era).Int64("was", before.Revision).Int64("wasEra", before.Era).
		Bool("inForce", inForce).Msg("follower: everything read")
	return nil
}

// reconcile adjusts the state of this host before everything read from a restored source is
// applied: entries that the source lacks may be written again, and those it holds may be older than
// the known ones. f.mu is held.
func (f *Follower) reconcile(ch *Changes) {
	t := f.table.Load()
	if t != nil && ch.Era == 0 && ch.Before(f.position) {
		// The source reports no era, but has lost changes that this host knows.
		f.position, f.peerListPosition, f.newestPeerPosition, f.history = Position{}, Position{}, Position{}, history{}
		f.restored = true
	}
	if f.position.IsZero() || ch.Era <= f.position.Era {
		return
	}
	f.afterOutage, f.restored = true, true
	if newest := f.newestKnownVersion(); ch.Configuration == nil || ch.Configuration.Version < newest {
		f.sourceStaleUntil = f.Now() + reregisterGrace
		f.Log.Warn().Int64("version", newest).Msg("follower: source has forgotten the newest configuration")
	}
}

// loadStagger is the time between two hosts that start to read long lists: about as long as the link
// of the source takes to transfer a thousand entries.
const loadStagger = 16 * time.Millisecond

// loadDelay returns when this host starts to read long lists, so that the hosts of a large fleet
// that start together read them one after another. If all read at once, each would take so long
// that the list of changes made meanwhile would be as long again.
func (f *Follower) loadDelay(others []Host) time.Duration {
	return time.Duration(f.hostsBefore(slices.Values(others))) * loadStagger
}

// hostsBefore returns how many of the other hosts have their turn before this one.
func (f *Follower) hostsBefore(others iter.Seq[Host]) int {
	rank, before := xxhash.Sum64String(f.Host), 0
	for h := range others {
		if xxhash.Sum64String(h.Name) < rank {
			before++
		}
	}
	return before
}

// noteOutage records that a call to the source failed, and logs the start of an outage.
func (f *Follower) noteOutage(sent time.Duration, err error) {
	f.mu.Lock()
	was := f.outage
	f.outage, f.failedAt = true, sent
	f.mu.Unlock()
	if !was {
		f.Log.Warn().Err(err).Dur("age", f.Age()).Msg("follower: source lost")
	}
}

// noteRecovery records the end of an outage. Entries expire while the source is unreachable and are
// written again by upstreams that are alive; removing them at once would leave callers without
// upstreams until then.
func (f *Follower) noteRecovery() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		f.Log.Info().Dur("age", f.Age()).Msg("follower: source reachable again")
		f.outage = false
		f.afterOutage = true
	}
}

// apply puts changes read by this host in force, unless it knows of later ones, and reports whether
// it did.
func (f *Follower) apply(ch *Changes, sent time.Duration) bool {
	f.mu.Lock()
	f.configure(ch.Configuration)
	f.ownReadAt.Store(int64(sent))
	// A peer may have sent later changes while the call was in progress.
	f.noteSourceVersion(ch.Configuration)
	current := !ch.Before(later(f.position, f.peerListPosition))
	if current {
		replaced, _ := f.updateUpstreams(ch.Replaced, nil)
		for i := range ch.Listed {
			if id := ch.Listed[i].ID; slices.Contains(ch.Rewritten, id) && f.Balancer.IsOutdated(&ch.Listed[i]) {
				ch.Removed = append(ch.Removed, id)
			}
		}
		removed, removedHosts, returned := f.resolveMissing(ch)
		for i := range replaced {
			returned = append(returned, replaced[i].ID)
		}
		f.advance(&Update{
			After: f.position, Position: ch.Position, Listed: ch.Listed, Removed: removed,
			Hosts: ch.Hosts, RemovedHosts: removedHosts, Duties: ch.Duties,
		}, returned, sent)
		f.confirmConfiguration(sent)
	}
	f.mu.Unlock()
	if current && f.OnChange != nil {
		f.OnChange()
	}
	return current
}

// resolveMissing returns the upstreams and hosts to remove now, and the upstreams that are listed
// again after their entry expired in an outage. f.mu is held.
func (f *Follower) resolveMissing(ch *Changes) (removed, removedHosts, returned []string) {
	now := f.Now()
	// Only the first answer after an outage lists entries that expired in it; an upstream whose
	// entry is removed later has left. Entries of hosts expire in an outage together with their
	// leases and are removed at once, but a restored source may lack entries of hosts that are
	// alive.
	mayReturn := f.afterOutage && f.mayHaveLapsed(ch)
	until := f.missingUntil()
	removed = deferRemoval(f.missingUpstreams, ch.Removed, mayReturn, until)
	removedHosts = deferRemoval(f.missingHosts, ch.RemovedHosts, f.afterOutage && ch.Era > f.position.Era, until)
	if f.afterOutage && len(ch.Removed) > 0 {
		f.Log.Info().Strs("upstreams", ch.Removed[:min(maxLoggedIDs, len(ch.Removed))]).Int("count", len(ch.Removed)).Bool("mayReturn", mayReturn).
			Dur("unread", f.ReadAge()).Dur("wait", until-now).Msg("follower: entries removed while the source was not reached")
	}
	f.afterOutage, f.restored = false, false
	for i := range ch.Listed {
		if _, missing := f.missingUpstreams[ch.Listed[i].ID]; missing && !f.Balancer.IsOutdated(&ch.Listed[i]) {
			returned = append(returned, ch.Listed[i].ID)
			delete(f.missingUpstreams, ch.Listed[i].ID)
		}
	}
	for _, h := range ch.Hosts {
		delete(f.missingHosts, h.Name)
	}
	return append(removed, takeExpired(f.missingUpstreams, now)...), append(removedHosts, takeExpired(f.missingHosts, now)...), returned
}

// deferRemoval adds removed entries to missing if they may be written again until a time, and returns
// those to remove now.
func deferRemoval(missing map[string]time.Duration, removed []string, mayReturn bool, until time.Duration) []string {
	if !mayReturn {
		return removed
	}
	for _, id := range removed {
		missing[id] = until
	}
	return nil
}

// takeExpired deletes from missing, and returns, the entries that were not written again in time.
func takeExpired(missing map[string]time.Duration, now time.Duration) []string {
	var out []string
	for id, until := range missing {
		if until <= now {
			out = append(out, id)
			delete(missing, id)
		}
	}
	return out
}

// advance applies an update that shows the state of the source at a time, and adds it to the
// history. The returned upstreams go into the history too, because peers that had no outage have
// removed them. f.mu is held.
func (f *Follower) advance(u *Update, returned []string, at time.Duration) {
	for _, h := range u.Hosts {
		// An update of a peer also lists this host.
		if h.Name != f.Host {
			f.hosts[h.Name] = h
		}
	}
	for _, name := range u.RemovedHosts {
		delete(f.hosts, name)
	}
	for _, d := range u.Duties {
		f.holders[d.DataCentre] = d.Holder
	}
	u.Listed, u.Removed = f.updateUpstreams(u.Listed, u.Removed)
	u.Listed = withReturned(u.Listed, f.Balancer.Listed(returned))
	f.Balancer.NoteRemovedEntries(u.RemovedEntries)
	u.RemovedEntries = f.Balancer.RemovedEntries(u.Removed)
	f.position = u.Position
	f.history.add(u)
	f.readAt.Store(max(f.readAt.Load(), int64(at)))
}

// updateUpstreams passes changes to the balancer and logs the entries that it ignored.
func (f *Follower) updateUpstreams(listed []balancer.Upstream, gone []string) (changed []balancer.Upstream, dropped []string) {
	changed, dropped = f.Balancer.UpdateUpstreams(listed, gone)
	for _, o := range f.Balancer.OutdatedEntries() {
		f.Log.Info().EmbedObject(&o).Msg("follower: outdated entry of an upstream ignored")
	}
	return changed, dropped
}

// withReturned returns list with the returned upstreams added, each of them once.
func withReturned(list, returned []balancer.Upstream) []balancer.Upstream {
	if len(returned) == 0 {
		return list
	}
	ids := make(map[string]bool, len(returned))
	for i := range returned {
		ids[returned[i].ID] = true
	}
	list = slices.DeleteFunc(list, func(l balancer.Upstream) bool { return ids[l.ID] })
	return append(list, returned...)
}

// configure puts a configuration in force unless the current one is as new. f.mu is held.
func (f *Follower) configure(cfg *matcher.Configuration) {
	if cfg == nil {
		return
	}
	old := f.table.Load()
	if old != nil && old.Version >= cfg.Version {
		return
	}
	digest := matcher.NewDigest(cfg)
	if k := f.inForce(); k != nil {
		cfg = matcher.ShareRoutes(cfg, digest, k.cfg, k.digest)
	}
	f.putInForce(cfg, digest)
}

// putInForce replaces the configuration in force, and keeps it for peers that have the former one. f.mu
// is held.
func (f *Follower) putInForce(cfg *matcher.Configuration, digest *matcher.Digest) {
	began := f.Now()
	f.known = append(f.known, knownConfiguration{cfg, digest})
	f.known = slices.Clone(f.known[max(0, len(f.known)-maxKnownConfigurations):])
	f.changeDueAt = 0
	t := matcher.New(cfg)
	f.cfg.Store(cfg)
	f.table.Store(t)
	f.Balancer.Configure(t.Services)
	f.Log.Info().Int64("version", cfg.Version).Int("routes", len(cfg.Routes)).Dur("took", f.Now()-began).Msg("follower: configuration in force")
}
