package balancer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

const backoffAt = 10 * time.Second

// backOff makes upstreams ask for a backoff at a time.
func backOff(t *testing.T, b *balancer.Balancer, at, wait time.Duration, ids ...string) {
	t.Helper()
	for _, id := range ids {
		_, _, changed := b.ObserveBackoff(at, id, b.StartedAt(id), wait)
		is.New(t).True(changed)
	}
}

func assertReason(t *testing.T, b *balancer.Balancer, now time.Duration, n balancer.Requirements, want balancer.Reason) {
	t.Helper()
	l, reason := b.Acquire(now, n)
	is.New(t).Equal(reason, want)
	if l != nil {
		b.Release(l)
	}
}

// TestBackoffStages guards against paths over a stage that asked for a backoff, be it their first.
func TestBackoffStages(t *testing.T) {
	for _, id := range []string{"a1", "a2"} {
		t.Run(id, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			backOff(t, b, backoffAt, 3*time.Second, id)
			l := acquire(t, b, backoffAt+time.Second, modelRequirements)
			is.Equal(ids(b.Path(l)), "b1 b2 ")
			is.Equal(l.Withheld, []string{id})
			is.Equal(b.WithheldCount(), int64(1))
			is.Equal(b.Count(backoffAt, balancer.StateBackoff), 1)
			is.Equal(ids(b.Path(acquire(t, b, backoffAt+3*time.Second, modelRequirements))), "a1 a2 ")
		})
	}
	t.Run("all first stages", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		backOff(t, b, backoffAt, 3*time.Second, "a1")
		backOff(t, b, backoffAt, 2*time.Second, "b1")
		backOff(t, b, backoffAt, time.Second, "a2")
		assertReason(t, b, backoffAt, modelRequirements, balancer.ReasonBackoff)
		is.Equal(b.BackoffWait(backoffAt, "model"), 2*time.Second) // then b1 and b2 hold all layers
	})
	t.Run("path of a running stream", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		l := acquire(t, b, backoffAt, modelRequirements)
		backOff(t, b, backoffAt, 3*time.Second, "b2")
		is.True(b.Repath(backoffAt, l, "a2") == nil)
		is.Equal(ids(b.Repath(backoffAt+3*time.Second, l, "a2")), "a1 b2 ")
	})
}

// TestBackoffLength guards against a backoff that a shorter one ends, or that a wrong value makes
// last for good.
func TestBackoffLength(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	backOff(t, b, backoffAt, 3*time.Second, "adesk")
	for _, wait := range []time.Duration{0, time.Second, -time.Second} {
		_, _, changed := b.ObserveBackoff(backoffAt+time.Second, "adesk", 0, wait)
		is.True(!changed)
	}
	is.True(!b.MaySend(backoffAt+2900*ms, "adesk", 0))
	o, begins, changed := b.ObserveBackoff(backoffAt+time.Second, "adesk", 0, 4*time.Second)
	is.True(changed && !begins)
	is.Equal(o, balancer.Backoff{Upstream: "adesk", Address: "a:3", Wait: 5 * time.Second})
	is.True(!b.MaySend(backoffAt+4900*ms, "adesk", 0))
	is.True(b.MaySend(backoffAt+5*time.Second, "adesk", 0))
	is.Equal(len(b.EndedBackoffs(backoffAt+4900*ms)), 0)
	is.Equal(b.EndedBackoffs(backoffAt+5*time.Second), []balancer.Backoff{o})
	is.Equal(len(b.EndedBackoffs(backoffAt+6*time.Second)), 0)
	backOff(t, b, time.Minute, 99999999*time.Second, "adesk")
	is.True(!b.MaySend(10*time.Minute, "adesk", 0))
	is.True(b.MaySend(11*time.Minute, "adesk", 0))
	is.Equal(b.BackoffCount(), int64(2))
}

// TestBackoffOfIncarnation guards against a backoff that ends when the store loses the list entry
// for a while, and against one that outlasts a restart of the upstream.
func TestBackoffOfIncarnation(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	entry := balancer.Upstream{ID: "adesk", Service: "desk", Address: "a:3", DataCentre: "a", Slots: 6}
	n := balancer.Requirements{Service: "desk", Avoid: []string{"bdesk"}}
	backOff(t, b, backoffAt, 3*time.Second, "adesk")
	b.UpdateUpstreams(nil, []string{"adesk"})
	assertReason(t, b, backoffAt, n, balancer.ReasonNoUpstream)
	b.UpdateUpstreams([]balancer.Upstream{entry}, nil)
	assertReason(t, b, backoffAt, n, balancer.ReasonBackoff)
	entry.StartedAt = 7
	b.UpdateUpstreams([]balancer.Upstream{entry}, nil)
	assertReason(t, b, backoffAt, n, balancer.ReasonNone)
	_, _, changed := b.ObserveBackoff(backoffAt, "adesk", 0, 9*time.Second) // a late answer of the earlier one
	is.True(changed)
	assertReason(t, b, backoffAt, n, balancer.ReasonNone)
	is.True(!b.MaySend(backoffAt, "adesk", 0))
}

// TestReturnFromBackoff guards against many requests at once at an upstream whose backoff has just
// ended, and against one that never returns to full use.
func TestReturnFromBackoff(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	n := balancer.Requirements{Service: "desk", Avoid: []string{"bdesk"}}
	backOff(t, b, backoffAt, time.Second, "adesk")
	now := backoffAt + time.Second
	inFlight := func(accept bool) int {
		var leases []*balancer.Lease
		for range 100 {
			l, _ := b.Acquire(now, n)
			if l == nil {
				break
			}
			leases = append(leases, l)
		}
		for _, l := range leases {
			if accept {
				b.RecordAccepted(l)
				b.RecordAccepted(l) // counts once
			}
			b.Release(l)
		}
		return len(leases)
	}
	is.Equal(inFlight(false), 1)
	is.Equal(inFlight(false), 1) // not accepted, so still one at a time
	is.Equal(b.BackoffWait(now, "desk"), time.Duration(0))
	is.Equal(inFlight(true), 1)
	is.Equal(inFlight(true), 2)
	is.Equal(inFlight(true), 8)
	is.Equal(inFlight(true), 100)
	backOff(t, b, now, time.Second, "adesk")
	now += 1900 * ms
	is.Equal(inFlight(false), 1)
	now += 100 * ms
	is.Equal(inFlight(false), 100) // it has not said that it rejects them still
}

// TestBackoffOfOtherHosts guards against every host of a large fleet sending requests that an upstream
// rejects, though others know that it asks for backoffs.
func TestBackoffOfOtherHosts(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	is.NoErr(b.SetReport(backoffAt, "other", balancer.Report{Usage: []balancer.Usage{{Upstream: "a1", BackoffHosts: 2}, {Upstream: "adesk", BackoffHosts: 1}}}))
	desk := balancer.Requirements{Service: "desk"}
	is.Equal(acquire(t, b, backoffAt, desk).First.ID, "bdesk")
	is.Equal(acquire(t, b, backoffAt, modelRequirements).First.ID, "b1")
	desk.Avoid = []string{"bdesk"}
	is.Equal(acquire(t, b, backoffAt, desk).First.ID, "adesk") // rather than none: this host was not asked
	backOff(t, b, backoffAt, time.Second, "bdesk")
	is.True(slices.Contains(b.Usage(backoffAt).Usage, balancer.Usage{Upstream: "bdesk", BackoffHosts: 1}))
}

// TestOnlyTryAvoidsRecentBackoff guards against a request without a retry left that goes to an
// upstream which still rejects, because no host has sent it a request since its last backoff.
func TestOnlyTryAvoidsRecentBackoff(t *testing.T) {
	const ended = backoffAt + 5*time.Second
	onlyTry := balancer.Requirements{Service: "desk", AvoidReturning: true}
	reported := func(t *testing.T) *balancer.Balancer {
		b := newBalancer()
		is := is.New(t)
		is.NoErr(b.SetReport(backoffAt, "other", balancer.Report{Usage: []balancer.Usage{{Upstream: "adesk", BackoffHosts: 1}}}))
		is.NoErr(b.SetReport(backoffAt+time.Second, "other", balancer.Report{}))
		return b
	}
	t.Run("reported by another host", func(t *testing.T) {
		is := is.New(t)
		b := reported(t)
		is.Equal(acquire(t, b, ended, onlyTry).First.ID, "bdesk")
		is.Equal(acquire(t, b, ended, balancer.Requirements{Service: "desk"}).First.ID, "adesk") // a retry is left
	})
	t.Run("asked of this host", func(t *testing.T) {
		is := is.New(t)
		b := newBalancer()
		backOff(t, b, backoffAt, time.Second, "adesk")
		is.Equal(acquire(t, b, ended, onlyTry).First.ID, "bdesk")
	})
	t.Run("accepted since", func(t *testing.T) {
		is := is.New(t)
		b := reported(t)
		l := acquire(t, b, ended, balancer.Requirements{Service: "desk"})
		b.RecordAccepted(l)
		b.Release(l)
		is.Equal(acquire(t, b, ended, onlyTry).First.ID, "adesk")
	})
	t.Run("long ago", func(t *testing.T) {
		is := is.New(t)
		is.Equal(acquire(t, reported(t), backoffAt+10*time.Second, onlyTry).First.ID, "adesk")
	})
}

// TestLeavingOfIncarnation guards against a list that takes back what an upstream has announced, and
// against a leave that outlasts a restart of the upstream.
func TestLeavingOfIncarnation(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	entry := balancer.Upstream{ID: "adesk", Service: "desk", Address: "a:3", DataCentre: "a", Slots: 6}
	n := balancer.Requirements{Service: "desk", Avoid: []string{"bdesk"}}
	is.True(b.ObserveLeaving(backoffAt, "adesk", 0))
	is.True(!b.ObserveLeaving(backoffAt, "adesk", 0))
	is.Equal(b.LeavingCount(), int64(1))
	list := func(want balancer.Reason) {
		b.UpdateUpstreams([]balancer.Upstream{entry}, nil)
		assertReason(t, b, backoffAt, n, want)
	}
	list(balancer.ReasonNoUpstream)
	b.UpdateUpstreams(nil, []string{"adesk"})
	list(balancer.ReasonNoUpstream)
	changed, _ := b.UpdateUpstreams([]balancer.Upstream{entry}, nil)
	is.Equal(len(changed), 0) // the same as known
	entry.StartedAt = 7
	list(balancer.ReasonNone)
	is.True(b.ObserveLeaving(backoffAt+2*time.Hour, "bdesk", 0))
	entry.StartedAt = 0
	list(balancer.ReasonNone) // forgotten by now
}
