package launcher

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// syncBuilder is a strings.Builder that is safe for concurrent use.
type syncBuilder struct {
	mu sync.Mutex
	strings.Builder
}

// Write implements io.Writer.
func (b *syncBuilder) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.Builder.Write(p)
}

// TestPanicLogged guards against a handler that panics, whose caller gets a closed connection, without a line in the log.
func TestPanicLogged(t *testing.T) {
	is := is.New(t)
	log := new(syncBuilder)
	h := &Host{Log: zerolog.New(log)}
	s := httptest.NewUnstartedServer(nil)
	s.Config = h.newServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic("no such route") }))
	s.Start()
	_, err := http.Get(s.URL) //nolint:bodyclose,noctx // there is no response
	is.True(err != nil)
	s.Close()
	is.True(strings.Contains(log.String(), "no such route"))
}
