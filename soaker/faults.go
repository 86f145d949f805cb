package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
)

// faultFunc injects one fault and returns when it is over. n is the number of the host that it
// affects, where it affects one host; rnd is its own source of randomness.
type faultFunc func(r *Run, rnd *rand.Rand, n int, lasts time.Duration)

// injectFaults injects random faults, which may overlap, until Length is over or ctx ends. The seed
// also determines how many kinds of faults are used and how often they come: with all kinds all the
// time, the guarantees for undisturbed hosts would never be tested.
func (r *Run) injectFaults(ctx context.Context, wg *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(r.Seed, 0))
	faults := []faultFunc{killHost, pauseHost, stopHost, disruptStoreLink, crashUpstream, disruptUpstreamLink, leaveUpstream, revokeKeys, moveRoute, failUpstreamRequests, limitUpstream, restoreStore, backOffUpstream, leaveByHeader, surgeOfRanks, reverseRanks, failService, crashByPart}
	rnd.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	faults = faults[:3+rnd.IntN(len(faults)-2)]
	maxGapMs := 300 + rnd.IntN(1500)
	for end := time.Now().Add(r.Length); time.Now().Before(end) && ctx.Err() == nil; {
		inject := faults[rnd.IntN(len(faults))]
		n := rnd.IntN(r.Hosts)
		lasts := time.Duration(500+rnd.IntN(3500)) * time.Millisecond
		faultRand := rand.New(rand.NewPCG(r.Seed, rnd.Uint64()))
		wg.Go(func() { inject(r, faultRand, n, lasts) })
		time.Sleep(time.Duration(200+rnd.IntN(maxGapMs)) * time.Millisecond)
	}
}

// recordFault logs a fault that starts now and adds it to the history. host is -1 for a fault that
// may affect all hosts.
func (r *Run) recordFault(fault string, host int, lasts time.Duration, planned bool) {
	now := time.Now()
	r.Log.Info().Str("fault", fault).Int("on", host).Dur("lasts", lasts).Msg("soaker: fault injected")
	r.history.addIncident(incident{from: now, to: now.Add(lasts), fault: fault, host: host, planned: planned})
}

// claimProcess reserves the host's process for one fault, and reports whether it was free.
func (h *host) claimProcess() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.claimed {
		return false
	}
	h.claimed = true
	return true
}

// killHost ends the host's process with SIGKILL and starts it again after the fault.
func killHost(r *Run, _ *rand.Rand, n int, lasts time.Duration) {
	h := r.cluster.hosts[n]
	if !h.claimProcess() {
		return
	}
	r.recordFault("kill", n, lasts+warmUp, false)
	h.signal(syscall.SIGKILL)
	h.wait()
	time.Sleep(lasts)
	r.restart(h)
}

// restart starts the host's process again and logs a failure.
func (r *Run) restart(h *host) {
	if err := r.cluster.start(h); err != nil {
		r.Log.Error().Err(err).Str("host", h.name).Msg("soaker: cannot start host")
	}
}

// pauseHost stops the host's process with SIGSTOP for a while.
func pauseHost(r *Run, _ *rand.Rand, n int, lasts time.Duration) {
	h := r.cluster.hosts[n]
	if !h.claimProcess() {
		return
	}
	// Some pauses outlast the leases, and the time for which keys may be used without being
	// read again.
	lasts *= 2
	r.recordFault("pause", n, lasts, false)
	h.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	h.signal(syscall.SIGCONT)
	h.mu.Lock()
	h.claimed = false
	h.mu.Unlock()
}

// stopHost stops the host gracefully and starts it again. The load balancer takes the host out of
// rotation, and the requests that it has must end within the grace period.
func stopHost(r *Run, _ *rand.Rand, n int, _ time.Duration) {
	h := r.cluster.hosts[n]
	if !h.claimProcess() {
		return
	}
	const grace = 8 * time.Second
	r.recordFault("stop", n, grace, true)
	began := time.Now()
	h.signal(syscall.SIGTERM)
	code := h.wait()
	if took := time.Since(began); took > grace || (code != 0 && r.history.undisturbedSince(n, began)) {
		r.history.mu.Lock()
		r.history.badExits = append(r.history.badExits, fmt.Sprintf("host %d exited %v after SIGTERM with code %d", n, took, code))
		r.history.mu.Unlock()
	}
	r.restart(h)
}

// undisturbedSince reports whether no unplanned fault could affect a host since a time.
func (h *history) undisturbedSince(host int, from time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.undisturbed(host, from, time.Now())
}

// disruptStoreLink disrupts the host's link to the store in a random mode.
func disruptStoreLink(r *Run, rnd *rand.Rand, n int, lasts time.Duration) {
	mode := Mode(1 + rnd.IntN(len(ModeValues())-1))
	// Long enough for the host's keys to become too old to be used.
	lasts *= 3
	r.recordFault("store "+mode.String(), n, lasts, false)
	r.cluster.hosts[n].storeLink.SetMode(mode)
	time.Sleep(lasts)
	r.cluster.hosts[n].storeLink.SetMode(ModePass)
}

// crashUpstream stops a random upstream's server and starts it again after the fault.
func crashUpstream(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	r.recordFault("crash "+u.ID, -1, lasts, false)
	u.crash()
	time.Sleep(lasts)
	if err := u.serve(); err != nil {
		r.Log.Error().Err(err).Str("upstream", u.ID).Msg("soaker: cannot start upstream")
	}
}

// disruptUpstreamLink disrupts the link to a random upstream in a random mode.
func disruptUpstreamLink(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	mode := Mode(1 + rnd.IntN(len(ModeValues())-1))
	r.recordFault("link "+mode.String()+" "+u.ID, -1, lasts, false)
	u.link.SetMode(mode)
	time.Sleep(lasts)
	u.link.SetMode(ModePass)
}

// leaveUpstream marks a random upstream as leaving, for good. The upstream of each service whose
// id ends in "-a" stays.
func leaveUpstream(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	if strings.HasSuffix(u.ID, "-a") {
		return
	}
	r.markLeaving(u)
}

// markLeaving marks an upstream as leaving in the store, unless it is already.
func (r *Run) markLeaving(u *upstream) {
	r.history.mu.Lock()
	_, left := r.history.leftAt[u.ID]
	if !left {
		entry := u.Upstream
		entry.Leaving = true
		r.cluster.store.PutUpstream(entry)
		r.history.leftAt[u.ID] = time.Now()
	}
	r.history.mu.Unlock()
	if !left {
		r.recordFault("leave "+u.ID, -1, 0, true)
	}
}

// keysPerRevoke is the number of keys revoked at a time: enough that requests with them are
// waiting at a paused host.
const keysPerRevoke = 8

// revokeKeys revokes random keys of the first half, for good.
func revokeKeys(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	gone := make(map[string]bool)
	for range keysPerRevoke {
		gone[keyName(rnd.IntN(keyCount/2))] = true
	}
	at := r.cluster.updateConfiguration(func(c *matcher.Configuration) {
		var left []string
		for _, w := range c.Workspaces {
			for _, k := range w.Keys {
				if !gone[k] {
					left = append(left, k)
				}
			}
		}
		c.Workspaces = workspaces(left)
	})
	r.history.mu.Lock()
	for key := range gone {
		if _, ok := r.history.revokedAt[key]; !ok {
			r.history.revokedAt[key] = at
		}
	}
	r.history.mu.Unlock()
	r.recordFault("revoke", -1, 0, true)
}

// moveRoute moves the route of /moving/ from service desk to service other, for good.
func moveRoute(r *Run, _ *rand.Rand, _ int, _ time.Duration) {
	r.cluster.updateConfiguration(func(c *matcher.Configuration) {
		routes := append([]matcher.Route(nil), c.Routes...)
		for i := range routes {
			if routes[i].Prefix == "/moving/" {
				routes[i].Splits = []matcher.Split{{Service: "other", Weight: 1}}
			}
		}
		c.Routes = routes
	})
	r.recordFault("move", -1, 0, true)
}

// failedRequestsInRow is the number of requests in a row that an upstream fails.
const failedRequestsInRow = 12

// failUpstreamRequests makes a random upstream fail its next requests in random ways.
func failUpstreamRequests(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	list := []faker.StageFault{faker.StageFaultOverloaded, faker.StageFaultReset, faker.StageFaultStatus500, faker.StageFaultWrongResponse, faker.StageFaultUnsigned, faker.StageFaultBrokenStream}
	r.recordFault("trouble "+u.ID, -1, 0, false)
	next := make([]faker.StageFault, failedRequestsInRow)
	for n := range next {
		next[n] = list[rnd.IntN(len(list))]
	}
	u.stage.SetFaults(next...)
}

// failService makes all upstreams of a random service fail the requests that they get for a while, so that
// hosts use up the retry budget.
func failService(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	service := []string{"desk", "model"}[rnd.IntN(2)]
	lasts *= 3
	r.recordFault("fail "+service, -1, lasts, false)
	setFaults := func(list []faker.StageFault) {
		for _, u := range r.cluster.upstreams {
			if u.Service == service {
				u.stage.SetFaults(list...)
			}
		}
	}
	const more = 1 << 14 // requests than arrive meanwhile
	setFaults(slices.Repeat([]faker.StageFault{faker.StageFaultStatus500}, more))
	time.Sleep(lasts)
	setFaults(nil)
}

// limitUpstream makes a random upstream report a low limit on the rate of requests from all hosts
// together, for a while.
func limitUpstream(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	// Longer than the time that hosts have to comply with a new limit.
	lasts *= 4
	r.recordFault("limit "+u.ID, -1, lasts, false)
	u.stage.SetLimit(strconv.FormatFloat(0.5+3*rnd.Float64(), 'f', 1, 64))
	time.Sleep(lasts)
	u.stage.SetLimit("")
}

// backOffUpstream makes a random upstream reject all requests for a while and ask each host that sends
// one to stay away.
func backOffUpstream(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	wait := time.Duration(1000+rnd.IntN(2000)) * time.Millisecond
	// Longer than one wait, so that some requests come back too early.
	lasts *= 2
	r.recordFault("backoff "+u.ID, -1, lasts, false)
	u.stage.SetBackoff(strconv.FormatFloat(wait.Seconds(), 'f', -1, 64), wait)
	time.Sleep(lasts)
	u.stage.SetBackoff("", 0)
}

// leaveByHeader makes a random upstream say in its responses that it leaves, for good, and marks it as
// leaving in the store only later.
func leaveByHeader(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.cluster.upstreams[rnd.IntN(len(r.cluster.upstreams))]
	if strings.HasSuffix(u.ID, "-a") {
		return
	}
	r.recordFault("leave by header "+u.ID, -1, 0, true)
	u.stage.SetLeaving("1")
	time.Sleep(2 * lasts)
	r.markLeaving(u)
}

// restoreStore takes the store down and restores it from a snapshot from before the outage. Operators
// and upstreams then write the configuration and their entries again, and soon after an upstream
// may be marked as leaving. One restore runs at a time.
func restoreStore(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	if !r.restoring.TryLock() {
		return
	}
	defer r.restoring.Unlock()
	snapshot := r.cluster.store.Snapshot()
	time.Sleep(lasts)
	outage := time.Duration(200+rnd.IntN(1300)) * time.Millisecond
	r.recordFault(restoreFault, -1, outage, false)
	r.cluster.store.SetUnavailable(true)
	time.Sleep(outage)
	r.cluster.store.Restore(snapshot)
	r.cluster.store.SetUnavailable(false)
	r.cluster.updateConfiguration(func(*matcher.Configuration) {})
	r.writeEntries()
	time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	leaveUpstream(r, rnd, 0, 0)
}
