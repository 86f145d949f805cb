package main

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// gate is a listener that accepts nothing once it is shut.
type gate struct {
	net.Listener
	shut atomic.Bool
	// over is closed when the server is back.
	over chan struct{}
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if g.shut.Load() {
		<-g.over
	}
	return c, err
}

// goDark ends the server as a loss of power does: it says nothing more on open connections, and new ones hang. It is back after
// downFor.
func (s *server) goDark() {
	s.mu.Lock()
	if !s.up {
		s.mu.Unlock()
		return
	}
	s.up, s.dark = false, true
	s.stop()
	g, conns := s.listener, s.conns
	g.shut.Store(true)
	s.mu.Unlock()
	fillers := s.fillQueue(g)
	s.w.record("server %s has gone dark", s.id)
	s.expireEntry()
	go func() {
		time.Sleep(downFor)
		for _, c := range fillers {
			_ = c.Close()
		}
		close(g.over)
		_ = g.Close()
		s.mu.Lock()
		for c := range conns {
			resetConn(c)
		}
		s.mu.Unlock()
		s.startAgain()
	}()
}

// fillQueue makes the queue of new connections as short as possible and fills it, so that further ones get no answer.
func (s *server) fillQueue(g *gate) []net.Conn {
	const most = 8
	if l, ok := g.Listener.(*net.TCPListener); ok {
		if raw, err := l.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
		}
	}
	var out []net.Conn
	for range most {
		c, err := (&net.Dialer{Timeout: 30 * time.Millisecond}).DialContext(context.Background(), "tcp", s.address)
		if err != nil {
			break
		}
		out = append(out, c)
	}
	return out
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
