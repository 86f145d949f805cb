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

// Run is one soak. The fields are set before Play.
type Run struct {
	Seed uint64
	// Length is how long faults come.
	Length time.Duration
	// Hosts is the number of processes of the program, Callers of requests at a
	// time.
	Hosts, Callers int
	// Binary is the program, Dir where settings and logs go.
	Binary, Dir string
	Log         zerolog.Logger

	w *world
	l *ledger
	// out are the hosts that the balancer sends nothing to, by number.
	mu  sync.Mutex
	out map[int]bool
	// restoring is held while the store goes back to a copy.
	restoring sync.Mutex
}

// Report is what a run found.
type Report struct {
	Seed uint64
	// Calls is how many requests were sent, Answered those with a 2xx; Calm and
	// CalmAnswered the same of those that nothing unplanned befell.
	Calls, Answered, Calm, CalmAnswered int
	Faults                              []string
	// Broken are promises that were not kept.
	Broken []string
}

const (
	// warmUp is how long hosts have to be ready before faults begin.
	warmUp = 3 * time.Second
	// coolDown is how long after the last fault what is under way may end, and
	// what was refused may show that it runs all the same.
	coolDown = 6 * time.Second
	// calmShare of the requests in calm times have to be answered: what stopped
	// hosts and moved routes cost is far below the rest.
	calmShare = 0.95
	// callTimeout is the time that callers allow.
	callTimeout = 6 * time.Second
)

// Play runs the soak and checks what was seen. When ctx ends it stops what it
// started and returns early.
func (r *Run) Play(ctx context.Context) (*Report, error) {
	var err error
	if r.w, err = newWorld(r.Dir, r.Binary, r.Hosts, r.Seed); err != nil {
		return nil, err
	}
	defer r.w.close()
	r.l = newLedger()
	r.out = make(map[int]bool)
	for _, h := range r.w.hosts {
		if err := r.w.start(h); err != nil {
			return nil, err
		}
	}
	time.Sleep(warmUp)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers, faults sync.WaitGroup
	for n := range r.Callers {
		callers.Go(func() { r.call(ctx, n) })
	}
	callers.Go(func() { r.balance(ctx) })
	callers.Go(func() { r.beat(ctx) })
	faults.Go(func() { r.harm(ctx, &faults) })
	faults.Wait()
	time.Sleep(coolDown)
	cancel()
	callers.Wait()
	return r.report(), nil
}

func (r *Run) report() *Report {
	out := &Report{Seed: r.Seed, Calls: len(r.l.calls), Broken: r.l.check(r.w)}
	for _, c := range r.l.calls {
		if c.status == http.StatusOK && c.err == nil {
			out.Answered++
		}
	}
	for _, i := range r.l.incidents {
		out.Faults = append(out.Faults, fmt.Sprintf("%s@%d", i.what, i.host))
	}
	out.Calm, out.CalmAnswered = r.l.calmCalls()
	if float64(out.CalmAnswered) < calmShare*float64(out.Calm) {
		out.Broken = append(out.Broken, fmt.Sprintf("%d of %d requests in calm times were answered", out.CalmAnswered, out.Calm))
	}
	return out
}

// call sends one request after the other over kept connections.
func (r *Run) call(ctx context.Context, n int) {
	rnd := rand.New(rand.NewPCG(r.Seed, uint64(n)+1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}, Timeout: callTimeout}
	defer client.CloseIdleConnections()
	paths := []string{"/look/", "/book/", "/moving/", "/stream/"}
	for k := 0; ctx.Err() == nil; k++ {
		c := call{id: fmt.Sprintf("%d-%d-%d", r.Seed, n, k), path: paths[rnd.IntN(len(paths))], key: keyName(rnd.IntN(keys))}
		c.host, c.forced = r.pick(rnd)
		r.send(client, &c)
		r.l.add(c)
		time.Sleep(time.Duration(rnd.IntN(20)) * time.Millisecond)
	}
}

// pick chooses a host that is in the balancer's rotation. When fewer than half
// are, it is any, and forced.
func (r *Run) pick(rnd *rand.Rand) (n int, forced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n = rnd.IntN(r.Hosts)
	if 2*len(r.out) > r.Hosts {
		return n, true
	}
	for r.out[n] {
		n = (n + 1) % r.Hosts
	}
	return n, false
}

// balance asks each host whether it is ready, as the balancer does: two misses
// take it out until it answers again.
func (r *Run) balance(ctx context.Context) {
	const period, timeout, most = time.Second, 500 * time.Millisecond, 2
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
		for n, h := range r.w.hosts {
			if isReady(ctx, client, h) {
				misses[n] = 0
			} else {
				misses[n]++
			}
			r.mu.Lock()
			if misses[n] >= most {
				r.out[n] = true
			} else {
				delete(r.out, n)
			}
			r.mu.Unlock()
		}
	}
}

func isReady(ctx context.Context, client *http.Client, h *host) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+platform.ReadyPath, nil)
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

func (r *Run) send(client *http.Client, c *call) {
	c.sent = time.Now()
	defer func() { c.ended = time.Now() }()
	method := http.MethodPost
	if strings.HasPrefix(c.path, "/look/") {
		method = http.MethodGet
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+r.w.hosts[c.host].callers+c.path+c.id, strings.NewReader("lot 12"))
	if err != nil {
		c.err = err
		return
	}
	// Without it the client sends a request again by itself, and its id runs twice.
	req.GetBody = nil
	req.Host = hostName
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

// fault is one way to harm the world; it returns when it is over.
type fault func(r *Run, rnd *rand.Rand, n int, lasts time.Duration)

// harm draws faults that come in series and overlap. Seeds differ in how many
// kinds they draw from and how dense these come: with all kinds all the time a
// promise that holds for calm hosts is never put to the test.
func (r *Run) harm(ctx context.Context, wg *sync.WaitGroup) {
	rnd := rand.New(rand.NewPCG(r.Seed, 0))
	faults := []fault{kill, pause, stop, cutStore, crash, harmLink, leave, revoke, move, trouble, limit, restore}
	rnd.Shuffle(len(faults), func(i, j int) { faults[i], faults[j] = faults[j], faults[i] })
	faults = faults[:3+rnd.IntN(len(faults)-2)]
	rest := 300 + rnd.IntN(1500)
	for end := time.Now().Add(r.Length); time.Now().Before(end) && ctx.Err() == nil; {
		one := faults[rnd.IntN(len(faults))]
		n := rnd.IntN(r.Hosts)
		lasts := time.Duration(500+rnd.IntN(3500)) * time.Millisecond
		own := rand.New(rand.NewPCG(r.Seed, rnd.Uint64()))
		wg.Go(func() { one(r, own, n, lasts) })
		time.Sleep(time.Duration(200+rnd.IntN(rest)) * time.Millisecond)
	}
}

// during notes a fault that lasts.
func (r *Run) during(what string, host int, lasts time.Duration, planned bool) {
	now := time.Now()
	r.Log.Info().Str("fault", what).Int("on", host).Dur("lasts", lasts).Msg("soaker: fault")
	r.l.note(incident{from: now, to: now.Add(lasts), what: what, host: host, planned: planned})
}

// claim takes a host for a fault of its process; one at a time.
func (h *host) claim() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return false
	}
	h.stopped = true
	return true
}

func kill(r *Run, _ *rand.Rand, n int, lasts time.Duration) {
	h := r.w.hosts[n]
	if !h.claim() {
		return
	}
	r.during("kill", n, lasts+warmUp, false)
	h.signal(syscall.SIGKILL)
	h.end()
	time.Sleep(lasts)
	r.restart(h)
}

func (r *Run) restart(h *host) {
	if err := r.w.start(h); err != nil {
		r.Log.Error().Err(err).Str("host", h.name).Msg("soaker: host not started")
	}
}

func pause(r *Run, _ *rand.Rand, n int, lasts time.Duration) {
	h := r.w.hosts[n]
	if !h.claim() {
		return
	}
	// Some last longer than leases, and than a key may be known.
	lasts *= 2
	r.during("pause", n, lasts, false)
	h.signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	h.signal(syscall.SIGCONT)
	h.mu.Lock()
	h.stopped = false
	h.mu.Unlock()
}

// stop is a planned one. The balancer turns away, and what is open has to end.
func stop(r *Run, _ *rand.Rand, n int, _ time.Duration) {
	h := r.w.hosts[n]
	if !h.claim() {
		return
	}
	const grace = 8 * time.Second
	r.during("stop", n, grace, true)
	began := time.Now()
	h.signal(syscall.SIGTERM)
	code := h.end()
	if took := time.Since(began); took > grace || (code != 0 && r.l.calmNow(n, began)) {
		r.l.mu.Lock()
		r.l.exits = append(r.l.exits, fmt.Sprintf("host %d ended %v after SIGTERM with code %d", n, took, code))
		r.l.mu.Unlock()
	}
	r.restart(h)
}

func (l *ledger) calmNow(host int, from time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.calm(host, from, time.Now())
}

func cutStore(r *Run, rnd *rand.Rand, n int, lasts time.Duration) {
	mode := Mode(1 + rnd.IntN(len(ModeValues())-1))
	// Long enough for keys to grow too old.
	lasts *= 3
	r.during("store "+mode.String(), n, lasts, false)
	r.w.hosts[n].store.Set(mode)
	time.Sleep(lasts)
	r.w.hosts[n].store.Set(ModePass)
}

func crash(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.w.ups[rnd.IntN(len(r.w.ups))]
	r.during("crash "+u.ID, -1, lasts, false)
	u.crash()
	time.Sleep(lasts)
	if err := u.serve(); err != nil {
		r.Log.Error().Err(err).Str("upstream", u.ID).Msg("soaker: upstream not started")
	}
}

func harmLink(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.w.ups[rnd.IntN(len(r.w.ups))]
	mode := Mode(1 + rnd.IntN(len(ModeValues())-1))
	r.during("link "+mode.String()+" "+u.ID, -1, lasts, false)
	u.link.Set(mode)
	time.Sleep(lasts)
	u.link.Set(ModePass)
}

// leave has an upstream leave for good; one of each service stays.
func leave(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	u := r.w.ups[rnd.IntN(len(r.w.ups))]
	if strings.HasSuffix(u.ID, "-a") {
		return
	}
	r.l.mu.Lock()
	_, left := r.l.left[u.ID]
	r.l.mu.Unlock()
	if left {
		return
	}
	entry := u.Upstream
	entry.Leaving = true
	r.l.mu.Lock()
	r.w.store.List(entry)
	r.l.left[u.ID] = time.Now()
	r.l.mu.Unlock()
	r.during("leave "+u.ID, -1, 0, true)
}

// revoked is how many keys go at a time: enough that requests under them wait
// at a paused host.
const revoked = 8

func revoke(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	gone := make(map[string]bool)
	for range revoked {
		gone[keyName(rnd.IntN(keys/2))] = true
	}
	at := r.w.configure(func(c *matcher.Configuration) {
		var left []string
		for _, k := range c.Workspaces[0].Keys {
			if !gone[k] {
				left = append(left, k)
			}
		}
		c.Workspaces = []matcher.Workspace{{Name: "mill", Keys: left}}
	})
	r.l.mu.Lock()
	for key := range gone {
		if _, ok := r.l.revoked[key]; !ok {
			r.l.revoked[key] = at
		}
	}
	r.l.mu.Unlock()
	r.during("revoke", -1, 0, true)
}

// move sends a route to another service, for good.
func move(r *Run, _ *rand.Rand, _ int, _ time.Duration) {
	r.w.configure(func(c *matcher.Configuration) {
		routes := append([]matcher.Route(nil), c.Routes...)
		for i := range routes {
			if routes[i].Prefix == "/moving/" {
				routes[i].Splits = []matcher.Split{{Service: "other", Weight: 1}}
			}
		}
		c.Routes = routes
	})
	r.during("move", -1, 0, true)
}

// troubles is how many requests in a row an upstream spoils.
const troubles = 12

func trouble(r *Run, rnd *rand.Rand, _ int, _ time.Duration) {
	u := r.w.ups[rnd.IntN(len(r.w.ups))]
	list := []faker.Trouble{faker.TroubleFull, faker.TroubleReset, faker.TroubleFailed, faker.TroubleForeign, faker.TroubleUnsigned, faker.TroubleCut}
	r.during("trouble "+u.ID, -1, 0, false)
	next := make([]faker.Trouble, troubles)
	for n := range next {
		next[n] = list[rnd.IntN(len(list))]
	}
	u.stage.Trouble(next...)
}

// limit has an upstream take few requests from all hosts together for a while.
func limit(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	u := r.w.ups[rnd.IntN(len(r.w.ups))]
	// Longer than the time from which a limit has to be kept.
	lasts *= 4
	r.during("limit "+u.ID, -1, lasts, false)
	u.stage.SetLimit(strconv.FormatFloat(0.5+3*rnd.Float64(), 'f', 1, 64))
	time.Sleep(lasts)
	u.stage.SetLimit("")
}

// restore has the store come back from a copy that is some time old; what operators and
// upstreams wrote is written again.
func restore(r *Run, rnd *rand.Rand, _ int, lasts time.Duration) {
	if !r.restoring.TryLock() {
		return
	}
	defer r.restoring.Unlock()
	c := r.w.store.Copy()
	time.Sleep(lasts)
	away := time.Duration(200+rnd.IntN(1300)) * time.Millisecond
	r.during(restoreFault, -1, away, false)
	r.w.store.SetAway(true)
	time.Sleep(away)
	r.w.store.Restore(c)
	r.w.store.SetAway(false)
	r.w.configure(func(*matcher.Configuration) {})
	r.list()
	time.Sleep(time.Duration(rnd.IntN(500)) * time.Millisecond)
	leave(r, rnd, 0, 0)
}

// heartbeat is the time between two entries of an upstream.
const heartbeat = 1200 * time.Millisecond

// beat writes the entries of upstreams all the time, as these do.
func (r *Run) beat(ctx context.Context) {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			r.list()
		}
	}
}

// list writes the entries of all upstreams as they are.
func (r *Run) list() {
	r.l.mu.Lock()
	defer r.l.mu.Unlock()
	for _, u := range r.w.ups {
		entry := u.Upstream
		_, entry.Leaving = r.l.left[u.ID]
		r.w.store.List(entry)
	}
}
