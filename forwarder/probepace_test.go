package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbePace guards against checks of an upstream that accepts each of them, and against a pause
// that stays long once the upstream has delivered an event.
func TestProbePace(t *testing.T) {
	is := is.New(t)
	const interval = 120 * time.Millisecond
	var p probePacer
	now := time.Minute
	check := func(lastEventAt time.Duration) (pause time.Duration) {
		from := now
		for !p.begin(now, "one", interval, lastEventAt, 1) {
			now += time.Millisecond
		}
		is.True(!p.begin(now, "one", interval, lastEventAt, 1)) // it runs
		pause = now - from
		p.end(now, "one", true)
		return pause
	}
	is.Equal(check(0), time.Duration(0))
	is.Equal(check(0), interval)
	is.Equal(check(0), 2*interval)
	is.Equal(check(0), 2*interval)
	is.Equal(check(now+1), interval)
	p.expire(now + 2*probeStateMemory)
	is.Equal(len(p.states), 0)
}
