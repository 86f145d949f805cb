package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is one entry host: the project's program, run with the command of deploy/system.toml.
type host struct {
	name, zone, ip, front, ready string
	settings                     string
	d                            *driver

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)

// fields are those that deploy/settings.jsonc names, with the bounds of the site bsp-depots.
func (h *host) fields(platform string, first bool) map[string]any {
	return map[string]any{
		"node-name": h.name, "zone": h.zone, "ip": h.ip, "listen.front": h.front, "listen.readiness": h.ready,
		"internal-ports.0": freePort(h.ip), "platform.address": platform,
		"bounds.retry-budget-ratio": 0.2, "bounds.budget-min-retries": 200, "bounds.budget-window-s": 10,
		"bootstrap": first, "bounds.revoke-ms": 5000, "limits.memory-mb": h.d.memoryMB,
	}
}

// newHost writes the settings of a host from the template of the deploy file.
func (d *driver) newHost(n int, zone string) *host {
	ip := d.ip(10 + n)
	h := &host{name: fmt.Sprintf("edge-%s-%d", zone, n), zone: zone, ip: ip, d: d}
	h.front, h.ready = fmt.Sprintf("%s:%d", ip, freePort(ip)), fmt.Sprintf("%s:%d", ip, freePort(ip))
	src, err := os.ReadFile("deploy/settings.jsonc")
	d.check(err)
	fields := h.fields(d.platform, true)
	text := placeholder.ReplaceAllStringFunc(string(src), func(p string) string {
		m := placeholder.FindStringSubmatch(p)
		v, ok := fields[m[1]]
		if !ok {
			d.fail("the template of the settings names %s", m[1])
		}
		if m[2] == "" {
			return fmt.Sprint(v)
		}
		b, _ := json.Marshal(v)
		return string(b)
	})
	h.settings = filepath.Join(d.dir, h.name+".conf")
	d.check(os.WriteFile(h.settings, []byte(text), 0o600))
	d.hosts = append(d.hosts, h)
	return h
}

// start starts the process of the host.
func (h *host) start() {
	log, err := os.OpenFile(filepath.Join(h.d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	h.d.check(err)
	cmd := exec.CommandContext(context.Background(), "target/sardineward", "forward", "--settings", h.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.d.dir}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	h.d.check(cmd.Start())
	exited := make(chan struct{})
	h.mu.Lock()
	h.cmd, h.exited = cmd, exited
	h.mu.Unlock()
	h.d.record("host %s starts, process %d", h.name, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		log.Close()
		h.d.record("host %s has ended: %v", h.name, err)
		close(exited)
	}()
}

// stop ends the process of the host.
func (h *host) stop() {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// isReady asks the host whether it takes requests, as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+h.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (d *driver) awaitReady() {
	until := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for !h.isReady() {
			if time.Now().After(until) {
				d.fail("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record("all hosts are ready")
}

// freePort returns a port that is free at a loopback address.
func freePort(ip string) int {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = l.Close() }()
	_, port, _ := strings.Cut(l.Addr().String(), ":")
	n := 0
	_, _ = fmt.Sscan(port, &n)
	return n
}

// signal sends a signal to the process of the host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.d.record("host %s gets signal %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// pid returns the id of the host's process, and false once it has ended.
func (h *host) pid() (int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return 0, false
	}
	select {
	case <-h.exited:
		return 0, false
	default:
		return h.cmd.Process.Pid, true
	}
}
