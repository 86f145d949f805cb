package forwarder

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
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
	m := new(bufferMemory)
	read := func(r io.Reader) ([]byte, func(), error) {
		return m.read(r, answerStep, maxAnswerBytes, maxLongAnswers)
	}
	var releases []func()
	taken, refused := 0, 0
	for range 20 {
		e := new(endless)
		body, release, err := read(e)
		releases = append(releases, release)
		taken += len(body)
		if errors.Is(err, errNoMemory) {
			refused++
		} else {
			is.NoErr(err)
			is.Equal(len(body), maxAnswerBytes)
		}
		is.True(e.taken <= maxAnswerBytes)
	}
	is.Equal(refused, 16)
	is.Equal(taken, maxLongAnswers)
	short, _, err := read(strings.NewReader("short")) // still served
	is.NoErr(err)
	is.Equal(string(short), "short")
	for _, release := range releases {
		release()
	}
	is.Equal(m.reserved.Load(), int64(0))
	for _, size := range []int{0, 1, answerStep - 1, answerStep, answerStep + 1, 3 * answerStep} {
		body, release, err := read(io.MultiReader(bytes.NewReader(make([]byte, size))))
		is.NoErr(err)
		is.Equal(len(body), size)
		release()
	}
	is.Equal(m.reserved.Load(), int64(0))
}

// TestLongBodies guards against request bodies that together take more memory than the host has, and against short ones that
// are refused beside them.
func TestLongBodies(t *testing.T) {
	const long, short = 4 << 20, bodyStep
	for name, sized := range map[string]bool{"with a length": true, "in chunks": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, _ := newStream(0)
			first.MemoryBytes = bodyShare * (3*long + bodyStep)
			var taken []*call
			refused := 0
			send := func(size int) (*call, *httptest.ResponseRecorder) {
				w := httptest.NewRecorder()
				r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(make([]byte, size)))
				if !sized {
					r.ContentLength = -1
				}
				k := &call{Forwarder: first.Forwarder, w: w, r: r, table: first.table, service: first.service, route: first.route, deadline: first.deadline}
				k.Tables = ageless{k.table}
				return k, w
			}
			for range 10 {
				k, w := send(long)
				if k.readBody(k.r.Context()) {
					is.Equal(len(k.body), long)
					taken = append(taken, k)
					continue
				}
				refused++
				is.Equal(w.Code, http.StatusServiceUnavailable)
				is.True(w.Header().Get("Retry-After") != "")
				is.True(strings.HasPrefix(w.Body.String(), "memory: "))
				n, err := k.r.Body.Read(make([]byte, 1))
				is.True(n == 0 && errors.Is(err, io.EOF)) // the caller has sent all
				k.releaseAll()
			}
			is.Equal(refused, 7)
			k, _ := send(short - 1)
			is.True(k.readBody(k.r.Context()))
			for _, k := range taken {
				k.releaseAll()
			}
			bodies, _ := first.HeldBytes()
			is.Equal(bodies, int64(0))
			k, _ = send(long)
			is.True(k.readBody(k.r.Context()))
		})
	}
}
