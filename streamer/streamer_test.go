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

// fixedRouter is a Router that returns the same route for every attempt, allows retries and records
// the causes of failures.
type fixedRouter struct {
	failures []streamer.Cause
}

func (o *fixedRouter) Route(context.Context, *streamer.Job, int) ([]streamer.Stage, time.Duration, error) {
	return []streamer.Stage{
		{Span: streamer.Span{Upstream: "a", First: 0, Last: 3}, Address: "10.0.0.1:1"},
		{Span: streamer.Span{Upstream: "b", First: 4, Last: 7}, Address: "10.0.0.1:2"},
	}, time.Millisecond, nil
}

func (o *fixedRouter) Release(*streamer.Job, []streamer.Stage, *streamer.Failure) {}

func (o *fixedRouter) FindUnresponsive(context.Context, []streamer.Stage) string { return "" }

func (o *fixedRouter) RecordTokenGap(*streamer.Job, time.Time, time.Duration) {}

func (o *fixedRouter) RecordLoad(string, tracker.Load) {}

var errNoRetries = errors.New("no retries left")

func (o *fixedRouter) Retry(_ *streamer.Job, f *streamer.Failure) error {
	o.failures = append(o.failures, f.Cause)
	if len(o.failures) > 3 || f.Cause == streamer.CauseCaller {
		return errNoRetries
	}
	return nil
}

// scriptedEngine is an http.RoundTripper that responds to each attempt with the bytes that the
// function makes from the attempt's complete frames.
type scriptedEngine func(g *streamer.GenerateRequest, whole [][]byte) []byte

func (e scriptedEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	g := new(streamer.GenerateRequest)
	if err := json.NewDecoder(r.Body).Decode(g); err != nil {
		return nil, err
	}
	body := e(g, frames(g))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
}

func frames(g *streamer.GenerateRequest) [][]byte {
	var out [][]byte
	for i := len(g.Delivered); i < g.MaxTokens; i++ {
		out = append(out, encodeFrame(g, i, func(*streamer.Frame) {}))
	}
	return out
}

// encodeFrame returns the encoded frame of token i, modified by change.
func encodeFrame(g *streamer.GenerateRequest, i int, change func(f *streamer.Frame)) []byte {
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

// runJob streams one job from an engine and returns what the caller got.
func runJob(t *testing.T, e scriptedEngine) (string, streamer.Result, *fixedRouter, *streamer.Streamer) {
	t.Helper()
	route := new(fixedRouter)
	s := &streamer.Streamer{
		Engine:          &streamer.Client{HTTP: &http.Client{Transport: e}},
		Router:          route,
		Checker:         &checker.Checker{Fail: func(v checker.Violation) { t.Error(v) }},
		MinStallTimeout: time.Hour,
	}
	job := &streamer.Job{ID: "r1", Layers: layers, Prompt: prompt, MaxTokens: tokens, Deadline: time.Now().Add(time.Hour)}
	var got strings.Builder
	res, _ := s.Run(t.Context(), job, func(text string, _ bool) error {
		got.WriteString(text)
		return nil
	})
	return got.String(), res, route, s
}

func assertComplete(t *testing.T, got string, res streamer.Result) {
	t.Helper()
	is := is.New(t)
	is.Equal(got, faker.Answer(prompt, tokens))
	is.Equal(res.Finish, "length")
}

// TestResumeAfterCutAtEveryByte guards against a partial, repeated or lost token when the connection
// to an engine breaks within a frame. It cuts the stream at every byte in turn.
func TestResumeAfterCutAtEveryByte(t *testing.T) {
	g := &streamer.GenerateRequest{RequestID: "r1", Attempt: 1, Prompt: prompt, MaxTokens: tokens}
	g.Route, _, _ = new(fixedRouter).Route(t.Context(), nil, 1)
	size := len(bytes.Join(frames(g), nil))
	for n := range size {
		got, res, _, _ := runJob(t, func(g *streamer.GenerateRequest, whole [][]byte) []byte {
			all := bytes.Join(whole, nil)
			if g.Attempt == 1 {
				return all[:n]
			}
			return all
		})
		assertComplete(t, got, res)
		is.New(t).Equal(res.Attempts, 2)
	}
}

// TestFrames checks that repeated, foreign, missing and invalid frames never reach the caller.
func TestFrames(t *testing.T) {
	other := func(f *streamer.Frame) { f.RequestID, f.Text = "r2", "another's " }
	for _, row := range []struct {
		name  string
		cause streamer.Cause
		// dropped is the number of frames that are ignored.
		dropped int64
		first   func(g *streamer.GenerateRequest, whole [][]byte) [][]byte
	}{
		{"doubled", streamer.CauseNone, 4, func(_ *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], w[0], w[1], w[0], w[1], w[2], w[2], w[3]}
		}},
		{"another request's", streamer.CauseNone, 2, func(g *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{encodeFrame(g, 0, other), w[0], w[1], encodeFrame(g, 2, other), w[2], w[3]}
		}},
		{"of an older attempt", streamer.CauseNone, 1, func(g *streamer.GenerateRequest, w [][]byte) [][]byte {
			late := encodeFrame(g, 0, func(f *streamer.Frame) { f.Attempt, f.Text = 9, "late " })
			return [][]byte{late, w[0], w[1], w[2], w[3]}
		}},
		{"out of order", streamer.CauseGap, 0, func(_ *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], w[2], w[1], w[3]}
		}},
		{"missing", streamer.CauseGap, 0, func(_ *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], w[1], w[3]}
		}},
		{"a layer skipped", streamer.CauseLayers, 0, func(g *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], encodeFrame(g, 1, func(f *streamer.Frame) { f.Spans[1].First++ })}
		}},
		{"a layer twice", streamer.CauseLayers, 0, func(g *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], encodeFrame(g, 1, func(f *streamer.Frame) { f.Spans[1].First-- })}
		}},
		{"stages swapped", streamer.CauseLayers, 0, func(g *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], encodeFrame(g, 1, func(f *streamer.Frame) { f.Spans[0], f.Spans[1] = f.Spans[1], f.Spans[0] })}
		}},
		{"no layers", streamer.CauseLayers, 0, func(g *streamer.GenerateRequest, _ [][]byte) [][]byte {
			return [][]byte{encodeFrame(g, 0, func(f *streamer.Frame) { f.Spans = nil })}
		}},
		{"no JSON", streamer.CauseBroken, 0, func(*streamer.GenerateRequest, [][]byte) [][]byte {
			return [][]byte{[]byte("{\"index\":\n")}
		}},
		{"a stage down", streamer.CauseStage, 0, func(g *streamer.GenerateRequest, w [][]byte) [][]byte {
			return [][]byte{w[0], encodeFrame(g, 1, func(f *streamer.Frame) { f.Error = &streamer.EngineError{Kind: streamer.KindDown, Upstream: "b"} })}
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			got, res, route, s := runJob(t, func(g *streamer.GenerateRequest, whole [][]byte) []byte {
				if g.Attempt == 1 {
					whole = row.first(g, whole)
				}
				return bytes.Join(whole, nil)
			})
			assertComplete(t, got, res)
			is := is.New(t)
			is.Equal(s.DroppedFrames.Load(), row.dropped)
			if row.cause == streamer.CauseNone {
				is.Equal(len(route.failures), 0)
				return
			}
			is.Equal(route.failures, []streamer.Cause{row.cause})
		})
	}
}

// FuzzDecodeFrame checks that each frame that the decoder accepts is within bounds.
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
			t.Errorf("accepted frame %+v; want index >= 0 and attempt >= 1", fr)
		}
		for _, s := range fr.Spans {
			if s.First < 0 || s.Last < s.First {
				t.Errorf("accepted span %+v; want 0 <= First <= Last", s)
			}
		}
	})
}
