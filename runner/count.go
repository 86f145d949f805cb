package runner

import (
	"context"
	"net"
	"sync/atomic"
)

// countingConn adds the bytes read and written on a connection to a counter.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

// countingListener adds the bytes of the connections that it accepts to a counter.
type countingListener struct {
	net.Listener
	n *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{c, l.n}, nil
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// countingDial wraps dial so that the bytes of its connections are added to n.
func countingDial(dial dialFunc, n *atomic.Int64) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{c, n}, nil
	}
}
