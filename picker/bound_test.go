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

// up is a candidate that runs rate tokens a second of its whole range, one at a
// time, with no fixed time.
func up(name, dc string, first, last int, rate float64) Candidate {
	layer := time.Duration(float64(time.Second) / rate / float64(last-first+1))
	return Candidate{Name: name, DataCentre: dc, First: first, Last: last, Layer: layer, Batch: 1, Slots: 10}
}

func assertNear(t *testing.T, got, want float64) {
	t.Helper()
	if math.Abs(got-want) > 1e-3*max(1, want) {
		t.Errorf("bound %v, want %v", got, want)
	}
}

// TestBound compares bounds with ones worked out by hand.
func TestBound(t *testing.T) {
	for _, row := range []struct {
		name  string
		cands []Candidate
		links []LinkLimit
		work  float64
		want  float64
	}{
		{"nothing", nil, nil, 1, 0},
		{"one engine", []Candidate{up("a", "x", 0, 7, 100)}, nil, 1, 100},
		{"one engine, prompts as much again", []Candidate{up("a", "x", 0, 7, 100)}, nil, 2, 50},
		{"two stages, the slower counts", []Candidate{up("a", "x", 0, 3, 100), up("b", "x", 4, 7, 60)}, nil, 1, 60},
		{"a gap", []Candidate{up("a", "x", 0, 3, 100), up("b", "x", 5, 7, 60)}, nil, 1, 0},
		{"two alike", []Candidate{up("a", "x", 0, 7, 100), up("b", "x", 0, 7, 100)}, nil, 1, 200},
		// c takes over layers 4 to 7 of a's tokens, which then costs a half.
		{"overlap relieves", []Candidate{up("a", "x", 0, 7, 100), up("c", "x", 4, 7, 1000)}, nil, 1, 200},
		// a alone carries 50; with b after its half it carries 100, b spends
		// 100 of 150.
		{"overlap both ways", []Candidate{up("a", "x", 0, 7, 50), up("b", "x", 4, 7, 150)}, nil, 1, 100},
		{"a narrow link", []Candidate{up("a", "x", 0, 3, 100), up("b", "y", 4, 7, 100)}, []LinkLimit{{"x", "y", 30}}, 1, 30},
		{"a link not declared", []Candidate{up("a", "x", 0, 3, 100), up("b", "y", 4, 7, 100)}, nil, 1, 100},
		{"around a narrow link", []Candidate{up("a", "x", 0, 3, 100), up("b", "y", 4, 7, 100), up("c", "x", 4, 7, 40)}, []LinkLimit{{"y", "x", 30}}, 1, 70},
	} {
		t.Run(row.name, func(t *testing.T) {
			got, err := Bound(row.cands, 8, row.links, row.work)
			is.New(t).NoErr(err)
			assertNear(t, got, row.want)
		})
	}
}

// TestBoundCertificate checks bounds of random fleets against their prices: by
// duality no flow is above the sum of budgets times prices, when no path costs
// less than a token.
func TestBoundCertificate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const layers = 24
		var cands []Candidate
		for i := range rapid.IntRange(1, 40).Draw(t, "upstreams") {
			first := 4 * rapid.IntRange(0, 5).Draw(t, "first")
			last := min(layers, first+4*rapid.IntRange(1, 6).Draw(t, "spans")) - 1
			dc := string("abc"[rapid.IntRange(0, 2).Draw(t, "data centre")])
			cands = append(cands, up(fmt.Sprint(i), dc, first, last, float64(rapid.IntRange(1, 10).Draw(t, "rate")*100)))
		}
		var limits []LinkLimit
		if rapid.Bool().Draw(t, "limited") {
			limits = []LinkLimit{{"a", "b", 50}, {"b", "c", 500}}
		}
		g := &flow{marks: boundaries(cands, layers), centres: dataCentres(cands)}
		g.upstreams(cands, layers, 1)
		if len(g.centres) > 1 {
			g.links(limits)
		}
		value, prices, err := g.solve()
		if err != nil {
			t.Fatal(err)
		}
		column, cost := g.cheapest(prices)
		if column != nil && cost < 1-1e-6 {
			t.Fatalf("a path costs %v", cost)
		}
		var dual float64
		for i, c := range g.caps {
			dual += c * prices[i]
		}
		if math.Abs(dual-value) > 1e-6*max(1, value) {
			t.Fatalf("flow %v, prices give %v", value, dual)
		}
	})
}

// TestBoundEnds. A host's housekeeping stopped and one processor was busy for
// good: the bound of some sets of upstreams, as they fall and return, never
// ended. Every subset of a mixed fleet must have its bound.
func TestBoundEnds(t *testing.T) {
	var all []Candidate
	for _, dc := range []string{"north", "port", "road"} {
		for i := range 2 {
			all = append(all, up(fmt.Sprint(dc, "front", i), dc, 0, 5, 700), up(fmt.Sprint(dc, "back", i), dc, 6, 11, 700))
		}
		all = append(all, up(dc+"mid", dc, 3, 8, 200), up(dc+"whole", dc, 0, 11, 100))
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 2000 {
		for i := range all {
			all[i].Excluded = rnd.IntN(3) == 0
		}
		_, err := Bound(all, 12, nil, 1)
		is.New(t).NoErr(err)
	}
}
