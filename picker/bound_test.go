package picker

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// newCandidate returns a candidate that carries rate tokens per second through its whole layer
// range, one sequence at a time, with no fixed time per iteration.
func newCandidate(name, dc string, first, last int, rate float64) Candidate {
	layer := time.Duration(float64(time.Second) / rate / float64(last-first+1))
	return Candidate{Name: name, DataCentre: dc, First: first, Last: last, LayerTime: layer, Batch: 1, Slots: 10}
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-3*max(1, want) {
		t.Errorf("bound %v, want %v", got, want)
	}
}

// TestBound compares bounds with values calculated by hand.
func TestBound(t *testing.T) {
	for _, row := range []struct {
		name  string
		cands []Candidate
		links []LinkLimit
		work  float64
		want  float64
	}{
		{"no upstreams", nil, nil, 1, 0},
		{"one engine", []Candidate{newCandidate("a", "x", 0, 7, 100)}, nil, 1, 100},
		{"one engine, prompts double the work", []Candidate{newCandidate("a", "x", 0, 7, 100)}, nil, 2, 50},
		{"two stages, limited by the slower", []Candidate{newCandidate("a", "x", 0, 3, 100), newCandidate("b", "x", 4, 7, 60)}, nil, 1, 60},
		{"a gap in the layers", []Candidate{newCandidate("a", "x", 0, 3, 100), newCandidate("b", "x", 5, 7, 60)}, nil, 1, 0},
		{"two identical engines", []Candidate{newCandidate("a", "x", 0, 7, 100), newCandidate("b", "x", 0, 7, 100)}, nil, 1, 200},
		// c runs layers 4 to 7 of every token, so that a spends half the time on each and carries 200.
		{"overlap, second half on the faster engine", []Candidate{newCandidate("a", "x", 0, 7, 100), newCandidate("c", "x", 4, 7, 1000)}, nil, 1, 200},
		// a alone carries 50. When b runs the second half of the layers, a carries 100, and b uses
		// 100 of its 150.
		{"overlap, limited by the engine with all layers", []Candidate{newCandidate("a", "x", 0, 7, 50), newCandidate("b", "x", 4, 7, 150)}, nil, 1, 100},
		{"a narrow link", []Candidate{newCandidate("a", "x", 0, 3, 100), newCandidate("b", "y", 4, 7, 100)}, []LinkLimit{{"x", "y", 30}}, 1, 30},
		{"a link not declared", []Candidate{newCandidate("a", "x", 0, 3, 100), newCandidate("b", "y", 4, 7, 100)}, nil, 1, 100},
		{"a path around a narrow link", []Candidate{newCandidate("a", "x", 0, 3, 100), newCandidate("b", "y", 4, 7, 100), newCandidate("c", "x", 4, 7, 40)}, []LinkLimit{{"y", "x", 30}}, 1, 70},
	} {
		t.Run(row.name, func(t *testing.T) {
			got, err := ThroughputBound(row.cands, 8, row.links, row.work)
			is.New(t).NoErr(err)
			assertNear(t, got, row.want)
		})
	}
}

// TestBoundCertificate checks bounds of random fleets against the dual solution: while no path costs
// less than 1 per token, no flow exceeds the sum of budgets times prices.
func TestBoundCertificate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 24
		var cands []Candidate
		for i := range rapid.IntRange(1, 40).Draw(t, "upstreams") {
			first := 4 * rapid.IntRange(0, 5).Draw(t, "first")
			last := min(layers, first+4*rapid.IntRange(1, 6).Draw(t, "spans")) - 1
			dc := string("abc"[rapid.IntRange(0, 2).Draw(t, "data centre")])
			cands = append(cands, newCandidate(fmt.Sprint(i), dc, first, last, float64(rapid.IntRange(1, 10).Draw(t, "rate")*100)))
		}
		var limits []LinkLimit
		if rapid.Bool().Draw(t, "limited") {
			limits = []LinkLimit{{"a", "b", 50}, {"b", "c", 500}}
		}
		g := &flowProgram{boundaries: layerBoundaries(cands, layers), centres: dataCentres(cands)}
		g.addUpstreams(cands, layers, 1)
		if len(g.centres) > 1 {
			g.addLinks(limits)
		}
		value, prices, err := g.solve()
		if err != nil {
			t.Fatal(err)
		}
		column, cost := g.cheapestPath(prices)
		if column != nil && cost < 1-1e-6 {
			t.Fatalf("cheapest path costs %v, want at least 1", cost)
		}
		var dual float64
		for i, c := range g.budgets {
			dual += c * prices[i]
		}
		if math.Abs(dual-value) > 1e-6*max(1, value) {
			t.Fatalf("flow is %v, dual value is %v, want them equal", value, dual)
		}
	})
}

// TestBoundTerminates guards against a solver that cycles forever for some sets of live upstreams,
// which stops a host's periodic work. Every subset of a mixed fleet must get its bound.
func TestBoundTerminates(t *testing.T) {
	var all []Candidate
	for _, dc := range []string{"north", "port", "road"} {
		for i := range 2 {
			all = append(all, newCandidate(fmt.Sprint(dc, "front", i), dc, 0, 5, 700), newCandidate(fmt.Sprint(dc, "back", i), dc, 6, 11, 700))
		}
		all = append(all, newCandidate(dc+"mid", dc, 3, 8, 200), newCandidate(dc+"whole", dc, 0, 11, 100))
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		for i := range all {
			all[i].Excluded = rnd.IntN(3) == 0
		}
		_, err := ThroughputBound(all, 12, nil, 1)
		is.New(t).NoErr(err)
	}
}
