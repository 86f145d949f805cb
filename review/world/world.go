// Command world plays the surroundings of some entry hosts on loopback: the platform's store, the servers and the clients. It
// starts the hosts as processes of their own. Each case of this review is one of its subcommands.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	zone = "sfax-north"
	// virtualHost is the host name of all routes, key that of the one tenant.
	virtualHost = "ficu95.example"
	key         = "n2ctnfzs989anu6wsjnb"
	// stableWindow is the bound stable-window-ms of the sheets.
	stableWindow = 3 * time.Second
)

// errNoPort means that no free port was found.
var errNoPort = errors.New("no free port found")

var quiet = log.New(io.Discard, "", 0)

// world is everything around the hosts.
type world struct {
	// trouble is set unless the disruption of the case is left out, crashes while poisonous requests crash their servers.
	trouble, crashes bool
	binary           string
	dir              string
	started          time.Time
	store            *store
	// platform is the address of the store.
	platform string
	servers  []*server
	hosts    []*host
	// viaProxy is set before begin to put proxy between the hosts and the store.
	viaProxy bool
	proxy    *proxy

	mu  sync.Mutex
	out *os.File
	// sent holds when client attempts began.
	sent map[string]time.Time
	// statuses counts the answers by status; 0 is none.
	statuses map[int]int
	arrivals []arrival
	requests int
}

// record writes one line of the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%8.3f s  "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

func (w *world) arrived(a arrival) {
	w.mu.Lock()
	w.arrivals = append(w.arrivals, a)
	w.mu.Unlock()
	what := "takes it"
	if a.crashed {
		what = "takes it, to crash"
	}
	w.record("request %s (%s) reaches server %s, which %s", a.id, a.what, a.server, what)
}

// freeAddress returns a loopback address with a port that nothing uses, below those that the system gives to connections. Cases that
// are played side by side mostly use other ranges.
func freeAddress() (string, error) {
	const first, count, ranges = 20000, 1000, 12
	for range count {
		port := first + os.Getpid()%ranges*count + int(lastPort.Add(1))%count
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
		l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err == nil {
			return address, l.Close()
		}
	}
	return "", errNoPort
}

// lastPort counts the ports that were tried.
var lastPort atomic.Int64

// serveStore starts the platform's store.
func (w *world) serveStore() error {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.store, w.platform = newStore(), l.Addr().String()
	hs := &http.Server{Handler: w.store, ReadHeaderTimeout: 10 * time.Second, ErrorLog: quiet}
	go func() { _ = hs.Serve(l) }()
	if !w.viaProxy {
		return nil
	}
	w.proxy, w.platform, err = startProxy(w.platform)
	return err
}

// route is one route of the configuration.
func route(prefix, service, kind string, timeoutMs, targetMs, attempts int) map[string]any {
	out := map[string]any{
		"name": "r" + strings.ReplaceAll(prefix, "/", "-"), "host": virtualHost, "path-prefix": prefix, "kind": kind, "timeout-ms": timeoutMs,
		"target-latency-ms": targetMs, "priority": 1, "service": service, "max-attempts": attempts, "public": false,
	}
	if kind == "streaming" {
		out["resumable"], out["gap-target-ms"], out["sticky"] = true, 250, true
	}
	return out
}

// configure writes the configuration: a plain service and one that streams.
func (w *world) configure() {
	w.store.put("op/config", map[string]any{
		"version": 7,
		"routes": []any{
			route("/check/", "stock-desk", "idempotent", 800, 100, 2),
			route("/release/", "stock-desk", "non_idempotent", 800, 100, 1),
			route("/draft/", "yard-assistant", "streaming", 20000, 500, 2),
		},
		"services": []any{
			map[string]any{"name": "stock-desk", "health-path": "/health", "max-connections": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "yard-assistant", "health-path": "/health", "max-connections": 1000, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{key}, "priority": 1}},
	})
}

// addServers starts count servers like s.
func (w *world) addServers(count int, s *server) error {
	for range count {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		one := &server{
			w: w, id: fmt.Sprintf("i-%s-%02d", s.service, len(w.servers)), service: s.service, address: address, slots: s.slots,
			work: s.work, pieces: s.pieces, gap: s.gap, crashAfter: s.crashAfter,
		}
		if err := one.start(); err != nil {
			return err
		}
		w.servers = append(w.servers, one)
	}
	return nil
}

// host is one entry host.
type host struct {
	w              *world
	name, settings string
	front, ready   string
	cmd            *exec.Cmd
	ended          chan struct{}
}

// addHost writes the settings of a host, like those that deploy/settings.jsonc gives, and starts it.
func (w *world) addHost(name string) error {
	var addresses [4]string
	for n := range addresses {
		var err error
		if addresses[n], err = freeAddress(); err != nil {
			return err
		}
	}
	h := &host{w: w, name: name, front: addresses[0], ready: addresses[1], settings: filepath.Join(w.dir, name+".jsonc")}
	w.hosts = append(w.hosts, h)
	return h.start(map[string]any{
		"host": name, "dataCentre": zone, "callers": addresses[0], "ready": addresses[1], "peer": addresses[2], "admin": addresses[3],
		"platform": w.platform, "retryRatio": 0.2, "retryFixed": 200, "retryWindowS": 10, "firstStart": true, "revokeMs": 5000, "memoryMB": 544,
	})
}

// start writes the settings and starts the process.
func (h *host) start(settings map[string]any) error {
	b, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.settings, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(h.w.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	h.cmd = exec.CommandContext(context.Background(), h.w.binary, "forward", "--settings", h.settings)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.w.record("host %s starts, process %d", h.name, h.cmd.Process.Pid)
	cmd, ended := h.cmd, make(chan struct{})
	h.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// restart starts the process again, as after a kill.
func (h *host) restart() error {
	b, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	var settings map[string]any
	if err := json.Unmarshal(b, &settings); err != nil {
		return err
	}
	settings["firstStart"] = false
	return h.start(settings)
}

// kill ends the process at once.
func (h *host) kill() {
	_ = h.cmd.Process.Signal(syscall.SIGKILL)
	<-h.ended
	h.w.record("host %s is killed", h.name)
}

// awaitReady waits until all hosts say that they are ready, and then until they are in touch.
func (w *world) awaitReady() error {
	until := time.Now().Add(15 * time.Second)
	for _, h := range w.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
		w.record("host %s is ready", h.name)
	}
	time.Sleep(stableWindow + time.Second)
	return nil
}

func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// answer is what a client got.
type answer struct {
	// status is 0 if no answer came.
	status int
	// whole is set if the answer was complete.
	whole bool
	body  string
}

// request is what a client sends.
type request struct {
	method, path, body string
	// prefix and tokens are those of a model's prompt; empty for a plain request.
	prefix, tokens string
	deadline       time.Duration
	// name is written in the record; requests without one are not.
	name string
}

// send sends one client attempt, on a new connection.
func (w *world) send(h *host, q *request) answer {
	w.mu.Lock()
	w.requests++
	id := "a" + strconv.FormatInt(0x10000+int64(w.requests), 16)
	w.sent[id] = time.Now()
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), q.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+h.front+q.path, bytes.NewReader([]byte(q.body)))
	if err != nil {
		return answer{}
	}
	r.Host = virtualHost
	r.Header.Set(idField, id)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Sardineward-Deadline-Ms", strconv.FormatInt(q.deadline.Milliseconds(), 10))
	if q.prefix != "" {
		r.Header.Set("X-Sardineward-Model", "daka510000")
		r.Header.Set("X-Sardineward-Token-Counts", q.tokens)
		r.Header.Set("X-Sardineward-Prompt-Prefix", q.prefix)
	}
	if q.name != "" {
		w.record("%s: request %s (%s %s) is sent to host %s", q.name, id, q.method, q.path, h.name)
	}
	a := do(r)
	w.mu.Lock()
	w.countStatus(a.status)
	w.mu.Unlock()
	if q.name != "" {
		w.record("%s: request %s got status %d, whole %t, of %d bytes", q.name, id, a.status, a.whole, len(a.body))
	}
	return a
}

func do(r *http.Request) answer {
	t := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	resp, err := t.RoundTrip(r)
	if err != nil {
		return answer{}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, whole: err == nil, body: string(b)}
}

// pause waits, and reports false if ctx ended before.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
