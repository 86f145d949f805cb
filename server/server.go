// Package server answers callers and operators over HTTP.
//
// It authenticates, reads and checks requests, and hands them to streamer
// (generations) or to the instances of a plain service, through deduplicator
// when a call may not be repeated. Every refusal leaves through one function.
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

// Server answers callers. The fields are set before Handler.
type Server struct {
	Host         string
	Limits       *loader.Limits
	Router       *router.Router
	Streamer     *streamer.Streamer
	Deduplicator *deduplicator.Deduplicator
	Services     Caller
	Meter        *meter.Meter
	Checker      *checker.Checker
	Log          zerolog.Logger

	catalogue atomic.Pointer[catalogue]
	stopping  atomic.Bool
	requests  atomic.Int64
	open      sync.WaitGroup
	inFlight  atomic.Int64
}

// catalogue is a configuration, indexed for requests.
type catalogue struct {
	keys     map[string]*builder.Workspace
	services map[string]*builder.Service
	models   map[string]builder.Model
}

// Configure puts a configuration in force.
func (s *Server) Configure(cfg *builder.Configuration) {
	c := &catalogue{
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
	s.catalogue.Store(c)
}

// Stop makes the server refuse new requests.
func (s *Server) Stop() { s.stopping.Store(true) }

// Wait blocks until every request is answered, or ctx ends; it returns how many
// are left.
func (s *Server) Wait(ctx context.Context) int64 {
	done := make(chan struct{})
	go func() {
		s.open.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return s.inFlight.Load()
}

// InFlight is how many requests are being answered.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Handler returns the callers' side.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.unrouted
	e.POST("/v1/completions", s.handle(s.completions))
	e.POST("/v1/chat/completions", s.handle(s.chat))
	e.Any("/services/:service/*", s.handle(s.service))
	return e
}

// call is one request under way.
type call struct {
	*Server
	w         http.ResponseWriter
	r         *http.Request
	ctl       *http.ResponseController
	id        string
	workspace *builder.Workspace
	catalogue *catalogue
	deadline  time.Time
	body      []byte
	witness   *checker.ExecutionTracker
	// started is set once an upstream may have started the request.
	started bool
	// path is what follows the service's name.
	serviceName, path string
	// begun is set once the status line is written.
	begun bool
}

// handle does what all requests have in common, then calls f.
func (s *Server) handle(f func(*call) error) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.open.Add(1)
		s.inFlight.Add(1)
		defer s.open.Done()
		defer s.inFlight.Add(-1)
		ctx, witness := checker.WithExecutionTracker(c.Request().Context())
		k := &call{
			Server:      s,
			w:           c.Response().Writer,
			r:           c.Request().WithContext(ctx),
			ctl:         http.NewResponseController(c.Response().Writer),
			id:          s.requestID(),
			witness:     witness,
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

// requestID is unique among hosts: host and incarnation are in it.
func (s *Server) requestID() string {
	n := s.requests.Add(1)
	return s.Host + "-" + strconv.FormatInt(s.Deduplicator.Incarnation, 36) + "-" + strconv.FormatInt(n, 36)
}

func (k *call) run(f func(*call) error) error {
	if k.stopping.Load() {
		return &admitter.Refusal{Reason: admitter.ReasonStopping, NotRun: true, RetryAfter: time.Second}
	}
	if k.catalogue = k.Server.catalogue.Load(); k.catalogue == nil {
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
	if k.workspace = k.catalogue.keys[builder.HashKey(key)]; k.workspace == nil {
		return refusal(admitter.ReasonUnauthorised, "unknown key")
	}
	return nil
}

// readDeadline takes the Deadline-Ms header: how long the caller waits for the
// whole answer.
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

// ErrorBody is what a caller gets in place of an answer.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what became of a request.
type ErrorDetail struct {
	// Code is the HTTP status, also where the status line was sent before.
	Code int `json:"code"`
	// Reason is the counter's label.
	Reason  string `json:"reason"`
	Message string `json:"message"`
	// NotRun holds only when no upstream started the request.
	NotRun    bool   `json:"notRun"`
	RequestID string `json:"requestId"`
	// RetryAfter is in seconds; 0 means that a new try won't help.
	RetryAfter int64 `json:"retryAfter,omitempty"`
}

// refuse sends the final answer of a request that was not answered.
func (k *call) refuse(err error) {
	out := k.Router.Refuse(k.id, err, k.started, k.witness)
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
	if k.begun {
		k.endStream(body)
		return
	}
	k.w.Header().Set("Content-Type", "application/json")
	if body.Error.RetryAfter > 0 {
		k.w.Header().Set("Retry-After", strconv.FormatInt(body.Error.RetryAfter, 10))
	}
	k.limitWrite()
	k.w.WriteHeader(body.Error.Code)
	json.NewEncoder(k.w).Encode(body)
}

func (k *call) limitWrite() {
	k.ctl.SetWriteDeadline(time.Now().Add(time.Duration(k.Limits.WriteMs) * time.Millisecond))
}

func seconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// statusCanceled is what logs show for a caller that went away; nobody reads it.
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

// unrouted answers what matches no route.
func (s *Server) unrouted(err error, c echo.Context) {
	k := &call{Server: s, w: c.Response().Writer, r: c.Request(), ctl: http.NewResponseController(c.Response().Writer), id: s.requestID(), witness: new(checker.ExecutionTracker)}
	k.refuse(refusal(admitter.ReasonUnknown, err.Error()))
}
