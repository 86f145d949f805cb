package streamer

import (
	"errors"
	"fmt"

	"github.com/sardineward/sardineward/tracker"
)

// Span is the range of layers that an upstream ran or is to run, from First to Last inclusive.
type Span struct {
	Upstream string `json:"upstream"`
	First    int    `json:"first"`
	Last     int    `json:"last"`
}

// Stage is a span with the address of its upstream.
type Stage struct {
	Span
	Address string `json:"address"`
}

// GenerateRequest is the request to the engine of the first stage for a stream of frames. It names
// the model, the version and the layers, so that an engine which holds others refuses it.
type GenerateRequest struct {
	RequestID string `json:"requestId"`
	// Attempt counts the job's attempts from 1; frames of another attempt are dropped.
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	Workspace string `json:"workspace"`
	Priority  int    `json:"priority"`
	Prompt    string `json:"prompt"`
	// Delivered holds the tokens that the caller already has; the first frame continues after
	// them.
	Delivered []string `json:"delivered,omitempty"`
	MaxTokens int      `json:"maxTokens"`
	// Route holds all stages in order, including the first.
	Route []Stage `json:"route"`
}

// Validate returns an error that names the first invalid field, or nil.
func (g *GenerateRequest) Validate() error {
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

// Frame carries one token, or the error that ends an attempt.
type Frame struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	// Index is the token's position in the answer, from 0 and over all attempts.
	Index int    `json:"index"`
	Text  string `json:"text"`
	// Spans holds the layers that ran for this token, in order.
	Spans []Span `json:"spans,omitempty"`
	// Finish is set on the last frame: "stop" or "length".
	Finish string       `json:"finish,omitempty"`
	Error  *EngineError `json:"error,omitempty"`
	// Loads holds load reports of stages; most frames have none.
	Loads []StageLoad `json:"loads,omitempty"`
}

// StageLoad is the load report of a stage, forwarded by the first stage.
type StageLoad struct {
	Upstream string       `json:"upstream"`
	Load     tracker.Load `json:"load"`
}

// Kinds of EngineError.
const (
	// KindDown: the connection to a stage broke while it had the request.
	KindDown = "down"
	// KindUnreachable: a stage can't be reached and never received the request.
	KindUnreachable = "unreachable"
	// KindLeaving: a stage is draining and accepts no new requests.
	KindLeaving = "leaving"
	// KindNotLoaded: a stage has not loaded the model, the version or the layers.
	KindNotLoaded = "notLoaded"
	// KindBusy: a stage has no capacity left.
	KindBusy = "busy"
	// KindInvalid: the request itself is invalid, so that another engine would refuse it too.
	KindInvalid = "invalid"
)

// EngineError is the reason for which an engine refused a request or ended an attempt.
type EngineError struct {
	Kind string `json:"kind"`
	// Upstream is the stage that the error concerns; empty means the first.
	Upstream string `json:"upstream,omitempty"`
	// NotRun is set when no layer ran for the request.
	NotRun bool   `json:"notRun,omitempty"`
	Text   string `json:"text,omitempty"`
}

// Error returns the stage, the kind and the text.
func (e *EngineError) Error() string {
	return fmt.Sprintf("engine %s: %s: %s", e.Upstream, e.Kind, e.Text)
}
