package balancer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// reachBed returns a Balancer with two plain upstreams and two engines that hold one half of the layers each, on one
// of three hosts.
func reachBed(t *testing.T) *balancer.Balancer {
	t.Helper()
	b := &balancer.Balancer{Host: "host-a", DataCentre: "a", Policy: picker.Cheapest{}, Rand: rand.New(rand.NewPCG(1, 1))}
	b.Configure(map[string]*matcher.Service{"desk": {Name: "desk"}, "model": {Name: "model", Engine: &matcher.Engine{Layers: 4, LayerMB: 1, TokenBytes: 4}}})
	b.UpdateUpstreams([]balancer.Upstream{
		{ID: "desk-1", Service: "desk", Address: "desk-1:80", DataCentre: "a", Slots: 4},
		{ID: "desk-2", Service: "desk", Address: "desk-2:80", DataCentre: "b", Slots: 4},
		{ID: "front", Service: "model", Address: "front:80", DataCentre: "a", Layers: balancer.Span{From: 0, To: 2}},
		{ID: "back", Service: "model", Address: "back:80", DataCentre: "a", Layers: balancer.Span{From: 2, To: 4}},
	}, nil)
	return b
}

// TestReachOfService guards against a host that takes the reach of one service, or of some layers, for that of
// another.
func TestReachOfService(t *testing.T) {
	const now = time.Minute
	for name, tc := range map[string]struct {
		dead        []string
		elsewhere   []balancer.Usage // of the two other hosts
		service     string
		own, others bool
	}{
		"nothing dead":                  {service: "desk", own: true, others: true},
		"one of two":                    {dead: []string{"desk-1"}, service: "desk", own: true, others: true},
		"this service":                  {dead: []string{"desk-1", "desk-2"}, service: "desk", own: false, others: true},
		"another service":               {dead: []string{"desk-1", "desk-2"}, service: "model", own: true, others: true},
		"some layers":                   {dead: []string{"back"}, service: "model", own: false, others: true},
		"some layers, one host of two":  {dead: []string{"back"}, elsewhere: []balancer.Usage{{Upstream: "back", DeadHosts: 1}}, service: "model", own: false, others: true},
		"some layers, all hosts":        {dead: []string{"back"}, elsewhere: []balancer.Usage{{Upstream: "back", DeadHosts: 2}}, service: "model", own: false, others: false},
		"unknown service":               {service: "other", own: false, others: false},
		"other layers lost by the rest": {elsewhere: []balancer.Usage{{Upstream: "front", DeadHosts: 2}}, service: "model", own: true, others: false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := reachBed(t)
			for _, id := range tc.dead {
				b.SetDead(now, id, true)
			}
			is.NoErr(b.SetReport(now, "relay", balancer.Report{Hosts: map[string]int{"b": 2}, Usage: tc.elsewhere}))
			r := b.ReachOfService(now, tc.service)
			is.Equal(r.Own, tc.own)
			is.Equal(r.Others, tc.others)
			later := b.ReachOfService(now+2*time.Second, tc.service) // reports lapse
			is.True(!later.Others)
		})
	}
}
