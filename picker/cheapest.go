package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Cheapest takes the cheapest path over layer boundaries. A hop costs the time
// of its iteration, made dearer as the upstream fills, plus the link to it.
// An upstream may run a part of its range, so a fast one with room relieves a
// slow one that overlaps it.
type Cheapest struct {
	// Steepness is how strongly a full upstream is avoided: a hop costs
	// 1/(1-utilisation)^Steepness times its idle time. 0 means 1.
	Steepness float64
	// Spread draws each cost from 1 to 1+Spread times itself, so that hosts
	// which see the same reports don't all choose alike. 0 means none.
	Spread float64
	// PreferredCost multiplies the cost where the prefix is cached; 0 means 1.
	PreferredCost float64
}

// node is the cheapest way found to have run all layers before a boundary and
// to stand in a data centre.
type node struct {
	cost float64
	// hop is the last hop, from the node at index prev; -1 is the start.
	hop  Hop
	prev int
}

// Pick implements Policy.
func (p Cheapest) Pick(cands []Candidate, need Need, links Links, rnd *rand.Rand) Route {
	marks := boundaries(cands, need.Layers)
	centres := dataCentres(cands)
	width := len(centres)
	nodes := make([]node, len(marks)*width)
	for i := range nodes {
		nodes[i].cost = math.Inf(1)
	}
	prices := p.prices(cands, rnd)
	order := byFirst(cands)
	for m, mark := range marks[:len(marks)-1] {
		for _, i := range order {
			c := &cands[i]
			if c.First > mark {
				break
			}
			if c.Last < mark || math.IsInf(prices[i], 1) {
				continue
			}
			dc := slices.Index(centres, c.DataCentre)
			from, reach := p.arrive(nodes, m, width, centres, dc, need, links)
			if math.IsInf(reach, 1) {
				continue
			}
			for e := m + 1; e < len(marks) && marks[e] <= c.Last+1; e++ {
				n := marks[e] - mark
				cost := reach + prices[i]*(c.Step+time.Duration(n)*c.Layer).Seconds()
				at := e*width + dc
				if cost < nodes[at].cost {
					nodes[at] = node{cost, Hop{c.Name, mark, marks[e] - 1}, from}
				}
			}
		}
	}
	return trace(nodes, (len(marks)-1)*width, width, centres, need, links)
}

// prices is what a second of each candidate costs; infinite when it takes none.
func (p Cheapest) prices(cands []Candidate, rnd *rand.Rand) []float64 {
	out := make([]float64, len(cands))
	steep := p.Steepness
	if steep == 0 {
		steep = 1
	}
	for i := range cands {
		c := &cands[i]
		if !usable(c) {
			out[i] = math.Inf(1)
			continue
		}
		out[i] = math.Pow(1-c.Utilisation(), -steep) * (1 + c.Bias)
		if p.Spread > 0 {
			out[i] *= 1 + p.Spread*rnd.Float64()
		}
		if c.Preferred && p.PreferredCost > 0 {
			out[i] *= p.PreferredCost
		}
	}
	return out
}

// arrive is the cheapest way to a data centre at a boundary: from the node in
// any data centre, over the link, or over the first link at the start.
func (p Cheapest) arrive(nodes []node, m, width int, centres []string, dc int, need Need, links Links) (from int, cost float64) {
	if m == 0 {
		return -1, links.Latency(need.From, centres[dc]).Seconds()
	}
	if need.Local {
		return m*width + dc, nodes[m*width+dc].cost
	}
	from, cost = -1, math.Inf(1)
	for d := range centres {
		c := nodes[m*width+d].cost + links.Latency(centres[d], centres[dc]).Seconds()
		if c < cost {
			from, cost = m*width+d, c
		}
	}
	return from, cost
}

// trace reads the route back from the cheapest end, the link home included.
func trace(nodes []node, end, width int, centres []string, need Need, links Links) Route {
	best, cost := -1, math.Inf(1)
	for d := range width {
		c := nodes[end+d].cost + links.Latency(centres[d], need.From).Seconds()
		if c < cost {
			best, cost = end+d, c
		}
	}
	if best < 0 {
		return nil
	}
	var route Route
	for at := best; at >= 0; at = nodes[at].prev {
		route = append(route, nodes[at].hop)
	}
	slices.Reverse(route)
	return joined(route)
}

// joined merges hops on one upstream, which would otherwise cost it two
// iterations a token, and drops what lies between them: it holds those layers
// too. Engines refuse a route that names an upstream twice.
func joined(route Route) Route {
	out := route[:0]
	for _, h := range route {
		at := slices.IndexFunc(out, func(o Hop) bool { return o.Upstream == h.Upstream })
		if at < 0 {
			out = append(out, h)
			continue
		}
		out = out[:at+1]
		out[at].Last = h.Last
	}
	return out
}

// boundaries are the layers where one upstream may hand over to another, from
// 0 to the number of layers.
func boundaries(cands []Candidate, layers int) []int {
	marks := []int{0, layers}
	for i := range cands {
		for _, b := range [2]int{cands[i].First, cands[i].Last + 1} {
			if b > 0 && b < layers && !slices.Contains(marks, b) {
				marks = append(marks, b)
			}
		}
	}
	slices.Sort(marks)
	return marks
}

func dataCentres(cands []Candidate) []string {
	var out []string
	for i := range cands {
		if !slices.Contains(out, cands[i].DataCentre) {
			out = append(out, cands[i].DataCentre)
		}
	}
	return out
}

func byFirst(cands []Candidate) []int {
	out := make([]int, len(cands))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cands[a].First - cands[b].First })
	return out
}
