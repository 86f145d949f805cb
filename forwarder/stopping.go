package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sardineward/sardineward/admitter"
)

const (
	// maxFinalTime is how long before the end of a planned stop the requests still under way get their final response, but
	// finalTimeDivisor divides a short stop for the same.
	maxFinalTime     = 500 * time.Millisecond
	finalTimeDivisor = 4
	// maxStopWait is the longest Retry-After of a host that stops: other hosts can serve the request at once.
	maxStopWait = 100 * time.Millisecond
	// durationWeight divides the difference by which one request changes the mean duration of its service.
	durationWeight = 32
)

// errHostStops cancels the requests that are under way when a planned stop ends.
var errHostStops = errors.New("forwarder: the host stops")

// plannedStop holds the requests under way, and when they are ended. The zero value is that of a host that does not stop.
type plannedStop struct {
	mu sync.Mutex
	// endsAt is when the requests still under way are ended, a value of Now; it is valid once Forwarder.stopping is set.
	endsAt  time.Duration
	isEnded bool
	calls   map[*call]context.CancelCauseFunc
}

// Stop starts a planned stop that lasts for left: the host is no longer ready, responses ask callers to close their
// connections, requests that take longer than that on average are refused, and those that are still under way shortly before
// the end get a final response.
func (f *Forwarder) Stop(left time.Duration) {
	left -= min(maxFinalTime, left/finalTimeDivisor)
	f.stop.mu.Lock()
	f.stop.endsAt = f.Now() + left
	f.stop.mu.Unlock()
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

// refuseStopping refuses a request that a planned stop would end, by how long those of its service take on average, and reports
// whether it did. Its caller may have no other try, so that one which is as likely to end in time is taken.
func (k *call) refuseStopping() bool {
	if !k.stopping.Load() {
		return false
	}
	k.stop.mu.Lock()
	left := k.stop.endsAt - k.Now()
	k.stop.mu.Unlock()
	if k.deadline-k.Now() <= left || k.durations.mean(k.service.Name) <= left {
		return false
	}
	return !k.refuse(admitter.ReasonStopping, "the host stops before the request would end")
}

// stopWait returns the Retry-After of a host that stops.
func stopWait() time.Duration { return time.Duration(rand.Float64() * float64(maxStopWait)) }

// serviceDurations holds how long the requests of each service take on average. The zero value is ready to use.
type serviceDurations struct {
	mu    sync.Mutex
	means map[string]time.Duration
}

// record records how long a request took that was answered in full.
func (s *serviceDurations) record(service string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.means == nil {
		s.means = make(map[string]time.Duration)
	}
	if mean, ok := s.means[service]; ok {
		d = mean + (d-mean)/durationWeight
	}
	s.means[service] = d
}

// mean returns how long the requests of a service take on average; 0 if none was answered yet.
func (s *serviceDurations) mean(service string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.means[service]
}
