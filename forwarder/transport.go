package forwarder

import (
	"context"
	"net"
	"net/http"

	"github.com/sardineward/sardineward/connector"
)

// EngineTransport is an http.RoundTripper for orders and queries to engines. Like requests, they are
// not sent to an engine that has asked for a backoff, and their answers may ask for one or announce
// that the engine leaves.
type EngineTransport struct {
	// Base sends the calls.
	Base http.RoundTripper
	// Forwarder knows the engines; nil means that each call is sent. It is set before the first one.
	Forwarder *Forwarder
}

// BackoffError means that an order or query was not sent because of a backoff of its engine.
type BackoffError struct {
	Upstream, Address string
}

// Error names the engine.
func (e *BackoffError) Error() string {
	return "forwarder: upstream " + e.Upstream + " at " + e.Address + " has asked for a backoff, nothing is sent"
}

// DialContext opens a connection for Base, which is counted as one for control.
func (t *EngineTransport) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if t.Forwarder == nil {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	return t.Forwarder.Pool.Open(ctx, address, connector.PurposeControl)
}

// RoundTrip implements http.RoundTripper.
func (t *EngineTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f := t.Forwarder
	if f == nil {
		return t.Base.RoundTrip(r)
	}
	id, startedAt := f.Balancer.IncarnationAt(r.URL.Host)
	if id != "" && !f.Balancer.MaySend(f.Now(), id, startedAt) {
		return nil, &BackoffError{Upstream: id, Address: r.URL.Host}
	}
	resp, err := t.Base.RoundTrip(r)
	if err != nil || id == "" {
		return resp, err
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return resp, nil // another engine at that address
	}
	f.applyLeaving(id, startedAt, "", resp.Header)
	if resp.StatusCode == http.StatusServiceUnavailable {
		f.applyRetryAfter(id, startedAt, "", resp.Header)
	}
	return resp, nil
}
