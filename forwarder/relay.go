package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

// slowDivisor divides the time that callers expect for an event; an event that takes longer than
// the quotient counts as slow. That is twice the usual time, and early enough to use another path.
const slowDivisor = 2

// progress tracks the events that one attempt has delivered.
type progress struct {
	// begun is set with the first event.
	begun bool
	// lastEvent is when the last event was written, longestGap the longest pause between two.
	lastEvent, longestGap time.Duration
	// sound is set once the events have gone on for so long that the request crashes nothing.
	sound bool
}

// relay writes complete events to the caller as they arrive. It drops an event that was cut off, so
// that another attempt can resume after the last complete one.
func (k *call) relay(ctx context.Context, a *attempt, resp *connector.Response) verdict {
	ctl := http.NewResponseController(k.w)
	buf := make([]byte, readBufferSize)
	buffer := k.newEventBuffer()
	defer buffer.release()
	delivered := progress{lastEvent: a.sentAt}
	for {
		n, err := resp.Read(buf)
		events, ids, sizeErr := buffer.add(buf[:n])
		if len(events) > 0 {
			if !k.checkOrder(a.lease, ids) {
				return verdictBroken
			}
			k.writeHeader(resp)
			if _, err := k.w.Write(events); err != nil {
				return k.abortForCaller(err)
			}
			if err := ctl.Flush(); err != nil {
				return k.abortForCaller(err)
			}
			k.recordEvents(a, &delivered)
		}
		if err == nil {
			err = sizeErr
		}
		switch {
		case errors.Is(err, io.EOF) && buffer.pending() == 0 && k.isWhole(resp, delivered.begun):
			k.writeHeader(resp)
			k.recordCompletion(a, delivered.longestGap)
			return verdictAnswered
		case err != nil:
			k.received.eventBytes = buffer.pending()
			k.recordBreak(ctx, a.lease, err)
			return verdictBroken
		}
	}
}

// isWhole reports whether a response that has ended is complete. begun is set if it had events. A response that resumes
// a stream after its last event has none: only its framing tells it from a broken connection, and only the signature
// from a host that answered nothing.
func (k *call) isWhole(resp *connector.Response, begun bool) bool {
	return begun || k.lastEventID.text != "" && resp.BodyDelimited() && resp.Header.Get(k.Headers.Stamp) != ""
}

// recordEvents records that events were written just now: the upstreams of the path are alive, and
// the stream is in time or late. The timing of a stream whose path was changed is ignored, as it
// says nothing about load.
func (k *call) recordEvents(a *attempt, delivered *progress) {
	now := k.Now()
	k.lastDelivery = now
	a.lastEvent.Store(int64(now))
	k.lastContact.Store(int64(now))
	k.Detector.RecordEvent(now)
	repathed := a.repaths.Load() > 0
	if !delivered.begun {
		k.firstEventLatency = now - k.arrivedAt
		k.Meter.FirstToken.Observe(k.firstEventLatency.Seconds())
		if !repathed {
			k.Balancer.RecordFirstEventDelay(a.lease, now, now-a.sentAt)
			k.Balancer.RecordFirstEvent(now, a.lease, now-a.sentAt)
		}
		if !repathed && k.route.TargetLatency > 0 && now-a.sentAt > k.route.TargetLatency {
			k.sampleLatency(now, a, true)
		}
		if !repathed && k.route.TargetLatency > 0 && now-a.sentAt > k.route.TargetLatency/slowDivisor {
			k.Balancer.RecordSlowEvent(now, a.lease)
		}
		k.Balancer.RecordStart(now, a.lease)
		a.begunAt.Store(int64(now))
		a.begun.Store(true)
		delivered.begun, delivered.lastEvent = true, now
		return
	}
	k.Balancer.RecordProgress(now, a.lease)
	if !delivered.sound && now-time.Duration(a.begunAt.Load()) >= soundAfter {
		delivered.sound = true
		k.Isolator.RecordAnswer(now, k.parts)
	}
	pause := now - delivered.lastEvent
	delivered.longestGap, delivered.lastEvent = max(delivered.longestGap, pause), now
	if !repathed && k.route.MaxGap > 0 && pause > k.route.MaxGap {
		k.sampleLatency(now, a, true)
	}
	if !repathed && k.route.MaxGap > 0 && pause > k.route.MaxGap/slowDivisor {
		k.Balancer.RecordSlowEvent(now, a.lease)
	}
}

// recordCompletion records a stream that was delivered completely.
func (k *call) recordCompletion(a *attempt, gap time.Duration) {
	now := k.Now()
	k.Balancer.RecordSuccess(now, a.lease.First.ID, nil)
	k.recordSuccess()
	k.sampleLatency(now, a, false)
	k.Meter.TokenGap.Observe(gap.Seconds())
	k.Log.Debug().Str("requestId", k.id).Str("route", k.route.Name).Dur("first", k.firstEventLatency).Dur("longestGap", gap).
		Dur("whole", now-k.arrivedAt).Int("runs", k.runs).Int32("moves", a.repaths.Load()).Str("hops", FormatPath(k.Balancer.Path(a.lease))).
		Msg("forwarder: stream answered")
}

// checkOrder reports whether each id follows the one before it, the first one lastEventID. It advances
// lastEventID only where all do, as otherwise none of the events is delivered.
func (k *call) checkOrder(l *balancer.Lease, ids []eventID) bool {
	last := k.lastEventID
	for _, id := range ids {
		if !id.follows(last) {
			k.Balancer.RecordFailure(l.First.ID)
			k.logAttempt(l, "event "+id.text+" does not follow event "+last.text, nil)
			return false
		}
		last = id
	}
	k.lastEventID = last
	return true
}

// writeHeader writes the status and the headers of the first attempt that delivers an event; later
// calls do nothing.
func (k *call) writeHeader(resp *connector.Response) {
	if k.headerSent {
		return
	}
	k.headerSent = true
	k.Headers.incoming(k.w.Header(), resp.Header)
	k.w.WriteHeader(resp.StatusCode)
}

// abortForCaller ends a request whose caller can't be written to. It aborts the handler when the
// response has begun. err is why the write failed.
func (k *call) abortForCaller(err error) verdict {
	k.Log.Info().Err(err).Str("requestId", k.id).Str("lastEvent", k.lastEventID.text).Bool("callerLeft", k.r.Context().Err() != nil).Dur("left", k.deadline-k.Now()).
		Msg("forwarder: caller can't be written to")
	if !k.headerSent {
		return verdictAnswered
	}
	panic(http.ErrAbortHandler)
}

// recordBreak records an interrupted stream as a failure of the upstream, unless the caller
// disconnected or the attempt was canceled.
func (k *call) recordBreak(ctx context.Context, l *balancer.Lease, err error) {
	if k.r.Context().Err() != nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if !errors.Is(err, errUpstreamSilent) && ctx.Err() == nil {
		k.Balancer.RecordFailure(l.First.ID)
	}
	k.logAttempt(l, "stream broke off after event "+k.lastEventID.text, err)
}
