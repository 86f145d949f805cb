// Package connector exchanges single HTTP/1.1 requests with upstreams over kept
// connections, and says for each failure whether the request may have run.
//
// The standard transport sends a request again by itself when a kept connection
// fails, which no retry budget sees and which may run a booking twice; this one
// sends each request once. Parsing is the standard library's.
package connector

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Error is a failed exchange.
type Error struct {
	Address string
	// Sent is set once any byte of the request was written: it may have run.
	Sent bool
	// Dial is set when no connection could be made.
	Dial bool
	Err  error
}

// Error says what failed where.
func (e *Error) Error() string {
	what := "exchange with "
	if e.Dial {
		what = "connecting to "
	}
	return "connector: " + what + e.Address + ": " + e.Err.Error()
}

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// errForeign is an answer that belongs to another request.
var errForeign = errors.New("answer to another request")

const (
	// dialTimeout is a hundred times a link's delay, and well under the time
	// in which a caller expects its answer.
	dialTimeout = 250 * time.Millisecond
	// defaultIdle is how long a connection is kept whose upstream doesn't say.
	defaultIdle = 4 * time.Second
	// idleMargin is taken off the time that an upstream says, for the time that
	// the next request is on its way.
	idleMargin = time.Second
	// cautious is how long a connection may have been idle that carries a
	// request which can't be repeated.
	cautious = 300 * time.Millisecond
	// keptPerAddress bounds idle connections to one upstream: more than that
	// are in use at once only in a burst.
	keptPerAddress = 8
	// foreignAnswers is how many answers to other requests are passed over on
	// one connection.
	foreignAnswers = 2
	bufferSize     = 4 << 10
	// inlineBody is the largest body that is written before the answer is
	// awaited: it fits the smallest socket buffers.
	inlineBody = 16 << 10
)

// Pool keeps connections. The fields are set before use.
type Pool struct {
	// Dial makes a connection; nil means the network.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	// RequestID is the name of the header by which an answer names its request.
	RequestID string
	// Opened is called for each new connection; nil is none.
	Opened func()

	mu   sync.Mutex
	idle map[string][]*conn
}

type conn struct {
	net.Conn
	address string
	br      *bufio.Reader
	// since is when it was put back, until when it may be used again.
	since, until time.Duration
}

// Request is one request to an upstream.
type Request struct {
	Address string
	Method  string
	// Target is the path with its query, as it goes on the wire.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once is set when the request must not run twice.
	Once bool
}

// Response is an answer whose body has to be read or closed.
type Response struct {
	*http.Response
	pool   *Pool
	conn   *conn
	stop   func() bool
	writes chan error
	whole  bool
}

// Do sends a request once and reads the head of its answer. Ending ctx closes
// the connection. The error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.take(ctx, r)
	if err != nil {
		return nil, &Error{Address: r.Address, Dial: true, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	resp, sent, err := p.exchange(c, r)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Address: r.Address, Sent: sent, Err: err}
	}
	resp.stop = stop
	return resp, nil
}

func (p *Pool) exchange(c *conn, r *Request) (resp *Response, sent bool, err error) {
	writes := make(chan error, 1)
	head := r.head()
	if len(r.Body) <= inlineBody {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return nil, n > 0, err
		}
		writes <- nil
	} else {
		go func() {
			_, err := c.Write(append(head, r.Body...))
			writes <- err
		}()
	}
	want := r.Header.Get(p.RequestID)
	for range foreignAnswers + 1 {
		h, err := http.ReadResponse(c.br, &http.Request{Method: r.Method}) //nolint:bodyclose // Response.Done ends its use
		if err != nil {
			return nil, true, err
		}
		if got := h.Header.Get(p.RequestID); got == want || got == "" {
			return &Response{Response: h, pool: p, conn: c, writes: writes}, true, nil
		}
		// An answer that came late to an earlier request stands first; the one
		// to this request follows it.
		if _, err := io.Copy(io.Discard, h.Body); err != nil || h.Close {
			break
		}
	}
	return nil, true, errForeign
}

// head renders the request line and headers.
func (r *Request) head() []byte {
	var b strings.Builder
	b.Grow(512 + len(r.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// Read reads the body. A whole body frees the connection.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.whole = true
	}
	return n, err
}

// Done ends the use of the response: its connection is kept when the answer
// was read whole and the upstream keeps it, and closed otherwise. It reports
// whether the answer was read whole.
func (r *Response) Done() bool {
	live := r.stop()
	if r.whole && live && !r.closes() && r.delimited() && r.written() {
		r.pool.put(r.conn, r.Header)
		return true
	}
	r.conn.Close()
	return r.whole
}

// closes reports whether the upstream closes the connection after the answer.
func (r *Response) closes() bool { return r.Response.Close } //nolint:staticcheck // Close alone is the method

// delimited reports whether the answer's end is told by its framing. One that
// ends with its connection leaves nothing to keep.
func (r *Response) delimited() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// written reports whether the whole request was sent. An upstream may answer
// before it has read a long body; what follows on the connection would be taken
// for the rest of it.
func (r *Response) written() bool {
	select {
	case err := <-r.writes:
		return err == nil
	default:
		return false
	}
}

// take returns a kept connection, or a new one.
func (p *Pool) take(ctx context.Context, r *Request) (*conn, error) {
	for {
		c := p.pop(r.Address)
		if c == nil {
			break
		}
		now := p.Now()
		if c.until > now && (!r.Once || now-c.since < cautious) && quiet(c) {
			return c, nil
		}
		c.Close()
	}
	if p.Opened != nil {
		p.Opened()
	}
	dialing, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	nc, err := dial(dialing, "tcp", r.Address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, address: r.Address, br: bufio.NewReaderSize(nc, bufferSize)}, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn, h http.Header) {
	now := p.Now()
	c.since = now
	c.until = now + keepAlive(h)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	if len(p.idle[c.address]) >= keptPerAddress || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Sweep closes connections that may no longer be used.
func (p *Pool) Sweep() {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.until > now {
				kept = append(kept, c)
			} else {
				c.Close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = kept
		}
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	p.idle = nil
}

// keepAlive is how long an upstream keeps an idle connection, less a margin.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

// quiet reports whether a kept connection is open and has nothing to read.
// What an upstream sent after its answer belongs to no request.
func quiet(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// Whole reports whether the body was read to its end.
func (r *Response) Whole() bool { return r.whole }
