package connector

import "net/http"

// CheckedTransport is an http.RoundTripper that fails with an InvalidHeadError for a response whose head is invalid, and
// for one that switches protocols.
type CheckedTransport struct {
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper.
func (t *CheckedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	err = checkHead(resp)
	if resp.StatusCode == http.StatusSwitchingProtocols {
		err = errInterim
	}
	if err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of Base. http.Client calls it.
func (t *CheckedTransport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
