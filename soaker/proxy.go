package soaker

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
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
	// QueueOf returns the queue that bounds a client's connection together with others. Where it is nil or returns
	// nil, the connection is not bounded.
	QueueOf func(client net.Conn) *Queue

	listener net.Listener
	mu       sync.Mutex
	mode     Mode
	// conns holds the open connections, those of clients and those to Target.
	conns map[net.Conn]bool
	// passages holds what passed over the connections to Target, by their local address, the oldest first.
	passages map[string][]*passage
}

// passage records what passed to a client over a connection to Target. Proxy.mu guards it.
type passage struct {
	openedAt time.Time
	// passedAt is when data of the server last passed, before the first that was dropped.
	passedAt time.Time
	dropped  bool
}

// Start listens on an address, accepts connections until Close, and returns the address.
func (p *Proxy) Start(address string) (string, error) {
	l, err := listen(address)
	if err != nil {
		return "", err
	}
	p.listener = l
	p.conns, p.passages = make(map[net.Conn]bool), make(map[string][]*passage)
	go p.accept(l)
	return l.Addr().String(), nil
}

// Reopen listens on the address of Start again, after Close.
func (p *Proxy) Reopen() error {
	l, err := listen(p.listener.Addr().String())
	if err != nil {
		return err
	}
	p.listener = l
	go p.accept(l)
	return nil
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

func (p *Proxy) accept(l net.Listener) {
	for {
		client, err := l.Accept()
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
	opened := time.Now()
	server, err := new(net.Dialer).DialContext(context.Background(), "tcp", p.Target)
	if err != nil {
		reset(client)
		return
	}
	seen := &passage{openedAt: opened}
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.passages[server.LocalAddr().String()] = append(p.passages[server.LocalAddr().String()], seen)
	p.mu.Unlock()
	var queue *Queue
	if p.QueueOf != nil {
		queue = p.QueueOf(client)
	}
	done := make(chan struct{}, 2)
	go p.forward(server, client, nil, queue, done)
	go p.forward(client, server, seen, queue, done)
	<-done
	<-done
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	client.Close()
	server.Close()
}

// Delivered reports whether the response to a request that the server received at a time, over the connection from an
// address, passed to the client whole. It is meant for short responses, which are written at once.
func (p *Proxy) Delivered(from string, at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, one := range slices.Backward(p.passages[from]) {
		if !one.openedAt.After(at) {
			return !one.passedAt.Before(at)
		}
	}
	return false
}

// record records whether data of the server passed to the client.
func (p *Proxy) record(seen *passage, passed bool) {
	if seen == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if seen.dropped = seen.dropped || !passed; !seen.dropped {
		seen.passedAt = time.Now()
	}
}

// forward forwards one direction, that of responses if seen is set, and signals done at its
// end. The end of one direction closes the other connection as a whole, as HTTP has no half-closed
// connections.
func (p *Proxy) forward(to, from net.Conn, seen *passage, queue *Queue, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			passes := !p.hasMode(ModeSilent) && (seen == nil || !p.hasMode(ModeOneWay))
			if passes && p.hasMode(ModeSlow) {
				time.Sleep(slowDelay)
			}
			if passes {
				queue.Wait(n)
				if _, err := to.Write(buf[:n]); err != nil {
					reset(from)
					return
				}
			}
			p.record(seen, passes)
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
