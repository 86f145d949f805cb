package forwarder

import (
	"bytes"
	"fmt"
	"io"
	"net/http"

	"github.com/sardineward/sardineward/connector"
)

// maxControlBytes bounds an order and the answer to one.
const maxControlBytes = 256 << 10

// errControlTooLarge means that the answer to an order or query exceeds maxControlBytes.
var errControlTooLarge = fmt.Errorf("forwarder: answer to an order or query is larger than %d bytes", maxControlBytes)

// PoolTransport is an http.RoundTripper for orders and queries to engines, over the kept connections
// of requests. Like those, an order is sent once, and only over a connection used just now.
type PoolTransport struct {
	// Forwarder has the pool. It is set before the first call.
	Forwarder *Forwarder
}

// RoundTrip implements http.RoundTripper. The answer is read whole.
func (t *PoolTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	var body []byte
	if r.Body != nil {
		defer r.Body.Close()
		var err error
		if body, err = io.ReadAll(io.LimitReader(r.Body, maxControlBytes)); err != nil {
			return nil, err
		}
	}
	resp, err := t.Forwarder.Pool.Do(r.Context(), &connector.Request{
		Address:    r.URL.Host,
		Purpose:    connector.PurposeControl,
		Method:     r.Method,
		Target:     r.URL.RequestURI(),
		Host:       r.URL.Host,
		Header:     r.Header,
		Body:       body,
		AtMostOnce: r.Method != http.MethodGet,
	})
	if err != nil {
		return nil, err
	}
	answer, err := io.ReadAll(io.LimitReader(resp, maxControlBytes+1))
	resp.Done()
	if err != nil {
		return nil, err
	}
	if len(answer) > maxControlBytes {
		return nil, errControlTooLarge
	}
	out := *resp.Response
	out.Body = io.NopCloser(bytes.NewReader(answer))
	out.Request = r
	return &out, nil
}
