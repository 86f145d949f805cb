package main

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// bodySize is the size of a request's body, the largest that max-body-bytes allows.
const bodySize = 4 << 20

// playSlowReaders sends requests with bodies while the runners of the service read them slowly. The platform kills a host
// that exceeds its memory.
func playSlowReaders(d *driver) {
	for n := range 3 {
		ip := d.ip(100 + n)
		d.runners = append(d.runners, &runner{
			d: d, service: "files", zone: fmt.Sprintf("zone-%d", n%2), address: fmt.Sprintf("%s:%d", ip, freePort(ip)), slots: 64,
			handle: answerPlain(15 * time.Millisecond),
		})
	}
	d.configure(`{"version":7,"routes":[{"name":"r-file","host":"` + clientHost + `","path-prefix":"/file/","kind":"idempotent","timeout-ms":20000,` +
		`"target-latency-ms":1000,"priority":1,"service":"files","max-attempts":2,"public":false,"sticky":false}],` +
		`"services":[{"name":"files","health-path":"/health","max-connections":1000,"protocol":"h1","tls":false}],` + tenantsText + `,` + limitsText + `}`)
	for _, r := range d.runners {
		r.start(0)
	}
	for n := range 2 {
		d.newHost(n, fmt.Sprintf("zone-%d", n%2)).start()
	}
	d.awaitReady()
	var wg sync.WaitGroup
	end := time.Now().Add(60 * time.Second)
	kills := make([]int, len(d.hosts))
	for i, h := range d.hosts {
		wg.Go(func() { kills[i] = d.limitMemory(h, end) })
	}
	wg.Go(func() {
		time.Sleep(8 * time.Second)
		if !d.trouble {
			return
		}
		for _, r := range d.runners {
			r.setReadRate(300_000)
		}
		d.record("runners read slowly")
	})
	body := bytes.Repeat([]byte("0123456789abcdef"), bodySize/16)
	for n := 0; time.Now().Before(end); n++ {
		h := d.hosts[n%len(d.hosts)]
		wg.Go(func() {
			c, err := d.connect(h)
			if err != nil {
				return
			}
			defer c.Close()
			q := &request{id: newID(), method: http.MethodPost, path: "/file/1", body: body, deadline: 20 * time.Second}
			d.recordResult(q, h, c.send(q))
		})
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	if min(kills[0], kills[1]) >= endsOfRule {
		d.broken("Fault: the processes of both machines exceed their memory, %d and %d times", kills[0], kills[1])
	}
}

// endsOfRule is how often processes end by themselves on a tenth of the machines, two at least, where the rule is broken.
const endsOfRule = 3

// limitMemory is the platform's limit: it kills the host's process when that exceeds its memory, and starts it again. It
// returns how often it did.
func (d *driver) limitMemory(h *host, end time.Time) (kills int) {
	most := 0
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(50 * time.Millisecond)
		pid, ok := h.pid()
		if !ok {
			d.fail("host %s has ended", h.name)
		}
		used := residentMB(pid)
		most = max(most, used)
		if n%20 == 0 {
			d.record("host %s holds %d MB, at most %d so far", h.name, used, most)
		}
		if used <= d.memoryMB {
			continue
		}
		kills++
		d.record("host %s holds %d MB, over its %d MB, and is killed, for the %d. time", h.name, used, d.memoryMB, kills)
		h.signal(syscall.SIGKILL)
		<-h.exited
		time.Sleep(500 * time.Millisecond)
		h.start()
	}
	return kills
}

// residentMB returns the memory of a process in MiB, the larger unit that memory-mb may mean, without files that are mapped.
func residentMB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(b)) {
		var kb int
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}
