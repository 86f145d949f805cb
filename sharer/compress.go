package sharer

import (
	"bytes"
	"compress/gzip"
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/twitchtv/twirp"
)

// minCompressedBytes is the size from which answers are compressed. Shorter ones, which are most of
// them, gain little.
const minCompressedBytes = 8 << 10

const (
	contentEncoding = "Content-Encoding"
	// identity is the encoding of an answer that Compress leaves as it is.
	identity = "identity"
)

// markCompressed makes Compress leave the answer to a call as it is, because most of it is compressed already.
func markCompressed(ctx context.Context) {
	_ = twirp.SetHTTPResponseHeader(ctx, contentEncoding, identity) // refuses only the content type
}

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
		if w.Header().Get(contentEncoding) != identity && len(body) >= minCompressedBytes {
			body = compress(body, gzip.BestSpeed)
			w.Header().Set(contentEncoding, "gzip")
		} else {
			w.Header().Del(contentEncoding)
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

// compress returns b in the gzip format, at a level of package gzip.
func compress(b []byte, level int) []byte {
	var out bytes.Buffer
	w, _ := gzip.NewWriterLevel(&out, level) // fails for unknown levels only
	_, _ = w.Write(b)                        // a buffer accepts all writes
	_ = w.Close()
	return out.Bytes()
}
