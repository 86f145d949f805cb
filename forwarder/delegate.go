package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
	"github.com/sardineward/sardineward/matcher"
)

// Headers between hosts. A caller's values are removed; they are read only from the address for other hosts.
const (
	// delegatedByHeader is the name of the host that delegates the request.
	delegatedByHeader = "Sardineward-Delegated-By"
	// countedHeader is set where that host has counted the request, before it noticed that it is cut off.
	countedHeader = "Sardineward-Counted"
	// ranOnHeader lists the upstreams that may have run the request, separated by commas.
	ranOnHeader = "Sardineward-Ran-On"
	// delegationHeader is delegationServed or delegationRefused in each response to a delegated request.
	delegationHeader = "Sardineward-Delegation"
)

const (
	// delegationServed: the response is the one for the caller.
	delegationServed = "served"
	// delegationRefused: this host does not serve the request and has not run it.
	delegationRefused = "refused"
	// delegationPing in a request asks only whether the host answers.
	delegationPing = "ping"
)

const (
	// maxDelegations is how many hosts a request is offered to, maxLimitDelegations the same where this host has used
	// its share of the upstreams' limits.
	maxDelegations      = 4
	maxLimitDelegations = 6
	// exclusion is how long a host is not asked again that did not answer, or that refused as it stops, is full, or
	// is cut off as well.
	exclusion = 2 * time.Second
	// limitExclusion is the same for a host that has used its share of the upstreams' limits too.
	limitExclusion = 200 * time.Millisecond
	// unsupportedExclusion is the same for a host of an earlier version.
	unsupportedExclusion = 10 * time.Second
)

// isCutOff reports whether this host reaches no upstream while others do, so that they are to serve its
// requests.
func (f *Forwarder) isCutOff() bool {
	now := f.Now()
	state := f.Detector.State(now)
	return f.Delegator != nil && state.Lost && !state.Returning && f.Balancer.ReachOfOthers(now).OthersReach()
}

// shouldDelegate reports whether another host is to serve the request.
func (k *call) shouldDelegate() bool {
	if k.Delegator == nil {
		return false
	}
	now := k.Now()
	if k.shareUsed {
		return k.delegatedBy == "" && !k.delegationFailed && !k.Delegator.IsUnserved(now, k.delegationScope())
	}
	state := k.Detector.State(now)
	if !state.Lost && !state.Suspicious() && !k.foundNoUpstream {
		return false // spares the look at all upstreams
	}
	reach := k.Balancer.ReachOfService(now, k.service.Name)
	signs := delegator.Signs{
		Delegated: k.delegatedBy != "", Lost: state.Lost, Suspicious: state.Suspicious(),
		FailedDials: k.failedDials, FoundNoUpstream: k.foundNoUpstream, Refused: k.delegationFailed,
		Unserved: k.Delegator.IsUnserved(now, k.delegationScope()), OthersReach: reach.Others, OwnReach: reach.Own && !k.isBoundToLost(),
	}
	return signs.ShouldDelegate()
}

// delegateInstead reports whether a request that finds no upstream is to be delegated. It returns true once at most.
func (k *call) delegateInstead() bool {
	if k.foundNoUpstream {
		return false
	}
	k.foundNoUpstream = true
	return k.shouldDelegate()
}

// delegateForLimit reports whether a request is to be delegated since this host has used its share of the limits
// that upstreams announce: shares are equal, and while most callers connect to one host the others do
// not use theirs. It returns true once at most.
func (k *call) delegateForLimit() bool {
	if k.shareUsed || k.foundNoUpstream || k.headerSent {
		return false
	}
	k.shareUsed = true
	return k.shouldDelegate()
}

// isBoundToLost reports whether the request may be sent only to certain upstreams, see allowedFirsts, one of which accepts
// no connection from this host while all others do neither or leave.
func (k *call) isBoundToLost() bool {
	firsts := k.allowedFirsts()
	mayServe := func(id string) bool { return !k.Balancer.IsDead(id) && !k.Balancer.IsLeaving(id) }
	return slices.ContainsFunc(firsts, k.Balancer.IsDead) && !slices.ContainsFunc(firsts, mayServe)
}

// delegationScope returns the scope in which hosts that can't serve the request are excluded: the service, its limits,
// or, where isBoundToLost, the upstreams that ran the request.
func (k *call) delegationScope() string {
	switch {
	case k.shareUsed:
		return k.service.Name + " at its limits"
	case k.isBoundToLost():
		return k.service.Name + " where it ran"
	default:
		return k.service.Name
	}
}

// isUnservable reports whether this host reaches no upstream and no other host is to serve the request, so that
// it is refused at once. Connections that were open before a cut may live on; they are used while they do.
func (k *call) isUnservable() bool {
	state := k.Detector.State(k.Now())
	return state.Lost && !state.Returning && state.Silence > lostSilence && !k.shouldDelegate()
}

// ServeDelegated serves a request that another host delegates to this one. It is called only for requests that
// arrive at the address for other hosts.
func (f *Forwarder) ServeDelegated(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(delegationHeader) == delegationPing {
		if service := r.Header.Get(retryOfHeader); service != "" {
			f.lendRetry(w, service)
			return
		}
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if f.stopping.Load() || f.Delegator == nil || f.Detector.State(f.Now()).Lost || !f.Delegator.Take() {
		w.Header().Set(delegationHeader, delegationRefused)
		w.WriteHeader(http.StatusServiceUnavailable)
		f.countDelegation("taken", delegationRefused)
		return
	}
	defer f.Delegator.Done()
	w.Header().Set(delegationHeader, delegationServed)
	f.countDelegation("taken", delegationServed)
	f.serve(w, r, true)
}

// markForOthers marks the refusal of a delegated request that another host may serve: this one reaches too few
// upstreams, or stops. For want of capacity the others would refuse it too.
func (k *call) markForOthers(h http.Header, reason admitter.Reason) {
	if k.delegatedBy == "" || k.runs > 0 {
		return
	}
	switch reason {
	case admitter.ReasonCutOff, admitter.ReasonNoRoute, admitter.ReasonNotReady, admitter.ReasonStopping, admitter.ReasonUpstreamLimit:
	case admitter.ReasonQueueFull:
		if k.failedDials == 0 {
			return
		}
	default:
		return
	}
	h.Set(delegationHeader, delegationRefused)
	if k.counted {
		h.Set(countedHeader, "1")
	}
}

// IsDelegated reports whether a request comes from a host that delegates it.
func IsDelegated(r *http.Request) bool { return r.Header.Get(delegatedByHeader) != "" }

func (f *Forwarder) countDelegation(direction, outcome string) {
	f.Meter.Delegations.WithLabelValues(direction, outcome).Inc()
}

// readDelegation reads what the delegating host knows of the request.
func (k *call) readDelegation() {
	k.delegatedBy = k.r.Header.Get(delegatedByHeader)
	k.counted = k.r.Header.Get(countedHeader) != ""
	if list := k.r.Header.Get(ranOnHeader); list != "" {
		k.ranOn = strings.Split(list, ",")
		k.runs = len(k.ranOn)
		k.ranElsewhere = k.runs
	}
}

// delegate has another host serve the request. It returns false after it has answered or refused the request,
// and true where this host is to serve it after all.
func (k *call) delegate(ctx context.Context) bool {
	var tried []string
	most := maxDelegations
	if k.shareUsed {
		most = maxLimitDelegations
	}
	for range most {
		if !k.shouldDelegate() {
			return true
		}
		h, ok := k.Delegator.Choose(k.Now(), k.delegationScope(), tried)
		if !ok {
			break
		}
		if !k.renewRetry(ctx) {
			k.Delegator.Release(h)
			k.delegationFailed = true
			return true
		}
		tried = append(tried, h.Name)
		v := k.delegateTo(ctx, h)
		if v == verdictAnswered {
			return false
		}
		if k.r.Context().Err() != nil {
			return false
		}
		if v == verdictNotRun && ctx.Err() == nil {
			continue // no upstream got the request, so this takes no retry
		}
		if !k.mayDelegateAgain(ctx, v) {
			return false
		}
	}
	now := k.Now()
	state := k.Detector.State(now)
	reaches := !state.Lost || state.Returning
	if reaches {
		k.Delegator.RecordUnserved(now, k.delegationScope())
	}
	if reaches || k.headerSent {
		k.delegationFailed = true
		return true
	}
	return k.refuse(admitter.ReasonCutOff, "no upstream accepts connections from this host, tried hosts "+strings.Join(tried, ","))
}

// mayDelegateAgain reports whether a request that a host may have run is delegated again, and takes a retry for it.
// Otherwise it refuses the request.
func (k *call) mayDelegateAgain(ctx context.Context, v verdict) bool {
	if !k.headerSent {
		return k.retryOrRefuse(ctx, v)
	}
	if ctx.Err() != nil || !k.awaitResumeRetry(ctx) {
		k.abortStream(cutCauseRetry, 0)
	}
	k.retryTakenAt = k.Now()
	k.Meter.Retries.WithLabelValues(v.String()).Inc()
	return true
}

// delegateTo has one host serve the request and passes its response on.
func (k *call) delegateTo(ctx context.Context, h delegator.Host) verdict {
	defer k.Delegator.Release(h)
	ctx, d, done := k.trackDelegation(ctx, h)
	defer done()
	resp, err := k.Pool.Do(ctx, k.peerRequest(h))
	if err != nil {
		return k.noAnswerFrom(ctx, h, err)
	}
	defer resp.Done()
	outcome := resp.Header.Get(delegationHeader)
	switch outcome {
	case delegationServed:
		k.wasSent = true
		resp.Header.Del(delegationHeader)
		k.logDelegation(h, "served with status "+strconv.Itoa(resp.StatusCode), nil)
		k.countDelegation("sent", delegationServed)
		return k.passOn(ctx, d, resp)
	case delegationRefused:
		k.counted = k.counted || resp.Header.Get(countedHeader) != ""
		wait := exclusion
		if k.shareUsed {
			wait = limitExclusion
		}
		k.Delegator.Exclude(h, k.delegationScope(), k.Now()+wait)
	default:
		if resp.StatusCode != http.StatusNotFound {
			return k.noAnswerFrom(ctx, h, &connector.Error{Address: h.Address, Sent: true, Err: errNoOutcome})
		}
		k.Delegator.Exclude(h, "", k.Now()+unsupportedExclusion)
		outcome = "unsupported" // a host of an earlier version has no such path
	}
	k.logDelegation(h, outcome, nil)
	k.countDelegation("sent", outcome)
	return verdictNotRun
}

// noAnswerFrom returns the verdict on a host that gave no response.
func (k *call) noAnswerFrom(ctx context.Context, h delegator.Host, err error) verdict {
	k.logDelegation(h, "no answer", err)
	k.countDelegation("sent", "noAnswer")
	if ctx.Err() == nil {
		k.Delegator.Exclude(h, "", k.Now()+exclusion)
	}
	var e *connector.Error
	if errors.As(err, &e) && !e.Sent {
		return verdictNotRun
	}
	k.wasSent = true
	return verdictMayHaveRun
}

// peerRequest builds the request to a host.
func (k *call) peerRequest(h delegator.Host) *connector.Request {
	header := k.r.Header.Clone()
	dropHopByHop(header)
	dropDelegation(header)
	header.Set(delegatedByHeader, k.HostName)
	if k.counted {
		header.Set(countedHeader, "1")
	}
	if len(k.ranOn) > 0 {
		header.Set(ranOnHeader, strings.Join(k.ranOn, ","))
	}
	if k.lastEventID.text != "" {
		header.Set("Last-Event-Id", k.lastEventID.text)
	}
	header.Set(k.Headers.DeadlineMs, strconv.FormatInt(max(1, int64((k.deadline-k.Now())/time.Millisecond)), 10))
	return &connector.Request{
		Address: h.Address, Purpose: connector.PurposePeer, Method: k.r.Method, Target: k.r.RequestURI, Host: k.r.Host,
		Header: header, Body: k.body, AtMostOnce: !k.route.Repeatable(),
	}
}

// passOn passes a host's response on to the caller: events as they arrive, anything else once it is whole.
func (k *call) passOn(ctx context.Context, d *delegation, resp *connector.Response) verdict {
	if resp.StatusCode == http.StatusOK && k.route.Kind == matcher.KindStreaming {
		return k.passOnEvents(d, resp)
	}
	body, err := k.readAnswer(resp)
	switch {
	case err != nil || !resp.Complete():
		return k.noAnswerFrom(ctx, d.host, &connector.Error{Address: d.host.Address, Sent: true, Err: errors.Join(err, io.ErrUnexpectedEOF)})
	case resp.StatusCode/100 == 2 && resp.Header.Get(k.Headers.Stamp) == "":
		// The response of a host without an upstream's signature does not come from an upstream.
		return k.noAnswerFrom(ctx, d.host, &connector.Error{Address: d.host.Address, Sent: true, Err: errNoStamp})
	case k.headerSent:
		// The stream has begun and was refused now. The status can't be sent any more.
		return verdictFailed
	}
	k.headerSent = true
	k.Headers.incoming(k.w.Header(), resp.Header)
	k.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	k.w.WriteHeader(resp.StatusCode)
	_, _ = k.w.Write(body)
	return verdictAnswered
}

// passOnEvents passes complete events on as they arrive.
func (k *call) passOnEvents(d *delegation, resp *connector.Response) verdict {
	ctl := http.NewResponseController(k.w)
	buf := make([]byte, readBufferSize)
	buffer := k.newEventBuffer()
	defer buffer.release()
	begun := false
	for {
		n, err := resp.Read(buf)
		events, ids, sizeErr := buffer.add(buf[:n])
		if len(events) > 0 {
			k.lastDelivery = k.Now()
			d.lastEvent.Store(int64(k.lastDelivery))
			last := k.lastEventID
			for _, id := range ids {
				if !id.follows(last) {
					k.logDelegation(d.host, "event "+id.text+" does not follow event "+last.text, nil)
					return verdictBroken
				}
				last = id
			}
			k.lastEventID = last
			k.writeHeader(resp)
			begun = true
			if _, err := k.w.Write(events); err != nil {
				return k.abortForCaller(err)
			}
			if err := ctl.Flush(); err != nil {
				return k.abortForCaller(err)
			}
		}
		if err == nil {
			err = sizeErr
		}
		switch {
		case errors.Is(err, io.EOF) && buffer.pending() == 0 && k.isWhole(resp, begun):
			k.writeHeader(resp)
			return verdictAnswered
		case err != nil:
			k.received = responseProgress{head: true, eventBytes: buffer.pending()}
			if k.r.Context().Err() == nil {
				k.logDelegation(d.host, "broke off after event "+k.lastEventID.text, err)
			}
			return verdictBroken
		}
	}
}

// logDelegation logs what became of a request at another host.
func (k *call) logDelegation(h delegator.Host, outcome string, err error) {
	now := k.Now()
	state := k.Detector.State(now)
	event := k.Log.Info().Str("requestId", k.id).Str("host", h.Name).Err(err).Str("service", k.service.Name).
		EmbedObject(k.Balancer.ReachOfService(now, k.service.Name)).Dur("left", k.deadline-now)
	if state.Lost {
		event.Dur("cutOff", now-state.Since).Bool("onProbation", state.Returning)
	}
	event.Msg("forwarder: delegated: " + outcome)
}

// delegationHeaders lists the headers between hosts.
var delegationHeaders = []string{delegatedByHeader, countedHeader, ranOnHeader, delegationHeader, retryOfHeader}

// dropDelegation removes the headers between hosts.
func dropDelegation(h http.Header) {
	for _, name := range delegationHeaders {
		h.Del(name)
	}
}
