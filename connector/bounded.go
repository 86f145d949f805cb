package connector

import (
	"fmt"
	"io"
	"net/http"
)

// MaxHeaderBytes bounds the heads of responses of other hosts and of the platform, for http.Transport.
const MaxHeaderBytes = maxHeadBytes

// TooLargeError means that the body of a response is larger than allowed.
type TooLargeError struct {
	Address  string
	MaxBytes int64
}

// Error names the address and the bound.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("connector: response of %s is larger than %d bytes", e.Address, e.MaxBytes)
}

// BoundedTransport is an http.RoundTripper whose responses fail with a TooLargeError once more than MaxBytes of
// their body are read.
type BoundedTransport struct {
	Base     http.RoundTripper
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t *BoundedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err == nil {
		resp.Body = &boundedBody{ReadCloser: resp.Body, left: t.MaxBytes, err: &TooLargeError{r.URL.Host, t.MaxBytes}}
	}
	return resp, err
}

// CloseIdleConnections closes the idle connections of Base. http.Client calls it.
func (t *BoundedTransport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

type boundedBody struct {
	io.ReadCloser
	left int64
	err  error
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, b.err
	}
	return n, err
}
