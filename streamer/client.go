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

// maxFrameBytes bounds the size of one encoded frame.
const maxFrameBytes = 1 << 20

// ErrNotSent means that no byte of the request reached an upstream.
var ErrNotSent = errors.New("streamer: not sent")

// Frames is the stream of one attempt's frames.
type Frames interface {
	// Next returns the next frame, which is valid until the following call. The error is io.EOF
	// at the end of the stream and io.ErrUnexpectedEOF when the stream was cut within a frame.
	Next() (*Frame, error)
	// Buffered reports whether Next would return without waiting.
	Buffered() bool
	// Close ends the stream and cancels the attempt if it still runs.
	Close() error
}

// Engine starts attempts on engines. The error of Generate wraps ErrNotSent when the request
// certainly did not start; it may be an *EngineError.
type Engine interface {
	Generate(ctx context.Context, address string, g *GenerateRequest) (Frames, error)
}

// Client is an Engine that calls engines over HTTP; the response holds one JSON frame per line.
type Client struct {
	HTTP *http.Client
}

// Generate implements Engine. Closing the stream cancels the run.
func (c *Client) Generate(ctx context.Context, address string, g *GenerateRequest) (Frames, error) {
	body, err := json.Marshal(g)
	if err != nil {
		return nil, fmt.Errorf("encoding request: %w", err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if connected.CompareAndSwap(false, true) {
				checker.RecordSent(ctx)
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
		return nil, decodeRefusal(ctx, resp)
	}
	return &lineFrames{body: resp.Body, r: bufio.NewReaderSize(resp.Body, 4096)}, nil
}

// decodeRefusal returns the EngineError in a response with a status other than 200.
func decodeRefusal(ctx context.Context, resp *http.Response) error {
	defer resp.Body.Close()
	e := new(EngineError)
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxFrameBytes)).Decode(e); err != nil {
		return fmt.Errorf("engine answered status %d", resp.StatusCode)
	}
	if e.NotRun {
		checker.RecordDeclined(ctx)
	}
	return e
}

// lineFrames reads frames from a response with one JSON frame per line.
type lineFrames struct {
	body io.ReadCloser
	r    *bufio.Reader
	// overflow holds a line that is longer than the buffer of r.
	overflow []byte
	// frame is the one that Next returned last.
	frame Frame
}

func (l *lineFrames) Next() (*Frame, error) {
	line, err := l.readLine()
	if err != nil {
		return nil, err
	}
	if err := DecodeFrame(line, &l.frame); err != nil {
		return nil, err
	}
	return &l.frame, nil
}

// readLine returns the next line, which is valid until the following call, or an error when it
// exceeds maxFrameBytes or the stream ends within it.
func (l *lineFrames) readLine() ([]byte, error) {
	line, err := l.r.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	l.overflow = append(l.overflow[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) && len(l.overflow) < maxFrameBytes {
		line, err = l.r.ReadSlice('\n')
		l.overflow = append(l.overflow, line...)
	}
	if err == nil {
		return l.overflow, nil
	}
	if errors.Is(err, io.EOF) && len(l.overflow) > 0 {
		return nil, io.ErrUnexpectedEOF
	}
	return nil, err
}

func (l *lineFrames) Buffered() bool {
	n := l.r.Buffered()
	if n == 0 {
		return false
	}
	buffered, _ := l.r.Peek(n)
	return bytes.IndexByte(buffered, '\n') >= 0
}

func (l *lineFrames) Close() error { return l.body.Close() }

// DecodeFrame decodes one frame into f, whose slices it reuses, and validates it.
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
