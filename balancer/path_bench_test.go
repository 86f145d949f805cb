package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// BenchmarkAcquire measures one choice of a path while every other host reports requests in
// flight over every upstream.
func BenchmarkAcquire(b *testing.B) {
	for _, size := range []struct{ upstreams, hosts int }{{40, 4}, {100, 25}, {200, 25}, {205, 119}, {205, 300}, {1000, 100}, {3000, 300}} {
		b.Run(fmt.Sprintf("%d upstreams %d hosts", size.upstreams, size.hosts), func(b *testing.B) {
			const ranges = 10
			bal := &balancer.Balancer{Host: "h", DataCentre: "dc0", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(1, 1))}
			bal.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: engine()}})
			var list []balancer.Upstream
			var usage []balancer.Usage
			for i := range size.upstreams {
				id, at := fmt.Sprint("u", i), i%ranges
				list = append(list, balancer.Upstream{ID: id, Service: "model", Address: id, DataCentre: fmt.Sprint("dc", i/ranges%3), Card: "slow", Layers: balancer.Span{From: 8 * at, To: 8 * (at + 1)}})
				usage = append(usage, balancer.Usage{Upstream: id, Requests: min(1, 119/int64(size.hosts)), TokenLayers: 24000 / int64(size.hosts)})
			}
			bal.UpdateUpstreams(list, nil)
			bal.SetHosts(hostDataCentres(size.hosts))
			for h := range size.hosts - 1 {
				if err := bal.SetReport(time.Second, fmt.Sprint("h", h), balancer.Report{Hosts: map[string]int{"dc0": 1}, Usage: usage}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				l, reason := bal.Acquire(time.Second, modelRequirements)
				if reason != balancer.ReasonNone {
					b.Fatal(reason)
				}
				bal.Release(l)
			}
		})
	}
}

// hostDataCentres returns n hosts spread over three data centres.
func hostDataCentres(n int) map[string]string {
	out := make(map[string]string)
	for i := range n {
		out[fmt.Sprint("host", i)] = fmt.Sprint("dc", i%3)
	}
	return out
}
