package streamer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/sardineward/sardineward/checker"
)

// maxFrame bounds one frame's bytes.
const maxFrame = 1 << 20

// ErrNotSent means that no byte of a request reached an upstream.
var ErrNotSent = errors.New("streamer: not sent")

// Frames is the stream of one attempt.
type Frames interface {
	// Next returns io.EOF, or io.ErrUnexpectedEOF when the stream broke.
	// The frame is valid until the following call.
	Next() (*Frame, error)
	// Buffered reports whether Next would return at once.
	Buffered() bool
	// Close cancels what still runs.
	Close() error
}

// Engine is the seam to engines. Generate wraps ErrNotSent when the request
// certainly did not start; it may return an *EngineError.
type Engine interface {
	Generate(ctx context.Context, address string, g *Generate) (Frames, error)
}

// Client speaks to engines in JSON, one frame a line, over HTTP.
type Client struct {
	HTTP *http.Client
}

// Generate implements Engine. Closing the stream cancels the run.
func (c *Client) Generate(ctx context.Context, address string, g *Generate) (Frames, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encoding request: %w", err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if connected.CompareAndSwap(false, true) {
				checker.Sent(ctx)
			}
		},
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/generate", bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.HTTP.Do(req)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refused(ctx, resp)
	}
	return &lineFrames{body: resp.Body, r: bufio.NewReaderSize(resp.Body, 4096)}, nil
}

func refused(ctx context.Context, resp *http.Response) error {
	defer resp.Body.Close()
	e := new(EngineError)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxFrame)).Decode(e); err != nil {
		return fmt.Errorf("engine answered status %d", resp.StatusCode)
	}
	if e.NotRun {
		checker.Declined(ctx)
	}
	return e
}

type lineFrames struct {
	body io.ReadCloser
	r    *bufio.Reader
	long []byte
	f    Frame
}

func (l *lineFrames) Next() (*Frame, error) {
	line, err := l.line()
	if err != nil {
		return nil, err
	}
	if err := DecodeFrame(line, &l.f); err != nil {
		return nil, err
	}
	return &l.f, nil
}

func (l *lineFrames) line() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	l.long = append(l.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) && len(l.long) < maxFrame {
		line, err = l.r.ReadSlice('\n')
		l.long = append(l.long, line...)
	}
	if err == nil {
		return l.long, nil
	}
	if errors.Is(err, io.EOF) && len(l.long) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, err
}

func (l *lineFrames) Buffered() bool {
	n := l.r.Buffered()
	if n == 0 {
		return false
	}
	have, _ := l.r.Peek(n)
	return bytes.IndexByte(have, '\n') >= 0
}

func (l *lineFrames) Close() error { return l.body.Close() }

// DecodeFrame decodes one frame into f, whose slices are used again, and
// checks it.
func DecodeFrame(line []byte, f *Frame) error {
	*f = Frame{Spans: f.Spans[:0], Loads: f.Loads[:0]}
	if err := json.Unmarshal(line, f); err != nil {
		return fmt.Errorf("decoding frame: %w", err)
	}
	if f.Index < 0 || f.Attempt < 1 {
		return fmt.Errorf("decoding frame: index %d of attempt %d", f.Index, f.Attempt)
	}
	for _, s := range f.Spans {
		if s.First < 0 || s.Last < s.First {
			return fmt.Errorf("decoding frame: span %d to %d", s.First, s.Last)
		}
	}
	return nil
}
