// Package tracker knows the upstreams: which are up, leaving or down, how full
// each is, and which requests are in flight where.
//
// It joins three sources and trusts none alone: the platform's list (lags),
// load reports and probes (lag), and what this host's own requests just saw.
// It does no I/O and reads no clock; callers pass the time in.
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

// State is whether an upstream gets new work, and why not.
type State int

// The states of an upstream.
const (
	// StateUp gets new work.
	StateUp State = iota
	// StateSuspect failed a request; it gets new work again after a good probe
	// or when suspectFor is over.
	StateSuspect
	// StateDown failed a probe or a connection; it gets new work again after a
	// good probe.
	StateDown
	// StateLeaving gets none until it has a newer incarnation.
	StateLeaving
)

const (
	// suspectFor is how long a suspect stays out without a probe.
	suspectFor = 3 * time.Second
	// reportFresh is the age up to which a report counts in full.
	reportFresh = 2 * time.Second
	// reportStale is the age from which a report counts no more.
	reportStale = 10 * time.Second
	// subsetSize is how many upstreams of a pipeline a host chooses among.
	subsetSize = 64
	// borrow is the part of what other hosts seem to leave free that a host may
	// use beyond its even share. They can't see each other, so 1 would let all
	// of them take the same place.
	borrow = 0.5
)

// Load is what an upstream reports of itself.
type Load struct {
	// Incarnation is raised at each start of the upstream.
	Incarnation int64 `json:"incarnation"`
	// Running and Queued are sequences or requests it holds.
	Running int `json:"running"`
	Queued  int `json:"queued"`
	// Leaving tells that it takes no new work.
	Leaving bool `json:"leaving,omitempty"`
}

// upstream is what is known of one.
type upstream struct {
	cfg  builder.Upstream
	kind builder.Accelerator

	incarnation int64
	state       State
	since       time.Time
	// downAt is when it last went down.
	downAt time.Time
	// heardDown is set while its probers say that it is down.
	heardDown bool
	// leavingAt is the incarnation that is leaving; 0 is none.
	leavingAt int64
	// drained is set when it is leaving and its incarnation isn't known yet.
	drained bool

	// own is this host's sequences in flight.
	own      int
	requests map[string]flight
	// load is the last report.
	load     Load
	loadAt   time.Time
	reported bool
	// ownSlow is own, othersSlow what reports held beside it, both smoothed.
	ownSlow, othersSlow average
}

// flight is a request in flight on an upstream.
type flight struct {
	fingerprint uint64
	suspect     bool
	// struck is set once a crash on the request's route was held against it.
	struck bool
}

// Tracker is safe for concurrent use.
type Tracker struct {
	// Policy chooses routes; set before use.
	Policy picker.Policy
	// Rand is used under the tracker's lock.
	Rand *rand.Rand
	// Host is this host's name; it seeds which upstreams it chooses among.
	Host string
	// Sharers returns how many hosts send work to the same upstreams.
	Sharers func() int
	// Checker is told of work given to an upstream that is leaving; nil asserts
	// nothing.
	Checker *checker.Checker
	// Unlimited gives every upstream as many slots as anyone wants; for
	// measuring what admission is worth.
	Unlimited bool

	mu        sync.Mutex
	ups       map[string]*upstream
	pipelines map[string]*pipeline
	links     picker.Links
	limits    []picker.LinkLimit
	scratch   []picker.Candidate
}

type pipeline struct {
	cfg    builder.Pipeline
	model  builder.Model
	subset []*upstream
	all    []*upstream
	// share is the part of all hosts that choose among one upstream.
	share float64
	pace  *pace
}

// Configure takes in a configuration. What is known of upstreams that stay is
// kept.
func (t *Tracker) Configure(cfg *builder.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kinds := make(map[string]builder.Accelerator)
	for _, k := range cfg.Accelerators {
		kinds[k.Name] = k
	}
	models := make(map[string]builder.Model)
	for _, m := range cfg.Models {
		models[m.Name] = m
	}
	t.configureUpstreams(cfg, kinds)
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

func (t *Tracker) configureUpstreams(cfg *builder.Configuration, kinds map[string]builder.Accelerator) {
	old := t.ups
	t.ups = make(map[string]*upstream, len(cfg.Upstreams))
	for _, u := range cfg.Upstreams {
		kept := old[u.Name]
		if kept == nil || kept.cfg.Address != u.Address {
			kept = &upstream{requests: make(map[string]flight)}
		}
		kept.cfg = u
		kept.kind = kinds[u.Accelerator]
		t.ups[u.Name] = kept
	}
}

func (t *Tracker) newPipeline(cfg builder.Pipeline, m builder.Model) *pipeline {
	p := &pipeline{cfg: cfg, model: m, pace: newPace(cfg.TokenGapMs)}
	if old := t.pipelines[cfg.Name]; old != nil && old.cfg.TokenGapMs == cfg.TokenGapMs {
		p.pace = old.pace
	}
	for _, name := range cfg.Upstreams {
		if u := t.ups[name]; u != nil {
			p.all = append(p.all, u)
		}
	}
	p.subset = t.choose(p.all)
	p.share = 1
	if len(p.all) > 0 {
		p.share = float64(len(p.subset)) / float64(len(p.all))
	}
	return p
}

// choose limits the upstreams a host looks at, so that one choice costs the
// same however large the fleet is. From each range of layers it takes the same
// number by rendezvous hashing on the host's name, which spreads hosts evenly.
func (t *Tracker) choose(all []*upstream) []*upstream {
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
			if t.weight(a) > t.weight(b) {
				return -1
			}
			return 1
		})
		out = append(out, group[:min(each, len(group))]...)
	}
	return out
}

func (t *Tracker) weight(u *upstream) uint64 {
	return xxhash.Sum64String(t.Host + "\x00" + u.cfg.Name)
}

// Request is what a route is asked for.
type Request struct {
	ID       string
	Pipeline string
	// From is the data centre of this host.
	From string
	// Fingerprint is equal for equal requests of a workspace.
	Fingerprint uint64
	// Prefix is equal for prompts that start alike; 0 means none.
	Prefix uint64
	// Suspect keeps the request away from other suspects.
	Suspect bool
	// Avoid are upstreams it must not go to.
	Avoid []string
}

// Acquire picks a route and counts the request in flight on it. It returns nil
// when no route has room. Both happen under one lock, so requests that come at
// the same time see each other.
func (t *Tracker) Acquire(now time.Time, r Request) picker.Route {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pipelines[r.Pipeline]
	if p == nil {
		return nil
	}
	cands := t.candidates(now, p, r)
	need := picker.Need{Layers: p.model.Layers, From: r.From}
	route := t.Policy.Pick(cands, need, t.links, t.Rand)
	for _, h := range route {
		u := t.ups[h.Upstream]
		t.Checker.Assert(!u.leaving(), checker.InvariantLeaving, r.ID, "%s is leaving and was chosen", h.Upstream)
		t.begin(now, u, r)
	}
	return route
}

func (t *Tracker) begin(now time.Time, u *upstream, r Request) {
	if _, ok := u.requests[r.ID]; ok {
		return
	}
	u.ownSlow.at(now, float64(u.own))
	u.own++
	u.requests[r.ID] = flight{fingerprint: r.Fingerprint, suspect: r.Suspect}
}

// Release ends what Acquire or AcquireOne began for a request.
func (t *Tracker) Release(now time.Time, upstreams []string, requestID string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, name := range upstreams {
		u := t.ups[name]
		if u == nil {
			continue
		}
		if _, ok := u.requests[requestID]; !ok {
			continue
		}
		delete(u.requests, requestID)
		u.ownSlow.at(now, float64(u.own))
		u.own--
	}
}

// candidates is the pipeline's upstreams as the policy sees them; valid until
// the next call.
func (t *Tracker) candidates(now time.Time, p *pipeline, r Request) []picker.Candidate {
	t.scratch = t.scratch[:0]
	sharers := t.sharers(p)
	for _, u := range p.subset {
		c := t.candidate(now, p, u, sharers)
		if slices.Contains(r.Avoid, u.cfg.Name) || r.Suspect && t.holdsSuspect(u, r.Fingerprint) {
			c.Excluded = true
		}
		if r.Suspect {
			c.Bias = scatter(r.Fingerprint, u.cfg.Name)
		}
		t.scratch = append(t.scratch, c)
	}
	if r.Prefix != 0 {
		prefer(t.scratch, r.Prefix)
	}
	return t.scratch
}

// scatter sends each suspect to upstreams of its own. Hosts don't see each
// other's suspects, so two that were struck together would likely meet again on
// what both find cheapest, and be struck together once more.
func scatter(fingerprint uint64, upstream string) float64 {
	const most = 8.0
	h := mix(xxhash.Sum64String(upstream) ^ fingerprint)
	return most * float64(h>>11) / (1 << 53)
}

func (t *Tracker) sharers(p *pipeline) float64 {
	n := 1.0
	if t.Sharers != nil {
		n = float64(t.Sharers())
	}
	return max(1, n*p.share)
}

func (t *Tracker) candidate(now time.Time, p *pipeline, u *upstream, sharers float64) picker.Candidate {
	c := picker.Candidate{
		Name:       u.cfg.Name,
		DataCentre: u.cfg.DataCentre,
		First:      u.cfg.FirstLayer,
		Last:       u.cfg.LastLayer,
		Step:       ms(u.kind.StepMs),
		Layer:      ms(u.kind.LayerMs),
		Batch:      max(1, u.kind.Batch),
		Own:        u.own,
		Sequences:  u.sequences(now, sharers),
		Excluded:   u.stateAt(now) != StateUp,
	}
	c.Slots = t.slots(now, u, &c, p, sharers)
	if t.Unlimited {
		c.Slots = math.MaxInt32
	}
	return c
}

// slots is how many sequences an upstream may hold so that each gets a token
// within the gap: by Little's law its rate times the gap, and no fewer than
// one, less as tokens came late. The result is in terms of what it seems to
// hold: this host may fill its own share whatever the others seem to have, and
// a part of what they seem to leave.
func (t *Tracker) slots(now time.Time, u *upstream, c *picker.Candidate, p *pipeline, sharers float64) float64 {
	all := max(1, c.Rate(c.Last-c.First+1)*p.cfg.TokenGapMs/1000*p.pace.factor())
	others := c.Sequences - float64(u.own)
	share := t.share(u, all, sharers)
	if !u.reported || now.Sub(u.loadAt) > reportFresh {
		// Nobody knows what is free, and every host would take the same.
		return max(1, share) + others
	}
	return share + borrow*max(0, all-others-share) + others
}

// share is this host's even part of an upstream's slots. Of what can't be
// divided, each host draws by hash, so that the parts add up to the whole.
func (t *Tracker) share(u *upstream, all, sharers float64) float64 {
	even := all / sharers
	whole := math.Floor(even)
	if draw := float64(t.weight(u)>>11) / (1 << 53); draw < even-whole {
		return whole + 1
	}
	return whole
}

// sequences estimates how many sequences an upstream holds over all hosts.
func (u *upstream) sequences(now time.Time, sharers float64) float64 {
	return float64(u.own) + u.others(now, sharers)
}

// others estimates how many of them are other hosts'. A report is as old as the
// upstream's lag, so what this host has now can't be taken off it: a burst of
// its own would hide everybody else's. Its smoothed part is taken off instead,
// and the difference smoothed again. As reports grow old they give way to the
// guess that every sharer, behind the same balancer, holds as many.
func (u *upstream) others(now time.Time, sharers float64) float64 {
	guess := u.ownSlow.at(now, float64(u.own)) * (sharers - 1)
	if !u.reported {
		return guess
	}
	age := now.Sub(u.loadAt)
	if age >= reportStale {
		return guess
	}
	if age <= reportFresh {
		return u.othersSlow.value
	}
	w := float64(age-reportFresh) / float64(reportStale-reportFresh)
	return u.othersSlow.value*(1-w) + guess*w
}

// stateAt is the state, a suspicion that was not confirmed left out.
func (u *upstream) stateAt(now time.Time) State {
	if u.leaving() {
		return StateLeaving
	}
	if u.heardDown {
		return StateDown
	}
	if u.state == StateSuspect && now.Sub(u.since) >= suspectFor {
		return StateUp
	}
	return u.state
}

func (u *upstream) leaving() bool {
	return u.drained || u.leavingAt != 0 && u.leavingAt >= u.incarnation
}

// holdsSuspect reports whether another suspect of this host is in flight
// there. Suspects of one crash are kept apart, so that the next crash tells
// which of them was the cause.
func (t *Tracker) holdsSuspect(u *upstream, fingerprint uint64) bool {
	for _, f := range u.requests {
		if f.fingerprint != fingerprint && f.suspect {
			return true
		}
	}
	return false
}

// prefer marks, in each range of layers, where a prefix is likely cached: the
// first by rendezvous hashing that is not fuller than a quarter above the mean.
func prefer(cands []picker.Candidate, prefix uint64) {
	for i := range cands {
		if firstOfRange(cands, i) {
			preferRange(cands, i, prefix)
		}
	}
}

func firstOfRange(cands []picker.Candidate, i int) bool {
	for j := range i {
		if cands[j].First == cands[i].First && cands[j].Last == cands[i].Last {
			return false
		}
	}
	return true
}

func preferRange(cands []picker.Candidate, at int, prefix uint64) {
	const tolerance = 1.25
	var sum, n float64
	for i := at; i < len(cands); i++ {
		if c := &cands[i]; sameRange(c, &cands[at]) && !c.Excluded {
			sum += c.Utilisation()
			n++
		}
	}
	best, top := -1, uint64(0)
	for i := at; i < len(cands); i++ {
		c := &cands[i]
		if !sameRange(c, &cands[at]) || c.Excluded || c.Utilisation() > tolerance*sum/n+0.05 {
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

// mix spreads the bits of a hash that was combined with xor.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }
