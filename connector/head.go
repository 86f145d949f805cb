package connector

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
)

// headReader reads from a connection. While isDue is set it reads at most left bytes and lines lines of a head; it counts the
// lines up to the empty one that ends the head.
type headReader struct {
	conn  net.Conn
	isDue bool
	left  int
	lines int
	// isLineEmpty is set while the line that is being read has no bytes, hasEnded after the empty line.
	isLineEmpty, hasEnded bool
}

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if !r.isDue {
		return r.conn.Read(b)
	}
	if r.left == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	r.left -= n
	if r.countLines(b[:n]); r.lines < 0 {
		return 0, errHeadTooLarge
	}
	return n, err
}

// countLines subtracts the lines of the head that end in b.
func (r *headReader) countLines(b []byte) {
	for len(b) > 0 && !r.hasEnded {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		r.isLineEmpty = r.isLineEmpty && len(bytes.TrimRight(line, "\r")) == 0
		if ended {
			r.lines--
			r.hasEnded, r.isLineEmpty = r.isLineEmpty, true
		}
		b = rest
	}
}

// readHead reads the status line and the headers of the next response.
func (c *conn) readHead(method string) (*http.Response, error) {
	h := c.head
	h.isDue, h.left, h.lines, h.isLineEmpty, h.hasEnded = true, maxHeadBytes, maxHeadLines, true, false
	defer func() { h.isDue = false }()
	buffered, _ := c.br.Peek(c.br.Buffered())
	h.countLines(buffered)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// InvalidHeadError means that the head of a response breaks a rule of HTTP that net/http does not check.
type InvalidHeadError struct {
	// Detail is what was found and what was expected.
	Detail string
}

// Error returns the detail.
func (e *InvalidHeadError) Error() string { return "connector: invalid response: " + e.Detail }

// checkHead returns an InvalidHeadError unless the head of a response is valid.
func checkHead(h *http.Response) error {
	if h.StatusCode < http.StatusContinue {
		return &InvalidHeadError{fmt.Sprintf("status is %d, expected at least 100", h.StatusCode)}
	}
	return nil
}
