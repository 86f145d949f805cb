package matcher

import "slices"

// Ranks returns the distinct priorities that requests to a service may have, ascending: the most
// urgent one comes first. The caller must not change the result.
func (t *Table) Ranks(service string) []int { return t.ranks[service] }

// Rank returns the priority of a request. w is nil where the route needs no key.
func (r *Route) Rank(w *Workspace) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}

// ranksByService returns the ranks of each service that some route leads to.
func ranksByService(cfg *Configuration) map[string][]int {
	out := make(map[string][]int)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		ranks := routeRanks(r, cfg.Workspaces)
		for n, s := range r.Splits {
			// Where all weights are 0, the first split gets all requests.
			if s.Weight > 0 || n == 0 {
				out[s.Service] = append(out[s.Service], ranks...)
			}
		}
	}
	for name, ranks := range out {
		slices.Sort(ranks)
		out[name] = slices.Compact(ranks)
	}
	return out
}

// routeRanks returns the priorities that requests to a route may have, with repetitions.
func routeRanks(r *Route, workspaces []Workspace) []int {
	if r.Public || len(workspaces) == 0 {
		return []int{r.Priority}
	}
	var out []int
	for i := range workspaces {
		out = append(out, r.Rank(&workspaces[i]))
	}
	return out
}
