package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/deduplicator"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/streamer"
	"github.com/sardineward/sardineward/tracker"
)

// serviceAttempts bounds the instances that one call is sent to.
const serviceAttempts = 3

// keyHeader is the request header with the idempotency key.
const keyHeader = "Idempotency-Key"

// service handles a call of a plain service, which is an HTTP service that runs no model.
func (s *Server) service(k *call) error {
	svc := k.index.services[k.serviceName]
	if svc == nil {
		return refusal(admitter.ReasonUnknown, "no service "+k.serviceName)
	}
	if !slices.Contains(k.workspace.Services, svc.Name) {
		return refusal(admitter.ReasonForbidden, "workspace may not call service "+svc.Name)
	}
	decl, ok := findCall(svc, k.r.Method, k.path)
	if !ok {
		return refusal(admitter.ReasonUnknown, "service "+svc.Name+" declares no "+k.r.Method+" "+k.path)
	}
	p := &serviceCall{call: k, svc: svc, decl: decl}
	p.fingerprint = xxhash.Sum64String(strings.Join([]string{k.workspace.Name, svc.Name, k.r.Method, k.path, k.r.Header.Get(keyHeader), string(k.body)}, "\x00"))
	if decl.Idempotent {
		return p.runIdempotent()
	}
	return p.runOnce()
}

// findCall returns the declaration of a call. GET and HEAD are idempotent unless declared
// otherwise; any other undeclared call is unknown.
func findCall(svc *builder.Service, method, path string) (builder.Call, bool) {
	for _, c := range svc.Calls {
		if string(c.Method) != method {
			continue
		}
		prefix, isPrefix := strings.CutSuffix(c.Path, "*")
		if c.Path == path || isPrefix && strings.HasPrefix(path, prefix) {
			return c, true
		}
	}
	idempotentMethod := method == http.MethodGet || method == http.MethodHead
	return builder.Call{Method: builder.CallMethod(method), Path: path, Idempotent: true}, idempotentMethod
}

// serviceCall is the state of one call of a plain service.
type serviceCall struct {
	*call
	svc  *builder.Service
	decl builder.Call
	// fingerprint is the hash of the request, equal for repeats of it.
	fingerprint uint64
	// avoid holds the instances on which an attempt failed, attempts the number of attempts so far.
	avoid    []string
	attempts int
}

// group returns the name of the admission queue of the call's service.
func (p *serviceCall) group() string { return "service/" + p.svc.Name }

// acquire waits for an instance. The attempt ID differs for each attempt, so that the end of one
// attempt doesn't release another.
func (p *serviceCall) acquire(ctx context.Context) (instance, attemptID string, err error) {
	p.attempts++
	attemptID = p.id + "/" + strconv.Itoa(p.attempts)
	tk := admitter.Ticket{Workspace: p.workspace.Name, Group: p.group(), Priority: p.workspace.Priority, Cost: 1, Deadline: p.deadline}
	req := tracker.Request{ID: attemptID, Fingerprint: p.fingerprint, Avoid: p.avoid}
	route, refused := p.Router.Admitter.Acquire(ctx, time.Now(), tk, func() (picker.Route, bool) {
		name := p.Router.Tracker.AcquireInstance(time.Now(), p.svc.Upstreams, req)
		return picker.Route{{Upstream: name}}, name != ""
	})
	if refused != nil {
		return "", "", refused
	}
	return route[0].Upstream, attemptID, nil
}

func (p *serviceCall) release(instance, attemptID string, cause streamer.Cause) {
	if cause != streamer.CauseNone {
		p.Router.RecordInstanceFailure(instance, cause)
	}
	p.Router.Tracker.Release(time.Now(), []string{instance}, attemptID)
	p.Router.Admitter.Wake(time.Now(), p.group())
}

func (p *serviceCall) serviceRequest(key string) *ServiceRequest {
	return &ServiceRequest{
		Method:      p.r.Method,
		Path:        p.path,
		Query:       p.r.URL.RawQuery,
		ContentType: p.r.Header.Get("Content-Type"),
		Key:         key,
		RequestID:   p.id,
		Workspace:   p.workspace.Name,
		Body:        p.body,
	}
}

// runIdempotent sends the call, and retries it on another instance when one fails.
func (p *serviceCall) runIdempotent() error {
	if refused := p.Router.Admit(p.workspace.Name, p.fingerprint); refused != nil {
		return refused
	}
	ctx, cancel := context.WithDeadline(p.r.Context(), p.deadline)
	defer cancel()
	for {
		instance, attemptID, err := p.acquire(ctx)
		if err != nil {
			return err
		}
		resp, err := p.send(ctx, instance, "")
		cause := causeOf(ctx, err)
		p.release(instance, attemptID, cause)
		if err == nil {
			p.Router.Budget.Earn()
			return p.answer(resp)
		}
		if err := p.checkRetry(ctx, instance, cause, err); err != nil {
			return err
		}
	}
}

// checkRetry returns the refusal when an idempotent call must not be retried; nil means that it
// may be.
func (p *serviceCall) checkRetry(ctx context.Context, instance string, cause streamer.Cause, err error) error {
	switch {
	case p.r.Context().Err() != nil:
		return &admitter.Refusal{Reason: admitter.ReasonCanceled}
	case ctx.Err() != nil:
		return &admitter.Refusal{Reason: admitter.ReasonDeadline, RetryAfter: p.Router.Admitter.RetryAfter(p.group())}
	case p.attempts >= serviceAttempts:
		return &admitter.Refusal{Reason: admitter.ReasonUpstream, RetryAfter: time.Second, NotRun: true, Detail: err.Error()}
	case cause != streamer.CauseConnect && cause != streamer.CauseLeaving && !p.Router.Budget.Spend():
		return &admitter.Refusal{Reason: admitter.ReasonRetryBudget, RetryAfter: time.Second, Detail: err.Error()}
	}
	p.Meter.Retries.WithLabelValues(cause.String()).Inc()
	p.avoid = append(p.avoid, instance)
	return nil
}

// runOnce runs a call that may not be repeated.
func (p *serviceCall) runOnce() error {
	key, err := p.idempotencyKey()
	if err != nil {
		return err
	}
	if refused := p.Router.Admit(p.workspace.Name, p.fingerprint); refused != nil {
		return refused
	}
	// The context outlives the caller: a call that was sent is awaited, so that its outcome can
	// be recorded for a repeat.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(p.r.Context()), p.deadline)
	defer cancel()
	if key == "" {
		out, sent, known := p.dispatch(ctx, "")
		return p.answerUnkeyed(out, sent, known)
	}
	c := deduplicator.Call{RequestID: p.id, Key: p.keyHash(key), Digest: p.digest()}
	out, _, err := p.Deduplicator.Do(ctx, c, func(ctx context.Context) (deduplicator.Outcome, bool, bool) {
		return p.dispatch(ctx, key)
	})
	if err != nil {
		return outcomeRefusal(err)
	}
	return p.answer(&ServiceResponse{Status: out.Status, ContentType: out.ContentType, Body: out.Body})
}

// idempotencyKey returns the key from the header or the body. It is empty only for a single-shot
// call.
func (p *serviceCall) idempotencyKey() (string, error) {
	if key := p.r.Header.Get(keyHeader); key != "" {
		return key, nil
	}
	if p.decl.KeyPointer != "" {
		if key, ok := lookUpPointer(p.body, p.decl.KeyPointer); ok {
			return key, nil
		}
	}
	if p.decl.SingleShot {
		return "", nil
	}
	detail := "want header " + keyHeader
	if p.decl.KeyPointer != "" {
		detail += " or " + p.decl.KeyPointer + " in the body"
	}
	return "", refusal(admitter.ReasonNoKey, detail)
}

func (p *serviceCall) keyHash(key string) string {
	return hashAll(p.workspace.Name, p.svc.Name, p.r.Method, p.decl.Path, key)
}

func (p *serviceCall) digest() string {
	return hashAll(p.r.Method, p.path, p.r.URL.RawQuery, string(p.body))
}

func hashAll(parts ...string) string {
	h := sha256.New()
	for _, s := range parts {
		h.Write([]byte(strconv.Itoa(len(s)) + ":" + s))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

// dispatch sends a call that may not be repeated. It tries another instance only while none can
// have started the call: no connection was obtained, or the instance declined. sent reports whether
// an instance may have started the call, known whether out is its outcome.
func (p *serviceCall) dispatch(ctx context.Context, key string) (out deduplicator.Outcome, sent, known bool) {
	for p.attempts < serviceAttempts {
		instance, attemptID, err := p.acquire(ctx)
		if err != nil {
			return out, false, false
		}
		resp, err := p.send(ctx, instance, key)
		cause := causeOf(ctx, err)
		p.release(instance, attemptID, cause)
		if err == nil {
			return deduplicator.Outcome{Status: resp.Status, ContentType: resp.ContentType, Body: resp.Body}, true, true
		}
		if !errors.Is(err, streamer.ErrNotSent) {
			return out, true, false
		}
		p.Meter.Retries.WithLabelValues(cause.String()).Inc()
		p.avoid = append(p.avoid, instance)
	}
	return out, false, false
}

func (p *serviceCall) send(ctx context.Context, instance, key string) (*ServiceResponse, error) {
	u, ok := p.Router.Tracker.Upstream(instance)
	if !ok {
		return nil, streamer.ErrNotSent
	}
	resp, err := p.Services.Call(ctx, u.Address, p.serviceRequest(key), !p.decl.Idempotent)
	p.started = p.started || !errors.Is(err, streamer.ErrNotSent)
	return resp, err
}

func (p *serviceCall) answerUnkeyed(out deduplicator.Outcome, sent, known bool) error {
	switch {
	case !sent:
		return &admitter.Refusal{Reason: admitter.ReasonNoRoute, NotRun: true, RetryAfter: time.Second}
	case !known:
		return outcomeRefusal(deduplicator.ErrOutcomeUnknown)
	}
	return p.answer(&ServiceResponse{Status: out.Status, ContentType: out.ContentType, Body: out.Body})
}

func outcomeRefusal(err error) *admitter.Refusal {
	switch {
	case errors.Is(err, deduplicator.ErrRunning):
		return &admitter.Refusal{Reason: admitter.ReasonRunning, RetryAfter: time.Second, Detail: "an earlier call with this key is running"}
	case errors.Is(err, deduplicator.ErrOutcomeUnknown):
		return &admitter.Refusal{Reason: admitter.ReasonOutcomeUnknown, Detail: "the call was sent and its outcome is not known; it is never sent again"}
	case errors.Is(err, deduplicator.ErrKeyReused):
		return &admitter.Refusal{Reason: admitter.ReasonKeyReused, NotRun: true, Detail: "the key came before with another request"}
	case errors.Is(err, deduplicator.ErrNotDispatched):
		return &admitter.Refusal{Reason: admitter.ReasonNoRoute, NotRun: true, RetryAfter: time.Second, Detail: "no instance could take it"}
	default:
		return &admitter.Refusal{
			Reason: admitter.ReasonPlatform, NotRun: true, RetryAfter: time.Second,
			Detail: "this request was not run; whether an earlier one with its key was can't be told now",
		}
	}
}

func causeOf(ctx context.Context, err error) streamer.Cause {
	var declined *DeclinedError
	switch {
	case err == nil:
		return streamer.CauseNone
	case errors.As(err, &declined):
		return streamer.CauseLeaving
	case errors.Is(err, streamer.ErrNotSent):
		return streamer.CauseConnect
	case ctx.Err() != nil:
		return streamer.CauseDeadline
	default:
		return streamer.CauseBroken
	}
}

func (p *serviceCall) answer(resp *ServiceResponse) error {
	p.Meter.Requests.WithLabelValues(p.workspace.Name, "service").Inc()
	p.setWriteDeadline()
	if resp.ContentType != "" {
		p.w.Header().Set("Content-Type", resp.ContentType)
	}
	p.w.WriteHeader(resp.Status)
	p.headWritten = true
	if _, err := p.w.Write(resp.Body); err != nil {
		p.Log.Info().Str("requestId", p.id).Err(err).Msg("server: writing the end of an answer failed")
	}
	return nil
}

// lookUpPointer returns the string or number at a JSON pointer.
func lookUpPointer(body []byte, pointer string) (string, bool) {
	var value any
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	if dec.Decode(&value) != nil {
		return "", false
	}
	for _, token := range strings.Split(pointer, "/")[1:] {
		token = strings.NewReplacer("~1", "/", "~0", "~").Replace(token)
		switch v := value.(type) {
		case map[string]any:
			value = v[token]
		case []any:
			i, err := strconv.Atoi(token)
			if err != nil || i < 0 || i >= len(v) {
				return "", false
			}
			value = v[i]
		default:
			return "", false
		}
	}
	switch v := value.(type) {
	case string:
		return v, v != ""
	case json.Number:
		return v.String(), true
	default:
		return "", false
	}
}
