package server

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/streamer"
)

const (
	// defaultTokens is used when a request names no max_tokens.
	defaultTokens = 256
	// mostTokens bounds max_tokens.
	mostTokens = 65536
	// prefixBytes is how much of a prompt tells where it is likely cached.
	prefixBytes = 256
)

// Completion is the body of a completions request. The names are those of the
// usual API, not this project's.
type Completion struct {
	// Model is the name of a pipeline.
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// Chat is the body of a chat completions request.
type Chat struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens"`
	Stream    bool      `json:"stream"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// DecodeCompletion decodes and checks a completions body.
func DecodeCompletion(body []byte) (*Completion, error) {
	c := new(Completion)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("reading body: %w", err)
	}
	return c, c.check()
}

func (c *Completion) check() error {
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultTokens
	}
	switch {
	case c.Model == "":
		return errors.New("model is missing")
	case c.Prompt == "":
		return errors.New("prompt is missing")
	case c.MaxTokens < 1 || c.MaxTokens > mostTokens:
		return fmt.Errorf("max_tokens is not within 1 to %d", mostTokens)
	}
	return nil
}

// DecodeChat decodes and checks a chat body, and lays its turns end to end as
// one prompt.
func DecodeChat(body []byte) (*Completion, error) {
	c := new(Chat)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("reading body: %w", err)
	}
	var b strings.Builder
	for i, m := range c.Messages {
		if m.Role == "" {
			return nil, fmt.Errorf("messages[%d] has no role", i)
		}
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	out := &Completion{Model: c.Model, Prompt: b.String(), MaxTokens: c.MaxTokens, Stream: c.Stream}
	return out, out.check()
}

func (s *Server) completions(k *call) error { return k.generate(DecodeCompletion, textShape) }

func (s *Server) chat(k *call) error { return k.generate(DecodeChat, chatShape) }

func (k *call) generate(decode func([]byte) (*Completion, error), sh shape) error {
	c, err := decode(k.body)
	if err != nil {
		return refusal(admitter.ReasonMalformed, err.Error())
	}
	m, ok := k.catalogue.models[c.Model]
	if !ok {
		return refusal(admitter.ReasonUnknown, "no pipeline "+c.Model)
	}
	if !slices.Contains(k.workspace.Pipelines, c.Model) {
		return refusal(admitter.ReasonForbidden, "workspace may not use pipeline "+c.Model)
	}
	job := &streamer.Job{
		ID:          k.id,
		Pipeline:    c.Model,
		Model:       m.Name,
		Version:     m.Version,
		Layers:      m.Layers,
		Workspace:   k.workspace.Name,
		Priority:    k.workspace.Priority,
		Prompt:      c.Prompt,
		MaxTokens:   c.MaxTokens,
		Deadline:    k.deadline,
		Fingerprint: xxhash.Sum64String(k.workspace.Name + "\x00" + c.Model + "\x00" + c.Prompt),
	}
	if len(c.Prompt) >= prefixBytes {
		job.Prefix = xxhash.Sum64String(c.Prompt[:prefixBytes])
	}
	if refused := k.Router.Admit(job.Workspace, job.Fingerprint); refused != nil {
		return refused
	}
	return k.stream(job, &writer{call: k, shape: sh, model: c.Model, stream: c.Stream})
}

// stream runs a job and sends its answer as it comes, or whole at the end.
func (k *call) stream(job *streamer.Job, out *writer) error {
	start := time.Now()
	var begun time.Time
	res, err := k.Streamer.Run(k.r.Context(), job, func(text string, more bool) error {
		if begun.IsZero() {
			begun = time.Now()
			k.Meter.FirstToken.Observe(begun.Sub(start).Seconds())
		}
		return out.token(text, more)
	})
	k.started = res.Started
	if err != nil {
		return err
	}
	took := time.Since(begun)
	k.Router.RecordAnswer(job, res.Tokens, took)
	k.Meter.Requests.WithLabelValues(job.Workspace, "generation").Inc()
	if n := res.Tokens; n > 1 {
		k.Meter.TokenGap.Observe(took.Seconds() / float64(n-1))
	}
	return out.end(res)
}

// writeJSON sends a whole answer.
func (k *call) writeJSON(v any) error {
	k.limitWrite()
	k.w.Header().Set("Content-Type", "application/json")
	k.w.WriteHeader(http.StatusOK)
	k.begun = true
	if err := json.NewEncoder(k.w).Encode(v); err != nil {
		k.Log.Info().Str("requestId", k.id).Err(err).Msg("server: caller went away at the end")
	}
	return nil
}
