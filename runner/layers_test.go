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

// busiest returns the engine that runs the most sequences.
func (b *cluster) busiest() *faker.Engine {
	var best *faker.Engine
	for _, e := range b.environment.Fleet.Engines() {
		if best == nil || e.Running() > best.Running() {
			best = e
		}
	}
	return best
}

// assertFaultTolerated sends long generations through every host, injects a fault into the engine
// that runs the most of them, and checks that every answer is complete all the same.
func (b *cluster) assertFaultTolerated(inject func(e *faker.Engine)) {
	b.t.Helper()
	const perHost, tokens = 3, 60
	var wg sync.WaitGroup
	for i := range b.hosts {
		for k := range perHost {
			prompt := fmt.Sprintf("long %d %d", i, k)
			wg.Go(func() { b.assertComplete(b.generate(context.Background(), i, prompt, tokens), prompt, tokens) })
		}
	}
	time.Sleep(200 * time.Millisecond)
	e := b.busiest()
	is.New(b.t).True(e.Running() > 0)
	inject(e)
	wg.Wait()
}

// TestStageKilled guards against streams that break when a stage is killed: each must continue with
// the next token on another route.
func TestStageKilled(t *testing.T) {
	runCluster(t, 10, func(b *cluster) {
		b.assertFaultTolerated(func(e *faker.Engine) { b.environment.Kill(e.Upstream.Name) })
	})
}

// TestStagePaused guards against streams that wait on a paused stage until their deadline: they move
// after a silence of two expected gaps, and frames that it sends after it resumes are dropped.
func TestStagePaused(t *testing.T) {
	runCluster(t, 11, func(b *cluster) {
		var paused *faker.Engine
		b.assertFaultTolerated(func(e *faker.Engine) {
			paused = e
			e.Pause()
		})
		paused.Resume()
	})
}

// TestStageReloaded guards against tokens computed by a reloaded stage that skipped some layers.
func TestStageReloaded(t *testing.T) {
	runCluster(t, 12, func(b *cluster) {
		b.assertFaultTolerated(func(e *faker.Engine) { e.ReportWrongSpanFor(5 * time.Second) })
		b.assertFaultTolerated(func(e *faker.Engine) {
			is.New(t).NoErr(e.Order(planner.Order{Fence: 1000, Target: planner.Target{Model: "m", Version: "other"}}))
		})
	})
}

// TestStageLeaves checks that a leaving stage finishes its answers while new ones go elsewhere.
func TestStageLeaves(t *testing.T) {
	runCluster(t, 13, func(b *cluster) {
		b.assertFaultTolerated(func(e *faker.Engine) { e.Leave() })
	})
}

// TestSlowLink makes a link between data centres a hundred times slower in mid-answer. Answers
// take longer or move, and stay complete.
func TestSlowLink(t *testing.T) {
	runCluster(t, 14, func(b *cluster) {
		b.assertFaultTolerated(func(*faker.Engine) { b.environment.Fleet.SetExtraLatency("north", "port", 80*time.Millisecond) })
	})
}

// TestDataCentreLost kills all upstreams of a data centre at once under load.
func TestDataCentreLost(t *testing.T) {
	runCluster(t, 15, func(b *cluster) {
		b.assertFaultTolerated(func(*faker.Engine) {
			for _, e := range b.environment.Fleet.Engines() {
				if e.Upstream.DataCentre == "port" {
					b.environment.Kill(e.Upstream.Name)
				}
			}
		})
	})
}
