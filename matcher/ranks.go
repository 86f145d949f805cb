package matcher

import "slices"

// rankSteps is how many priorities of routes are distinct for each priority of a workspace.
const rankSteps = 1000

// Ranks returns the distinct ranks that requests to a service may have, ascending: the most urgent one
// comes first. The caller must not change the result.
func (t *Table) Ranks(service string) []int { return t.ranks[service] }

// Rank returns the rank of a request, of which the lowest is the most urgent. w is nil where the route
// needs no key.
//
// The rank is the route's priority. Where some workspace has a priority, this goes before the route's:
// the rank is rankSteps times the priority of the workspace, or of the route if the workspace has none,
// plus the priority of the route, which orders requests of equally urgent workspaces.
func (t *Table) Rank(r *Route, w *Workspace) int {
	if !t.ranksWorkspaces {
		return r.Priority
	}
	first := r.Priority
	if w != nil && w.HasPriority {
		first = w.Priority
	}
	return first*rankSteps + min(max(r.Priority, 0), rankSteps-1)
}

// setRanks computes the ranks of each service that some route leads to.
func (t *Table) setRanks(cfg *Configuration) {
	t.ranksWorkspaces = slices.ContainsFunc(cfg.Workspaces, func(w Workspace) bool { return w.HasPriority })
	t.ranks = make(map[string][]int)
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		ranks := t.routeRanks(r, cfg.Workspaces)
		for n, s := range r.Splits {
			// Where all weights are 0, the first split gets all requests.
			if s.Weight > 0 || n == 0 {
				t.ranks[s.Service] = append(t.ranks[s.Service], ranks...)
			}
		}
	}
	for name, ranks := range t.ranks {
		slices.Sort(ranks)
		t.ranks[name] = slices.Compact(ranks)
	}
}

// routeRanks returns the ranks that requests to a route may have, with repetitions.
func (t *Table) routeRanks(r *Route, workspaces []Workspace) []int {
	if r.Public || len(workspaces) == 0 {
		return []int{t.Rank(r, nil)}
	}
	var out []int
	for i := range workspaces {
		out = append(out, t.Rank(r, &workspaces[i]))
	}
	return out
}
