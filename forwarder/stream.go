package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

// errMoved ends an attempt over an upstream that went silent.
var errMoved = errors.New("forwarder: an upstream of the path is silent")

const (
	// resumptions bounds how often one stream may be moved.
	resumptions = 4
	readSize    = 4 << 10
	// resumeWait is how long a stream that broke off waits for a path: callers
	// give a silent stream up after two seconds. resumePause is the time between
	// two tries.
	resumeWait  = 1500 * time.Millisecond
	resumePause = 50 * time.Millisecond
)

// attempt is one run of a stream over a path.
type attempt struct {
	// id and fingerprint are the request's.
	id          string
	fingerprint uint64
	lease       *balancer.Lease
	// begun is set with the first event.
	begun atomic.Bool
	// last is when its last event came, or when it was sent.
	last atomic.Int64
	// moves counts changes of its path.
	moves  atomic.Int32
	moving moves
	// began is when it was sent.
	began  time.Duration
	cancel context.CancelCauseFunc
	// spend takes a retry for going on as a new request; nil where the route
	// allows no run beside this one. paid is set once it was taken.
	spend func() bool
	paid  atomic.Bool
}

// prepay takes the retry that going on as a new request will need, or reports
// that there is none.
func (a *attempt) prepay() bool {
	if !a.begun.Load() || a.spend == nil || !a.spend() {
		return false
	}
	a.paid.Store(true)
	return true
}

// stream answers a request by events as they come.
func (k *call) stream(ctx context.Context) {
	limit := k.Latency(k.service.Name)
	if !limit.Enter() {
		k.refuse(admitter.ReasonQueueFull, "first events come late")
		return
	}
	defer limit.Leave()
	k.last = parseEventID(k.r.Header.Get("Last-Event-Id"))
	moves := 0
	for {
		l := k.acquireOrCut(k.need())
		if l == nil {
			return
		}
		v, paid := k.runStream(ctx, l)
		k.Balancer.Release(l)
		if v == verdictAnswered {
			return
		}
		if !k.answered {
			k.avoidFirst(l, v)
			if !k.again(ctx, v) {
				return
			}
			continue
		}
		moves++
		if ctx.Err() != nil || moves > resumptions || (!paid && !k.spendResume()) {
			k.cut(moves)
		}
		k.Meter.Retries.WithLabelValues(verdictBroken.String()).Inc()
	}
}

// spendResume takes a retry for a stream that has begun.
func (k *call) spendResume() bool {
	return k.route.Resumable && k.Budget(k.service.Name).Spend(k.Now())
}

// avoidFirst keeps a request that got no event off the upstream that took it.
func (k *call) avoidFirst(l *balancer.Lease, v verdict) {
	if v != verdictNotRun {
		k.avoid = append(k.avoid, l.First.ID)
	}
}

// acquireOrCut is acquire, for a stream that may have begun.
func (k *call) acquireOrCut(n balancer.Need) *balancer.Lease {
	if !k.answered {
		return k.acquire(n)
	}
	n.Service = k.service.Name
	n.Begun = true
	n.Firsts = k.firsts()
	for until := k.Now() + resumeWait; ; {
		n.Avoid = k.avoid
		l, _ := k.Balancer.Acquire(k.Now(), n)
		if l == nil {
			n.Avoid = nil
			l, _ = k.Balancer.Acquire(k.Now(), n)
		}
		if l != nil {
			return l
		}
		if k.Now() > until || k.r.Context().Err() != nil {
			k.cut(0)
		}
		time.Sleep(resumePause)
	}
}

// cut closes a stream midway. Its body has no end, so that the caller can't
// take it for whole.
func (k *call) cut(moves int) {
	if k.r.Context().Err() == nil {
		k.Meter.Refusals.WithLabelValues(admitter.ReasonUpstream.String()).Inc()
		k.Log.Warn().Str("requestId", k.id).Str("lastEvent", k.last.text).Int("moves", moves).
			Dur("left", k.deadline-k.Now()).Msg("forwarder: stream cut")
	}
	panic(http.ErrAbortHandler)
}

// firsts are the upstreams that may still run the request: nil for any, else
// those that did and live, once they and the ones that are about to are as many
// as its route allows. One that was lost does not count: it is no reason to
// leave a caller without the rest.
func (k *call) firsts(about ...string) []string {
	var out []string
	for _, id := range slices.Concat(k.ran, about) {
		if !slices.Contains(out, id) && !k.Balancer.Lost(id) {
			out = append(out, id)
		}
	}
	if len(out) < k.route.MaxAttempts {
		return nil
	}
	return out
}

// need is what the request asks for, with what it already got as a part of its
// prompt.
func (k *call) need() balancer.Need {
	prompt, most := parseTokens(k.r.Header.Get(k.Headers.Tokens))
	n := balancer.Need{Prompt: prompt, Answer: most, Target: k.route.Target}
	e := k.service.Engine
	if e == nil {
		return n
	}
	if prompt == 0 {
		n.Prompt = e.Prompt
	}
	likely := parseNumber(k.r.Header.Get(k.Headers.Length))
	if likely == 0 {
		likely = e.Answer
	}
	if most == 0 || likely < most {
		n.Answer = likely
	}
	return n
}

// runStream sends the request over one path and passes its events on. paid tells
// that the retry for going on elsewhere was taken already.
func (k *call) runStream(ctx context.Context, l *balancer.Lease) (v verdict, paid bool) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	a := &attempt{id: k.id, fingerprint: k.fingerprint, lease: l, began: k.Now(), cancel: cancel}
	if k.firsts(l.First.ID) == nil {
		a.spend = k.spendResume
	}
	a.last.Store(int64(a.began))
	k.track(a)
	defer k.untrack(a)
	defer k.watchFirst(a).Stop()
	v = k.sendStream(ctx, a)
	if v != verdictNotRun {
		k.ran = append(k.ran, l.First.ID)
	}
	return v, a.paid.Load()
}

// sendStream is one run over a path.
func (k *call) sendStream(ctx context.Context, a *attempt) verdict {
	l := a.lease
	req := k.request(l)
	if k.last.text != "" {
		req.Header.Set("Last-Event-Id", k.last.text)
	}
	resp, err := k.Pool.Do(ctx, req)
	if err != nil {
		k.inVain(a)
		return k.unanswered(ctx, l, err)
	}
	defer resp.Done()
	k.offered = true
	k.heardLimit(l, resp.Response, a.began)
	if resp.StatusCode != http.StatusOK {
		return k.refusedStream(a, resp)
	}
	if resp.Header.Get(k.Headers.Stamp) == "" || resp.Header.Get("Content-Encoding") != "" {
		k.Balancer.Failed(l.First.ID)
		k.logAttempt(l, "stream without signature", nil)
		return verdictMayHaveRun
	}
	v := k.relay(ctx, a, resp)
	if !a.begun.Load() {
		k.inVain(a)
		if v == verdictBroken && ctx.Err() == nil {
			k.checkCrash(ctx, l.First)
		}
	}
	return v
}

// sample tells the bound on streams whether this one is late; once.
func (k *call) sample(now time.Duration, late bool) {
	if k.sampled.CompareAndSwap(false, true) {
		k.Latency(k.service.Name).Sample(now, late)
	}
}

// watchFirst counts a stream as late once its first event is: where engines are
// overloaded most callers leave before it comes.
func (k *call) watchFirst(a *attempt) *time.Timer {
	target := k.route.Target
	if target <= 0 {
		target = defaultTimeout
	}
	return time.AfterFunc(target, func() {
		if now := k.Now(); !a.begun.Load() && a.moves.Load() == 0 {
			k.sample(now, true)
			k.Balancer.First(a.lease, now, now-a.began)
		}
	})
}

// inVain notes a stream that ended before its first event.
func (k *call) inVain(a *attempt) {
	if now := k.Now(); a.moves.Load() == 0 && now-a.began > k.route.Target {
		k.Balancer.First(a.lease, now, now-a.began)
	}
}

// refusedStream takes an answer that is no stream.
func (k *call) refusedStream(a *attempt, resp *connector.Response) verdict {
	l := a.lease
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer))
	if v, ok := k.refusedBy(l, resp.Response, a.began); ok {
		return v
	}
	k.Balancer.Failed(l.First.ID)
	k.logAttempt(l, "stream failed with status "+strconv.Itoa(resp.StatusCode), err)
	if err != nil || !resp.Whole() {
		return verdictMayHaveRun
	}
	if !k.answered && (resp.StatusCode < http.StatusInternalServerError || !k.route.Resumable || k.runs+1 >= k.route.MaxAttempts) {
		k.pass(&answer{resp.Response, body})
		return verdictAnswered
	}
	return verdictFailed
}
