// Package tracker holds the state of the upstreams: which are up, suspect, leaving or down, how
// loaded each is, and which requests are in flight on it.
//
// It combines three sources, none of which is reliable alone: the platform's list (delayed), load
// reports and probes (delayed), and what this host's own requests have just observed. It does no
// I/O and reads no clock; callers pass the time.
package tracker

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/picker"
)

//go:generate enumer -type State -trimprefix State -transform title-lower -json -output state_gen.go

// State says whether an upstream gets new work, and if not, why.
type State int

// The states of an upstream.
const (
	// StateUp means that the upstream gets new work.
	StateUp State = iota
	// StateSuspect means that a request failed on the upstream. It gets new work again after a
	// successful probe or after suspectTimeout.
	StateSuspect
	// StateDown means that a probe or a connection failed. The upstream gets new work again after a
	// successful probe.
	StateDown
	// StateLeaving means that the upstream gets no new work until it reports a newer incarnation.
	StateLeaving
)

const (
	// suspectTimeout is how long a suspect upstream gets no work if no probe succeeds before.
	suspectTimeout = 3 * time.Second
	// freshReportAge is the age up to which a load report counts in full.
	freshReportAge = 2 * time.Second
	// maxReportAge is the age from which a load report no longer counts.
	maxReportAge = 10 * time.Second
	// subsetSize is how many upstreams of a pipeline a host chooses among.
	subsetSize = 64
	// borrowedShare is the fraction of the capacity apparently left free by other hosts that a host
	// may use beyond its even share. Hosts cannot see each other, so with 1 all of them would take
	// the same free slot.
	borrowedShare = 0.5
)

// Load is what an upstream reports about itself.
type Load struct {
	// Incarnation increases with each start of the upstream.
	Incarnation int64 `json:"incarnation"`
	// Running and Queued count the sequences or requests on the upstream.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving is set when the upstream takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// upstream is the configuration and the observed state of one upstream.
type upstream struct {
	cfg         builder.Upstream
	accelerator builder.Accelerator

	incarnation int64
	state       State
	stateSince  time.Time
	// downAt is when the upstream last went down.
	downAt time.Time
	// probersDown is set while the probers of the upstream report it as down.
	probersDown bool
	// leavingIncarnation is the incarnation that is leaving; 0 means none.
	leavingIncarnation int64
	// leavePending is set if the upstream is leaving and its incarnation is not known yet.
	leavePending bool

	// inFlight counts the sequences that this host has in flight on the upstream.
	inFlight int
	requests map[string]inFlightRequest
	// lastLoad is the last report, loadAt when it arrived; both are valid if hasLoad is set.
	lastLoad Load
	loadAt   time.Time
	hasLoad  bool
	// inFlightAverage is inFlight smoothed over time, othersAverage the smoothed load of other
	// hosts according to the reports.
	inFlightAverage, othersAverage average
}

// inFlightRequest is a request in flight on an upstream.
type inFlightRequest struct {
	fingerprint uint64
	suspect     bool
	// hasStrike is set once a crash on the request's route was counted as a strike against it.
	hasStrike bool
}

// Tracker keeps the state of all upstreams and picks routes over them. It is safe for concurrent
// use. The exported fields are set before use.
type Tracker struct {
	// Policy chooses routes.
	Policy picker.Policy
	// Rand is used under the tracker's lock.
	Rand *rand.Rand
	// Host is the name of this host; it determines the subset of upstreams the host chooses among.
	Host string
	// HostCount returns how many hosts send work to the same upstreams; nil means one.
	HostCount func() int
	// Checker records a violation when work is given to a leaving upstream; nil means no check.
	Checker *checker.Checker
	// Unlimited lifts the limit on slots, so that the effect of admission control can be measured.
	Unlimited bool

	mu           sync.Mutex
	upstreams    map[string]*upstream
	pipelines    map[string]*pipeline
	links        picker.Links
	limits       []picker.LinkLimit
	candidateBuf []picker.Candidate
}

// pipeline is the configuration of a pipeline and the upstreams that serve it.
type pipeline struct {
	cfg   builder.Pipeline
	model builder.Model
	// all holds the upstreams that serve the pipeline, subset those among which this host chooses.
	subset []*upstream
	all    []*upstream
	// share is the fraction of all hosts that choose any one upstream into their subset.
	share float64
	pace  *pace
}

// Configure applies a configuration. The state of upstreams that keep their name and address is
// kept.
func (t *Tracker) Configure(cfg *builder.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	accelerators := make(map[string]builder.Accelerator)
	for _, k := range cfg.Accelerators {
		accelerators[k.Name] = k
	}
	models := make(map[string]builder.Model)
	for _, m := range cfg.Models {
		models[m.Name] = m
	}
	t.configureUpstreams(cfg, accelerators)
	pipelines := make(map[string]*pipeline)
	for _, p := range cfg.Pipelines {
		pipelines[p.Name] = t.newPipeline(p, models[p.Model])
	}
	t.pipelines = pipelines
	t.links = make(picker.Links)
	t.limits = nil
	for _, l := range cfg.Links {
		t.links[[2]string{l.From, l.To}] = ms(l.LatencyMs)
		t.limits = append(t.limits, picker.LinkLimit{From: l.From, To: l.To, TokensPerSecond: l.TokensPerSecond})
	}
}

func (t *Tracker) configureUpstreams(cfg *builder.Configuration, accelerators map[string]builder.Accelerator) {
	old := t.upstreams
	t.upstreams = make(map[string]*upstream, len(cfg.Upstreams))
	for _, u := range cfg.Upstreams {
		kept := old[u.Name]
		if kept == nil || kept.cfg.Address != u.Address {
			kept = &upstream{requests: make(map[string]inFlightRequest)}
		}
		kept.cfg = u
		kept.accelerator = accelerators[u.Accelerator]
		t.upstreams[u.Name] = kept
	}
}

func (t *Tracker) newPipeline(cfg builder.Pipeline, m builder.Model) *pipeline {
	p := &pipeline{cfg: cfg, model: m, pace: newPace(cfg.TokenGapMs)}
	if old := t.pipelines[cfg.Name]; old != nil && old.cfg.TokenGapMs == cfg.TokenGapMs {
		p.pace = old.pace
	}
	for _, name := range cfg.Upstreams {
		if u := t.upstreams[name]; u != nil {
			p.all = append(p.all, u)
		}
	}
	p.subset = t.selectSubset(p.all)
	p.share = 1
	if len(p.all) > 0 {
		p.share = float64(len(p.subset)) / float64(len(p.all))
	}
	return p
}

// selectSubset limits the upstreams among which a host chooses, so that the cost of a choice does
// not grow with the fleet. It takes the same number of upstreams from each layer range by
// rendezvous hashing on the host's name, which spreads the hosts evenly.
func (t *Tracker) selectSubset(all []*upstream) []*upstream {
	if len(all) <= subsetSize {
		return all
	}
	type span struct{ first, last int }
	groups := make(map[span][]*upstream)
	var order []span
	for _, u := range all {
		s := span{u.cfg.FirstLayer, u.cfg.LastLayer}
		if groups[s] == nil {
			order = append(order, s)
		}
		groups[s] = append(groups[s], u)
	}
	each := max(2, subsetSize/len(order))
	var out []*upstream
	for _, s := range order {
		group := groups[s]
		slices.SortFunc(group, func(a, b *upstream) int {
			if t.rendezvousWeight(a) > t.rendezvousWeight(b) {
				return -1
			}
			return 1
		})
		out = append(out, group[:min(each, len(group))]...)
	}
	return out
}

func (t *Tracker) rendezvousWeight(u *upstream) uint64 {
	return xxhash.Sum64String(t.Host + "\x00" + u.cfg.Name)
}

// Request is a request for which a route is picked.
type Request struct {
	ID       string
	Pipeline string
	// From is the data centre of this host.
	From string
	// Fingerprint is the same for equal requests of a workspace.
	Fingerprint uint64
	// Prefix is the same for prompts with the same beginning; 0 means none.
	Prefix uint64
	// Suspect is set if a request with this fingerprint was in flight on an upstream that crashed.
	// The route then uses no upstream on which this host has a different suspect request in flight.
	Suspect bool
	// Avoid lists upstreams that the route must not use.
	Avoid []string
}

// Acquire picks a route and counts the request as in flight on it. It returns nil if no route has
// room. Both happen under one lock, so that concurrent requests see each other.
func (t *Tracker) Acquire(now time.Time, r Request) picker.Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pipelines[r.Pipeline]
	if p == nil {
		return nil
	}
	cands := t.candidates(now, p, r)
	need := picker.Requirements{Layers: p.model.Layers, From: r.From}
	route := t.Policy.Pick(cands, need, t.links, t.Rand)
	for _, h := range route {
		u := t.upstreams[h.Upstream]
		t.Checker.Assert(!u.leaving(), checker.InvariantLeaving, r.ID, "upstream %q is leaving but was chosen", h.Upstream)
		t.addInFlight(now, u, r)
	}
	return route
}

func (t *Tracker) addInFlight(now time.Time, u *upstream, r Request) {
	if _, ok := u.requests[r.ID]; ok {
		return
	}
	u.inFlightAverage.update(now, float64(u.inFlight))
	u.inFlight++
	u.requests[r.ID] = inFlightRequest{fingerprint: r.Fingerprint, suspect: r.Suspect}
}

// Release ends what Acquire or AcquireInstance started for a request. A second call for the same
// request has no effect.
func (t *Tracker) Release(now time.Time, upstreams []string, requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range upstreams {
		u := t.upstreams[name]
		if u == nil {
			continue
		}
		if _, ok := u.requests[requestID]; !ok {
			continue
		}
		delete(u.requests, requestID)
		u.inFlightAverage.update(now, float64(u.inFlight))
		u.inFlight--
	}
}

// candidates returns the pipeline's upstreams for the policy. The result is valid until the next
// call.
func (t *Tracker) candidates(now time.Time, p *pipeline, r Request) []picker.Candidate {
	t.candidateBuf = t.candidateBuf[:0]
	hosts := t.hostCount(p)
	for _, u := range p.subset {
		c := t.candidate(now, p, u, hosts)
		if slices.Contains(r.Avoid, u.cfg.Name) || r.Suspect && t.hasOtherSuspect(u, r.Fingerprint) {
			c.Excluded = true
		}
		if r.Suspect {
			c.Bias = suspectBias(r.Fingerprint, u.cfg.Name)
		}
		t.candidateBuf = append(t.candidateBuf, c)
	}
	if r.Prefix != 0 {
		markPreferred(t.candidateBuf, r.Prefix)
	}
	return t.candidateBuf
}

// suspectBias returns a cost that steers each suspect request to different upstreams. Hosts do not
// see each other's suspects, so two requests that were in flight at the same crash would otherwise
// likely meet again on the cheapest upstreams and be in flight at the next crash together.
func suspectBias(fingerprint uint64, upstream string) float64 {
	const maxBias = 8.0
	h := mix(xxhash.Sum64String(upstream) ^ fingerprint)
	return maxBias * float64(h>>11) / (1 << 53)
}

// hostCount returns how many hosts send work to any one upstream of a pipeline; at least 1.
func (t *Tracker) hostCount(p *pipeline) float64 {
	n := 1.0
	if t.HostCount != nil {
		n = float64(t.HostCount())
	}
	return max(1, n*p.share)
}

func (t *Tracker) candidate(now time.Time, p *pipeline, u *upstream, hosts float64) picker.Candidate {
	c := picker.Candidate{
		Name:         u.cfg.Name,
		DataCentre:   u.cfg.DataCentre,
		First:        u.cfg.FirstLayer,
		Last:         u.cfg.LastLayer,
		StepTime:     ms(u.accelerator.StepMs),
		LayerTime:    ms(u.accelerator.LayerMs),
		Batch:        max(1, u.accelerator.Batch),
		OwnSequences: u.inFlight,
		Sequences:    u.sequences(now, hosts),
		Excluded:     u.stateAt(now) != StateUp,
	}
	c.Slots = t.slots(now, u, &c, p, hosts)
	if t.Unlimited {
		c.Slots = math.MaxInt32
	}
	return c
}

// slots returns how many sequences an upstream may hold so that each gets a token within the
// pipeline's token gap: by Little's law the upstream's rate times the gap, at least one, reduced
// while tokens are late. The result is comparable to the estimated sequences of the upstream. This
// host may fill its own share regardless of the others' estimated load, plus a part of what they
// seem to leave free.
func (t *Tracker) slots(now time.Time, u *upstream, c *picker.Candidate, p *pipeline, hosts float64) float64 {
	all := max(1, c.Rate(c.Last-c.First+1)*p.cfg.TokenGapMs/1000*p.pace.factor())
	others := c.Sequences - float64(u.inFlight)
	share := t.share(u, all, hosts)
	if !u.hasLoad || now.Sub(u.loadAt) > freshReportAge {
		// Without a recent report the free capacity is unknown, and every host would take the same
		// slots.
		return max(1, share) + others
	}
	return share + borrowedShare*max(0, all-others-share) + others
}

// share returns this host's even share of an upstream's slots. Each host draws by hash for the
// fractional part, so that the shares of all hosts add up to about the whole.
func (t *Tracker) share(u *upstream, all, hosts float64) float64 {
	even := all / hosts
	whole := math.Floor(even)
	if draw := float64(t.rendezvousWeight(u)>>11) / (1 << 53); draw < even-whole {
		return whole + 1
	}
	return whole
}

// sequences estimates how many sequences an upstream holds for all hosts.
func (u *upstream) sequences(now time.Time, hosts float64) float64 {
	return float64(u.inFlight) + u.othersInFlight(now, hosts)
}

// othersInFlight estimates how many sequences other hosts have on the upstream. A report describes
// an earlier moment, so the current count of this host must not be subtracted from it: a burst of
// this host would hide the load of all others. The average of that count is subtracted instead, and
// the difference smoothed again. As a report ages, more weight goes to the assumption that each other
// host has as many sequences there as this one, because all are behind the same load balancer.
func (u *upstream) othersInFlight(now time.Time, hosts float64) float64 {
	guess := u.inFlightAverage.update(now, float64(u.inFlight)) * (hosts - 1)
	if !u.hasLoad {
		return guess
	}
	age := now.Sub(u.loadAt)
	if age >= maxReportAge {
		return guess
	}
	if age <= freshReportAge {
		return u.othersAverage.value
	}
	w := float64(age-freshReportAge) / float64(maxReportAge-freshReportAge)
	return u.othersAverage.value*(1-w) + guess*w
}

// stateAt returns the state at a time; a suspicion that was not confirmed within suspectTimeout is
// ignored.
func (u *upstream) stateAt(now time.Time) State {
	if u.leaving() {
		return StateLeaving
	}
	if u.probersDown {
		return StateDown
	}
	if u.state == StateSuspect && now.Sub(u.stateSince) >= suspectTimeout {
		return StateUp
	}
	return u.state
}

func (u *upstream) leaving() bool {
	return u.leavePending || u.leavingIncarnation != 0 && u.leavingIncarnation >= u.incarnation
}

// hasOtherSuspect reports whether this host has another suspect request in flight on the upstream.
// Suspects of one crash are kept apart, so that the next crash shows which of them caused it.
func (t *Tracker) hasOtherSuspect(u *upstream, fingerprint uint64) bool {
	for _, f := range u.requests {
		if f.fingerprint != fingerprint && f.suspect {
			return true
		}
	}
	return false
}

// markPreferred marks, in each layer range, the upstream on which a prefix is likely cached: the
// first by rendezvous hashing whose utilisation is at most a quarter, plus a margin of 0.05, above
// the mean.
func markPreferred(cands []picker.Candidate, prefix uint64) {
	for i := range cands {
		if isFirstOfRange(cands, i) {
			markPreferredInRange(cands, i, prefix)
		}
	}
}

func isFirstOfRange(cands []picker.Candidate, i int) bool {
	for j := range i {
		if cands[j].First == cands[i].First && cands[j].Last == cands[i].Last {
			return false
		}
	}
	return true
}

func markPreferredInRange(cands []picker.Candidate, first int, prefix uint64) {
	const tolerance = 1.25
	var sum, n float64
	for i := first; i < len(cands); i++ {
		if c := &cands[i]; sameRange(c, &cands[first]) && !c.Excluded {
			sum += c.Utilisation()
			n++
		}
	}
	best, top := -1, uint64(0)
	for i := first; i < len(cands); i++ {
		c := &cands[i]
		if !sameRange(c, &cands[first]) || c.Excluded || c.Utilisation() > tolerance*sum/n+0.05 {
			continue
		}
		if h := xxhash.Sum64String(c.Name) ^ prefix; best < 0 || mix(h) > top {
			best, top = i, mix(h)
		}
	}
	if best >= 0 {
		cands[best].Preferred = true
	}
}

func sameRange(a, b *picker.Candidate) bool { return a.First == b.First && a.Last == b.Last }

// mix spreads the bits of a hash that was combined by xor.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
