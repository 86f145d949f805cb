package balancer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/limiter"
	"github.com/sardineward/sardineward/matcher"
)

const named = 10 * time.Second

// limited is a balancer whose upstreams name a limit at named.
func limited(t *testing.T, hosts map[string]string, perSecond float64, ids ...string) *balancer.Balancer {
	t.Helper()
	b := newBalancer()
	b.Host = "self"
	b.SetHosts(hosts)
	b.Acquire(0, balancer.Need{Service: "desk"})
	for _, id := range ids {
		_, changed := b.ObserveLimit(named, named, id, 0, perSecond)
		is.New(t).True(changed)
	}
	return b
}

// sentTo counts requests over some seconds, twenty a second, by their first upstream; ""
// is none.
func sentTo(b *balancer.Balancer, from time.Duration, seconds int, n balancer.Need) map[string]int {
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

// TestLimitedStages guards against a limited first stage that gets more than its limit, and
// against paths that leave out a stage that is not sent the request itself.
func TestLimitedStages(t *testing.T) {
	t.Run("first stage", func(t *testing.T) {
		is := is.New(t)
		b := limited(t, nil, 2, "a1")
		got := sentTo(b, named, 20, need)
		is.True(got["a1"] >= 35 && got["a1"] <= 44)
		is.Equal(got[""], 0) // the rest goes to the other data centre
		is.True(b.HeldOff() > 300)
		is.Equal(b.LimitedSent(), int64(got["a1"]))
	})
	t.Run("later stage", func(t *testing.T) {
		b := limited(t, nil, 2, "a2")
		is.New(t).Equal(sentTo(b, named, 5, need)["a1"], 100)
	})
	t.Run("all first stages", func(t *testing.T) {
		is := is.New(t)
		b := limited(t, nil, 2, "a1", "b1")
		var reason balancer.Reason
		for range 10 {
			_, reason = b.Acquire(named+10*time.Second, need)
		}
		is.Equal(reason, balancer.ReasonLimit)
		wait := b.LimitWait(named+10*time.Second, "model")
		is.True(wait > 0 && wait <= time.Second)
		_, reason = b.Acquire(named+10*time.Second+wait, need)
		is.Equal(reason, balancer.ReasonNone) // the time to come back was right
	})
	t.Run("stream that goes on", func(t *testing.T) {
		is := is.New(t)
		b := limited(t, nil, 2, "a1", "b1")
		for l, _ := b.Acquire(named+10*time.Second, need); l != nil; l, _ = b.Acquire(named+10*time.Second, need) {
			b.Release(l)
		}
		begun := need
		begun.Begun = true
		_, reason := b.Acquire(named+10*time.Second, begun)
		is.Equal(reason, balancer.ReasonNone)
	})
	t.Run("questions count", func(t *testing.T) {
		is := is.New(t)
		b := limited(t, nil, 1, "a1")
		asked := 0
		for i := range 200 {
			if b.MayAsk(named+time.Duration(i)*50*ms, "a1") {
				asked++
			}
		}
		is.True(asked >= 8 && asked <= 14)
		is.True(b.MayAsk(named, "a2"))
	})
}

// TestLimitOfIncarnation guards against a limit that outlives the process that named it.
func TestLimitOfIncarnation(t *testing.T) {
	is := is.New(t)
	b := limited(t, nil, 0, "adesk")
	list := b.Listed()
	for i := range list {
		if list[i].ID == "adesk" {
			list[i].Born = 5
		}
	}
	b.List(list, nil)
	is.Equal(b.LimitCount(), 0)
	is.Equal(sentTo(b, named, 1, balancer.Need{Service: "desk"})["adesk"], 20)
	_, changed := b.ObserveLimit(named, named, "adesk", 0, 3) // an answer of the one before
	is.True(!changed)
	told := balancer.UpstreamLimit{Upstream: "adesk", Limit: limiter.Limit{Version: 1, PerSecond: 3}}
	_, changed = b.MergeLimit(named, told)
	is.True(!changed)
	b.List(nil, []string{"adesk"})
	is.Equal(len(b.Limits(named, 10)), 0)
}

// TestLimitHandover guards against a host that comes, or is left, and at once sends beside
// the one that it takes the place of.
func TestLimitHandover(t *testing.T) {
	n := balancer.Need{Service: "desk"}
	far := map[string]string{"other": "b"}
	t.Run("alone in the data centre", func(t *testing.T) {
		got := sentTo(limited(t, far, 1, "adesk", "bdesk"), named, 20, n)
		is := is.New(t)
		is.True(got["adesk"] >= 15)
		is.Equal(got["bdesk"], 0) // the hosts of its data centre use it
	})
	t.Run("the other data centre has no host any more", func(t *testing.T) {
		is := is.New(t)
		b := limited(t, far, 1, "adesk", "bdesk")
		sentTo(b, named, 5, n)
		b.SetHosts(nil)
		is.Equal(sentTo(b, named+5*time.Second, 2, n)["bdesk"], 0)
		is.True(sentTo(b, named+7*time.Second, 20, n)["bdesk"] > 10)
	})
	t.Run("just started", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		b.Host = "self"
		b.SetHosts(far)
		told := balancer.UpstreamLimit{Upstream: "adesk", Limit: limiter.Limit{Version: 1, PerSecond: 1}}
		_, changed := b.MergeLimit(named, told)
		is.True(changed)
		is.Equal(sentTo(b, named, 2, n)["adesk"], 0)
		is.True(sentTo(b, named+2*time.Second, 20, n)["adesk"] > 10)
	})
}

// TestUnreadableLimit guards against a log line for each answer with a value that can't be
// read.
func TestUnreadableLimit(t *testing.T) {
	is := is.New(t)
	b := limited(t, nil, 2, "a1")
	is.True(b.UnreadableLimit("a1"))
	is.True(!b.UnreadableLimit("a1"))
	is.Equal(b.LimitCount(), 1) // as it was
}

// TestManyLimits guards against limits that are never told since there are too many for
// one exchange.
func TestManyLimits(t *testing.T) {
	is := is.New(t)
	b := &balancer.Balancer{DataCentre: "a"}
	b.Configure(map[string]*matcher.Service{"desk": {Name: "desk"}})
	var list []balancer.Upstream
	for i := range 500 {
		list = append(list, balancer.Upstream{ID: string(rune('A' + i)), Service: "desk", Address: string(rune('A' + i)), DataCentre: "a"})
	}
	b.List(list, nil)
	for _, u := range list {
		b.ObserveLimit(named, named, u.ID, 0, 2)
	}
	told := make(map[string]bool)
	for range 80 {
		some := b.Limits(named+time.Minute, 64)
		is.Equal(len(some), 64)
		for _, l := range some {
			told[l.Upstream] = true
		}
	}
	is.Equal(len(told), 500)
	b.ObserveLimit(named+time.Minute, named+time.Minute, list[7].ID, 0, 1)
	is.Equal(b.Limits(named+time.Minute, 64)[0].Upstream, list[7].ID) // news first
}
