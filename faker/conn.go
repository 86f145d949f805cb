package faker

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	// queued pieces of pieceSize bytes are what a connection takes before the
	// other end reads, about what a kernel's buffer holds.
	queued    = 64
	pieceSize = 1 << 10
	// flush bounds how long what is queued at Close waits to be read: callers
	// pause for some seconds in between.
	flush = 20 * time.Second
)

// conn is one end of a connection in memory. A write does not wait for the other
// end to read, as one to a kernel does not: net/http closes a TLS connection,
// which writes an alert, with its lock held; over a bare net.Pipe both ends
// wrote to each other while a third goroutine waited for the lock, and virtual
// time, which does not pass while one does, never reached their deadline.
type conn struct {
	// Conn is the end of a net.Pipe.
	net.Conn
	n        *Network
	from, to []string
	peer     *conn

	out chan []byte
	// closed ends with Close, broken with a write that the other end did not
	// take.
	closed, broken chan struct{}
	once           sync.Once

	mu sync.Mutex
	// deadline is of writes that find the queue full; zero is none.
	deadline time.Time
}

func newConn(pipe net.Conn, n *Network, from, to []string) *conn {
	return &conn{
		Conn: pipe, n: n, from: from, to: to,
		out: make(chan []byte, queued), closed: make(chan struct{}), broken: make(chan struct{}),
	}
}

// RemoteAddr is the first place of the other end.
func (c *conn) RemoteAddr() net.Addr {
	if len(c.to) == 0 {
		return c.Conn.RemoteAddr()
	}
	return address(c.to[0])
}

// pump writes what is queued until the connection is closed. What the other end
// has sent can still be read after a write has failed.
func (c *conn) pump() {
	defer c.Conn.Close()
	for {
		select {
		case b := <-c.out:
			if _, err := c.Conn.Write(b); err != nil {
				close(c.broken)
				<-c.closed
				return
			}
		case <-c.closed:
			c.drain()
			return
		}
	}
}

// drain writes what was queued before Close.
func (c *conn) drain() {
	for {
		select {
		case b := <-c.out:
			if _, err := c.Conn.Write(b); err != nil {
				return
			}
		default:
			return
		}
	}
}

// Write queues a copy of b. A deadline that is set while it waits for a place in
// the queue counts from the next write on.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	var late <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		late = timer.C
	}
	n := 0
	for piece := range slices.Chunk(b, pieceSize) {
		if err := c.queue(slices.Clone(piece), late); err != nil {
			return n, err
		}
		n += len(piece)
	}
	return n, nil
}

func (c *conn) queue(piece []byte, late <-chan time.Time) error {
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-c.broken:
		return io.ErrClosedPipe
	default:
	}
	select {
	case c.out <- piece:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-c.broken:
		return io.ErrClosedPipe
	case <-late:
		return os.ErrDeadlineExceeded
	}
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

// Close closes both ends once what was written is read, or flush is over.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.n.mu.Lock()
		delete(c.n.conns, c)
		c.n.mu.Unlock()
		_ = c.Conn.SetWriteDeadline(time.Now().Add(flush))
		_ = c.SetReadDeadline(time.Now())
		close(c.closed)
		if c.peer.isClosed() {
			// Nobody is left to read.
			_ = c.Conn.Close()
			_ = c.peer.Conn.Close()
		}
	})
	return nil
}

func (c *conn) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && c.isClosed() {
		err = net.ErrClosed
	}
	return n, err
}
