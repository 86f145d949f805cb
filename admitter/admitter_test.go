package admitter

import (
	"context"
	"fmt"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/builder"
)

// slots is a number of free slots.
type slots struct{ free int }

func (r *slots) try() (int, bool) {
	if r.free == 0 {
		return 0, false
	}
	r.free--
	return r.free, true
}

// TestPriorityAndFairness checks that higher priorities are served first and, among equals, the
// requests of workspaces that were served less.
func TestPriorityAndFairness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{MaxQueued: 100}
		r := new(slots)
		var got []string
		enter := func(name, workspace string, priority int) {
			go func() {
				tk := Ticket{Workspace: workspace, Group: "g", Priority: priority, Cost: 10, Deadline: time.Now().Add(time.Hour)}
				if _, refusal := a.Acquire(context.Background(), time.Now(), tk, r.try); refusal == nil {
					got = append(got, name)
				}
			}()
			synctest.Wait()
		}
		for i := range 3 {
			enter(fmt.Sprint("big ", i), "big", 5)
		}
		enter("small 0", "small", 5)
		enter("high 0", "big", 8)
		for range 5 {
			r.free = 1
			a.Wake(time.Now(), "g")
			synctest.Wait()
			time.Sleep(time.Second)
		}
		is := is.New(t)
		is.Equal(got[0], "high 0")
		is.Equal(len(got), 5)
		is.True(slices.Index(got, "small 0") >= 0)
	})
}

// TestRefusalWithoutWaiting guards against letting a request wait for its deadline when a queue that
// grants one slot a second can't reach it before. The refusal must come at once, with RetryAfter.
func TestRefusalWithoutWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{MaxQueued: 100}
		r := &slots{free: 20}
		ask := func(patience time.Duration) (time.Duration, *Refusal) {
			start := time.Now()
			_, refusal := a.Acquire(context.Background(), start, Ticket{Group: "g", Deadline: start.Add(patience)}, r.try)
			return time.Since(start), refusal
		}
		for range 20 {
			_, refusal := ask(time.Minute)
			is.New(t).True(refusal == nil)
			time.Sleep(time.Second)
		}
		for range 10 {
			go ask(time.Hour)
			synctest.Wait()
		}
		took, refusal := ask(3 * time.Second)
		is := is.New(t)
		is.Equal(took, time.Duration(0))
		is.Equal(refusal.Reason, ReasonDeadline)
		is.True(refusal.NotRun)
		is.True(refusal.RetryAfter >= 3*time.Second)
		r.free = 10
		a.WakeAll(time.Now())
		synctest.Wait()
	})
}

// TestCanceledWaiter guards against granting a slot to a request whose caller disconnected while it
// waited. The next one must get it.
func TestCanceledWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{MaxQueued: 100}
		r := new(slots)
		ctx, cancel := context.WithCancel(context.Background())
		tk := Ticket{Group: "g", Deadline: time.Now().Add(time.Hour)}
		gone, stays := make(chan *Refusal, 1), make(chan *Refusal, 1)
		go func() {
			_, refusal := a.Acquire(ctx, time.Now(), tk, r.try)
			gone <- refusal
		}()
		synctest.Wait()
		go func() {
			_, refusal := a.Acquire(context.Background(), time.Now(), tk, r.try)
			stays <- refusal
		}()
		synctest.Wait()
		cancel()
		is := is.New(t)
		is.Equal((<-gone).Reason, ReasonCanceled)
		r.free = 1
		a.Wake(time.Now(), "g")
		is.True(<-stays == nil)
		is.Equal(a.Waiting()["g"], 0)
	})
}

// TestContextDeadlineReason guards against the reason "canceled", which means that the caller
// disconnected, when the context's deadline passes just before the queue's own timer.
func TestContextDeadlineReason(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{MaxQueued: 100}
		deadline := time.Now().Add(time.Second)
		ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-time.Millisecond))
		defer cancel()
		_, refusal := a.Acquire(ctx, time.Now(), Ticket{Group: "g", Deadline: deadline}, new(slots).try)
		is.New(t).Equal(refusal.Reason, ReasonDeadline)
	})
}

// TestRateLimitShares measures how many requests pass a limit of 100 a second over four hosts that
// know the mean demand, with even and with skewed load.
func TestRateLimitShares(t *testing.T) {
	for _, row := range []struct {
		name    string
		demands []float64
		least   float64
		most    float64
	}{
		{"even, over the limit", []float64{50, 50, 50, 50}, 95, 110},
		{"even, under it", []float64{20, 20, 20, 20}, 79, 81},
		{"all at one host", []float64{200, 0, 0, 0}, 90, 110},
		{"half at one", []float64{100, 40, 30, 30}, 90, 115},
	} {
		t.Run(row.name, func(t *testing.T) {
			through := simulateShares(row.demands, 100)
			t.Logf("%v requests a second passed a limit of 100", math.Round(through))
			is.New(t).True(through >= row.least && through <= row.most)
		})
	}
}

// simulateShares simulates 30 seconds and returns the requests a second that passed in the last 20
// of them.
func simulateShares(demands []float64, limit float64) float64 {
	const step = 10 * time.Millisecond
	now := time.Unix(0, 0)
	hosts := make([]*RateLimiter, len(demands))
	for i := range hosts {
		hosts[i] = new(RateLimiter)
		hosts[i].Configure(now, len(hosts), []builder.Workspace{{Name: "w", RequestsPerSecond: limit}})
	}
	owed := make([]float64, len(demands))
	passed := 0
	for tick := range 3000 {
		now = now.Add(step)
		for i, d := range demands {
			for owed[i] += d * step.Seconds(); owed[i] >= 1; owed[i]-- {
				if _, ok := hosts[i].Allow(now, "w"); ok && tick >= 1000 {
					passed++
				}
			}
		}
		if tick%100 == 99 {
			exchangeShares(now, hosts)
		}
	}
	return float64(passed) / 20
}

// exchangeShares gives every host the mean demand, as gossip does.
func exchangeShares(now time.Time, hosts []*RateLimiter) {
	var mean float32
	var list uint32
	for _, h := range hosts {
		l, own := h.MeasureDemand(now)
		list = l
		mean += own[0] / float32(len(hosts))
	}
	for _, h := range hosts {
		h.SetShares(now, len(hosts), list, []float32{mean})
	}
}
