package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// lateReplay is what came of the streams of one replay of data centres that are slow.
type lateReplay struct {
	asked, inTime, late, refused int
	// lateAfterwards counts the late streams that began after the first 3 s.
	lateAfterwards, askedAfterwards int
}

// replaySlowDataCentre replays 10 s of streams at a host of data centre a. All streams over the slow
// data centres are late; the others have room for inTimeRoom streams each.
func replaySlowDataCentre(seed uint64, slow map[string]bool, inTimeRoom int) lateReplay {
	const tick, holdTime, lateAfter = 10 * time.Millisecond, 2 * time.Second, 500 * time.Millisecond
	e := &matcher.Engine{Layers: 8, LayerMB: 100, TokenBytes: 8e3, StepMs: 1, ReadPerSecond: 164000, Prompt: 700, Answer: 300}
	b := &balancer.Balancer{Host: "h", DataCentre: "a", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(seed, 1))}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
	var list []balancer.Upstream
	for _, dc := range []string{"a", "b", "c"} {
		list = append(list, balancer.Upstream{ID: dc, Address: dc, Service: "model", DataCentre: dc, Layers: balancer.Span{To: 8}, StartedAt: 1})
	}
	b.UpdateUpstreams(list, nil)
	rnd := rand.New(rand.NewPCG(seed, 2))
	limits := new(admitter.StreamLimiters)
	type running struct {
		lease  *balancer.Lease
		begun  time.Duration
		judged bool
	}
	var streams []*running
	inFlight := make(map[string]int)
	var out lateReplay
	for now := time.Second; now < 11*time.Second; now += tick {
		kept := streams[:0]
		for _, s := range streams {
			dc := s.lease.DataCentre
			if !s.judged && now-s.begun >= lateAfter {
				s.judged = true
				late := slow[dc] || inFlight[dc] > inTimeRoom
				limits.Get(dc).Observe(now, late)
				b.RecordLateness(now, dc, late)
				if late {
					out.late++
					if s.begun > 4*time.Second {
						out.lateAfterwards++
					}
				} else {
					out.inTime++
				}
			}
			if now-s.begun < holdTime {
				kept = append(kept, s)
				continue
			}
			b.Release(s.lease)
			limits.Get(dc).Release()
			inFlight[dc]--
		}
		streams = kept
		if rnd.Float64() >= 0.4 { // 40 arrivals a second
			continue
		}
		out.asked++
		if now > 4*time.Second {
			out.askedAfterwards++
		}
		l, _ := b.Acquire(now, balancer.Requirements{Service: "model", PromptTokens: 700, AnswerTokens: 300, AvoidDataCentres: limits.Full(0)})
		if l == nil {
			out.refused++
			continue
		}
		limits.Get(l.DataCentre).Acquire()
		inFlight[l.DataCentre]++
		streams = append(streams, &running{lease: l, begun: now})
	}
	return out
}

// TestSlowDataCentre guards against a host that refuses streams, or sends them where they are late, while
// another data centre has capacity for them in time.
func TestSlowDataCentre(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			is := is.New(t)
			calm := replaySlowDataCentre(seed, nil, 100)
			is.True(calm.inTime > 0)
			is.Equal(calm.late+calm.refused, 0)
			slow := replaySlowDataCentre(seed, map[string]bool{"a": true}, 100)
			t.Logf("one slow data centre: %+v", slow)
			is.Equal(slow.refused, 0)
			is.True(float64(slow.lateAfterwards) < 0.1*float64(slow.askedAfterwards))
			all := replaySlowDataCentre(seed, map[string]bool{"a": true, "b": true, "c": true}, 100)
			t.Logf("all slow: %+v", all)
			is.True(all.refused > 0) // nothing is in time anywhere
		})
	}
}
