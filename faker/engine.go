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

// Poison in a prompt crashes every engine that runs it.
const Poison = "\x00poison"

const (
	// promptWeight is how many prompt bytes cost as much as one token.
	promptWeight = 64
	// cachedPart is the part of a prompt's cost that remains when its prefix
	// is cached.
	cachedPart = 0.1
	// cachedPrefixes is how many prefixes an engine remembers.
	cachedPrefixes = 64
	prefixBytes    = 256
)

// Fleet is a set of engines that can reach each other.
type Fleet struct {
	// Links are the latencies between data centres; set before use.
	Links picker.Links
	// Lag is how old reported loads are at the most; set before use.
	Lag time.Duration

	mu        sync.Mutex
	byAddress map[string]*Engine
	// Started counts attempts that ran a layer, by request.
	started map[string]int
	slow    map[[2]string]time.Duration
}

// NewFleet makes an engine for each upstream that holds a model.
func NewFleet(cfg *builder.Configuration) *Fleet {
	f := &Fleet{
		Links:     make(picker.Links),
		byAddress: make(map[string]*Engine),
		started:   make(map[string]int),
		slow:      make(map[[2]string]time.Duration),
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
				e.Kind = k
			}
		}
		for _, m := range cfg.Models {
			if m.Name == u.Model {
				e.loaded = planner.Target{Model: m.Name, Version: m.Version, First: u.FirstLayer, Last: u.LastLayer}
			}
		}
		e.begin()
		f.byAddress[u.Address] = e
	}
	return f
}

// Engines lists them by name.
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

// Engine returns one by name, or nil.
func (f *Fleet) Engine(name string) *Engine {
	for _, e := range f.Engines() {
		if e.Upstream.Name == name {
			return e
		}
	}
	return nil
}

// Started returns how many attempts of a request ran a layer.
func (f *Fleet) Started(requestID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started[requestID]
}

// SlowLink adds to the latency between two data centres; 0 undoes it.
func (f *Fleet) SlowLink(a, b string, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slow[[2]string{a, b}], f.slow[[2]string{b, a}] = d, d
}

func (f *Fleet) latency(a, b string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Links.Latency(a, b) + f.slow[[2]string{a, b}]
}

// Close ends every engine.
func (f *Fleet) Close() {
	for _, e := range f.Engines() {
		e.Kill()
	}
}

// Engine batches continuously: each iteration takes up to a batch of the steps
// that wait, those of higher priority first, and lasts as long as its kind of
// accelerator needs for them.
type Engine struct {
	Upstream builder.Upstream
	Kind     builder.Accelerator

	fleet *Fleet
	mu    sync.Mutex
	// loaded is what it holds; fence is the highest number it was given.
	loaded      planner.Target
	fence       int64
	incarnation int64
	dead        chan struct{}
	wake        chan struct{}
	paused      chan struct{}
	leaving     bool
	waiting     []*step
	running     int
	prefixes    []uint64
	reported    tracker.Load
	reportedAt  time.Time
	// Hits and Misses count prompts by whether their prefix was cached, Crashes
	// how often it died of a prompt, Loads the orders it followed.
	Hits, Misses, Crashes, Loads int
	begun                        int
	// midRange is until when it answers with other layers than asked.
	midRange time.Time
}

// MidRangeFor makes it run other layers than asked for a while, as one that is
// reloaded in mid-stream does.
func (e *Engine) MidRangeFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.midRange = time.Now().Add(d)
}

// ran is the span it runs when asked for s.
func (e *Engine) ran(s streamer.Span) streamer.Span {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.midRange) {
		s.First++
	}
	return s
}

type step struct {
	priority int
	weight   float64
	layers   int
	done     chan struct{}
}

// begin starts its iterations; the caller holds mu or is alone.
func (e *Engine) begin() {
	e.dead = make(chan struct{})
	e.wake = make(chan struct{}, 1)
	e.leaving = false
	e.waiting, e.running = nil, 0
	e.prefixes = nil
	e.reportedAt = time.Time{}
	go e.iterate(e.dead, e.wake)
}

// Kill ends it at once.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDead() {
		close(e.dead)
	}
}

// Restart brings it back with a newer incarnation.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isDead() {
		close(e.dead)
	}
	e.incarnation = max(e.incarnation+1, time.Now().UnixMilli())
	e.begin()
}

// Dead reports whether it was killed.
func (e *Engine) Dead() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDead()
}

func (e *Engine) isDead() bool {
	select {
	case <-e.dead:
		return true
	default:
		return false
	}
}

// Pause freezes it until Resume.
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

// Paused reports whether it is frozen.
func (e *Engine) Paused() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.paused != nil
}

// Leave makes it take no new work.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// thaw waits while it is paused.
func (e *Engine) thaw(ctx context.Context) error {
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

// Load is its report, at most the fleet's lag old.
func (e *Engine) Load() tracker.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.reportedAt) >= e.fleet.Lag || e.reportedAt.IsZero() {
		e.reported, e.reportedAt = tracker.Load{Incarnation: e.incarnation, Running: e.running}, now
	}
	out := e.reported
	out.Leaving = e.leaving
	return out
}

func (e *Engine) iterate(dead, wake chan struct{}) {
	for {
		ended, d := e.next()
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
		for _, s := range ended {
			close(s.done)
		}
	}
}

// next takes the steps of an iteration. A prompt is read in pieces of at most
// half a batch, beside other sequences' tokens, and goes on in the next
// iteration; the steps returned are those that end with this one.
func (e *Engine) next() ([]*step, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		return nil, 0
	}
	slices.SortStableFunc(e.waiting, func(a, b *step) int { return b.priority - a.priority })
	room := float64(e.Kind.Batch)
	piece := max(1, room/2)
	var work float64
	var ended, rest []*step
	for _, s := range e.waiting {
		part := min(s.weight, piece, room)
		room -= part
		s.weight -= part
		work += part * float64(s.layers)
		if s.weight <= 0 {
			ended = append(ended, s)
			continue
		}
		rest = append(rest, s)
	}
	e.waiting = rest
	return ended, time.Duration((e.Kind.StepMs + work*e.Kind.LayerMs) * float64(time.Millisecond))
}

// run runs layers for one token. first is set on a request's first token here.
func (e *Engine) run(ctx context.Context, g *streamer.GenerateRequest, s streamer.Stage, first bool) *streamer.EngineError {
	if err := e.thaw(ctx); err != nil {
		return e.errorf(streamer.KindDown, "canceled")
	}
	if refusal := e.check(g, s, first); refusal != nil {
		return refusal
	}
	if strings.Contains(g.Prompt, Poison) {
		e.mu.Lock()
		e.Crashes++
		e.mu.Unlock()
		e.Kill()
		return e.errorf(streamer.KindDown, "crashed")
	}
	st := &step{priority: g.Priority, weight: e.cost(g, first), layers: s.Last - s.First + 1, done: make(chan struct{})}
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
		return e.errorf(streamer.KindDown, "died")
	case <-ctx.Done():
		return e.errorf(streamer.KindDown, "canceled")
	}
	if e.thaw(ctx) != nil {
		return e.errorf(streamer.KindDown, "canceled")
	}
	return nil
}

// check reports why a stage can't run here.
func (e *Engine) check(g *streamer.GenerateRequest, s streamer.Stage, first bool) *streamer.EngineError {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.isDead():
		return e.errorf(streamer.KindUnreachable, "not there")
	case e.leaving && first:
		return e.errorf(streamer.KindLeaving, "leaving")
	case e.loaded.Model != g.Model || e.loaded.Version != g.Version || s.First < e.loaded.First || s.Last > e.loaded.Last:
		return e.errorf(streamer.KindNotLoaded, fmt.Sprintf("holds %+v", e.loaded))
	}
	return nil
}

// cost is a token's part of a batch: the prompt is read with the first one.
func (e *Engine) cost(g *streamer.GenerateRequest, first bool) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !first {
		return 1
	}
	e.begun++
	prompt := float64(len(g.Prompt)) / promptWeight
	if len(g.Prompt) >= prefixBytes && e.cached(xxhash.Sum64String(g.Prompt[:prefixBytes])) {
		prompt *= cachedPart
	}
	return 1 + prompt
}

func (e *Engine) cached(prefix uint64) bool {
	i := slices.Index(e.prefixes, prefix)
	if i >= 0 {
		e.prefixes = append(slices.Delete(e.prefixes, i, i+1), prefix)
		e.Hits++
		return true
	}
	e.Misses++
	e.prefixes = append(e.prefixes, prefix)
	if len(e.prefixes) > cachedPrefixes {
		e.prefixes = e.prefixes[1:]
	}
	return false
}

func (e *Engine) errorf(kind, text string) *streamer.EngineError {
	return &streamer.EngineError{Kind: kind, Upstream: e.Upstream.Name, Text: text}
}

func (e *Engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running = max(0, e.running+n)
}

// Running is how many sequences it holds.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// Begun is how many sequences ran a layer here.
func (e *Engine) Begun() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

// Loaded returns what it holds.
func (e *Engine) Loaded() planner.Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.loaded
}

// Order makes it hold a target. One that checks fences refuses an old number.
func (e *Engine) Order(o planner.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Upstream.ChecksFence && o.Fence < e.fence {
		return planner.ErrFenced
	}
	e.fence = max(e.fence, o.Fence)
	e.loaded = o.Target
	e.Loads++
	return nil
}

// Token is the text of a token: the same for every engine and attempt, so that
// an answer can be checked whole.
func Token(prompt string, index int) string {
	return fmt.Sprintf("t%d-%x ", index, uint16(xxhash.Sum64String(prompt))+uint16(index))
}

// Answer is the whole text of a generation.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}
