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

// slowPart is the part of the time that callers allow, as a divisor, from which an
// event counts as slow: twice the usual, and early enough to go elsewhere.
const slowPart = 2

// progress is how far a run has come.
type progress struct {
	begun bool
	// last is when its last event was passed on, gap the longest pause between
	// two.
	last, gap time.Duration
}

// relay passes whole events on as they come. An event that broke off in the
// middle is left out, so that another run can go on after the last whole one.
func (k *call) relay(ctx context.Context, a *attempt, resp *connector.Response) verdict {
	ctl := http.NewResponseController(k.w)
	buf := make([]byte, readSize)
	var pending []byte
	at := progress{last: a.began}
	for {
		n, err := resp.Read(buf)
		pending = append(pending, buf[:n]...)
		events, rest, ids := cutEvents(pending)
		if len(events) > 0 {
			if !k.inOrder(a.lease, ids) {
				return verdictBroken
			}
			k.head(resp)
			if _, err := k.w.Write(events); err != nil {
				return k.callerGone()
			}
			if err := ctl.Flush(); err != nil {
				return k.callerGone()
			}
			k.passedOn(a, &at)
		}
		pending = append(pending[:0], rest...)
		switch {
		case errors.Is(err, io.EOF) && len(pending) == 0 && at.begun:
			k.streamed(a, at.gap)
			return verdictAnswered
		case err != nil:
			k.brokeOff(ctx, a.lease, err)
			return verdictBroken
		}
	}
}

// passedOn notes events that were passed on just now: the upstreams of the path
// live, and the stream is in time or late. A stream whose path was changed tells
// nothing of load.
func (k *call) passedOn(a *attempt, at *progress) {
	now := k.Now()
	a.last.Store(int64(now))
	k.heard.Store(int64(now))
	moved := a.moves.Load() > 0
	if !at.begun {
		k.firstAfter = now - k.arrived
		k.Meter.FirstToken.Observe(k.firstAfter.Seconds())
		if !moved {
			k.Balancer.First(a.lease, now, now-a.began)
		}
		if !moved && k.route.Target > 0 && now-a.began > k.route.Target {
			k.sample(now, true)
		}
		if !moved && k.route.Target > 0 && now-a.began > k.route.Target/slowPart {
			k.Balancer.Slow(now, a.lease)
		}
		k.Balancer.Begun(now, a.lease)
		a.begun.Store(true)
		at.begun, at.last = true, now
		return
	}
	k.Balancer.Progress(now, a.lease)
	pause := now - at.last
	at.gap, at.last = max(at.gap, pause), now
	if !moved && k.route.Gap > 0 && pause > k.route.Gap {
		k.sample(now, true)
	}
	if !moved && k.route.Gap > 0 && pause > k.route.Gap/slowPart {
		k.Balancer.Slow(now, a.lease)
	}
}

// streamed notes a stream that was passed on whole.
func (k *call) streamed(a *attempt, gap time.Duration) {
	now := k.Now()
	k.Balancer.Served(now, a.lease.First.ID, nil)
	k.served()
	k.sample(now, false)
	k.Meter.Gap.Observe(gap.Seconds())
	k.Log.Debug().Str("requestId", k.id).Str("route", k.route.Name).Dur("first", k.firstAfter).Dur("longestGap", gap).
		Dur("whole", now-k.arrived).Int("runs", k.runs).Int32("moves", a.moves.Load()).Str("hops", FormatPath(k.Balancer.Path(a.lease))).
		Msg("forwarder: stream answered")
}

// inOrder notes the ids of events to be passed on, and reports whether each
// follows the one before.
func (k *call) inOrder(l *balancer.Lease, ids []eventID) bool {
	for _, id := range ids {
		if !id.follows(k.last) {
			k.Balancer.Failed(l.First.ID)
			k.logAttempt(l, "event "+id.text+" after "+k.last.text, nil)
			return false
		}
		k.last = id
	}
	return true
}

// head passes on the headers of the first run.
func (k *call) head(resp *connector.Response) {
	if k.answered {
		return
	}
	k.answered = true
	k.Headers.incoming(k.w.Header(), resp.Header)
	k.w.WriteHeader(resp.StatusCode)
}

func (k *call) callerGone() verdict {
	if !k.answered {
		return verdictAnswered
	}
	panic(http.ErrAbortHandler)
}

func (k *call) brokeOff(ctx context.Context, l *balancer.Lease, err error) {
	if k.r.Context().Err() != nil {
		return
	}
	if cause := context.Cause(ctx); cause != nil {
		err = cause
	}
	if !errors.Is(err, errMoved) && ctx.Err() == nil {
		k.Balancer.Failed(l.First.ID)
	}
	k.logAttempt(l, "stream broke off after event "+k.last.text, err)
}
