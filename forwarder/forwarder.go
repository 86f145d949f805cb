// Package forwarder answers callers with what upstreams say: it finds route and
// workspace, sends the request to an upstream or over a path of engines, sends
// it again where that is safe, and goes on with a stream elsewhere when it
// breaks off.
//
// Bodies pass unchanged. Which upstream, how often and when to refuse is decided
// by matcher, balancer and admitter; this package does the input and output.
package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// defaultTimeout bounds requests that name no deadline on routes without
	// a timeout.
	defaultTimeout = 30 * time.Second
	// bodyTimeout bounds the reading of a request's body.
	bodyTimeout = 10 * time.Second
	// defaultBody bounds bodies where the configuration doesn't.
	defaultBody = 4 << 20
	// rejections is how often a request may be turned away as not run before
	// its caller is told to come back.
	rejections = 3
	// comeBack is the shortest Retry-After: about what an upstream takes to be
	// back or layers to load. It is drawn from comeBack to twice that, so that
	// callers refused together do not return together.
	comeBack = 800 * time.Millisecond
	// writeSlack is how long after its time an answer may still be written.
	writeSlack = time.Second
)

// Tables tells what is in force and how old that is.
type Tables interface {
	Table() *matcher.Table
	Age() time.Duration
}

// Forwarder is an http.Handler. The fields are set before use.
type Forwarder struct {
	Tables   Tables
	Balancer *balancer.Balancer
	Pool     *connector.Pool
	Engines  Engines
	Headers  Headers
	// Budget returns the retry budget of a service.
	Budget func(service string) *admitter.Window
	// Latency returns the bound of a service's streams in flight.
	Latency func(service string) *admitter.Latency
	// Suspects keeps the crashes that requests were in flight for.
	Suspects *tracker.Suspects
	// Informed reports whether this host was told which upstreams name a limit: it is not
	// ready before. nil is always.
	Informed func() bool
	// KeysValid is how old the knowledge of keys may be; 0 means any age.
	KeysValid time.Duration
	// Now is a clock that goes on while the machine is suspended.
	Now   func() time.Duration
	Meter *meter.Meter
	Log   zerolog.Logger

	stopping atomic.Bool
	inFlight atomic.Int64
	// heard is when an event or a connection last came from any upstream.
	heard atomic.Int64

	mu      sync.Mutex
	streams map[*attempt]struct{}
	probing map[string]bool
}

// Stop makes the handler ask callers to close their connections.
func (f *Forwarder) Stop() { f.stopping.Store(true) }

// Ready reports whether requests can be answered.
func (f *Forwarder) Ready() bool {
	informed := f.Informed == nil || f.Informed()
	return !f.stopping.Load() && f.Tables.Table() != nil && informed && f.keysValid()
}

// InFlight is how many requests are being answered.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// keysValid reports whether the knowledge of keys is young enough. A key that
// was taken away must not run a request on a host that could not hear of it.
func (f *Forwarder) keysValid() bool {
	t := f.Tables.Table()
	return f.KeysValid == 0 || t == nil || !t.Keyed || f.Tables.Age() < f.KeysValid
}

// call is one request of a caller.
type call struct {
	*Forwarder
	w         http.ResponseWriter
	r         *http.Request
	id        string
	table     *matcher.Table
	route     *matcher.Route
	service   *matcher.Service
	workspace *matcher.Workspace
	keyed     bool
	body      []byte
	// fingerprint is the same when the caller sends the request once more.
	fingerprint uint64
	header      http.Header
	deadline    time.Duration
	// arrived is when it came, firstAfter how long its first event took.
	arrived, firstAfter time.Duration
	// avoid are upstreams that failed it.
	avoid []string
	// runs counts upstreams that may have run it, turned how often it was
	// turned away as not run.
	runs, turned int
	// ran are the first upstreams of its runs as a stream, in order.
	ran []string
	// offered is set once an upstream was sent it.
	offered bool
	// last is the id of the last event that was passed on.
	last eventID
	// answered is set once the caller was sent a status.
	answered bool
	// comeBack is when trying again is worthwhile where that is known; 0 is not.
	comeBack time.Duration
	// sampled is set once it was told whether the stream is late.
	sampled atomic.Bool
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	k := &call{Forwarder: f, w: w, r: r, id: r.Header.Get(f.Headers.RequestID), table: f.Tables.Table(), arrived: f.Now()}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	if !k.admit() || !k.readBody() {
		return
	}
	k.fingerprint = fingerprintOf(k)
	if k.quarantined() {
		return
	}
	ctl := http.NewResponseController(w)
	left := k.deadline - f.Now()
	ctl.SetWriteDeadline(time.Now().Add(left + writeSlack))
	ctx, cancel := context.WithTimeout(r.Context(), left)
	defer cancel()
	k.Budget(k.service.Name).Request(f.Now())
	if k.route.Kind == matcher.KindStreaming {
		k.stream(ctx)
		return
	}
	k.plain(ctx)
}

// admit finds the route and the workspace, or refuses.
func (k *call) admit() bool {
	if k.table == nil {
		return k.refuse(admitter.ReasonNotReady, "no configuration yet")
	}
	path, _, _ := strings.Cut(k.r.RequestURI, "?")
	k.route = k.table.Route(k.r.Host, path)
	if k.route == nil {
		if !k.keysValid() {
			return k.refuse(admitter.ReasonNotReady, "configuration too old")
		}
		return k.refuse(admitter.ReasonUnknown, "no route")
	}
	k.keyed = k.table.Keyed && !k.route.Public
	if k.keyed {
		if !k.keysValid() {
			return k.refuse(admitter.ReasonNotReady, "keys too old")
		}
		key, _ := strings.CutPrefix(k.r.Header.Get("Authorization"), "Bearer ")
		k.workspace = k.table.Workspace(key)
		if k.workspace == nil {
			return k.refuse(admitter.ReasonUnauthorised, "no workspace holds the key")
		}
	}
	k.service = k.table.Service(k.route, rand.Float64())
	if k.service == nil {
		return k.refuse(admitter.ReasonNoRoute, "no such service")
	}
	k.deadline = k.Now() + k.timeout()
	return true
}

// timeout is the shorter of what the caller and the route allow.
func (k *call) timeout() time.Duration {
	out := k.route.Timeout
	if v := parseNumber(k.r.Header.Get(k.Headers.DeadlineMs)); v > 0 {
		if d := time.Duration(v * float64(time.Millisecond)); out == 0 || d < out {
			out = d
		}
	}
	if out == 0 {
		out = defaultTimeout
	}
	return out
}

// readBody reads the body whole, so that it can be sent again.
func (k *call) readBody() bool {
	limit := k.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if k.r.ContentLength > limit {
		return k.refuse(admitter.ReasonTooLarge, "body too large")
	}
	if k.r.Body == nil || k.r.ContentLength == 0 {
		return true
	}
	ctl := http.NewResponseController(k.w)
	ctl.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(k.w, k.r.Body, limit))
	ctl.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return k.refuse(admitter.ReasonTooLarge, "body too large")
	case err != nil:
		return k.refuse(admitter.ReasonMalformed, "reading the body: "+err.Error())
	}
	k.body = body
	return true
}

// status is the HTTP status of each refusal.
func status(reason admitter.Reason) int {
	switch reason {
	case admitter.ReasonUnauthorised:
		return http.StatusUnauthorized
	case admitter.ReasonUnknown:
		return http.StatusNotFound
	case admitter.ReasonMalformed:
		return http.StatusBadRequest
	case admitter.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case admitter.ReasonUpstream, admitter.ReasonRetryBudget, admitter.ReasonOutcomeUnknown:
		return http.StatusBadGateway
	case admitter.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse gives the final answer at once. It always returns false.
func (k *call) refuse(reason admitter.Reason, detail string) bool {
	code := status(reason)
	h := k.w.Header()
	if code == http.StatusServiceUnavailable {
		wait := max(k.comeBack, comeBack+time.Duration(rand.Float64()*float64(comeBack)))
		h.Set("Retry-After", strconv.FormatFloat(wait.Seconds(), 'f', 2, 64))
	}
	if k.id != "" {
		h.Set(k.Headers.RequestID, k.id)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	k.Meter.Refusals.WithLabelValues(reason.String()).Inc()
	line := k.Log.Info().Str("requestId", k.id).Str("path", k.r.URL.Path).Stringer("reason", reason).Int("status", code).
		Int("runs", k.runs).Int("turned", k.turned).Strs("avoid", k.avoid).Dur("age", k.Tables.Age())
	if k.deadline > 0 {
		line.Dur("left", k.deadline-k.Now())
	}
	line.Msg("forwarder: refused: " + detail)
	k.answered = true
	k.w.WriteHeader(code)
	_, _ = io.WriteString(k.w, reason.String()+": "+detail+"\n")
	return false
}

// request is what an upstream is sent.
func (k *call) request(l *balancer.Lease) *connector.Request {
	if k.header == nil {
		k.header = k.Headers.outgoing(k.r.Header, k.table.Keyed)
	}
	h := k.header.Clone()
	left := max(1, int64((k.deadline-k.Now())/time.Millisecond))
	h.Set(k.Headers.DeadlineMs, strconv.FormatInt(left, 10))
	h.Set(k.Headers.Instance, l.First.ID)
	if k.workspace != nil {
		h.Set(k.Headers.Workspace, k.workspace.Name)
	}
	if l.First.To > 0 {
		h.Set(k.Headers.Path, FormatPath(k.Balancer.Path(l)))
	}
	return &connector.Request{
		Address: l.First.Address,
		Method:  k.r.Method,
		Target:  k.r.RequestURI,
		Host:    k.r.Host,
		Header:  h,
		Body:    k.body,
		Once:    !k.route.Repeatable(),
	}
}

// acquire reserves upstreams, or refuses.
func (k *call) acquire(n balancer.Need) *balancer.Lease {
	if k.keyed && !k.keysValid() {
		k.refuse(admitter.ReasonNotReady, "keys too old")
		return nil
	}
	n.Service = k.service.Name
	n.Avoid = k.avoid
	l, reason := k.Balancer.Acquire(k.Now(), n)
	if l == nil && len(k.avoid) > 0 {
		// Better an upstream that failed once than none.
		n.Avoid = nil
		l, reason = k.Balancer.Acquire(k.Now(), n)
	}
	if l == nil {
		k.giveUp(reason)
	} else if len(l.HeldOff) > 0 {
		k.Log.Debug().Str("requestId", k.id).Str("upstream", l.First.ID).Strs("heldOff", l.HeldOff).Msg("forwarder: upstreams passed over for their limit")
	}
	return l
}

// giveUp refuses for want of a place.
func (k *call) giveUp(reason balancer.Reason) {
	switch {
	case k.runs > 0 && !k.route.Repeatable():
		k.refuse(admitter.ReasonOutcomeUnknown, "may have run")
	case k.runs > 0:
		k.refuse(admitter.ReasonUpstream, "no further upstream: "+reason.String())
	case reason == balancer.ReasonLimit:
		wait := k.Balancer.LimitWait(k.Now(), k.service.Name)
		k.comeBack = wait + time.Duration(rand.Float64()*float64(comeBack))
		k.refuse(admitter.ReasonUpstreamLimit, "upstreams with room are at their limits")
	case reason == balancer.ReasonNoRoom:
		k.refuse(admitter.ReasonQueueFull, "no room")
	default:
		k.refuse(admitter.ReasonNoRoute, "no upstream: "+k.Balancer.Uncovered(k.Now(), k.service.Name))
	}
}

// again reports whether the request may be sent once more; otherwise it was
// refused.
func (k *call) again(ctx context.Context, v verdict) bool {
	if k.r.Context().Err() != nil {
		return false
	}
	if ctx.Err() != nil {
		k.expired()
		return false
	}
	if v == verdictNotRun {
		k.turned++
	} else {
		k.runs++
	}
	if v == verdictMayHaveRun && !k.route.Repeatable() {
		return k.refuse(admitter.ReasonOutcomeUnknown, "may have run")
	}
	if k.runs >= k.route.MaxAttempts {
		return k.refuse(admitter.ReasonUpstream, "no attempts left")
	}
	if k.quarantined() {
		return false
	}
	if k.turned > rejections || !k.Budget(k.service.Name).Spend(k.Now()) {
		if k.runs > 0 {
			return k.refuse(admitter.ReasonRetryBudget, "no retries left")
		}
		return k.refuse(admitter.ReasonQueueFull, "turned away")
	}
	k.Meter.Retries.WithLabelValues(v.String()).Inc()
	return true
}

// expired answers a request whose time is over.
func (k *call) expired() {
	if k.runs == 0 && !k.offered {
		k.refuse(admitter.ReasonQueueFull, "time is over before it was sent")
		return
	}
	k.refuse(admitter.ReasonDeadline, "time is over")
}
