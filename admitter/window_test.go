package admitter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
)

// TestWindow guards against hosts that each keep to the retry budget but exceed it
// together.
func TestWindow(t *testing.T) {
	const (
		ratio, fixed = 0.2, 200
		perSecond    = 25
		hosts        = 4
	)
	is := is.New(t)
	var all [hosts]admitter.WindowRetryBudget
	for i := range all {
		all[i] = admitter.WindowRetryBudget{Ratio: ratio, Length: 10 * time.Second, Fixed: fixed, Hosts: func() int { return hosts }}
	}
	var sent []int // retries in each tenth of a second
	for n := range 400 {
		now := time.Duration(n) * 100 * time.Millisecond
		sent = append(sent, 0)
		for i := range all {
			for range perSecond / 10 {
				all[i].RecordRequest(now)
				for all[i].Spend(now) {
					sent[n]++
				}
			}
		}
	}
	requests := float64(hosts * (perSecond / 10) * 100)
	maxSum := 0
	for from := 0; from+100 <= len(sent); from++ {
		sum := 0
		for _, n := range sent[from : from+100] {
			sum += n
		}
		is.True(float64(sum) <= ratio*requests+fixed)
		maxSum = max(maxSum, sum)
	}
	t.Logf("at most %d retries in ten seconds; %.0f allowed", maxSum, ratio*requests+fixed)
	is.True(float64(maxSum) > 0.5*(ratio*requests+fixed)) // more than half of the budget is usable
}

// TestLatencyLimit guards against overload in which every stream is late: the limit must keep most
// of the admitted streams in time.
func TestLatencyLimit(t *testing.T) {
	is := is.New(t)
	const capacity = 60 // streams are in time while at most this many are in flight
	l := new(admitter.StreamLimiter)
	type stream struct{ ends time.Duration }
	var open []stream
	late, done, refused := 0, 0, 0
	simulate := func(from, to time.Duration, perSecond int) {
		late, done, refused = 0, 0, 0
		step := time.Second / time.Duration(perSecond)
		for now := from; now < to; now += step {
			kept := open[:0]
			for _, s := range open {
				if s.ends > now {
					kept = append(kept, s)
					continue
				}
				l.Release()
				done++
				slow := len(open) > capacity
				if slow {
					late++
				}
				l.Observe(now, slow)
			}
			open = kept
			if l.TryAcquire() {
				open = append(open, stream{now + 2*time.Second + time.Duration(len(open))*10*time.Millisecond})
			} else {
				refused++
			}
		}
	}
	simulate(0, 10*time.Second, 20)
	is.Equal(refused, 0)
	simulate(10*time.Second, 20*time.Second, 80)
	simulate(20*time.Second, 40*time.Second, 80)
	t.Logf("at four times the load: %d done, %d late, %d refused", done, late, refused)
	is.True(late*3 < done) // less than a third of the admitted streams is late
	is.True(done > 200)    // the engine stays busy
	simulate(40*time.Second, 45*time.Second, 20)
	simulate(45*time.Second, 50*time.Second, 20)
	is.Equal(refused, 0)
}

// TestLatencyLimitManyHosts guards against minimum limits of many hosts that together overload the
// upstreams which remain after a loss.
func TestLatencyLimitManyHosts(t *testing.T) {
	for _, size := range []struct{ hosts, arrivals int }{{4, 63}, {25, 179}, {119, 456}} {
		t.Run(strconv.Itoa(size.hosts), func(t *testing.T) {
			is := is.New(t)
			const lifetime, seconds = 3 * time.Second, 20
			hosts, arrivals := size.hosts, time.Duration(size.arrivals) // arrivals a second over all hosts
			usual := float64(arrivals) * lifetime.Seconds()
			limits := make([]*admitter.StreamLimiter, hosts)
			for i := range limits {
				limits[i] = new(admitter.StreamLimiter)
			}
			type stream struct {
				host int
				ends time.Duration
			}
			var open []stream
			late, done, refused := 0, 0, 0
			rnd := rand.New(rand.NewPCG(1, 1))
			simulate := func(from, to time.Duration, capacity float64) {
				late, done, refused = 0, 0, 0
				for now := from; now < to; now += time.Second / arrivals {
					kept := open[:0]
					for _, s := range open {
						if s.ends > now {
							kept = append(kept, s)
							continue
						}
						limits[s.host].Release()
						done++
						slow := float64(len(open)) > capacity
						if slow {
							late++
						}
						limits[s.host].Observe(now, slow)
					}
					open = kept
					i := rnd.IntN(hosts)
					if limits[i].TryAcquire() {
						open = append(open, stream{i, now + lifetime/2 + time.Duration(rnd.Float64()*float64(lifetime))})
					} else {
						refused++
					}
				}
			}
			simulate(0, seconds*time.Second, 1.5*usual)
			is.Equal(refused, 0)
			simulate(seconds*time.Second, 2*seconds*time.Second, 0.6*usual)
			simulate(2*seconds*time.Second, 3*seconds*time.Second, 0.6*usual)
			t.Logf("%d done, %d late, %d refused", done, late, refused)
			is.True(late*2 < done)
			is.True(float64(done) > 0.4*float64(arrivals*seconds)) // the remaining capacity is 0.6 of the arrivals
			simulate(3*seconds*time.Second, 4*seconds*time.Second, 1.5*usual)
			simulate(4*seconds*time.Second, 5*seconds*time.Second, 1.5*usual)
			t.Logf("after recovery: %d done, %d refused", done, refused)
			is.True(refused*50 < done)
		})
	}
}

// TestWindowManyHosts guards against a host that aborts its first interrupted stream because its
// share of the retries, among hundreds of hosts, is below one.
func TestWindowManyHosts(t *testing.T) {
	is := is.New(t)
	w := admitter.WindowRetryBudget{Ratio: 0.2, Length: 10 * time.Second, Fixed: 310, Hosts: func() int { return 300 }}
	w.RecordRequest(time.Second)
	is.True(w.Spend(time.Second))
	is.True(!w.Spend(time.Second))
	few := admitter.WindowRetryBudget{Ratio: 0.2, Length: 10 * time.Second, Fixed: 299, Hosts: func() int { return 300 }}
	few.RecordRequest(time.Second)
	is.True(!few.Spend(time.Second)) // 300 hosts with one retry each would exceed the 299 allowed
}

// TestWindowHasRetry guards against requests that are sent on trial while no retry is left for them.
func TestWindowHasRetry(t *testing.T) {
	is := is.New(t)
	w := admitter.WindowRetryBudget{Length: 10 * time.Second, Fixed: 10} // allows 9 retries
	const now = 11 * time.Second
	for range 9 {
		is.True(w.HasRetry(now))
		is.True(w.Spend(now))
	}
	is.True(!w.HasRetry(now))
	is.True(!w.Spend(now))
	is.True(!w.HasRetry(now + w.Length))
	is.True(w.HasRetry(now + 12*time.Second))
}

// TestWindowOfNewProcess guards against a process that uses the share of the fixed number which the one
// before it has just used.
func TestWindowOfNewProcess(t *testing.T) {
	is := is.New(t)
	w := admitter.WindowRetryBudget{Ratio: 0.2, Length: 10 * time.Second, Fixed: 100, Started: time.Minute}
	const now = time.Minute + time.Second
	is.True(w.Spend(now)) // in advance of earnings
	is.True(!w.Spend(now))
	for range 10 {
		w.RecordRequest(now)
	}
	is.True(w.Spend(now)) // in advance again, since the first is repaid
	is.True(!w.Spend(now))
	for range 20 {
		w.RecordRequest(now)
	}
	is.True(w.Spend(now))
	is.Equal(w.Usage(time.Minute+10*time.Second).FixedAllowed, 0.0)
	is.Equal(w.Usage(time.Minute+11*time.Second).FixedAllowed, 90.0)
}

// TestEarnedRetriesLapse guards against retries that are saved up over more than one window.
func TestEarnedRetriesLapse(t *testing.T) {
	is := is.New(t)
	w := admitter.WindowRetryBudget{Ratio: 0.2, Length: 10 * time.Second}
	for s := range 60 {
		for range 10 {
			w.RecordRequest(time.Duration(s) * time.Second)
		}
	}
	n := 0
	for w.Spend(59 * time.Second) {
		n++
	}
	is.Equal(n, 10) // half of the ratio for the 100 requests of one window
}

// TestFleetSize guards against hosts that share a bound with fewer others than there are, since the
// entries of some have expired.
func TestFleetSize(t *testing.T) {
	is := is.New(t)
	var s admitter.FleetSize
	is.Equal(s.Max(0), 1)
	s.Observe(time.Minute, 4)
	s.Observe(2*time.Minute, 2)
	s.Observe(3*time.Minute, 3)
	is.Equal(s.Max(3*time.Minute), 4)
	is.Equal(s.Max(11*time.Minute), 4)
	is.Equal(s.Max(12*time.Minute), 3) // 4 were last known more than ten minutes ago
	s.Observe(12*time.Minute, 1)
	is.Equal(s.Max(13*time.Minute), 3)
	is.Equal(s.Max(14*time.Minute), 1)
}
