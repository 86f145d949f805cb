package router_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/router"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	entryHosts = 4
	pipeline   = "p"
	layers     = 32
)

// mixedConfiguration declares 40 engines of six kinds with overlapping layer ranges, in three data
// centres. The fastest kind is ten times as fast as the slowest, and link latencies differ by a
// factor of 100.
func mixedConfiguration() *builder.Configuration {
	cfg := &builder.Configuration{
		Models: []builder.Model{{Name: "m", Version: "1", Layers: layers}},
		Accelerators: []builder.Accelerator{
			{Name: "k1", StepMs: 0.2, LayerMs: 0.05, Batch: 8},
			{Name: "k2", StepMs: 0.2, LayerMs: 0.08, Batch: 8},
			{Name: "k3", StepMs: 0.2, LayerMs: 0.12, Batch: 4},
			{Name: "k4", StepMs: 0.2, LayerMs: 0.2, Batch: 3},
			{Name: "k5", StepMs: 0.2, LayerMs: 0.3, Batch: 2},
			{Name: "k6", StepMs: 0.2, LayerMs: 0.5, Batch: 1},
		},
		Links: []builder.Link{
			{From: "a", To: "b", LatencyMs: 0.1},
			{From: "a", To: "c", LatencyMs: 10},
			{From: "b", To: "c", LatencyMs: 1},
		},
	}
	n := 0
	add := func(kind string, count, first, last int) {
		for range count {
			n++
			cfg.Upstreams = append(cfg.Upstreams, builder.Upstream{
				Name: fmt.Sprintf("%s-%d-%d-%d", kind, first, last, n), Address: fmt.Sprintf("10.1.0.1:%d", 1000+n),
				DataCentre: string("abc"[n%3]), Model: "m", Accelerator: kind, FirstLayer: first, LastLayer: last,
			})
		}
	}
	add("k1", 3, 0, 15)
	add("k1", 3, 16, 31)
	add("k2", 3, 0, 23)
	add("k2", 3, 8, 31)
	add("k3", 4, 0, 11)
	add("k3", 4, 12, 21)
	add("k3", 4, 22, 31)
	add("k4", 3, 0, 7)
	add("k4", 3, 8, 23)
	add("k4", 3, 24, 31)
	add("k5", 2, 0, 15)
	add("k5", 2, 16, 31)
	add("k6", 3, 0, 31)
	cfg.Pipelines = []builder.Pipeline{{Name: pipeline, Model: "m", Upstreams: builder.Names(cfg.Upstreams), TokenGapMs: 48}}
	return cfg
}

// experiment is one run of a policy under an offered load.
type experiment struct {
	policy func() picker.Policy
	// load is the offered tokens divided by the throughput bound.
	load float64
	// limitAdmission is false to admit every request at once.
	limitAdmission bool
	seed           uint64
	// Requests arrive for warmUp and then length; the figures leave out those sent in warmUp.
	length, warmUp time.Duration
	// atStart is called before the first request, afterWarmUp when the warm-up is over.
	atStart     func(x *result)
	afterWarmUp func(x *result)
	// highPriorityFraction is the fraction of requests that have a higher priority.
	highPriorityFraction float64
	// hosts is how many entry hosts callers use; 0 means all.
	hosts int
}

// result holds the figures of an experiment, and its fleet and hosts while it runs.
type result struct {
	experiment
	fleet        *faker.Fleet
	hosts        []*entryHost
	bound        float64
	onTimeTokens int
	requests     int
	refused      int
	// late counts answers after their deadline, lost those that broke off once started.
	late       int
	lost       int
	retries    int
	firstToken *hdrhistogram.Histogram
	tokenGap   *hdrhistogram.Histogram
	// highFirstToken is firstToken of the requests with the higher priority only.
	highFirstToken  *hdrhistogram.Histogram
	servedTokens    map[string]float64
	requestedTokens map[string]float64
	// buckets counts the tokens of each 100 ms from the start.
	buckets []int
	start   time.Time
	mu      sync.Mutex
}

// entryHost holds the packages of one entry host that decide on requests.
type entryHost struct {
	router   *router.Router
	streamer *streamer.Streamer
	tracker  *tracker.Tracker
	dead     bool
}

// probeOnlyAnnouncer implements router.Announcer for hosts that exchange no announcements but do
// probe upstreams.
type probeOnlyAnnouncer struct {
	t       *testing.T
	tracker *tracker.Tracker
	fleet   *faker.Fleet
}

func (probeOnlyAnnouncer) AnnounceLeaving(string, int64)    {}
func (probeOnlyAnnouncer) AnnounceDown(string, int64, bool) {}
func (probeOnlyAnnouncer) AnnounceStrike(tracker.Strike)    {}

// ProbeSoon applies the result of a probe to the tracker after the time that a probe takes.
func (q probeOnlyAnnouncer) ProbeSoon(names []string) {
	for _, n := range names {
		go func() {
			const probeTime = 50 * time.Millisecond
			time.Sleep(probeTime)
			e := q.fleet.Engine(n)
			switch {
			case e.Dead():
				q.tracker.RecordFailure(time.Now(), n, true)
			case e.Paused():
				time.Sleep(time.Second)
				q.tracker.RecordFailure(time.Now(), n, false)
			}
		}()
	}
}

// FindUnresponsive takes as long as a probe that is answered or times out.
func (q probeOnlyAnnouncer) FindUnresponsive(_ context.Context, names []string) string {
	const probeTime, probeTimeout = 2 * time.Millisecond, 100 * time.Millisecond
	time.Sleep(probeTime)
	for _, n := range names {
		if e := q.fleet.Engine(n); e.Dead() || e.Paused() {
			time.Sleep(probeTimeout)
			return n
		}
	}
	return ""
}

func newEntryHost(t *testing.T, x *result, i int, cfg *builder.Configuration) *entryHost {
	track := &tracker.Tracker{
		Policy: x.policy(), Rand: rand.New(rand.NewPCG(x.seed, uint64(i)+100)),
		Host: fmt.Sprint("h", i), HostCount: func() int { return entryHosts },
	}
	track.Configure(cfg)
	if !x.limitAdmission {
		track.Unlimited = true
	}
	check := &checker.Checker{Fail: func(v checker.Violation) { t.Error(v) }}
	r := &router.Router{
		DataCentre: string("abc"[i%3]), Tracker: track, Suspects: new(tracker.Suspects),
		Admitter: &admitter.Admitter[picker.Route]{MaxQueued: 1 << 20}, Limits: new(admitter.RateLimiter),
		Budget: &admitter.RetryBudget{Ratio: 0.1, Burst: 20}, Announcer: probeOnlyAnnouncer{t, track, x.fleet},
		Meter: meter.New(nil, nil), Checker: check,
	}
	return &entryHost{
		router: r, tracker: track,
		streamer: &streamer.Streamer{Engine: x.fleet, Router: r, Checker: check, MinStallTimeout: 100 * time.Millisecond},
	}
}

// run runs the experiment in virtual time.
func (e experiment) run(t *testing.T) *result {
	x := &result{
		experiment: e, firstToken: histogram(), tokenGap: histogram(), highFirstToken: histogram(),
		servedTokens: make(map[string]float64), requestedTokens: make(map[string]float64),
	}
	t.Run("run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { x.simulate(t) })
	})
	return x
}

func prefixHash(s string) uint64 { return xxhash.Sum64String(s) }

// histogram returns a histogram of durations of 1 microsecond to 10 minutes, in microseconds.
func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func (x *result) simulate(t *testing.T) {
	cfg := mixedConfiguration()
	x.fleet = faker.NewFleet(cfg)
	x.fleet.MaxLoadAge = time.Second
	defer x.fleet.Close()
	n := x.experiment.hosts
	if n == 0 {
		n = entryHosts
	}
	for i := range entryHosts {
		x.hosts = append(x.hosts, newEntryHost(t, x, i, cfg))
	}
	x.bound, _ = x.hosts[0].tracker.ThroughputBound(time.Now(), pipeline, true)
	x.bound /= iterationsPerToken()
	x.start = time.Now()
	if x.atStart != nil {
		x.atStart(x)
	}
	rnd := rand.New(rand.NewPCG(x.seed, 7))
	rate := x.load * x.bound / meanTokens
	var wg sync.WaitGroup
	triggered := false
	for k := 0; time.Since(x.start) < x.warmUp+x.length; k++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if x.afterWarmUp != nil && !triggered && time.Since(x.start) >= x.warmUp {
			triggered = true
			x.afterWarmUp(x)
		}
		job, host := x.newJob(rnd, k), x.liveHost(x.hosts[rnd.IntN(n)], rnd)
		wg.Go(func() { x.runJob(host, job) })
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
}

// liveHost returns h, or a random host that is up when h is dead, as a load balancer in front of
// the entry hosts does.
func (x *result) liveHost(h *entryHost, rnd *rand.Rand) *entryHost {
	x.mu.Lock()
	defer x.mu.Unlock()
	for h.dead {
		h = x.hosts[rnd.IntN(len(x.hosts))]
	}
	return h
}

// The mix of requests; the lengths of prompts are in bytes.
const (
	meanTokens         = 40
	longPromptFraction = 0.2
	shortPrompt        = 300
	longPrompt         = 2400
)

// iterationsPerToken is the mean cost of a generated token, in iterations, with its share of an
// uncached prompt.
func iterationsPerToken() float64 {
	const promptWeight = 64 // bytes of an uncached prompt that cost one iteration
	prompt := (1-longPromptFraction)*shortPrompt + longPromptFraction*longPrompt
	return 1 + prompt/promptWeight/meanTokens
}

// newJob draws a request at random. Two of the ten workspaces are large, a fifth of the prompts are
// long, and half of the prompts start with one of thirty shared prefixes.
func (x *result) newJob(rnd *rand.Rand, k int) *streamer.Job {
	w := rnd.IntN(16)
	if w >= 10 {
		w %= 2
	}
	size := shortPrompt
	if rnd.Float64() < longPromptFraction {
		size = longPrompt
	}
	prefix := fmt.Sprintf("%d ", k)
	if rnd.IntN(2) == 0 {
		prefix = fmt.Sprintf("shared %d ", rnd.IntN(30))
	}
	prompt := strings.Repeat(prefix, size/len(prefix)+1)[:size]
	job := &streamer.Job{
		ID: fmt.Sprint("r", k), Pipeline: pipeline, Model: "m", Version: "1", Layers: layers,
		Workspace: fmt.Sprint("w", w), Priority: 5, Prompt: prompt, MaxTokens: 10 + rnd.IntN(2*(meanTokens-10)+1),
		Fingerprint: rnd.Uint64(), Prefix: prefixHash(prompt[:256]),
	}
	if rnd.Float64() < x.highPriorityFraction {
		job.Priority = 8
	}
	job.Deadline = time.Now().Add(time.Second + time.Duration(job.MaxTokens)*60*time.Millisecond)
	return job
}

func (x *result) runJob(host *entryHost, job *streamer.Job) {
	measured := time.Since(x.start) >= x.warmUp
	sentAt := time.Now()
	var firstAt, lastAt time.Time
	res, err := host.streamer.Run(context.Background(), job, func(string, bool) error {
		now := time.Now()
		x.mu.Lock()
		defer x.mu.Unlock()
		if host.dead {
			return context.Canceled
		}
		if firstAt.IsZero() {
			firstAt = now
			if measured {
				x.recordFirstToken(job, now.Sub(sentAt))
			}
		} else if measured {
			_ = x.tokenGap.RecordValue(now.Sub(lastAt).Microseconds())
		}
		lastAt = now
		x.countToken(now)
		return nil
	})
	if err == nil {
		host.router.RecordAnswer(job, res.Tokens, lastAt.Sub(firstAt))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.retries += max(0, res.Attempts-1)
	if !measured {
		return
	}
	x.requests++
	x.requestedTokens[job.Workspace] += float64(job.MaxTokens)
	switch {
	case err == nil && !time.Now().After(job.Deadline):
		x.onTimeTokens += res.Tokens
		x.servedTokens[job.Workspace] += float64(res.Tokens)
	case err == nil:
		x.late++
	case !res.Started:
		x.refused++
	default:
		x.lost++
	}
}

func (x *result) recordFirstToken(job *streamer.Job, d time.Duration) {
	_ = x.firstToken.RecordValue(d.Microseconds())
	if job.Priority > 5 {
		_ = x.highFirstToken.RecordValue(d.Microseconds())
	}
}

const bucketDuration = 100 * time.Millisecond

func (x *result) countToken(now time.Time) {
	i := int(now.Sub(x.start) / bucketDuration)
	for len(x.buckets) <= i {
		x.buckets = append(x.buckets, 0)
	}
	x.buckets[i]++
}

// ratio is the rate of on-time tokens divided by the throughput bound.
func (x *result) ratio() float64 { return float64(x.onTimeTokens) / x.length.Seconds() / x.bound }

// fairness is Jain's index of each workspace's served tokens divided by its max-min fair share.
func (x *result) fairness() float64 {
	var total float64
	for _, v := range x.servedTokens {
		total += v
	}
	fair := maxMinShares(x.requestedTokens, total)
	var sum, squares, n float64
	for w, fairShare := range fair {
		ratio := x.servedTokens[w] / fairShare
		sum += ratio
		squares += ratio * ratio
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMinShares divides total among demands by max-min fairness: a demand below an equal share is
// met in full, and the others get equal shares of the rest.
func maxMinShares(demands map[string]float64, total float64) map[string]float64 {
	out := make(map[string]float64)
	unmet := maps.Clone(demands)
	for len(unmet) > 0 {
		share := total / float64(len(unmet))
		satisfied := false
		for w, demand := range unmet {
			if demand <= share {
				out[w], satisfied = demand, true
				total -= demand
				delete(unmet, w)
			}
		}
		if satisfied {
			continue
		}
		for w := range unmet {
			out[w] = share
		}
		return out
	}
	return out
}

func (x *result) prefixHitRatio() float64 {
	hits, all := 0, 0
	for _, e := range x.fleet.Engines() {
		hits += e.CacheHits
		all += e.CacheHits + e.CacheMisses
	}
	return float64(hits) / float64(max(1, all))
}

const header = "| policy | load | tokens/bound | first token p50/p95/p99 ms | gap p50/p95/p99 ms | refused | late | lost | retries | fairness | prefix hits |\n|---|---|---|---|---|---|---|---|---|---|---|\n"

func (x *result) row(name string) string {
	quantiles := func(h *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.0f / %.0f / %.0f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(95))/1000, float64(h.ValueAtQuantile(99))/1000)
	}
	return fmt.Sprintf("| %s | %.2f | %.3f | %s | %s | %.1f%% | %.1f%% | %.1f%% | %d | %.3f | %.2f |\n", name, x.load, x.ratio(), quantiles(x.firstToken), quantiles(x.tokenGap),
		100*float64(x.refused)/float64(max(1, x.requests)), 100*float64(x.late)/float64(max(1, x.requests)), 100*float64(x.lost)/float64(max(1, x.requests)), x.retries, x.fairness(), x.prefixHitRatio())
}

var policies = []struct {
	name string
	make func() picker.Policy
}{
	{"random", func() picker.Policy { return picker.Random{} }},
	{"round robin", func() picker.Policy { return new(picker.RoundRobin) }},
	{"least in flight", func() picker.Policy { return picker.LeastInFlight{} }},
	{"two choices", func() picker.Policy { return picker.TwoChoices{} }},
	{"cheapest", func() picker.Policy { return picker.Cheapest{Steepness: 1, Jitter: 0.1, PreferredFactor: 0.7} }},
}
