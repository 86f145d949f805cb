package matcher

// Competes reports whether requests of several ranks or workspaces may compete for a service.
func (t *Table) Competes(service string) bool {
	return len(t.ranks[service]) > 1 || t.competing[service]
}

// competingByService returns the services that requests of several workspaces lead to.
func competingByService(cfg *Configuration) map[string]bool {
	out := make(map[string]bool)
	if len(cfg.Workspaces) < 2 {
		return out
	}
	for i := range cfg.Routes {
		for _, s := range cfg.Routes[i].Splits {
			out[s.Service] = out[s.Service] || !cfg.Routes[i].Public
		}
	}
	return out
}
