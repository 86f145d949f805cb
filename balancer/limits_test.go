package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
	"github.com/sardineward/sardineward/matcher"
)

// limitNamedAt is the time at which upstreams first name a limit.
const limitNamedAt = 10 * time.Second

// newLimitedBalancer returns a balancer whose given upstreams name a limit at limitNamedAt.
func newLimitedBalancer(t *testing.T, hosts map[string]string, perSecond float64, ids ...string) *balancer.Balancer {
	t.Helper()
	b := newBalancer()
	b.Host = "self"
	b.SetHosts(hosts)
	b.Acquire(0, balancer.Requirements{Service: "desk"})
	for _, id := range ids {
		_, changed := b.ObserveLimit(limitNamedAt, limitNamedAt, id, 0, perSecond)
		is.New(t).True(changed)
	}
	return b
}

// countByFirstHop sends twenty requests a second for some seconds and counts them by their first
// hop; "" counts refusals.
func countByFirstHop(b *balancer.Balancer, from time.Duration, seconds int, n balancer.Requirements) map[string]int {
	out := make(map[string]int)
	for i := range seconds * 20 {
		l, _ := b.Acquire(from+time.Duration(i)*50*ms, n)
		if l == nil {
			out[""]++
			continue
		}
		out[l.First.ID]++
		b.Release(l)
	}
	return out
}

// TestLimitedStages guards against a limited first stage that gets more than its limit, and against
// paths that avoid a limited later stage, which isn't sent requests itself.
func TestLimitedStages(t *testing.T) {
	t.Run("first stage", func(t *testing.T) {
		is := is.New(t)
		b := newLimitedBalancer(t, nil, 2, "a1")
		got := countByFirstHop(b, limitNamedAt, 20, modelRequirements)
		is.True(got["a1"] >= 35 && got["a1"] <= 44)
		is.Equal(got[""], 0) // the other data centre gets the rest
		is.True(b.ThrottledCount() > 300)
		is.Equal(b.LimitedSentCount(), int64(got["a1"]))
	})
	t.Run("later stage", func(t *testing.T) {
		b := newLimitedBalancer(t, nil, 2, "a2")
		is.New(t).Equal(countByFirstHop(b, limitNamedAt, 5, modelRequirements)["a1"], 100)
	})
	t.Run("all first stages", func(t *testing.T) {
		is := is.New(t)
		b := newLimitedBalancer(t, nil, 2, "a1", "b1")
		var reason balancer.Reason
		for range 10 {
			_, reason = b.Acquire(limitNamedAt+10*time.Second, modelRequirements)
		}
		is.Equal(reason, balancer.ReasonLimit)
		wait := b.LimitWait(limitNamedAt+10*time.Second, "model")
		is.True(wait > 0 && wait <= time.Second)
		_, reason = b.Acquire(limitNamedAt+10*time.Second+wait, modelRequirements)
		is.Equal(reason, balancer.ReasonNone) // LimitWait named the right time
	})
	t.Run("stream in progress", func(t *testing.T) {
		is := is.New(t)
		b := newLimitedBalancer(t, nil, 2, "a1", "b1")
		for l, _ := b.Acquire(limitNamedAt+10*time.Second, modelRequirements); l != nil; l, _ = b.Acquire(limitNamedAt+10*time.Second, modelRequirements) {
			b.Release(l)
		}
		inProgress := modelRequirements
		inProgress.InProgress = true
		_, reason := b.Acquire(limitNamedAt+10*time.Second, inProgress)
		is.Equal(reason, balancer.ReasonNone)
	})
	t.Run("probes count", func(t *testing.T) {
		is := is.New(t)
		b := newLimitedBalancer(t, nil, 1, "a1")
		asked := 0
		for i := range 200 {
			if b.AllowProbe(limitNamedAt+time.Duration(i)*50*ms, "a1") {
				asked++
			}
		}
		is.True(asked >= 8 && asked <= 14)
		is.True(b.AllowProbe(limitNamedAt, "a2"))
	})
}

// TestLimitOfIncarnation guards against a limit that outlives the process that named it.
func TestLimitOfIncarnation(t *testing.T) {
	is := is.New(t)
	b := newLimitedBalancer(t, nil, 0, "adesk")
	list := b.Upstreams()
	for i := range list {
		if list[i].ID == "adesk" {
			list[i].StartedAt = 5
		}
	}
	b.UpdateUpstreams(list, nil)
	is.Equal(b.LimitCount(), 0)
	is.Equal(countByFirstHop(b, limitNamedAt, 1, balancer.Requirements{Service: "desk"})["adesk"], 20)
	_, changed := b.ObserveLimit(limitNamedAt, limitNamedAt, "adesk", 0, 3) // an answer of the previous incarnation
	is.True(!changed)
	received := balancer.UpstreamLimit{Upstream: "adesk", Limit: limiter.Limit{Version: 1, PerSecond: 3}}
	_, changed = b.MergeLimit(limitNamedAt, received)
	is.True(!changed)
	b.UpdateUpstreams(nil, []string{"adesk"})
	is.Equal(len(b.Limits(limitNamedAt, 10)), 0)
}

// TestLimitHandover guards against a host that joins, or is the last one left, and sends at once
// beside the host whose place it takes.
func TestLimitHandover(t *testing.T) {
	n := balancer.Requirements{Service: "desk"}
	otherHosts := map[string]string{"other": "b"}
	t.Run("alone in the data centre", func(t *testing.T) {
		got := countByFirstHop(newLimitedBalancer(t, otherHosts, 1, "adesk", "bdesk"), limitNamedAt, 20, n)
		is := is.New(t)
		is.True(got["adesk"] >= 15)
		is.Equal(got["bdesk"], 0) // left to the hosts of its data centre
	})
	t.Run("the other data centre has lost its hosts", func(t *testing.T) {
		is := is.New(t)
		b := newLimitedBalancer(t, otherHosts, 1, "adesk", "bdesk")
		countByFirstHop(b, limitNamedAt, 5, n)
		b.SetHosts(nil)
		is.Equal(countByFirstHop(b, limitNamedAt+5*time.Second, 2, n)["bdesk"], 0)
		is.True(countByFirstHop(b, limitNamedAt+7*time.Second, 20, n)["bdesk"] > 10)
	})
	t.Run("just started", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		b.Host = "self"
		b.SetHosts(otherHosts)
		received := balancer.UpstreamLimit{Upstream: "adesk", Limit: limiter.Limit{Version: 1, PerSecond: 1}}
		_, changed := b.MergeLimit(limitNamedAt, received)
		is.True(changed)
		is.Equal(countByFirstHop(b, limitNamedAt, 2, n)["adesk"], 0)
		is.True(countByFirstHop(b, limitNamedAt+2*time.Second, 20, n)["adesk"] > 10)
	})
}

// TestFirstUnreadable guards against a log line for each answer with a header that can't be parsed.
func TestFirstUnreadable(t *testing.T) {
	is := is.New(t)
	b := newLimitedBalancer(t, nil, 2, "a1")
	is.True(b.FirstUnreadable("a1", "Upstream-Limit"))
	is.True(!b.FirstUnreadable("a1", "Upstream-Limit"))
	is.Equal(b.LimitCount(), 1) // unchanged
}

// TestManyLimits guards against limits that are never sent because one exchange can't hold all.
func TestManyLimits(t *testing.T) {
	is := is.New(t)
	b := &balancer.Balancer{DataCentre: "a"}
	b.Configure(map[string]*matcher.Service{"desk": {Name: "desk"}})
	var list []balancer.Upstream
	for i := range 500 {
		list = append(list, balancer.Upstream{ID: string(rune('A' + i)), Service: "desk", Address: string(rune('A' + i)), DataCentre: "a"})
	}
	b.UpdateUpstreams(list, nil)
	for _, u := range list {
		b.ObserveLimit(limitNamedAt, limitNamedAt, u.ID, 0, 2)
	}
	sent := make(map[string]bool)
	for range 80 {
		some := b.Limits(limitNamedAt+time.Minute, 64)
		is.Equal(len(some), 64)
		for _, l := range some {
			sent[l.Upstream] = true
		}
	}
	is.Equal(len(sent), 500)
	b.ObserveLimit(limitNamedAt+time.Minute, limitNamedAt+time.Minute, list[7].ID, 0, 1)
	is.Equal(b.Limits(limitNamedAt+time.Minute, 64)[0].Upstream, list[7].ID) // recent changes come first
}
