package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

//go:generate enumer -type Mode -trimprefix Mode -transform lower -output mode_gen.go

// Mode is what a Proxy does to the connections through it.
type Mode int

// The modes.
const (
	// ModePass forwards.
	ModePass Mode = iota
	// ModeReset resets connections, open and new.
	ModeReset
	// ModeSilent forwards nothing, either way.
	ModeSilent
	// ModeOneWay loses what comes back: requests arrive, answers don't.
	ModeOneWay
	// ModeSlow holds each piece up.
	ModeSlow
)

// slowBy is by how much ModeSlow holds a piece up: fifty times a link's delay.
const slowBy = 50 * time.Millisecond

// Proxy is a link on loopback that can be harmed from outside.
type Proxy struct {
	// Target is where it leads.
	Target string

	l     net.Listener
	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// Start opens the link at an address and returns it.
func (p *Proxy) Start(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	p.l = l
	p.conns = make(map[net.Conn]bool)
	go p.accept()
	return l.Addr().String(), nil
}

// Close ends the link and what is open.
func (p *Proxy) Close() {
	_ = p.l.Close()
	p.breakAll()
}

// Set changes the mode.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == ModeReset {
		p.breakAll()
	}
}

func (p *Proxy) is(m Mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == m
}

func (p *Proxy) breakAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		near, err := p.l.Accept()
		if err != nil {
			return
		}
		go p.join(near)
	}
}

func (p *Proxy) join(near net.Conn) {
	if p.is(ModeReset) {
		reset(near)
		return
	}
	far, err := new(net.Dialer).DialContext(context.Background(), "tcp", p.Target)
	if err != nil {
		reset(near)
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.copy(far, near, false, done)
	go p.copy(near, far, true, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	near.Close()
	far.Close()
}

// copy forwards one way; back is the way of answers. An end of one way is passed
// on as an end of both: HTTP closes whole connections.
func (p *Proxy) copy(to, from net.Conn, back bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.is(ModeSilent) && (!back || !p.is(ModeOneWay)) {
			if p.is(ModeSlow) {
				time.Sleep(slowBy)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			to.Close()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}
