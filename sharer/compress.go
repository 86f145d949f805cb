package sharer

import (
	"bytes"
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
)

// minCompressedBytes is the size from which answers are compressed. Shorter ones, which are most of
// them, gain little.
const minCompressedBytes = 8 << 10

// Compress compresses the long answers of a handler for callers that accept that, as Go's HTTP
// client does unasked. A relay sends the same configuration to all hosts of its data centre.
func Compress(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		answer := &bufferedAnswer{ResponseWriter: w, status: http.StatusOK}
		next.ServeHTTP(answer, r)
		body := answer.body.Bytes()
		if len(body) >= minCompressedBytes {
			body = compress(body)
			w.Header().Set("Content-Encoding", "gzip")
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(answer.status)
		_, _ = w.Write(body) // the caller is gone if this fails
	})
}

// bufferedAnswer keeps an answer until it is complete.
type bufferedAnswer struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (a *bufferedAnswer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *bufferedAnswer) Write(b []byte) (int, error) { return a.body.Write(b) }

// compress returns b in the gzip format.
func compress(b []byte) []byte {
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, gzip.BestSpeed) // fails for unknown levels only
	_, _ = w.Write(b)                                 // a buffer accepts all writes
	_ = w.Close()
	return out.Bytes()
}
