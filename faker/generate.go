package faker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sardineward/sardineward/planner"
	"github.com/sardineward/sardineward/streamer"
)

// loadReportInterval is the minimum time between two frames that carry load reports.
const loadReportInterval = 250 * time.Millisecond

// Generate implements streamer.Engine without a network.
func (f *Fleet) Generate(ctx context.Context, address string, g *streamer.GenerateRequest) (streamer.Frames, error) {
	e := f.engineAt(address)
	if e == nil || e.Dead() {
		return nil, streamer.ErrNotSent
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &memoryFrames{frames: make(chan *streamer.Frame, 1), ctx: ctx, cancel: cancel}
	go func() {
		defer close(s.frames)
		s.err = e.generate(ctx, g, func(fr *streamer.Frame) error {
			select {
			case s.frames <- fr:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	}()
	return s, nil
}

func (f *Fleet) engineAt(address string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byAddress[address]
}

// memoryFrames is the streamer.Frames of Fleet.Generate.
type memoryFrames struct {
	frames chan *streamer.Frame
	ctx    context.Context
	cancel context.CancelFunc
	err    error
}

func (m *memoryFrames) Next() (*streamer.Frame, error) {
	select {
	case fr, ok := <-m.frames:
		if !ok {
			return nil, errors.Join(io.ErrUnexpectedEOF, m.err)
		}
		return fr, nil
	case <-m.ctx.Done():
		return nil, m.ctx.Err()
	}
}

func (m *memoryFrames) Buffered() bool { return len(m.frames) > 0 }

func (m *memoryFrames) Close() error {
	m.cancel()
	return nil
}

var errDied = errors.New("engine died")

// generate does the work of the first stage: it runs each token through all stages and emits a
// frame for it.
func (e *Engine) generate(ctx context.Context, g *streamer.GenerateRequest, emit func(*streamer.Frame) error) error {
	e.fleet.mu.Lock()
	e.fleet.attempts[g.RequestID]++
	e.fleet.mu.Unlock()
	stages := make([]*Engine, len(g.Route))
	for i, s := range g.Route {
		if stages[i] = e.fleet.engineAt(s.Address); stages[i] != nil {
			stages[i].addRunning(1)
			defer stages[i].addRunning(-1)
		}
	}
	e.mu.Lock()
	dead := e.dead
	e.mu.Unlock()
	var lastReport time.Time
	for i := len(g.Delivered); i < g.MaxTokens; i++ {
		fr, refusal := e.generateToken(ctx, g, stages, i)
		select {
		case <-dead:
			return errDied
		default:
		}
		if refusal != nil {
			return emit(&streamer.Frame{RequestID: g.RequestID, Attempt: g.Attempt, Index: i, Error: refusal})
		}
		if now := time.Now(); now.Sub(lastReport) >= loadReportInterval {
			lastReport = now
			for n, s := range stages {
				fr.Loads = append(fr.Loads, streamer.StageLoad{Upstream: g.Route[n].Upstream, Load: s.Load()})
			}
		}
		if i == g.MaxTokens-1 {
			fr.Finish = "length"
		}
		if err := emit(fr); err != nil {
			return err
		}
	}
	return nil
}

// generateToken runs token i through all stages, with the latency of the links between them.
func (e *Engine) generateToken(ctx context.Context, g *streamer.GenerateRequest, stages []*Engine, i int) (*streamer.Frame, *streamer.EngineError) {
	fr := &streamer.Frame{RequestID: g.RequestID, Attempt: g.Attempt, Index: i, Text: Token(g.Prompt, i)}
	first := i == len(g.Delivered)
	at := e.Upstream.DataCentre
	for n, s := range g.Route {
		next := stages[n]
		if next == nil {
			return nil, &streamer.EngineError{Kind: streamer.KindUnreachable, Upstream: s.Upstream, Text: "no such engine"}
		}
		sleep(ctx, e.fleet.latency(at, next.Upstream.DataCentre))
		if refusal := next.run(ctx, g, s, first); refusal != nil {
			refusal.NotRun = first && n == 0
			return nil, refusal
		}
		at = next.Upstream.DataCentre
		fr.Spans = append(fr.Spans, next.reportedSpan(s.Span))
	}
	sleep(ctx, e.fleet.latency(at, e.Upstream.DataCentre))
	return fr, nil
}

// sleep waits for d and returns false if ctx ended before. It makes no timer where d is not positive: with the race
// detector, Go 1.26 crashes where goroutines of a synctest bubble receive from timers that fired already.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Handler returns the HTTP API of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("GET /v1/load", e.withFaults(func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(e.Load()) }))
	mux.HandleFunc("GET /v1/loaded", e.withFaults(func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(e.Loaded()) }))
	mux.HandleFunc("POST /v1/order", e.withFaults(func(w http.ResponseWriter, r *http.Request) {
		var o planner.Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if err := e.Order(o); err != nil {
			w.WriteHeader(http.StatusPreconditionFailed)
		}
	}))
	return mux
}

// withFaults delays a request while the engine is paused, and breaks the connection if it is dead.
func (e *Engine) withFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.waitWhilePaused(r.Context()) != nil || e.Dead() {
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	g := new(streamer.GenerateRequest)
	if err := json.NewDecoder(r.Body).Decode(g); err != nil || g.Validate() != nil {
		writeError(w, http.StatusBadRequest, &streamer.EngineError{Kind: streamer.KindInvalid, NotRun: true})
		return
	}
	if e.waitWhilePaused(r.Context()) != nil || e.Dead() {
		panic(http.ErrAbortHandler)
	}
	if refusal := e.checkStage(g, g.Route[0], true); refusal != nil {
		refusal.NotRun = true
		writeError(w, http.StatusServiceUnavailable, refusal)
		return
	}
	enc := json.NewEncoder(w)
	ctl := http.NewResponseController(w)
	err := e.generate(r.Context(), g, func(fr *streamer.Frame) error {
		if err := enc.Encode(fr); err != nil {
			return err
		}
		return ctl.Flush()
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, status int, e *streamer.EngineError) {
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(e)
}
