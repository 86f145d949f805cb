package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/tracker"
)

// repaths counts the orders to change a path, each of which takes a while.
type repaths struct {
	mu   sync.Mutex
	took time.Duration
	hops [][]balancer.Hop
}

func (e *repaths) Repath(ctx context.Context, _ string, hops []balancer.Hop) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(e.took):
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hops = append(e.hops, hops)
	return nil
}

func (e *repaths) Stalled(context.Context, string) ([]Stall, error) { return nil, nil }

// dialAny takes every connection.
func dialAny(context.Context, string, string) (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// world is a host before three holders of each range of layers, with one stream.
type world struct {
	*Forwarder
	engines *repaths
	a       *attempt
}

// watch looks after the stream for a while.
func (w *world) watch() {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	w.Watch(ctx)
	time.Sleep(time.Second)
}

// runWorld runs a stream in virtual time.
func runWorld(t *testing.T, f func(is *is.I, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const layers = 24
		b := &balancer.Balancer{DataCentre: "a", Policy: picker.Cheapest{Steepness: 2}, Rand: rand.New(rand.NewPCG(1, 1))}
		e := &matcher.Engine{Layers: layers, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, ReadPerSecond: 164000}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
		for i := range layers / 4 {
			for _, holder := range []string{"x", "y", "z"} {
				b.List([]balancer.Upstream{holderOf(fmt.Sprint(holder, i), 4*i, 4*(i+1))}, nil)
			}
		}
		started := time.Now()
		w := &world{engines: &repaths{took: 20 * time.Millisecond}}
		w.Forwarder = &Forwarder{
			Balancer: b, Engines: w.engines, Pool: &connector.Pool{Dial: dialAny}, Suspects: new(tracker.Suspects),
			Now: func() time.Duration { return time.Since(started) + time.Second }, Log: zerolog.Nop(),
		}
		l, reason := b.Acquire(w.Now(), balancer.Need{Service: "model", Prompt: 700, Answer: 200})
		is.Equal(reason, balancer.ReasonNone)
		w.a = &attempt{id: "r", lease: l, cancel: func(error) { t.Error("stream resumed as a new request") }}
		w.a.begun.Store(true)
		w.track(w.a)
		f(is, w)
	})
}

func holderOf(id string, from, to int) balancer.Upstream {
	return balancer.Upstream{ID: id, Address: id, Service: "model", DataCentre: "a", Holds: balancer.Span{From: from, To: to}}
}

// TestLostTogether guards against a stream whose path is changed once for each of the
// upstreams that are lost at the same moment.
func TestLostTogether(t *testing.T) {
	runWorld(t, func(is *is.I, w *world) {
		path := w.Balancer.Path(w.a.lease)
		lost := []balancer.Hop{path[1], path[2], path[4]}
		for _, h := range lost {
			w.learn(context.Background(), h, errors.New("refused"))
		}
		time.Sleep(time.Second)
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		is.True(len(w.engines.hops) <= 2) // the first order, and one for what was lost while it was under way
		for _, h := range w.Balancer.Path(w.a.lease) {
			is.True(!slices.ContainsFunc(lost, func(o balancer.Hop) bool { return o.ID == h.ID }))
		}
	})
}

// TestGivenUp guards against an upstream that was ordered to close a gap and waits for
// the longest of its streams.
func TestGivenUp(t *testing.T) {
	runWorld(t, func(is *is.I, w *world) {
		path := w.Balancer.Path(w.a.lease)
		given := path[2]
		w.Balancer.List([]balancer.Upstream{holderOf(given.ID, 0, 0)}, nil)
		w.watch()
		for _, h := range w.Balancer.Path(w.a.lease) {
			is.True(h.ID != given.ID)
		}
		w.engines.mu.Lock()
		defer w.engines.mu.Unlock()
		is.Equal(len(w.engines.hops), 1)
	})
}

// TestGivenUpBesideLeaving guards against a stream that does not leave an upstream since
// another one of its path, which still runs it, takes no new work.
func TestGivenUpBesideLeaving(t *testing.T) {
	runWorld(t, func(is *is.I, w *world) {
		path := w.Balancer.Path(w.a.lease)
		for _, holder := range []string{"x", "y", "z"} {
			u := holderOf(fmt.Sprint(holder, 4), 16, 20)
			u.Leaving = true
			w.Balancer.List([]balancer.Upstream{u}, nil)
		}
		w.Balancer.List([]balancer.Upstream{holderOf(path[2].ID, 0, 0)}, nil)
		w.watch()
		got := w.Balancer.Path(w.a.lease)
		is.True(got[2].ID != path[2].ID)
		is.Equal(got[4], path[4])
	})
}

// TestGivenUpStays guards against a stream that is cut or leaves its data centre though
// its upstream still runs it.
func TestGivenUpStays(t *testing.T) {
	for name, others := range map[string]string{"nobody else": "", "another data centre": "b"} {
		t.Run(name, func(t *testing.T) {
			runWorld(t, func(is *is.I, w *world) {
				before := w.Balancer.Path(w.a.lease)
				given := before[2]
				for _, holder := range []string{"x", "y", "z"} {
					u := holderOf(fmt.Sprint(holder, 2), 0, 0)
					if others != "" && u.ID != given.ID {
						u.DataCentre, u.Holds = others, balancer.Span{From: given.From, To: given.To}
					}
					w.Balancer.List([]balancer.Upstream{u}, nil)
				}
				w.watch()
				is.Equal(w.Balancer.Path(w.a.lease), before)
			})
		})
	}
}
