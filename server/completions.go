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
	// defaultMaxTokens is used when a request sets no max_tokens.
	defaultMaxTokens = 256
	// maxTokens bounds max_tokens.
	maxTokens = 65536
	// prefixBytes is the length of the prompt prefix by which routes prefer engines that likely
	// have it cached.
	prefixBytes = 256
)

// Completion is the body of a completions request. The field names are those of the OpenAI API.
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

// DecodeCompletion decodes and validates the body of a completions request.
func DecodeCompletion(body []byte) (*Completion, error) {
	c := new(Completion)
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("reading body: %w", err)
	}
	return c, c.check()
}

func (c *Completion) check() error {
	if c.MaxTokens == 0 {
		c.MaxTokens = defaultMaxTokens
	}
	switch {
	case c.Model == "":
		return errors.New("model is missing")
	case c.Prompt == "":
		return errors.New("prompt is missing")
	case c.MaxTokens < 1 || c.MaxTokens > maxTokens:
		return fmt.Errorf("max_tokens is not within 1 to %d", maxTokens)
	}
	return nil
}

// DecodeChat decodes and validates the body of a chat request and joins its messages into one
// prompt.
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

func (s *Server) completions(k *call) error { return k.generate(DecodeCompletion, textFormat) }

func (s *Server) chat(k *call) error { return k.generate(DecodeChat, chatFormat) }

func (k *call) generate(decode func([]byte) (*Completion, error), format answerFormat) error {
	c, err := decode(k.body)
	if err != nil {
		return refusal(admitter.ReasonMalformed, err.Error())
	}
	m, ok := k.index.models[c.Model]
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
	return k.runJob(job, &writer{call: k, format: format, model: c.Model, stream: c.Stream})
}

// runJob runs a job and sends its answer, token by token or as one body at the end.
func (k *call) runJob(job *streamer.Job, out *writer) error {
	start := time.Now()
	var firstTokenAt time.Time
	res, err := k.Streamer.Run(k.r.Context(), job, func(text string, more bool) error {
		if firstTokenAt.IsZero() {
			firstTokenAt = time.Now()
			k.Meter.FirstToken.Observe(firstTokenAt.Sub(start).Seconds())
		}
		return out.writeToken(text, more)
	})
	k.started = res.Started
	if err != nil {
		return err
	}
	elapsed := time.Since(firstTokenAt)
	k.Router.RecordAnswer(job, res.Tokens, elapsed)
	k.Meter.Requests.WithLabelValues(job.Workspace, "generation").Inc()
	if n := res.Tokens; n > 1 {
		k.Meter.TokenGap.Observe(elapsed.Seconds() / float64(n-1))
	}
	return out.finish(res)
}

// writeJSON sends an answer as one JSON body.
func (k *call) writeJSON(v any) error {
	k.setWriteDeadline()
	k.w.Header().Set("Content-Type", "application/json")
	k.w.WriteHeader(http.StatusOK)
	k.headWritten = true
	if err := json.NewEncoder(k.w).Encode(v); err != nil {
		k.Log.Info().Str("requestId", k.id).Err(err).Msg("server: writing the end of an answer failed")
	}
	return nil
}
