// Package forwarder proxies callers' requests to upstreams. It resolves the route and the
// workspace, sends the request to one upstream or over a path of engines, retries it where that
// is safe, and resumes an interrupted stream at another upstream.
//
// Bodies are forwarded unchanged. Packages matcher, balancer and admitter decide which upstream
// is used, how often a request is retried and when it is refused; this package does the I/O.
package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/assessor"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
	"github.com/sardineward/sardineward/detector"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/tracker"
)

const (
	// defaultTimeout bounds a request without a deadline on a route without a timeout.
	defaultTimeout = 30 * time.Second
	// bodyReadTimeout bounds the time for reading a request's body.
	bodyReadTimeout = 10 * time.Second
	// discardTimeout bounds the time for reading the rest of a body that is refused.
	discardTimeout = time.Second
	// defaultMaxBodyBytes bounds request bodies when the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// maxRejections is how many times upstreams may reject a request without running it before
	// the caller gets a refusal with Retry-After.
	maxRejections = 3
	// minRetryAfter is the shortest Retry-After, about the time that an upstream takes to
	// restart or to load layers. The value sent is random between minRetryAfter and twice
	// that, so that callers refused together do not return together.
	minRetryAfter = 800 * time.Millisecond
	// writeGrace is how long after the request's deadline a response may still be written.
	writeGrace = time.Second
)

// TableSource provides the configuration in force.
type TableSource interface {
	// Table returns the routing table; nil before the first configuration.
	Table() *matcher.Table
	// Age returns the time since the table was last known to be current.
	Age() time.Duration
}

// Forwarder is the http.Handler that proxies callers' requests. Its exported fields are set
// before use.
type Forwarder struct {
	Tables   TableSource
	Balancer *balancer.Balancer
	Pool     *connector.Pool
	Engines  Engines
	Headers  Headers
	// RetryBudget returns the retry budget of a service.
	RetryBudget func(service string) *admitter.WindowRetryBudget
	// StreamLimiters returns the limits on a service's streams in flight.
	StreamLimiters func(service string) *admitter.StreamLimiters
	// Demands counts what callers ask for, over all hosts; nil means that it is not counted.
	Demands *admitter.Demands
	// DivideCapacity is set to refuse workspaces that exceed their share in a shortage.
	DivideCapacity bool
	// RankReserve decides what requests leave to more urgent ones. It matters for services with several
	// ranks; nil leaves nothing.
	RankReserve *admitter.RankReserve
	// HostName is the name of this host.
	HostName string
	// Delegator chooses the hosts that serve requests while this one reaches no upstream; nil means that none
	// does.
	Delegator *delegator.Delegator
	// Detector finds out that this host has lost all upstreams.
	Detector detector.Detector
	// Assessor tells upstreams and hosts that do not answer from a delay of this host itself.
	Assessor assessor.Assessor
	// Suspects records which requests were in flight when upstreams crashed.
	Suspects *tracker.Suspects
	// KeepStrikes makes the strikes against a request outlast the hosts and learns those that other hosts know, within
	// a short time; nil means that they are kept in memory only.
	KeepStrikes func(ctx context.Context, fingerprint uint64)
	// Isolator decides which parts of prompts crash upstreams.
	Isolator isolator.Isolator
	// PartsKnown reports whether this host has learned which parts are isolated; until then it is not ready. nil
	// means always.
	PartsKnown func() bool
	// LimitsKnown reports whether this host has learned which upstreams announce a request
	// limit; until then the host is not ready. nil means always.
	LimitsKnown func() bool
	// MaxKeyAge is the age of the configuration from which keys are no longer accepted; 0 means
	// that they never expire.
	MaxKeyAge time.Duration
	// MemoryBytes is the memory of the process, of which long request bodies and responses may take a part; 0 means no
	// bound.
	MemoryBytes int64
	// Now returns a monotonic time that advances while the machine is suspended.
	Now   func() time.Duration
	Meter *meter.Meter
	Log   zerolog.Logger

	stopping atomic.Bool
	stop     plannedStop
	inFlight atomic.Int64
	// lastContact is when any upstream last sent an event or accepted a connection, as
	// nanoseconds of Now.
	lastContact atomic.Int64
	probes      probePacer
	// lateLoggedAt is when it was last logged that this host runs late; it is used by Watch only.
	lateLoggedAt time.Duration
	// reachCheckedAt is when upstreams were last checked because connections failed, reachRound counts these
	// checks; it is used by Watch only.
	reachCheckedAt atomic.Int64
	reachRound     int
	// strikes holds the recent strikes that this host has added.
	strikes recentStrikes
	// answerMemory and bodyMemory are what long responses and request bodies hold.
	answerMemory, bodyMemory bufferMemory
	// promises holds when refused callers are to return.
	promises admitter.Promises
	// repeats holds which refused requests are to return later.
	repeats admitter.Repeats

	mu sync.Mutex
	// streams holds the attempts under way, exchanges those of plain requests that may be repeated.
	streams   map[*attempt]struct{}
	exchanges map[*exchange]struct{}
	// delegations holds the requests that other hosts serve for this one and that may be repeated.
	delegations map[*delegation]struct{}
}

// Ready reports whether this host can serve requests.
func (f *Forwarder) Ready() bool {
	limitsKnown := f.LimitsKnown == nil || f.LimitsKnown()
	partsKnown := f.PartsKnown == nil || f.PartsKnown()
	return !f.stopping.Load() && f.Tables.Table() != nil && limitsKnown && partsKnown && f.keysFresh()
}

// InFlight returns the number of requests being served.
func (f *Forwarder) InFlight() int64 { return f.inFlight.Load() }

// keysFresh reports whether the known keys are recent enough to authenticate a request. A host
// that is cut off from updates must not accept a key that was revoked meanwhile.
func (f *Forwarder) keysFresh() bool {
	t := f.Tables.Table()
	return f.MaxKeyAge == 0 || t == nil || !t.RequiresKey || f.Tables.Age() < f.MaxKeyAge
}

// call is one request of a caller and the state of serving it. Its times are values of Now.
type call struct {
	*Forwarder
	w           http.ResponseWriter
	r           *http.Request
	id          string
	table       *matcher.Table
	route       *matcher.Route
	service     *matcher.Service
	workspace   *matcher.Workspace
	keyRequired bool
	// delegatedBy is the host that delegates the request to this one; empty where the caller sent it.
	delegatedBy string
	// failedDials counts the dials to upstreams that failed for the request; dialFailed is set where the last
	// attempt ended so.
	failedDials int
	dialFailed  bool
	// unsent is set if the last attempt ended before any byte of the request was sent.
	unsent bool
	// delegationFailed is set once no other host took the request.
	delegationFailed bool
	// foundNoUpstream is set once the request found no upstream while connections to several had failed.
	foundNoUpstream bool
	// shareUsed is set once the request found only upstreams at whose limits this host has used its share.
	shareUsed bool
	// counted is set once a host has counted the request.
	counted bool
	// rank is the rank of the request, see matcher.Table.Rank; the lowest is the most urgent.
	rank int
	// keepFree is the share of the capacity that the request left to more urgent ones when it last
	// asked for some, leasedAt when it last got some.
	keepFree float64
	leasedAt time.Duration
	body     []byte
	// fingerprint is the same when the caller repeats the request.
	fingerprint uint64
	// parts are those of the request's prompt that other requests may share.
	parts []isolator.Part
	// header is the header to forward, without the fields that differ by upstream; nil until
	// it is first used.
	header   http.Header
	deadline time.Duration
	// arrivedAt is when the request arrived. firstEventLatency is the time from then to the
	// first event; 0 before it.
	arrivedAt, firstEventLatency time.Duration
	// avoid lists the upstreams that failed this request, rejecters those of them that rejected it
	// without running it.
	avoid, rejecters []string
	// runs counts the upstreams that may have run the request, rejected the rejections by
	// upstreams that did not run it.
	runs, rejected int
	// ranOn lists the first upstreams of the stream's attempts that may have run, in order.
	ranOn []string
	// ranElsewhere counts the attempts of the host that delegated the request.
	ranElsewhere int
	// lacksRetry is set where the retry budget has no retry for the request.
	lacksRetry bool
	// borrowedAt is when another host lent the request a retry that is not used yet, as nanoseconds of Now; 0 if there
	// is none.
	borrowedAt atomic.Int64
	// isBorrowing is set while other hosts are asked for a retry in the background.
	isBorrowing atomic.Bool
	// retryTakenAt is when the retry for the next attempt of a stream that has begun was taken; 0 before the first.
	retryTakenAt time.Duration
	// wasSent is set once the request was sent to an upstream.
	wasSent bool
	// received is how far the response of the last attempt had come when it ended, connUse the connection of that attempt.
	received responseProgress
	connUse  connector.ConnUse
	// lastEventID is the id of the last event that the caller has; at first the one that the
	// caller names in Last-Event-Id.
	lastEventID eventID
	// lastDelivery is when events were last written to the caller; 0 before the first.
	lastDelivery time.Duration
	// returning is set where the caller was refused before and returns as it was asked to.
	returning bool
	// excess is set where it returns beyond what was promised, after which new requests go first.
	excess bool
	// shareExceeded is set where the request was refused for its workspace's share.
	shareExceeded bool
	// admitted is set once upstreams were reserved for the request.
	admitted bool
	// headerSent is set once the status and the headers were written to the caller.
	headerSent bool
	// retryAfter is the wait after which a retry can succeed; 0 when it is not known.
	retryAfter time.Duration
	// releaseMemory holds the functions that free the memory of its body and its responses.
	releaseMemory []func()
	// latencySampled is set once this stream was counted as late or in time.
	latencySampled atomic.Bool
}

// ServeHTTP implements http.Handler.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.serve(w, r, false) }

// serve serves a request of a caller, or one that another host delegates. It closes the connection where there is no
// response: a handler that returns without one gives status 200 with an empty body, which a caller that has closed only
// its sending half still reads.
func (f *Forwarder) serve(w http.ResponseWriter, r *http.Request, delegated bool) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	k := &call{Forwarder: f, w: w, r: r, id: r.Header.Get(f.Headers.RequestID), table: f.Tables.Table(), arrivedAt: f.Now()}
	k.serve(delegated)
	if !k.headerSent {
		panic(http.ErrAbortHandler)
	}
}

// serve serves the request. It leaves headerSent unset where there is no response.
func (k *call) serve(delegated bool) {
	if k.stopping.Load() {
		k.w.Header().Set("Connection", "close")
	}
	defer k.releaseAll()
	if delegated {
		k.readDelegation()
	}
	if !k.resolve() {
		return
	}
	ctx, cancel := context.WithTimeout(k.r.Context(), k.deadline-k.Now())
	defer cancel()
	ctx, done := k.endWithStop(ctx)
	defer done()
	if !k.readBody(ctx) {
		return
	}
	k.fingerprint = fingerprintOf(k)
	k.parts = isolator.ParseParts(k.partsHeader())
	if k.route.Kind == matcher.KindStreaming {
		k.lastEventID = parseEventID(k.r.Header.Get("Last-Event-Id"))
	}
	ctl := http.NewResponseController(k.w)
	ctl.SetWriteDeadline(time.Now().Add(k.deadline - k.Now() + writeGrace))
	if k.refuseIsolated(false) || k.shouldDelegate() && !k.delegate(ctx) {
		return
	}
	if k.refuseQuarantined() || !k.count() {
		return
	}
	if k.route.Kind == matcher.KindStreaming {
		k.serveStream(ctx)
		return
	}
	k.servePlain(ctx)
}

// count counts the request, once over all hosts. It returns false after refusing the request for what was
// counted before.
func (k *call) count() bool {
	if k.counted {
		return true
	}
	if k.refuseRepeat() {
		return false
	}
	k.counted = true
	k.recordArrival()
	k.recordReturn()
	if k.refuseShare() {
		return false
	}
	k.RetryBudget(k.service.Name).RecordRequest(k.Now())
	return true
}

// resolve finds the route, the workspace and the service and sets the deadline. It returns false
// after refusing the request.
func (k *call) resolve() bool {
	if k.table == nil {
		return k.refuse(admitter.ReasonNotReady, "no configuration yet")
	}
	path, _, _ := strings.Cut(k.r.RequestURI, "?")
	k.route = k.table.Route(k.r.Host, path)
	if k.route == nil {
		if !k.keysFresh() {
			return k.refuse(admitter.ReasonNotReady, "configuration too old")
		}
		return k.refuse(admitter.ReasonUnknown, "no route")
	}
	k.keyRequired = k.table.RequiresKey && !k.route.Public
	if k.keyRequired {
		if !k.keysFresh() {
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
	k.rank = k.table.Rank(k.route, k.workspace)
	k.deadline = k.Now() + k.timeout()
	return true
}

// timeout returns the shorter of the caller's and the route's timeout, or defaultTimeout when there is
// neither.
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

// readBody reads the whole body, so that the request can be sent again, until ctx ends. It returns false after
// refusing the request.
func (k *call) readBody(ctx context.Context) bool {
	limit := k.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if k.r.ContentLength > limit {
		return k.refuse(admitter.ReasonTooLarge, "body too large")
	}
	if k.r.Body == nil || k.r.ContentLength == 0 {
		return true
	}
	ctl := http.NewResponseController(k.w)
	ctl.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	stop := context.AfterFunc(ctx, func() { ctl.SetReadDeadline(time.Now()) })
	body, err := k.readRequestBody(http.MaxBytesReader(k.w, k.r.Body, limit), k.r.ContentLength)
	if !stop() {
		k.refuseExpired()
		return false
	}
	if errors.Is(err, errNoMemory) {
		k.discardBody(ctl)
	}
	ctl.SetReadDeadline(time.Time{})
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		return k.refuse(admitter.ReasonMemory, "no memory for its body")
	case errors.As(err, &large):
		return k.refuse(admitter.ReasonTooLarge, "body too large")
	case err != nil:
		return k.refuse(admitter.ReasonMalformed, "reading the body: "+err.Error())
	}
	k.body = body
	return true
}

// discardBody reads what is left of a body that is refused, for discardTimeout at most: a caller that still sends it would see
// a reset connection in place of the response.
func (k *call) discardBody(ctl *http.ResponseController) {
	ctl.SetReadDeadline(time.Now().Add(discardTimeout))
	_, _ = io.Copy(io.Discard, k.r.Body)
}

// upstreamRequest builds the request to the first upstream of a lease.
func (k *call) upstreamRequest(l *balancer.Lease) *connector.Request {
	if k.header == nil {
		k.header = k.Headers.outgoing(k.r.Header, k.table.RequiresKey)
	}
	h := k.header.Clone()
	left := max(1, int64((k.deadline-k.Now())/time.Millisecond))
	h.Set(k.Headers.DeadlineMs, strconv.FormatInt(left, 10))
	h.Set(k.Headers.Instance, l.First.ID)
	if k.workspace != nil {
		h.Set(k.Headers.Workspace, k.workspace.Name)
	}
	if ranks := k.ranks(); ranks != nil {
		h.Set(k.Headers.Urgency, strconv.Itoa(urgency(ranks, k.rank)))
	}
	if l.First.To > 0 {
		h.Set(k.Headers.Path, FormatPath(k.Balancer.Path(l)))
	}
	purpose := connector.PurposePlain
	if k.route.Kind == matcher.KindStreaming {
		purpose = connector.PurposeStream
	}
	return &connector.Request{
		Address:    l.First.Address,
		Purpose:    purpose,
		Method:     k.r.Method,
		Target:     k.r.RequestURI,
		Host:       k.r.Host,
		Header:     h,
		Body:       k.body,
		AtMostOnce: !k.route.Repeatable(),
		MaySend:    func() bool { return k.Balancer.MayStart(k.Now(), l.First.ID, l.StartedAt) },
	}
}

// acquire reserves upstreams. It returns nil after refusing the request, or where another host is to serve it.
func (k *call) acquire(n balancer.Requirements) *balancer.Lease {
	if k.keyRequired && !k.keysFresh() {
		k.refuse(admitter.ReasonNotReady, "keys too old")
		return nil
	}
	if k.isUnservable() {
		k.refuse(admitter.ReasonCutOff, "no upstream accepts connections from this host, nor from others")
		return nil
	}
	n.Service = k.service.Name
	n.Avoid = k.avoid
	if k.delegatedBy != "" {
		n.AllowedFirst = k.allowedFirsts()
	}
	k.updateKeepFree()
	n.KeepFree = k.keepFree
	n.HasConnection = k.hasConnection
	// An upstream whose backoff has just ended may reject the request again.
	n.AvoidReturning = k.rejected > 0 || !k.RetryBudget(k.service.Name).HasRetry(k.Now())
	l, reason := k.Balancer.Acquire(k.Now(), n)
	if l == nil && n.AvoidReturning {
		n.AvoidReturning = false
		l, reason = k.Balancer.Acquire(k.Now(), n)
	}
	if l == nil && len(k.avoid) > len(k.rejecters) {
		// A request goes to an upstream that failed it before rather than being refused. One that
		// has just rejected it would do so again.
		n.Avoid = k.rejecters
		l, reason = k.Balancer.Acquire(k.Now(), n)
	}
	if l == nil && len(n.AvoidDataCentres) > 0 {
		if !k.admitted {
			k.recordShortage()
			k.refuse(admitter.ReasonQueueFull, "first events come late")
			return nil
		}
		n.AvoidDataCentres = nil
		l, reason = k.Balancer.Acquire(k.Now(), n)
	}
	if l == nil && (reason == balancer.ReasonNoUpstream && k.delegateInstead() || reason == balancer.ReasonLimit && k.delegateForLimit()) {
		return nil
	}
	if l == nil {
		if reason == balancer.ReasonNoRoom || reason == balancer.ReasonLimit {
			k.recordShortage()
		}
		k.refuseNoUpstream(reason)
		return nil
	}
	k.recordAdmitted()
	if len(l.Throttled) > 0 {
		k.Log.Debug().Str("requestId", k.id).Str("upstream", l.First.ID).Strs("heldOff", l.Throttled).Msg("forwarder: upstreams passed over for their limit")
	}
	if len(l.Withheld) > 0 {
		k.Log.Debug().Str("requestId", k.id).Str("upstream", l.First.ID).Strs("heldOff", l.Withheld).Msg("forwarder: upstreams passed over for their backoff")
	}
	return l
}

// hasConnection reports whether the request needs no new connection to an address.
func (k *call) hasConnection(address string) bool {
	return k.Pool.HasIdle(address, k.id, !k.route.Repeatable())
}

// avoidUpstream excludes an upstream that failed the request from later attempts.
func (k *call) avoidUpstream(id string) {
	if !slices.Contains(k.avoid, id) {
		k.avoid = append(k.avoid, id)
	}
}

// avoidRejecter excludes an upstream that rejected the request from later attempts.
func (k *call) avoidRejecter(id string) {
	k.avoidUpstream(id)
	if !slices.Contains(k.rejecters, id) {
		k.rejecters = append(k.rejecters, id)
	}
}
