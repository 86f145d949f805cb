package soaker

import (
	"bytes"
	"net/http"
)

// bufferedResponse keeps a response until it is complete.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *bufferedResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *bufferedResponse) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *bufferedResponse) Write(b []byte) (int, error) { return w.body.Write(b) }

// bufferResponses returns a handler that writes each response of next only once it is complete: the store
// holds a mutex while it writes, and one host's narrow link must not keep the others waiting.
func bufferResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) {
		w := &bufferedResponse{header: out.Header(), status: http.StatusOK}
		next.ServeHTTP(w, r)
		out.WriteHeader(w.status)
		_, _ = w.body.WriteTo(out)
	})
}
