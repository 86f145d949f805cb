package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/meter"
)

// engineClient returns a client for orders and queries to engines that are dialled by dial.
func engineClient(dial func(context.Context, string, string) (net.Conn, error)) *http.Client {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Minute }
	fwd := &forwarder.Forwarder{
		Balancer: &balancer.Balancer{Rand: rand.New(rand.NewPCG(1, 1))}, Pool: &connector.Pool{Dial: dial, Now: now, RequestIDHeader: "Id"},
		Headers: forwarder.DefaultHeaders, Meter: meter.New(nil, nil), Now: now, Log: zerolog.Nop(),
	}
	return &http.Client{Transport: &forwarder.EngineTransport{Forwarder: fwd}}
}

// TestStatusBelow100OfEngine guards against taking a response with such a status, or what follows it, for the answer to an
// order or a query.
func TestStatusBelow100OfEngine(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, status := range []string{"000", "001", "099"} {
			for name, rest := range map[string]string{"body": "Content-Length: 2\r\n\r\n{}", "followed": "\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"} {
				t.Run(fmt.Sprintf("%s, %s, %s", method, status, name), func(t *testing.T) {
					is := is.New(t)
					client := engineClient(func(context.Context, string, string) (net.Conn, error) {
						near, far := net.Pipe()
						go func() {
							defer far.Close()
							if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
								_, _ = io.WriteString(far, "HTTP/1.1 "+status+" No\r\n"+rest)
							}
						}()
						return near, nil
					})
					r, err := http.NewRequestWithContext(t.Context(), method, "http://10.1.0.1:80/api/x", http.NoBody)
					is.NoErr(err)
					resp, err := client.Do(r)
					if err == nil {
						resp.Body.Close()
					}
					var invalid *connector.InvalidHeadError
					is.True(errors.As(err, &invalid))
				})
			}
		}
	}
}
