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

// room is a number of places.
type room struct{ free int }

func (r *room) try() (int, bool) {
	if r.free == 0 {
		return 0, false
	}
	r.free--
	return r.free, true
}

// TestOrder has requests wait for one place after another. Higher priorities go
// first; among equals, workspaces that were served less.
func TestOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{Queued: 100}
		r := new(room)
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

// TestRefusedAtOnce. A queue drains one place a second, and a request that could
// start only after its deadline comes. It was let wait until the deadline and
// then refused; it must hear at once, and when to come back.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{Queued: 100}
		r := &room{free: 20}
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

// TestGivenUp. A caller goes away while its request waits. The place that comes
// later must go to the next one.
func TestGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{Queued: 100}
		r := new(room)
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

// TestDeadlineByContext. The caller's context ends by its deadline, a moment
// before the queue's own timer. The refusal said "canceled"; nobody had gone
// away.
func TestDeadlineByContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Admitter[int]{Queued: 100}
		deadline := time.Now().Add(time.Second)
		ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(-time.Millisecond))
		defer cancel()
		_, refusal := a.Acquire(ctx, time.Now(), Ticket{Group: "g", Deadline: deadline}, new(room).try)
		is.New(t).Equal(refusal.Reason, ReasonDeadline)
	})
}

// TestShares measures a limit of 100 requests a second over four hosts that
// know the mean demand: what is let through of even and of skewed callers.
func TestShares(t *testing.T) {
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
			through := shares(row.demands, 100)
			t.Logf("%v requests a second let through of a limit of 100", math.Round(through))
			is.New(t).True(through >= row.least && through <= row.most)
		})
	}
}

// shares plays 30 seconds and returns what was let through a second in the last
// 20 of them.
func shares(demands []float64, limit float64) float64 {
	const step = 10 * time.Millisecond
	now := time.Unix(0, 0)
	hosts := make([]*Limits, len(demands))
	for i := range hosts {
		hosts[i] = new(Limits)
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
			share(now, hosts)
		}
	}
	return float64(passed) / 20
}

func share(now time.Time, hosts []*Limits) {
	var mean float32
	var list uint32
	for _, h := range hosts {
		l, own := h.Measure(now)
		list = l
		mean += own[0] / float32(len(hosts))
	}
	for _, h := range hosts {
		h.Share(now, len(hosts), list, []float32{mean})
	}
}
