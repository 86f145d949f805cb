package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/detector"
)

func newDetector(upstreams int) *detector.Detector {
	return &detector.Detector{Upstreams: func() int { return upstreams }}
}

// failAll lets connections to all upstreams fail in turn, one in each 20 ms, and returns the time after which
// the upstreams counted as lost; 0 if they did not.
func failAll(d *detector.Detector, upstreams, connections int, refused bool, event func(now time.Duration)) time.Duration {
	const step = 20 * time.Millisecond
	for n := range connections {
		now := time.Minute + time.Duration(n)*step
		event(now)
		if d.RecordFailure(now, fmt.Sprint("upstream-", n%upstreams), refused) {
			return now - time.Minute
		}
	}
	return 0
}

// TestLost guards against a host that does not notice that it has lost all upstreams, and against one that
// takes some lost upstreams for all of them.
func TestLost(t *testing.T) {
	none := func(*detector.Detector) func(time.Duration) { return func(time.Duration) {} }
	events := func(d *detector.Detector) func(time.Duration) { return d.RecordEvent }
	for _, tc := range []struct {
		name string
		// upstreams are in use, failing of them fail connections.
		upstreams, failing int
		refused            bool
		event              func(*detector.Detector) func(time.Duration)
		lost               bool
	}{
		{"all, silent", 40, 40, false, none, true},
		{"all, refused", 40, 40, true, none, true},
		{"all of three thousand", 3000, 3000, false, none, true},
		{"all of three", 3, 3, false, none, true},
		{"the only one", 1, 1, false, none, true},
		{"all, refused, open connections live on", 40, 40, true, events, true},
		{"all, silent, open connections live on", 40, 40, false, events, false},
		{"two of three", 3, 2, false, none, false},
		{"some of forty", 40, 7, false, none, false},
		{"one of forty, again and again", 40, 1, true, none, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := newDetector(tc.upstreams)
			after := failAll(d, tc.failing, 60, tc.refused, tc.event(d))
			t.Logf("lost after %v", after)
			is.Equal(after > 0, tc.lost)
			is.Equal(d.State(time.Minute+2*time.Second).Lost, tc.lost)
			is.True(after < time.Second)
		})
	}
}

// TestAcceptBetweenFailures guards against a host that counts upstreams as lost although one of them accepts
// connections.
func TestAcceptBetweenFailures(t *testing.T) {
	is := is.New(t)
	d := newDetector(40)
	for n := range 200 {
		now := time.Duration(n) * 20 * time.Millisecond
		is.True(!d.RecordFailure(now, fmt.Sprint(n%39), false))
		if n%10 == 0 {
			is.True(!d.RecordAccept(now))
		}
	}
}

// TestBackAgain guards against upstreams that stay lost, or that count as back after a single connection.
func TestBackAgain(t *testing.T) {
	is := is.New(t)
	d := newDetector(40)
	is.True(failAll(d, 40, 60, false, func(time.Duration) {}) > 0)
	now := 2 * time.Minute
	is.True(!d.RecordAccept(now))
	is.True(!d.RecordFailure(now, "upstream-1", false))
	is.True(!d.RecordAccept(now))
	is.True(!d.RecordAccept(now))
	is.True(!d.State(now).Returning)
	is.True(!d.RecordAccept(now))
	is.True(d.State(now).Lost && d.State(now).Returning)
	is.True(!d.RecordAccept(now + 1400*time.Millisecond))
	is.True(d.State(now + 1400*time.Millisecond).Lost)
	now += 1500 * time.Millisecond
	is.True(d.RecordAccept(now))
	is.True(!d.State(now).Lost && !d.State(now).Returning)
	is.Equal(d.State(now).Failures, 0)
}

// TestLostInProbation guards against a host that uses upstreams again each time that a link which comes and goes is
// up.
func TestLostInProbation(t *testing.T) {
	for _, upstreams := range []int{1, 2, 3, 40} {
		t.Run(fmt.Sprint(upstreams, " upstreams"), func(t *testing.T) {
			is := is.New(t)
			d := newDetector(upstreams)
			is.True(failAll(d, upstreams, 60, false, func(time.Duration) {}) > 0)
			now := 2 * time.Minute
			for range 20 { // up and down for a second each
				checkRounds(is, d, &now, upstreams, func(int) bool { return true })
				is.True(d.State(now).Returning)
				checkRounds(is, d, &now, upstreams, func(int) bool { return false })
				is.True(!d.State(now).Returning)
			}
			is.True(d.State(now).Lost)
		})
	}
}

// checkRounds records four rounds of checks within a second, of six upstreams or all in turn, none of which ends the
// loss.
func checkRounds(is *is.I, d *detector.Detector, now *time.Duration, upstreams int, accepts func(upstream int) bool) {
	for round := range 4 {
		for n := range min(6, upstreams) {
			upstream := (round*6 + n) % upstreams
			if accepts(upstream) {
				is.True(!d.RecordAccept(*now))
			} else {
				is.True(!d.RecordFailure(*now, fmt.Sprint("upstream-", upstream), false))
			}
		}
		*now += 250 * time.Millisecond
	}
}

// TestBackWithDeadUpstreams guards against a host that stays lost as long as some upstreams are down. Their checks end
// after those that are accepted.
func TestBackWithDeadUpstreams(t *testing.T) {
	is := is.New(t)
	d := newDetector(40)
	is.True(failAll(d, 40, 60, false, func(time.Duration) {}) > 0)
	back := false
	now := 2 * time.Minute
	for round := range 8 { // of six checks, each 250 ms
		for n := range 6 {
			if n < 3 {
				back = d.RecordAccept(now) || back
			} else {
				d.RecordFailure(now, fmt.Sprint("upstream-", round*3+n), false)
			}
		}
		now += 250 * time.Millisecond
	}
	is.True(back)
}

// TestPoorLink guards against a host that counts its upstreams as lost, again and again, on a link that loses
// three packets in ten: half of its connections time out.
func TestPoorLink(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 1))
			d := newDetector(40)
			lost := 0
			for n := range 10 * 60 * 20 { // ten minutes, 20 connections a second
				now := time.Duration(n) * 50 * time.Millisecond
				if rnd.Float64() < 0.49 {
					d.RecordAccept(now)
				} else if d.RecordFailure(now, fmt.Sprint(rnd.IntN(40)), false) {
					lost++
				}
				d.RecordEvent(now)
			}
			is.New(t).Equal(lost, 0)
		})
	}
}

// TestOldFailures guards against failures that add up over a night with few requests.
func TestOldFailures(t *testing.T) {
	is := is.New(t)
	d := newDetector(3)
	for n := range 100 {
		is.True(!d.RecordFailure(time.Duration(n)*4*time.Second, fmt.Sprint(n%3), false))
	}
}
