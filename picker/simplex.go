package picker

import (
	"errors"
	"math"
	"slices"
)

// maxPivots limits the simplex pivots of one bound. The largest bounds seen needed a few hundred.
const maxPivots = 20000

var errPivotLimit = errors.New("picker: throughput bound not found within the maximum number of simplex pivots")

// solve returns the maximum flow from the first boundary to the last, in tokens per second, and the
// dual price of each budget at that flow.
//
// It is the revised simplex method over paths with column generation: it maximises the sum of the
// paths' flows while no budget is exceeded. The entering column is the cheapest path at the current
// prices; when that path costs at least 1 per token, the flow is optimal. A simplex over edges, as
// in common libraries, has conservation rows with a right side of zero: its pivots can make no
// progress, and it cycles forever on some sets of upstreams. Here every right side starts above
// zero, and the number of pivots is limited.
func (g *flowProgram) solve() (value float64, prices []float64, err error) {
	t := newTableau(g.budgets)
	slices.SortStableFunc(g.edges, func(a, b edge) int { return a.from - b.from })
	for range maxPivots {
		prices = t.prices()
		if j := firstNegative(prices); j >= 0 {
			t.pivot(unitVector(len(g.budgets), j), 0)
			continue
		}
		column, cost := g.cheapestPath(prices)
		if cost >= 1-tolerance || column == nil {
			return t.value(), prices, nil
		}
		t.pivot(column, 1)
	}
	return 0, nil, errPivotLimit
}

// tolerance is the rounding error below which two floating-point values count as equal.
const tolerance = 1e-9

// firstNegative returns the index of the first price below zero, or -1. Bringing the slack of that
// budget into the basis increases the flow.
func firstNegative(prices []float64) int {
	return slices.IndexFunc(prices, func(p float64) bool { return p < -tolerance })
}

func unitVector(n, j int) []float64 {
	out := make([]float64, n)
	out[j] = 1
	return out
}

// cheapestPath finds the path of the lowest cost from the first boundary to the last. column is what
// the path consumes of each budget for one token; it is nil when there is no path.
func (g *flowProgram) cheapestPath(prices []float64) (column []float64, cost float64) {
	width := len(g.centres)
	n := len(g.boundaries) * width
	best := make([]float64, n)
	via := make([]int, n)
	for i := range best {
		best[i], via[i] = math.Inf(1), -1
		if i < width {
			best[i] = 0
		}
	}
	// Edges are sorted by the node they start from, but links connect the data centres of one
	// boundary, so another pass may still find a cheaper path.
	for changed := true; changed; {
		changed = false
		for i, e := range g.edges {
			c := best[e.from]
			if e.budget >= 0 {
				c += e.usage * max(0, prices[e.budget])
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
	column = make([]float64, len(g.budgets))
	for at := end; via[at] >= 0; at = g.edges[via[at]].from {
		if e := g.edges[via[at]]; e.budget >= 0 {
			column[e.budget] += e.usage
		}
	}
	return column, best[end]
}

// tableau is the state of the simplex method: the inverse of the basis matrix, and the flow and the
// objective coefficient (gain) of each column in the basis. At first the basis is all slacks.
type tableau struct {
	inverse [][]float64
	flows   []float64
	gains   []float64
}

func newTableau(budgets []float64) *tableau {
	t := &tableau{flows: slices.Clone(budgets), gains: make([]float64, len(budgets))}
	for i := range budgets {
		t.inverse = append(t.inverse, unitVector(len(budgets), i))
	}
	return t
}

// value returns the total flow of the paths in the basis.
func (t *tableau) value() float64 {
	var sum float64
	for i, g := range t.gains {
		sum += g * t.flows[i]
	}
	return sum
}

// prices returns the dual price of each budget: the flow that one more unit of it would add.
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

// pivot brings a column into the basis. It replaces the column whose flow reaches zero first as the
// new column's flow grows (the ratio test).
func (t *tableau) pivot(column []float64, gain float64) {
	d := make([]float64, len(column))
	leaving, ratio := -1, math.Inf(1)
	for i, row := range t.inverse {
		for j, v := range column {
			d[i] += row[j] * v
		}
		if d[i] > tolerance && t.flows[i]/d[i] < ratio {
			leaving, ratio = i, t.flows[i]/d[i]
		}
	}
	if leaving < 0 {
		return
	}
	for j := range t.inverse[leaving] {
		t.inverse[leaving][j] /= d[leaving]
	}
	t.flows[leaving], t.gains[leaving] = ratio, gain
	for i := range t.inverse {
		if i == leaving || d[i] == 0 {
			continue
		}
		for j, v := range t.inverse[leaving] {
			t.inverse[i][j] -= d[i] * v
		}
		t.flows[i] = max(0, t.flows[i]-d[i]*ratio)
	}
}
