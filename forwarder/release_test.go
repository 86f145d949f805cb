package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/tracker"
)

// deafCaller is a caller that has reset its connection: writes to it fail.
type deafCaller struct{ *httptest.ResponseRecorder }

func (deafCaller) Write([]byte) (int, error) { return 0, errors.New("connection reset by caller") }

// fixedTable is a TableSource with one table.
type fixedTable struct{ table *matcher.Table }

func (t fixedTable) Table() *matcher.Table { return t.table }
func (fixedTable) Age() time.Duration      { return 0 }

// TestReleaseOnReset guards against upstreams that look fuller with each caller that resets its
// connection while a stream is written to it.
func TestReleaseOnReset(t *testing.T) {
	is := is.New(t)
	up := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(DefaultHeaders.Stamp, "stamp")
		w.Header().Set(DefaultHeaders.RequestID, r.Header.Get(DefaultHeaders.RequestID))
		_, _ = w.Write([]byte("id: 1\ndata: x\n\n"))
	}))
	defer up.Close()
	route := matcher.Route{Host: "h", Prefix: "/stream/", Kind: matcher.KindStreaming, MaxAttempts: 1, Splits: []matcher.Split{{Service: "model", Weight: 1}}}
	cfg := &matcher.Configuration{Version: 1, Routes: []matcher.Route{route}, Services: []matcher.Service{{Name: "model"}}}
	table := matcher.New(cfg)
	b := &balancer.Balancer{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 1))}
	b.Configure(table.Services)
	b.UpdateUpstreams([]balancer.Upstream{{ID: "model-a", Address: strings.TrimPrefix(up.URL, "http://"), Service: "model", DataCentre: "a", StartedAt: 1}}, nil)
	start := time.Now()
	now := func() time.Duration { return time.Since(start) + time.Second }
	budget, limits := &admitter.WindowRetryBudget{Length: time.Second}, new(admitter.StreamLimiters)
	f := &Forwarder{
		Tables: fixedTable{table}, Balancer: b, Pool: &connector.Pool{Now: now, RequestIDHeader: DefaultHeaders.RequestID}, Headers: DefaultHeaders,
		RetryBudget:    func(string) *admitter.WindowRetryBudget { return budget },
		StreamLimiters: func(string) *admitter.StreamLimiters { return limits },
		Suspects:       new(tracker.Suspects), Now: now, Meter: meter.New(nil, nil), Log: zerolog.Nop(),
	}
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/stream/1", strings.NewReader("x"))
	r.Host = "h"
	r.Header.Set(DefaultHeaders.RequestID, "r")
	func() {
		defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
		f.ServeHTTP(deafCaller{httptest.NewRecorder()}, r)
	}()
	is.Equal(b.InFlight("model-a"), 0)
}
