package limiter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// window is the time over which requests are counted against a limit.
const window = 4 * time.Second

// allowed returns the most requests that the specification allows in a window.
func allowed(perSecond float64) int { return int(1.5*perSecond*window.Seconds() + 5) }

// maxInWindow returns the highest number of sorted times within a window.
func maxInWindow(times []time.Duration) int {
	out, first := 0, 0
	for i, at := range times {
		for at-times[first] > window {
			first++
		}
		out = max(out, i-first+1)
	}
	return out
}

// simulate has requests arrive at random at hosts that share a limit. It returns when requests
// were sent.
func simulate(hosts int, arrivals float64, length time.Duration, share func(place, hosts int) Share) []time.Duration {
	rnd := rand.New(rand.NewPCG(31, uint64(hosts)))
	buckets := make([]Bucket, hosts)
	var out []time.Duration
	for now := time.Duration(0); now < length; {
		now += time.Duration(rnd.ExpFloat64() / arrivals * float64(time.Second))
		place := rnd.IntN(hosts)
		s := share(place, hosts)
		if buckets[place].CanTake(now, s, false) {
			buckets[place].Take(now, s)
			out = append(out, now)
		}
	}
	return out
}

// TestShareOf guards against shares that together exceed the limit, or are so small that most of
// it stays unused.
func TestShareOf(t *testing.T) {
	for _, perSecond := range []float64{0, 0.05, 0.3, 1.9, 2, 7.5, 40, 1000} {
		for _, hosts := range []int{1, 2, 4, 8, 24, 119, 300} {
			t.Run(fmt.Sprintf("%g a second over %d hosts", perSecond, hosts), func(t *testing.T) {
				is := is.New(t)
				share := func(place, hosts int) Share { return ShareOf(perSecond, place, hosts) }
				sum, burst := 0.0, 0.0
				for place := range hosts {
					sum += share(place, hosts).PerSecond
					burst += share(place, hosts).Burst
				}
				rate := max(perSecond, minRate)
				is.True(sum > 0.999*rate && sum < 1.001*rate)
				// Hosts that disagree on which hosts there are leave some of it unused.
				is.True(sum*window.Seconds()+burst <= float64(allowed(perSecond)))
				sent := simulate(hosts, 20*rate, 100*time.Second, share)
				is.True(maxInWindow(sent) <= allowed(perSecond))
				is.True(float64(len(sent)) <= 100*rate+burst)
			})
		}
	}
}

// TestBucketRest guards against a host that saves up its share while idle.
func TestBucketRest(t *testing.T) {
	is := is.New(t)
	s := Share{PerSecond: 2, Burst: 2}
	b := NewBucket(0)
	sent := 0
	for b.CanTake(time.Hour, s, true) {
		b.Take(time.Hour, s)
		sent++
	}
	is.Equal(sent, 2)
	is.True(!b.CanTake(time.Hour+400*time.Millisecond, s, true))
	is.True(b.CanTake(time.Hour+600*time.Millisecond, s, true))
	is.True(!b.CanTake(time.Hour+600*time.Millisecond, s, false)) // the last one is kept for urgent requests
	wait, ok := b.Wait(time.Hour+600*time.Millisecond, s)
	is.True(ok)
	is.True(wait > 300*time.Millisecond && wait <= 500*time.Millisecond)
}
