package connector

import (
	"bytes"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// headReader reads from a connection. While isDue is set it reads at most left bytes and lines lines of a head; it counts the
// lines up to the empty one that ends the head.
type headReader struct {
	conn  net.Conn
	isDue bool
	left  int
	lines int
	// isLineEmpty is set while the line that is being read has no bytes, hasEnded after the empty line, isFolded once a
	// line began with a blank.
	isLineEmpty, hasEnded, isFolded bool
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
		r.isFolded = r.isFolded || r.isLineEmpty && len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
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
	h.isDue, h.left, h.lines, h.isLineEmpty, h.hasEnded, h.isFolded = true, maxHeadBytes, maxHeadLines, true, false, false
	defer func() { h.isDue = false }()
	buffered, _ := c.br.Peek(c.br.Buffered())
	h.countLines(buffered)
	resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if h.isFolded {
		return nil, errFolded
	}
	if err := checkHead(resp); err != nil {
		return nil, err
	}
	return resp, nil
}

// errFolded means that a line of a head begins with a blank. net/http joins it to the line before, so that a field whose
// name begins with a blank, such as Content-Length, has no effect.
var errFolded = &InvalidHeadError{"line begins with a blank, expected a field"}

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
	for name := range h.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return &InvalidHeadError{fmt.Sprintf("field name is %.64q, expected no blanks or control bytes", name)}
		}
	}
	return nil
}
