package main

import (
	"fmt"
	"time"
)

// drain is the bound drain-ms of the sheets.
const drain = 2 * time.Second

// playLeaving lets the open connections between the hosts and the store go silent, and two servers leave without a report
// just after.
func playLeaving(w *world) (verdict, error) {
	const (
		servers, leaving = 8, 2
		perSecond        = 100
		serving          = 9 * time.Second
	)
	w.viaProxy = true
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
		w.record("%d open connections to the store go silent, new ones work", w.proxy.silence())
	}
	silentAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	for n := range leaving {
		w.servers[n].leave(serving)
	}
	goneAt := time.Now()
	time.Sleep(serving + time.Second)
	close(stop)
	time.Sleep(time.Second)
	return w.judgeLeaving(silentAt, goneAt, w.servers[:leaving]), nil
}

// judgeLeaving applies the rule "A request reaches a runner later than drain-ms after a machine in touch acknowledged that the
// runner is draining or gone, taken from the client and sent on by machines in touch".
func (w *world) judgeLeaving(silentAt, goneAt time.Time, gone []*server) verdict {
	w.mu.Lock()
	defer w.mu.Unlock()
	left := make(map[string]bool)
	for _, s := range gone {
		left[s.id] = true
	}
	late, last := 0, time.Duration(0)
	for _, a := range w.arrivals {
		if !left[a.server] || a.at.Sub(goneAt) <= drain || w.sent[a.id].Sub(silentAt) <= stableWindow {
			continue
		}
		late++
		last = max(last, a.at.Sub(goneAt))
	}
	return verdict{late > 0, fmt.Sprintf("%d requests that hosts in touch took reached a server later than %v after the store had acknowledged that it leaves, the last one after %v", late, drain, last.Round(time.Millisecond))}
}
