package faker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
)

// RawUpstream is a fake upstream on a socket of this machine that writes bytes of its own in place of a response. Only
// sockets have a reset that one of several calls gets.
type RawUpstream struct {
	// Respond responds to the request that is in br; it returns false if the connection is to be closed.
	Respond func(c net.Conn, br *bufio.Reader) bool

	l net.Listener
}

// Start listens on a free port of the loopback address and returns it.
func (u *RawUpstream) Start() (address string, err error) {
	u.l, err = net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return "", err
	}
	go func() {
		for {
			c, err := u.l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u.l.Addr().String(), nil
}

// Close ends accepting.
func (u *RawUpstream) Close() error { return u.l.Close() }

func (u *RawUpstream) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for u.Respond(c, br) {
	}
}

// WriteWhole reads a request whole and writes the response that text returns for it. It is for Respond.
func WriteWhole(c net.Conn, br *bufio.Reader, text func(r *http.Request) string) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	_, err = io.WriteString(c, text(r))
	return err == nil
}

// WriteEarly reads the head of a request, writes the response that text returns for it, and reads some of the body. A
// connection that is reset then is so while a long body is being written. It is for Respond.
func WriteEarly(c net.Conn, br *bufio.Reader, text func(r *http.Request) string) {
	r, err := http.ReadRequest(br)
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, text(r))
	_, _ = io.CopyN(io.Discard, r.Body, r.ContentLength/8)
}

// Reset closes a connection so that its other end gets a reset and no end.
func Reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// RunCounter counts the runs of requests by their ids. The zero value is ready to use.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// Add counts a run of a request.
func (c *RunCounter) Add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = make(map[string]int)
	}
	c.runs[id]++
}

// Runs returns how often a request has run.
func (c *RunCounter) Runs(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}
