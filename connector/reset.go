package connector

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// resetConn is a connection whose Read reports a reset also if a Write got it. A socket reports a reset once: the
// reads after it see an end.
type resetConn struct {
	net.Conn
	// writing holds one element while a Write is in progress. A mutex would stop virtual time.
	writing chan struct{}
	// writeErr is the error of the first Write that failed; writing guards it.
	writeErr error
}

func newResetConn(c net.Conn) *resetConn {
	return &resetConn{Conn: c, writing: make(chan struct{}, 1)}
}

// Write implements net.Conn.
func (c *resetConn) Write(b []byte) (int, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := c.Conn.Write(b)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. Nothing can be written any more once it has returned io.EOF.
func (c *resetConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// Interrupts a Write in progress, which may have got the reset and else lasts until the other end reads on.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.writeErr != nil && !isAfterEnd(c.writeErr) {
		return n, c.writeErr
	}
	return n, err
}

// isAfterEnd reports whether a Write failed after the other end had ended its side in order. A reset that follows is
// EPIPE then, and a Write that Read interrupted has got none.
func isAfterEnd(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded)
}

// DetectResets returns a dial function for http.Transport whose connections report a reset to Read also if a Write got it.
func DetectResets(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newResetConn(c), nil
	}
}
