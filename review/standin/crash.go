package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// playCrash sends streams that may not be resumed, and crashes one runner after the other, of which each is back after
// some seconds. No stream may run twice.
func playCrash(d *driver) {
	for n := range 8 {
		ip := d.ip(100 + n)
		d.runners = append(d.runners, &runner{
			d: d, service: "drafts", zone: fmt.Sprintf("zone-%d", n%2), address: fmt.Sprintf("%s:%d", ip, freePort(ip)), slots: 32,
			handle: answerStream(100*time.Millisecond, 80*time.Millisecond, 4),
		})
	}
	d.configure(`{"version":7,"routes":[{"name":"r-draft","host":"` + clientHost + `","path-prefix":"/draft/","kind":"streaming","timeout-ms":20000,` +
		`"target-latency-ms":500,"gap-target-ms":500,"priority":1,"service":"drafts","max-attempts":2,"public":false,"sticky":false,"resumable":false}],` +
		`"services":[{"name":"drafts","health-path":"/health","max-connections":1000,"protocol":"h1","tls":false}],` + tenantsText + `,` + limitsText + `}`)
	for _, r := range d.runners {
		r.start(0)
	}
	for n := range 2 {
		d.newHost(n, fmt.Sprintf("zone-%d", n%2)).start()
	}
	d.awaitReady()
	time.Sleep(3 * time.Second)
	end := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := 0; d.trouble && n < 4; n++ {
			time.Sleep(5 * time.Second)
			r := d.runners[2*n]
			r.crash("srv_crash")
			wg.Go(func() {
				time.Sleep(4 * time.Second)
				r.start(0)
			})
		}
	})
	for n := range 96 {
		wg.Go(func() {
			h := d.hosts[n%len(d.hosts)]
			for time.Now().Before(end) {
				time.Sleep(time.Duration(rand.IntN(300)) * time.Millisecond)
				c, err := d.connect(h)
				if err != nil {
					continue
				}
				q := &request{id: newID(), method: http.MethodPost, path: "/draft/1", body: []byte("a prompt"), deadline: 20 * time.Second}
				r := c.send(q)
				c.Close()
				d.recordResult(q, h, r)
				d.checkOnce(q)
			}
		})
	}
	wg.Wait()
}
