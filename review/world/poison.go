package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// maxRetries is the number of retries of the rule, toleratedCrashes the number of crashes after which it counts.
const (
	maxRetries       = 3
	toleratedCrashes = 3
)

// errUnserved means that the surroundings are at fault: ordinary requests are not served before the disruption.
var errUnserved = errors.New("ordinary requests are not served")

// begin starts the store, the servers and the hosts, and waits until all is in touch.
func (w *world) begin(servers func() error) error {
	const hosts = 2
	if err := w.serveStore(); err != nil {
		return err
	}
	w.configure()
	if err := servers(); err != nil {
		return err
	}
	for n := range hosts {
		if err := w.addHost(fmt.Sprintf("edge-%s-%d", zone, n+1)); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

// traffic sends ordinary requests to all hosts in turn, perSecond each second, until stop is closed. It returns counters of
// those that were sent and served.
func (w *world) traffic(q func(n int) *request, perSecond int, stop <-chan struct{}) (sent, served *atomic.Int64) {
	sent, served = new(atomic.Int64), new(atomic.Int64)
	go func() {
		tick := time.NewTicker(time.Second / time.Duration(perSecond))
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			go func() {
				sent.Add(1)
				if a := w.send(w.hosts[n%len(w.hosts)], q(n)); a.status == http.StatusOK && a.whole {
					served.Add(1)
				}
			}()
		}
	}()
	return sent, served
}

// come sends a request as a client does: to one host and, after a failure other than those that are not retried, at once to
// the next one, once.
func (w *world) come(first int, q *request) {
	for n := range 2 {
		a := w.send(w.hosts[(first+n)%len(w.hosts)], q)
		if a.status/100 == 2 && a.whole || a.status == http.StatusBadRequest || a.status == http.StatusUnauthorized || a.status == http.StatusNotFound {
			return
		}
		if a.status == http.StatusServiceUnavailable {
			return // the client is told when to come back; it comes with the next round
		}
	}
}

// judge applies the rule to one request that crashes its servers: "reaches runners in more than three retries, sent by machines
// in touch later than stable-window-ms after it has crashed the third". A client's own new attempt is not counted as a retry.
func (w *world) judge(word string) verdict {
	first, again := w.countLate(word, toleratedCrashes)
	return verdict{
		broken: again > maxRetries,
		detail: fmt.Sprintf("%s reached servers in %d retries of the hosts later than %v after the third crash (%d are allowed), beside %d first sends of new client attempts", word, again, stableWindow, maxRetries, first),
	}
}

// countLate counts the arrivals later than stableWindow after a number of crashes: the first ones of client attempts, and others.
func (w *world) countLate(word string, tolerated int) (first, again int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	crashes := 0
	var since time.Time
	seen := make(map[string]bool)
	for _, a := range w.arrivals {
		if !strings.Contains(a.what, word) {
			continue
		}
		isLate := !since.IsZero() && a.at.Sub(since) > stableWindow
		switch {
		case isLate && seen[a.id]:
			again++
		case isLate:
			first++
		}
		seen[a.id] = true
		if a.crashed {
			if crashes++; crashes == tolerated {
				since = a.at
			}
		}
	}
	return first, again
}

func check(n int) *request {
	return &request{method: http.MethodGet, path: fmt.Sprintf("/check/yard-%d", n%60), deadline: 1500 * time.Millisecond}
}

// playBegun lets a stream come that crashes each server once that has made its first piece.
func playBegun(w *world) (verdict, error) {
	const servers, rounds, interval = 12, 3, 6 * time.Second
	if err := w.begin(func() error {
		return w.addServers(servers, &server{service: "yard-assistant", slots: 192, pieces: 43, gap: 20 * time.Millisecond, crashAfter: 1})
	}); err != nil {
		return verdict{}, err
	}
	const shared = "5c1e07a2:40,"
	draft := func(n int) *request {
		return &request{method: http.MethodPost, path: "/draft/2f", body: fmt.Sprintf("draft %d", n), prefix: fmt.Sprintf("%s%08x:720", shared, n+1), tokens: "760,172", deadline: 20 * time.Second}
	}
	stop := make(chan struct{})
	sent, served := w.traffic(draft, 10, stop)
	defer close(stop)
	time.Sleep(4 * time.Second)
	if n := sent.Load() - 20; served.Load() < n*9/10 {
		return verdict{}, errUnserved
	}
	for round := range rounds {
		w.record("round %d", round+1)
		q := draft(0xe4402b7c)
		q.body, q.name = poisonWord, "client"
		w.come(round%2, q)
		time.Sleep(interval)
	}
	return w.judge(poisonWord), nil
}

// playKill lets a request come that crashes the servers which run it, kills all hosts once it is refused, and lets it come again,
// three times.
func playKill(w *world) (verdict, error) {
	const servers = 12
	w.crashes = true // the disruption that is left out is the kill
	if err := w.begin(func() error {
		return w.addServers(servers, &server{service: "stock-desk", slots: 6, work: 15 * time.Millisecond})
	}); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	sent, served := w.traffic(check, 20, stop)
	defer close(stop)
	time.Sleep(2 * time.Second)
	if n := sent.Load(); served.Load() < n*9/10 {
		return verdict{}, errUnserved
	}
	q := &request{method: http.MethodGet, path: "/check/" + poisonWord, deadline: 1500 * time.Millisecond, name: "client"}
	// Without the kills it comes as often.
	const rounds, lastKill = 6, 4
	for round := range rounds {
		w.record("round %d", round+1)
		w.come(round%2, q)
		time.Sleep(stableWindow + time.Second)
		if round == 0 || round >= lastKill || !w.trouble {
			continue
		}
		for _, h := range w.hosts {
			h.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, h := range w.hosts {
			if err := h.restart(); err != nil {
				return verdict{}, err
			}
		}
		if err := w.awaitReady(); err != nil {
			return verdict{}, err
		}
	}
	return w.judge(poisonWord), nil
}

// playPart lets requests come, no two alike, with a part in their prompts that crashes each server 1.2 s after it has begun to
// answer. The rule for them stands in issue 56 and not in RULES.md.
func playPart(w *world) (verdict, error) {
	const servers, tolerated = 12, 5
	if err := w.begin(func() error {
		return w.addServers(servers, &server{service: "yard-assistant", slots: 192, pieces: 43, gap: 50 * time.Millisecond, crashAfter: 24})
	}); err != nil {
		return verdict{}, err
	}
	const shared = "5c1e07a2:40,"
	draft := func(n int) *request {
		return &request{method: http.MethodPost, path: "/draft/2f", body: fmt.Sprintf("draft %d", n), prefix: fmt.Sprintf("%s%08x:720", shared, n+1), tokens: "760,172", deadline: 20 * time.Second}
	}
	stop := make(chan struct{})
	sent, served := w.traffic(draft, 10, stop)
	defer close(stop)
	time.Sleep(6 * time.Second)
	if n := sent.Load() - 40; served.Load() < n*9/10 {
		return verdict{}, errUnserved
	}
	for n := range 20 {
		q := draft(1000 + n)
		q.prefix, q.name = fmt.Sprintf("%s%s:200,%08x:520", shared, poisonPart, 1000+n), "client"
		go w.come(n%2, q)
		time.Sleep(1500 * time.Millisecond)
	}
	first, again := w.countLate(poisonPart, tolerated)
	return verdict{first+again > maxRetries, fmt.Sprintf("requests with the part reached servers %d times later than %v after crash %d (%d are allowed)", first+again, stableWindow, tolerated, maxRetries)}, nil
}
