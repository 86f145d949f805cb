package launcher

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/sharer"
)

// listen starts a server on each of the host's addresses and returns the one for callers.
func (h *Host) listen() (*http.Server, error) {
	cfg := h.Settings
	callers := newServer(h.forwarder)
	for _, endpoint := range []struct {
		address string
		server  *http.Server
	}{
		{cfg.Ready, newServer(h.readyHandler())},
		{cfg.Admin, newServer(h.adminHandler())},
		{cfg.Peer, newServer(h.peerHandler())},
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

func newServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
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
	return e
}
