package balancer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// listEvent is an entry of an upstream, or its removal.
type listEvent struct {
	entry   balancer.Upstream
	removed bool
}

// entryOf returns an entry of an upstream that holds all layers.
func entryOf(startedAt, sequence int64, leaving bool) listEvent {
	return listEvent{entry: balancer.Upstream{ID: "c1", Service: "model", Address: "c:1", DataCentre: "a", Card: "large", Layers: balancer.Span{To: 80}, StartedAt: startedAt, Sequence: sequence, Leaving: leaving}}
}

// holding returns e with other layers.
func (e listEvent) holding(from, to int) listEvent {
	e.entry.Layers = balancer.Span{From: from, To: to}
	return e
}

// TestLateEntry guards against an entry that the source carries out late and that undoes what its upstream has written
// since, and against a guard that keeps an upstream out of use that is alive.
func TestLateEntry(t *testing.T) {
	const ready, leaving = false, true
	removal := listEvent{removed: true}
	var alive []listEvent
	for n := range int64(6) {
		alive = append(alive, entryOf(1, 3+n, ready))
	}
	for name, c := range map[string]struct {
		events []listEvent
		// want is the state in the end; nil if the upstream is not listed.
		want *listEvent
	}{
		"after a leave":                       {[]listEvent{entryOf(2, 5, ready), entryOf(2, 8, leaving), entryOf(2, 6, ready)}, new(entryOf(2, 8, leaving))},
		"after a removal":                     {[]listEvent{entryOf(2, 5, ready), entryOf(2, 8, ready), removal, entryOf(2, 6, ready)}, nil},
		"after a leave and a removal":         {[]listEvent{entryOf(2, 5, ready), entryOf(2, 8, leaving), removal, entryOf(2, 6, ready)}, nil},
		"twice after a removal":               {[]listEvent{entryOf(2, 8, ready), removal, entryOf(2, 5, ready), entryOf(2, 6, ready)}, nil},
		"the last one after a removal":        {[]listEvent{entryOf(2, 8, ready), removal, entryOf(2, 8, ready)}, nil},
		"after other layers":                  {[]listEvent{entryOf(2, 5, ready), entryOf(2, 8, ready).holding(40, 80), entryOf(2, 6, ready)}, new(entryOf(2, 8, ready).holding(40, 80))},
		"after a restart under its id":        {[]listEvent{entryOf(1, 90, ready), entryOf(2, 1, ready).holding(0, 0), entryOf(1, 91, ready)}, new(entryOf(2, 1, ready).holding(0, 0))},
		"after a restart and a removal":       {[]listEvent{entryOf(1, 90, ready), entryOf(2, 1, ready), removal, entryOf(1, 91, ready)}, nil},
		"without numbers, after a leave":      {[]listEvent{entryOf(2, 0, ready), entryOf(2, 0, leaving), entryOf(2, 0, ready)}, new(entryOf(2, 0, leaving))},
		"lapsed and back":                     {[]listEvent{entryOf(2, 8, ready), removal, entryOf(2, 11, ready)}, new(entryOf(2, 11, ready))},
		"lapsed and back without numbers":     {[]listEvent{entryOf(2, 0, ready), removal, entryOf(2, 0, ready)}, new(entryOf(2, 0, ready))},
		"left and started again":              {[]listEvent{entryOf(1, 8, leaving), removal, entryOf(2, 1, ready)}, new(entryOf(2, 1, ready))},
		"leave withdrawn":                     {[]listEvent{entryOf(2, 8, leaving), entryOf(2, 9, ready)}, new(entryOf(2, 9, ready))},
		"alive after a start by a fast clock": {append([]listEvent{entryOf(2, 8, ready)}, alive...), new(entryOf(1, 8, ready))},
		"alive after a number far too high":   {append([]listEvent{entryOf(1, 1<<60, ready)}, alive...), new(entryOf(1, 8, ready))},
		"alive after a removal":               {append([]listEvent{entryOf(1, 1<<60, ready), removal}, alive...), new(entryOf(1, 8, ready))},
		"late entries between others":         {[]listEvent{entryOf(1, 20, ready), entryOf(1, 2, ready), entryOf(1, 3, ready), entryOf(1, 21, leaving), entryOf(1, 4, ready), entryOf(1, 5, ready), entryOf(1, 6, ready), entryOf(1, 7, ready)}, new(entryOf(1, 21, leaving))},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			before := len(b.Upstreams())
			for _, e := range c.events {
				if e.removed {
					b.UpdateUpstreams(nil, []string{"c1"})
				} else {
					b.UpdateUpstreams([]balancer.Upstream{e.entry}, nil)
				}
			}
			if c.want == nil {
				is.Equal(len(b.Upstreams()), before)
				return
			}
			for _, u := range b.Upstreams() {
				if u.ID == "c1" {
					is.Equal(u, c.want.entry)
					return
				}
			}
			t.Errorf("upstream c1 is not listed, expected %+v", c.want.entry)
		})
	}
}

// TestRepeatedEntry guards against telling other hosts of an upstream at each heartbeat.
func TestRepeatedEntry(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	b.UpdateUpstreams([]balancer.Upstream{entryOf(1, 1, false).entry}, nil)
	changed, _ := b.UpdateUpstreams([]balancer.Upstream{entryOf(1, 2, false).entry}, nil)
	is.Equal(len(changed), 0)
}

// TestRemovedEntriesBounded guards against memory that grows with each upstream that was ever listed.
func TestRemovedEntriesBounded(t *testing.T) {
	b := newBalancer()
	late := func(n int) balancer.Upstream {
		return balancer.Upstream{ID: fmt.Sprint("gone", n), Service: "desk", Address: fmt.Sprint("g:", n), StartedAt: 1, Sequence: 1}
	}
	const removed = 100_000
	for n := range removed {
		u := late(n)
		u.Sequence = 5
		b.UpdateUpstreams([]balancer.Upstream{u}, nil)
		b.UpdateUpstreams(nil, []string{u.ID})
	}
	is := is.New(t)
	is.True(b.RemovedEntryCount() <= 4096)
	before := len(b.Upstreams())
	b.UpdateUpstreams([]balancer.Upstream{late(removed - 1)}, nil)
	is.Equal(len(b.Upstreams()), before)
}
