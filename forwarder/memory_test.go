package forwarder

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// endless is a response without end.
type endless struct{ taken int }

func (e *endless) Read(b []byte) (int, error) {
	e.taken += len(b)
	return len(b), nil
}

// TestAnswerMemory guards against long responses that together take more memory than the host has, and
// against memory that is never free again.
func TestAnswerMemory(t *testing.T) {
	is := is.New(t)
	m := new(answerMemory)
	var releases []func()
	taken, refused := 0, 0
	for range 20 {
		e := new(endless)
		body, release, err := m.read(e)
		releases = append(releases, release)
		taken += len(body)
		if errors.Is(err, errAnswersTooLarge) {
			refused++
		} else {
			is.NoErr(err)
			is.Equal(len(body), maxAnswerBytes)
		}
		is.True(e.taken <= maxAnswerBytes)
	}
	is.Equal(refused, 16)
	is.Equal(taken, maxLongAnswers)
	short, _, err := m.read(strings.NewReader("short")) // still served
	is.NoErr(err)
	is.Equal(string(short), "short")
	for _, release := range releases {
		release()
	}
	is.Equal(m.reserved.Load(), int64(0))
	for _, size := range []int{0, 1, answerStep - 1, answerStep, answerStep + 1, 3 * answerStep} {
		body, release, err := m.read(io.MultiReader(bytes.NewReader(make([]byte, size))))
		is.NoErr(err)
		is.Equal(len(body), size)
		release()
	}
	is.Equal(m.reserved.Load(), int64(0))
}
