package balancer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// over is the share of some requests whose path goes over an upstream; none of them
// ends meanwhile.
func over(t *testing.T, b *balancer.Balancer, now time.Duration, id string) float64 {
	t.Helper()
	const requests = 60
	n := 0
	for range requests {
		l := acquire(t, b, now, need)
		if slices.ContainsFunc(b.Path(l), func(h balancer.Hop) bool { return h.ID == id }) {
			n++
		}
	}
	return float64(n) / requests
}

// TestSlowEngine guards against a slow engine that is given as much as fast ones.
func TestSlowEngine(t *testing.T) {
	const slow = "5-1"
	t.Run("reported", func(t *testing.T) {
		is := is.New(t)
		b := hosts(1)[0]
		is.True(b.SetPace(time.Second, slow, 12))
		is.True(over(t, b, 2*time.Second, slow) <= 1.0/30)
	})
	t.Run("heard", func(t *testing.T) {
		is := is.New(t)
		all := hosts(2)
		is.True(all[0].SetPace(time.Second, slow, 12))
		share(time.Second, all)
		is.True(over(t, all[1], 2*time.Second, slow) <= 1.0/30)
	})
	t.Run("forgotten", func(t *testing.T) {
		is := is.New(t)
		b := hosts(1)[0]
		is.True(b.SetPace(time.Second, slow, 12))
		is.True(over(t, b, 20*time.Second, slow) > 1.0/6)
	})
}
