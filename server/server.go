// Package server answers callers over HTTP.
//
// It authenticates, reads and validates requests, and hands them to streamer (generations) or to
// the instances of a plain service, which is an HTTP service that runs no model. A call that may not
// be repeated goes through deduplicator. All refusals are sent by one function.
package server

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/deduplicator"
	"github.com/sardineward/sardineward/loader"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/router"
	"github.com/sardineward/sardineward/streamer"
)

// Server answers callers. The exported fields are set before Handler.
type Server struct {
	// Host is this host's name; request IDs begin with it.
	Host         string
	Limits       *loader.Limits
	Router       *router.Router
	Streamer     *streamer.Streamer
	Deduplicator *deduplicator.Deduplicator
	Services     ServiceClient
	Meter        *meter.Meter
	Checker      *checker.Checker
	Log          zerolog.Logger

	index        atomic.Pointer[configIndex]
	stopping     atomic.Bool
	requestSeq   atomic.Int64
	openRequests sync.WaitGroup
	inFlight     atomic.Int64
}

// configIndex is a configuration indexed for request handling: workspaces by key hash, services
// by name and models by pipeline.
type configIndex struct {
	keys     map[string]*builder.Workspace
	services map[string]*builder.Service
	models   map[string]builder.Model
}

// Configure puts a configuration in force for new requests.
func (s *Server) Configure(cfg *builder.Configuration) {
	c := &configIndex{
		keys:     make(map[string]*builder.Workspace),
		services: make(map[string]*builder.Service),
		models:   make(map[string]builder.Model),
	}
	for i := range cfg.Workspaces {
		for _, h := range cfg.Workspaces[i].KeyHashes {
			c.keys[h] = &cfg.Workspaces[i]
		}
	}
	for i := range cfg.Services {
		c.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	models := make(map[string]builder.Model)
	for _, m := range cfg.Models {
		models[m.Name] = m
	}
	for _, p := range cfg.Pipelines {
		c.models[p.Name] = models[p.Model]
	}
	s.index.Store(c)
}

// Stop makes the server refuse new requests. Requests that already run go on.
func (s *Server) Stop() { s.stopping.Store(true) }

// Wait blocks until every request is answered or ctx ends. It returns the number of requests that
// are still open.
func (s *Server) Wait(ctx context.Context) int64 {
	done := make(chan struct{})
	go func() {
		s.openRequests.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return s.inFlight.Load()
}

// InFlight returns the number of requests being answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleUnrouted
	e.POST("/v1/completions", s.handle(s.completions))
	e.POST("/v1/chat/completions", s.handle(s.chat))
	e.Any("/services/:service/*", s.handle(s.service))
	return e
}

// call is the state of one request.
type call struct {
	*Server
	w         http.ResponseWriter
	r         *http.Request
	ctl       *http.ResponseController
	id        string
	workspace *builder.Workspace
	index     *configIndex
	deadline  time.Time
	body      []byte
	execution *checker.ExecutionTracker
	// started is set once an upstream may have started the request.
	started bool
	// serviceName and path are those of a plain service; path is the part after the service's
	// name.
	serviceName, path string
	// headWritten is set once the status line is written.
	headWritten bool
}

// handle wraps f with the steps that all requests share: counting, authentication, reading and
// refusals.
func (s *Server) handle(f func(*call) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.openRequests.Add(1)
		s.inFlight.Add(1)
		defer s.openRequests.Done()
		defer s.inFlight.Add(-1)
		ctx, execution := checker.WithExecutionTracker(c.Request().Context())
		k := &call{
			Server:      s,
			w:           c.Response().Writer,
			r:           c.Request().WithContext(ctx),
			ctl:         http.NewResponseController(c.Response().Writer),
			id:          s.requestID(),
			execution:   execution,
			serviceName: c.Param("service"),
			path:        "/" + c.Param("*"),
		}
		k.w.Header().Set("X-Request-Id", k.id)
		if err := k.run(f); err != nil {
			k.refuse(err)
		}
		return nil
	}
}

// requestID returns an ID that is unique among hosts, since it holds the host's name and
// incarnation.
func (s *Server) requestID() string {
	n := s.requestSeq.Add(1)
	return s.Host + "-" + strconv.FormatInt(s.Deduplicator.Incarnation, 36) + "-" + strconv.FormatInt(n, 36)
}

func (k *call) run(f func(*call) error) error {
	if k.stopping.Load() {
		return &admitter.Refusal{Reason: admitter.ReasonStopping, NotRun: true, RetryAfter: time.Second}
	}
	if k.index = k.Server.index.Load(); k.index == nil {
		return &admitter.Refusal{Reason: admitter.ReasonNotReady, NotRun: true, RetryAfter: time.Second}
	}
	if err := k.authenticate(); err != nil {
		return err
	}
	if err := k.readDeadline(); err != nil {
		return err
	}
	if err := k.readBody(); err != nil {
		return err
	}
	return f(k)
}

func (k *call) authenticate() error {
	key, ok := strings.CutPrefix(k.r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return refusal(admitter.ReasonUnauthorised, "want Authorization: Bearer KEY")
	}
	if k.workspace = k.index.keys[builder.HashKey(key)]; k.workspace == nil {
		return refusal(admitter.ReasonUnauthorised, "unknown key")
	}
	return nil
}

// readDeadline sets the deadline from the Deadline-Ms header: how long the caller waits for the
// whole answer, in milliseconds.
func (k *call) readDeadline() error {
	ms := k.Limits.DeadlineMs
	if h := k.r.Header.Get("Deadline-Ms"); h != "" {
		n, err := strconv.Atoi(h)
		if err != nil || n < 1 {
			return refusal(admitter.ReasonMalformed, "Deadline-Ms wants a whole number above 0")
		}
		ms = n
	}
	k.deadline = time.Now().Add(time.Duration(ms) * time.Millisecond)
	return nil
}

func (k *call) readBody() error {
	k.ctl.SetReadDeadline(time.Now().Add(time.Duration(k.Limits.BodyMs) * time.Millisecond))
	body, err := io.ReadAll(http.MaxBytesReader(k.w, k.r.Body, int64(k.Limits.BodyBytes)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(admitter.ReasonTooLarge, "body is over "+strconv.Itoa(k.Limits.BodyBytes)+" bytes")
	}
	if err != nil {
		return refusal(admitter.ReasonMalformed, "body can't be read: "+err.Error())
	}
	k.ctl.SetReadDeadline(time.Time{})
	k.body = body
	return nil
}

func refusal(reason admitter.Reason, detail string) *admitter.Refusal {
	return &admitter.Refusal{Reason: reason, NotRun: true, Detail: detail}
}

// ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request was not answered.
type ErrorDetail struct {
	// Code is the HTTP status that fits the refusal, also when another status line was already
	// sent.
	Code int `json:"code"`
	// Reason is the value of the reason label of the refusals counter.
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// NotRun is true only when no upstream started the request.
	NotRun    bool   `json:"notRun"`
	RequestID string `json:"requestId"`
	// RetryAfter is in seconds; 0 means that a retry won't help.
	RetryAfter int64 `json:"retryAfter,omitempty"`
}

// refuse sends the refusal of a request, as an event when the stream has begun.
func (k *call) refuse(err error) {
	out := k.Router.Refuse(k.id, err, k.started, k.execution)
	body := ErrorBody{ErrorDetail{
		Code:       statusOf(out.Reason),
		Reason:     out.Reason.String(),
		Message:    out.Error(),
		NotRun:     out.NotRun,
		RequestID:  k.id,
		RetryAfter: seconds(out.RetryAfter),
	}}
	k.Log.Info().Str("requestId", k.id).Str("reason", body.Error.Reason).Bool("notRun", out.NotRun).
		Str("detail", out.Detail).Msg("server: request refused")
	if k.headWritten {
		k.writeStreamError(body)
		return
	}
	k.w.Header().Set("Content-Type", "application/json")
	if body.Error.RetryAfter > 0 {
		k.w.Header().Set("Retry-After", strconv.FormatInt(body.Error.RetryAfter, 10))
	}
	k.setWriteDeadline()
	k.w.WriteHeader(body.Error.Code)
	json.NewEncoder(k.w).Encode(body)
}

func (k *call) setWriteDeadline() {
	k.ctl.SetWriteDeadline(time.Now().Add(time.Duration(k.Limits.WriteMs) * time.Millisecond))
}

func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// statusCanceled is the status in logs for a caller that disconnected. Nobody receives it.
const statusCanceled = 499

func statusOf(r admitter.Reason) int {
	switch r {
	case admitter.ReasonUnauthorised:
		return http.StatusUnauthorized
	case admitter.ReasonForbidden:
		return http.StatusForbidden
	case admitter.ReasonMalformed, admitter.ReasonNoKey:
		return http.StatusBadRequest
	case admitter.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case admitter.ReasonUnknown:
		return http.StatusNotFound
	case admitter.ReasonRateLimit:
		return http.StatusTooManyRequests
	case admitter.ReasonKeyReused, admitter.ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case admitter.ReasonRunning, admitter.ReasonOutcomeUnknown:
		return http.StatusConflict
	case admitter.ReasonUpstream, admitter.ReasonRetryBudget:
		return http.StatusBadGateway
	case admitter.ReasonDeadline:
		return http.StatusGatewayTimeout
	case admitter.ReasonCanceled:
		return statusCanceled
	default:
		return http.StatusServiceUnavailable
	}
}

// handleUnrouted refuses requests that match no route.
func (s *Server) handleUnrouted(err error, c echo.Context) {
	k := &call{Server: s, w: c.Response().Writer, r: c.Request(), ctl: http.NewResponseController(c.Response().Writer), id: s.requestID(), execution: new(checker.ExecutionTracker)}
	k.refuse(refusal(admitter.ReasonUnknown, err.Error()))
}
