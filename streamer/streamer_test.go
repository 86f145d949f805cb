package streamer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

const (
	prompt = "basis moves"
	tokens = 4
	layers = 8
)

// oneRoute gives every attempt the same route and lets it retry.
type oneRoute struct {
	failures []streamer.Cause
}

func (o *oneRoute) Route(context.Context, *streamer.Job, int) ([]streamer.Stage, time.Duration, error) {
	return []streamer.Stage{
		{Span: streamer.Span{Upstream: "a", First: 0, Last: 3}, Address: "10.0.0.1:1"},
		{Span: streamer.Span{Upstream: "b", First: 4, Last: 7}, Address: "10.0.0.1:2"},
	}, time.Millisecond, nil
}

func (o *oneRoute) Release(*streamer.Job, []streamer.Stage, *streamer.Failure) {}

func (o *oneRoute) Doubt(context.Context, []streamer.Stage) string { return "" }

func (o *oneRoute) Gap(*streamer.Job, time.Time, time.Duration) {}

func (o *oneRoute) Report(string, tracker.Load) {}

var errEnough = errors.New("enough attempts")

func (o *oneRoute) Retry(_ *streamer.Job, f *streamer.Failure) error {
	o.failures = append(o.failures, f.Cause)
	if len(o.failures) > 3 || f.Cause == streamer.CauseCaller {
		return errEnough
	}
	return nil
}

// engine answers each attempt with the bytes that a script makes of the whole
// stream for it.
type engine func(g *streamer.Generate, whole [][]byte) []byte

func (e engine) RoundTrip(r *http.Request) (*http.Response, error) {
	g := new(streamer.Generate)
	if err := json.NewDecoder(r.Body).Decode(g); err != nil {
		return nil, err
	}
	body := e(g, stream(g))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
}

func stream(g *streamer.Generate) [][]byte {
	var out [][]byte
	for i := len(g.Delivered); i < g.MaxTokens; i++ {
		out = append(out, frame(g, i, func(*streamer.Frame) {}))
	}
	return out
}

// frame is the encoded frame of a token, after change had its way with it.
func frame(g *streamer.Generate, i int, change func(f *streamer.Frame)) []byte {
	f := &streamer.Frame{RequestID: g.RequestID, Attempt: g.Attempt, Index: i, Text: faker.Token(g.Prompt, i)}
	for _, s := range g.Route {
		f.Spans = append(f.Spans, s.Span)
	}
	if i == g.MaxTokens-1 {
		f.Finish = "length"
	}
	change(f)
	b, _ := json.Marshal(f)
	return append(b, '\n')
}

// run streams one job before an engine and returns what the caller got.
func run(t *testing.T, e engine) (string, streamer.Result, *oneRoute, *streamer.Streamer) {
	t.Helper()
	route := new(oneRoute)
	s := &streamer.Streamer{
		Engine:     &streamer.Client{HTTP: &http.Client{Transport: e}},
		Router:     route,
		Checker:    &checker.Checker{Fail: func(v checker.Violation) { t.Error(v) }},
		StallFloor: time.Hour,
	}
	job := &streamer.Job{ID: "r1", Layers: layers, Prompt: prompt, MaxTokens: tokens, Deadline: time.Now().Add(time.Hour)}
	var got strings.Builder
	res, _ := s.Run(t.Context(), job, func(text string, _ bool) error {
		got.WriteString(text)
		return nil
	})
	return got.String(), res, route, s
}

func assertWhole(t *testing.T, got string, res streamer.Result) {
	t.Helper()
	is := is.New(t)
	is.Equal(got, faker.Answer(prompt, tokens))
	is.Equal(res.Finish, "length")
}

// TestCutEverywhere. The connection to an engine breaks in the middle of a
// frame. The caller saw half a token, or one twice, or none. The stream is cut at
// every byte in turn, and the next attempt goes on where the caller is.
func TestCutEverywhere(t *testing.T) {
	g := &streamer.Generate{RequestID: "r1", Attempt: 1, Prompt: prompt, MaxTokens: tokens}
	g.Route, _, _ = new(oneRoute).Route(t.Context(), nil, 1)
	size := len(bytes.Join(stream(g), nil))
	for n := range size {
		got, res, _, _ := run(t, func(g *streamer.Generate, whole [][]byte) []byte {
			all := bytes.Join(whole, nil)
			if g.Attempt == 1 {
				return all[:n]
			}
			return all
		})
		assertWhole(t, got, res)
		is.New(t).Equal(res.Attempts, 2)
	}
}

// TestFrames feeds frames that must not reach the caller as they are.
func TestFrames(t *testing.T) {
	other := func(f *streamer.Frame) { f.RequestID, f.Text = "r2", "another's " }
	for _, row := range []struct {
		name  string
		cause streamer.Cause
		// dropped is how many frames are passed over.
		dropped int64
		first   func(g *streamer.Generate, whole [][]byte) [][]byte
	}{
		{"doubled", streamer.CauseNone, 4, func(_ *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], w[0], w[1], w[0], w[1], w[2], w[2], w[3]}
		}},
		{"another request's", streamer.CauseNone, 2, func(g *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{frame(g, 0, other), w[0], w[1], frame(g, 2, other), w[2], w[3]}
		}},
		{"of an older attempt", streamer.CauseNone, 1, func(g *streamer.Generate, w [][]byte) [][]byte {
			late := frame(g, 0, func(f *streamer.Frame) { f.Attempt, f.Text = 9, "late " })
			return [][]byte{late, w[0], w[1], w[2], w[3]}
		}},
		{"out of order", streamer.CauseGap, 0, func(_ *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], w[2], w[1], w[3]}
		}},
		{"missing", streamer.CauseGap, 0, func(_ *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], w[1], w[3]}
		}},
		{"a layer skipped", streamer.CauseLayers, 0, func(g *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], frame(g, 1, func(f *streamer.Frame) { f.Spans[1].First++ })}
		}},
		{"a layer twice", streamer.CauseLayers, 0, func(g *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], frame(g, 1, func(f *streamer.Frame) { f.Spans[1].First-- })}
		}},
		{"stages swapped", streamer.CauseLayers, 0, func(g *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], frame(g, 1, func(f *streamer.Frame) { f.Spans[0], f.Spans[1] = f.Spans[1], f.Spans[0] })}
		}},
		{"no layers", streamer.CauseLayers, 0, func(g *streamer.Generate, _ [][]byte) [][]byte {
			return [][]byte{frame(g, 0, func(f *streamer.Frame) { f.Spans = nil })}
		}},
		{"no JSON", streamer.CauseBroken, 0, func(*streamer.Generate, [][]byte) [][]byte {
			return [][]byte{[]byte("{\"index\":\n")}
		}},
		{"a stage down", streamer.CauseStage, 0, func(g *streamer.Generate, w [][]byte) [][]byte {
			return [][]byte{w[0], frame(g, 1, func(f *streamer.Frame) { f.Error = &streamer.EngineError{Kind: streamer.KindDown, Upstream: "b"} })}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got, res, route, s := run(t, func(g *streamer.Generate, whole [][]byte) []byte {
				if g.Attempt == 1 {
					whole = row.first(g, whole)
				}
				return bytes.Join(whole, nil)
			})
			assertWhole(t, got, res)
			is := is.New(t)
			is.Equal(s.Dropped.Load(), row.dropped)
			if row.cause == streamer.CauseNone {
				is.Equal(len(route.failures), 0)
				return
			}
			is.Equal(route.failures, []streamer.Cause{row.cause})
		})
	}
}

// FuzzDecodeFrame feeds the frame decoder; what it takes must be in bounds.
func FuzzDecodeFrame(f *testing.F) {
	f.Add([]byte(`{"requestId":"r","attempt":1,"index":0,"text":"x","spans":[{"upstream":"a","first":0,"last":3}]}`))
	f.Add([]byte(`{"attempt":1,"index":-1}`))
	f.Add([]byte(`{"attempt":1,"spans":[{"first":3,"last":1}]}`))
	f.Add([]byte(`null`))
	f.Add([]byte(`{"attempt":1,"spans":null,"loads":[{"load":{"running":-5}}]}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var fr streamer.Frame
		if streamer.DecodeFrame(line, &fr) != nil {
			return
		}
		if fr.Index < 0 || fr.Attempt < 1 {
			t.Errorf("took %+v", fr)
		}
		for _, s := range fr.Spans {
			if s.First < 0 || s.Last < s.First {
				t.Errorf("took span %+v", s)
			}
		}
	})
}
