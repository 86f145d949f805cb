package picker

import (
	"errors"
	"math"
	"slices"
)

// maxPivots bounds the work of one bound; the largest seen took a few hundred.
const maxPivots = 20000

var errPivots = errors.New("picker: bound not found within the limit of pivots")

// solve finds the most flow from the first boundary to the last, and the price
// of each budget at which it is the most.
//
// It is the revised simplex method over paths: maximise the sum of the paths'
// flows while no budget is overspent. Columns aren't listed; the next one is
// the cheapest path at the present prices, and when it costs a whole token
// there is no better. A library's simplex over edges was used first. Its
// conservation rows have a right side of zero, so pivots made no progress, and
// it went round in circles for ever on some sets of upstreams. Here every right
// side is above zero, and the number of pivots is bounded.
func (g *flow) solve() (value float64, prices []float64, err error) {
	t := newTableau(g.caps)
	slices.SortStableFunc(g.edges, func(a, b edge) int { return a.from - b.from })
	for range maxPivots {
		prices = t.prices()
		if j := negative(prices); j >= 0 {
			t.pivot(unit(len(g.caps), j), 0)
			continue
		}
		column, cost := g.cheapest(prices)
		if cost >= 1-tolerance || column == nil {
			return t.value(), prices, nil
		}
		t.pivot(column, 1)
	}
	return 0, nil, errPivots
}

const tolerance = 1e-9

// negative finds a price below zero: its budget's slack improves the flow.
func negative(prices []float64) int {
	return slices.IndexFunc(prices, func(p float64) bool { return p < -tolerance })
}

func unit(n, j int) []float64 {
	out := make([]float64, n)
	out[j] = 1
	return out
}

// cheapest is the path of the lowest price from the first boundary to the last,
// as what it spends of each budget for one token; nil when there is none.
func (g *flow) cheapest(prices []float64) (column []float64, cost float64) {
	width := len(g.centres)
	n := len(g.marks) * width
	best := make([]float64, n)
	via := make([]int, n)
	for i := range best {
		best[i], via[i] = math.Inf(1), -1
		if i < width {
			best[i] = 0
		}
	}
	// Edges are in the order of their boundary, but links join the data centres
	// of one boundary, so a second round may still improve.
	for changed := true; changed; {
		changed = false
		for i, e := range g.edges {
			c := best[e.from]
			if e.budget >= 0 {
				c += e.use * max(0, prices[e.budget])
			}
			if c < best[e.to]-tolerance*tolerance {
				best[e.to], via[e.to], changed = c, i, true
			}
		}
	}
	end := n - width
	for i := end; i < n; i++ {
		if best[i] < best[end] {
			end = i
		}
	}
	if math.IsInf(best[end], 1) {
		return nil, 0
	}
	column = make([]float64, len(g.caps))
	for at := end; via[at] >= 0; at = g.edges[via[at]].from {
		if e := g.edges[via[at]]; e.budget >= 0 {
			column[e.budget] += e.use
		}
	}
	return column, best[end]
}

// tableau is the state of the simplex method: the inverse of the basis, and
// the flow and gain of each column in it. It starts with all slacks.
type tableau struct {
	inverse [][]float64
	flows   []float64
	gains   []float64
}

func newTableau(caps []float64) *tableau {
	t := &tableau{flows: slices.Clone(caps), gains: make([]float64, len(caps))}
	for i := range caps {
		t.inverse = append(t.inverse, unit(len(caps), i))
	}
	return t
}

func (t *tableau) value() float64 {
	var sum float64
	for i, g := range t.gains {
		sum += g * t.flows[i]
	}
	return sum
}

// prices is what one more unit of each budget is worth.
func (t *tableau) prices() []float64 {
	out := make([]float64, len(t.flows))
	for i, g := range t.gains {
		if g == 0 {
			continue
		}
		for j, v := range t.inverse[i] {
			out[j] += g * v
		}
	}
	return out
}

// pivot brings a column into the basis, in place of the one that runs out
// first.
func (t *tableau) pivot(column []float64, gain float64) {
	d := make([]float64, len(column))
	leaves, ratio := -1, math.Inf(1)
	for i, row := range t.inverse {
		for j, v := range column {
			d[i] += row[j] * v
		}
		if d[i] > tolerance && t.flows[i]/d[i] < ratio {
			leaves, ratio = i, t.flows[i]/d[i]
		}
	}
	if leaves < 0 {
		return
	}
	for j := range t.inverse[leaves] {
		t.inverse[leaves][j] /= d[leaves]
	}
	t.flows[leaves], t.gains[leaves] = ratio, gain
	for i := range t.inverse {
		if i == leaves || d[i] == 0 {
			continue
		}
		for j, v := range t.inverse[leaves] {
			t.inverse[i][j] -= d[i] * v
		}
		t.flows[i] = max(0, t.flows[i]-d[i]*ratio)
	}
}
