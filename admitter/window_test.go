package admitter_test

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
)

// TestWindow guards against retries that each host counts alone.
func TestWindow(t *testing.T) {
	const (
		ratio, fixed = 0.2, 200
		perSecond    = 25
		hosts        = 4
	)
	is := is.New(t)
	var all [hosts]admitter.Window
	for i := range all {
		all[i] = admitter.Window{Ratio: ratio, Length: 10 * time.Second, Fixed: fixed, Hosts: func() int { return hosts }}
	}
	var sent []int // retries in each tenth of a second
	for n := range 400 {
		now := time.Duration(n) * 100 * time.Millisecond
		sent = append(sent, 0)
		for i := range all {
			for range perSecond / 10 {
				all[i].Request(now)
				for all[i].Spend(now) {
					sent[n]++
				}
			}
		}
	}
	requests := float64(hosts * (perSecond / 10) * 100)
	total := 0
	for from := 0; from+100 <= len(sent); from++ {
		sum := 0
		for _, n := range sent[from : from+100] {
			sum += n
		}
		is.True(float64(sum) <= ratio*requests+fixed)
		total = max(total, sum)
	}
	t.Logf("%d retries in the fullest ten seconds of %.0f allowed", total, ratio*requests+fixed)
	is.True(float64(total) > 0.5*(ratio*requests+fixed)) // most of it can be used
}

// TestLatencyBound guards against overload in which every stream is late.
func TestLatencyBound(t *testing.T) {
	is := is.New(t)
	const bears = 60 // streams in flight until which events come in time
	l := new(admitter.Latency)
	type stream struct{ ends time.Duration }
	var open []stream
	late, done, refused := 0, 0, 0
	play := func(from, to time.Duration, perSecond int) {
		late, done, refused = 0, 0, 0
		step := time.Second / time.Duration(perSecond)
		for now := from; now < to; now += step {
			kept := open[:0]
			for _, s := range open {
				if s.ends > now {
					kept = append(kept, s)
					continue
				}
				l.Leave()
				done++
				slow := len(open) > bears
				if slow {
					late++
				}
				l.Sample(now, slow)
			}
			open = kept
			if l.Enter() {
				open = append(open, stream{now + 2*time.Second + time.Duration(len(open))*10*time.Millisecond})
			} else {
				refused++
			}
		}
	}
	play(0, 10*time.Second, 20)
	is.Equal(refused, 0)
	play(10*time.Second, 20*time.Second, 80)
	play(20*time.Second, 40*time.Second, 80)
	t.Logf("fourfold: %d done, %d late, %d refused", done, late, refused)
	is.True(late*3 < done) // most of what is let in comes in time
	is.True(done > 200)    // and the engine is kept busy
	play(40*time.Second, 45*time.Second, 20)
	play(45*time.Second, 50*time.Second, 20)
	is.Equal(refused, 0)
}

// TestLatencyBoundOfMany guards against hosts that each keep so many streams going,
// whatever these show, that together they overload what a loss has left.
func TestLatencyBoundOfMany(t *testing.T) {
	for _, size := range []struct{ hosts, arrivals int }{{4, 63}, {25, 179}, {119, 456}} {
		t.Run(strconv.Itoa(size.hosts), func(t *testing.T) {
			is := is.New(t)
			const life, seconds = 3 * time.Second, 20
			hosts, arrivals := size.hosts, time.Duration(size.arrivals) // a second, of all hosts
			usual := float64(arrivals) * life.Seconds()
			limits := make([]*admitter.Latency, hosts)
			for i := range limits {
				limits[i] = new(admitter.Latency)
			}
			type stream struct {
				host int
				ends time.Duration
			}
			var open []stream
			late, done, refused := 0, 0, 0
			rnd := rand.New(rand.NewPCG(1, 1))
			play := func(from, to time.Duration, bears float64) {
				late, done, refused = 0, 0, 0
				for now := from; now < to; now += time.Second / arrivals {
					kept := open[:0]
					for _, s := range open {
						if s.ends > now {
							kept = append(kept, s)
							continue
						}
						limits[s.host].Leave()
						done++
						slow := float64(len(open)) > bears
						if slow {
							late++
						}
						limits[s.host].Sample(now, slow)
					}
					open = kept
					i := rnd.IntN(hosts)
					if limits[i].Enter() {
						open = append(open, stream{i, now + life/2 + time.Duration(rnd.Float64()*float64(life))})
					} else {
						refused++
					}
				}
			}
			play(0, seconds*time.Second, 1.5*usual)
			is.Equal(refused, 0)
			play(seconds*time.Second, 2*seconds*time.Second, 0.6*usual)
			play(2*seconds*time.Second, 3*seconds*time.Second, 0.6*usual)
			t.Logf("%d done, %d late, %d refused", done, late, refused)
			is.True(late*2 < done)
			is.True(float64(done) > 0.4*float64(arrivals*seconds)) // of 0.6 that are borne
			play(3*seconds*time.Second, 4*seconds*time.Second, 1.5*usual)
			play(4*seconds*time.Second, 5*seconds*time.Second, 1.5*usual)
			t.Logf("usual arrivals again: %d done, %d refused", done, refused)
			is.True(refused*50 < done)
		})
	}
}

// TestWindowManyHosts guards against a host of hundreds that cuts its first stream, since
// its share of the retries is below one.
func TestWindowManyHosts(t *testing.T) {
	is := is.New(t)
	w := admitter.Window{Ratio: 0.2, Length: 10 * time.Second, Fixed: 310, Hosts: func() int { return 300 }}
	w.Request(time.Second)
	is.True(w.Spend(time.Second))
	is.True(!w.Spend(time.Second))
	few := admitter.Window{Ratio: 0.2, Length: 10 * time.Second, Fixed: 299, Hosts: func() int { return 300 }}
	few.Request(time.Second)
	is.True(!few.Spend(time.Second)) // all of them together would have more than there are
}
