package main

import (
	"fmt"
	"net/http"
	"time"
)

// playForeign lets another writer put an entry below those of the servers which lacks most fields. Its address is the one at which
// callers reach the service: the front of a host.
func playForeign(w *world) (verdict, error) {
	const servers, perSecond = 8, 100
	if err := w.begin(func() error {
		return w.addServers(servers, &server{service: "stock-desk", slots: 6, work: 15 * time.Millisecond})
	}); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	sent, served := w.traffic(check, perSecond, stop)
	time.Sleep(2 * time.Second)
	if n := sent.Load(); served.Load() < n*9/10 {
		return verdict{}, errUnserved
	}
	if w.trouble {
		entry := map[string]any{"service": "stock-desk", "address": w.hosts[1].front, "zone": zone, "state": "ready"}
		w.store.put("servers/stock-desk-front", entry)
		w.record("another writer writes servers/stock-desk-front: %v", entry)
	}
	time.Sleep(8 * time.Second)
	close(stop)
	time.Sleep(2 * time.Second)
	return w.judgeDenied(), nil
}

// judgeDenied applies the rule "More than 5 + one in 500 of all requests are ended with a 3xx or 4xx of your own (other than 408, 421,
// 429) though they are proper and every configuration that may be in force allows them". All requests here are proper and allowed, and
// no server answers with such a status.
func (w *world) judgeDenied() verdict {
	const fixed, share = 5, 500
	w.mu.Lock()
	defer w.mu.Unlock()
	denied := 0
	for status, n := range w.statuses {
		switch {
		case status < 300 || status >= 500:
		case status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests:
		default:
			denied += n
		}
	}
	allowed := fixed + w.requests/share
	return verdict{denied > allowed, fmt.Sprintf("%d of %d requests were denied (%d are allowed), answers by status: %v", denied, w.requests, allowed, w.statuses)}
}

// countStatus counts an answer; w.mu is held.
func (w *world) countStatus(status int) {
	if w.statuses == nil {
		w.statuses = make(map[int]int)
	}
	w.statuses[status]++
}
