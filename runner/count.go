package runner

import (
	"context"
	"net"
	"sync/atomic"
)

// counted adds the bytes of a connection, both ways, to a counter.
type counted struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

type countedListener struct {
	net.Listener
	n *atomic.Int64
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return counted{c, l.n}, nil
}

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// countedDial dials connections whose bytes are counted.
func countedDial(dial dialer, n *atomic.Int64) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return counted{c, n}, nil
	}
}
