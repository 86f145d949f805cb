package faker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/planner"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

// Poison crashes every engine that runs a prompt which contains it.
const Poison = "\x00poison"

const (
	// promptBytesPerToken is the number of prompt bytes that cost as much as one token.
	promptBytesPerToken = 64
	// cachedPromptCost is the fraction of a prompt's cost that remains if its prefix is cached.
	cachedPromptCost = 0.1
	// maxCachedPrefixes is the number of prompt prefixes, each of prefixBytes bytes, that an
	// engine caches.
	maxCachedPrefixes = 64
	prefixBytes       = 256
)

// Fleet is a set of engines that can reach each other. NewFleet creates one.
type Fleet struct {
	// Links are the latencies between data centres; set before use.
	Links picker.Links
	// MaxLoadAge is the maximum age of reported loads; set before use.
	MaxLoadAge time.Duration

	mu        sync.Mutex
	byAddress map[string]*Engine
	// attempts counts the attempts that an engine started, by request id.
	attempts     map[string]int
	extraLatency map[[2]string]time.Duration
}

// NewFleet returns a fleet with one running engine for each upstream that holds a model.
func NewFleet(cfg *builder.Configuration) *Fleet {
	f := &Fleet{
		Links:        make(picker.Links),
		byAddress:    make(map[string]*Engine),
		attempts:     make(map[string]int),
		extraLatency: make(map[[2]string]time.Duration),
	}
	for _, l := range cfg.Links {
		f.Links[[2]string{l.From, l.To}] = time.Duration(l.LatencyMs * float64(time.Millisecond))
	}
	for _, u := range cfg.Upstreams {
		if u.Model == "" {
			continue
		}
		e := &Engine{Upstream: u, fleet: f, incarnation: time.Now().UnixMilli()}
		for _, k := range cfg.Accelerators {
			if k.Name == u.Accelerator {
				e.Accelerator = k
			}
		}
		for _, m := range cfg.Models {
			if m.Name == u.Model {
				e.loaded = planner.Target{Model: m.Name, Version: m.Version, First: u.FirstLayer, Last: u.LastLayer}
			}
		}
		e.start()
		f.byAddress[u.Address] = e
	}
	return f
}

// Engines returns all engines, sorted by name.
func (f *Fleet) Engines() []*Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []*Engine
	for _, e := range f.byAddress {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b *Engine) int { return strings.Compare(a.Upstream.Name, b.Upstream.Name) })
	return out
}

// Engine returns the engine with a name, or nil.
func (f *Fleet) Engine(name string) *Engine {
	for _, e := range f.Engines() {
		if e.Upstream.Name == name {
			return e
		}
	}
	return nil
}

// Attempts returns the number of attempts of a request that an engine started.
func (f *Fleet) Attempts(requestID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[requestID]
}

// SetExtraLatency makes the latency between two data centres d longer than Links says, in both
// directions; 0 undoes that.
func (f *Fleet) SetExtraLatency(a, b string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.extraLatency[[2]string{a, b}], f.extraLatency[[2]string{b, a}] = d, d
}

func (f *Fleet) latency(a, b string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Links.Latency(a, b) + f.extraLatency[[2]string{a, b}]
}

// Close kills every engine.
func (f *Fleet) Close() {
	for _, e := range f.Engines() {
		e.Kill()
	}
}

// Engine simulates an engine with continuous batching: each iteration takes up to a batch of the
// waiting steps, those of higher priority first, and lasts as long as its kind of accelerator
// needs for them.
type Engine struct {
	Upstream    builder.Upstream
	Accelerator builder.Accelerator

	fleet *Fleet
	mu    sync.Mutex
	// loaded is the model and layers that it holds; highestFence is the highest fencing number of
	// any order.
	loaded       planner.Target
	highestFence int64
	incarnation  int64
	dead         chan struct{}
	wake         chan struct{}
	paused       chan struct{}
	leaving      bool
	waiting      []*step
	running      int
	prefixes     []uint64
	reported     tracker.Load
	reportedAt   time.Time
	// CacheHits and CacheMisses count prompts by whether their prefix was cached, Crashes counts
	// the crashes by Poison, OrdersApplied counts the accepted orders.
	CacheHits, CacheMisses, Crashes, OrdersApplied int
	sequencesStarted                               int
	// wrongSpanUntil is the time until which it reports other layers than requested.
	wrongSpanUntil time.Time
}

// ReportWrongSpanFor makes the engine report other layers than requested for d, as an engine does
// that is reloaded in mid-stream.
func (e *Engine) ReportWrongSpanFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.wrongSpanUntil = time.Now().Add(d)
}

// reportedSpan returns the span that the engine reports after a request to run s.
func (e *Engine) reportedSpan(s streamer.Span) streamer.Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.wrongSpanUntil) {
		s.First++
	}
	return s
}

// step is the work of one token on one engine. remainingCost is in tokens for each layer.
type step struct {
	priority      int
	remainingCost float64
	layers        int
	done          chan struct{}
}

// start resets the engine and starts its iterations; e.mu is held unless nothing else uses e yet.
func (e *Engine) start() {
	e.dead = make(chan struct{})
	e.wake = make(chan struct{}, 1)
	e.leaving = false
	e.waiting, e.running = nil, 0
	e.prefixes = nil
	e.reportedAt = time.Time{}
	go e.runBatches(e.dead, e.wake)
}

// Kill stops the engine at once, as the end of its process does.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDead() {
		close(e.dead)
	}
}

// Restart kills the engine if it runs and starts it again with a newer incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDead() {
		close(e.dead)
	}
	e.incarnation = max(e.incarnation+1, time.Now().UnixMilli())
	e.start()
}

// Dead reports whether the engine was killed or has crashed.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDead()
}

// isDead is like Dead; e.mu is held.
func (e *Engine) isDead() bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
}

// Pause makes the engine stop responding until Resume.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused == nil {
		e.paused = make(chan struct{})
	}
}

// Resume undoes Pause.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paused != nil {
		close(e.paused)
		e.paused = nil
	}
}

// Paused reports whether the engine is paused.
func (e *Engine) Paused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused != nil
}

// Leave makes the engine report that it is leaving and refuse new requests.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// waitWhilePaused returns once the engine is not paused, or with the error of ctx.
func (e *Engine) waitWhilePaused(ctx context.Context) error {
	e.mu.Lock()
	paused := e.paused
	e.mu.Unlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Load returns the reported load, which is at most Fleet.MaxLoadAge old.
func (e *Engine) Load() tracker.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportedAt) >= e.fleet.MaxLoadAge || e.reportedAt.IsZero() {
		e.reported, e.reportedAt = tracker.Load{Incarnation: e.incarnation, Running: e.running}, now
	}
	out := e.reported
	out.Leaving = e.leaving
	return out
}

// runBatches runs iterations until dead is closed. A value in wake means that a step is waiting.
func (e *Engine) runBatches(dead, wake chan struct{}) {
	for {
		finished, d := e.nextBatch()
		if d == 0 {
			select {
			case <-wake:
				continue
			case <-dead:
				return
			}
		}
		select {
		case <-time.After(d):
		case <-dead:
			return
		}
		for _, s := range finished {
			close(s.done)
		}
	}
}

// nextBatch returns the steps that finish with the next iteration, and its duration, 0 if no step
// waits. A prompt is processed in chunks of at most half a batch, next to the tokens of other
// sequences, and continues in later iterations.
func (e *Engine) nextBatch() ([]*step, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		return nil, 0
	}
	slices.SortStableFunc(e.waiting, func(a, b *step) int { return b.priority - a.priority })
	capacity := float64(e.Accelerator.Batch)
	maxChunk := max(1, capacity/2)
	var layerCost float64
	var finished, unfinished []*step
	for _, s := range e.waiting {
		chunk := min(s.remainingCost, maxChunk, capacity)
		capacity -= chunk
		s.remainingCost -= chunk
		layerCost += chunk * float64(s.layers)
		if s.remainingCost <= 0 {
			finished = append(finished, s)
			continue
		}
		unfinished = append(unfinished, s)
	}
	e.waiting = unfinished
	return finished, time.Duration((e.Accelerator.StepMs + layerCost*e.Accelerator.LayerMs) * float64(time.Millisecond))
}

// run runs the layers of a stage for one token. first is set for the first token of a request on
// this engine.
func (e *Engine) run(ctx context.Context, g *streamer.GenerateRequest, s streamer.Stage, first bool) *streamer.EngineError {
	if err := e.waitWhilePaused(ctx); err != nil {
		return e.newError(streamer.KindDown, "canceled")
	}
	if refusal := e.checkStage(g, s, first); refusal != nil {
		return refusal
	}
	if strings.Contains(g.Prompt, Poison) {
		e.mu.Lock()
		e.Crashes++
		e.mu.Unlock()
		e.Kill()
		return e.newError(streamer.KindDown, "crashed")
	}
	st := &step{priority: g.Priority, remainingCost: e.tokenCost(g, first), layers: s.Last - s.First + 1, done: make(chan struct{})}
	e.mu.Lock()
	e.waiting = append(e.waiting, st)
	dead, wake := e.dead, e.wake
	e.mu.Unlock()
	select {
	case wake <- struct{}{}:
	default:
	}
	select {
	case <-st.done:
	case <-dead:
		return e.newError(streamer.KindDown, "died")
	case <-ctx.Done():
		return e.newError(streamer.KindDown, "canceled")
	}
	if e.waitWhilePaused(ctx) != nil {
		return e.newError(streamer.KindDown, "canceled")
	}
	return nil
}

// checkStage returns an error if the engine can't run a stage, or nil.
func (e *Engine) checkStage(g *streamer.GenerateRequest, s streamer.Stage, first bool) *streamer.EngineError {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.isDead():
		return e.newError(streamer.KindUnreachable, "not there")
	case e.leaving && first:
		return e.newError(streamer.KindLeaving, "leaving")
	case e.loaded.Model != g.Model || e.loaded.Version != g.Version || s.First < e.loaded.First || s.Last > e.loaded.Last:
		return e.newError(streamer.KindNotLoaded, fmt.Sprintf("holds %+v", e.loaded))
	}
	return nil
}

// tokenCost returns how much of a batch a token takes. The first token includes the prompt.
func (e *Engine) tokenCost(g *streamer.GenerateRequest, first bool) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !first {
		return 1
	}
	e.sequencesStarted++
	prompt := float64(len(g.Prompt)) / promptBytesPerToken
	if len(g.Prompt) >= prefixBytes && e.usePrefix(xxhash.Sum64String(g.Prompt[:prefixBytes])) {
		prompt *= cachedPromptCost
	}
	return 1 + prompt
}

// usePrefix reports whether a prefix is cached, and makes it the most recently used one. The least
// recently used prefix is evicted. e.mu is held.
func (e *Engine) usePrefix(prefix uint64) bool {
	i := slices.Index(e.prefixes, prefix)
	if i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		e.CacheHits++
		return true
	}
	e.CacheMisses++
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > maxCachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *Engine) newError(kind, text string) *streamer.EngineError {
	return &streamer.EngineError{Kind: kind, Upstream: e.Upstream.Name, Text: text}
}

// addRunning adds n to the number of running sequences.
func (e *Engine) addRunning(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = max(0, e.running+n)
}

// Running returns the number of sequences that the engine is running.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// SequencesStarted returns the number of sequences that this engine has run a layer for.
func (e *Engine) SequencesStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequencesStarted
}

// Loaded returns the model and layers that the engine holds.
func (e *Engine) Loaded() planner.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// Order makes the engine hold a target. An upstream with ChecksFence returns planner.ErrFenced for
// a fencing number lower than an earlier one.
func (e *Engine) Order(o planner.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Upstream.ChecksFence && o.Fence < e.highestFence {
		return planner.ErrFenced
	}
	e.highestFence = max(e.highestFence, o.Fence)
	e.loaded = o.Target
	e.OrdersApplied++
	return nil
}

// Token returns the text of a token. It is the same for every engine and attempt, so that tests can
// check a complete answer.
func Token(prompt string, index int) string {
	return fmt.Sprintf("t%d-%x ", index, uint16(xxhash.Sum64String(prompt))+uint16(index))
}

// Answer returns the complete text of a generation.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
