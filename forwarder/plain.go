package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
)

//go:generate enumer -type verdict -trimprefix verdict -transform title-lower -output verdict_gen.go

// verdict is what an attempt that gave no answer to pass on tells.
type verdict int

const (
	// verdictAnswered: there is an answer to pass on.
	verdictAnswered verdict = iota
	// verdictNotRun: the upstream did not run it, and never will.
	verdictNotRun
	// verdictMayHaveRun: it may have run, or may run yet.
	verdictMayHaveRun
	// verdictFailed: it ran and failed; a repeatable request may do better
	// elsewhere.
	verdictFailed
	// verdictBroken: a stream broke off.
	verdictBroken
)

// maxAnswer bounds answers that are held whole before they are passed on.
const maxAnswer = 16 << 20

// answer is an upstream's whole answer.
type answer struct {
	*http.Response
	body []byte
}

// plain answers a request whose answer is one body.
func (k *call) plain(ctx context.Context) {
	for {
		l := k.acquire(balancer.Need{})
		if l == nil {
			return
		}
		a, v := k.exchange(ctx, l)
		k.Balancer.Release(l)
		if v == verdictAnswered {
			k.pass(a)
			return
		}
		if v == verdictFailed && (!k.route.Repeatable() || k.runs+1 >= k.route.MaxAttempts || !k.Budget(k.service.Name).Spend(k.Now())) {
			k.pass(a)
			return
		}
		k.avoid = append(k.avoid, l.First.ID)
		if v == verdictFailed {
			k.runs++
			k.Meter.Retries.WithLabelValues(v.String()).Inc()
			continue
		}
		if !k.again(ctx, v) {
			return
		}
	}
}

// exchange sends the request to one upstream and reads its whole answer.
func (k *call) exchange(ctx context.Context, l *balancer.Lease) (*answer, verdict) {
	id := l.First.ID
	sent := k.Now()
	resp, err := k.Pool.Do(ctx, k.request(l))
	if err != nil {
		return nil, k.unanswered(ctx, l, err)
	}
	k.offered = true
	k.heardLimit(l, resp.Response, sent)
	body, err := io.ReadAll(io.LimitReader(resp, maxAnswer))
	whole := resp.Done()
	if err != nil || !whole {
		k.Balancer.Failed(id)
		k.logAttempt(l, "answer broke off", err)
		return nil, verdictMayHaveRun
	}
	return k.judge(l, &answer{resp.Response, body}, sent)
}

// unanswered says what a request that got no answer tells.
func (k *call) unanswered(ctx context.Context, l *balancer.Lease, err error) verdict {
	var e *connector.Error
	if !errors.As(err, &e) {
		e = &connector.Error{Sent: true}
	}
	if e.Sent {
		k.offered = true
	}
	if ctx.Err() == nil {
		if e.Dial {
			if k.Balancer.SetDead(k.Now(), l.First.ID, true) {
				k.Log.Warn().Str("requestId", k.id).Str("upstream", l.First.ID).Str("address", l.First.Address).Err(err).Msg("forwarder: upstream out")
			}
		} else {
			k.Balancer.Failed(l.First.ID)
		}
		k.logAttempt(l, "no answer", err)
		if e.Sent {
			k.checkCrash(ctx, l.First)
		}
	}
	if e.Sent {
		return verdictMayHaveRun
	}
	return verdictNotRun
}

// judge says what a whole answer tells.
func (k *call) judge(l *balancer.Lease, a *answer, sent time.Duration) (*answer, verdict) {
	id := l.First.ID
	if v, ok := k.refusedBy(l, a.Response, sent); ok {
		return nil, v
	}
	success := a.StatusCode/100 == 2
	if success && (a.Header.Get(k.Headers.Stamp) == "" || a.Header.Get("Content-Encoding") != "") {
		// An answer without its signature is not the upstream's own.
		k.Balancer.Failed(id)
		k.logAttempt(l, "answer without signature", nil)
		return nil, verdictMayHaveRun
	}
	if a.StatusCode >= http.StatusInternalServerError {
		k.Balancer.Served(k.Now(), id, parseLoad(a.Header.Get(k.Headers.Load)))
		k.logAttempt(l, "upstream failed with status "+strconv.Itoa(a.StatusCode), nil)
		return a, verdictFailed
	}
	k.Balancer.Served(k.Now(), id, parseLoad(a.Header.Get(k.Headers.Load)))
	return a, verdictAnswered
}

// stalled is how long an upstream takes at the least to find that another one
// on the path is dead; one that has no room is known at once.
const stalled = time.Second

// refusedBy reports whether an upstream turned the request away, and learns who
// is at fault.
func (k *call) refusedBy(l *balancer.Lease, resp *http.Response, sent time.Duration) (verdict, bool) {
	misdirected := resp.StatusCode == http.StatusMisdirectedRequest
	if !misdirected && resp.Header.Get(k.Headers.NotRun) == "" {
		return verdictAnswered, false
	}
	id, at := l.First.ID, resp.Header.Get(k.Headers.Fault)
	if at != "" {
		// Two upstreams may be listed at one address: the hop's is meant.
		for _, h := range k.Balancer.Path(l) {
			if h.Address == at {
				id = h.ID
			}
		}
	}
	k.avoid = append(k.avoid, id)
	if misdirected || (at != "" && k.Now()-sent > stalled) {
		k.Balancer.Out(k.Now(), id)
	} else if at != "" {
		k.Balancer.Turned(k.Now(), id)
	} else if load := parseLoad(resp.Header.Get(k.Headers.Load)); load != nil {
		k.Balancer.Served(k.Now(), id, load)
	}
	k.logAttempt(l, "turned away with status "+strconv.Itoa(resp.StatusCode)+" by "+id, nil)
	return verdictNotRun, true
}

func (k *call) logAttempt(l *balancer.Lease, what string, err error) {
	k.Log.Info().Str("requestId", k.id).Str("upstream", l.First.ID).Str("hops", FormatPath(k.Balancer.Path(l))).Err(err).
		Dur("left", k.deadline-k.Now()).Msg("forwarder: " + what)
}

// pass gives the caller an upstream's answer unchanged.
func (k *call) pass(a *answer) {
	k.answered = true
	k.Headers.incoming(k.w.Header(), a.Header)
	k.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	k.w.WriteHeader(a.StatusCode)
	_, _ = k.w.Write(a.body)
	k.served()
}

func (k *call) served() {
	name := ""
	if k.workspace != nil {
		name = k.workspace.Name
	}
	k.Meter.Requests.WithLabelValues(name, k.route.Kind.String()).Inc()
	k.cleared()
}
