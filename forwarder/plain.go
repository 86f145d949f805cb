package forwarder

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

//go:generate enumer -type verdict -trimprefix verdict -transform title-lower -output verdict_gen.go

// verdict is the outcome of one attempt to send a request.
type verdict int

const (
	// verdictAnswered: there is a response for the caller.
	verdictAnswered verdict = iota
	// verdictNotRun: the upstream did not run the request and never will.
	verdictNotRun
	// verdictMayHaveRun: the request may have run, or may still run.
	verdictMayHaveRun
	// verdictFailed: the request ran and failed; a repeatable one may succeed at another
	// upstream.
	verdictFailed
	// verdictBroken: the stream was interrupted.
	verdictBroken
	// verdictWithheld: the request was not sent, since the upstream asked for a backoff or announced
	// that it leaves after it was chosen.
	verdictWithheld
)

// answer is an upstream's complete response, with its body read.
type answer struct {
	*http.Response
	body []byte
}

// servePlain serves a request whose response is not a stream.
func (k *call) servePlain(ctx context.Context) {
	for {
		if k.shouldDelegate() && !k.delegate(ctx) {
			return
		}
		l := k.acquire(balancer.Requirements{})
		if l == nil && !k.headerSent {
			continue // not refused: another host is to serve it, or else the next choice refuses it
		}
		if l == nil {
			return
		}
		a, v := k.exchange(ctx, l)
		k.release(l)
		if v == verdictAnswered {
			k.writeAnswer(a)
			return
		}
		if v == verdictWithheld {
			continue
		}
		if v == verdictFailed && (!mayRepeat(k.route, v) || k.runs+1 >= k.route.MaxAttempts || !k.RetryBudget(k.service.Name).Spend(k.Now())) {
			k.writeAnswer(a)
			return
		}
		k.avoidUpstream(l.First.ID)
		if v != verdictNotRun {
			k.ranOn = append(k.ranOn, l.First.ID)
		}
		if v == verdictFailed {
			k.runs++
			k.Meter.Retries.WithLabelValues(v.String()).Inc()
			continue
		}
		if !k.retryOrRefuse(ctx, v) {
			return
		}
	}
}

// exchange sends the request to one upstream and reads its complete response.
func (k *call) exchange(ctx context.Context, l *balancer.Lease) (*answer, verdict) {
	id := l.First.ID
	k.received = responseProgress{}
	sent, wasSent := k.Now(), k.wasSent
	ctx, done := k.trackExchange(ctx, sent)
	defer done()
	resp, err := k.Pool.Do(ctx, k.upstreamRequest(l))
	if err != nil {
		return nil, k.classifyError(ctx, l, err)
	}
	k.wasSent, k.received.head, k.connUse = true, true, resp.Use
	k.Detector.RecordEvent(k.Now())
	k.observeLimit(l, resp.Response, sent)
	k.observeAnnouncements(l, resp.Response)
	body, err := k.readAnswer(resp)
	if err != nil || !resp.Complete() {
		resp.Discard()
		k.Balancer.RecordFailure(id)
		k.logAttempt(l, "response ended early", err)
		return nil, verdictMayHaveRun
	}
	a, v := k.classifyAnswer(l, &answer{resp.Response, body}, sent)
	if v == verdictNotRun {
		k.wasSent = wasSent
	}
	endResponse(resp, v)
	return a, v
}

// endResponse ends the use of a response. A connection is not kept after a success that is no response to the request, as
// the request may be sent again.
func endResponse(resp *connector.Response, v verdict) {
	if v == verdictMayHaveRun || v == verdictBroken || v == verdictFailed && resp.StatusCode < http.StatusBadRequest {
		resp.Discard()
		return
	}
	resp.Done()
}

// classifyError returns the verdict on a request that got no response, and records the failure of
// the upstream.
func (k *call) classifyError(ctx context.Context, l *balancer.Lease, err error) verdict {
	var e *connector.Error
	if !errors.As(err, &e) {
		e = &connector.Error{Sent: true}
	}
	k.dialFailed, k.unsent, k.connUse = e.DialFailed, !e.Sent, e.Use
	if e.Withheld {
		return verdictWithheld
	}
	if e.Sent {
		k.wasSent = true
	}
	if ctx.Err() == nil {
		if e.DialFailed {
			k.failedDials++
			k.recordUnreachable(ctx, l.First, e)
		} else {
			k.Balancer.RecordFailure(l.First.ID)
		}
		k.logAttempt(l, "no answer", err)
		if e.Sent {
			k.detectCrash(ctx, l.First, false)
		}
	}
	if e.Sent {
		return verdictMayHaveRun
	}
	return verdictNotRun
}

// classifyAnswer returns the verdict on a complete response, and records it with the balancer.
func (k *call) classifyAnswer(l *balancer.Lease, a *answer, sent time.Duration) (*answer, verdict) {
	id := l.First.ID
	if v, ok := k.handleRejection(l, a.Response, sent); ok {
		return nil, v
	}
	success := a.StatusCode/100 == 2
	if success && (a.Header.Get(k.Headers.Stamp) == "" || a.Header.Get("Content-Encoding") != "") {
		// A response without the signature does not come from the upstream.
		k.Balancer.RecordFailure(id)
		k.logAttempt(l, "response has no signature", nil)
		return nil, verdictMayHaveRun
	}
	if k.breaksPromise(a.StatusCode) {
		k.Balancer.RecordSuccess(k.Now(), id, parseLoad(a.Header.Get(k.Headers.Load)))
		k.logAttempt(l, "status "+strconv.Itoa(a.StatusCode)+" without the header that says that the request has not run", nil)
		return nil, verdictMayHaveRun
	}
	if a.StatusCode >= http.StatusInternalServerError {
		k.Balancer.RecordSuccess(k.Now(), id, parseLoad(a.Header.Get(k.Headers.Load)))
		k.logAttempt(l, "upstream failed with status "+strconv.Itoa(a.StatusCode), nil)
		return a, verdictFailed
	}
	k.Balancer.RecordSuccess(k.Now(), id, parseLoad(a.Header.Get(k.Headers.Load)))
	return a, verdictAnswered
}

// minHopFailureDelay is the least time in which the first upstream detects that another one on the
// path is dead. A rejection before that means that the other one has no capacity, which is known at
// once.
const minHopFailureDelay = time.Second

// handleRejection reports whether a complete response rejects the request without running it, and
// records which upstream of the path is the reason.
func (k *call) handleRejection(l *balancer.Lease, resp *http.Response, sent time.Duration) (verdict, bool) {
	k.dialFailed, k.unsent = false, false
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	if !k.saysNotRun(resp) {
		return verdictAnswered, false
	}
	faultAddress := resp.Header.Get(k.Headers.Fault)
	id := k.rejecter(l, resp)
	k.avoidRejecter(id)
	load := parseLoad(resp.Header.Get(k.Headers.Load))
	var known *balancer.Rejection
	backingOff := !k.Balancer.MaySend(k.Now(), id, k.Balancer.StartedAt(id))
	if !misdirected && !backingOff && l.First.To == 0 {
		k.Balancer.RecordFull(k.Now(), id)
	}
	switch {
	case misdirected || (faultAddress != "" && !backingOff && k.Now()-sent > minHopFailureDelay):
		k.Balancer.Eject(k.Now(), id)
	case faultAddress != "" && !backingOff:
		known = k.Balancer.RecordRejection(k.Now(), id)
	case load != nil:
		// A backoff is neither a failure nor a sign of too little capacity.
		k.Balancer.RecordSuccess(k.Now(), l.First.ID, load)
	}
	k.logRejection(l, id, resp, known)
	return verdictNotRun, true
}

// rejecter returns the upstream of the path because of which a response rejects the request.
func (k *call) rejecter(l *balancer.Lease, resp *http.Response) string {
	if address := resp.Header.Get(k.Headers.Fault); address != "" {
		// Several upstreams may be listed at one address; the one on the path is meant.
		for _, h := range k.Balancer.Path(l) {
			if h.Address == address {
				return h.ID
			}
		}
	}
	return l.First.ID
}

// logRejection counts and logs a response that rejects a request, with the upstream of the path that
// is the reason, what this host knew of it, and what the response says about when to return. known is
// nil where the reason is not the usage of a later hop.
func (k *call) logRejection(l *balancer.Lease, reason string, resp *http.Response, known *balancer.Rejection) {
	retryAfter := strings.Join(resp.Header.Values("Retry-After"), ", ")
	k.Meter.Rejections.WithLabelValues(strconv.Itoa(resp.StatusCode), strconv.FormatBool(retryAfter != "")).Inc()
	event := k.Log.Info().Str("requestId", k.id).Str("upstream", l.First.ID).Str("hops", FormatPath(k.Balancer.Path(l))).Dur("left", k.deadline-k.Now()).
		Int("inFlight", k.Balancer.InFlight(l.First.ID)).Str("load", resp.Header.Get(k.Headers.Load)).EmbedObject(k.connUse)
	if known != nil {
		k.Meter.PathRejections.WithLabelValues(known.Cause.String()).Inc()
		event.EmbedObject(known)
	}
	if retryAfter != "" {
		event.Str("retryAfter", retryAfter[:min(len(retryAfter), maxHeaderLength)])
	}
	event.Msg("forwarder: turned away with status " + strconv.Itoa(resp.StatusCode) + " by " + reason)
}

// logAttempt logs what happened to an attempt, with its path, its connection and the time left.
func (k *call) logAttempt(l *balancer.Lease, what string, err error) {
	k.Log.Info().Str("requestId", k.id).Str("upstream", l.First.ID).Str("hops", FormatPath(k.Balancer.Path(l))).Err(err).
		Dur("left", k.deadline-k.Now()).EmbedObject(k.connUse).Msg("forwarder: " + what)
}

// writeAnswer writes an upstream's response to the caller unchanged.
func (k *call) writeAnswer(a *answer) {
	k.headerSent = true
	k.Headers.incoming(k.w.Header(), a.Header)
	k.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	k.w.WriteHeader(a.StatusCode)
	_, _ = k.w.Write(a.body)
	k.recordSuccess()
}

// recordSuccess counts a served request and clears its strikes.
func (k *call) recordSuccess() {
	name := ""
	if k.workspace != nil {
		name = k.workspace.Name
	}
	k.Meter.Requests.WithLabelValues(name, k.route.Kind.String()).Inc()
	k.recordServed()
	k.clearStrikes()
	k.Isolator.RecordAnswer(k.Now(), k.parts)
}
