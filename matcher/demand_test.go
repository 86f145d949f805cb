package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/matcher"
)

// route returns a route of a rank to a service.
func route(name string, rank int, service string) matcher.Route {
	return matcher.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Priority: rank, Splits: []matcher.Split{{Service: service, Weight: 1}}}
}

func TestCompetes(t *testing.T) {
	one := matcher.Workspace{Name: "a", Keys: []string{"ka", "kb"}}
	urgent := matcher.Workspace{Name: "b", Keys: []string{"kc"}, HasPriority: true}
	for name, c := range map[string]struct {
		routes     []matcher.Route
		workspaces []matcher.Workspace
		competes   bool
	}{
		"one rank, no workspaces":   {[]matcher.Route{route("x", 1, "s"), route("y", 1, "s")}, nil, false},
		"one rank, one workspace":   {[]matcher.Route{route("x", 1, "s")}, []matcher.Workspace{one}, false},
		"two ranks":                 {[]matcher.Route{route("x", 1, "s"), route("y", 2, "s")}, nil, true},
		"ranks of another service":  {[]matcher.Route{route("x", 1, "s"), route("y", 2, "other")}, nil, false},
		"two workspaces":            {[]matcher.Route{route("x", 0, "s")}, []matcher.Workspace{one, urgent}, true},
		"rank of the one workspace": {[]matcher.Route{route("x", 1, "s"), route("y", 1, "s")}, []matcher.Workspace{urgent}, false},
		"ranks inside a workspace":  {[]matcher.Route{route("x", 1, "s"), route("y", 2, "s")}, []matcher.Workspace{urgent}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := matcher.New(&matcher.Configuration{Routes: c.routes, Workspaces: c.workspaces})
			is.New(t).Equal(table.Competes("s"), c.competes)
		})
	}
}
