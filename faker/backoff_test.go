package faker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// TestBackoffViolations guards against a check that counts requests of a host which was never asked for a backoff,
// or that misses those of one that was.
func TestBackoffViolations(t *testing.T) {
	at := func(ms int) time.Time {
		return time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC).Add(time.Duration(ms) * time.Millisecond)
	}
	for name, tc := range map[string]struct {
		// lost counts the first rejections that are lost on the way.
		lost, want int
	}{
		"each rejection arrives":       {0, 4},
		"the first is lost":            {1, 4},
		"all but those late are lost":  {4, 0},
		"all rejections but none":      {8, 0},
		"the second half is delivered": {3, 3},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := &faker.Stage{Delivered: func(one *faker.ReceivedRequest) bool { return !one.At.Before(at(tc.lost * 300)) }}
			for n := range 8 {
				s.AddReceived(faker.ReceivedRequest{RequestID: "r", From: "host", Backoff: 1700 * time.Millisecond, At: at(n * 300)})
			}
			most := 0
			for _, v := range s.BackoffViolations(func(one *faker.ReceivedRequest) string { return one.From }) {
				most = max(most, v.Received)
				is.Equal(len(v.Requests), v.Received)
			}
			is.Equal(most, tc.want)
		})
	}
}
