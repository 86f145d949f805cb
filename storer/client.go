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

// Request is the body of every call to the service; see docs/INTERFACES.md.
type Request struct {
	Key   string `json:"key,omitempty"`
	Write *Write `json:"write,omitempty"`
	After int64  `json:"after,omitempty"`
	Lease int64  `json:"lease,omitempty"`
	TTLMs int64  `json:"ttlMs,omitempty"`
}

// Response is the body of every answer with status 200.
type Response struct {
	Entry    *Entry `json:"entry,omitempty"`
	Revision int64  `json:"revision,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
}

// Status codes of the service.
const (
	statusNotFound = http.StatusNotFound
	statusConflict = http.StatusConflict
	statusLease    = http.StatusGone
	statusTooLarge = http.StatusRequestEntityTooLarge
	statusOutage   = http.StatusServiceUnavailable
)

// Client is a Store over HTTP.
type Client struct {
	// Address is IP:port of the service.
	Address string
	// HTTP carries the calls.
	HTTP *http.Client
	// Timeout bounds each call but Watch.
	Timeout time.Duration

	calls atomic.Int64
}

// Calls returns how many calls were made.
func (c *Client) Calls() int64 { return c.calls.Load() }

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, err := c.call(ctx, "get", Request{Key: key})
	if err != nil {
		return Entry{}, asRead(err)
	}
	return *resp.Entry, nil
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after int64) (Entry, error) {
	resp, err := c.call(ctx, "watch", Request{Key: key, After: after})
	if err != nil {
		return Entry{}, asRead(err)
	}
	return *resp.Entry, nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, w Write) (int64, error) {
	if len(w.Value) > MaxValue {
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

// call makes one call. A connection that never carried the request means
// nothing was written (ErrUnavailable); any later failure leaves it open
// (ErrUncertain).
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
		return nil, lost(connected.Load(), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp.StatusCode)
	}
	out := new(Response)
	if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
		return nil, lost(true, err)
	}
	if out.Entry == nil {
		out.Entry = new(Entry)
	}
	return out, nil
}

func lost(sent bool, err error) error {
	if sent {
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func statusError(status int) error {
	switch status {
	case statusNotFound:
		return ErrNotFound
	case statusConflict:
		return ErrConflict
	case statusLease:
		return ErrLease
	case statusTooLarge:
		return ErrTooLarge
	case statusOutage:
		return ErrUnavailable
	default:
		return fmt.Errorf("%w: status %d", ErrUncertain, status)
	}
}

func asRead(err error) error {
	if errors.Is(err, ErrUncertain) {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return err
}
