package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
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

// repathEngines records the requests to change a path, each of which takes duration.
type repathEngines struct {
	mu       sync.Mutex
	duration time.Duration
	hops     [][]balancer.Hop
}

func (e *repathEngines) Repath(ctx context.Context, _ string, hops []balancer.Hop) error {
	if e.duration > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(e.duration):
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hops = append(e.hops, hops)
	return nil
}

func (e *repathEngines) QueryStalls(context.Context, balancer.Hop) ([]Stall, error) { return nil, nil }

// acceptAnyDial is a dial function that always succeeds.
func acceptAnyDial(context.Context, string, string) (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// TestLostTogether guards against changing a stream's path once for each of several upstreams
// that fail at the same moment.
func TestLostTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const ranges, layers = 6, 24
		b := &balancer.Balancer{DataCentre: "a", Policy: picker.Cheapest{Steepness: 2}, Rand: rand.New(rand.NewPCG(1, 1))}
		e := &matcher.Engine{Layers: layers, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, ReadPerSecond: 164000}
		b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
		for i := range ranges {
			for _, holder := range []string{"x", "y", "z"} {
				id := fmt.Sprint(holder, i)
				b.UpdateUpstreams([]balancer.Upstream{{ID: id, Address: id, Service: "model", DataCentre: "a", Layers: balancer.Span{From: 4 * i, To: 4 * (i + 1)}}}, nil)
			}
		}
		engines := &repathEngines{duration: 20 * time.Millisecond}
		var lost []balancer.Hop
		dial := func(ctx context.Context, network, address string) (net.Conn, error) {
			if slices.ContainsFunc(lost, func(h balancer.Hop) bool { return h.Address == address }) {
				return nil, syscall.ECONNREFUSED
			}
			return acceptAnyDial(ctx, network, address)
		}
		started := time.Now()
		f := &Forwarder{
			Balancer: b, Engines: engines, Pool: &connector.Pool{Dial: dial}, Suspects: new(tracker.Suspects),
			Now: func() time.Duration { return time.Since(started) + time.Second }, Log: zerolog.Nop(),
		}
		l, reason := b.Acquire(f.Now(), balancer.Requirements{Service: "model", PromptTokens: 700, AnswerTokens: 200})
		is.Equal(reason, balancer.ReasonNone)
		a := &attempt{id: "r", lease: l, takeRetry: func() bool { return true }, cancel: func(error) { t.Error("stream was resumed as a new request; want its path changed") }}
		a.begun.Store(true)
		f.track(a)
		path := b.Path(l)
		lost = []balancer.Hop{path[1], path[2], path[4]}
		for _, h := range lost {
			f.recordProbe(t.Context(), h, errors.New("refused"), f.Now())
		}
		time.Sleep(time.Second)
		engines.mu.Lock()
		defer engines.mu.Unlock()
		is.True(len(engines.hops) <= 2) // one change, and one more for the upstreams lost during it
		for _, h := range b.Path(l) {
			is.True(!slices.ContainsFunc(lost, func(o balancer.Hop) bool { return o.ID == h.ID }))
		}
	})
}
