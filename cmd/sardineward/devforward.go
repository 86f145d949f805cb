package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/matcher"
)

func addDevForward(app *kingpin.Application) {
	cmd := app.Command("dev-forward", "Run two hosts that forward by a route table, with their source and upstreams on loopback.")
	port := cmd.Flag("port", "First of the 13 consecutive ports that are used.").Default("8180").Int()
	cmd.Action(func(*kingpin.ParseContext) error { return runDevForward(*port) })
}

// runDevForward runs two forwarding hosts with a service desk and streams that can be cut and
// resumed. Requests to the control address inject faults into the upstreams, and cut the first host off
// from them.
func runDevForward(port int) error {
	address := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", port+n) }
	source := new(faker.Directory)
	cfg := &devFleetConfiguration{source: source, current: devTable()}
	cfg.change(func(*matcher.Configuration) {})
	stages := make(map[string]*faker.Stage)
	link := new(devLink)
	for i, id := range []string{"desk-a", "desk-b", "model-a", "model-b"} {
		u := &devUpstream{
			Upstream: balancer.Upstream{ID: id, Service: id[:len(id)-2], Address: address(5 + i), DataCentre: "here", Slots: 8},
			stage:    &faker.Stage{ID: id, Events: 20, EventInterval: 200 * time.Millisecond, ResponseDelay: 20 * time.Millisecond},
		}
		stages[id] = u.stage
		if err := u.start(source); err != nil {
			return err
		}
		defer u.stop()
	}
	kill, err := faker.Serve(listen, address(4), devControl(cfg, stages, link))
	if err != nil {
		return err
	}
	defer kill()
	out := &boundedLog{Out: os.Stdout}
	defer out.Close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	printDevForward(address)
	log := out.Start()
	store := new(faker.Platform)
	newHost := func(name string, ports int) *launcher.Host {
		source.AddHost(follower.Host{Name: name, DataCentre: "here", Address: address(ports + 2)})
		return &launcher.Host{
			Settings: &loader.Forward{
				Host: name, DataCentre: "here", Callers: address(ports), Ready: address(ports + 1), Peer: address(ports + 2), Admin: address(ports + 3),
				RetryRatio: 0.2, RetryFixed: 50, RetryWindowS: 10, FirstStart: true, RevokeMs: 5000, BalancerMs: 100, StopMs: 7500,
			},
			Store: store, Source: source.Without(name), Engines: faker.NoEngines{}, Headers: forwarder.DefaultHeaders,
			ReadyPath: "/ready", Now: bootTime, DroppedLogLines: out.Dropped, Log: log.With().Str("by", name).Logger(),
		}
	}
	first, second := newHost("dev", 0), newHost("dev-b", 9)
	link.upstreams = []string{address(5), address(6), address(7), address(8)}
	first.Dial = link.Dial
	secondDone := make(chan error, 1)
	go func() { secondDone <- second.Run(ctx) }()
	err = first.Run(ctx)
	stop()
	return errors.Join(err, <-secondDone)
}

// devUpstream is a fake upstream that is down for two seconds after a request has crashed it.
type devUpstream struct {
	balancer.Upstream
	stage *faker.Stage

	mu sync.Mutex
	// kill ends the server; nil while it is down.
	kill func()
}

// start starts the server and lists it as a new incarnation.
func (u *devUpstream) start(source *faker.Directory) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stage.Crash = func() { u.restart(source) }
	kill, err := faker.Serve(listen, u.Address, u.stage)
	if err != nil {
		return err
	}
	u.kill, u.StartedAt = kill, time.Now().UnixMilli()
	source.PutUpstream(u.Upstream)
	return nil
}

// stop ends the server, and reports whether it was up.
func (u *devUpstream) stop() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.kill == nil {
		return false
	}
	u.kill()
	u.kill = nil
	return true
}

func (u *devUpstream) restart(source *faker.Directory) {
	const downtime = 2 * time.Second
	if !u.stop() {
		return
	}
	time.Sleep(downtime)
	if err := u.start(source); err != nil {
		fmt.Fprintf(os.Stderr, "restarting %s: %v\n", u.ID, err)
	}
}

// devLink is the link of a host to the upstreams, which can be cut: open connections break and dials get no answer.
type devLink struct {
	upstreams []string

	mu    sync.Mutex
	isCut bool
	conns []net.Conn
}

// Dial opens a connection, unless the link is cut.
func (l *devLink) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	l.mu.Lock()
	isCut := l.isCut && slices.Contains(l.upstreams, address)
	l.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := new(net.Dialer).DialContext(ctx, network, address)
	if err == nil && slices.Contains(l.upstreams, address) {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

// setCut cuts the link or heals it.
func (l *devLink) setCut(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}

// devFleetConfiguration is the configuration of the hosts, which requests to the control address change.
type devFleetConfiguration struct {
	source *faker.Directory

	mu      sync.Mutex
	current matcher.Configuration
}

// change applies edit to the configuration and writes it to the source as the next version.
func (c *devFleetConfiguration) change(edit func(next *matcher.Configuration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.Version++
	edit(&c.current)
	next := c.current
	c.source.Configure(&next)
}

// addRoutes adds routes that no request matches.
func addRoutes(next *matcher.Configuration) {
	const added = 1400
	next.Routes = slices.Clone(next.Routes)
	for n := range added {
		route := next.Routes[0]
		route.Prefix = fmt.Sprintf("/added/%d/%d/", next.Version, n)
		route.Name = route.Prefix
		next.Routes = append(next.Routes, route)
	}
}

// revokeKey replaces the key of the workspace.
func revokeKey(next *matcher.Configuration) {
	next.Workspaces = []matcher.Workspace{{Name: "dev", Keys: []string{"another-key"}}}
}

func devTable() matcher.Configuration {
	route := func(prefix, service string, kind matcher.Kind) matcher.Route {
		return matcher.Route{
			Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, Timeout: 30 * time.Second,
			Splits: []matcher.Split{{Service: service, Weight: 1}}, MaxAttempts: 2, Resumable: kind == matcher.KindStreaming,
		}
	}
	return matcher.Configuration{
		Routes: []matcher.Route{
			route("/lots/", "desk", matcher.KindIdempotent), route("/bookings/", "desk", matcher.KindNonIdempotent),
			route("/stream/", "model", matcher.KindStreaming),
		},
		Services:   []matcher.Service{{Name: "desk"}, {Name: "model"}},
		Workspaces: []matcher.Workspace{{Name: "dev", Keys: []string{devKey}}},
	}
}

// devControl returns the handler that injects faults into the next requests of upstreams and into the
// link to them, and changes the configuration.
func devControl(cfg *devFleetConfiguration, stages map[string]*faker.Stage, link *devLink) http.Handler {
	// A request is refused once each upstream has rejected it, so four requests are.
	full := slices.Repeat([]faker.StageFault{faker.StageFaultOverloaded}, 4)
	faultsByPath := map[string][]faker.StageFault{"/cut": {faker.StageFaultBrokenStream}, "/reset": {faker.StageFaultReset}, "/full": full}
	mux := http.NewServeMux()
	for path, faults := range faultsByPath {
		mux.HandleFunc(path, func(http.ResponseWriter, *http.Request) {
			for _, s := range stages {
				s.SetFaults(faults...)
			}
		})
	}
	mux.HandleFunc("/backoff", func(http.ResponseWriter, *http.Request) {
		for _, id := range []string{"desk-a", "model-a"} {
			stages[id].SetBackoff("5", 5*time.Second)
			time.AfterFunc(5*time.Second, func() { stages[id].SetBackoff("", 0) })
		}
	})
	mux.HandleFunc("/leave", func(http.ResponseWriter, *http.Request) {
		for _, id := range []string{"desk-b", "model-b"} {
			stages[id].SetLeaving("1")
		}
	})
	mux.HandleFunc("/cutoff", func(http.ResponseWriter, *http.Request) { link.setCut(true) })
	mux.HandleFunc("/heal", func(http.ResponseWriter, *http.Request) { link.setCut(false) })
	mux.HandleFunc("/revoke", func(http.ResponseWriter, *http.Request) { cfg.change(revokeKey) })
	mux.HandleFunc("/routes", func(http.ResponseWriter, *http.Request) { cfg.change(addRoutes) })
	return mux
}

func printDevForward(address func(int) string) {
	fmt.Printf(`callers %[1]s, readiness %[2]s, metrics %[3]s, control of the upstreams %[4]s

curl -i -H 'Attempt-Id: 1' -H 'Authorization: Bearer %[5]s' http://%[1]s/lots/12
curl -i -H 'Attempt-Id: 2' -H 'Authorization: Bearer %[5]s' http://%[1]s/bookings/ -d 'lot 12'
curl -N -H 'Attempt-Id: 3' -H 'Authorization: Bearer %[5]s' http://%[1]s/stream/ -d 'Summarise lot 12.'
curl http://%[4]s/cut      # the next stream breaks off in its third event and resumes on another upstream
curl http://%[4]s/reset    # the answer to the next booking is lost: 502, never retried
curl http://%[4]s/full     # the next requests are turned away as not run: 503 with Retry-After
curl http://%[4]s/backoff  # desk-a and model-a reject requests for 5 s and ask for 5 s: the others serve all
curl http://%[4]s/leave    # desk-b and model-b say in their responses that they leave: no request goes there again
curl http://%[4]s/cutoff   # the first host is cut off from all upstreams: the second one serves its requests
curl http://%[4]s/heal     # it reaches them again
for n in 1 2 3 4 5 6 7 8 9 10; do  # no two alike, but a part of their prompts crashes model-a and model-b: after three crashes it is refused
  curl -s -o /dev/null -w '%%{http_code}\n' -H "Attempt-Id: p$n" -H 'Authorization: Bearer %[5]s' -H "Prompt-Parts: a1:40,dead:200,$n:7" http://%[1]s/stream/ -d "$n"; sleep 1.5
done
curl http://%[3]s/parts    # the parts that are refused, and why; curl -X DELETE http://%[3]s/parts/dead ends that
curl http://%[4]s/routes   # 1,400 routes are added to the configuration: streams go on, see the metrics configuration_*
curl http://%[4]s/revoke   # the key is revoked: 401 within a second
curl http://%[3]s/metrics

`, address(0), address(1), address(3), address(4), devKey)
}
