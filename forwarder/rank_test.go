package forwarder

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/picker"
)

func TestUrgency(t *testing.T) {
	for n := 2; n <= 24; n++ {
		is := is.New(t)
		ranks := make([]int, n)
		for i := range ranks {
			ranks[i] = 3 * i
		}
		is.Equal(urgency(ranks, ranks[0]), 0)
		is.Equal(urgency(ranks, ranks[n-1]), maxUrgency)
		for i := 1; i < n; i++ {
			before, after := urgency(ranks, ranks[i-1]), urgency(ranks, ranks[i])
			is.True(before <= after)
			is.True(n > 10 || before < after) // up to ten ranks are not merged
		}
	}
}

// urgencyHeaders returns the urgency header of an upstream request for each route of a service,
// which have the given priorities. The caller sends a value of its own.
func urgencyHeaders(priorities ...int) []string {
	cfg := &matcher.Configuration{Services: []matcher.Service{{Name: "model"}}}
	for _, p := range priorities {
		cfg.Routes = append(cfg.Routes, matcher.Route{Priority: p, Splits: []matcher.Split{{Service: "model", Weight: 1}}})
	}
	table := matcher.New(cfg)
	f := &Forwarder{Headers: DefaultHeaders, Now: func() time.Duration { return time.Minute }}
	var out []string
	for i := range cfg.Routes {
		r := httptest.NewRequest("POST", "/", nil)
		r.Header.Set(DefaultHeaders.Urgency, "4")
		k := &call{Forwarder: f, r: r, table: table, route: &cfg.Routes[i], service: &cfg.Services[0], rank: table.Rank(&cfg.Routes[i], nil)}
		out = append(out, k.upstreamRequest(new(balancer.Lease)).Header.Get(DefaultHeaders.Urgency))
	}
	return out
}

func TestUrgencyHeader(t *testing.T) {
	is := is.New(t)
	is.Equal(urgencyHeaders(0, 1, 2), []string{"0", "4", "9"})
	is.Equal(urgencyHeaders(5, 2), []string{"9", "0"}) // a change of priority is in force with the next table
	is.Equal(urgencyHeaders(2, 2), []string{"", ""})   // nothing changes with one rank
}

// rankedCall returns a new call of a rank on one upstream with a free capacity for about ten requests,
// at a service that has routes with the given priorities. The log is written to log.
func rankedCall(log *bytes.Buffer, rank int, priorities ...int) func() *call {
	cfg := &matcher.Configuration{Services: []matcher.Service{{Name: "model", Engine: &matcher.Engine{Layers: 8, LayerMB: 100, TokenBytes: 56000, StepMs: 1, ReadPerSecond: 164000, Prompt: 700, Answer: 200}}}}
	for _, p := range priorities {
		cfg.Routes = append(cfg.Routes, matcher.Route{Prefix: fmt.Sprintf("/%d/", len(cfg.Routes)), Priority: p, Splits: []matcher.Split{{Service: "model", Weight: 1}}})
	}
	table := matcher.New(cfg)
	b := &balancer.Balancer{DataCentre: "a", Policy: picker.Cheapest{Steepness: 2}, Rand: rand.New(rand.NewPCG(1, 1))}
	b.Configure(table.Services)
	b.UpdateUpstreams([]balancer.Upstream{{ID: "one", Address: "one:80", Service: "model", DataCentre: "a", Layers: balancer.Span{To: 8}}}, nil)
	f := &Forwarder{
		Balancer: b, Headers: DefaultHeaders, Meter: meter.New(nil, nil), Now: func() time.Duration { return time.Minute }, Log: zerolog.New(log), Tables: ageless{table},
		RankReserve: &admitter.RankReserve{MoreUrgent: func(_ time.Duration, _ string, rank int) float64 { return float64(rank) * 10 }},
		RetryBudget: func(string) *admitter.WindowRetryBudget { return new(admitter.WindowRetryBudget) },
	}
	return func() *call {
		return &call{Forwarder: f, w: httptest.NewRecorder(), r: httptest.NewRequest("POST", "/", nil), id: "r", table: table, route: &cfg.Routes[0], service: &cfg.Services[0], rank: rank, arrivedAt: f.Now(), deadline: f.Now() + 20*time.Second}
	}
}

// ageless is a TableSource whose table is always current.
type ageless struct{ table *matcher.Table }

func (a ageless) Table() *matcher.Table { return a.table }
func (ageless) Age() time.Duration      { return 0 }

// countAdmitted returns how many requests are admitted before one is refused.
func countAdmitted(newCall func() *call) int {
	n := 0
	for {
		k := newCall()
		if k.acquire(k.requirements()) == nil {
			return n
		}
		n++
	}
}

// countOf returns the sum of a counter over its labels.
func countOf(t *testing.T, m *meter.Meter, name string) float64 {
	t.Helper()
	families, err := m.Registry.Gather()
	is.New(t).NoErr(err)
	sum := 0.0
	for _, f := range families {
		for _, sample := range f.GetMetric() {
			if f.GetName() == name {
				sum += sample.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// TestRankAdmission guards against less urgent requests that take the capacity which more urgent ones
// are about to need.
func TestRankAdmission(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	all := countAdmitted(rankedCall(&log, 0, 0, 1, 2))
	is.True(!strings.Contains(log.String(), `"keepFree":0.`))
	some := countAdmitted(rankedCall(&log, 1, 0, 1, 2))
	is.True(some < all)
	is.True(some > 0)
	is.True(strings.Contains(log.String(), `"rank":1,"keepFree":0.`)) // the refusal says what decided
	for line := range strings.Lines(log.String()) {
		is.True(strings.Count(line, `"rank"`) <= 1) // readers of JSON keep one of two equal fields
	}
	is.Equal(countAdmitted(rankedCall(&log, 1, 1, 1)), all) // nothing changes with one rank

	newCall := rankedCall(&log, 1, 0, 1)
	countAdmitted(newCall)
	is.Equal(countOf(t, newCall().Meter, "sardineward_rank_refusals_total"), 1.0)
	interrupted := newCall()
	interrupted.runs = 1
	is.True(interrupted.acquire(interrupted.requirements()) != nil) // goes before new requests of its rank

	newCall = rankedCall(&log, 0, 0, 1)
	returning := func() *call {
		k := newCall()
		k.excess = true
		return k
	}
	atOnce := countAdmitted(returning)
	is.True(atOnce < all) // leaves capacity to new requests of its rank
	is.Equal(atOnce+countAdmitted(newCall), all)
}
