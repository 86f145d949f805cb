package forwarder

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestProbePace guards against checks of an upstream that accepts each of them, and against a pause
// that stays long once the upstream has delivered an event.
func TestProbePace(t *testing.T) {
	is := is.New(t)
	const interval = probeInterval
	var p probePacer
	now := time.Minute
	check := func(lastEventAt time.Duration) (pause time.Duration) {
		from := now
		for !p.begin(now, "one", lastEventAt, silentProbe) {
			now += time.Millisecond
		}
		is.True(!p.begin(now, "one", lastEventAt, silentProbe)) // it runs
		pause = now - from
		p.end(now, "one", true)
		return pause
	}
	is.Equal(check(0), time.Duration(0))
	for range usualChecks {
		is.Equal(check(0), interval)
	}
	for _, pause := range []time.Duration{2 * interval, 4 * interval, 8 * interval, 8 * interval} {
		is.Equal(check(0), pause)
	}
	is.Equal(check(now+1), interval)
	p.expire(now+2*probeStateMemory, 0)
	is.Equal(len(p.states), 0)
}

// TestChecksBounded guards against checks that grow with the upstreams in trouble for as long as it lasts.
// The load: 200 upstreams that accept connections and are silent, of which 100 also have slow starts.
func TestChecksBounded(t *testing.T) {
	is := is.New(t)
	p := probePacer{upstreams: 200}
	made, slow := 0, 0
	const seconds = 10
	for now := time.Minute; now < time.Minute+seconds*time.Second; now += watchInterval {
		for i := range 200 {
			name := fmt.Sprint("engine-", i)
			if i < 100 && p.begin(now, name, 0, slowStartProbe) {
				slow++
				p.end(now, name, true)
			}
			if p.begin(now, name, 0, silentProbe) {
				made++
				p.end(now, name, true)
			}
		}
	}
	is.True(made+slow <= 200+200*seconds/4)
	is.True(made > slow) // where streams wait, a check comes first
}
