package launcher

import (
	"errors"
	"fmt"
	"log"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/sharer"
)

// maxReportBytes bounds what is logged of one report of an HTTP server, such as a stack.
const maxReportBytes = 2 << 10

// listen starts a server on each of the host's addresses and returns the one for callers.
func (h *Host) listen() (*http.Server, error) {
	cfg := h.Settings
	callers := h.newServer(h.forwarder)
	for _, endpoint := range []struct {
		address string
		server  *http.Server
	}{
		{cfg.Ready, h.newServer(h.readyHandler())},
		{cfg.Admin, h.newServer(h.adminHandler())},
		{cfg.Peer, h.newServer(h.peerHandler())},
		{cfg.Callers, callers},
	} {
		listener, err := h.Listen(endpoint.address)
		if err != nil {
			return nil, fmt.Errorf("listening on %s: %w", endpoint.address, err)
		}
		h.mu.Lock()
		h.servers = append(h.servers, endpoint.server)
		h.mu.Unlock()
		go func() {
			if err := endpoint.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				h.Log.Error().Err(err).Str("address", endpoint.address).Msg("launcher: server failed")
			}
		}()
	}
	return callers, nil
}

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: log.New(serverLog{h.Log}, "", 0),
	}
}

// serverLog writes what net/http reports, such as the panic of a handler, which closes the connection of its request.
type serverLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l serverLog) Write(b []byte) (int, error) {
	l.log.Warn().Str("report", string(b[:min(len(b), maxReportBytes)])).Msg("launcher: report of an HTTP server")
	return len(b), nil
}

// peerHandler serves the calls of other hosts, and requests of callers that they delegate.
func (h *Host) peerHandler() http.Handler {
	share := sharer.Compress(peer.NewShareServer(h.sharer))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forwarder.IsDelegated(r) {
			h.forwarder.ServeDelegated(w, r)
			return
		}
		share.ServeHTTP(w, r)
	})
}

func (h *Host) readyHandler() http.Handler {
	e := echo.New()
	e.GET(h.ReadyPath, func(c echo.Context) error {
		if h.forwarder.Ready() {
			return c.NoContent(http.StatusOK)
		}
		return c.NoContent(http.StatusServiceUnavailable)
	})
	return e
}

func (h *Host) adminHandler() http.Handler {
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(h.meter.Registry, promhttp.HandlerOpts{})))
	e.GET("/parts", func(c echo.Context) error { return c.JSON(http.StatusOK, h.isolatedParts()) })
	e.DELETE("/parts/:part", func(c echo.Context) error {
		id := c.Param("part")
		if !h.forwarder.Isolator.Release(h.Now(), isolator.ParsePart(id)) {
			return c.String(http.StatusNotFound, fmt.Sprintf("part %q is not isolated\n", id))
		}
		return c.NoContent(http.StatusNoContent)
	})
	return e
}

// IsolatedPart is a part of prompts with which requests are refused. Times are in seconds.
type IsolatedPart struct {
	Part string `json:"part"`
	// AllWorkspaces is false if only the requests of one workspace are refused.
	AllWorkspaces bool `json:"allWorkspaces"`
	Confirmed     bool `json:"confirmed"`
	// Tentative is set if others could have been the cause of the crashes too.
	Tentative   bool    `json:"tentative"`
	IsolatedFor float64 `json:"isolatedFor"`
	// Samples is how many requests were let through since; NextSampleIn is the time until the next one may be.
	Samples      int         `json:"samples"`
	NextSampleIn float64     `json:"nextSampleIn"`
	Crashes      []PartCrash `json:"crashes"`
}

// PartCrash is the crash of an upstream at which requests with a part were in flight.
type PartCrash struct {
	Upstream string  `json:"upstream"`
	Ago      float64 `json:"ago"`
}

// isolatedParts returns the isolated parts, those isolated first before the others.
func (h *Host) isolatedParts() []IsolatedPart {
	now := h.forwarder.Isolator.Time(h.Now())
	out := []IsolatedPart{}
	for _, s := range h.forwarder.Isolator.Isolated() {
		p := IsolatedPart{
			Part: string(s.Part), AllWorkspaces: s.Workspace == 0, Confirmed: s.Confirmed, Tentative: s.Tentative, IsolatedFor: (now - s.IsolatedAt).Seconds(),
			Samples: s.Samples, NextSampleIn: max(0, s.SampleDue()-now).Seconds(), Crashes: []PartCrash{},
		}
		for _, c := range s.Crashes {
			p.Crashes = append(p.Crashes, PartCrash{Upstream: c.Upstream, Ago: (now - c.At).Seconds()})
		}
		out = append(out, p)
	}
	return out
}
