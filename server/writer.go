package server

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/sardineward/sardineward/streamer"
)

// answerFormat describes the JSON of an API's answers.
type answerFormat struct {
	// object and chunk are the object types of a whole answer and of a stream event.
	object, chunk string
	// textPrefix and textSuffix enclose the text of a stream event, as JSON.
	textPrefix, textSuffix string
	// newChoice returns the choice of a whole answer.
	newChoice func(text, finish string) any
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

type completion struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Model   string `json:"model"`
	Choices []any  `json:"choices"`
	Usage   usage  `json:"usage"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

var textFormat = answerFormat{
	object: "text_completion", chunk: "text_completion",
	textPrefix: `"text":`, textSuffix: ``,
	newChoice: func(text, finish string) any { return textChoice{Text: text, FinishReason: finish} },
}

var chatFormat = answerFormat{
	object: "chat.completion", chunk: "chat.completion.chunk",
	textPrefix: `"delta":{"content":`, textSuffix: `}`,
	newChoice: func(text, finish string) any {
		return chatChoice{Message: Message{Role: "assistant", Content: text}, FinishReason: finish}
	},
}

// writer sends the answer of a generation, as a stream of events or as one body.
type writer struct {
	*call
	format answerFormat
	model  string
	stream bool

	answerText strings.Builder
	// buf holds events that are not flushed yet; head is the common beginning of all events.
	buf  []byte
	head string
	// deadlineSetAt is when the write deadline was last extended.
	deadlineSetAt time.Time
}

// writeToken sends one token. It flushes unless more tokens are available at once and the buffer
// is small.
func (w *writer) writeToken(text string, more bool) error {
	if !w.stream {
		w.answerText.WriteString(text)
		return nil
	}
	if !w.headWritten {
		w.writeHead()
	}
	w.extendWriteDeadline()
	w.buf = append(w.buf, w.head...)
	w.buf = appendString(w.buf, text)
	w.buf = append(w.buf, w.format.textSuffix...)
	w.buf = append(w.buf, `,"finish_reason":null}]}`+"\n\n"...)
	const flushBytes = 16 << 10
	if more && len(w.buf) < flushBytes {
		return nil
	}
	return w.flush()
}

func (w *writer) writeHead() {
	w.headWritten = true
	h := w.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	w.w.WriteHeader(http.StatusOK)
	model := appendString(nil, w.model)
	w.head = `data: {"id":"` + w.id + `","object":"` + w.format.chunk + `","model":` + string(model) + `,"choices":[{"index":0,` + w.format.textPrefix
}

// extendWriteDeadline bounds the time of each write, since a caller that doesn't read must not
// hold its stream, and the engine's, forever. The deadline is extended at most once a second.
func (w *writer) extendWriteDeadline() {
	if now := time.Now(); now.Sub(w.deadlineSetAt) > time.Second {
		w.deadlineSetAt = now
		w.setWriteDeadline()
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

// finish sends the end of a complete answer.
func (w *writer) finish(res streamer.Result) error {
	if !w.stream {
		return w.writeJSON(completion{
			ID:      w.id,
			Object:  w.format.object,
			Model:   w.model,
			Choices: []any{w.format.newChoice(w.answerText.String(), res.Finish)},
			Usage:   usage{res.Tokens},
		})
	}
	w.buf = append(w.buf, w.head...)
	w.buf = append(w.buf, `""`...)
	w.buf = append(w.buf, w.format.textSuffix...)
	w.buf = append(w.buf, `,"finish_reason":`...)
	w.buf = appendString(w.buf, res.Finish)
	w.buf = append(w.buf, "}]}\n\ndata: [DONE]\n\n"...)
	if err := w.flush(); err != nil {
		w.Log.Info().Str("requestId", w.id).Err(err).Msg("server: writing the end of an answer failed")
	}
	return nil
}

// writeStreamError ends a stream that has begun with an error event.
func (k *call) writeStreamError(body ErrorBody) {
	src, err := json.Marshal(body)
	if err != nil {
		return
	}
	k.setWriteDeadline()
	k.w.Write([]byte("event: error\ndata: "))
	k.w.Write(src)
	k.w.Write([]byte("\n\n"))
	k.ctl.Flush()
}

// appendString appends s as a JSON string. Text without characters to escape, the common case, is
// copied; all other text goes through encoding/json.
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
