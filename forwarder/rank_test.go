package forwarder

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

func TestUrgency(t *testing.T) {
	for n := 2; n <= 24; n++ {
		is := is.New(t)
		ranks := make([]int, n)
		for i := range ranks {
			ranks[i] = 3 * i
		}
		is.Equal(urgency(ranks, ranks[0]), 0)
		is.Equal(urgency(ranks, ranks[n-1]), maxUrgency)
		for i := 1; i < n; i++ {
			before, after := urgency(ranks, ranks[i-1]), urgency(ranks, ranks[i])
			is.True(before <= after)
			is.True(n > 10 || before < after) // up to ten ranks are not merged
		}
	}
}

// urgencyHeaders returns the urgency header of an upstream request for each route of a service,
// which have the given priorities. The caller sends a value of its own.
func urgencyHeaders(priorities ...int) []string {
	cfg := &matcher.Configuration{Services: []matcher.Service{{Name: "model"}}}
	for _, p := range priorities {
		cfg.Routes = append(cfg.Routes, matcher.Route{Priority: p, Splits: []matcher.Split{{Service: "model", Weight: 1}}})
	}
	table := matcher.New(cfg)
	f := &Forwarder{Headers: DefaultHeaders, Now: func() time.Duration { return time.Minute }}
	var out []string
	for i := range cfg.Routes {
		r := httptest.NewRequest("POST", "/", nil)
		r.Header.Set(DefaultHeaders.Urgency, "4")
		k := &call{Forwarder: f, r: r, table: table, route: &cfg.Routes[i], service: &cfg.Services[0], rank: cfg.Routes[i].Rank(nil)}
		out = append(out, k.upstreamRequest(new(balancer.Lease)).Header.Get(DefaultHeaders.Urgency))
	}
	return out
}

func TestUrgencyHeader(t *testing.T) {
	is := is.New(t)
	is.Equal(urgencyHeaders(0, 1, 2), []string{"0", "4", "9"})
	is.Equal(urgencyHeaders(5, 2), []string{"9", "0"}) // a change of priority is in force with the next table
	is.Equal(urgencyHeaders(2, 2), []string{"", ""})   // nothing changes with one rank
}
