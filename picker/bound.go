package picker

import "slices"

// LinkLimit is how many tokens' activations a link carries a second.
type LinkLimit struct {
	From, To        string
	TokensPerSecond float64
}

// Bound is the most tokens a second that the candidates and links can carry,
// each layer once for each token. work is the iterations' worth of a token: 1
// for a generated one, more when prompts are read beside it.
//
// It is a linear program. A token flows over nodes (boundary, data centre);
// an upstream carries it from one boundary to a later one and spends its time
// on it, and links carry it between data centres. Alike upstreams are one
// budget, so the program grows with kinds and not with the fleet.
func Bound(cands []Candidate, layers int, limits []LinkLimit, work float64) (float64, error) {
	g := &flow{marks: boundaries(cands, layers), centres: dataCentres(cands)}
	if len(cands) == 0 {
		return 0, nil
	}
	g.upstreams(cands, layers, work)
	if len(g.centres) > 1 {
		g.links(limits)
	}
	value, _, err := g.solve()
	return value, err
}

// flow is a linear program under construction.
type flow struct {
	marks   []int
	centres []string
	edges   []edge
	// caps are the budgets that edges spend from: a group's time, a link.
	caps []float64
}

// edge carries tokens between two nodes and spends use of a budget for each.
type edge struct {
	from, to int
	// budget is an index of caps, or -1.
	budget int
	use    float64
}

type alike struct {
	dataCentre  string
	first, last int
	step, layer int64
	batch       int
}

func (g *flow) node(mark, centre int) int { return mark*len(g.centres) + centre }

func (g *flow) upstreams(cands []Candidate, layers int, work float64) {
	groups := make(map[alike]int)
	var order []alike
	sample := make(map[alike]*Candidate)
	for i := range cands {
		c := &cands[i]
		if c.Excluded {
			continue
		}
		k := alike{c.DataCentre, c.First, c.Last, int64(c.Step), int64(c.Layer), c.Batch}
		if groups[k] == 0 {
			order = append(order, k)
			sample[k] = c
		}
		groups[k]++
	}
	for _, k := range order {
		budget := len(g.caps)
		g.caps = append(g.caps, float64(groups[k]))
		dc := slices.Index(g.centres, k.dataCentre)
		for a, from := range g.marks {
			for b := a + 1; b < len(g.marks); b++ {
				to := g.marks[b]
				if from < k.first || to > min(k.last+1, layers) {
					continue
				}
				g.edges = append(g.edges, edge{g.node(a, dc), g.node(b, dc), budget, work / sample[k].Rate(to-from)})
			}
		}
	}
}

func (g *flow) links(limits []LinkLimit) {
	for i, from := range g.centres {
		for j, to := range g.centres {
			if i == j {
				continue
			}
			budget := g.linkBudget(from, to, limits)
			for m := 1; m < len(g.marks)-1; m++ {
				g.edges = append(g.edges, edge{g.node(m, i), g.node(m, j), budget, 1})
			}
		}
	}
}

func (g *flow) linkBudget(from, to string, limits []LinkLimit) int {
	for _, l := range limits {
		same := l.From == from && l.To == to || l.From == to && l.To == from
		if same && l.TokensPerSecond > 0 {
			g.caps = append(g.caps, l.TokensPerSecond)
			return len(g.caps) - 1
		}
	}
	return -1
}
