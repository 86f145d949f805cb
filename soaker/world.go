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
	"strings"
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
	name                         string
	callersAddress, readyAddress string
	// settings is the path of the settings file.
	settings string
	// storeLink is the host's own link to the store.
	storeLink *Proxy
	// queue bounds the host's traffic with the store and upstreams, as its network link does.
	queue Queue

	mu  sync.Mutex
	cmd *exec.Cmd
	// done is closed when the current process has ended.
	done chan struct{}
	// version counts on through the versions of the program; each start uses the next one.
	version int
	// claimed is set while one fault of the process lasts; no second one starts meanwhile.
	claimed bool
}

// upstream is a fake upstream behind a link that all hosts share; the hosts know the link's
// address.
type upstream struct {
	balancer.Upstream
	stage *faker.Stage
	link  *Proxy
	// listenAddress is the address of the fake's server, behind the link.
	listenAddress string

	mu sync.Mutex
	// stopServer ends the server; nil while it is down.
	stopServer func()
	// crashed is set while the link refuses connections too.
	crashed bool
	// restarts holds the times at which it was started as another incarnation; history.mu guards it.
	restarts []time.Time
}

// cluster is everything that a run starts: the hosts, the upstreams and the store.
type cluster struct {
	dir       string
	binaries  []string
	hosts     []*host
	upstreams []*upstream
	store     *platform.FakeServer
	server    *http.Server

	// workspaceShares is the hosts' setting of that name.
	workspaceShares bool
	// strain sets the retry budgets and, if it is drawn, how hosts and upstreams are started.
	strain strain
	// nextPort is the next port to try to listen on.
	nextPort int

	mu sync.Mutex
	// cfg is the configuration that was last written to the store.
	cfg matcher.Configuration
}

const (
	dataCentre = "here"
	// serviceHost is the Host header of all requests.
	serviceHost = "desk.example"
	// revokeTimeout is how long a key may still be accepted after it was revoked.
	revokeTimeout = 5 * time.Second
	// leaveTimeout is how long an upstream may still get new requests after it began to leave.
	leaveTimeout = 2 * time.Second
	// keyCount is the number of keys at the start.
	keyCount = 40
)

// listen listens on a TCP address, and retries for a second while it is in use: a process that
// is just being forked inherits a listener that was closed here, and holds it until its exec.
func listen(address string) (net.Listener, error) {
	const maxTries, pause = 50, 20 * time.Millisecond
	for n := 0; ; n++ {
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err == nil || n == maxTries || !errors.Is(err, syscall.EADDRINUSE) {
			return l, err
		}
		time.Sleep(pause)
	}
}

// A run takes at most portsPerRun ports. Runs of different seeds may run in parallel, so each takes
// one of portBlocks blocks from firstPort on; all lie below the ephemeral ports of outgoing
// connections.
const (
	portsPerRun = 600
	firstPort   = 10000
	portBlocks  = 30
)

// freeAddress returns the next address of the run's block on which nothing listens. It panics when
// the block is used up.
func (c *cluster) freeAddress() string {
	for range portsPerRun {
		address := fmt.Sprintf("127.0.0.1:%d", c.nextPort)
		c.nextPort++
		if l, err := listen(address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic("soaker: no free port left on loopback in the block of this run")
}

// retryRule is the retry budget of each service, where the strain has no smaller one.
var retryRule = faker.RetryRule{Length: 10 * time.Second, Ratio: 0.2, Fixed: 200}

// servicesOf returns the services that requests for a path may go to.
func servicesOf(path string) []string {
	switch {
	case rankOf(path) >= 0:
		return []string{rankedService}
	case strings.HasPrefix(path, "/stream/"):
		return []string{"model"}
	case strings.HasPrefix(path, "/moving/"):
		return []string{"desk", "other"}
	default:
		return []string{"desk"}
	}
}

// keyName returns the nth API key.
func keyName(n int) string { return fmt.Sprintf("key-%d", n) }

// route returns a route for the requests whose path starts with prefix.
func route(prefix, service string, kind matcher.Kind) matcher.Route {
	return matcher.Route{
		Name: prefix, Host: serviceHost, Prefix: prefix, Kind: kind, Timeout: 10 * time.Second, TargetLatency: 500 * time.Millisecond,
		MaxAttempts: 2, Resumable: kind == matcher.KindStreaming, Splits: []matcher.Split{{Service: service, Weight: 1}},
	}
}

// newCluster starts the store and the upstreams, and prepares the hosts, which start starts.
func newCluster(dir string, binaries []string, hosts int, seed uint64, workspaceShares bool, strain strain) (*cluster, error) {
	c := &cluster{dir: dir, binaries: binaries, workspaceShares: workspaceShares, strain: strain, store: new(platform.FakeServer), nextPort: firstPort + int(seed%portBlocks)*portsPerRun}
	all := make([]string, keyCount)
	for n := range all {
		all[n] = keyName(n)
	}
	ranked := rankedRoutes(rankPrefixes)
	c.cfg = matcher.Configuration{
		Version: 1,
		Routes: append([]matcher.Route{
			route("/look/", "desk", matcher.KindIdempotent), route("/book/", "desk", matcher.KindNonIdempotent),
			route("/moving/", "desk", matcher.KindIdempotent), route("/stream/", "model", matcher.KindStreaming),
		}, ranked...),
		Services:   []matcher.Service{{Name: "desk"}, {Name: "model"}, {Name: "other"}, {Name: rankedService}},
		Workspaces: workspaces(all),
	}
	if hasOnce(seed) {
		c.cfg.Routes = append(c.cfg.Routes, onceRoute())
	}
	c.updateConfiguration(func(*matcher.Configuration) {})
	storeAddress := c.freeAddress()
	l, err := listen(storeAddress)
	if err != nil {
		return nil, err
	}
	c.server = &http.Server{Handler: bufferResponses(c.store), ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(l) }()
	for _, id := range append([]string{"desk-a", "desk-b", "desk-c", "other-a", "other-b", "model-a", "model-b", "model-c", "pool-a", "pool-b"}, seriesUpstreamIDs(seed)...) {
		if err := c.addUpstream(id, hasCopies(seed)); err != nil {
			return nil, err
		}
	}
	for n := range hosts {
		if err := c.addHost(n, storeAddress); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// updateConfiguration writes a changed configuration to the store, and returns the time at which
// the store had accepted it.
func (c *cluster) updateConfiguration(change func(*matcher.Configuration)) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.cfg)
	c.cfg.Version += 3
	cfg := c.cfg
	c.store.Configure(&cfg)
	return time.Now()
}

// addUpstream starts an upstream and lists it in the store. Its id is the name of its service, a
// hyphen and a letter.
func (c *cluster) addUpstream(id string, copies bool) error {
	service := id[:len(id)-2]
	u := &upstream{
		stage:         &faker.Stage{ID: id, Headers: &platform.Headers, Events: 20, EventInterval: 50 * time.Millisecond, ResponseDelay: 100 * time.Millisecond},
		listenAddress: c.freeAddress(),
	}
	u.stage.SetFaultOf(onceFault)
	if copies {
		u.stage.SetFaultOf(copyFault)
	}
	u.link = &Proxy{Target: u.listenAddress}
	if c.strain.drawn {
		u.link.QueueOf = c.queueOf
		u.stage.EventInterval = strainedInterval
	}
	u.stage.Delivered = func(one *faker.ReceivedRequest) bool { return u.link.Delivered(one.From, one.At) }
	address, err := u.link.Start(c.freeAddress())
	if err != nil {
		return err
	}
	slots := 64
	if service == rankedService {
		slots = rankedSlots
		u.stage.Slots = slots
	}
	u.Upstream = balancer.Upstream{ID: id, Service: service, Address: address, DataCentre: dataCentre, Slots: slots, StartedAt: time.Now().UnixMilli()}
	if err := u.serve(); err != nil {
		return err
	}
	c.upstreams = append(c.upstreams, u)
	c.store.PutUpstream(u.Upstream)
	return nil
}

// serve starts the upstream's server, unless another fault has started it again already.
func (u *upstream) serve() error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopServer != nil {
		return nil
	}
	stop, err := faker.Serve(listen, u.listenAddress, u.stage)
	if err != nil {
		return err
	}
	u.stopServer = stop
	if u.crashed {
		u.crashed = false
		return u.link.Reopen()
	}
	return nil
}

// crash stops the server and its link at once, so that connections are refused as after the end of a process.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopServer != nil {
		u.link.Close()
		u.stopServer()
		u.stopServer, u.crashed = nil, true
	}
}

// addHost writes the settings of the nth host and starts its link to the store.
func (c *cluster) addHost(n int, store string) error {
	h := &host{name: fmt.Sprintf("host-%d", n), version: n, callersAddress: c.freeAddress(), readyAddress: c.freeAddress(), storeLink: &Proxy{Target: store}}
	h.storeLink.QueueOf = func(net.Conn) *Queue { return &h.queue }
	link, err := h.storeLink.Start(c.freeAddress())
	if err != nil {
		return err
	}
	h.settings = filepath.Join(c.dir, h.name+".jsonc")
	text := fmt.Sprintf(`{"host": %q, "dataCentre": %q, "callers": %q, "ready": %q, "peer": %q, "admin": %q, "platform": %q,
		"retryRatio": %g, "retryFixed": %g, "retryWindowS": %g, "revokeMs": %d, "workspaceShares": %t}`,
		h.name, dataCentre, h.callersAddress, h.readyAddress, c.freeAddress(), c.freeAddress(), link,
		c.strain.retries.Ratio, c.strain.retries.Fixed, c.strain.retries.Length.Seconds(), revokeTimeout.Milliseconds(), c.workspaceShares)
	c.hosts = append(c.hosts, h)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// start starts the host's process, with its log appended to a file, and releases a claim on it.
func (c *cluster) start(h *host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(c.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.cmd = exec.CommandContext(context.Background(), c.binaries[h.version%len(c.binaries)], "forward", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if c.strain.drawn {
		// A starved host has less than one processor.
		h.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	}
	h.claimed = false
	h.version++
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

// runsEarlier reports whether the host runs the earlier version of the program, if there is one.
func (h *host) runsEarlier(path string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return path != "" && h.cmd != nil && h.cmd.Path == path
}

// signal sends a signal to the host's process; it does nothing before the first start.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// wait waits for the process to end and returns its exit code, or -1 if a signal ended it.
func (h *host) wait() int {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	<-done
	return cmd.ProcessState.ExitCode()
}

// close ends all processes, links and servers. A paused process is continued first.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		h.wait()
		h.storeLink.Close()
	}
	for _, u := range c.upstreams {
		u.crash()
		u.link.Close()
	}
	c.server.Close()
}
