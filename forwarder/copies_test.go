package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/picker"
)

// copier dials upstreams that reject each request once with rejection and run it when it comes again. On a connection that
// carried the rejection they write that once more before the response.
type copier struct {
	rejection func(address string) string

	mu sync.Mutex
	// rejected holds the address and the id of each rejected request.
	rejected map[string]bool
	runs     int
}

func (c *copier) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go c.serve(address, far)
	return near, nil
}

// receive reports whether an upstream rejects a request, and counts its run otherwise.
func (c *copier) receive(address, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	rejects := !c.rejected[address+id]
	if c.rejected == nil {
		c.rejected = make(map[string]bool)
	}
	c.rejected[address+id] = true
	if !rejects {
		c.runs++
	}
	return rejects
}

func (c *copier) serve(address string, conn net.Conn) {
	defer conn.Close()
	copies, br := make(map[string]string), bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		id := r.Header.Get(DefaultHeaders.RequestID)
		head := DefaultHeaders.RequestID + ": " + id + "\r\n"
		text := copies[id]
		if c.receive(address, id) {
			text = "HTTP/1.1 " + c.rejection(address) + head + "Content-Length: 0\r\n\r\n"
			copies[id] = text
		} else {
			const events = "id: 1\ndata: x\n\n"
			text += fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s: stamp\r\nContent-Length: %d\r\n\r\n%s", head, DefaultHeaders.Stamp, len(events), events)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// newCopied returns a call with the id r over the upstreams that c dials, and a function that serves it as a new call of the
// same id and returns the response.
func newCopied(t *testing.T, c *copier, route *matcher.Route, list []balancer.Upstream, e *matcher.Engine) (k *call, serve func() *httptest.ResponseRecorder) {
	t.Helper()
	first, budget := newStream(0)
	first.Balancer.UpdateUpstreams(nil, []string{"engine"})
	first.Balancer.Policy = picker.Cheapest{Steepness: 2}
	first.service = &matcher.Service{Name: "model", Engine: e}
	first.Balancer.Configure(map[string]*matcher.Service{"model": first.service})
	first.Balancer.UpdateUpstreams(list, nil)
	for range 100 {
		budget.RecordRequest(first.Now())
	}
	first.Tables, first.Pool.Dial, first.route = ageless{first.table}, c.dial, route
	t.Cleanup(first.Pool.Close)
	return first, func() *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		k := &call{Forwarder: first.Forwarder, w: w, r: first.r, id: first.id, table: first.table, service: first.service, route: route, deadline: first.Now() + time.Minute}
		if route.Kind == matcher.KindStreaming {
			k.serveStream(t.Context())
		} else {
			k.servePlain(t.Context())
		}
		time.Sleep(10 * time.Millisecond) // less than a connection may be idle for a request that must not run twice
		return w
	}
}

// assertRunsOnce checks that a request whose caller returns with its id after each refusal is answered in the end, and
// that it ran only once.
func assertRunsOnce(t *testing.T, c *copier, serve func() *httptest.ResponseRecorder) {
	t.Helper()
	is := is.NewRelaxed(t)
	var w *httptest.ResponseRecorder
	for range 10 {
		if w = serve(); w.Code != http.StatusServiceUnavailable {
			break
		}
		is.Equal(c.runs, 0) // the refusal promises that it has not run
	}
	is.Equal(w.Code, http.StatusOK)
	is.Equal(c.runs, 1)
}

func notRunStatus(string) string {
	return "503 Busy\r\n" + DefaultHeaders.NotRun + ": 1\r\n"
}

// TestRunsOnceBesideCopiedRejection guards against a request that must not run twice and is sent again or refused as not run
// after it has run, since its upstream repeated the rejection of an earlier attempt.
func TestRunsOnceBesideCopiedRejection(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.KindNonIdempotent, matcher.KindStreaming} {
		for _, attempts := range []int{1, 3} {
			for _, upstreams := range []int{1, 2, 3, 8} {
				t.Run(fmt.Sprintf("%v, %d attempts, %d upstreams", kind, attempts, upstreams), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						var list []balancer.Upstream
						for n := range upstreams {
							id := fmt.Sprint("u", n)
							list = append(list, balancer.Upstream{ID: id, Address: id + ":80", Service: "model", DataCentre: "a", StartedAt: 1})
						}
						c := &copier{rejection: notRunStatus}
						_, serve := newCopied(t, c, &matcher.Route{Kind: kind, MaxAttempts: attempts}, list, nil)
						assertRunsOnce(t, c, serve)
					})
				})
			}
		}
	}
}

// TestRunsOnceBesideRejectionOfLaterHop guards against the same where the first upstream of a path rejects a stream for the
// sake of a later hop, so that another path begins at the same upstream.
func TestRunsOnceBesideRejectionOfLaterHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &matcher.Engine{Layers: 8, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, ReadPerSecond: 164000}
		list := []balancer.Upstream{{ID: "first", Address: "first:80", Service: "model", DataCentre: "a", Layers: balancer.Span{To: 4}, StartedAt: 1}}
		for _, id := range []string{"second", "third", "fourth"} {
			list = append(list, balancer.Upstream{ID: id, Address: id + ":80", Service: "model", DataCentre: "a", Layers: balancer.Span{From: 4, To: 8}, StartedAt: 1})
		}
		c := &copier{rejection: func(string) string { return notRunStatus("") + DefaultHeaders.Fault + ": second:80\r\n" }}
		k, serve := newCopied(t, c, &matcher.Route{Kind: matcher.KindStreaming, MaxAttempts: 3}, list, e)
		// The path over the hop that is at fault is the first choice.
		for _, id := range []string{"third", "fourth"} {
			k.Balancer.RecordFailure(id)
		}
		assertRunsOnce(t, c, serve)
	})
}

// TestCopyOfFailure guards against a failure of one attempt that is taken for the response to the next one, which runs and is
// sent once more.
func TestCopyOfFailure(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.KindIdempotent, matcher.KindStreaming} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := []balancer.Upstream{{ID: "u", Address: "u:80", Service: "model", DataCentre: "a", StartedAt: 1}}
				c := &copier{rejection: func(string) string { return "500 Failed\r\n" + DefaultHeaders.Stamp + ": stamp\r\n" }}
				_, serve := newCopied(t, c, &matcher.Route{Kind: kind, Resumable: true, MaxAttempts: 3}, list, nil)
				is := is.NewRelaxed(t)
				is.Equal(serve().Code, http.StatusOK)
				is.Equal(c.runs, 1)
			})
		})
	}
}
