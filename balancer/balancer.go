// Package balancer chooses the upstreams of a request: one upstream for a plain service, or
// a path of engines that run a model's layers in turn.
//
// It decides from the list of upstreams, from what this host has in flight, from what its
// own requests observed, and from the reports of other hosts. It does no I/O. Callers pass
// the time, as read from a monotonic clock.
package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// Span is the half-open range [From, To) of layers that an upstream holds.
type Span struct {
	From int `json:"from"`
	// To is the layer after the last one.
	To int `json:"to"`
}

// Len returns the number of layers; an inverted range has none.
func (s Span) Len() int { return max(0, s.To-s.From) }

// maxLayers bounds the layers of a model.
const maxLayers = 1 << 16

// Check returns an error unless the range may be one of a model's layers; it may be empty.
func (s Span) Check() error {
	if s.From < 0 || s.To < s.From || s.To > maxLayers {
		return fmt.Errorf("layers %d-%d, expected an ascending range within 0-%d", s.From, s.To, maxLayers)
	}
	return nil
}

// Upstream is an upstream's entry in the list.
type Upstream struct {
	// ID identifies one incarnation, which is one run of the upstream's process. Where an id is
	// reused, StartedAt distinguishes the incarnations.
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"dataCentre"`
	// Slots is how many requests it runs at once.
	Slots int `json:"slots"`
	// Leaving is set when the upstream takes no new work.
	Leaving bool `json:"leaving"`
	// Card is its kind of accelerator; empty where the service names none.
	Card string `json:"card"`
	// Layers are the layers that it has loaded; empty when it has none or needs none.
	Layers Span `json:"holds"`
	// StartedAt is when it was started, in Unix milliseconds.
	StartedAt int64 `json:"born"`
	// Sequence is the number of this entry among those that the incarnation has written, from 1; 0
	// if unknown.
	Sequence int64 `json:"sequence,omitempty"`
}

// Hop is one upstream of a path with the layers it runs. From and To are 0 for a plain service.
type Hop struct {
	ID, Address string
	// From is the first layer, To the layer after the last one.
	From, To int
}

// Lease is a chosen path with its reserved capacity. The holder must call Release once.
type Lease struct {
	// First is the hop that the request is sent to. It stays the same when the path changes.
	First Hop
	// StartedAt is when the upstream of First was started, in Unix milliseconds.
	StartedAt int64
	// DataCentre is the data centre of First.
	DataCentre string
	// hops is the whole path. It may change while the lease is held; read it through
	// Balancer.Path.
	hops []Hop
	// Throttled lists the upstreams that were skipped because their rate limit had no capacity,
	// Withheld those that were skipped because of a backoff.
	Throttled, Withheld []string
	// requirements are those that the lease was acquired for.
	requirements Requirements
	// tokens is the capacity reserved on each hop, in tokens for each layer.
	tokens float64
	// started is set once the stream has had its first event, released once its capacity is free.
	started, released bool
	// returning holds the upstreams of the path whose backoff was over when the lease was
	// acquired. accepted is set once they have not rejected the request.
	returning []*announcement
	accepted  bool
}

// Requirements describes what a request needs of its upstreams.
type Requirements struct {
	Service string
	// Definition is the service as the request found it. It counts for a stream in progress whose service the configuration
	// no longer has; nil means that such a stream finds no path.
	Definition *matcher.Service
	// PromptTokens and AnswerTokens are the expected numbers; 0 for a plain service.
	PromptTokens, AnswerTokens float64
	// Avoid lists the upstreams that failed this request.
	Avoid []string
	// AllowedFirst lists the upstreams that the request may be sent to; nil allows any.
	AllowedFirst []string
	// AvoidDataCentres lists data centres whose upstreams are left out; nil leaves out none.
	AvoidDataCentres []string
	// InProgress is set for a stream that has begun and needs a path to continue on. It may use
	// the capacity that is otherwise kept free.
	InProgress bool
	// AvoidReturning leaves out upstreams that asked this host or another one for a backoff and
	// have not accepted a request since. It is set for a request that was rejected once already.
	AvoidReturning bool
	// HasConnection reports whether this host has an idle connection to an address; nil means that
	// no upstream is preferred for that.
	HasConnection func(address string) bool
	// FirstEventTarget is the wanted time to the first event of the answer's stream; 0 when that
	// is not known.
	FirstEventTarget time.Duration
	// KeepFree is the share of each upstream's capacity that the request leaves to more urgent
	// ones, from 0 to 1.
	KeepFree float64
}

//go:generate enumer -type Reason -trimprefix Reason -transform title-lower -output reason_gen.go

// Reason is why no upstream could be acquired.
type Reason int

// The reasons of Acquire.
const (
	// ReasonNone means that a lease was acquired.
	ReasonNone Reason = iota
	// ReasonNoUpstream means that no upstream is usable, or no path covers all layers.
	ReasonNoUpstream
	// ReasonNoRoom means that all upstreams that could run the request are full.
	ReasonNoRoom
	// ReasonLimit means that all upstreams that could run the request are full or have
	// reached their rate limit.
	ReasonLimit
	// ReasonBackoff means that all upstreams that could run the request are full or have asked
	// for a backoff.
	ReasonBackoff
)

// upstream is a list entry with all that this host knows of the upstream.
type upstream struct {
	Upstream
	// firstHopRequests counts requests of this host whose first hop it is, requests those
	// whose path it is on.
	firstHopRequests, requests int
	// capacity is the number of token-layers that fit in its memory beside the layers, and
	// reserved how many of them this host's requests take. A token-layer is the cache of one
	// token in one layer.
	capacity, reserved float64
	// ejectedUntil keeps new work off it after a failure that the list doesn't show yet.
	ejectedUntil time.Duration
	// suspectUntil is until when its cost is raised after an ejection, unless a stream starts.
	suspectUntil time.Duration
	// pace is by what factor it is slower than its kind of accelerator, as it reported at
	// paceAt; 0 before the first report.
	pace   float64
	paceAt time.Duration
	// slowEvents counts late events over it since slowSince.
	slowEvents int
	slowSince  time.Duration
	// ejections counts failures in a row that ejected it.
	ejections int
	// dead is set while it accepts no connection; diedAt is when that was last found.
	dead   bool
	diedAt time.Duration
	// deadElsewhere is how many other hosts said so, at the last check of whether it has returned.
	deadElsewhere int64
	// stopped is set while it refuses connections, which shows that its process has ended.
	stopped bool
	// failureRate is the moving average of the share of failed requests.
	failureRate float64
	// load is what it last reported about the requests of all hosts, at loadAt.
	load   Load
	loadAt time.Duration
	// activeStreams counts this host's streams over it that have started; lastEventAt is when
	// the last event of any of them came.
	activeStreams int
	lastEventAt   time.Duration
	// hiddenUsage is the usage in token-layers that no report covered at rejectedAt, when the
	// upstream had no capacity left though this host expected some.
	hiddenUsage float64
	rejectedAt  time.Duration
	// fullUntil is until when a rejection for want of capacity raises the cost of a plain upstream.
	fullUntil time.Duration
	limit     limit
	// unreadable holds the names of the headers that it sent with a value that can't be parsed.
	unreadable []string
	// announcement is nil until the incarnation makes one.
	announcement *announcement
	// othersBackoffUntil is until when a backoff that other hosts reported counts as recent; 0 once
	// a request of this host was accepted.
	othersBackoffUntil time.Duration
	// rank is its sort key in this host's own order of the upstreams. retired is set where the
	// subset keeps it only for requests in flight.
	rank    uint64
	retired bool
}

// Load is what an upstream reports of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Balancer is safe for concurrent use. Set the exported fields before the first call.
type Balancer struct {
	// Host is this host's name. It decides which subset of a large fleet the host uses.
	Host string
	// DataCentre is the data centre of this host.
	DataCentre string
	Policy     picker.Policy
	Rand       *rand.Rand

	mu sync.Mutex
	// hostCounts is the number of other hosts by data centre.
	hostCounts map[string]int
	// baseDelay is the moving average of the time to the first event over paths inside one
	// data centre. linkDelays holds the extra delay of each link between data centres, and
	// localDelays the time to the first event inside each data centre.
	baseDelay   time.Duration
	linkDelays  map[[2]string]*delayAverage
	localDelays map[string]*delayAverage
	// firstEvents holds the recent first events of each data centre.
	firstEvents map[string]*firstEvents
	peerReports reports
	// cutOff is set while this host reaches no upstream.
	cutOff bool
	spread spread
	// lateShares holds the share of late streams over each data centre.
	lateShares map[string]*lateShare
	services   map[string]*matcher.Service
	upstreams  map[string]*upstream
	byAddress  map[string]*upstream
	// lastEntries holds the newest entry of each upstream by id, removedEntries the ids among them
	// that were removed, the earliest first, maxRemovedEntries at most.
	lastEntries    map[string]*lastEntry
	removedEntries []string
	// outdated holds ignored entries for OutdatedEntries, outdatedCount counts them all.
	outdated      []OutdatedEntry
	outdatedCount int64
	subset        subset
	pipes         pipeBudgets
	// limited holds the upstreams that have named a rate limit.
	limited map[string]*upstream
	// limitedSent counts requests sent to upstreams with a limit in force, throttledCount
	// requests that skipped an upstream because its limit had no capacity.
	limitedSent, throttledCount int64
	// capacities holds the last results of Capacity by service.
	capacities map[string]serviceCapacity
	// announced holds the announcements of incarnations, also of those that are not listed now,
	// backingOff those whose backoff was not yet returned by EndedBackoffs.
	announced, backingOff map[incarnation]*announcement
	// backoffCount counts the backoffs, withheldCount the requests that skipped an upstream
	// because of one.
	backoffCount, withheldCount int64
	// leavingCount counts the incarnations that announced that they leave.
	leavingCount int64
	// hostDataCentres maps the other hosts to their data centres. hostsVersion counts its
	// changes. The change to hostsVersionSeen was first seen at hostsChangedAt.
	hostDataCentres                map[string]string
	hostsVersion, hostsVersionSeen int64
	hostsChangedAt                 time.Duration
}

// Configure sets the services, by name.
func (b *Balancer) Configure(services map[string]*matcher.Service) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services, b.capacities = services, nil
	for _, u := range b.upstreams {
		u.updateCapacity(services[u.Service])
	}
	b.subset.stale = true
}

// updateCapacity computes the capacity that the held layers leave for requests. It stays as it was where the configuration
// does not have the service, since streams in progress may use it.
func (u *upstream) updateCapacity(s *matcher.Service) {
	if s == nil {
		return
	}
	u.capacity = 0
	if s.Engine == nil {
		return
	}
	e := s.Engine
	free := CardOf(e, u.Card).MB - float64(u.Layers.Len())*e.LayerMB
	u.capacity = max(0, free*1e6/(e.TokenBytes/float64(e.Layers)))
}

// CardOf returns the kind of accelerator of that name. Where the service names no kinds, the result has memory for twice
// the whole model and runs at the declared speed. Where it names others only, the result has no memory: what the
// upstream can hold is not known.
func CardOf(e *matcher.Engine, name string) matcher.Card {
	for _, c := range e.Cards {
		if c.Name == name {
			return c
		}
	}
	out := matcher.Card{Name: name, StepTimeFactor: 1, ReadTimeFactor: 1}
	if len(e.Cards) == 0 {
		out.MB = e.LayerMB * float64(e.Layers) * 2
	}
	return out
}

// Acquire reserves capacity on the cheapest upstreams. The lease is nil unless the reason is
// ReasonNone.
func (b *Balancer) Acquire(now time.Duration, n Requirements) (*Lease, Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.serviceOf(&n)
	if s == nil {
		return nil, ReasonNoUpstream
	}
	if s.Engine == nil || s.Engine.Layers == 0 {
		return b.acquirePlain(now, n)
	}
	b.refreshSubset(now)
	l, reason := b.acquirePath(now, s, n)
	if l == nil && b.widenSubset(now) {
		l, reason = b.acquirePath(now, s, n)
	}
	return l, reason
}

// serviceOf returns the service of a request, nil if the configuration does not have it and the request is not in progress.
func (b *Balancer) serviceOf(n *Requirements) *matcher.Service {
	if s := b.services[n.Service]; s != nil || !n.InProgress {
		return s
	}
	return n.Definition
}

// allowsFirst reports whether the request may be sent to the upstream.
func (n *Requirements) allowsFirst(id string) bool {
	return n.AllowedFirst == nil || slices.Contains(n.AllowedFirst, id)
}

// usable reports whether new work may go to u.
func (u *upstream) usable(now time.Duration, avoid []string) bool {
	return u.reachable(now, avoid) && !u.announcement.withheld(now)
}

// reachable reports whether new work may go to u as soon as its backoff is over.
func (u *upstream) reachable(now time.Duration, avoid []string) bool {
	return !u.Leaving && !u.dead && u.ejectedUntil <= now && !slices.Contains(avoid, u.ID)
}

// Release frees the capacity of a lease.
func (b *Balancer) Release(l *Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l.released {
		return
	}
	b.release(l)
	l.released = true
	for _, a := range l.returning {
		a.returning--
	}
}

func (b *Balancer) release(l *Lease) {
	for i, h := range l.hops {
		u := b.upstreams[h.ID]
		if u == nil {
			continue
		}
		if i == 0 {
			u.firstHopRequests = max(0, u.firstHopRequests-1)
		}
		u.requests = max(0, u.requests-1)
		u.reserved = max(0, u.reserved-l.tokens*float64(h.To-h.From))
		if l.started {
			u.activeStreams = max(0, u.activeStreams-1)
		}
	}
}

// InFlight returns the number of this host's requests whose first hop is the upstream.
func (b *Balancer) InFlight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		return u.firstHopRequests
	}
	return 0
}

// Path returns the current hops of a lease.
func (b *Balancer) Path(l *Lease) []Hop {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(l.hops)
}
