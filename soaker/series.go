package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// firstSeriesSeed is the first seed of runs in which upstreams and hosts end one after the other, as processes do that
	// lose power.
	firstSeriesSeed = 20000
	// seriesStream is the PCG stream for these losses.
	seriesStream = 1 << 41
	// seriesUpstreams is the number of further upstreams of service model in such a run, seriesParts the number of parts of
	// which each prompt has one.
	seriesUpstreams, seriesParts = 9, 40
	// recoveryAim is how long after the return of all processes requests have to be served again.
	recoveryAim = 3 * time.Second
)

// isSeries reports whether upstreams and hosts end in series in the run of a seed.
func isSeries(seed uint64) bool { return seed >= firstSeriesSeed && !hasOnce(seed) }

// injectSeries ends all upstreams of service model, all hosts, or both, one process after the other, and starts them
// again, until Length is over or ctx ends.
func (r *Run) injectSeries(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.Seed, seriesStream))
	for end := time.Now().Add(r.Length); time.Now().Before(end) && ctx.Err() == nil; {
		gap := time.Duration(5+rnd.IntN(120)) * time.Millisecond
		lasts := time.Duration(500+rnd.IntN(2000)) * time.Millisecond
		switch rnd.IntN(4) {
		case 0:
			r.loseUpstreams(rnd, gap, lasts)
		case 1:
			r.loseHosts(gap, lasts)
		default:
			r.loseHosts(0, 0)
			time.Sleep(warmUp)
			r.loseUpstreams(rnd, gap, 0)
			r.loseHosts(gap, lasts)
		}
		time.Sleep(recoveryAim + time.Duration(rnd.IntN(3000))*time.Millisecond)
	}
}

// loseUpstreams ends the upstreams of service model, which are back after a while as other incarnations.
func (r *Run) loseUpstreams(rnd *rand.Rand, gap, lasts time.Duration) {
	lasts += upstreamRestart
	r.recordFault("upstreams in series", allHosts, time.Duration(2*seriesUpstreams)*gap+lasts+recoveryAim, false)
	for _, n := range rnd.Perm(len(r.cluster.upstreams)) {
		u := r.cluster.upstreams[n]
		if u.Service != "model" {
			continue
		}
		u.crash()
		time.AfterFunc(lasts, func() { r.restartUpstream(u) })
		time.Sleep(gap)
	}
}

// loseHosts kills all hosts one after the other and starts them again.
func (r *Run) loseHosts(gap, lasts time.Duration) {
	var wg sync.WaitGroup
	for n, h := range r.cluster.hosts {
		if !h.claimProcess() {
			continue
		}
		r.recordFault("kill", n, time.Duration(len(r.cluster.hosts))*gap+lasts+warmUp, false)
		h.signal(syscall.SIGKILL)
		wg.Go(func() {
			h.wait()
			time.Sleep(lasts)
			r.restart(h)
		})
		time.Sleep(gap)
	}
	wg.Wait()
}

// checkSoundParts reports a request that was refused for a part that crashes nothing.
func (h *history) checkSoundParts(report func(string, ...any)) {
	for i := range h.calls {
		c := &h.calls[i]
		if c.status == http.StatusServiceUnavailable && !c.isCrashing && strings.HasPrefix(c.body, "promptPart") {
			report("%s %s at host %d was refused for a sound part: %s", c.path, c.id, c.host, strings.TrimSpace(c.body))
		}
	}
}

// seriesUpstreamIDs returns the ids of the further upstreams in a run of a seed.
func seriesUpstreamIDs(seed uint64) []string {
	if !isSeries(seed) {
		return nil
	}
	out := make([]string, seriesUpstreams)
	for n := range out {
		out[n] = fmt.Sprintf("model-%c", 'd'+n)
	}
	return out
}
