package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playInterim sends bookings to runners of which some hand out wrong bytes before their answer: an interim response that
// nobody asked for. No client may get a success that is not the runner's.
func playInterim(d *driver) {
	for n := range 4 {
		ip := d.ip(100 + n)
		d.runners = append(d.runners, &runner{
			d: d, service: "desk", zone: fmt.Sprintf("zone-%d", n%2), address: fmt.Sprintf("%s:%d", ip, freePort(ip)), slots: 32,
			handle: func(x *exchange) {
				if d.trouble && x.r == d.runners[0] && rand.IntN(40) == 0 {
					x.c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
				}
				answerPlain(30 * time.Millisecond)(x)
			},
		})
	}
	d.configure(bookingText(7, tenantsText))
	for _, r := range d.runners {
		r.start(0)
	}
	for n := range 2 {
		d.newHost(n, fmt.Sprintf("zone-%d", n%2)).start()
	}
	d.awaitReady()
	end := time.Now().Add(15 * time.Second)
	var wg sync.WaitGroup
	for n := range 16 {
		wg.Go(func() {
			h := d.hosts[n%len(d.hosts)]
			for time.Now().Before(end) {
				c, err := d.connect(h)
				if err != nil {
					continue
				}
				q := &request{id: newID(), method: http.MethodPost, path: "/book/1", body: []byte("a lot"), deadline: 1500 * time.Millisecond}
				r := c.send(q)
				c.Close()
				d.recordResult(q, h, r)
				d.checkOnce(q)
				if r.err == nil && r.status/100 == 2 && (r.header.Get(stampHeader) == "" || !strings.HasSuffix(r.body, q.id)) {
					d.broken("MIXED: request %s got status %d, stamp %q, body %q; it ran %d times", q.id, r.status, r.header.Get(stampHeader), r.body, len(runsOf(q.id)))
				}
			}
		})
	}
	wg.Wait()
}

// bookingText is a configuration with a route for bookings.
func bookingText(version int, tenants string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-book","host":"%s","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":5000,`+
		`"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"public":false,"sticky":false}],`+
		`"services":[{"name":"desk","health-path":"/health","max-connections":1000,"protocol":"h1","tls":false}],%s,%s}`, version, clientHost, tenants, limitsText)
}

// startDesk starts two runners and a host for bookings.
func (d *driver) startDesk(work time.Duration) *host {
	for n := range 2 {
		ip := d.ip(100 + n)
		r := &runner{d: d, service: "desk", zone: "zone-0", address: fmt.Sprintf("%s:%d", ip, freePort(ip)), slots: 32, handle: answerPlain(work)}
		d.runners = append(d.runners, r)
		r.start(0)
	}
	d.configure(bookingText(7, tenantsText))
	h := d.newHost(0, "zone-0")
	h.start()
	d.awaitReady()
	return h
}

// playLastTenant takes the only tenant away. A request with its key may not run after revoke-ms.
func playLastTenant(d *driver) {
	h := d.startDesk(30 * time.Millisecond)
	if d.trouble {
		d.configure(bookingText(8, `"tenants":[]`))
	}
	time.Sleep(6 * time.Second)
	c, err := d.connect(h)
	d.check(err)
	defer c.Close()
	q := &request{id: newID(), method: http.MethodPost, path: "/book/1", body: []byte("a lot"), deadline: 1500 * time.Millisecond}
	r := c.send(q)
	d.recordResult(q, h, r)
	if d.trouble && len(runsOf(q.id)) > 0 {
		d.broken("CONFIG: request %s ran 6 s after its key was taken away, status %d", q.id, r.status)
	}
}

// playHalfClose ends the sending half of a client's connection while its booking runs. The client may get no success
// that is not the runner's.
func playHalfClose(d *driver) {
	h := d.startDesk(300 * time.Millisecond)
	c, err := d.connect(h)
	d.check(err)
	defer c.Close()
	q := &request{id: newID(), method: http.MethodPost, path: "/book/1", body: []byte("a lot"), deadline: 1500 * time.Millisecond}
	if d.trouble {
		time.AfterFunc(100*time.Millisecond, func() {
			if t, ok := c.Conn.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
		})
	}
	r := c.send(q)
	d.recordResult(q, h, r)
	if r.err == nil && r.status == http.StatusOK && r.header.Get(stampHeader) == "" {
		d.broken("MIXED: request %s got status %d without stamp, body %q; it ran %d times", q.id, r.status, r.body, len(runsOf(q.id)))
	}
}
