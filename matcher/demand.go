package matcher

// Contended returns the services for which requests of several ranks or workspaces may compete.
func (t *Table) Contended() map[string]bool {
	workspaces := make(map[string]*Workspace)
	for _, w := range t.keys {
		workspaces[w.Name] = w
	}
	ranks := make(map[string]map[int]bool)
	add := func(r *Route, rank int) {
		for _, s := range r.Splits {
			if ranks[s.Service] == nil {
				ranks[s.Service] = make(map[int]bool)
			}
			ranks[s.Service][rank] = true
		}
	}
	out := make(map[string]bool)
	for _, byPrefix := range t.routes {
		for _, r := range byPrefix {
			if r.Public || !t.RequiresKey {
				add(r, r.Priority)
				continue
			}
			for _, w := range workspaces {
				add(r, w.RankOn(r))
			}
			for _, s := range r.Splits {
				out[s.Service] = out[s.Service] || len(workspaces) > 1
			}
		}
	}
	for name, distinct := range ranks {
		out[name] = out[name] || len(distinct) > 1
	}
	return out
}

// RankOn returns the rank of the workspace's requests to a route: its own priority goes before the
// route's. A nil workspace is a caller without a key.
func (w *Workspace) RankOn(r *Route) int {
	if w != nil && w.HasPriority {
		return w.Priority
	}
	return r.Priority
}
