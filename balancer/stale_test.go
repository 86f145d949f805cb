package balancer_test

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

var measure = flag.Bool("measure", false, "replay three seeds")

// staleLoad is a load of streams over engines whose usage hosts know from reports of other hosts.
type staleLoad struct {
	hosts int
	// interval is the time between two exchanges of a host with the relay, so that what is known
	// of other hosts is up to twice as old.
	interval time.Duration
	// factor is the rate of arrivals in terms of the capacity.
	factor float64
	seed   uint64
}

// staleResult counts what became of the requests of a staleLoad.
type staleResult struct {
	requests, served, refused int
	// sent counts arrivals at paths, rejected those that an engine rejected.
	sent, rejected int
	// refusedWithRoom counts requests refused although a path had memory for the prompt and the
	// expected answer left beside a tenth of each engine.
	refusedWithRoom int
	// preempted counts streams that outgrew the memory of an engine.
	preempted int
	// causes counts the rejections by what their host knew.
	causes [3]int
}

// staleEngine is an engine with its true usage in token-layers.
type staleEngine struct {
	span           balancer.Span
	capacity, used float64
}

// staleStream is a stream in progress over a path.
type staleStream struct {
	endsAt time.Duration
	lease  *balancer.Lease
	host   *balancer.Balancer
	hops   []balancer.Hop
	tokens float64
}

// streamQueue orders streams by their end.
type streamQueue []*staleStream

func (q streamQueue) Len() int           { return len(q) }
func (q streamQueue) Less(i, j int) bool { return q[i].endsAt < q[j].endsAt }
func (q streamQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *streamQueue) Push(x any)        { *q = append(*q, x.(*staleStream)) }
func (q *streamQueue) Pop() any {
	old := *q
	out := old[len(old)-1]
	*q = old[:len(old)-1]
	return out
}

const (
	staleRanges, staleHolders = 5, 9
	staleStreamTime           = 2500 * ms
	stalePrompt, staleAnswer  = 760.0, 180.0
)

// replay is the state of a replay in virtual time.
type replay struct {
	staleLoad
	rnd     *rand.Rand
	relay   *balancer.Balancer
	all     []*balancer.Balancer
	engines map[string]*staleEngine
	running streamQueue
	retries []float64
	result  staleResult
}

// newReplay returns engines of three kinds in five ranges of layers, and hosts that know them.
func newReplay(load staleLoad) *replay {
	r := &replay{staleLoad: load, rnd: rand.New(rand.NewPCG(load.seed, 7)), engines: make(map[string]*staleEngine), retries: make([]float64, load.hosts)}
	e := engine()
	e.Slots = 0 // only memory is short
	e.Cards = []matcher.Card{{Name: "fast", MB: 72000, StepTimeFactor: 2.4, ReadTimeFactor: 3.2}, {Name: "middle", MB: 43200, StepTimeFactor: 5.6, ReadTimeFactor: 2.7}, {Name: "slow", MB: 31000, StepTimeFactor: 16, ReadTimeFactor: 8.2}}
	var list []balancer.Upstream
	for i := range staleRanges {
		for k := range staleHolders {
			card := e.Cards[min(2, k*3/5)]
			id := fmt.Sprintf("%d-%d", i, k)
			span := balancer.Span{From: 16 * i, To: 16 * (i + 1)}
			list = append(list, balancer.Upstream{ID: id, Service: "model", Address: id, DataCentre: "a", Card: card.Name, Layers: span})
			r.engines[id] = &staleEngine{span: span, capacity: (card.MB - float64(span.Len())*e.LayerMB) * 1e6 / (e.TokenBytes / float64(e.Layers))}
		}
	}
	r.relay = newHost(0, e, list)
	names := make(map[string]string)
	for i := range load.hosts {
		names[fmt.Sprint(i)] = "a"
	}
	for i := range load.hosts {
		b := newHost(uint64(i)+1000*load.seed, e, list)
		others := make(map[string]string, len(names))
		for name, dc := range names {
			if name != fmt.Sprint(i) {
				others[name] = dc
			}
		}
		b.SetHosts(others)
		r.all = append(r.all, b)
	}
	return r
}

func newHost(seed uint64, e *matcher.Engine, list []balancer.Upstream) *balancer.Balancer {
	b := &balancer.Balancer{DataCentre: "a", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(seed, 1))}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
	b.UpdateUpstreams(list, nil)
	return b
}

// capacityRate returns the arrivals a second that fill nine tenths of the narrowest range.
func (r *replay) capacityRate() float64 {
	perRange := make(map[int]float64)
	for _, e := range r.engines {
		perRange[e.span.From] += e.capacity / float64(e.span.Len())
	}
	least := math.Inf(1)
	for _, v := range perRange {
		least = min(least, v)
	}
	return 0.9 * least / (stalePrompt + staleAnswer/2) / staleStreamTime.Seconds()
}

// run replays 2 s at the capacity, 12 s at the load's factor and 2 s at the capacity again, and
// counts the requests of the 12 s.
func (r *replay) run() staleResult {
	const from, to, end = 2 * time.Second, 14 * time.Second, 16 * time.Second
	rate := r.capacityRate()
	next := make([]time.Duration, r.hosts)
	for i := range next {
		next[i] = time.Duration(r.rnd.Float64() * float64(r.interval))
	}
	due := 0.0
	for now := time.Duration(0); now < end; now += ms {
		r.endStreams(now)
		for i := range next {
			if now >= next[i] {
				r.exchange(now, i)
				next[i] += r.interval
			}
		}
		factor := min(1, r.factor)
		if now >= from && now < to {
			factor = r.factor
		}
		for due += factor * rate / 1000; due >= 1; due-- {
			before := r.result
			r.serve(now, r.rnd.IntN(r.hosts))
			if now < from || now >= to {
				r.result = before
			}
		}
	}
	return r.result
}

// exchange has a host report to the relay and learn the sum of all others.
func (r *replay) exchange(now time.Duration, i int) {
	name := fmt.Sprint(i)
	usage := r.all[i].Usage(now)
	if err := r.relay.SetReport(now, name, usage); err != nil {
		panic(err)
	}
	sum := r.relay.Sum(now, func(source string) bool { return source == name }, nil)
	sum.Hosts["a"]--
	if err := r.all[i].SetReport(now, "fleet", sum); err != nil {
		panic(err)
	}
}

func (r *replay) endStreams(now time.Duration) {
	for len(r.running) > 0 && r.running[0].endsAt <= now {
		s := heap.Pop(&r.running).(*staleStream)
		s.host.Release(s.lease)
		for _, h := range s.hops {
			r.engines[h.ID].used -= s.tokens * float64(h.To-h.From)
		}
	}
}

// serve sends a request to a path, and again after a rejection while a retry is left: one for ten
// requests of a host, as the setting retryRatio has it.
func (r *replay) serve(now time.Duration, i int) {
	b := r.all[i]
	r.result.requests++
	r.retries[i] = min(3, r.retries[i]+0.1)
	prompt := min(2280, r.rnd.ExpFloat64()*stalePrompt)
	answer := min(600, r.rnd.ExpFloat64()*staleAnswer)
	n := balancer.Requirements{Service: "model", PromptTokens: prompt, AnswerTokens: staleAnswer}
	for try := 0; ; try++ {
		l, _ := b.Acquire(now, n)
		if l == nil {
			break
		}
		r.result.sent++
		rejecter := r.arrive(now, b, l, prompt, answer)
		if rejecter == "" {
			r.result.served++
			b.RecordStart(now, l)
			return
		}
		r.result.rejected++
		b.Release(l)
		r.result.causes[b.RecordRejection(now, rejecter).Cause]++
		n.Avoid = append(n.Avoid, rejecter)
		if try >= 3 || r.retries[i] < 1 {
			break
		}
		r.retries[i]--
	}
	r.result.refused++
	if r.hasRoom(prompt + staleAnswer/2) {
		r.result.refusedWithRoom++
	}
}

// arrive starts a stream on its path. It returns the engine without memory for the prompt, if any.
func (r *replay) arrive(now time.Duration, b *balancer.Balancer, l *balancer.Lease, prompt, answer float64) string {
	hops := b.Path(l)
	for _, h := range hops {
		if e := r.engines[h.ID]; e.used+prompt*float64(h.To-h.From) > e.capacity {
			return h.ID
		}
	}
	s := &staleStream{lease: l, host: b, hops: hops, tokens: prompt + answer/2}
	s.endsAt = now + time.Duration((0.4+0.6*answer/staleAnswer)*float64(staleStreamTime))
	for _, h := range hops {
		e := r.engines[h.ID]
		if e.used += s.tokens * float64(h.To-h.From); e.used > e.capacity {
			r.result.preempted++
		}
	}
	heap.Push(&r.running, s)
	return ""
}

// hasRoom reports whether each range has an engine with capacity for the tokens beside a tenth.
func (r *replay) hasRoom(tokens float64) bool {
	room := make(map[int]bool)
	for _, e := range r.engines {
		if e.used+tokens*float64(e.span.Len()) <= 0.9*e.capacity {
			room[e.span.From] = true
		}
	}
	return len(room) == staleRanges
}

// TestStaleReports replays 137 hosts with reports of up to a second ago at 1, 2 and 4 times the capacity. It
// guards against hosts that all fill the same engines while others have capacity left.
func TestStaleReports(t *testing.T) {
	const goodputTarget = 0.9 // of what hosts with fresh reports serve
	for _, factor := range []float64{1, 2, 4} {
		t.Run(fmt.Sprintf("%gx", factor), func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(seeds()) {
				fresh := newReplay(staleLoad{24, 200 * ms, factor, seed}).run()
				stale := newReplay(staleLoad{137, 460 * ms, factor, seed}).run()
				t.Logf("seed %d: fresh %+v", seed, fresh)
				t.Logf("seed %d: stale %+v", seed, stale)
				is.True(float64(stale.served) >= goodputTarget*float64(fresh.served))
			}
		})
	}
}

// seeds returns the number of seeds to replay: three with -measure, else one.
func seeds() int {
	if *measure {
		return 3
	}
	return 1
}
