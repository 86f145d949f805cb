package forwarder_test

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/meter"
)

// runControl serves orders and queries of an engine and runs f with a client that sends them over
// the pool of a forwarder.
func runControl(t *testing.T, f func(is *is.I, send func(method, body string) (string, error), opened *int, stop func())) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const address = "10.1.0.1:80"
		n := faker.NewNetwork()
		stop, err := faker.Serve(n.Listen, address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("Keep-Alive", "timeout=10")
			if r.Method == http.MethodPost {
				w.WriteHeader(http.StatusAccepted)
			}
			_, _ = io.WriteString(w, r.RequestURI+" "+string(body))
		}))
		is.NoErr(err)
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Minute }
		b := &balancer.Balancer{Rand: rand.New(rand.NewPCG(1, 1))}
		b.UpdateUpstreams([]balancer.Upstream{{ID: "engine", Address: address, Service: "model", StartedAt: 1}}, nil)
		opened := 0
		pool := &connector.Pool{Dial: n.Dialer("host"), Now: now, RequestIDHeader: "Id", OnDial: func(p connector.Purpose) {
			is.Equal(p, connector.PurposeControl)
			opened++
		}}
		fwd := &forwarder.Forwarder{Balancer: b, Pool: pool, Headers: forwarder.DefaultHeaders, Meter: meter.New(nil, nil), Now: now, Log: zerolog.Nop()}
		client := &http.Client{Transport: &forwarder.EngineTransport{Forwarder: fwd}}
		send := func(method, body string) (string, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 150*time.Millisecond)
			defer cancel()
			r, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/api/x?y=z", strings.NewReader(body))
			is.NoErr(err)
			resp, err := client.Do(r)
			if err != nil {
				return "", err
			}
			defer resp.Body.Close()
			answer, err := io.ReadAll(resp.Body)
			return resp.Status + " " + string(answer), err
		}
		f(is, send, &opened, stop)
		pool.Close()
	})
}

// TestControlConnections guards against a new connection for each query, and against an order over a
// connection that may have been closed.
func TestControlConnections(t *testing.T) {
	t.Run("queries share one", func(t *testing.T) {
		runControl(t, func(is *is.I, send func(method, body string) (string, error), opened *int, stop func()) {
			defer stop()
			for range 5 {
				answer, err := send(http.MethodGet, "")
				is.NoErr(err)
				is.Equal(answer, "200 OK /api/x?y=z ")
				time.Sleep(time.Second)
			}
			is.Equal(*opened, 1)
		})
	})
	t.Run("orders need a fresh one", func(t *testing.T) {
		runControl(t, func(is *is.I, send func(method, body string) (string, error), opened *int, stop func()) {
			defer stop()
			for range 2 {
				answer, err := send(http.MethodPost, "{}")
				is.NoErr(err)
				is.Equal(answer, "202 Accepted /api/x?y=z {}")
			}
			is.Equal(*opened, 1)
			time.Sleep(time.Second)
			_, err := send(http.MethodPost, "{}")
			is.NoErr(err)
			is.Equal(*opened, 2)
		})
	})
	t.Run("engine stops", func(t *testing.T) {
		runControl(t, func(is *is.I, send func(method, body string) (string, error), _ *int, stop func()) {
			_, err := send(http.MethodGet, "")
			is.NoErr(err)
			stop()
			_, err = send(http.MethodGet, "")
			is.True(err != nil)
		})
	})
}
