package runner_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/runner"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
	"github.com/sardineward/sardineward/watcher"
)

// instantEngine answers at once, so that the benchmarks measure the router alone.
type instantEngine struct{}

func (instantEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_ = json.NewEncoder(w).Encode(tracker.Load{Incarnation: 1})
		return
	}
	g := new(streamer.GenerateRequest)
	if json.NewDecoder(r.Body).Decode(g) != nil {
		return
	}
	out := bufio.NewWriterSize(w, 16<<10)
	for i := range g.MaxTokens {
		finish := ""
		if i == g.MaxTokens-1 {
			finish = `,"finish":"length"`
		}
		fmt.Fprintf(out, `{"requestId":"%s","attempt":%d,"index":%d,"text":"token ","spans":[{"upstream":"e","first":0,"last":7}]%s}`+"\n", g.RequestID, g.Attempt, i, finish)
	}
	_ = out.Flush()
}

// startLoopback starts a host with an instantEngine behind it on loopback, and returns the
// addresses of both.
func startLoopback(b *testing.B) (caller, engine string) {
	b.Helper()
	listen := func(string) (net.Listener, error) {
		return new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	}
	serve := func(h http.Handler) string {
		l, err := listen("")
		if err != nil {
			b.Fatal(err)
		}
		s := &http.Server{Handler: h}
		go func() { _ = s.Serve(l) }()
		b.Cleanup(func() { s.Close() })
		return l.Addr().String()
	}
	engine = serve(instantEngine{})
	platform := new(faker.Platform)
	cfg := &builder.Configuration{
		Models:       []builder.Model{{Name: "m", Version: "1", Layers: 8}},
		Accelerators: []builder.Accelerator{{Name: "k", LayerMs: 0.001, Batch: 64}},
		Upstreams:    []builder.Upstream{{Name: "e", Address: engine, DataCentre: "x", Model: "m", Accelerator: "k", LastLayer: 7}},
		Pipelines:    []builder.Pipeline{{Name: "p", Model: "m", Upstreams: []string{"e"}, TokenGapMs: 48}},
		Workspaces:   []builder.Workspace{{Name: "w", KeyHashes: []string{builder.HashKey(key)}, Priority: 5, Pipelines: []string{"p"}}},
	}
	src, err := builder.Canonical(cfg)
	if err != nil {
		b.Fatal(err)
	}
	if _, err := watcher.Submit(context.Background(), platform, src, 0, "s", "b"); err != nil {
		b.Fatal(err)
	}
	caller = freeAddress(b)
	settings := &loader.Settings{
		Host: "h", DataCentre: "x", Platform: serve(platform.Handler()),
		Callers: loader.Endpoint{Listen: caller}, Peer: loader.Endpoint{Listen: "127.0.0.1:0"}, Admin: loader.Endpoint{Listen: "127.0.0.1:0"},
	}
	if err := settings.FillDefaults(); err != nil {
		b.Fatal(err)
	}
	h := &runner.Host{Settings: settings, Log: zerolog.Nop()}
	if err := h.Build(); err != nil {
		b.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- h.Run(context.Background(), nil) }()
	b.Cleanup(func() {
		h.Kill()
		<-done
	})
	for !h.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(1200 * time.Millisecond)
	return caller, engine
}

func freeAddress(b *testing.B) string {
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func post(b *testing.B, url, body string) {
	req, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK || bytes.Contains(out, []byte("event: error")) {
		b.Fatalf("status %d, %v, %.200s", resp.StatusCode, err, out)
	}
}

// BenchmarkAdded measures the latency that the router adds to a request of one token: the
// difference between routed and direct requests of the medians and of the 99th percentiles.
func BenchmarkAdded(b *testing.B) {
	caller, engine := startLoopback(b)
	routed := `{"model":"p","prompt":"x","max_tokens":1,"stream":true}`
	direct := `{"requestId":"r","attempt":1,"model":"m","version":"1","maxTokens":1,"prompt":"x","route":[{"upstream":"e","last":7}]}`
	var with, without []time.Duration
	for b.Loop() {
		start := time.Now()
		post(b, "http://"+caller+"/v1/completions", routed)
		middle := time.Now()
		post(b, "http://"+engine+"/v1/generate", direct)
		with, without = append(with, middle.Sub(start)), append(without, time.Since(middle))
	}
	slices.Sort(with)
	slices.Sort(without)
	percentile := func(d []time.Duration, q int) float64 { return float64(d[len(d)*q/100].Microseconds()) }
	b.ReportMetric(percentile(with, 50)-percentile(without, 50), "p50added-µs")
	b.ReportMetric(percentile(with, 99)-percentile(without, 99), "p99added-µs")
}

// BenchmarkRelay measures the tokens per second that one host relays from engine to caller. With
// -cpu 1 the host, the caller and the engine share one core.
func BenchmarkRelay(b *testing.B) {
	const tokens = 10000
	caller, _ := startLoopback(b)
	body := fmt.Sprintf(`{"model":"p","prompt":"x","max_tokens":%d,"stream":true}`, tokens)
	b.ReportAllocs()
	for b.Loop() {
		post(b, "http://"+caller+"/v1/completions", body)
	}
	b.ReportMetric(tokens*float64(b.N)/b.Elapsed().Seconds(), "tokens/s")
}
