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
	"time"

	"github.com/rs/zerolog"

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
	// WorkspaceShares is the hosts' setting of that name.
	WorkspaceShares bool
	// Binary is the path of the program, Dir the directory for settings and logs.
	Binary, Dir string
	// Earlier is the path of an earlier version of the program; empty if all hosts run Binary. Every
	// second host starts with it, and each restart of a host changes to the other version.
	Earlier string
	Log     zerolog.Logger

	cluster *cluster
	history *history
	mu      sync.Mutex
	// outOfRotation holds the numbers of the hosts to which the load balancer sends nothing.
	outOfRotation map[int]bool
	// crashingPart is the part that some prompts have now; empty if none has.
	crashingPart string
	// restoring is held while the store is restored from a snapshot.
	restoring sync.Mutex
	// strain is the strain that is drawn from Seed.
	strain strain
	// growing is held by growConfiguration.
	growing sync.Mutex
	// additions counts the additions of routes that are in the configuration; cluster.mu guards it.
	additions int
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
	// requestDeadline is the deadline that callers send with each request.
	requestDeadline = 5 * time.Second
)

// Execute starts the cluster, sends requests and injects faults for Length, and checks what was
// observed. When ctx ends it stops injecting and reports early. All that it started has ended
// when it returns. An error means that the cluster could not be started.
func (r *Run) Execute(ctx context.Context) (*Report, error) {
	var err error
	var strainRand *rand.Rand
	r.strain, strainRand = drawStrain(r.Seed)
	if r.cluster, err = newCluster(r.Dir, r.binaries(), r.Hosts, r.Seed, r.WorkspaceShares, r.strain); err != nil {
		return nil, err
	}
	defer r.cluster.close()
	r.history = newHistory()
	r.restartCrashed()
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
	switch {
	case isSeries(r.Seed):
		faults.Go(func() { r.injectSeries(ctx) })
	case !r.strain.alone:
		faults.Go(func() { r.injectFaults(ctx, &faults) })
	}
	if r.strain.drawn {
		faults.Go(func() { r.injectStrain(ctx, strainRand, &faults) })
	}
	faults.Wait()
	time.Sleep(coolDown)
	cancel()
	callers.Wait()
	return r.report(), nil
}

// binaries returns the paths of the versions that run.
func (r *Run) binaries() []string {
	if r.Earlier == "" {
		return []string{r.Binary}
	}
	return []string{r.Binary, r.Earlier}
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
	out.Undisturbed, out.UndisturbedAnswered = r.history.countUndisturbed(func(c *call) {
		r.Log.Info().Str("requestId", c.id).Int("on", c.host).Time("sent", c.sent).Int("status", c.status).Err(c.err).Msg("soaker: undisturbed request not answered")
	})
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
	if hasOnce(r.Seed) {
		paths = append(paths, oncePrefix, oncePrefix)
	}
	if r.strain.drawn {
		paths = append(paths, "/stream/", "/stream/")
	}
	for k := 0; ctx.Err() == nil; k++ {
		c := call{id: fmt.Sprintf("%d-%d-%d", r.Seed, n, k), path: paths[rnd.IntN(len(paths))], key: keyName(rnd.IntN(keyCount))}
		c.host, c.fallback = r.pickHost(rnd)
		r.drawParts(rnd, &c)
		r.send(client, &c)
		for n := 0; hasCopies(r.Seed) && n < maxReturns && c.status == http.StatusServiceUnavailable && c.err == nil; n++ {
			time.Sleep(returnPause)
			r.send(client, &c)
		}
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
	c.status, c.retryAfter, c.body, c.err = 0, 0, "", nil
	h := r.cluster.hosts[c.host]
	c.earlier = h.runsEarlier(r.Earlier)
	defer func() {
		c.ended = time.Now()
		c.earlier = c.earlier || h.runsEarlier(r.Earlier)
	}()
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
	req.Header.Set(platform.Headers.DeadlineMs, strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	if c.parts != "" {
		req.Header.Set(platform.Headers.Parts, c.parts)
	}
	resp, err := client.Do(req)
	if err != nil {
		c.err = err
		return
	}
	defer resp.Body.Close()
	c.status = resp.StatusCode
	if wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		c.retryAfter = time.Duration(wait * float64(time.Second))
	}
	body, err := io.ReadAll(resp.Body)
	c.body, c.err = string(body), err
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
