package matcher_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/matcher"
)

func TestRoute(t *testing.T) {
	table := matcher.New(&matcher.Configuration{Routes: []matcher.Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "lots", Host: "a.example", Prefix: "/lots/"},
		{Name: "lot 7", Host: "a.example", Prefix: "/lots/7/"},
		{Name: "other", Host: "b.example", Prefix: "/lots/"},
	}})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/lots/7/grade", "lot 7"},
		{"a.example", "/lots/7", "lots"}, // a prefix ends at a slash
		{"a.example", "/lots/70/", "lots"},
		{"a.example", "/lots", "root"},
		{"A.Example:8080", "/lots/1", "lots"}, // case and port don't matter
		{"b.example", "/lots/1", "other"},
		{"b.example", "/", ""},
		{"c.example", "/lots/1", ""},
		{"a.example", "", ""},
		{"a.example", "*", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			got := ""
			if r := table.Route(tc.host, tc.path); r != nil {
				got = r.Name
			}
			is.New(t).Equal(got, tc.want)
		})
	}
}

func TestSplit(t *testing.T) {
	is := is.New(t)
	cfg := &matcher.Configuration{
		Routes:   []matcher.Route{{Host: "a", Prefix: "/", Splits: []matcher.Split{{"new", 10}, {"old", 90}, {"off", 0}}}},
		Services: []matcher.Service{{Name: "new"}, {Name: "old"}, {Name: "off"}},
	}
	table := matcher.New(cfg)
	got := make(map[string]int)
	for n := range 100 {
		got[table.Service(&cfg.Routes[0], float64(n)/100).Name]++
	}
	is.Equal(got, map[string]int{"new": 10, "old": 90})
}

func TestRepeatable(t *testing.T) {
	is := is.New(t)
	is.True((&matcher.Route{Kind: matcher.KindIdempotent}).Repeatable())
	is.True(!(&matcher.Route{Kind: matcher.KindNonIdempotent}).Repeatable())
	is.True(!(&matcher.Route{Kind: matcher.KindStreaming}).Repeatable())
	is.True((&matcher.Route{Kind: matcher.KindStreaming, Resumable: true}).Repeatable())
}
