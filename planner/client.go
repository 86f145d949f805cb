package planner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// Client is an EngineClient that sends orders over HTTP.
type Client struct {
	HTTP *http.Client
}

// Loaded implements EngineClient.
func (c *Client) Loaded(ctx context.Context, address string) (Target, error) {
	var t Target
	err := c.do(ctx, http.MethodGet, "http://"+address+"/v1/loaded", nil, &t)
	return t, err
}

// Order implements EngineClient.
func (c *Client) Order(ctx context.Context, address string, o Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encoding order: %w", err)
	}
	return c.do(ctx, http.MethodPost, "http://"+address+"/v1/order", body, nil)
}

// do sends a request and decodes the response into result, unless that is nil.
func (c *Client) do(ctx context.Context, method, url string, body []byte, result any) error {
	const maxResponseBytes = 1 << 20
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("making request: %w", err)
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrFenced
	case resp.StatusCode != http.StatusOK:
		return fmt.Errorf("engine answered status %d, expected 200", resp.StatusCode)
	case result == nil:
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(result)
}
