package storer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Request is the body of every call to the service; see docs/INTERFACES.md. Each method uses a
// part of the fields.
type Request struct {
	Key   string `json:"key,omitempty"`
	Write *Write `json:"write,omitempty"`
	After int64  `json:"after,omitempty"`
	Lease int64  `json:"lease,omitempty"`
	TTLMs int64  `json:"ttlMs,omitempty"`
}

// Response is the body of every response with status 200. Each method sets a part of the fields.
type Response struct {
	Entry    *Entry `json:"entry,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
}

// Status codes of the service. With statusUnavailable the call was not executed.
const (
	statusNotFound    = http.StatusNotFound
	statusConflict    = http.StatusConflict
	statusLeaseGone   = http.StatusGone
	statusTooLarge    = http.StatusRequestEntityTooLarge
	statusUnavailable = http.StatusServiceUnavailable
)

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	// Address is the IP:port of the service.
	Address string
	// HTTP is the client by which calls are made.
	HTTP *http.Client
	// Timeout is the timeout of each call except Watch, which only ctx bounds.
	Timeout time.Duration

	calls atomic.Int64
}

// Calls returns the number of calls made so far, failed ones included.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, err := c.call(ctx, "get", Request{Key: key})
	if err != nil {
		return Entry{}, readError(err)
	}
	return *resp.Entry, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Entry, error) {
	resp, err := c.call(ctx, "watch", Request{Key: key, After: after})
	if err != nil {
		return Entry{}, readError(err)
	}
	return *resp.Entry, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, w Write) (int64, error) {
	if len(w.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, err := c.call(ctx, "swap", Request{Write: &w})
	if err != nil {
		return 0, err
	}
	return resp.Revision, nil
}

// Grant implements Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, err := c.call(ctx, "grant", Request{TTLMs: ttl.Milliseconds()})
	if err != nil {
		return 0, err
	}
	return resp.Lease, nil
}

// KeepAlive implements Store.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, err := c.call(ctx, "keepAlive", Request{Lease: lease})
	return err
}

// Revoke implements Store.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	_, err := c.call(ctx, "revoke", Request{Lease: lease})
	return err
}

// call makes one call. A failure before a connection was obtained means that nothing was written
// (ErrUnavailable); after that, the call may have taken effect (ErrUncertain).
func (c *Client) call(ctx context.Context, method string, in Request) (*Response, error) {
	c.calls.Add(1)
	body, err := json.Marshal(in)
	if err != nil {
		return nil, fmt.Errorf("encoding %s: %w", method, err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Address+"/v1/kv/"+method, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("making %s: %w", method, err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, transportError(connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp.StatusCode)
	}
	out := new(Response)
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return nil, transportError(true, err)
	}
	if out.Entry == nil {
		out.Entry = new(Entry)
	}
	return out, nil
}

// transportError wraps a failure of the transport in ErrUncertain if the request may have been sent,
// and in ErrUnavailable if not.
func transportError(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

// statusError returns the error for a status other than 200. Statuses that the service does not
// define are ErrUncertain.
func statusError(status int) error {
	switch status {
	case statusNotFound:
		return ErrNotFound
	case statusConflict:
		return ErrConflict
	case statusLeaseGone:
		return ErrLease
	case statusTooLarge:
		return ErrTooLarge
	case statusUnavailable:
		return ErrUnavailable
	default:
		return fmt.Errorf("%w: status %d", ErrUncertain, status)
	}
}

// readError turns ErrUncertain into ErrUnavailable, as a read has no effect that could be uncertain.
func readError(err error) error {
	if errors.Is(err, ErrUncertain) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}
