package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
)

const (
	// firstStrainedSeed is the first seed with strain. Lower ones keep the faults that they were recorded with.
	firstStrainedSeed = 10000
	// strainStream is the PCG stream for strain; callers use the streams from 1 on.
	strainStream = 1 << 40
	// routesAdded is the number of routes that one addition adds to the configuration, maxAdditions the number
	// of additions after which the next one removes the added routes instead.
	routesAdded, maxAdditions = 1400, 3
	// maxLinkRate is the rate of the widest narrow link, in bytes a second: 14 Mbit/s.
	maxLinkRate = 14e6 / 8
	// strainedInterval is the time between two events of a stream in a run with strain: streams last for 2 s, so that
	// many run at once.
	strainedInterval = 100 * time.Millisecond
	// growthGap is the least time between two calls of growConfiguration that add routes.
	growthGap = time.Second
	// wholeRun is longer than any run.
	wholeRun = time.Hour
)

// strain describes conditions, drawn from a seed, that make hosts late without a fault of any upstream.
type strain struct {
	// drawn is set if there is any; alone is set if there are no other faults.
	drawn, alone bool
	// isNarrow is set if the links of all hosts are narrow for the whole run.
	isNarrow bool
	// retries is the retry budget of each service.
	retries faker.RetryRule
	// maxGapMs bounds the random part of the time between two conditions, in milliseconds.
	maxGapMs int
}

// smallRetryRule leaves each of four hosts a half of a retry beyond a tenth of its requests.
var smallRetryRule = faker.RetryRule{Length: 10 * time.Second, Ratio: 0.1, Fixed: 2}

// drawStrain returns the strain of a seed, and the source of randomness for injecting it.
func drawStrain(seed uint64) (strain, *rand.Rand) {
	rnd := rand.New(rand.NewPCG(seed, strainStream))
	if seed < firstStrainedSeed || isSeries(seed) || hasOnce(seed) {
		return strain{retries: retryRule}, rnd
	}
	out := strain{drawn: true, alone: rnd.IntN(2) == 0, isNarrow: rnd.IntN(4) == 0, retries: retryRule, maxGapMs: 400 + rnd.IntN(1400)}
	if rnd.IntN(2) == 0 {
		out.retries = smallRetryRule
	}
	return out, rnd
}

// injectStrain makes hosts late until Length is over or ctx ends.
func (r *Run) injectStrain(ctx context.Context, rnd *rand.Rand, wg *sync.WaitGroup) {
	if r.strain.isNarrow {
		for n := range r.Hosts {
			r.narrow(n, maxLinkRate, wholeRun)
		}
	}
	all := []faultFunc{growConfiguration, starveHosts, starveBesideConfiguration, starveBesideConfiguration, narrowLink}
	for end := time.Now().Add(r.Length); time.Now().Before(end) && ctx.Err() == nil; {
		inject := all[rnd.IntN(len(all))]
		n := rnd.IntN(r.Hosts)
		lasts := time.Duration(300+rnd.IntN(1700)) * time.Millisecond
		faultRand := rand.New(rand.NewPCG(r.Seed, rnd.Uint64()))
		wg.Go(func() { inject(r, faultRand, n, lasts) })
		time.Sleep(time.Duration(200+rnd.IntN(r.strain.maxGapMs)) * time.Millisecond)
	}
}

// growConfiguration adds many routes, up to three times in quick succession, and may write a configuration
// that changes nothing right after. One runs at a time, as hosts read each configuration in between.
func growConfiguration(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	if !r.growing.TryLock() {
		return
	}
	defer r.growing.Unlock()
	defer time.Sleep(growthGap)
	for range 1 + rnd.IntN(3) {
		r.cluster.updateConfiguration(func(c *matcher.Configuration) {
			c.Routes = append([]matcher.Route(nil), c.Routes...)
			r.addRoutes(c)
		})
		r.recordFault("routes", -1, 0, true)
		time.Sleep(time.Duration(rnd.IntN(600)) * time.Millisecond)
	}
	if rnd.IntN(2) == 0 {
		r.cluster.updateConfiguration(func(*matcher.Configuration) {})
	}
}

// addRoutes adds routes that no request matches. Instead of exceeding maxAdditions it removes those that were added.
func (r *Run) addRoutes(c *matcher.Configuration) {
	const prefix = "/added/"
	if r.additions == maxAdditions {
		c.Routes, r.additions = c.Routes[:len(c.Routes)-maxAdditions*routesAdded], 0
		return
	}
	for n := range routesAdded {
		c.Routes = append(c.Routes, route(fmt.Sprintf("%s%d/%d/", prefix, r.additions, n), "desk", matcher.KindIdempotent))
	}
	r.additions++
}

// starveHosts lets one or more hosts, up to all, from the nth on, run only a part of the time, in short turns.
func starveHosts(r *Run, rnd *rand.Rand, n int, lasts time.Duration) {
	turns := []struct{ stopped, whole time.Duration }{
		{65 * time.Millisecond, 75 * time.Millisecond}, {140 * time.Millisecond, 200 * time.Millisecond}, {45 * time.Millisecond, 55 * time.Millisecond},
	}
	turn := turns[rnd.IntN(len(turns))]
	var wg sync.WaitGroup
	for k := range 1 + rnd.IntN(r.Hosts) {
		wg.Go(func() { r.starve((n+k)%r.Hosts, turn.stopped, turn.whole, lasts) })
	}
	wg.Wait()
}

// starveBesideConfiguration starves hosts while they read a large configuration.
func starveBesideConfiguration(r *Run, rnd *rand.Rand, n int, lasts time.Duration) {
	var wg sync.WaitGroup
	own := rand.New(rand.NewPCG(rnd.Uint64(), 0))
	wg.Go(func() { growConfiguration(r, own, n, lasts) })
	starveHosts(r, rnd, n, lasts)
	wg.Wait()
}

// starve stops a host's process for a part of each turn.
func (r *Run) starve(n int, stopped, turn, lasts time.Duration) {
	h := r.cluster.hosts[n]
	if !h.claimProcess() {
		return
	}
	r.recordFault("starve", n, lasts, false)
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		h.signal(syscall.SIGSTOP)
		time.Sleep(stopped)
		h.signal(syscall.SIGCONT)
		time.Sleep(turn - stopped)
	}
	h.mu.Lock()
	h.claimed = false
	h.mu.Unlock()
}

// narrowLink narrows a host's link to the store and to upstreams for a while.
func narrowLink(r *Run, rnd *rand.Rand, n int, lasts time.Duration) {
	if r.strain.isNarrow {
		return
	}
	lasts *= 3
	if !r.narrow(n, maxLinkRate/float64(1+rnd.IntN(4)), lasts) {
		return
	}
	time.Sleep(lasts)
	r.cluster.hosts[n].queue.SetRate(0)
}

// narrow bounds the rate of a host's link, in bytes a second, unless it is bounded already, and reports whether it did.
// lasts is how long, as recorded for the report; the caller ends the bound.
func (r *Run) narrow(n int, rate float64, lasts time.Duration) bool {
	if !r.cluster.hosts[n].queue.SetRate(rate) {
		return false
	}
	r.recordFault(fmt.Sprintf("narrow %.0f kB/s", rate/1000), n, lasts, false)
	return true
}
