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

// Mode is how a Proxy treats the connections through it.
type Mode int

// The modes of a Proxy; the zero value forwards.
const (
	// ModePass forwards data both ways.
	ModePass Mode = iota
	// ModeReset resets connections, open and new.
	ModeReset
	// ModeSilent drops data both ways and keeps connections open.
	ModeSilent
	// ModeOneWay drops data from the server: requests arrive, responses don't.
	ModeOneWay
	// ModeSlow delays each read by slowDelay.
	ModeSlow
)

// slowDelay is how long ModeSlow delays the data of each read: fifty times the delay of a link.
const slowDelay = 50 * time.Millisecond

// Proxy is a TCP proxy on loopback that simulates a network link with faults.
type Proxy struct {
	// Target is the address to which connections are forwarded.
	Target string

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	// conns holds the open connections, those of clients and those to Target.
	conns map[net.Conn]bool
}

// Start listens on an address, accepts connections until Close, and returns the address.
func (p *Proxy) Start(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	p.listener = l
	p.conns = make(map[net.Conn]bool)
	go p.accept()
	return l.Addr().String(), nil
}

// Close stops listening and resets the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

// SetMode changes the mode for open and new connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
	if m == ModeReset {
		p.resetAll()
	}
}

func (p *Proxy) hasMode(m Mode) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == m
}

// resetAll resets the open connections.
func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// reset closes a TCP connection with RST, by a linger time of 0.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(client)
	}
}

// handle connects a client's connection with Target and forwards until both directions have ended.
func (p *Proxy) handle(client net.Conn) {
	if p.hasMode(ModeReset) {
		reset(client)
		return
	}
	server, err := new(net.Dialer).DialContext(context.Background(), "tcp", p.Target)
	if err != nil {
		reset(client)
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.forward(server, client, false, done)
	go p.forward(client, server, true, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// forward forwards one direction, that of responses if fromServer is set, and signals done at its
// end. The end of one direction closes the other connection as a whole, as HTTP has no half-closed
// connections.
func (p *Proxy) forward(to, from net.Conn, fromServer bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && !p.hasMode(ModeSilent) && (!fromServer || !p.hasMode(ModeOneWay)) {
			if p.hasMode(ModeSlow) {
				time.Sleep(slowDelay)
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
