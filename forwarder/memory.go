package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxAnswerBytes bounds a response that is buffered whole before it is forwarded, maxEventBytes one event of
	// a stream.
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
	// answerStep is the number of bytes that a response may have without a reservation, and the size of each.
	answerStep = 1 << 20
	// maxLongAnswers bounds the bytes reserved for long responses by all requests of a host.
	maxLongAnswers = 64 << 20
)

var (
	// errAnswersTooLarge means that no memory was left for a long response.
	errAnswersTooLarge = errors.New("forwarder: too many long responses at once")
	// errEventTooLarge means that an event of a stream exceeds maxEventBytes.
	errEventTooLarge = errors.New("forwarder: event of the stream is too large")
)

// answerMemory is the memory reserved for long responses. The zero value is ready to use.
type answerMemory struct{ reserved atomic.Int64 }

// read reads a response up to maxAnswerBytes. release is to be called once the body is not used any more; it is
// never nil.
func (m *answerMemory) read(r io.Reader) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { m.reserved.Add(-reserved) }
	for {
		more, err := io.ReadAll(io.LimitReader(r, answerStep))
		if body == nil {
			body = more
		} else {
			body = append(body, more...)
		}
		if err != nil || len(more) < answerStep || len(body) >= maxAnswerBytes {
			return body, release, err
		}
		reserved += answerStep
		if m.reserved.Add(answerStep) > maxLongAnswers {
			return nil, release, errAnswersTooLarge
		}
	}
}
