package picker

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Cheapest takes the cheapest path over layer boundaries. A hop costs the time of its iteration,
// multiplied by a factor that grows with the upstream's utilisation, plus the latency of the link to
// it. An upstream may run only a part of its layer range, so that a fast upstream with free slots
// takes over layers of a slow one that overlaps it.
type Cheapest struct {
	// Steepness is how strongly a utilised upstream is avoided: a hop costs
	// 1/(1-utilisation)^Steepness times what it costs on an idle upstream. 0 means 1.
	Steepness float64
	// Jitter randomises costs: each is multiplied by a random factor between 1 and 1+Jitter,
	// so that hosts with the same load reports don't all choose the same upstream. 0 means none.
	Jitter float64
	// PreferredFactor multiplies the cost of a Preferred candidate; 0 means 1.
	PreferredFactor float64
}

// bestPath is the cheapest path found so far that has run all layers before a boundary and ends in a
// given data centre.
type bestPath struct {
	cost float64
	// hop is the last hop of the path. prev is the index of the path before it; -1 is the start.
	hop  Hop
	prev int
}

// Pick implements Policy.
func (p Cheapest) Pick(cands []Candidate, need Requirements, links Links, rnd *rand.Rand) Route {
	boundaries := layerBoundaries(cands, need.Layers)
	centres := dataCentres(cands)
	width := len(centres)
	nodes := make([]bestPath, len(boundaries)*width)
	for i := range nodes {
		nodes[i].cost = math.Inf(1)
	}
	factors := p.costFactors(cands, rnd)
	order := indexesByFirstLayer(cands)
	for m, boundary := range boundaries[:len(boundaries)-1] {
		for _, i := range order {
			c := &cands[i]
			if c.First > boundary {
				break
			}
			if c.Last < boundary || math.IsInf(factors[i], 1) {
				continue
			}
			dc := slices.Index(centres, c.DataCentre)
			from, arrivalCost := p.cheapestArrival(nodes, m, width, centres, dc, need, links)
			if math.IsInf(arrivalCost, 1) {
				continue
			}
			for e := m + 1; e < len(boundaries) && boundaries[e] <= c.Last+1; e++ {
				n := boundaries[e] - boundary
				cost := arrivalCost + factors[i]*(c.StepTime+time.Duration(n)*c.LayerTime).Seconds()
				at := e*width + dc
				if cost < nodes[at].cost {
					nodes[at] = bestPath{cost, Hop{c.Name, boundary, boundaries[e] - 1}, from}
				}
			}
		}
	}
	return traceRoute(nodes, (len(boundaries)-1)*width, width, centres, need, links)
}

// costFactors returns the cost of a second of iteration time on each candidate, infinite for a
// candidate that is excluded or full.
func (p Cheapest) costFactors(cands []Candidate, rnd *rand.Rand) []float64 {
	out := make([]float64, len(cands))
	steepness := p.Steepness
	if steepness == 0 {
		steepness = 1
	}
	for i := range cands {
		c := &cands[i]
		if !usable(c) {
			out[i] = math.Inf(1)
			continue
		}
		out[i] = math.Pow(1-c.Utilisation(), -steepness) * (1 + c.Bias)
		if p.Jitter > 0 {
			out[i] *= 1 + p.Jitter*rnd.Float64()
		}
		if c.Preferred && p.PreferredFactor > 0 {
			out[i] *= p.PreferredFactor
		}
	}
	return out
}

// cheapestArrival returns the cheapest cost of reaching data centre dc at boundary m, and the index
// of the path that it extends. At boundary 0 the cost is the link from the request's data centre and
// the index is -1.
func (p Cheapest) cheapestArrival(nodes []bestPath, m, width int, centres []string, dc int, need Requirements, links Links) (from int, cost float64) {
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

// traceRoute returns the route of the cheapest complete path, counting the link back to the
// request's data centre. It returns nil when there is none.
func traceRoute(nodes []bestPath, end, width int, centres []string, need Requirements, links Links) Route {
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
	return mergeHops(route)
}

// mergeHops merges all hops on one upstream into one and drops the hops between them, since that
// upstream holds their layers too. Two hops would cost the upstream two iterations per token, and
// engines refuse a route that names an upstream twice.
func mergeHops(route Route) Route {
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

// layerBoundaries returns, in order, the layers at which one upstream may hand over to another: 0,
// the number of layers, and each start and end of a layer range between them.
func layerBoundaries(cands []Candidate, layers int) []int {
	out := []int{0, layers}
	for i := range cands {
		for _, b := range [2]int{cands[i].First, cands[i].Last + 1} {
			if b > 0 && b < layers && !slices.Contains(out, b) {
				out = append(out, b)
			}
		}
	}
	slices.Sort(out)
	return out
}

// dataCentres returns the data centres of the candidates, each once.
func dataCentres(cands []Candidate) []string {
	var out []string
	for i := range cands {
		if !slices.Contains(out, cands[i].DataCentre) {
			out = append(out, cands[i].DataCentre)
		}
	}
	return out
}

// indexesByFirstLayer returns the indexes of the candidates in the order of their first layers.
func indexesByFirstLayer(cands []Candidate) []int {
	out := make([]int, len(cands))
	for i := range out {
		out[i] = i
	}
	slices.SortStableFunc(out, func(a, b int) int { return cands[a].First - cands[b].First })
	return out
}
