package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/platform"
)

// Run is one fault-injection run. The exported fields are set before Execute.
type Run struct {
	// Seed determines everything random; runs with the same seed inject the same faults.
	Seed uint64
	// Length is how long faults are injected.
	Length time.Duration
	// Hosts is the number of processes of the program, Callers that of concurrent requests.
	Hosts, Callers int
	// Binary is the path of the program, Dir the directory for settings and logs.
	Binary, Dir string
	Log         zerolog.Logger

	cluster *cluster
	history *history
	mu      sync.Mutex
	// outOfRotation holds the numbers of the hosts to which the load balancer sends nothing.
	outOfRotation map[int]bool
	// restoring is held while the store is restored from a snapshot.
	restoring sync.Mutex
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Calls counts the requests sent, Answered those answered in full with status 200.
	// Undisturbed and UndisturbedAnswered count the same among the requests with keys that were
	// never revoked, sent to hosts in rotation, which no unplanned fault could affect.
	Calls, Answered, Undisturbed, UndisturbedAnswered int
	// Faults lists the injected faults as kind@host; host -1 stands for all hosts.
	Faults []string
	// Violations describes each violation of a guarantee; it is empty when the run passed.
	Violations []string
}

const (
	// warmUp is how long hosts have to become ready after their start.
	warmUp = 3 * time.Second
	// coolDown is how long after the last fault the run goes on, so that pending requests end and
	// requests that were refused as not run are seen if they run after all.
	coolDown = 6 * time.Second
	// minUndisturbedShare is the share of the undisturbed requests that must be answered.
	// Stopped hosts and moved routes cost far less than the rest.
	minUndisturbedShare = 0.95
	// callTimeout is the client timeout of each request.
	callTimeout = 6 * time.Second
)

// Execute starts the cluster, sends requests and injects faults for Length, and checks what was
// observed. When ctx ends it stops injecting and reports early. All that it started has ended
// when it returns. An error means that the cluster could not be started.
func (r *Run) Execute(ctx context.Context) (*Report, error) {
	var err error
	if r.cluster, err = newCluster(r.Dir, r.Binary, r.Hosts, r.Seed); err != nil {
		return nil, err
	}
	defer r.cluster.close()
	r.history = newHistory()
	r.outOfRotation = make(map[int]bool)
	for _, h := range r.cluster.hosts {
		if err := r.cluster.start(h); err != nil {
			return nil, err
		}
	}
	time.Sleep(warmUp)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers, faults sync.WaitGroup
	for n := range r.Callers {
		callers.Go(func() { r.runCaller(ctx, n) })
	}
	callers.Go(func() { r.pollReadiness(ctx) })
	callers.Go(func() { r.writeHeartbeats(ctx) })
	faults.Go(func() { r.injectFaults(ctx, &faults) })
	faults.Wait()
	time.Sleep(coolDown)
	cancel()
	callers.Wait()
	return r.report(), nil
}

// report checks the history and summarises it.
func (r *Run) report() *Report {
	out := &Report{Seed: r.Seed, Calls: len(r.history.calls), Violations: r.history.check(r.cluster)}
	for _, c := range r.history.calls {
		if c.status == http.StatusOK && c.err == nil {
			out.Answered++
		}
	}
	for _, i := range r.history.incidents {
		out.Faults = append(out.Faults, fmt.Sprintf("%s@%d", i.fault, i.host))
	}
	out.Undisturbed, out.UndisturbedAnswered = r.history.countUndisturbed()
	if float64(out.UndisturbedAnswered) < minUndisturbedShare*float64(out.Undisturbed) {
		out.Violations = append(out.Violations, fmt.Sprintf("too few undisturbed requests were answered: %d of %d", out.UndisturbedAnswered, out.Undisturbed))
	}
	return out
}

// runCaller sends requests one after the other over persistent connections until ctx ends. n is
// the number of the caller.
func (r *Run) runCaller(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	paths := []string{"/look/", "/book/", "/moving/", "/stream/"}
	for k := 0; ctx.Err() == nil; k++ {
		c := call{id: fmt.Sprintf("%d-%d-%d", r.Seed, n, k), path: paths[rnd.IntN(len(paths))], key: keyName(rnd.IntN(keyCount))}
		c.host, c.fallback = r.pickHost(rnd)
		r.send(client, &c)
		r.history.addCall(c)
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

// pickHost picks a random host that is in the load balancer's rotation. When fewer than half are,
// it picks among all hosts and reports that as a fallback.
func (r *Run) pickHost(rnd *rand.Rand) (n int, fallback bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = rnd.IntN(r.Hosts)
	if 2*len(r.outOfRotation) > r.Hosts {
		return n, true
	}
	for r.outOfRotation[n] {
		n = (n + 1) % r.Hosts
	}
	return n, false
}

// pollReadiness polls the readiness endpoint of each host, as the load balancer does: two failures
// in a row take a host out of rotation until it is ready again.
func (r *Run) pollReadiness(ctx context.Context) {
	const period, timeout, maxMisses = time.Second, 500 * time.Millisecond, 2
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := make([]int, r.Hosts)
	tick := time.NewTicker(period)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for n, h := range r.cluster.hosts {
			if isReady(ctx, client, h) {
				misses[n] = 0
			} else {
				misses[n]++
			}
			r.mu.Lock()
			if misses[n] >= maxMisses {
				r.outOfRotation[n] = true
			} else {
				delete(r.outOfRotation, n)
			}
			r.mu.Unlock()
		}
	}
}

// isReady reports whether the host's readiness endpoint answers with status 200.
func isReady(ctx context.Context, client *http.Client, h *host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readyAddress+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// send sends the request of c and records its result in c.
func (r *Run) send(client *http.Client, c *call) {
	c.sent = time.Now()
	defer func() { c.ended = time.Now() }()
	method := http.MethodPost
	if strings.HasPrefix(c.path, "/look/") {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.cluster.hosts[c.host].callersAddress+c.path+c.id, strings.NewReader("lot 12"))
	if err != nil {
		c.err = err
		return
	}
	// With GetBody set, the HTTP client may resend a request by itself, so that its id runs twice.
	req.GetBody = nil
	req.Host = serviceHost
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set(platform.Headers.RequestID, c.id)
	req.Header.Set(platform.Headers.DeadlineMs, "5000")
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	c.body, c.err = string(body), err
}

// faultFunc injects one fault and returns when it is over. n is the number of the host that it
// affects, where it affects one host; rnd is its own source of randomness.
type faultFunc func(r *Run, rnd *rand.Rand, n int, lasts time.Duration)

// injectFaults injects random faults, which may overlap, until Length is over or ctx ends. The seed
// also determines how many kinds of faults are used and how often they come: with all kinds all the
// time, the guarantees for undisturbed hosts would never be tested.
func (r *Run) injectFaults(ctx context.Context, wg *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(r.Seed, 0))
	faults := []faultFunc{killHost, pauseHost, stopHost, disruptStoreLink, crashUpstream, disruptUpstreamLink, leaveUpstream, revokeKeys, moveRoute, failUpstreamRequests, limitUpstream, restoreStore}
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
	r.history.mu.Lock()
	_, left := r.history.leftAt[u.ID]
	r.history.mu.Unlock()
	if left {
		return
	}
	entry := u.Upstream
	entry.Leaving = true
	r.history.mu.Lock()
	r.cluster.store.PutUpstream(entry)
	r.history.leftAt[u.ID] = time.Now()
	r.history.mu.Unlock()
	r.recordFault("leave "+u.ID, -1, 0, true)
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
		for _, k := range c.Workspaces[0].Keys {
			if !gone[k] {
				left = append(left, k)
			}
		}
		c.Workspaces = []matcher.Workspace{{Name: "mill", Keys: left}}
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

// heartbeatInterval is the time between two writes of an upstream's entry.
const heartbeatInterval = 1200 * time.Millisecond

// writeHeartbeats writes the entries of all upstreams in every heartbeatInterval until ctx ends, as
// real upstreams do.
func (r *Run) writeHeartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.writeEntries()
		}
	}
}

// writeEntries writes the current entry of each upstream to the store.
func (r *Run) writeEntries() {
	r.history.mu.Lock()
	defer r.history.mu.Unlock()
	for _, u := range r.cluster.upstreams {
		entry := u.Upstream
		_, entry.Leaving = r.history.leftAt[u.ID]
		r.cluster.store.PutUpstream(entry)
	}
}
