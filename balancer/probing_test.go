package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// TestFirstEventLimit guards against a lost upstream that is taken for load. The load: streams of which
// a half go over an upstream that delays them to 900 ms, and streams that all take that long.
func TestFirstEventLimit(t *testing.T) {
	const usual = 250 * ms
	for name, c := range map[string]struct {
		took func(i int) time.Duration
		want time.Duration
	}{
		"no first event":  {nil, usual},
		"all fast":        {func(int) time.Duration { return 80 * ms }, usual},
		"every other one": {func(i int) time.Duration { return time.Duration(80+820*(i%2)) * ms }, usual},
		"all slow":        {func(int) time.Duration { return 400 * ms }, 800 * ms},
		"all very slow":   {func(int) time.Duration { return 900 * ms }, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			b.SetHosts(manyHosts(23))
			l := acquire(t, b, 0, modelRequirements)
			for i := range 20 {
				if c.took != nil {
					b.RecordFirstEvent(time.Duration(i)*100*ms, l, c.took(i))
				}
			}
			is.Equal(b.FirstEventLimit(2*time.Second, l, usual), c.want)
			is.Equal(b.FirstEventLimit(6*time.Second, l, usual), usual) // load ends
			b.SetHosts(manyHosts(3))
			is.Equal(b.FirstEventLimit(2*time.Second, l, usual), usual) // few hosts
		})
	}
}

// TestSlowStartShared guards against checks of one loaded upstream by all hosts at once, and against
// none of them where another host can't reach it. The load: 137 hosts with a slow stream each.
func TestSlowStartShared(t *testing.T) {
	is := is.New(t)
	for _, dead := range []int64{0, 1} {
		checks := 0
		for n := range 137 {
			b := newBalancer()
			b.Host = string(rune('A'+n%26)) + string(rune('a'+n/26))
			b.SetHosts(manyHosts(136))
			l := acquire(t, b, 0, modelRequirements)
			for range 4 {
				b.RecordFirstEvent(0, l, 200*ms)
			}
			var r balancer.Report
			for _, h := range b.Path(l) {
				r.Usage = append(r.Usage, balancer.Usage{Upstream: h.ID, Requests: 136, DeadHosts: dead})
			}
			is.NoErr(b.SetReport(0, "others", r))
			if dead == 0 {
				is.Equal(len(b.SlowStartHops(490*ms, l, 100*ms, 250*ms)), 0) // within the limit under load
			}
			checks += len(b.SlowStartHops(510*ms, l, 100*ms, 250*ms))
		}
		hops := len(newBalancer().Path(acquire(t, newBalancer(), 0, modelRequirements)))
		if dead > 0 {
			is.Equal(checks, 137*hops)
		} else {
			is.True(checks > 0 && checks < 20)
		}
	}
}

func manyHosts(n int) map[string]string {
	out := make(map[string]string)
	for i := range n {
		out[string(rune('a'+i%26))+string(rune('a'+i/26))] = "a"
	}
	return out
}
