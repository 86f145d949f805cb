package main

import (
	"context"
	"time"
)

// drainFor lets the server report that it drains, go on with that report at each heartbeat, and end after a time.
func (s *server) drainFor(serving time.Duration) {
	s.mu.Lock()
	s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop, s.state = cancel, "draining"
	s.mu.Unlock()
	go s.beat(ctx)
	s.w.record("server %s reports that it drains, and serves on for %v", s.id, serving)
	go func() {
		time.Sleep(serving)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.stop()
		s.up, s.endedAt = false, time.Now()
		_ = s.listener.Close()
		for c := range s.conns {
			_ = c.Close()
		}
		s.w.store.drop("servers/" + s.id)
		s.w.record("server %s has ended", s.id)
	}()
}

// playLate lets two servers leave, and the store carry out late a heartbeat of each that got no answer before.
func playLate(w *world) (verdict, error) {
	const (
		servers, leaving = 8, 2
		perSecond        = 100
		serving          = 9 * time.Second
		// lateBy is how late the store carries out a call that got no answer.
		lateBy = 5800 * time.Millisecond
	)
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
	lostAt := time.Now()
	for n := range leaving {
		if !w.trouble {
			continue
		}
		s := w.servers[n]
		s.mu.Lock()
		entry := s.entry()
		s.mu.Unlock()
		w.record("a heartbeat of server %s gets no answer", s.id)
		time.AfterFunc(lateBy, func() {
			w.store.put("servers/"+s.id, entry)
			w.record("the store carries out the heartbeat of server %s", s.id)
		})
	}
	time.Sleep(stableWindow + 200*time.Millisecond)
	for n := range leaving {
		w.servers[n].drainFor(serving)
	}
	// The reports are with the store well before that.
	time.Sleep(100 * time.Millisecond)
	goneAt := time.Now()
	time.Sleep(serving + time.Second)
	close(stop)
	time.Sleep(time.Second)
	return w.judgeLeaving(lostAt, goneAt, w.servers[:leaving]), nil
}
