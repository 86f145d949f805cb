package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// rankReplay plays requests of several ranks in virtual time: hosts whose reports of each other are
// late, over stages whose memory is the limit.
type rankReplay struct {
	rnd     *rand.Rand
	hosts   []*rankHost
	reports []delayedReport
	// memory holds what all requests take of each upstream, in token-layers.
	memory  map[string]float64
	running []rankedStream
	retries []rankedRequest
	mix     []float64
	// reserve is set where requests leave capacity to more urgent ones.
	reserve bool
	// alone is set where only the most urgent requests arrive from reactionTime after the start of
	// the overload.
	alone bool
	// deadline is how long callers wait.
	deadline time.Duration
	// lastServed is when the last request of each rank was served, standstill the longest time
	// between two of them.
	lastServed, standstill           []time.Duration
	arrived, served, inTime, refused []int
	rejected                         int
	// capacity is how many streams the upstreams run at a time.
	capacity float64
	// busy sums up the requests in flight over ticks ticks.
	busy, ticks float64
}

// rankHost is a host with its balancer and its decision on ranks.
type rankHost struct {
	*balancer.Balancer
	reserve *admitter.RankReserve
	demands *admitter.Demands
}

type rankedRequest struct {
	rank      int
	arrivedAt time.Duration
	// due is when the caller repeats the request.
	due     time.Duration
	repeats int
}

type rankedStream struct {
	host  *rankHost
	lease *balancer.Lease
	// startedAt is when it started, ends when it ends.
	startedAt, ends time.Duration
}

type delayedReport struct {
	due    time.Duration
	from   int
	report balancer.Report
}

const (
	rankedHosts = 8
	// rankedLife is how long a stream runs.
	rankedLife = 2 * time.Second
	// reactionTime is the age of reports, before which no host knows of an overload.
	reactionTime = 400 * ms
	// reportDelay is how long a report takes, reportInterval the time between two.
	reportDelay, reportInterval = 250 * ms, 300 * ms
	// rankedDeadline is how long callers wait, rankedTarget for how long of it in time.
	rankedDeadline, rankedTarget = 20 * time.Second, 500 * ms
	// usualFirstEvent is the time to the first event when there is capacity.
	usualFirstEvent = 150 * ms
	rankedTokens    = 774 + 210/2
	// rankedMemory is what an upstream has for requests, in token-layers.
	rankedMemory = (144000 - 40*1750) * 1e6 / (590000 / 80.)
)

// newRankReplay returns a replay at a number of hosts, with the given number of upstreams for each half
// of the layers.
func newRankReplay(seed uint64, mix []float64, hosts, upstreams int) *rankReplay {
	p := &rankReplay{rnd: rand.New(rand.NewPCG(seed, 2)), memory: make(map[string]float64), mix: mix, deadline: rankedDeadline}
	p.arrived, p.served, p.inTime, p.refused = make([]int, len(mix)), make([]int, len(mix)), make([]int, len(mix)), make([]int, len(mix))
	p.lastServed, p.standstill = make([]time.Duration, len(mix)), make([]time.Duration, len(mix))
	e := engine()
	e.Slots = 0
	names := make(map[string]string)
	for i := range hosts {
		names[fmt.Sprint("h", i)] = "a"
	}
	for i := range hosts {
		b := &balancer.Balancer{Host: fmt.Sprint("h", i), DataCentre: "a", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
		var list []balancer.Upstream
		for half := range 2 {
			for k := range upstreams {
				id := fmt.Sprint(half, k)
				list = append(list, balancer.Upstream{ID: id, Service: "model", Address: id, DataCentre: "a", Card: "large", Layers: balancer.Span{From: 40 * half, To: 40 * (half + 1)}})
			}
		}
		others := make(map[string]string)
		for n, dc := range names {
			if n != b.Host {
				others[n] = dc
			}
		}
		b.SetHosts(others)
		b.UpdateUpstreams(list, nil)
		h := &rankHost{Balancer: b, demands: &admitter.Demands{Hosts: func() int { return hosts }}}
		h.reserve = &admitter.RankReserve{MoreUrgent: h.demands.MoreUrgent, Hosts: h.demands.Hosts}
		p.hosts = append(p.hosts, h)
	}
	p.capacity = p.hosts[0].Capacity(time.Second, "model")
	return p
}

// try admits a request at a host if there is capacity.
func (p *rankReplay) try(now time.Duration, h *rankHost, r rankedRequest) bool {
	n := balancer.Requirements{Service: "model", PromptTokens: 774, AnswerTokens: 210}
	if p.reserve {
		n.KeepFree = h.reserve.KeepFree(now, "model", r.rank, h.Capacity(now, "model"), p.deadline)
	}
	l := p.acquire(now, h, n)
	if l == nil {
		return false
	}
	h.reserve.RecordAdmitted(now, "model", r.rank)
	p.running = append(p.running, rankedStream{h, l, now, now + time.Duration((0.6+0.8*p.rnd.Float64())*float64(rankedLife))})
	p.served[r.rank]++
	p.standstill[r.rank] = max(p.standstill[r.rank], now-p.lastServed[r.rank])
	p.lastServed[r.rank] = now
	if now+usualFirstEvent-r.arrivedAt <= rankedTarget {
		p.inTime[r.rank]++
	}
	return true
}

// acquire acquires a path, over up to two rejections by upstreams that are full.
func (p *rankReplay) acquire(now time.Duration, h *rankHost, n balancer.Requirements) *balancer.Lease {
	for range 3 {
		l, _ := h.Acquire(now, n)
		if l == nil {
			return nil
		}
		full := ""
		hops := h.Path(l)
		for _, hop := range hops {
			if p.memory[hop.ID]+rankedTokens*40 > rankedMemory {
				full = hop.ID
			}
		}
		if full == "" {
			for _, hop := range hops {
				p.memory[hop.ID] += rankedTokens * 40
			}
			return l
		}
		p.rejected++
		h.RecordRejection(now, full)
		n.Avoid = append(n.Avoid, full)
		h.Release(l)
	}
	return nil
}

// arrive has a request arrive at a host.
func (p *rankReplay) arrive(now time.Duration, r rankedRequest) {
	h := p.hosts[p.rnd.IntN(len(p.hosts))]
	h.demands.RecordArrival(now, admitter.DemandKey{Service: "model", Rank: r.rank})
	if p.try(now, h, r) {
		return
	}
	p.refuse(now, h, r)
}

// refuse refuses a request, which its caller repeats once.
func (p *rankReplay) refuse(now time.Duration, h *rankHost, r rankedRequest) {
	p.refused[r.rank]++
	h.reserve.RecordRefused(now, "model", r.rank)
	if r.repeats == 0 {
		r.repeats, r.due = 1, now+800*ms+time.Duration(p.rnd.Float64()*float64(800*ms))
		p.retries = append(p.retries, r)
	}
}

func (p *rankReplay) step(now time.Duration) {
	left := p.running[:0]
	for _, r := range p.running {
		if now < r.ends {
			left = append(left, r)
			continue
		}
		for _, hop := range r.host.Path(r.lease) {
			p.memory[hop.ID] -= rankedTokens * 40
		}
		r.host.Release(r.lease)
		r.host.reserve.RecordReleased(now, "model", now-r.startedAt)
	}
	p.running = left
	p.busy += float64(len(left))
	p.ticks++
	if now%reportInterval == 0 {
		for i, h := range p.hosts {
			p.reports = append(p.reports, delayedReport{now + reportDelay, i, h.Usage(now)})
		}
	}
	for len(p.reports) > 0 && p.reports[0].due <= now {
		for i, h := range p.hosts {
			if i != p.reports[0].from {
				if err := h.SetReport(now, fmt.Sprint("h", p.reports[0].from), p.reports[0].report); err != nil {
					panic(err)
				}
			}
		}
		p.reports = p.reports[1:]
	}
	waiting := p.retries[:0]
	var due []rankedRequest
	for _, r := range p.retries {
		if r.due <= now {
			due = append(due, r)
		} else {
			waiting = append(waiting, r)
		}
	}
	p.retries = waiting
	for _, r := range due {
		p.arrive(now, r)
	}
}

// play has requests arrive at a multiple of the capacity for some seconds, after a second at half of it.
func (p *rankReplay) play(times float64, length time.Duration) {
	from, start := time.Second, 3*time.Second
	for now := from; now < start+length; now += tick {
		if now == start {
			for i := range p.mix {
				p.lastServed[i], p.standstill[i] = now, 0
			}
			p.busy, p.ticks = 0, 0
			for i := range p.mix {
				p.arrived[i], p.served[i], p.inTime[i], p.refused[i] = 0, 0, 0, 0
			}
		}
		p.step(now)
		rate := 0.5
		if now >= start {
			rate = times
		}
		for n := p.poisson(rate * p.capacity / rankedLife.Seconds() * tick.Seconds()); n > 0; n-- {
			r := rankedRequest{rank: p.draw(), arrivedAt: now}
			if p.alone && now >= start+reactionTime && r.rank > 0 {
				continue
			}
			p.arrived[r.rank]++
			p.arrive(now, r)
		}
	}
	for i, at := range p.lastServed {
		p.standstill[i] = max(p.standstill[i], start+length-at)
	}
}

// poisson returns a Poisson distributed number.
func (p *rankReplay) poisson(mean float64) int {
	n := 0
	for x := p.rnd.ExpFloat64(); x < mean; x += p.rnd.ExpFloat64() {
		n++
	}
	return n
}

// draw returns a rank by the mix.
func (p *rankReplay) draw() int {
	x := p.rnd.Float64()
	for i, share := range p.mix {
		if x -= share; x < 0 {
			return i
		}
	}
	return len(p.mix) - 1
}

func (p *rankReplay) String() string {
	out := ""
	for i := range p.mix {
		out += fmt.Sprintf("| %.2f / %.2f ", float64(p.served[i])/float64(p.arrived[i]), float64(p.inTime[i])/float64(p.arrived[i]))
	}
	return out + fmt.Sprintf("| use %.2f rejected %d", p.busy/p.ticks/p.capacity, p.rejected)
}

// add adds the counts of another replay.
func (p *rankReplay) add(other *rankReplay) {
	for i := range p.mix {
		p.arrived[i] += other.arrived[i]
		p.served[i] += other.served[i]
		p.inTime[i] += other.inTime[i]
		p.refused[i] += other.refused[i]
	}
	p.busy += other.busy
	p.ticks += other.ticks
	p.rejected += other.rejected
}

// total returns the sum of a count over the ranks.
func (p *rankReplay) total(counts []int) float64 {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return float64(sum)
}

// servedShare returns the share of a rank's requests that were served.
func (p *rankReplay) servedShare(rank int) float64 {
	return float64(p.served[rank]) / float64(max(1, p.arrived[rank]))
}

// playSeeds returns the sum of the replays with three seeds. prepare may change each of them.
func playSeeds(times float64, length time.Duration, prepare func(p *rankReplay)) *rankReplay {
	sum := newRankReplay(0, rankShares, rankedHosts, 3)
	for seed := range uint64(3) {
		p := newRankReplay(seed, rankShares, rankedHosts, 3)
		prepare(p)
		p.play(times, length)
		sum.add(p)
	}
	return sum
}
