package runner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/planner"
)

// busiest returns an engine that has sequences now.
func (b *bench) busiest() *faker.Engine {
	var best *faker.Engine
	for _, e := range b.world.Fleet.Engines() {
		if best == nil || e.Running() > best.Running() {
			best = e
		}
	}
	return best
}

// disturb sends long generations through every host, does harm to the engine
// that has most of them, and checks that every answer is whole all the same.
func (b *bench) disturb(harm func(e *faker.Engine)) {
	b.t.Helper()
	const each, tokens = 3, 60
	var wg sync.WaitGroup
	for i := range b.hosts {
		for k := range each {
			prompt := fmt.Sprintf("long %d %d", i, k)
			wg.Go(func() { b.assertWhole(b.generate(context.Background(), i, prompt, tokens), prompt, tokens) })
		}
	}
	time.Sleep(200 * time.Millisecond)
	e := b.busiest()
	is.New(b.t).True(e.Running() > 0)
	harm(e)
	wg.Wait()
}

// TestStageKilled. A stage dies while it works on many answers. Callers used to
// see their streams break; now each goes on with the next token on another
// route.
func TestStageKilled(t *testing.T) {
	run(t, 10, func(b *bench) {
		b.disturb(func(e *faker.Engine) { b.world.Kill(e.Upstream.Name) })
	})
}

// TestStagePaused. A stage is frozen: its connections stay open and nothing
// comes. Streams stood still until their deadline. Each is moved after a silence
// of two expected gaps, and what the stage sends after waking is dropped.
func TestStagePaused(t *testing.T) {
	run(t, 11, func(b *bench) {
		var frozen *faker.Engine
		b.disturb(func(e *faker.Engine) {
			frozen = e
			e.Pause()
		})
		frozen.Resume()
	})
}

// TestStageReloaded guards against tokens from layers that a reloaded stage skipped.
func TestStageReloaded(t *testing.T) {
	run(t, 12, func(b *bench) {
		b.disturb(func(e *faker.Engine) { e.ReportWrongSpanFor(5 * time.Second) })
		b.disturb(func(e *faker.Engine) {
			is.New(t).NoErr(e.Order(planner.Order{Fence: 1000, Target: planner.Target{Model: "m", Version: "other"}}))
		})
	})
}

// TestStageLeaves. A stage starts to leave while answers run through it. Those
// are finished where they are; new ones go elsewhere.
func TestStageLeaves(t *testing.T) {
	run(t, 13, func(b *bench) {
		b.disturb(func(e *faker.Engine) { e.Leave() })
	})
}

// TestSlowLink. A link between data centres becomes a hundred times slower in
// mid-answer. Answers take longer or move, and stay whole.
func TestSlowLink(t *testing.T) {
	run(t, 14, func(b *bench) {
		b.disturb(func(*faker.Engine) { b.world.Fleet.SetExtraLatency("north", "port", 80*time.Millisecond) })
	})
}

// TestDataCentreLost. All upstreams of a data centre die at once under load.
func TestDataCentreLost(t *testing.T) {
	run(t, 15, func(b *bench) {
		b.disturb(func(*faker.Engine) {
			for _, e := range b.world.Fleet.Engines() {
				if e.Upstream.DataCentre == "port" {
					b.world.Kill(e.Upstream.Name)
				}
			}
		})
	})
}
