package server

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/streamer"
)

// ServiceRequest is one call of a plain service, which is an HTTP service that runs no model.
type ServiceRequest struct {
	Method, Path, Query, ContentType string
	// Key is the idempotency key. It is empty for calls that may be repeated and for single-shot
	// calls.
	Key       string
	RequestID string
	Workspace string
	Body      []byte
}

// ServiceResponse is the complete answer of an instance.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// ServiceClient sends calls to the instances of plain services.
type ServiceClient interface {
	// Call sends req to the instance at address. The error wraps streamer.ErrNotSent when the
	// instance certainly did not start the call. With once set, no layer below may send the call
	// a second time.
	Call(ctx context.Context, address string, req *ServiceRequest, once bool) (*ServiceResponse, error)
}

// DeclinedError reports that an instance declined a call without starting it.
type DeclinedError struct {
	Status int
}

// Error returns a message with the status.
func (e *DeclinedError) Error() string {
	return fmt.Sprintf("instance declined with status %d", e.Status)
}

// Unwrap returns streamer.ErrNotSent.
func (e *DeclinedError) Unwrap() error { return streamer.ErrNotSent }

const (
	// notRunHeader is set to "true" by an instance that declines a call it didn't start.
	notRunHeader = "Not-Run"
	// maxResponse bounds the body of an instance's answer, in bytes.
	maxResponse = 16 << 20
)

// HTTPServiceClient calls plain services over HTTP.
type HTTPServiceClient struct {
	// Shared sends calls that may be repeated. Unshared opens a new connection for every call:
	// net/http resends a request by itself when a kept connection turns out to be closed and the
	// request has an Idempotency-Key header and no body, so a booking could be sent twice without
	// a retry of this package.
	Shared, Unshared *http.Client
}

// Call implements ServiceClient.
func (c *HTTPServiceClient) Call(ctx context.Context, address string, in *ServiceRequest, once bool) (*ServiceResponse, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			if connected.CompareAndSwap(false, true) {
				checker.RecordSent(ctx)
			}
		},
	})
	req, err := newRequest(ctx, address, in)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", streamer.ErrNotSent, err)
	}
	client := c.Shared
	if once {
		client = c.Unshared
	}
	resp, err := client.Do(req)
	if err != nil && !connected.Load() {
		return nil, fmt.Errorf("%w: %w", streamer.ErrNotSent, err)
	}
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(notRunHeader) == "true" {
		checker.RecordDeclined(ctx)
		return nil, &DeclinedError{resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponse+1))
	if err != nil {
		return nil, fmt.Errorf("reading answer: %w", err)
	}
	if len(body) > maxResponse {
		return nil, errors.New("answer is too large")
	}
	return &ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}

func newRequest(ctx context.Context, address string, in *ServiceRequest) (*http.Request, error) {
	url := "http://" + address + in.Path
	if in.Query != "" {
		url += "?" + in.Query
	}
	req, err := http.NewRequestWithContext(ctx, in.Method, url, bytes.NewReader(in.Body))
	if err != nil {
		return nil, err
	}
	h := req.Header
	if in.ContentType != "" {
		h.Set("Content-Type", in.ContentType)
	}
	if in.Key != "" {
		h.Set(keyHeader, in.Key)
	}
	h.Set("X-Request-Id", in.RequestID)
	h.Set("X-Workspace", in.Workspace)
	return req, nil
}
