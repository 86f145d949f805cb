package launcher_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/forwarder"
)

// refusedWaits makes the upstreams of desk reject bookings, sends some at once, each of which leaves
// the caller 20 s, and returns for how long each caller is asked to wait.
func (b *testbed) refusedWaits(count int) []time.Duration {
	b.t.Helper()
	is := is.New(b.t)
	b.injectFaults("desk", faults(faker.StageFaultOverloaded, 20*count)...)
	waits := make([]time.Duration, count)
	var wg sync.WaitGroup
	for i := range count {
		wg.Go(func() {
			r := b.request(http.MethodPost, "/book/1", fmt.Sprint("r", i), func(r *http.Request) {
				r.Header.Set(forwarder.DefaultHeaders.DeadlineMs, "20000")
			})
			is.Equal(r.status, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
			is.NoErr(err)
			waits[i] = time.Duration(seconds * float64(time.Second))
		})
	}
	wg.Wait()
	return waits
}

// faults returns a fault some times.
func faults(f faker.StageFault, n int) []faker.StageFault {
	out := make([]faker.StageFault, n)
	for i := range out {
		out[i] = f
	}
	return out
}

// TestRetryAfterByRank: with several ranks, callers that are refused at once are asked to return at
// times that are spread over what they wait; with one rank, within 0.8 to 1.6 s.
func TestRetryAfterByRank(t *testing.T) {
	for _, c := range []struct {
		priority        int
		shortest, least time.Duration
		longest         time.Duration
	}{
		{0, 790 * time.Millisecond, 0, 1610 * time.Millisecond},
		{2, 790 * time.Millisecond, 3 * time.Second, 20 * time.Second / 3},
	} {
		t.Run(fmt.Sprint("priority ", c.priority), func(t *testing.T) {
			runHost(t, 0, func(b *testbed) {
				is := is.New(t)
				b.setPriority("/book/", c.priority)
				longest := time.Duration(0)
				for _, w := range b.refusedWaits(100) {
					is.True(w >= c.shortest)
					is.True(w <= c.longest)
					longest = max(longest, w)
				}
				is.True(longest >= c.least)
			})
		})
	}
}

// TestRepeatRefused: a caller that repeats a refused request before its time must not be sent to
// upstreams while they have no capacity for others, and must be once they do.
func TestRepeatRefused(t *testing.T) {
	for _, c := range []struct {
		priority int
		refused  bool
	}{{0, false}, {2, true}} {
		t.Run(fmt.Sprint("priority ", c.priority), func(t *testing.T) {
			runHost(t, 0, func(b *testbed) {
				is := is.New(t)
				b.setPriority("/book/", c.priority)
				b.injectFaults("desk", faults(faker.StageFaultOverloaded, 2)...)
				first := b.request(http.MethodPost, "/book/1", "first", nil)
				b.assertRetryLater(first)
				b.injectFaults("desk")
				again := b.request(http.MethodPost, "/book/1", "again", nil)
				is.Equal(strings.HasPrefix(again.body, "repeated:"), c.refused)
				is.Equal(b.runs("again") == 0, c.refused)
				if c.refused {
					b.assertRetryLater(again)
				}
				is.Equal(b.request(http.MethodPost, "/book/2", "other", nil).status, http.StatusOK)
				time.Sleep(600 * time.Millisecond)
				is.Equal(b.request(http.MethodPost, "/book/1", "later", nil).status, http.StatusOK)
			})
		})
	}
}
