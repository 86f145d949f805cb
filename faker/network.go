// Package faker holds small stand-ins for what the system meets: the platform's
// key-value service and list of hosts, engines, plain services, and a network
// in memory. Tests, `sardineward dev` and the standin program share them.
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

// dialTimeout is how long a dial over a cut link hangs.
const dialTimeout = 2 * time.Second

// Network connects listeners and dialers in memory, so that whole hosts run in
// virtual time. Places (hosts, data centres) can be cut off from each other.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	// place is where an address stands, alias a second name of that place;
	// unlisted ones can't be cut off.
	place, alias map[string]string
	cut          map[[2]string]bool
	conns        map[*conn]bool
}

// NewNetwork returns an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		place:     make(map[string]string),
		alias:     make(map[string]string),
		cut:       make(map[[2]string]bool),
		conns:     make(map[*conn]bool),
	}
}

// Place says where an address stands.
func (n *Network) Place(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place[address] = place
}

// Alias gives an address a second place, so that it can be cut off alone.
func (n *Network) Alias(address, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.alias[address] = place
}

// Cut takes the link between two places away: what is open breaks, what is
// dialled hangs until its context ends. Mend brings it back.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	n.cut[[2]string{a, b}] = true
	n.cut[[2]string{b, a}] = true
	var broken []*conn
	for c := range n.conns {
		if n.isCut(c.from, c.to) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Break closes every connection to or from a place, as a kill of its process
// does.
func (n *Network) Break(place string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if slices.Contains(c.from, place) || slices.Contains(c.to, place) {
			broken = append(broken, c)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// isCut reports whether any name of one end is cut off from any of the other's.
func (n *Network) isCut(from, to []string) bool {
	for _, a := range from {
		for _, b := range to {
			if n.cut[[2]string{a, b}] {
				return true
			}
		}
	}
	return false
}

// Mend undoes Cut.
func (n *Network) Mend(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cut, [2]string{a, b})
	delete(n.cut, [2]string{b, a})
}

// Listen opens an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, fmt.Errorf("address %s is in use", address)
	}
	l := &listener{n: n, address: address, accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer dials from a place, which may have several names.
func (n *Network) Dialer(from ...string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.dial(ctx, from, address)
	}
}

func (n *Network) dial(ctx context.Context, from []string, address string) (net.Conn, error) {
	n.mu.Lock()
	to := []string{n.place[address], n.alias[address]}
	cut := n.isCut(from, to)
	l := n.listeners[address]
	n.mu.Unlock()
	if cut {
		wait(ctx, dialTimeout)
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
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
	go a.pump()
	go b.pump()
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

// Serve answers at an address until the returned function is called, which
// breaks what is open, as a kill would.
func Serve(listen func(string) (net.Listener, error), address string, h http.Handler) (kill func(), err error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: h}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return func() {
		s.Close()
		<-done
	}, nil
}
