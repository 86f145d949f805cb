package forwarder

import (
	"net/http"
)

// EngineTransport is an http.RoundTripper for orders and queries to engines. Like requests, they are
// not sent to an engine that has asked for a backoff, and their answers may ask for one or announce
// that the engine leaves.
type EngineTransport struct {
	// Base sends the calls; nil means a PoolTransport of Forwarder.
	Base http.RoundTripper
	// Forwarder knows the engines; nil means that Base sends each call. It is set before the first one.
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

// RoundTrip implements http.RoundTripper.
func (t *EngineTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	f := t.Forwarder
	if f == nil {
		return t.Base.RoundTrip(r)
	}
	base := t.Base
	if base == nil {
		base = &PoolTransport{Forwarder: f}
	}
	id, startedAt := f.Balancer.IncarnationAt(r.URL.Host)
	if id != "" && !f.Balancer.MaySend(f.Now(), id, startedAt) {
		return nil, &BackoffError{Upstream: id, Address: r.URL.Host}
	}
	resp, err := base.RoundTrip(r)
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
