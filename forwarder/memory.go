package forwarder

import (
	"errors"
	"io"
	"math"
	"sync/atomic"
)

const (
	// maxAnswerBytes bounds a response that is buffered whole before it is forwarded, maxEventBytes one event of
	// a stream.
	maxAnswerBytes = 16 << 20
	maxEventBytes  = 1 << 20
	// answerFree is the number of bytes that a response may have without a reservation, bodyStep the same for a request body
	// and eventFree for an event of a stream, so that short ones are served beside long ones. Longer ones of unknown length
	// are reserved in parts of answerStep and eventStep.
	answerFree = 64 << 10
	bodyStep   = 64 << 10
	eventFree  = 16 << 10
	answerStep = 256 << 10
	eventStep  = 64 << 10
	// maxLongAnswers and maxLongBodies bound the bytes reserved by all requests of a host for long responses and bodies, where
	// the memory of the process has no bound.
	maxLongAnswers = 64 << 20
	maxLongBodies  = 128 << 20
	// bodyShare and answerShare divide the memory of the process for the same.
	bodyShare   = 4
	answerShare = 8
)

var (
	// errNoMemory means that no memory was left for a long response or request body.
	errNoMemory = errors.New("forwarder: too many long responses or bodies at once")
	// errEventTooLarge means that an event of a stream exceeds maxEventBytes.
	errEventTooLarge = errors.New("forwarder: event of the stream is too large")
)

// bufferMemory is the memory reserved for long responses or long request bodies. The zero value is ready to use.
type bufferMemory struct{ reserved atomic.Int64 }

// reserve reserves n of limit bytes and reports whether they are free. The first reservation always fits.
func (m *bufferMemory) reserve(n, limit int64) bool {
	if sum := m.reserved.Add(n); sum <= limit || sum == n {
		return true
	}
	m.reserved.Add(-n)
	return false
}

// read reads r up to most bytes, of which free need no reservation. release is to be called once the bytes are not used any
// more; it is never nil.
func (m *bufferMemory) read(r io.Reader, free, most, limit int64) (body []byte, release func(), err error) {
	reserved := int64(0)
	release = func() { m.reserved.Add(-reserved) }
	for step := free; ; step = answerStep {
		more, err := io.ReadAll(io.LimitReader(r, step))
		if body == nil {
			body = more
		} else {
			body = append(body, more...)
		}
		if err != nil || int64(len(more)) < step || int64(len(body)) >= most {
			return body, release, err
		}
		if !m.reserve(answerStep, limit) {
			return nil, release, errNoMemory
		}
		reserved += answerStep
	}
}

// readSized reads size bytes, which are reserved before the first is read unless free covers them.
func (m *bufferMemory) readSized(r io.Reader, size, free, limit int64) (body []byte, release func(), err error) {
	release = func() {}
	if size > free {
		if !m.reserve(size, limit) {
			return nil, release, errNoMemory
		}
		release = func() { m.reserved.Add(-size) }
	}
	body = make([]byte, size)
	_, err = io.ReadFull(r, body)
	return body, release, err
}

// answerLimit returns the bytes that long responses may take together.
func (f *Forwarder) answerLimit() int64 {
	if f.MemoryBytes > 0 {
		return min(maxLongAnswers, f.MemoryBytes/answerShare)
	}
	return maxLongAnswers
}

// readAnswer reads a response up to maxAnswerBytes.
func (k *call) readAnswer(r io.Reader) ([]byte, error) {
	body, release, err := k.answerMemory.read(r, answerFree, maxAnswerBytes, k.answerLimit())
	k.releaseMemory = append(k.releaseMemory, release)
	return body, err
}

// readRequestBody reads the body of the request; size is -1 if it is not known.
func (k *call) readRequestBody(r io.Reader, size int64) (body []byte, err error) {
	limit := int64(maxLongBodies)
	if k.MemoryBytes > 0 {
		limit = k.MemoryBytes / bodyShare
	}
	var release func()
	if size < 0 {
		body, release, err = k.bodyMemory.read(r, bodyStep, math.MaxInt64, limit)
	} else {
		body, release, err = k.bodyMemory.readSized(r, size, bodyStep, limit)
	}
	k.releaseMemory = append(k.releaseMemory, release)
	return body, err
}

// releaseAll frees the memory of the request's body and responses.
func (k *call) releaseAll() {
	for _, release := range k.releaseMemory {
		release()
	}
}

// HeldBytes returns the bytes reserved for long request bodies and for long responses.
func (f *Forwarder) HeldBytes() (bodies, answers int64) {
	return f.bodyMemory.reserved.Load(), f.answerMemory.reserved.Load()
}
