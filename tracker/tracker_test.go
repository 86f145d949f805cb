package tracker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/tracker"
)

func configuration(n int) *builder.Configuration {
	cfg := &builder.Configuration{
		Models:       []builder.Model{{Name: "m", Version: "1", Layers: 8}},
		Accelerators: []builder.Accelerator{{Name: "k", StepMs: 1, LayerMs: 0.5, Batch: 4}},
	}
	for i := range n {
		cfg.Upstreams = append(cfg.Upstreams, builder.Upstream{
			Name: fmt.Sprint("e", i), Address: "10.0.0.1:80", DataCentre: "x", Model: "m", Accelerator: "k", FirstLayer: i % 2 * 4, LastLayer: i%2*4 + 3,
		})
	}
	cfg.Pipelines = []builder.Pipeline{{Name: "p", Model: "m", Upstreams: builder.Names(cfg.Upstreams), TokenGapMs: 48}}
	return cfg
}

func newTracker(host string, hosts, n int) *tracker.Tracker {
	t := &tracker.Tracker{Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(1, 1)), Host: host, HostCount: func() int { return hosts }}
	t.Configure(configuration(n))
	return t
}

// TestStateTransitions checks the state of an upstream after sequences of probes, failures, reports
// and restarts.
func TestStateTransitions(t *testing.T) {
	now := time.Unix(1000, 0)
	type step struct {
		name string
		do   func(t *tracker.Tracker)
		want tracker.State
	}
	for _, row := range []struct {
		name  string
		steps []step
	}{
		{"leaving wins over up until a newer incarnation", []step{
			{"leave", func(t *tracker.Tracker) { t.MarkLeaving("e0", 1) }, tracker.StateLeaving},
			{"successful probe while leaving", func(t *tracker.Tracker) { t.RecordProbeSuccess(now, "e0") }, tracker.StateLeaving},
			{"probers report up", func(t *tracker.Tracker) { t.RecordProberReport(now, "e0", 1, false) }, tracker.StateLeaving},
			{"restarted", func(t *tracker.Tracker) { t.RecordLoad(now, "e0", tracker.Load{Incarnation: 2}) }, tracker.StateUp},
			{"leave of an old incarnation", func(t *tracker.Tracker) { t.MarkLeaving("e0", 1) }, tracker.StateUp},
		}},
		{"down until it answers", []step{
			{"connection refused", func(t *tracker.Tracker) { t.RecordFailure(now, "e0", true) }, tracker.StateDown},
			{"failed request changes nothing", func(t *tracker.Tracker) { t.RecordFailure(now, "e0", false) }, tracker.StateDown},
			{"successful probe", func(t *tracker.Tracker) { t.RecordProbeSuccess(now, "e0") }, tracker.StateUp},
		}},
		{"reports of its probers count", []step{
			{"down", func(t *tracker.Tracker) { t.RecordProberReport(now, "e0", 1, true) }, tracker.StateDown},
			{"up", func(t *tracker.Tracker) { t.RecordProberReport(now, "e0", 1, false) }, tracker.StateUp},
			{"an old incarnation down", func(t *tracker.Tracker) { t.RecordProberReport(now, "e0", 0, true) }, tracker.StateUp},
		}},
		{"leaves before its incarnation is known", []step{
			{"unknown incarnation", func(t *tracker.Tracker) { t.MarkLeaving("e1", 0) }, tracker.StateUp},
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			tr := newTracker("h", 1, 2)
			tr.RecordLoad(now, "e0", tracker.Load{Incarnation: 1})
			for _, s := range row.steps {
				s.do(tr)
				if got := tr.StateOf(now, "e0"); got != s.want {
					t.Errorf("state after %q is %v, want %v", s.name, got, s.want)
				}
			}
		})
	}
}

// TestInFlightCounts checks, for random sequences of choices, repeated releases and new
// configurations, that the requests in flight are those that were chosen and not released.
func TestInFlightCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := newTracker("h", 1, 6)
		now := time.Unix(1000, 0)
		held := make(map[string][]string)
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			id := fmt.Sprint("r", i)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				for _, h := range tr.Acquire(now, tracker.Request{ID: id, Pipeline: "p"}) {
					held[id] = append(held[id], h.Upstream)
				}
			case 2:
				for id, ups := range held {
					tr.Release(now, ups, id)
					tr.Release(now, ups, id)
					delete(held, id)
					break
				}
			case 3:
				tr.Configure(configuration(6))
			}
		}
		want := make(map[string]int)
		for _, ups := range held {
			for _, u := range ups {
				want[u]++
			}
		}
		for _, st := range tr.Statuses(now) {
			if st.InFlight != want[st.Upstream] {
				t.Fatalf("%s has %d in flight, want %d", st.Upstream, st.InFlight, want[st.Upstream])
			}
		}
	})
}

// TestSharesWithinCapacity fills an upstream from four hosts without load reports. If each took
// half of what seems free beside its share, it would get 56 sequences but serve only 21 in time.
func TestSharesWithinCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	const hosts = 4
	total := 0
	for h := range hosts {
		tr := newTracker(fmt.Sprint("h", h), hosts, 2)
		for i := 0; len(tr.Acquire(now, tracker.Request{ID: fmt.Sprint(i), Pipeline: "p"})) > 0; i++ {
			total++
		}
	}
	// Four sequences per iteration of 1 + 4*4*0.5 ms, over 48 ms: 21.3.
	t.Logf("%d sequences over all hosts", total)
	is.New(t).True(total >= 18 && total <= 26)
}

// TestStrikeKeyRoundTrip checks that ParseStrike parses the result of Key and refuses anything
// else.
func TestStrikeKeyRoundTrip(t *testing.T) {
	is := is.New(t)
	s := tracker.NewStrike(time.Unix(1, 0), 0xabc, "a@b/c", 7)
	back, err := tracker.ParseStrike(s.Key(), s.Expires, false)
	is.NoErr(err)
	is.Equal(back, s)
	for _, key := range []string{"", "x", "12/a", "zz/a@1", "12/a@b"} {
		_, err := tracker.ParseStrike(key, s.Expires, false)
		is.True(err != nil)
	}
}
