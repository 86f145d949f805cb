package balancer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// shareOver returns the share of some concurrent requests whose path goes over an upstream.
func shareOver(t *testing.T, b *balancer.Balancer, now time.Duration, id string) float64 {
	t.Helper()
	const requests = 60
	n := 0
	for range requests {
		l := acquire(t, b, now, modelRequirements)
		if slices.ContainsFunc(b.Path(l), func(h balancer.Hop) bool { return h.ID == id }) {
			n++
		}
	}
	return float64(n) / requests
}

// TestSlowEngine guards against a slow engine that gets as much work as fast ones.
func TestSlowEngine(t *testing.T) {
	const slow = "5-1"
	t.Run("reported to this host", func(t *testing.T) {
		is := is.New(t)
		b := newHosts(1)[0]
		is.True(b.SetPace(time.Second, slow, 12))
		is.True(shareOver(t, b, 2*time.Second, slow) <= 1.0/30)
	})
	t.Run("reported by another host", func(t *testing.T) {
		is := is.New(t)
		all := newHosts(2)
		is.True(all[0].SetPace(time.Second, slow, 12))
		exchangeReports(time.Second, all)
		is.True(shareOver(t, all[1], 2*time.Second, slow) <= 1.0/30)
	})
	t.Run("expired report", func(t *testing.T) {
		is := is.New(t)
		b := newHosts(1)[0]
		is.True(b.SetPace(time.Second, slow, 12))
		is.True(shareOver(t, b, 20*time.Second, slow) > 1.0/6)
	})
}
