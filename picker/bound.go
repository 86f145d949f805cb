package picker

import "slices"

// LinkLimit is the bandwidth of a link between two data centres: how many tokens' activations it
// carries per second in each direction. 0 means unlimited.
type LinkLimit struct {
	From, To        string
	TokensPerSecond float64
}

// ThroughputBound returns the most tokens per second that the candidates and links can carry when
// each token passes each layer once. work is the cost of a token in iterations: 1 for a generated
// token, more when the cost of reading prompts is spread over the tokens.
//
// It solves a linear program of flow through a graph whose nodes are (layer boundary, data centre).
// An upstream carries tokens from one boundary to a later one and spends its time on them; links
// carry tokens between data centres. Identical upstreams share one budget, so the program's size
// depends on the number of kinds of upstreams and not on the size of the fleet.
func ThroughputBound(cands []Candidate, layers int, limits []LinkLimit, work float64) (float64, error) {
	g := &flowProgram{boundaries: layerBoundaries(cands, layers), centres: dataCentres(cands)}
	if len(cands) == 0 {
		return 0, nil
	}
	g.addUpstreams(cands, layers, work)
	if len(g.centres) > 1 {
		g.addLinks(limits)
	}
	value, _, err := g.solve()
	return value, err
}

// flowProgram is the linear program of ThroughputBound.
type flowProgram struct {
	boundaries []int
	centres    []string
	edges      []edge
	// budgets are the capacities that edges consume: the time of a group of identical upstreams, in
	// seconds per second, or the tokens per second of a link.
	budgets []float64
}

// edge carries tokens from one node to another and consumes usage of a budget for each token.
type edge struct {
	from, to int
	// budget is an index into flowProgram.budgets, or -1 when the edge is unlimited.
	budget int
	usage  float64
}

// upstreamKind identifies upstreams that are identical to the linear program.
type upstreamKind struct {
	dataCentre  string
	first, last int
	step, layer int64
	batch       int
}

func (g *flowProgram) nodeIndex(boundary, centre int) int { return boundary*len(g.centres) + centre }

func (g *flowProgram) addUpstreams(cands []Candidate, layers int, work float64) {
	groups := make(map[upstreamKind]int)
	var order []upstreamKind
	sample := make(map[upstreamKind]*Candidate)
	for i := range cands {
		c := &cands[i]
		if c.Excluded {
			continue
		}
		kind := upstreamKind{c.DataCentre, c.First, c.Last, int64(c.StepTime), int64(c.LayerTime), c.Batch}
		if groups[kind] == 0 {
			order = append(order, kind)
			sample[kind] = c
		}
		groups[kind]++
	}
	for _, kind := range order {
		budget := len(g.budgets)
		g.budgets = append(g.budgets, float64(groups[kind]))
		dc := slices.Index(g.centres, kind.dataCentre)
		for a, from := range g.boundaries {
			for b := a + 1; b < len(g.boundaries); b++ {
				to := g.boundaries[b]
				if from < kind.first || to > min(kind.last+1, layers) {
					continue
				}
				g.edges = append(g.edges, edge{g.nodeIndex(a, dc), g.nodeIndex(b, dc), budget, work / sample[kind].Rate(to-from)})
			}
		}
	}
}

func (g *flowProgram) addLinks(limits []LinkLimit) {
	for i, from := range g.centres {
		for j, to := range g.centres {
			if i == j {
				continue
			}
			budget := g.addLinkBudget(from, to, limits)
			for m := 1; m < len(g.boundaries)-1; m++ {
				g.edges = append(g.edges, edge{g.nodeIndex(m, i), g.nodeIndex(m, j), budget, 1})
			}
		}
	}
}

// addLinkBudget adds the budget of a link and returns its index, or -1 when no limit is declared.
func (g *flowProgram) addLinkBudget(from, to string, limits []LinkLimit) int {
	for _, l := range limits {
		same := l.From == from && l.To == to || l.From == to && l.To == from
		if same && l.TokensPerSecond > 0 {
			g.budgets = append(g.budgets, l.TokensPerSecond)
			return len(g.budgets) - 1
		}
	}
	return -1
}
