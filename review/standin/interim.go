package main

import (
	"fmt"
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
			d: d, service: "desk", zone: fmt.Sprintf("zone-%d", n%2), address: fmt.Sprintf("%s:%d", ip, freePort(ip)), slots: 32, garbles: n < 2,
			handle: func(x *exchange) {
				if d.trouble && x.r.garbles && x.r.answers.Add(1)%40 == 0 {
					x.c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
				}
				answerPlain(30 * time.Millisecond)(x)
			},
		})
	}
	d.configure(`{"version":7,"routes":[{"name":"r-book","host":"` + clientHost + `","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":5000,` +
		`"target-latency-ms":300,"priority":1,"service":"desk","max-attempts":2,"public":false,"sticky":false}],` +
		`"services":[{"name":"desk","health-path":"/health","max-connections":1000,"protocol":"h1","tls":false}],` + tenantsText + `,` + limitsText + `}`)
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
				d.checkOnce(q, r)
				if r.err == nil && r.status/100 == 2 && (r.header.Get(stampHeader) == "" || !strings.HasSuffix(r.body, q.id)) {
					d.broken("MIXED: request %s got status %d, stamp %q, body %q; it ran %d times", q.id, r.status, r.header.Get(stampHeader), r.body, len(runsOf(q.id)))
				}
			}
		})
	}
	wg.Wait()
}
