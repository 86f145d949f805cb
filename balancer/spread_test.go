package balancer

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// TestSpreadDegree guards against a host that spreads its requests for good after some rejections, or
// because of a single one.
func TestSpreadDegree(t *testing.T) {
	is := is.New(t)
	var s spread
	for i := range 100 {
		s.recordSent(time.Duration(i) * 20 * time.Millisecond)
	}
	now := 2 * time.Second
	is.Equal(s.degree(now), 0.0)
	s.recordRejected(now)
	is.True(s.degree(now) < 0.25)
	for range 20 {
		s.recordRejected(now)
	}
	is.Equal(s.degree(now), 1.0)
	is.True(s.degree(now+20*time.Second) < 0.01)
}

// TestSpreadDraw guards against candidates that are drawn regardless of their capacity and cost.
func TestSpreadDraw(t *testing.T) {
	is := is.New(t)
	rnd := rand.New(rand.NewPCG(1, 1))
	drawn := 0
	const draws = 10000
	for range draws {
		small, large := picker.Candidate{}, picker.Candidate{}
		spreadCost(&small, 10, 1, rnd)
		spreadCost(&large, 30, 1, rnd)
		if large.Bias < small.Bias {
			drawn++
		}
	}
	is.True(math.Abs(float64(drawn)/draws-0.75) < 0.03)
	same := picker.Candidate{Bias: 2}
	spreadCost(&same, 10, 0, rnd)
	is.Equal(same, picker.Candidate{Bias: 2})
}

// TestSpreadOnlyWhereStale guards against choices that change although reports are fresh or nothing
// is rejected.
func TestSpreadOnlyWhereStale(t *testing.T) {
	for _, row := range []struct {
		name     string
		interval time.Duration
		rejected int
		want     bool
	}{
		{"fresh reports", 200 * time.Millisecond, 20, false},
		{"no rejections", 500 * time.Millisecond, 0, false},
		{"old reports and rejections", 500 * time.Millisecond, 20, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			b := &Balancer{DataCentre: "a", Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(1, 1))}
			e := &matcher.Engine{Layers: 8, LayerMB: 1000, TokenBytes: 1 << 20, StepMs: 1, ReadPerSecond: 1e5, Cards: []matcher.Card{
				{Name: "fast", MB: 90000, StepTimeFactor: 1, ReadTimeFactor: 1}, {Name: "slow", MB: 90000, StepTimeFactor: 3, ReadTimeFactor: 3},
			}}
			b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
			b.UpdateUpstreams([]Upstream{
				{ID: "fast", Address: "a:1", Service: "model", DataCentre: "a", Card: "fast", Layers: Span{To: 8}},
				{ID: "slow", Address: "a:2", Service: "model", DataCentre: "a", Card: "slow", Layers: Span{To: 8}},
			}, nil)
			for i := range 3 {
				is.NoErr(b.SetReport(time.Duration(i)*row.interval, "other", Report{}))
			}
			now := 2 * row.interval
			for range row.rejected {
				b.spread.recordRejected(now)
			}
			slow := 0
			for range 200 {
				l, reason := b.Acquire(now, Requirements{Service: "model", PromptTokens: 100, AnswerTokens: 100})
				is.Equal(reason, ReasonNone)
				if l.First.ID == "slow" {
					slow++
				}
				b.Release(l)
			}
			is.Equal(slow > 0, row.want)
		})
	}
}
