package soaker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/platform"
)

// host is one process of the real program.
type host struct {
	name           string
	callers, ready string
	settings       string
	// store is the host's own link to the store.
	store *Proxy

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
}

// upstream is a stand-in behind a link that all hosts share.
type upstream struct {
	balancer.Upstream
	stage *faker.Stage
	link  *Proxy
	real  string

	mu   sync.Mutex
	kill func()
}

// world is everything that a run starts.
type world struct {
	dir    string
	binary string
	hosts  []*host
	ups    []*upstream
	store  *platform.StandIn
	server *http.Server

	// port is the next one to be tried.
	port int

	mu  sync.Mutex
	cfg matcher.Configuration
}

const (
	dataCentre = "here"
	hostName   = "desk.example"
	// revokeAfter is the time after which a key that was taken away runs nothing.
	revokeAfter = 5 * time.Second
	// leaveAfter is the time after which an upstream that leaves gets nothing.
	leaveAfter = 2 * time.Second
	// keys is how many keys there are at first.
	keys = 40
)

// listen opens an address. One that was closed a moment ago may still be in use:
// a process that is just being started has it open until it runs its program.
func listen(address string) (net.Listener, error) {
	const tries, pause = 50, 20 * time.Millisecond
	for n := 0; ; n++ {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err == nil || n == tries || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(pause)
	}
}

// portRange is how many ports a run takes at most; runs that are played side by
// side take blocks of their own, below the ports that outgoing connections get.
const (
	portRange = 60
	firstPort = 10000
	blocks    = 300
)

// free is the next address of the run's block that nothing listens at.
func (w *world) free() string {
	for range portRange {
		address := fmt.Sprintf("127.0.0.1:%d", w.port)
		w.port++
		if l, err := listen(address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("soaker: no free port on loopback")
}

func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

func route(prefix, service string, kind matcher.Kind) matcher.Route {
	return matcher.Route{
		Name: prefix, Host: hostName, Prefix: prefix, Kind: kind, Timeout: 10 * time.Second, Target: 500 * time.Millisecond,
		MaxAttempts: 2, Resumable: kind == matcher.KindStreaming, Splits: []matcher.Split{{Service: service, Weight: 1}},
	}
}

// newWorld starts the stand-ins; hosts are started by start.
func newWorld(dir, binary string, hosts int, seed uint64) (*world, error) {
	w := &world{dir: dir, binary: binary, store: new(platform.StandIn), port: firstPort + int(seed%blocks)*portRange}
	all := make([]string, keys)
	for n := range all {
		all[n] = keyName(n)
	}
	w.cfg = matcher.Configuration{
		Version: 1,
		Routes: []matcher.Route{
			route("/look/", "desk", matcher.KindIdempotent), route("/book/", "desk", matcher.KindNonIdempotent),
			route("/moving/", "desk", matcher.KindIdempotent), route("/stream/", "model", matcher.KindStreaming),
		},
		Services:   []matcher.Service{{Name: "desk"}, {Name: "model"}, {Name: "other"}},
		Workspaces: []matcher.Workspace{{Name: "mill", Keys: all}},
	}
	w.configure(func(*matcher.Configuration) {})
	storeAddress := w.free()
	l, err := listen(storeAddress)
	if err != nil {
		return nil, err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = w.server.Serve(l) }()
	for _, id := range []string{"desk-a", "desk-b", "desk-c", "other-a", "other-b", "model-a", "model-b", "model-c"} {
		if err := w.addUpstream(id); err != nil {
			return nil, err
		}
	}
	for n := range hosts {
		if err := w.addHost(n, storeAddress); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// configure changes the configuration and returns when it was acknowledged.
func (w *world) configure(change func(*matcher.Configuration)) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.cfg)
	w.cfg.Version += 3
	cfg := w.cfg
	w.store.Configure(&cfg)
	return time.Now()
}

func (w *world) addUpstream(id string) error {
	service := id[:len(id)-2]
	u := &upstream{
		stage: &faker.Stage{ID: id, Headers: &platform.Headers, Events: 20, Gap: 50 * time.Millisecond, Answer: 100 * time.Millisecond},
		real:  w.free(),
	}
	u.link = &Proxy{Target: u.real}
	address, err := u.link.Start(w.free())
	if err != nil {
		return err
	}
	u.Upstream = balancer.Upstream{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: 64, StartedAt: time.Now().UnixMilli()}
	if err := u.serve(); err != nil {
		return err
	}
	w.ups = append(w.ups, u)
	w.store.List(u.Upstream)
	return nil
}

func (u *upstream) serve() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	kill, err := faker.Serve(listen, u.real, u.stage)
	u.kill = kill
	return err
}

// crash ends the upstream's process, as callers see it.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.kill != nil {
		u.kill()
		u.kill = nil
	}
}

func (w *world) addHost(n int, store string) error {
	h := &host{name: fmt.Sprintf("host-%d", n), callers: w.free(), ready: w.free(), store: &Proxy{Target: store}}
	link, err := h.store.Start(w.free())
	if err != nil {
		return err
	}
	h.settings = filepath.Join(w.dir, h.name+".jsonc")
	text := fmt.Sprintf(`{"host": %q, "dataCentre": %q, "callers": %q, "ready": %q, "peer": %q, "admin": %q, "platform": %q,
		"retryRatio": 0.2, "retryFixed": 200, "retryWindowS": 10, "revokeMs": %d}`,
		h.name, dataCentre, h.callers, h.ready, w.free(), w.free(), link, revokeAfter.Milliseconds())
	w.hosts = append(w.hosts, h)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start runs the host's process; its log is appended to a file.
func (w *world) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.CommandContext(context.Background(), w.binary, "forward", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.stopped = false
	if err := h.cmd.Start(); err != nil {
		return err
	}
	cmd, done := h.cmd, make(chan struct{})
	h.done = done
	go func() {
		defer close(done)
		defer log.Close()
		_ = cmd.Wait()
	}()
	return nil
}

// signal sends one to the host's process, which this run has started.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// end waits for the process and returns its exit code; -1 after a signal.
func (h *host) end() int {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	<-done
	return cmd.ProcessState.ExitCode()
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.end()
		h.store.Close()
	}
	for _, u := range w.ups {
		u.crash()
		u.link.Close()
	}
	w.server.Close()
}
