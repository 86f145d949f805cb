package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
)

const ms = time.Millisecond

const (
	// capacity is how many requests a service runs at a time.
	capacity = 1250
	deadline = 20 * time.Second
)

// newReserve returns a reserve at a service with 500 requests a second of rank 0.
func newReserve() *admitter.RankReserve {
	return &admitter.RankReserve{MoreUrgent: func(_ time.Duration, _ string, rank int) float64 { return 500 * float64(min(rank, 1)) }}
}

// TestKeepFree replays a less urgent rank beside 500 more urgent requests a second.
func TestKeepFree(t *testing.T) {
	t.Run("bounds", func(t *testing.T) {
		is, r := is.New(t), newReserve()
		is.Equal(r.KeepFree(0, "model", 0, capacity, deadline), 0.0) // the most urgent rank leaves nothing
		is.Equal(r.KeepFree(0, "model", 1, 0, deadline), 0.0)        // the capacity is not known
		is.Equal(r.KeepFree(0, "model", 1, 1, deadline), 0.5)
		free := r.KeepFree(0, "model", 1, capacity, deadline)
		is.True(free > 0.05 && free < 0.2)
		r.RecordReleased(0, "model", 20*ms)
		is.True(r.KeepFree(0, "model", 1, capacity, deadline) < free/10) // places become free soon
	})
	t.Run("returns beyond what was promised", func(t *testing.T) {
		is, r := is.New(t), newReserve()
		is.Equal(r.KeepFreeForNew(0, "model", 0, 0), 0.0) // the capacity is not known
		is.Equal(r.KeepFreeForNew(0, "model", 0, capacity), r.KeepFree(0, "model", 1, capacity, deadline))
		for range 100 {
			r.RecordRefused(time.Second, "model", 0)
		}
		is.True(r.KeepFreeForNew(20*time.Second, "model", 0, capacity) > 0.05) // also where they stand still
	})
	t.Run("no demand of more urgent requests", func(t *testing.T) {
		is, r := is.New(t), newReserve()
		r.RecordRefused(0, "model", 0)
		r.MoreUrgent = func(time.Duration, string, int) float64 { return 0 }
		is.Equal(r.KeepFree(0, "model", 1, capacity, deadline), 0.0)
	})
	t.Run("refusals of more urgent requests", func(t *testing.T) {
		is, r := is.New(t), newReserve()
		before := r.KeepFree(0, "model", 1, capacity, deadline)
		for range 5 {
			r.RecordRefused(0, "other", 0)
		}
		is.Equal(r.KeepFree(0, "model", 1, capacity, deadline), before)
		for range 5 {
			r.RecordRefused(0, "model", 0)
		}
		is.True(r.KeepFree(0, "model", 1, capacity, deadline) > 1.2*before)
		after := r.KeepFree(time.Minute, "model", 1, capacity, deadline)
		is.True(after > 0.99*before && after < 1.01*before)
		for range 100 {
			r.RecordAdmitted(time.Minute, "model", 0)
		}
		less := r.KeepFree(time.Minute, "model", 1, capacity, deadline)
		is.True(less >= 0.25*before && less < 0.95*before)
	})
}

// TestKeepFreeInBurst replays a burst that all hosts admit before they see each other's reports, and a
// rank that is refused for a third of its deadline.
func TestKeepFreeInBurst(t *testing.T) {
	t.Run("growth at other hosts", func(t *testing.T) {
		is, r := is.New(t), newReserve()
		r.Hosts = func() int { return 24 }
		before := r.KeepFree(0, "model", 1, capacity, deadline)
		for range 16 {
			r.RecordAdmitted(0, "model", 2)
		}
		is.True(r.KeepFree(0, "model", 1, capacity, deadline) > before+0.1)
		is.Equal(r.KeepFree(0, "model", 0, capacity, deadline), 0.0)
		for range 16 {
			r.RecordReleased(0, "model", time.Second)
		}
		is.Equal(r.KeepFree(0, "model", 1, capacity, deadline), before)
	})
	t.Run("a rank that stands still", func(t *testing.T) {
		is, r := is.New(t), newReserve()
		for range 2000 {
			r.RecordAdmitted(time.Second, "model", 1)
		}
		for range 20 {
			is.True(r.KeepFree(7*time.Second, "model", 1, capacity, deadline) > 0)
			r.RecordRefused(time.Second, "model", 1)
		}
		is.Equal(r.KeepFree(8*time.Second, "model", 1, capacity, deadline), 0.0)
		r.RecordAdmitted(8*time.Second, "model", 1)
		is.True(r.KeepFree(8*time.Second, "model", 1, capacity, deadline) > 0)
	})
}

// TestLeastShare guards against a rank that is admitted once in a while only, although the service admits
// half of all requests.
func TestLeastShare(t *testing.T) {
	is := is.New(t)
	r := newReserve()
	admitted, asked := 0, 1000
	for n := range asked {
		now := time.Duration(n) * 10 * ms
		r.RecordAdmitted(now, "model", 0)
		if r.KeepFree(now, "model", 1, capacity, deadline) == 0 {
			admitted++
			r.RecordAdmitted(now, "model", 1)
		} else {
			r.RecordRefused(now, "model", 1)
		}
	}
	is.True(float64(admitted) > 0.25*0.55*float64(asked)) // a quarter as often as all
	is.True(float64(admitted) < 0.25*float64(asked))
}

// TestKeepFreeOfManyRanks guards against state that is lost where each of many workspaces has a
// priority of its own.
func TestKeepFreeOfManyRanks(t *testing.T) {
	is := is.New(t)
	r := newReserve()
	for rank := range 120 {
		r.RecordRefused(time.Second, "model", rank)
	}
	for rank := 1; rank < 120; rank++ {
		is.True(r.KeepFree(14*time.Second, "model", rank, capacity, deadline) > 0)
		is.Equal(r.KeepFree(15*time.Second, "model", rank, capacity, deadline), 0.0)
	}
}

// TestKeepFreeOfRareRank guards against a rank with few requests, none of which is admitted.
func TestKeepFreeOfRareRank(t *testing.T) {
	is := is.New(t)
	r := newReserve()
	r.RecordRefused(time.Second, "model", 1)
	is.True(r.KeepFree(14*time.Second, "model", 1, capacity, deadline) > 0)
	is.Equal(r.KeepFree(15*time.Second, "model", 1, capacity, deadline), 0.0)
}

// TestStreamLimiterRanks replays streams of two ranks at the limit: the less urgent ones are refused
// first, and the limit still counts as reached, so that it recovers.
func TestStreamLimiterRanks(t *testing.T) {
	is := is.New(t)
	l := new(admitter.StreamLimiter)
	for range 100 {
		is.True(l.TryAcquire())
	}
	for n := range 20 {
		l.Observe(time.Second+time.Duration(n)*ms, true)
	}
	limit := l.Limit()
	is.True(limit < 100)
	for range 100 {
		l.Release()
	}
	admitted := 0
	for l.TryAcquireKeeping(0.25) {
		admitted++
	}
	is.True(float64(admitted) >= 0.75*limit && float64(admitted) <= 0.75*limit+1)
	for l.TryAcquire() {
		admitted++
	}
	is.True(float64(admitted) >= limit && float64(admitted) <= limit+1)
	for range admitted {
		l.Release()
	}
	for n := range 100 {
		for l.TryAcquireKeeping(0.25) {
			defer l.Release()
		}
		l.Observe(3*time.Second+time.Duration(n)*20*ms, false)
	}
	is.True(l.Limit() > limit)
}
