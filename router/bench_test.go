package router_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/tracker"
)

// newConfiguration declares n engines in eight data centres, each with one of four layer ranges.
func newConfiguration(n int) *builder.Configuration {
	cfg := &builder.Configuration{
		Models:       []builder.Model{{Name: "m", Version: "1", Layers: layers}},
		Accelerators: []builder.Accelerator{{Name: "k", StepMs: 1, LayerMs: 0.05, Batch: 16}},
	}
	for i := range n {
		cfg.Upstreams = append(cfg.Upstreams, builder.Upstream{
			Name: fmt.Sprintf("engine-%d", i), Address: fmt.Sprintf("10.1.%d.%d:80", i/250, i%250),
			DataCentre: fmt.Sprint("dc", i%8), Model: "m", Accelerator: "k", FirstLayer: i % 4 * 8, LastLayer: i%4*8 + 7,
		})
	}
	cfg.Pipelines = []builder.Pipeline{{Name: pipeline, Model: "m", Upstreams: builder.Names(cfg.Upstreams), TokenGapMs: 48}}
	return cfg
}

func newTracker(n int) *tracker.Tracker {
	t := &tracker.Tracker{
		Policy: picker.Cheapest{Steepness: 1, Jitter: 0.1, PreferredFactor: 0.7}, Rand: rand.New(rand.NewPCG(1, 1)),
		Host: "h", HostCount: func() int { return 4 },
	}
	t.Configure(newConfiguration(n))
	return t
}

// BenchmarkRoute measures choosing and releasing one route among n upstreams.
func BenchmarkRoute(b *testing.B) {
	for _, n := range []int{8, 40, 100, 1000, 10000} {
		t := newTracker(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			now := time.Now()
			r := tracker.Request{ID: "r", Pipeline: pipeline, From: "dc0", Prefix: 7}
			for b.Loop() {
				route := t.Acquire(now, r)
				names := make([]string, len(route))
				for i, h := range route {
					names[i] = h.Upstream
				}
				t.Release(now, names, r.ID)
			}
		})
	}
}

// BenchmarkConfigure measures decoding a configuration of n upstreams and putting it into force in
// a tracker: the time, the size of the text, and the heap that it keeps.
func BenchmarkConfigure(b *testing.B) {
	for _, n := range []int{40, 1000, 10000} {
		src, err := builder.Canonical(newConfiguration(n))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var t *tracker.Tracker
			var cfg *builder.Configuration
			before := heapBytes()
			for b.Loop() {
				if cfg, err = builder.Decode(src); err != nil {
					b.Fatal(err)
				}
				t = &tracker.Tracker{Host: "h"}
				t.Configure(cfg)
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "heapB/upstream")
			b.ReportMetric(float64(len(src)), "textB")
			runtime.KeepAlive(t)
			runtime.KeepAlive(cfg)
		})
	}
}

func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkBound measures computing the throughput bound over n upstreams of one kind in eight
// data centres.
func BenchmarkBound(b *testing.B) {
	for _, n := range []int{8, 100, 1000, 10000} {
		t := newTracker(n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := t.ThroughputBound(time.Now(), pipeline, true); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
