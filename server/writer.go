package server

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/sardineward/sardineward/streamer"
)

// shape is how an API spells its answers.
type shape struct {
	// object and chunk name a whole answer and a part of it.
	object, chunk string
	// open and close enclose a part's text, as JSON.
	open, close string
	// choice makes the choice of a whole answer.
	choice func(text, finish string) any
}

type textChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type chatChoice struct {
	Index        int     `json:"index"`
	Message      Message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

type answer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   usage  `json:"usage"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

var textShape = shape{
	object: "text_completion", chunk: "text_completion",
	open: `"text":`, close: ``,
	choice: func(text, finish string) any { return textChoice{Text: text, FinishReason: finish} },
}

var chatShape = shape{
	object: "chat.completion", chunk: "chat.completion.chunk",
	open: `"delta":{"content":`, close: `}`,
	choice: func(text, finish string) any {
		return chatChoice{Message: Message{Role: "assistant", Content: text}, FinishReason: finish}
	},
}

// writer sends the answer of a generation.
type writer struct {
	*call
	shape  shape
	model  string
	stream bool

	whole strings.Builder
	// buf is an event under construction; head is what all events begin with.
	buf  []byte
	head string
	// guarded is when the write deadline was last moved.
	guarded time.Time
}

// token takes one token. It flushes unless more can be had at once.
func (w *writer) token(text string, more bool) error {
	if !w.stream {
		w.whole.WriteString(text)
		return nil
	}
	if !w.begun {
		w.begin()
	}
	w.guard()
	w.buf = append(w.buf, w.head...)
	w.buf = appendString(w.buf, text)
	w.buf = append(w.buf, w.shape.close...)
	w.buf = append(w.buf, `,"finish_reason":null}]}`+"\n\n"...)
	const enough = 16 << 10
	if more && len(w.buf) < enough {
		return nil
	}
	return w.flush()
}

func (w *writer) begin() {
	w.begun = true
	h := w.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.w.WriteHeader(http.StatusOK)
	model := appendString(nil, w.model)
	w.head = `data: {"id":"` + w.id + `","object":"` + w.shape.chunk + `","model":` + string(model) + `,"choices":[{"index":0,` + w.shape.open
}

// guard gives each write a time: a caller that reads nothing must not hold its
// stream, and the engine's, for ever. The deadline is moved once a second.
func (w *writer) guard() {
	if now := time.Now(); now.Sub(w.guarded) > time.Second {
		w.guarded = now
		w.limitWrite()
	}
}

func (w *writer) flush() error {
	_, err := w.w.Write(w.buf)
	w.buf = w.buf[:0]
	if err != nil {
		return err
	}
	return w.ctl.Flush()
}

// end finishes a whole answer.
func (w *writer) end(res streamer.Result) error {
	if !w.stream {
		return w.writeJSON(answer{
			ID:      w.id,
			Object:  w.shape.object,
			Model:   w.model,
			Choices: []any{w.shape.choice(w.whole.String(), res.Finish)},
			Usage:   usage{res.Tokens},
		})
	}
	w.buf = append(w.buf, w.head...)
	w.buf = append(w.buf, `""`...)
	w.buf = append(w.buf, w.shape.close...)
	w.buf = append(w.buf, `,"finish_reason":`...)
	w.buf = appendString(w.buf, res.Finish)
	w.buf = append(w.buf, "}]}\n\ndata: [DONE]\n\n"...)
	if err := w.flush(); err != nil {
		w.Log.Info().Str("requestId", w.id).Err(err).Msg("server: caller went away at the end")
	}
	return nil
}

// endStream tells a caller, who has part of the answer, that there is no more.
func (k *call) endStream(body ErrorBody) {
	src, err := json.Marshal(body)
	if err != nil {
		return
	}
	k.limitWrite()
	k.w.Write([]byte("event: error\ndata: "))
	k.w.Write(src)
	k.w.Write([]byte("\n\n"))
	k.ctl.Flush()
}

// appendString appends a JSON string. Plain text, nearly all there is, is
// copied; the rest is left to encoding/json.
func appendString(b []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			out, err := json.Marshal(s)
			if err != nil {
				return append(b, `""`...)
			}
			return append(b, out...)
		}
	}
	b = append(b, '"')
	b = append(b, s...)
	return append(b, '"')
}
