package launcher_test

import (
	"context"
	"io"
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
	callers = "10.0.0.1:80"
	ready   = "10.0.0.1:81"
	key     = "key-of-mill"
	// crashed is how long a stage is down after a crash.
	crashed = 2 * time.Second
)

// bench is one host before a fleet of stand-ins, in virtual time.
type bench struct {
	t      *testing.T
	net    *faker.Network
	source *faker.Directory
	stages map[string]*faker.Stage
	// crashes is how often a stage fell.
	crashes atomic.Int64
	cfg     matcher.Configuration
	client  *http.Client
	stop    context.CancelFunc
	done    chan error
	started time.Time
}

// run starts a host and lets it read its source.
func run(t *testing.T, revoke time.Duration, f func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		for _, id := range []string{"desk-a", "desk-b", "model-a", "model-b"} {
			defer b.start(id)()
		}
		h := b.host(follower.Host{Name: "host-a", DataCentre: "here", Address: "10.0.0.1:82"})
		h.Settings.RevokeMs = int(revoke.Milliseconds())
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

// newBench is a bench before any host or stage.
func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{t: t, net: faker.NewNetwork(), source: new(faker.Directory), stages: make(map[string]*faker.Stage), cfg: configuration(), done: make(chan error, 1), started: time.Now()}
	first := b.cfg
	b.source.Configure(&first)
	b.client = &http.Client{Transport: &http.Transport{DialContext: b.net.Dialer("caller")}}
	return b
}

// host is one that listens on the ports 80 to 83 of its address.
func (b *bench) host(f follower.Host) *launcher.Host {
	ip, _, _ := strings.Cut(f.Address, ":")
	return &launcher.Host{
		Settings: &loader.Forward{
			Host: f.Name, DataCentre: f.DataCentre, Callers: ip + ":80", Ready: ip + ":81", Peer: f.Address, Admin: ip + ":83",
			RetryRatio: 0.2, RetryFixed: 100, RetryWindowS: 10, BalancerMs: 2500, StopMs: 7500,
		},
		Store:     new(faker.Platform),
		Source:    b.source,
		Engines:   faker.NoEngines{},
		Headers:   forwarder.DefaultHeaders,
		ReadyPath: "/ready",
		Now:       func() time.Duration { return time.Since(b.started) + time.Minute },
		Listen:    b.net.Listen,
		Dial:      b.net.Dialer(f.Name),
		Seed:      1,
		Log:       zerolog.Nop(),
	}
}

// configuration has a desk whose lookups may be repeated and whose bookings may
// not, and a model whose streams may be resumed on one of two routes.
func configuration() matcher.Configuration {
	route := func(prefix, service string, kind matcher.Kind) matcher.Route {
		return matcher.Route{
			Name: prefix, Host: "desk.example", Prefix: prefix, Kind: kind, Timeout: 20 * time.Second,
			Target: 500 * time.Millisecond, Splits: []matcher.Split{{Service: service, Weight: 1}}, MaxAttempts: 2,
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
		Workspaces: []matcher.Workspace{{Name: "mill", Keys: []string{key}}},
	}
}

// start runs an upstream and lists it.
func (b *bench) start(id string) (stop func()) { return b.startIn(id, "here") }

// startIn is start in a data centre.
func (b *bench) startIn(id, dataCentre string) (stop func()) {
	s := &faker.Stage{ID: id, Events: 10, Gap: 20 * time.Millisecond, Answer: 10 * time.Millisecond}
	address := "10.1.0." + id + ":80"
	var kill atomic.Value
	serve := func() {
		k, err := faker.Serve(b.net.Listen, address, s)
		is.New(b.t).NoErr(err)
		kill.Store(k)
	}
	serve()
	s.Crash = func() {
		b.crashes.Add(1)
		kill.Load().(func())()
		time.Sleep(crashed)
		serve()
	}
	b.stages[id] = s
	service, _, _ := strings.Cut(id, "-")
	b.source.List(balancer.Upstream{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: 8, StartedAt: 1})
	return func() { kill.Load().(func())() }
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// request makes one; change may be nil.
func (b *bench) request(method, path, id string, change func(*http.Request)) reply {
	b.t.Helper()
	return b.requestAt(callers, method, path, id, change)
}

// requestAt is request to the host at an address.
func (b *bench) requestAt(address, method, path, id string, change func(*http.Request)) reply {
	b.t.Helper()
	start := time.Now()
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader("lot 12"))
	is.New(b.t).NoErr(err)
	r.Host = "desk.example"
	r.Header.Set("Authorization", "Bearer "+key)
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

// troubleAll sets what becomes of the next requests to each upstream of a
// service.
func (b *bench) troubleAll(service string, list ...faker.Trouble) {
	for id, s := range b.stages {
		if strings.HasPrefix(id, service) {
			s.Trouble(list...)
		}
	}
}

// runs counts how often a request ran, over all upstreams.
func (b *bench) runs(id string) int {
	n := 0
	for _, s := range b.stages {
		n += s.Runs(id)
	}
	return n
}

// seen returns the request with an id that ran.
func (b *bench) seen(id string) faker.Seen {
	b.t.Helper()
	for _, s := range b.stages {
		for _, one := range s.Seen() {
			if one.RequestID == id && one.Ran {
				return one
			}
		}
	}
	b.t.Fatalf("request %s ran nowhere", id)
	return faker.Seen{}
}

// assertRefused checks for a refusal that tells when to come back.
func (b *bench) assertRefused(r reply) {
	b.t.Helper()
	is := is.New(b.t)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.True(r.header.Get("Retry-After") != "")
}

// assertWhole checks for all events of a stream, each once and in order.
func (b *bench) assertWhole(r reply) {
	b.t.Helper()
	is := is.New(b.t)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.body, events(1, 10))
}
