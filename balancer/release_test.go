package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// TestReleasedLease guards against capacity and streams that a lease takes again after its release, and
// never frees: a path is changed while its stream ends. Its upstreams then count as silent for good.
func TestReleasedLease(t *testing.T) {
	for name, use := range map[string]func(b *balancer.Balancer, l *balancer.Lease){
		"path changed":    func(b *balancer.Balancer, l *balancer.Lease) { b.Repath(ms, l, "a2") },
		"restart weighed": func(b *balancer.Balancer, l *balancer.Lease) { b.ShouldRestartElsewhere(ms, l, "a2") },
		"event recorded":  func(b *balancer.Balancer, l *balancer.Lease) { b.RecordStart(ms, l) },
		"released twice":  func(b *balancer.Balancer, l *balancer.Lease) { b.Release(l) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			b.UpdateUpstreams([]balancer.Upstream{{ID: "a3", Service: "model", Address: "a:4", DataCentre: "a", Card: "large", Layers: balancer.Span{From: 40, To: 80}}}, nil)
			l := acquire(t, b, 0, modelRequirements)
			if name != "event recorded" {
				b.RecordStart(0, l)
			}
			b.Release(l)
			var held *balancer.Lease
			if name == "released twice" {
				held = acquire(t, b, 0, modelRequirements)
			}
			use(b, l)
			if held != nil {
				is.Equal(len(b.Usage(ms).Usage), len(b.Path(held)))
				b.Release(held)
			}
			is.Equal(len(b.Usage(ms).Usage), 0)
			is.Equal(len(b.SilentUpstreams(time.Minute)), 0)
		})
	}
}
