package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/runner"
	"github.com/sardineward/sardineward/server"
	"github.com/sardineward/sardineward/watcher"
)

// cluster is a set of entry hosts with the fake platform, engines and services that they use, all
// in memory.
type cluster struct {
	t           *testing.T
	net         *faker.Network
	environment *faker.Environment
	hosts       []*testHost
	log         *logBuffer
	seed        uint64
	// tls is set on every host; nil means plain connections.
	tls *loader.TLS
	// dial connects to addresses that are not on net; nil means that there are none.
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// testHost is one entry host of a cluster.
type testHost struct {
	*runner.Host
	name, dataCentre string
	checker          *checker.Checker
	stop             context.CancelFunc
	done             chan error
	client           *http.Client
}

var dataCentres = []string{"north", "port", "road"}

const (
	platformSite = "platform"
	key          = "key-a"
	otherKey     = "key-b"
	adminKey     = "admin"
	// The first initialHosts hosts know each other from their settings. A host with a higher
	// number joins later and is unknown to them at first.
	initialHosts = 4
)

// configuration returns engines that cover the model in several overlapping ways in each of three
// data centres, and the service desk with one instance in each.
func configuration() *builder.Configuration {
	cfg := &builder.Configuration{
		Models:       []builder.Model{{Name: "m", Version: "1", Layers: 12}},
		Accelerators: []builder.Accelerator{{Name: "big", StepMs: 2, LayerMs: 0.05, Batch: 8}, {Name: "small", StepMs: 3, LayerMs: 0.2, Batch: 4}},
		Links:        []builder.Link{{From: "north", To: "port", LatencyMs: 0.8}, {From: "north", To: "road", LatencyMs: 0.7}, {From: "port", To: "road", LatencyMs: 0.4}},
	}
	var engines, desk []builder.Upstream
	for i, dc := range dataCentres {
		next := 100 * i
		address := func(int) string {
			next++
			return fmt.Sprintf("10.1.0.%d:%d", i+1, 1000+next)
		}
		add := func(name, kind string, n, first, last int) {
			u := builder.Upstream{DataCentre: dc, Model: "m", Accelerator: kind, FirstLayer: first, LastLayer: last, ChecksFence: i == 0}
			engines = append(engines, builder.Range(dc+"-"+name, n, address, u)...)
		}
		add("front", "big", 2, 0, 5)
		add("back", "big", 2, 6, 11)
		add("mid", "small", 1, 3, 8)
		add("whole", "small", 1, 0, 11)
		desk = append(desk, builder.Range(dc+"-desk", 1, address, builder.Upstream{DataCentre: dc})...)
	}
	cfg.Upstreams = append(append([]builder.Upstream{}, engines...), desk...)
	cfg.Pipelines = []builder.Pipeline{{Name: "draft", Model: "m", Upstreams: builder.Names(engines), TokenGapMs: 48}}
	cfg.Services = []builder.Service{{Name: "desk", Upstreams: builder.Names(desk), Calls: []builder.Call{
		{Method: "POST", Path: "/bookings", KeyPointer: "/id"},
		{Method: "POST", Path: "/once", SingleShot: true},
		{Method: "POST", Path: "/search", Idempotent: true},
	}}}
	cfg.Workspaces = []builder.Workspace{
		{Name: "a", KeyHashes: []string{builder.HashKey(key)}, Priority: 5, Pipelines: []string{"draft"}, Services: []string{"desk"}},
		{Name: "b", KeyHashes: []string{builder.HashKey(otherKey)}, Priority: 5, RequestsPerSecond: 2, Pipelines: []string{"draft"}},
	}
	return cfg
}

// runCluster starts a cluster of four hosts in three data centres, waits until they are ready,
// and runs f in virtual time.
func runCluster(t *testing.T, seed uint64, f func(b *cluster)) {
	t.Helper()
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		b := newCluster(t, seed, configuration())
		defer b.close()
		for i := range initialHosts {
			b.start(i)
		}
		b.submit(0, configuration())
		b.await(10*time.Second, func() bool { return b.allReady() })
		time.Sleep(2 * time.Second)
		f(b)
	})
}

func newCluster(t *testing.T, seed uint64, cfg *builder.Configuration) *cluster {
	b := &cluster{t: t, net: faker.NewNetwork(), seed: seed, log: new(logBuffer), hosts: make([]*testHost, initialHosts)}
	for _, u := range cfg.Upstreams {
		b.net.SetLocation(u.Address, u.DataCentre)
	}
	b.net.SetLocation("10.9.0.1:1", platformSite)
	b.net.SetLocation("10.9.0.1:2", platformSite)
	b.environment = &faker.Environment{
		Configuration: cfg, Listen: b.net.Listen,
		PlatformAddress: "10.9.0.1:1", HostListAddress: "10.9.0.1:2",
	}
	is.New(t).NoErr(b.environment.Start())
	return b
}

func (b *cluster) settings(i int) *loader.Settings {
	at := func(port int) string { return fmt.Sprintf("10.0.0.%d:%d", i+1, port) }
	cfg := &loader.Settings{
		Host: fmt.Sprintf("h%d", i), DataCentre: dataCentres[i%len(dataCentres)],
		Callers: loader.Endpoint{Listen: at(80)}, Peer: loader.Endpoint{Listen: at(81)}, Admin: loader.Endpoint{Listen: at(82)},
		AdminKeyHash: builder.HashKey(adminKey),
		Platform:     "10.9.0.1:1", HostList: "10.9.0.1:2",
		TLS:   b.tls,
		Peers: []string{"10.0.0.1:81", "10.0.0.2:81", "10.0.0.3:81", "10.0.0.4:81"},
	}
	if i >= initialHosts {
		cfg.Peers = []string{cfg.Peer.Listen}
	}
	is.New(b.t).NoErr(cfg.FillDefaults())
	return cfg
}

// start starts host i. A host that ran before under this number must have stopped.
func (b *cluster) start(i int) *testHost {
	if i == len(b.hosts) {
		b.hosts = append(b.hosts, nil)
	}
	cfg := b.settings(i)
	e := &testHost{name: cfg.Host, dataCentre: cfg.DataCentre, done: make(chan error, 1)}
	log := zerolog.New(b.log).With().Str("at", cfg.Host).Timestamp().Logger()
	e.checker = &checker.Checker{Log: log, Fail: func(v checker.Violation) { b.t.Errorf("violation on %s: %v", cfg.Host, v) }}
	e.Host = &runner.Host{
		Settings: cfg, Log: log, Checker: e.checker, Listen: b.net.Listen, Dial: b.dialer(cfg.DataCentre, fmt.Sprint("peer", i)),
		Seed: b.seed*100 + uint64(i) + 1,
	}
	for _, ep := range []loader.Endpoint{cfg.Callers, cfg.Peer, cfg.Admin} {
		b.net.SetLocation(ep.Listen, cfg.DataCentre)
	}
	b.net.SetAlias(cfg.Peer.Listen, fmt.Sprint("peer", i))
	is.New(b.t).NoErr(e.Build())
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	go func() { e.done <- e.Run(ctx, nil) }()
	e.client = &http.Client{Transport: &http.Transport{
		DialContext:       b.net.Dialer("caller"),
		DisableKeepAlives: true,
	}}
	b.hosts[i] = e
	return e
}

// dialer returns how a host at the given locations connects.
func (b *cluster) dialer(locations ...string) func(ctx context.Context, network, address string) (net.Conn, error) {
	inMemory := b.net.Dialer(locations...)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if b.dial != nil && strings.HasPrefix(address, "127.0.0.1:") {
			return b.dial(ctx, network, address)
		}
		return inMemory(ctx, network, address)
	}
}

// kill ends host i as SIGKILL would: its connections break first. Otherwise a TLS server writes
// close_notify to each connection while it holds its lock, which stops the virtual clock.
func (b *cluster) kill(i int) {
	b.net.CloseConnections(fmt.Sprint("peer", i))
	b.hosts[i].Kill()
	<-b.hosts[i].done
	b.hosts[i].stop()
	b.hosts[i] = nil
}

func (b *cluster) close() {
	for i, e := range b.hosts {
		if e != nil {
			b.kill(i)
		}
	}
	b.environment.Close()
	// Requests that the services still process end within this time.
	time.Sleep(10 * time.Second)
	if b.t.Failed() && testing.Verbose() {
		b.t.Log(b.log.String())
	}
}

func (b *cluster) allReady() bool {
	for _, e := range b.hosts {
		if e != nil && !e.Ready() {
			return false
		}
	}
	return true
}

// await polls ok ten times a second of virtual time, and fails the test after d.
func (b *cluster) await(d time.Duration, ok func() bool) {
	b.t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ok() {
			return
		}
	}
	b.t.Fatalf("condition not met within %v", d)
}

func (b *cluster) submit(base int64, cfg *builder.Configuration) int64 {
	b.t.Helper()
	src, err := builder.Canonical(cfg)
	is.New(b.t).NoErr(err)
	rev, err := watcher.Submit(context.Background(), b.environment.Platform, src, base, fmt.Sprint("s", base, rand.Int()), "test")
	is.New(b.t).NoErr(err)
	return rev
}

// reply is an answer as the caller received it, complete or in part.
type reply struct {
	status   int
	text     string
	complete bool
	refusal  *server.ErrorDetail
	body     string
	elapsed  time.Duration
	err      error
}

// generate requests a token stream from host i.
func (b *cluster) generate(ctx context.Context, i int, prompt string, tokens int) reply {
	body, _ := json.Marshal(server.Completion{Model: "draft", Prompt: prompt, MaxTokens: tokens, Stream: true})
	return b.send(ctx, i, http.MethodPost, "/v1/completions", string(body), nil)
}

func (b *cluster) post(i int, path, body string, header map[string]string) reply {
	return b.send(context.Background(), i, http.MethodPost, path, body, header)
}

// admin posts a change to the administration address of host i.
func (b *cluster) admin(i int, path, body string) reply {
	return b.sendTo(context.Background(), fmt.Sprintf("10.0.0.%d:82", i+1), http.MethodPost, path, body, map[string]string{"Authorization": "Bearer " + adminKey})
}

func (b *cluster) send(ctx context.Context, i int, method, path, body string, header map[string]string) reply {
	return b.sendTo(ctx, fmt.Sprintf("10.0.0.%d:80", i+1), method, path, body, header)
}

func (b *cluster) sendTo(ctx context.Context, address, method, path, body string, header map[string]string) reply {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{DialContext: b.net.Dialer("caller"), DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err, elapsed: time.Since(start)}
	}
	defer resp.Body.Close()
	out := readReply(resp)
	out.elapsed = time.Since(start)
	return out
}

func readReply(resp *http.Response) reply {
	out := reply{status: resp.StatusCode}
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		readEvents(resp.Body, &out)
		return out
	}
	src, err := io.ReadAll(resp.Body)
	out.body, out.err = string(src), err
	var fail server.ErrorBody
	if json.Unmarshal(src, &fail) == nil && fail.Error.Reason != "" {
		out.refusal = &fail.Error
	}
	out.complete = err == nil && out.refusal == nil
	return out
}

func readEvents(r io.Reader, out *reply) {
	scan := bufio.NewScanner(r)
	failed := false
	for scan.Scan() {
		line := scan.Text()
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !ok:
		case failed:
			var fail server.ErrorBody
			_ = json.Unmarshal([]byte(data), &fail)
			out.refusal = &fail.Error
		case data == "[DONE]":
			out.complete = true
		default:
			var chunk struct {
				Choices []struct {
					Text string `json:"text"`
				} `json:"choices"`
			}
			_ = json.Unmarshal([]byte(data), &chunk)
			out.text += chunk.Choices[0].Text
		}
	}
	out.err = scan.Err()
}

// assertComplete checks that r is the complete answer to its own request.
func (b *cluster) assertComplete(r reply, prompt string, tokens int) {
	b.t.Helper()
	if r.err != nil || r.refusal != nil || !r.complete {
		b.t.Errorf("answer to %q is incomplete: status %d, refusal %+v, error %v", prompt, r.status, r.refusal, r.err)
		return
	}
	if want := faker.Answer(prompt, tokens); r.text != want {
		b.t.Errorf("wrong answer to %q: %q", prompt, r.text)
	}
}

// assertRefused checks the reason and the notRun flag of a refusal, and that no upstream started
// a request that was refused as not run.
func (b *cluster) assertRefused(r reply, reason string, notRun bool) {
	b.t.Helper()
	if r.refusal == nil {
		b.t.Errorf("want refusal %q, have status %d, body %q, text %q, error %v", reason, r.status, r.body, r.text, r.err)
		return
	}
	is := is.New(b.t)
	is.Equal(r.refusal.Reason, reason)
	is.Equal(r.refusal.NotRun, notRun)
	if notRun {
		is.Equal(b.environment.Fleet.Attempts(r.refusal.RequestID), 0)
		is.Equal(b.environment.Services["desk"].Requests(r.refusal.RequestID), 0)
	}
}

// generateLoad keeps n generations running on each host until stop is called, and checks every
// answer.
func (b *cluster) generateLoad(n, tokens int, each func(reply)) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range b.hosts {
		for j := range n {
			wg.Go(func() {
				for k := 0; ctx.Err() == nil; k++ {
					prompt := fmt.Sprintf("load %d %d %d", i, j, k)
					r := b.generate(context.Background(), i, prompt, tokens)
					if r.complete && r.text != faker.Answer(prompt, tokens) {
						b.t.Errorf("wrong answer to %q: %q", prompt, r.text)
					}
					each(r)
					if !r.complete {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// logBuffer collects the log of a cluster.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
