package launcher_test

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/matcher"
)

const (
	callersAddress = "10.0.0.1:80"
	readyAddress   = "10.0.0.1:81"
	apiKey         = "key-of-mill"
	// upstreamsLocation is the location of all upstreams.
	upstreamsLocation = "upstreams"
	// restartDelay is how long a fake upstream is down after a crash.
	restartDelay = 2 * time.Second
)

// testbed is one host in front of fake upstreams, on an in-memory network in virtual time.
type testbed struct {
	t      *testing.T
	net    *faker.Network
	source *faker.Directory
	stages map[string]*faker.Stage
	// crashes counts the crashes of all upstreams.
	crashes atomic.Int64
	cfg     matcher.Configuration
	client  *http.Client
	// events is the number of events in a stream; 0 means 10.
	events int
	// dialDelay returns how long a host's next dial takes; nil means no time.
	dialDelay func() time.Duration
	stop      context.CancelFunc
	done      chan error
	started   time.Time
}

// runHost starts a host with four upstreams and calls f once the host has read its configuration.
// revocationBound is the time after which a revoked key must not be served; 0 means no bound.
func runHost(t *testing.T, revocationBound time.Duration, f func(b *testbed)) {
	t.Helper()
	runHostWith(t, &loader.Forward{RevokeMs: int(revocationBound.Milliseconds())}, f)
}

// runHostWith is runHost with the RevokeMs and WorkspaceShares of cfg.
func runHostWith(t *testing.T, cfg *loader.Forward, f func(b *testbed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newTestbed(t)
		for _, id := range []string{"desk-a", "desk-b", "model-a", "model-b"} {
			defer b.startUpstream(id)()
		}
		h := b.newHost(follower.Host{Name: "host-a", DataCentre: "here", Address: "10.0.0.1:82"})
		h.Settings.RevokeMs, h.Settings.WorkspaceShares = cfg.RevokeMs, cfg.WorkspaceShares
		defer b.client.CloseIdleConnections()
		ctx, cancel := context.WithCancel(context.Background())
		b.stop = cancel
		go func() { b.done <- h.Run(ctx) }()
		defer func() {
			cancel()
			<-b.done
		}()
		time.Sleep(2 * time.Second)
		f(b)
	})
}

// newTestbed returns a testbed that has a configuration but neither hosts nor upstreams.
func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{t: t, net: faker.NewNetwork(), source: new(faker.Directory), stages: make(map[string]*faker.Stage), cfg: configuration(), done: make(chan error, 1), started: time.Now()}
	first := b.cfg
	b.source.Configure(&first)
	b.client = &http.Client{Transport: &http.Transport{DialContext: b.net.Dialer("caller")}}
	return b
}

// newHost returns a host that listens on ports 80 to 83 of the IP in f.Address.
func (b *testbed) newHost(f follower.Host) *launcher.Host {
	ip, _, _ := strings.Cut(f.Address, ":")
	dial := b.net.Dialer(f.Name)
	return &launcher.Host{
		Settings: &loader.Forward{
			Host: f.Name, DataCentre: f.DataCentre, Callers: ip + ":80", Ready: ip + ":81", Peer: f.Address, Admin: ip + ":83",
			RetryRatio: 0.2, RetryFixed: 100, RetryWindowS: 10, FirstStart: true, BalancerMs: 2500, StopMs: 7500,
		},
		Store:     new(faker.Platform),
		Source:    b.source,
		Engines:   faker.NoEngines{},
		Headers:   forwarder.DefaultHeaders,
		ReadyPath: "/ready",
		Now:       func() time.Duration { return time.Since(b.started) + time.Minute },
		Listen:    b.net.Listen,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if b.dialDelay != nil {
				time.Sleep(b.dialDelay())
			}
			return dial(ctx, network, address)
		},
		Seed: 1,
		Log:  zerolog.Nop(),
	}
}

// configuration returns a service desk, with idempotent lookups and non-idempotent bookings, and a
// service model, whose streams can be resumed on one of its two routes.
func configuration() matcher.Configuration {
	route := func(prefix, service string, kind matcher.Kind) matcher.Route {
		return matcher.Route{
			Name: prefix, Host: "desk.example", Prefix: prefix, Kind: kind, Timeout: 20 * time.Second,
			TargetLatency: 500 * time.Millisecond, Splits: []matcher.Split{{Service: service, Weight: 1}}, MaxAttempts: 2,
		}
	}
	resumable := route("/stream/", "model", matcher.KindStreaming)
	resumable.Resumable = true
	public := route("/public/", "desk", matcher.KindIdempotent)
	public.Public = true
	short := route("/short/", "desk", matcher.KindNonIdempotent)
	short.Timeout = 800 * time.Millisecond
	return matcher.Configuration{
		Version: 1,
		Routes: []matcher.Route{
			route("/look/", "desk", matcher.KindIdempotent), route("/book/", "desk", matcher.KindNonIdempotent),
			resumable, route("/stream/once/", "model", matcher.KindStreaming), public, short,
		},
		Services:   []matcher.Service{{Name: "desk"}, {Name: "model"}},
		Workspaces: []matcher.Workspace{{Name: "mill", Keys: []string{apiKey}}},
	}
}

// startUpstream starts an upstream in data centre "here" and registers it.
func (b *testbed) startUpstream(id string) (stop func()) { return b.startUpstreamIn(id, "here") }

// startUpstreamIn starts an upstream in a data centre and registers it. Its service is the part of
// its id before the dash.
func (b *testbed) startUpstreamIn(id, dataCentre string) (stop func()) {
	s := &faker.Stage{ID: id, Events: cmp.Or(b.events, 10), EventInterval: 20 * time.Millisecond, ResponseDelay: 10 * time.Millisecond}
	address := "10.1.0." + id + ":80"
	b.net.SetLocation(address, upstreamsLocation)
	b.net.SetAlias(address, id)
	service, _, _ := strings.Cut(id, "-")
	// An upstream that was restarted is another incarnation.
	upstream := func(crashes int64) balancer.Upstream {
		return balancer.Upstream{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: 8, StartedAt: 1 + crashes}
	}
	var kill atomic.Value
	serve := func() {
		k, err := faker.Serve(b.net.Listen, address, s)
		is.New(b.t).NoErr(err)
		kill.Store(k)
	}
	serve()
	var down atomic.Bool
	s.Crash = func() {
		if !down.CompareAndSwap(false, true) {
			return // crashed by another request
		}
		b.crashes.Add(1)
		kill.Load().(func())()
		time.Sleep(restartDelay)
		serve()
		down.Store(false)
		b.source.PutUpstream(upstream(b.crashes.Load()))
	}
	b.stages[id] = s
	b.source.PutUpstream(upstream(0))
	return func() { kill.Load().(func())() }
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// request sends a request with the given id to the host. change modifies it first and may be nil.
func (b *testbed) request(method, path, id string, change func(*http.Request)) reply {
	b.t.Helper()
	return b.requestAt(callersAddress, method, path, id, change)
}

// requestAt is like request, but sends to the host at address.
func (b *testbed) requestAt(address, method, path, id string, change func(*http.Request)) reply {
	b.t.Helper()
	start := time.Now()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("lot 12"))
	is.New(b.t).NoErr(err)
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set(forwarder.DefaultHeaders.RequestID, id)
	r.Header.Set(forwarder.DefaultHeaders.DeadlineMs, "5000")
	if change != nil {
		change(r)
	}
	resp, err := b.client.Do(r)
	if err != nil {
		return reply{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(body), err, time.Since(start)}
}

// injectFaults sets the faults that each upstream of a service applies to its next requests, one
// for each request.
func (b *testbed) injectFaults(service string, list ...faker.StageFault) {
	for id, s := range b.stages {
		if strings.HasPrefix(id, service) {
			s.SetFaults(list...)
		}
	}
}

// runs returns how often the request with an id was executed, over all upstreams.
func (b *testbed) runs(id string) int {
	n := 0
	for _, s := range b.stages {
		n += s.Runs(id)
	}
	return n
}

// executedRequest returns the request with an id as the upstream that executed it received it.
func (b *testbed) executedRequest(id string) faker.ReceivedRequest {
	b.t.Helper()
	for _, s := range b.stages {
		for _, one := range s.Received() {
			if one.RequestID == id && one.Executed {
				return one
			}
		}
	}
	b.t.Fatalf("request %q was executed by no upstream", id)
	return faker.ReceivedRequest{}
}

// assertRetryLater checks that r is a 503 with a Retry-After header.
func (b *testbed) assertRetryLater(r reply) {
	b.t.Helper()
	is := is.New(b.t)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
}

// assertCompleteStream checks that r holds all events of a stream, each once and in order.
func (b *testbed) assertCompleteStream(r reply) {
	b.t.Helper()
	is := is.New(b.t)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, events(1, 10))
}
