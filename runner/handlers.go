package runner

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/gossiper"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/tracker"
	"github.com/sardineward/sardineward/watcher"
)

// peerService implements peer.Peer. The embedded Gossiper answers the gossip calls.
type peerService struct {
	*gossiper.Gossiper
	h *Host
}

// Configuration implements peer.Peer: it returns the head of the configuration or one of its parts,
// and the revision in force here.
func (p peerService) Configuration(_ context.Context, req *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	body, rev := p.h.configWatcher.Serve(req.Part)
	return &peer.ConfigurationResponse{Body: body, Revision: rev}, nil
}

// Record implements peer.Peer: it reports whether the call that this host claimed under a nonce
// is running or abandoned; neither when another incarnation of this host claimed it.
func (p peerService) Record(_ context.Context, req *peer.RecordRequest) (*peer.RecordResponse, error) {
	running, abandoned := p.h.dedup.ClaimState(req.Incarnation, req.Nonce)
	return &peer.RecordResponse{Running: running, Abandoned: abandoned}, nil
}

// Status implements peer.Peer: it returns this host's revision in force, whether it is ready or
// leaving, and its number of invariant violations.
func (p peerService) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	return &peer.StatusResponse{
		Host:       p.h.Settings.Host,
		Revision:   p.h.configWatcher.Revision(),
		Ready:      p.h.Ready(),
		Leaving:    p.h.leaving(),
		Violations: p.h.Checker.Total(),
	}, nil
}

func (h *Host) peerHandler() http.Handler {
	return peer.NewPeerServer(peerService{h.gossip, h})
}

// HostStatus is the state of one entry host as shown to operators.
type HostStatus struct {
	Host       string `json:"host"`
	DataCentre string `json:"dataCentre"`
	// State is alive, leaving, suspect or dead.
	State string `json:"state"`
	// Revision is the configuration revision in force on that host; -1 means that it didn't
	// answer.
	Revision   int64 `json:"revision"`
	Violations int64 `json:"violations"`
}

// Status is the answer to an operator's status request.
type Status struct {
	Host     string `json:"host"`
	Revision int64  `json:"revision"`
	// LowestRevision is the lowest revision in force on any host that answered, and LowestHost
	// the first host that has it.
	LowestRevision int64            `json:"lowestRevision"`
	LowestHost     string           `json:"lowestHost"`
	Hosts          []HostStatus     `json:"hosts"`
	Upstreams      []tracker.Status `json:"upstreams"`
	// Waiting is the number of requests queued on this host, by pipeline or service.
	Waiting map[string]int `json:"waiting"`
	// Bounds are the throughput bounds by pipeline, in tokens per second.
	Bounds map[string]BoundStatus `json:"bounds"`
}

// BoundStatus is a pipeline's throughput bound in tokens per second: Declared counts all declared
// upstreams, Up only those that are up.
type BoundStatus struct {
	Declared float64 `json:"declared"`
	Up       float64 `json:"up"`
}

// SubmitRequest is the body of a request to submit a configuration.
type SubmitRequest struct {
	// Base is the revision that the operator reviewed; 0 means that there is none yet.
	Base int64 `json:"base"`
	// ID identifies the submission; every retry of one submission has the same ID.
	ID string `json:"id"`
	// By names the operator.
	By string `json:"by"`
	// Configuration is the source text, JSON with comments.
	Configuration string `json:"configuration"`
}

// SubmitResponse is the answer to a submission.
type SubmitResponse struct {
	Revision int64  `json:"revision,omitempty"`
	Error    string `json:"error,omitempty"`
	// Have is the revision in force and By its submitter, when another submission came first.
	Have int64  `json:"have,omitempty"`
	By   string `json:"by,omitempty"`
}

func (h *Host) adminHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", h.readyz)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(h.meter.Registry, promhttp.HandlerOpts{})))
	e.GET("/admin/v1/status", func(c echo.Context) error { return c.JSONPretty(http.StatusOK, h.Status(c.Request().Context()), "  ") })
	e.GET("/admin/v1/configuration", h.configuration)
	e.POST("/admin/v1/submit", h.submit, h.requireAdminKey)
	e.POST("/admin/v1/drain/:upstream", h.drain, h.requireAdminKey)
	e.GET("/debug/pprof/", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
	e.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	e.GET("/debug/pprof/:name", func(c echo.Context) error {
		pprof.Handler(c.Param("name")).ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}

// requireAdminKey passes a request on only when it carries the administration key. Without a
// configured key hash every request is refused.
func (h *Host) requireAdminKey(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		key, _ := strings.CutPrefix(c.Request().Header.Get("Authorization"), "Bearer ")
		want := h.Settings.AdminKeyHash
		if want == "" || subtle.ConstantTimeCompare([]byte(builder.HashKey(key)), []byte(want)) != 1 {
			return c.JSON(http.StatusUnauthorized, SubmitResponse{Error: "want Authorization: Bearer with the administration key"})
		}
		return next(c)
	}
}

func (h *Host) readyz(c echo.Context) error {
	if !h.Ready() {
		return c.String(http.StatusServiceUnavailable, "not ready\n")
	}
	return c.String(http.StatusOK, "ready\n")
}

func (h *Host) configuration(c echo.Context) error {
	cfg := h.configWatcher.Current()
	if cfg == nil {
		return c.JSON(http.StatusNotFound, SubmitResponse{Error: "no configuration in force"})
	}
	src, err := builder.Canonical(cfg)
	if err != nil {
		return err
	}
	return c.Blob(http.StatusOK, "application/json", src)
}

func (h *Host) submit(c echo.Context) error {
	const maxBodyBytes = 64 << 20
	var in SubmitRequest
	dec := json.NewDecoder(io.LimitReader(c.Request().Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&in); err != nil || in.ID == "" {
		return c.JSON(http.StatusBadRequest, SubmitResponse{Error: "want base, id, by and configuration"})
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), 30*time.Second)
	defer cancel()
	rev, err := watcher.Submit(ctx, h.store, []byte(in.Configuration), in.Base, in.ID, in.By)
	var conflict *watcher.ConflictError
	switch {
	case errors.As(err, &conflict):
		return c.JSON(http.StatusConflict, SubmitResponse{Error: err.Error(), Have: conflict.Have, By: conflict.By})
	case ctx.Err() != nil:
		return c.JSON(http.StatusServiceUnavailable, SubmitResponse{Error: "the platform did not settle the submission in time; submit again with the same id"})
	case err != nil:
		return c.JSON(http.StatusUnprocessableEntity, SubmitResponse{Error: err.Error()})
	}
	h.gossip.Publish(true, &peer.Item{Kind: peer.ItemKind_ITEM_KIND_REVISION, Incarnation: rev})
	return c.JSON(http.StatusOK, SubmitResponse{Revision: rev})
}

// drain marks an upstream as leaving on all hosts, until it is restarted with a newer
// incarnation.
func (h *Host) drain(c echo.Context) error {
	name := c.Param("upstream")
	if _, ok := h.upstreamTracker.Upstream(name); !ok {
		return c.JSON(http.StatusNotFound, SubmitResponse{Error: "no upstream " + name})
	}
	inc := h.upstreamTracker.Incarnation(name)
	h.upstreamTracker.MarkLeaving(name, inc)
	announcer{h}.AnnounceLeaving(name, inc)
	h.Log.Info().Str("upstream", name).Int64("incarnation", inc).Msg("runner: upstream drained by an operator")
	return c.JSON(http.StatusOK, struct{}{})
}

// Status asks every host for its revision. The cost grows with the number of hosts, but arises
// only when an operator asks.
func (h *Host) Status(ctx context.Context) Status {
	now := time.Now()
	st := Status{
		Host:      h.Settings.Host,
		Revision:  h.configWatcher.Revision(),
		Hosts:     h.hostStatuses(ctx),
		Upstreams: h.upstreamTracker.Statuses(now),
		Waiting:   h.admission.Waiting(),
		Bounds:    make(map[string]BoundStatus),
	}
	st.LowestRevision = -1
	for _, host := range st.Hosts {
		if host.Revision >= 0 && (st.LowestRevision < 0 || host.Revision < st.LowestRevision) {
			st.LowestRevision, st.LowestHost = host.Revision, host.Host
		}
	}
	if cfg := h.configWatcher.Current(); cfg != nil {
		for _, p := range cfg.Pipelines {
			declared, _ := h.upstreamTracker.ThroughputBound(now, p.Name, true)
			up, _ := h.upstreamTracker.ThroughputBound(now, p.Name, false)
			st.Bounds[p.Name] = BoundStatus{Declared: declared, Up: up}
		}
	}
	return st
}

func (h *Host) hostStatuses(ctx context.Context) []HostStatus {
	const maxConcurrent = 64
	items := h.gossip.All(peer.ItemKind_ITEM_KIND_HOST)
	out := make([]HostStatus, len(items))
	slots := make(chan struct{}, maxConcurrent)
	var wg sync.WaitGroup
	for i, it := range items {
		out[i] = HostStatus{Host: it.Key, DataCentre: it.Host.GetDataCentre(), State: gossiper.StateOf(it).String(), Revision: -1}
		if gossiper.StateOf(it) == gossiper.HostDead {
			continue
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if resp, err := h.gossip.Dial(it.Host.GetAddress()).Status(callCtx, &peer.StatusRequest{}); err == nil {
				out[i].Revision, out[i].Violations = resp.Revision, resp.Violations
			}
		})
	}
	wg.Wait()
	return out
}
