package faker

import (
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedChunks is the number of chunks of at most chunkSize bytes that a connection
	// buffers until the other end reads, about as much as a kernel's socket buffer.
	maxQueuedChunks = 64
	chunkSize       = 1 << 10
	// flushTimeout bounds how long data that is queued at Close waits to be read. Callers pause
	// for several seconds between reads.
	flushTimeout = 20 * time.Second
)

// conn is one end of an in-memory connection. Like a kernel socket, it buffers writes instead of
// waiting for the other end to read. net/http holds a lock while it closes a TLS connection, which
// writes an alert. Over a bare net.Pipe, both ends block in that write while a third goroutine
// waits for the lock. Virtual time does not advance while a goroutine waits for a lock, so the
// write deadlines never pass.
type conn struct {
	// Conn is the end of a net.Pipe.
	net.Conn
	network       *Network
	local, remote []string
	peer          *conn

	queue chan chunk
	// closed is closed by Close, broken by a failed write to the other end.
	closed, broken chan struct{}
	once           sync.Once
	// silent is set once the connection passes nothing on any more.
	silent atomic.Bool

	mu sync.Mutex
	// writeDeadline applies to writes that find the queue full; zero means none.
	writeDeadline time.Time
}

// chunk is a part of what was written.
type chunk struct {
	bytes []byte
	// passedAt is when it has passed the links to the other end.
	passedAt time.Time
}

func newConn(pipe net.Conn, network *Network, local, remote []string) *conn {
	return &conn{
		Conn: pipe, network: network, local: local, remote: remote,
		queue: make(chan chunk, maxQueuedChunks), closed: make(chan struct{}), broken: make(chan struct{}),
	}
}

// RemoteAddr returns the first location of the other end, or the address of the pipe if it has none.
func (c *conn) RemoteAddr() net.Addr {
	if len(c.remote) == 0 {
		return c.Conn.RemoteAddr()
	}
	return address(c.remote[0])
}

// writeLoop writes queued chunks until the connection is closed. After a failed write it leaves the
// pipe open, so that data from the other end can still be read.
func (c *conn) writeLoop() {
	defer c.Conn.Close()
	for {
		select {
		case b := <-c.queue:
			time.Sleep(time.Until(b.passedAt))
			c.network.waitPassing(c.local, c.remote, c.closed)
			if c.silent.Load() {
				continue
			}
			if _, err := c.Conn.Write(b.bytes); err != nil {
				close(c.broken)
				<-c.closed
				return
			}
		case <-c.closed:
			c.writeRemaining()
			return
		}
	}
}

// writeRemaining writes the chunks that were queued before Close.
func (c *conn) writeRemaining() {
	for {
		select {
		case b := <-c.queue:
			time.Sleep(time.Until(b.passedAt))
			if c.silent.Load() {
				return
			}
			if _, err := c.Conn.Write(b.bytes); err != nil {
				return
			}
		default:
			return
		}
	}
}

// Write queues a copy of b. A deadline that is set while Write waits for space in the queue only
// applies to later writes.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	deadline := c.writeDeadline
	c.mu.Unlock()
	var timeout <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
		defer timer.Stop()
		timeout = timer.C
	}
	n := 0
	for part := range slices.Chunk(b, chunkSize) {
		if err := c.enqueue(slices.Clone(part), timeout); err != nil {
			return n, err
		}
		n += len(part)
	}
	return n, nil
}

func (c *conn) enqueue(part []byte, timeout <-chan time.Time) error {
	select {
	case <-c.closed:
		return net.ErrClosed
	case <-c.broken:
		return io.ErrClosedPipe
	default:
	}
	select {
	case c.queue <- chunk{part, c.network.queue(c.local, c.remote, len(part))}:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-c.broken:
		return io.ErrClosedPipe
	case <-timeout:
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
	c.writeDeadline = t
	return nil
}

// Close closes both ends once the queued data is read, or after flushTimeout.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
		_ = c.Conn.SetWriteDeadline(time.Now().Add(flushTimeout))
		_ = c.SetReadDeadline(time.Now())
		close(c.closed)
		if c.peer.isClosed() {
			// Neither end will read the queued data.
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
