package streamer

import (
	"errors"
	"fmt"

	"github.com/sardineward/sardineward/tracker"
)

// Span is the layers an upstream ran, or is to run, both included.
type Span struct {
	Upstream string `json:"upstream"`
	First    int    `json:"first"`
	Last     int    `json:"last"`
}

// Stage is a span and where its upstream is.
type Stage struct {
	Span
	Address string `json:"address"`
}

// Generate asks the engine of the first stage for a stream of frames. It names
// model, version and layers, so that a wrongly loaded engine refuses.
type Generate struct {
	RequestID string `json:"requestId"`
	// Attempt counts from 1; frames of another attempt are dropped.
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Workspace string `json:"workspace"`
	Priority  int    `json:"priority"`
	Prompt    string `json:"prompt"`
	// Delivered are the tokens that the caller has; the first frame is the one
	// after them.
	Delivered []string `json:"delivered,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// Route is all stages, the first one included.
	Route []Stage `json:"route"`
}

// Check reports what makes the message unusable.
func (g *Generate) Check() error {
	switch {
	case g.RequestID == "":
		return errors.New("requestId is empty")
	case g.Attempt < 1:
		return fmt.Errorf("attempt %d is below 1", g.Attempt)
	case g.MaxTokens < 1:
		return fmt.Errorf("maxTokens %d is below 1", g.MaxTokens)
	case len(g.Route) == 0:
		return errors.New("route is empty")
	}
	return nil
}

// Frame is one token, or the error that ends an attempt.
type Frame struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// Index counts from 0 over all attempts.
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Spans are the layers that ran for this token, in order.
	Spans []Span `json:"spans,omitempty"`
	// Finish is set on the last frame: "stop" or "length".
	Finish string       `json:"finish,omitempty"`
	Error  *EngineError `json:"error,omitempty"`
	// Loads are reports of stages, now and then.
	Loads []StageLoad `json:"loads,omitempty"`
}

// StageLoad is a stage's report, handed on by the first stage.
type StageLoad struct {
	Upstream string       `json:"upstream"`
	Load     tracker.Load `json:"load"`
}

// Kinds of EngineError.
const (
	// KindDown: a stage broke off while it had the request.
	KindDown = "down"
	// KindUnreachable: a stage can't be reached; it never had the request.
	KindUnreachable = "unreachable"
	// KindLeaving: a stage takes no new work.
	KindLeaving = "leaving"
	// KindNotLoaded: a stage doesn't hold the model, version or layers.
	KindNotLoaded = "notLoaded"
	// KindBusy: a stage has no room.
	KindBusy = "busy"
	// KindInvalid: the request itself is wrong; another engine won't help.
	KindInvalid = "invalid"
)

// EngineError is why an engine gave up.
type EngineError struct {
	Kind string `json:"kind"`
	// Upstream is the stage it speaks of; empty means the first.
	Upstream string `json:"upstream,omitempty"`
	// NotRun holds when no layer ran for the request.
	NotRun bool   `json:"notRun,omitempty"`
	Text   string `json:"text,omitempty"`
}

// Error gives kind, stage and text.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine %s: %s: %s", e.Upstream, e.Kind, e.Text)
}
