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

// mixed is 40 runners of six kinds, the fastest ten times the slowest, with
// layer ranges that overlap, in three data centres on links that differ a
// hundredfold.
func mixed() *builder.Configuration {
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
	// load is offered tokens over the bound.
	load float64
	// admit is false to let everything in at once.
	admit bool
	seed  uint64
	// length is how long requests arrive; warm is left out of the figures.
	length, warm time.Duration
	// before is called at the start, during once the warm-up is over.
	before func(x *result)
	during func(x *result)
	// high is the part of requests that have a higher priority.
	high float64
	// hosts is how many entry hosts callers use; 0 means all.
	hosts int
}

// result is what came of it.
type result struct {
	experiment
	fleet   *faker.Fleet
	hosts   []*entry
	bound   float64
	onTime  int
	asked   int
	refused int
	late    int
	lost    int
	again   int
	first   *hdrhistogram.Histogram
	gap     *hdrhistogram.Histogram
	// highFirst is first of requests with high priority.
	highFirst *hdrhistogram.Histogram
	served    map[string]float64
	wanted    map[string]float64
	// buckets are tokens on time in each 100 ms from the start.
	buckets []int
	start   time.Time
	mu      sync.Mutex
}

// entry is the decisions of one host.
type entry struct {
	router *router.Router
	stream *streamer.Streamer
	track  *tracker.Tracker
	dead   bool
}

// quiet is News of hosts that don't hear each other, but probe what they doubt.
type quiet struct {
	t     *testing.T
	track *tracker.Tracker
	fleet *faker.Fleet
}

func (quiet) Leaving(string, int64)    {}
func (quiet) Down(string, int64, bool) {}
func (quiet) Strike(tracker.Strike)    {}

// Doubt probes after the time that a probe takes.
func (q quiet) Doubt(names []string) {
	for _, n := range names {
		go func() {
			const probe = 50 * time.Millisecond
			time.Sleep(probe)
			e := q.fleet.Engine(n)
			switch {
			case e.Dead():
				q.track.Bad(time.Now(), n, true)
			case e.Paused():
				time.Sleep(time.Second)
				q.track.Bad(time.Now(), n, false)
			}
		}()
	}
}

// Ask takes as long as a probe that is answered, or given up on.
func (q quiet) Ask(_ context.Context, names []string) string {
	const probe, patience = 2 * time.Millisecond, 100 * time.Millisecond
	time.Sleep(probe)
	for _, n := range names {
		if e := q.fleet.Engine(n); e.Dead() || e.Paused() {
			time.Sleep(patience)
			return n
		}
	}
	return ""
}

func newEntry(t *testing.T, x *result, i int, cfg *builder.Configuration) *entry {
	track := &tracker.Tracker{
		Policy: x.policy(), Rand: rand.New(rand.NewPCG(x.seed, uint64(i)+100)),
		Host: fmt.Sprint("h", i), Sharers: func() int { return entryHosts },
	}
	track.Configure(cfg)
	if !x.admit {
		track.Unlimited = true
	}
	check := &checker.Checker{Fail: func(v checker.Violation) { t.Error(v) }}
	r := &router.Router{
		DataCentre: string("abc"[i%3]), Tracker: track, Suspects: new(tracker.Suspects),
		Admitter: &admitter.Admitter[picker.Route]{Queued: 1 << 20}, Limits: new(admitter.Limits),
		Budget: &admitter.Budget{Ratio: 0.1, Burst: 20}, News: quiet{t, track, x.fleet},
		Meter: meter.New(nil, nil), Checker: check,
	}
	return &entry{
		router: r, track: track,
		stream: &streamer.Streamer{Engine: x.fleet, Router: r, Checker: check, StallFloor: 100 * time.Millisecond},
	}
}

// run makes the experiment in virtual time.
func (e experiment) run(t *testing.T) *result {
	x := &result{
		experiment: e, first: histogram(), gap: histogram(), highFirst: histogram(),
		served: make(map[string]float64), wanted: make(map[string]float64),
	}
	t.Run("run", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { x.play(t) })
	})
	return x
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func (x *result) play(t *testing.T) {
	cfg := mixed()
	x.fleet = faker.NewFleet(cfg)
	x.fleet.Lag = time.Second
	defer x.fleet.Close()
	n := x.experiment.hosts
	if n == 0 {
		n = entryHosts
	}
	for i := range entryHosts {
		x.hosts = append(x.hosts, newEntry(t, x, i, cfg))
	}
	x.bound, _ = x.hosts[0].track.Bound(time.Now(), pipeline, true)
	x.bound /= work()
	x.start = time.Now()
	if x.before != nil {
		x.before(x)
	}
	rnd := rand.New(rand.NewPCG(x.seed, 7))
	rate := x.load * x.bound / meanTokens
	var wg sync.WaitGroup
	told := false
	for k := 0; time.Since(x.start) < x.warm+x.length; k++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		if x.during != nil && !told && time.Since(x.start) >= x.warm {
			told = true
			x.during(x)
		}
		job, host := x.job(rnd, k), x.live(x.hosts[rnd.IntN(n)], rnd)
		wg.Go(func() { x.request(host, job) })
	}
	wg.Wait()
	time.Sleep(5 * time.Second)
}

// live is a host, or another when it is lost: the balancer sends callers there.
func (x *result) live(h *entry, rnd *rand.Rand) *entry {
	x.mu.Lock()
	defer x.mu.Unlock()
	for h.dead {
		h = x.hosts[rnd.IntN(len(x.hosts))]
	}
	return h
}

const (
	meanTokens  = 40
	longPart    = 0.2
	shortPrompt = 300
	longPrompt  = 2400
)

// work is the iterations' worth of a token of the mix, its prompt uncached.
func work() float64 {
	const promptWeight = 64
	prompt := (1-longPart)*shortPrompt + longPart*longPrompt
	return 1 + prompt/promptWeight/meanTokens
}

// job draws a request: of ten workspaces two are large, a fifth of prompts is
// long, and half of them share one of thirty beginnings.
func (x *result) job(rnd *rand.Rand, k int) *streamer.Job {
	w := rnd.IntN(16)
	if w >= 10 {
		w %= 2
	}
	size := shortPrompt
	if rnd.Float64() < longPart {
		size = longPrompt
	}
	begin := fmt.Sprintf("%d ", k)
	if rnd.IntN(2) == 0 {
		begin = fmt.Sprintf("shared %d ", rnd.IntN(30))
	}
	prompt := strings.Repeat(begin, size/len(begin)+1)[:size]
	job := &streamer.Job{
		ID: fmt.Sprint("r", k), Pipeline: pipeline, Model: "m", Version: "1", Layers: layers,
		Workspace: fmt.Sprint("w", w), Priority: 5, Prompt: prompt, MaxTokens: 10 + rnd.IntN(2*(meanTokens-10)+1),
		Fingerprint: rnd.Uint64(), Prefix: hash(prompt[:256]),
	}
	if rnd.Float64() < x.high {
		job.Priority = 8
	}
	job.Deadline = time.Now().Add(time.Second + time.Duration(job.MaxTokens)*60*time.Millisecond)
	return job
}

func (x *result) request(host *entry, job *streamer.Job) {
	counts := time.Since(x.start) >= x.warm
	begun := time.Now()
	var firstAt, last time.Time
	res, err := host.stream.Run(context.Background(), job, func(string, bool) error {
		now := time.Now()
		x.mu.Lock()
		defer x.mu.Unlock()
		if host.dead {
			return context.Canceled
		}
		if firstAt.IsZero() {
			firstAt = now
			if counts {
				x.record(job, now.Sub(begun))
			}
		} else if counts {
			_ = x.gap.RecordValue(now.Sub(last).Microseconds())
		}
		last = now
		x.bucket(now)
		return nil
	})
	if err == nil {
		host.router.Answered(job, res.Tokens, last.Sub(firstAt))
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.again += max(0, res.Attempts-1)
	if !counts {
		return
	}
	x.asked++
	x.wanted[job.Workspace] += float64(job.MaxTokens)
	switch {
	case err == nil && !time.Now().After(job.Deadline):
		x.onTime += res.Tokens
		x.served[job.Workspace] += float64(res.Tokens)
	case err == nil:
		x.late++
	case !res.Started:
		x.refused++
	default:
		x.lost++
	}
}

func (x *result) record(job *streamer.Job, d time.Duration) {
	_ = x.first.RecordValue(d.Microseconds())
	if job.Priority > 5 {
		_ = x.highFirst.RecordValue(d.Microseconds())
	}
}

const bucketSize = 100 * time.Millisecond

func (x *result) bucket(now time.Time) {
	i := int(now.Sub(x.start) / bucketSize)
	for len(x.buckets) <= i {
		x.buckets = append(x.buckets, 0)
	}
	x.buckets[i]++
}

// ratio is tokens on time over the bound.
func (x *result) ratio() float64 { return float64(x.onTime) / x.length.Seconds() / x.bound }

// fairness is Jain's index of what workspaces were served, over what they would
// be by max-min fairness: who wants little gets it, the others get equal parts.
func (x *result) fairness() float64 {
	var total float64
	for _, v := range x.served {
		total += v
	}
	fair := maxMin(x.wanted, total)
	var sum, squares, n float64
	for w, share := range fair {
		part := x.served[w] / share
		sum += part
		squares += part * part
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMin divides a total among wants.
func maxMin(wants map[string]float64, total float64) map[string]float64 {
	out := make(map[string]float64)
	open := maps.Clone(wants)
	for len(open) > 0 {
		part := total / float64(len(open))
		given := false
		for w, want := range open {
			if want <= part {
				out[w], given = want, true
				total -= want
				delete(open, w)
			}
		}
		if given {
			continue
		}
		for w := range open {
			out[w] = part
		}
		return out
	}
	return out
}

func (x *result) hits() float64 {
	hits, all := 0, 0
	for _, e := range x.fleet.Engines() {
		hits += e.Hits
		all += e.Hits + e.Misses
	}
	return float64(hits) / float64(max(1, all))
}

const header = "| policy | load | tokens/bound | first token p50/p95/p99 ms | gap p50/p95/p99 ms | refused | late | lost | retries | fairness | prefix hits |\n|---|---|---|---|---|---|---|---|---|---|---|\n"

func (x *result) row(name string) string {
	q := func(h *hdrhistogram.Histogram) string {
		return fmt.Sprintf("%.0f / %.0f / %.0f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(95))/1000, float64(h.ValueAtQuantile(99))/1000)
	}
	return fmt.Sprintf("| %s | %.2f | %.3f | %s | %s | %.1f%% | %.1f%% | %.1f%% | %d | %.3f | %.2f |\n", name, x.load, x.ratio(), q(x.first), q(x.gap),
		100*float64(x.refused)/float64(max(1, x.asked)), 100*float64(x.late)/float64(max(1, x.asked)), 100*float64(x.lost)/float64(max(1, x.asked)), x.again, x.fairness(), x.hits())
}

var policies = []struct {
	name string
	make func() picker.Policy
}{
	{"random", func() picker.Policy { return picker.Random{} }},
	{"round robin", func() picker.Policy { return new(picker.RoundRobin) }},
	{"least in flight", func() picker.Policy { return picker.LeastInFlight{} }},
	{"two choices", func() picker.Policy { return picker.TwoChoices{} }},
	{"cheapest", func() picker.Policy { return picker.Cheapest{Steepness: 1, Spread: 0.1, PreferredCost: 0.7} }},
}
