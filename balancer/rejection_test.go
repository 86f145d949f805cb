package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// TestRejectionCause guards against rejections that an operator can't tell apart: an upstream that
// others have filled, and one that the list shows although it is leaving.
func TestRejectionCause(t *testing.T) {
	const now = 10 * time.Second
	for _, row := range []struct {
		name  string
		share float64
		want  balancer.RejectionCause
	}{
		{"nearly idle", 0.3, balancer.RejectionCauseUnexplained},
		{"less reported than it holds", 0.7, balancer.RejectionCauseHidden},
		{"full", 0.95, balancer.RejectionCauseFull},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			capacity := b.RecordRejection(now, "a2").Capacity
			b = newBalancer()
			usage := balancer.Usage{Upstream: "a2", TokenLayers: int64(row.share * capacity)}
			is.NoErr(b.SetReport(now-200*ms, "other", balancer.Report{Usage: []balancer.Usage{usage}}))
			got := b.RecordRejection(now, "a2")
			is.Equal(got.Cause, row.want)
			is.Equal(got.ReportAge, 200*ms)
			is.Equal(int64(got.Known), usage.TokenLayers)
		})
	}
	t.Run("not listed", func(t *testing.T) {
		is.New(t).True(newBalancer().RecordRejection(now, "gone") == nil)
	})
}
