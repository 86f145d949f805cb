package admitter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
)

func TestRepeats(t *testing.T) {
	is := is.New(t)
	var p admitter.Repeats
	remaining := func(now time.Duration, service string, fingerprint uint64) time.Duration {
		wait, _ := p.Remaining(now, service, admitter.Asked{Fingerprint: fingerprint})
		return wait
	}
	p.RecordRefused(0, "s", admitter.Asked{Fingerprint: 1}, 2*time.Second)
	is.Equal(remaining(100*time.Millisecond, "s", 1), 1900*time.Millisecond)
	is.Equal(remaining(100*time.Millisecond, "s", 2), time.Duration(0))     // another request
	is.Equal(remaining(100*time.Millisecond, "other", 1), time.Duration(0)) // not short
	is.Equal(remaining(time.Second, "s", 1), time.Duration(0))              // others find capacity again
	p.RecordRefused(1900*time.Millisecond, "s", admitter.Asked{Fingerprint: 3}, 2*time.Second)
	is.Equal(remaining(1950*time.Millisecond, "s", 1), 50*time.Millisecond)
	is.Equal(remaining(2*time.Second, "s", 1), time.Duration(0)) // its time has come
}

// TestEqualRequests guards against callers that are refused as repeats, or come back together, since another caller
// sent the same request.
func TestEqualRequests(t *testing.T) {
	const second = time.Second
	t.Run("another caller's deadline", func(t *testing.T) {
		is := is.New(t)
		var p admitter.Repeats
		p.RecordRefused(0, "s", admitter.Asked{Fingerprint: 1, Deadline: 20 * second}, 2*second)
		_, early := p.Remaining(second/10, "s", admitter.Asked{Fingerprint: 1, Deadline: 20*second + 40*time.Millisecond})
		is.True(early) // the same caller, whose request took longer on the way
		_, early = p.Remaining(second/10, "s", admitter.Asked{Fingerprint: 1, Deadline: 20*second + 150*time.Millisecond})
		is.True(!early)
	})
	t.Run("a later refusal does not take the time back", func(t *testing.T) {
		is := is.New(t)
		var p admitter.Repeats
		first, second := admitter.Asked{Fingerprint: 1, Deadline: 20 * second}, admitter.Asked{Fingerprint: 1, Deadline: 22 * second}
		p.RecordRefused(0, "s", first, time.Second)
		p.RecordRefused(800*time.Millisecond, "s", second, 5*time.Second)
		_, early := p.Remaining(time.Second, "s", first)
		is.True(!early)
		p.RecordRepeat(first, 3*time.Second)
		_, early = p.Remaining(time.Second, "s", first)
		is.True(!early)
	})
	t.Run("equal requests at once", func(t *testing.T) {
		is := is.New(t)
		var p admitter.Promises
		refused := admitter.Refused{Service: "s", MaxWait: 6 * second, Left: 20 * second, Draw: 0.5}
		count := make(map[time.Duration]int)
		latest := p.Promise(0, refused)
		for range 100 {
			wait := p.Spread(0, refused, latest)
			is.True(wait >= 800*time.Millisecond && wait <= 6*second)
			count[wait]++
			latest = max(latest, wait)
		}
		is.True(len(count) >= 25 && latest > 5*second)
	})
}

// TestRepeatsAreBounded: callers of many distinct requests must not make a host grow.
func TestRepeatsAreBounded(t *testing.T) {
	is := is.New(t)
	var p admitter.Repeats
	for i := range uint64(100_000) {
		p.RecordRefused(time.Duration(i), "s", admitter.Asked{Fingerprint: i}, time.Second)
	}
	_, oldest := p.Remaining(100_000, "s", admitter.Asked{Fingerprint: 0})
	_, newest := p.Remaining(100_000, "s", admitter.Asked{Fingerprint: 99_999})
	is.True(!oldest)
	is.True(newest)
	is.True(p.Len() <= 8192)
	p.RecordRefused(time.Minute, "s", admitter.Asked{Fingerprint: 1}, time.Second)
	is.Equal(p.Len(), 1) // the others have expired
}

// TestRepeatsGainNothing: of callers that are refused, half repeat five times at once. Those that wait
// as asked must not be served less for it.
func TestRepeatsGainNothing(t *testing.T) {
	for _, times := range []float64{1.3, 2, 4} {
		for _, hosts := range []int{1, 24} {
			is := is.New(t)
			var waiting, repeating, without outcome
			for seed := range uint64(3) {
				c := returnsReplay{hosts: hosts, times: times, length: 12 * time.Second, repeating: 0.5, seed: seed}
				c.run(true)
				without.add(c.groups[1])
				c.refuseRepeats = true
				c.run(true)
				waiting.add(c.groups[0])
				repeating.add(c.groups[1])
			}
			t.Logf("%g times, %d hosts: served, in time of those that wait %.3f %.3f, that repeat %.3f %.3f, were repeats not refused %.3f %.3f", times, hosts,
				waiting.served/waiting.asked, waiting.inTime/waiting.asked, repeating.served/repeating.asked, repeating.inTime/repeating.asked,
				without.served/without.asked, without.inTime/without.asked)
			if hosts == 1 {
				is.True(repeating.served/repeating.asked <= waiting.served/waiting.asked+0.01)
				is.True(repeating.inTime/repeating.asked <= waiting.inTime/waiting.asked+0.01)
			}
		}
	}
}
