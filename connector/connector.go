// Package connector sends HTTP/1.1 requests to upstreams over persistent connections, and
// reports for each failure whether the request may have run.
//
// net/http's Transport resends a request by itself when a reused connection fails: no retry
// budget counts that, and a request that is not idempotent may run twice. This package sends each
// request once. Responses are parsed by the standard library.
package connector

import (
	"bufio"
	"cmp"
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

// Error describes a request that got no response.
type Error struct {
	Address string
	// Sent is set when any byte of the request was written, so that it may have run.
	Sent bool
	// DialFailed is set when no connection could be opened.
	DialFailed bool
	// BegunAt is when the failed dial began, in the time of Pool.Now; 0 unless DialFailed is set.
	BegunAt time.Duration
	// Withheld is set when Request.MaySend returned false.
	Withheld bool
	// Use describes the connection that the request was written to.
	Use ConnUse
	Err error
}

// Error returns the message, with the address and the cause.
func (e *Error) Error() string {
	what := "exchange with "
	if e.DialFailed {
		what = "connecting to "
	}
	return "connector: " + what + e.Address + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errWrongRequest means that a connection delivered only responses to other requests.
var errWrongRequest = errors.New("response belongs to another request")

// errNoID means that a response to a request with an id has none.
var errNoID = errors.New("response has no request id")

// errInterim means that interim responses came in place of a response.
var errInterim = errors.New("only interim responses, or a switch of protocols, in place of a response")

// errHeadTooLarge means that the status line and the headers of a response exceed maxHeadBytes or maxHeadLines.
var errHeadTooLarge = fmt.Errorf("head of the response exceeds %d bytes or %d lines", maxHeadBytes, maxHeadLines)

// errWithheld means that Request.MaySend returned false.
var errWithheld = errors.New("upstream wants no request now")

const (
	// dialTimeout bounds the time for opening a connection. It is a hundred times a link's
	// delay, and well below the time in which a caller expects its response.
	dialTimeout = 250 * time.Millisecond
	// defaultKeepAlive is how long an idle connection is kept when the upstream announces no
	// timeout.
	defaultKeepAlive = 4 * time.Second
	// idleMargin is subtracted from the timeout that an upstream announces, to allow for the
	// time in which the next request is in transit.
	idleMargin = time.Second
	// maxIdleForOnce is how long a connection may have been idle to be reused for a request
	// that can't be repeated.
	maxIdleForOnce = 300 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections to one upstream; more are in use at once
	// only in a burst.
	maxIdlePerAddress = 8
	// maxStaleResponses is how many responses to other requests are skipped on one connection.
	maxStaleResponses = 2
	// maxInterimResponses is how many interim responses (1xx) may come before one response.
	maxInterimResponses = 8
	// bufferSize is the size of a connection's read buffer, in bytes.
	bufferSize = 4 << 10
	// maxHeadBytes bounds the status line and the headers of a response, maxStaleBytes the body of one to another
	// request that is skipped.
	maxHeadBytes  = 64 << 10
	maxStaleBytes = 1 << 20
	// maxHeadLines bounds the same: a parsed header takes many times the memory of a short line.
	maxHeadLines = 512
	// maxInlineBody is the size in bytes of the largest body that is written before the
	// response is read; it fits the smallest socket buffers.
	maxInlineBody = 16 << 10
)

// Pool sends requests and keeps idle connections for reuse. Its exported fields are set before
// use; it is safe for concurrent use.
type Pool struct {
	// Dial opens a connection; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Now returns a monotonic time that advances while the machine is suspended.
	Now func() time.Duration
	// RequestIDHeader is the name of the header that identifies a request; the response repeats it. Only responses of
	// other hosts may lack it.
	RequestIDHeader string
	// OnDial is called before each dial with its purpose; nil means no call.
	OnDial func(purpose Purpose)
	// OnDialed is called with the outcome of each dial to an upstream whose caller did not give up on it; begunAt is
	// when the dial began, in the time of Now. nil means no call.
	OnDialed func(address string, purpose Purpose, begunAt time.Duration, err error)
	// OnSkipped is called for each response that is skipped, as it belongs to another request; nil means no call.
	OnSkipped func()

	mu sync.Mutex
	// idle holds the idle connections by address, the most recently used last.
	idle map[string][]*conn
}

// conn is a connection with its read buffer.
type conn struct {
	*resetConn
	address string
	br      *bufio.Reader
	// head bounds what br reads of the connection while the head of a response is due.
	head *headReader
	// idleSince is when the connection became idle, usableUntil when it may last be reused.
	idleSince, usableUntil time.Duration
	// requests counts the requests that were sent over it.
	requests int
	refused  refusedIDs
}

// readFinalHead reads past interim responses.
func (c *conn) readFinalHead(method string) (*http.Response, error) {
	for range maxInterimResponses + 1 {
		h, err := c.readHead(method)
		if err != nil || h.StatusCode >= http.StatusOK {
			return h, err
		}
		if h.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errInterim
}

// Request is a request to one upstream.
type Request struct {
	Address string
	Method  string
	// Target is the path with its query, as it is sent.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Purpose is what a connection opened for the request counts as.
	Purpose Purpose
	// DialTimeout bounds the time for opening a connection; 0 means 250 ms.
	DialTimeout time.Duration
	// AtMostOnce is set when the request must not run twice.
	AtMostOnce bool
	// MaySend is called right before the request is written, which may be a dial after the
	// upstream was chosen; nil means that the request may be sent.
	MaySend func() bool
}

// Response is a response whose body is still to be read. Done or Discard must be called on each one.
type Response struct {
	*http.Response
	// Use describes the connection that the response came over.
	Use  ConnUse
	pool *Pool
	conn *conn
	// id is that of the request; empty if it has none, or if another host responds, which does so once.
	id string
	// isUnidentified is set if an upstream responds to a request without an id.
	isUnidentified bool
	// stop detaches the connection from the request's context; it returns false when the context
	// has ended.
	stop func() bool
	// writeErr receives the result of writing the request.
	writeErr chan error
	// complete is set once the body was read to its end.
	complete bool
}

// Do sends a request once and reads the status and the headers of its response. The end of ctx
// closes the connection. The error is always an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, begunAt, err := p.getConn(ctx, r)
	if err != nil {
		return nil, &Error{Address: r.Address, DialFailed: true, BegunAt: begunAt, Err: err}
	}
	if r.MaySend != nil && !r.MaySend() {
		p.putBack(c)
		return nil, &Error{Address: r.Address, Withheld: true, Err: errWithheld}
	}
	if err := ctx.Err(); err != nil {
		p.putBack(c)
		return nil, &Error{Address: r.Address, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	use := ConnUse{Earlier: c.requests}
	resp, sent, err := p.exchange(c, r, &use)
	if err != nil {
		stop()
		c.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Address: r.Address, Sent: sent, Use: use, Err: err}
	}
	resp.stop, resp.Use = stop, use
	return resp, nil
}

// exchange writes a request and reads the head of its response. sent reports whether any byte was
// written. It counts in use what is skipped.
func (p *Pool) exchange(c *conn, r *Request, use *ConnUse) (resp *Response, sent bool, err error) {
	c.requests++
	writeErr := make(chan error, 1)
	head := r.head()
	if len(r.Body) <= maxInlineBody {
		n, err := c.Write(append(head, r.Body...))
		if err != nil {
			return nil, n > 0, err
		}
		writeErr <- nil
	} else {
		go func() {
			_, err := (&net.Buffers{head, r.Body}).WriteTo(c)
			writeErr <- err
		}()
	}
	want := r.Header.Get(p.RequestIDHeader)
	for range maxStaleResponses + 1 {
		h, err := c.readFinalHead(r.Method) //nolint:bodyclose // Response.Done ends its use
		if err != nil {
			return nil, true, err
		}
		got := h.Header.Get(p.RequestIDHeader)
		if got == want || got == "" && r.Purpose == PurposePeer {
			resp := &Response{Response: h, pool: p, conn: c, writeErr: writeErr}
			if r.Purpose != PurposePeer {
				resp.id, resp.isUnidentified = want, want == ""
			}
			return resp, true, nil
		}
		if got == "" {
			// It may be a second response to an order, which has no id.
			return nil, true, errNoID
		}
		// A late response to an earlier request comes first on the connection; the one to this
		// request follows it.
		use.Skipped++
		if p.OnSkipped != nil {
			p.OnSkipped()
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(h.Body, maxStaleBytes)); err != nil || n == maxStaleBytes || h.Close {
			break
		}
	}
	return nil, true, errWrongRequest
}

// head returns the request line and the headers as they are sent.
func (r *Request) head() []byte {
	var b strings.Builder
	b.Grow(512)
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

// Read reads the body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// Done ends the use of the response. The connection is kept for reuse when the body was read to its
// end and the upstream keeps it open, and is closed otherwise. It reports whether the body was read
// to its end.
func (r *Response) Done() bool {
	ctxActive := r.stop()
	isRefused := r.StatusCode >= http.StatusBadRequest
	if isRefused && r.isUnidentified {
		// Nothing would tell a copy of the refusal from the next response.
		r.conn.Close()
		return r.complete
	}
	if r.complete && ctxActive && !r.closesConn() && r.BodyDelimited() && r.requestSent() {
		if isRefused {
			r.conn.refused.add(r.id)
		}
		r.pool.putIdle(r.conn, r.Header)
		return true
	}
	r.conn.Close()
	return r.complete
}

// Discard ends the use of the response and closes its connection.
func (r *Response) Discard() {
	r.stop()
	r.conn.Close()
}

// closesConn reports whether the upstream closes the connection after the response.
func (r *Response) closesConn() bool { return r.Response.Close } //nolint:staticcheck // Close alone is the method

// BodyDelimited reports whether framing marks the end of the body. A body that ends with its
// connection leaves none to reuse.
func (r *Response) BodyDelimited() bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// requestSent reports whether the whole request was written. An upstream may respond before it has
// read a long body; it would then read the next request on the connection as the rest of that body.
func (r *Response) requestSent() bool {
	select {
	case err := <-r.writeErr:
		return err == nil
	default:
		return false
	}
}

// getConn returns an idle connection that may be reused, or opens a new one. begunAt is when the dial of a new one
// began; 0 for an idle one.
func (p *Pool) getConn(ctx context.Context, r *Request) (c *conn, begunAt time.Duration, err error) {
	for {
		c = p.popIdle(r.Address, r.Header.Get(p.RequestIDHeader))
		if c == nil {
			break
		}
		now := p.Now()
		if c.usableUntil > now && r.AtMostOnce && now-c.idleSince >= maxIdleForOnce {
			p.putBack(c) // the others have been idle for longer
			break
		}
		if c.usableUntil > now && isIdle(c) {
			return c, 0, nil
		}
		c.Close()
	}
	dialCtx, cancel := context.WithTimeout(ctx, cmp.Or(r.DialTimeout, dialTimeout))
	defer cancel()
	begunAt = p.Now()
	nc, err := p.Open(dialCtx, r.Address, r.Purpose)
	if err != nil {
		return nil, begunAt, err
	}
	now := p.Now()
	rc := newResetConn(nc)
	head := &headReader{conn: rc}
	return &conn{resetConn: rc, address: r.Address, br: bufio.NewReaderSize(head, bufferSize), head: head, idleSince: now, usableUntil: now + defaultKeepAlive}, begunAt, nil
}

// keepAliveTimeout returns how long an idle connection may be kept: the timeout in the upstream's
// Keep-Alive header less idleMargin, or defaultKeepAlive.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return defaultKeepAlive
}

// isIdle reports whether a connection is open and has nothing to read. Data that an upstream sends
// after its response belongs to no request.
func isIdle(c *conn) bool {
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

// Complete reports whether the body was read to its end.
func (r *Response) Complete() bool { return r.complete }
