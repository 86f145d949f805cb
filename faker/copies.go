package faker

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// rejectTwice rejects a request, and serves what comes later on its connection, where the rejection precedes the next response.
func (s *Stage) rejectTwice(w http.ResponseWriter, r *http.Request) {
	conn, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	h := s.headers()
	rejection := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", h.RequestID, r.Header.Get(h.RequestID), h.NotRun)
	if _, err := io.WriteString(conn, rejection); err != nil {
		conn.Close()
		return
	}
	l := &connListener{conn: &copyingConn{Conn: conn, r: buf, copied: rejection}, ended: make(chan struct{})}
	server := &http.Server{Handler: s, ConnState: func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			l.end()
		}
	}}
	_ = server.Serve(l)
}

// copyingConn reads from r and writes copied before all else.
type copyingConn struct {
	net.Conn
	r      io.Reader
	copied string
}

// Read implements net.Conn.
func (c *copyingConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// Write implements net.Conn.
func (c *copyingConn) Write(b []byte) (int, error) {
	if c.copied != "" {
		if _, err := io.WriteString(c.Conn, c.copied); err != nil {
			return 0, err
		}
		c.copied = ""
	}
	return c.Conn.Write(b)
}

// connListener accepts one connection, and fails once that has ended.
type connListener struct {
	conn  net.Conn
	taken bool
	ended chan struct{}
	once  sync.Once
}

func (l *connListener) end() { l.once.Do(func() { close(l.ended) }) }

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	if l.taken {
		<-l.ended
		return nil, net.ErrClosed
	}
	l.taken = true
	return l.conn, nil
}

// Close implements net.Listener.
func (l *connListener) Close() error { return nil }

// Addr implements net.Listener.
func (l *connListener) Addr() net.Addr { return l.conn.LocalAddr() }
