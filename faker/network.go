// Package faker provides small fakes of the system's environment: the platform's key-value service
// and list of hosts, engines, plain services, and an in-memory network. Tests, `sardineward dev`
// and the standin program use them.
package faker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

// dialTimeout is the time after which a dial over an interrupted link fails.
const dialTimeout = 2 * time.Second

// CutMode is what happens to connections between two locations that are cut off from each other.
type CutMode int

// The modes of a cut.
const (
	// CutReset closes open connections; dials get no answer.
	CutReset CutMode = iota + 1
	// CutSilent holds up what is sent on open connections; dials get no answer.
	CutSilent
	// CutRefuse lets open connections live on and refuses new ones.
	CutRefuse
)

// Network connects listeners and dialers in memory, so that complete hosts can run in virtual time.
// Locations, such as hosts and data centres, can be cut off from each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// locations maps an address to its location, aliases to a second one. An address without
	// either can't be cut off.
	locations, aliases map[string]string
	partitioned        map[[2]string]CutMode
	conns              map[*conn]bool
	// links holds the links with a bandwidth; others take no time.
	links map[direction]*link
	// healed is closed and replaced by each Heal.
	healed chan struct{}
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		locations:   make(map[string]string),
		aliases:     make(map[string]string),
		partitioned: make(map[[2]string]CutMode),
		conns:       make(map[*conn]bool),
		links:       make(map[direction]*link),
		healed:      make(chan struct{}),
	}
}

// SetLocation sets the location of an address.
func (n *Network) SetLocation(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[address] = place
}

// SetAlias gives an address a second location, so that it can be cut off on its own.
func (n *Network) SetAlias(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.aliases[address] = place
}

// Partition interrupts the link between two locations until Heal. Open connections are closed, and
// dials fail after dialTimeout or when their context ends.
func (n *Network) Partition(a, b string) { n.Cut(a, b, CutReset) }

// Cut is Partition in a mode.
func (n *Network) Cut(a, b string, mode CutMode) {
	n.mu.Lock()
	n.partitioned[[2]string{a, b}] = mode
	n.partitioned[[2]string{b, a}] = mode
	var broken []*conn
	for c := range n.conns {
		if n.cutBetween(c.local, c.remote) == CutReset {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// CloseConnections closes every connection to or from a location, as the kill of its process does.
func (n *Network) CloseConnections(place string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if slices.Contains(c.local, place) || slices.Contains(c.remote, place) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Silence lets every open connection to or from a location go silent for good: what is sent is lost, and neither end gets
// an error. New connections work.
func (n *Network) Silence(place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if slices.Contains(c.local, place) || slices.Contains(c.remote, place) {
			c.silent.Store(true)
		}
	}
}

// cutBetween returns the mode in which any location of one end is cut off from any of the other end's; 0
// if none is. n.mu is held.
func (n *Network) cutBetween(from, to []string) CutMode {
	for _, a := range from {
		for _, b := range to {
			if mode := n.partitioned[[2]string{a, b}]; mode != 0 {
				return mode
			}
		}
	}
	return 0
}

// waitPassing waits while the two ends of a connection are cut off silently, or until done is closed.
func (n *Network) waitPassing(from, to []string, done <-chan struct{}) {
	for {
		n.mu.Lock()
		silent, healed := n.cutBetween(from, to) == CutSilent, n.healed
		n.mu.Unlock()
		if !silent {
			return
		}
		select {
		case <-healed:
		case <-done:
			return
		}
	}
}

// Heal restores the link between two locations after Partition.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitioned, [2]string{a, b})
	delete(n.partitioned, [2]string{b, a})
	close(n.healed)
	n.healed = make(chan struct{})
}

// Listen opens a listener on an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("address %q is already in use", address)
	}
	l := &listener{n: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns a dial function for a location, which may have several names.
func (n *Network) Dialer(from ...string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from []string, address string) (net.Conn, error) {
	n.mu.Lock()
	to := []string{n.locations[address], n.aliases[address]}
	cut := n.cutBetween(from, to)
	l := n.listeners[address]
	n.mu.Unlock()
	if cut == CutReset || cut == CutSilent {
		sleep(ctx, dialTimeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	if l == nil || cut == CutRefuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	sleep(ctx, time.Until(n.queue(from, to, dialBytes)))
	sleep(ctx, time.Until(n.queue(to, from, dialBytes)))
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	near, far := net.Pipe()
	a := newConn(near, n, from, to)
	b := newConn(far, n, to, from)
	a.peer, b.peer = b, a
	select {
	case l.accept <- b:
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	go a.writeLoop()
	go b.writeLoop()
	n.mu.Lock()
	n.conns[a], n.conns[b] = true, true
	n.mu.Unlock()
	return a, nil
}

type listener struct {
	n       *Network
	address string
	accept  chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		l.n.mu.Lock()
		delete(l.n.listeners, l.address)
		l.n.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

func (a address) Network() string { return "tcp" }
func (a address) String() string  { return string(a) }

// Serve runs an HTTP server on an address until kill is called, which closes all connections, as
// the kill of a process does.
func Serve(listen func(string) (net.Listener, error), address string, h http.Handler) (kill func(), err error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	accepted := &trackingListener{Listener: l, open: make(map[*trackedConn]struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(accepted); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return func() {
		s.Close()
		<-done
		accepted.closeAll()
	}, nil
}

// trackingListener closes the connections that an http.Server does not know of any more, as a handler has taken them.
type trackingListener struct {
	net.Listener
	mu   sync.Mutex
	open map[*trackedConn]struct{}
}

// Accept implements net.Listener.
func (l *trackingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &trackedConn{conn, l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

func (l *trackingListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		c.Conn.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *trackingListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
