package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxFinalTime is how long before the end of a planned stop the requests still under way get their final response, but
	// finalTimeDivisor divides a short stop for the same.
	maxFinalTime     = 500 * time.Millisecond
	finalTimeDivisor = 4
	// maxStopWait is the longest Retry-After of a host that stops: other hosts can serve the request at once.
	maxStopWait = 100 * time.Millisecond
)

// errHostStops cancels the requests that are under way when a planned stop ends.
var errHostStops = errors.New("forwarder: the host stops")

// plannedStop holds the requests under way, and when they are ended. The zero value is that of a host that does not stop.
type plannedStop struct {
	mu      sync.Mutex
	isEnded bool
	calls   map[*call]context.CancelCauseFunc
}

// Stop starts a planned stop that lasts for left: the host is no longer ready, responses ask callers to close their
// connections, and requests that are still under way shortly before the end get a final response.
func (f *Forwarder) Stop(left time.Duration) {
	left -= min(maxFinalTime, left/finalTimeDivisor)
	f.stopping.Store(true)
	time.AfterFunc(left, f.endRequests)
}

// endRequests cancels the requests under way.
func (f *Forwarder) endRequests() {
	f.stop.mu.Lock()
	defer f.stop.mu.Unlock()
	f.stop.isEnded = true
	for _, cancel := range f.stop.calls {
		cancel(errHostStops)
	}
	f.Log.Info().Int("requests", len(f.stop.calls)).Msg("forwarder: stop ends, requests under way get their final response")
}

// endWithStop returns a context that also ends with a planned stop of the host.
func (k *call) endWithStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &k.stop
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isEnded {
		cancel(errHostStops)
	}
	if s.calls == nil {
		s.calls = make(map[*call]context.CancelCauseFunc)
	}
	s.calls[k] = cancel
	return ctx, func() {
		s.mu.Lock()
		delete(s.calls, k)
		s.mu.Unlock()
		cancel(nil)
	}
}

// hasEnded reports whether a planned stop has ended the requests under way.
func (s *plannedStop) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isEnded
}

// stopWait returns the Retry-After of a host that stops.
func stopWait() time.Duration { return time.Duration(rand.Float64() * float64(maxStopWait)) }
