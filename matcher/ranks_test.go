package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/matcher"
)

// rankedRoute returns a route with a priority and one split.
func rankedRoute(prefix string, priority int, public bool, service string) matcher.Route {
	return matcher.Route{Host: "h", Prefix: prefix, Priority: priority, Public: public, Splits: []matcher.Split{{Service: service, Weight: 1}}}
}

func TestRanks(t *testing.T) {
	routes := []matcher.Route{
		rankedRoute("/a/", 2, false, "model"), rankedRoute("/b/", 0, false, "model"), rankedRoute("/c/", 2, true, "model"),
		rankedRoute("/d/", 1, false, "desk"), rankedRoute("/e/", 1, true, "desk"),
	}
	t.Run("routes", func(t *testing.T) {
		is := is.New(t)
		table := matcher.New(&matcher.Configuration{Routes: routes})
		is.Equal(table.Ranks("model"), []int{0, 2})
		is.Equal(table.Ranks("desk"), []int{1})
		is.Equal(len(table.Ranks("other")), 0)
	})
	t.Run("workspaces go before routes that need a key", func(t *testing.T) {
		is := is.New(t)
		table := matcher.New(&matcher.Configuration{Routes: routes, Workspaces: []matcher.Workspace{{Priority: 7, HasPriority: true}, {Priority: 9}}})
		is.Equal(table.Ranks("model"), []int{0, 2002, 7000, 7002})
		is.Equal(table.Ranks("desk"), []int{1001, 7001})
	})
	t.Run("workspaces without priority", func(t *testing.T) {
		is := is.New(t)
		table := matcher.New(&matcher.Configuration{Routes: routes, Workspaces: []matcher.Workspace{{Priority: 9}}})
		is.Equal(table.Ranks("model"), []int{0, 2})
	})
	t.Run("splits without weight", func(t *testing.T) {
		is := is.New(t)
		route := matcher.Route{Priority: 3, Splits: []matcher.Split{{Service: "model"}, {Service: "desk"}}}
		table := matcher.New(&matcher.Configuration{Routes: []matcher.Route{route}})
		is.Equal(table.Ranks("model"), []int{3})
		is.Equal(len(table.Ranks("desk")), 0)
	})
}

// TestRank guards against a request of a less urgent workspace that goes before one of a more urgent
// workspace because of its route, and against routes that count for nothing inside a workspace.
func TestRank(t *testing.T) {
	is := is.New(t)
	hint, essay := rankedRoute("/a/", 0, false, "model"), rankedRoute("/b/", 2, false, "model")
	first, second := matcher.Workspace{HasPriority: true}, matcher.Workspace{Priority: 1, HasPriority: true}
	table := matcher.New(&matcher.Configuration{Routes: []matcher.Route{hint, essay}, Workspaces: []matcher.Workspace{first, second}})
	is.True(table.Rank(&hint, &first) < table.Rank(&essay, &first))
	is.True(table.Rank(&essay, &first) < table.Rank(&hint, &second))
	is.True(table.Rank(&hint, &second) < table.Rank(&essay, &second))
	is.Equal(len(table.Ranks("model")), 4)
}
