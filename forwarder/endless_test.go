package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// endlessTaker counts the bytes that upstreams have sent over connections that are still open.
type endlessTaker struct{ now, most atomic.Int64 }

// dial connects to an upstream that writes head, then bytes without end until its caller closes.
func (e *endlessTaker) dial(head string) func(context.Context, string, string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return
			}
			_, err := io.WriteString(far, head)
			taken := int64(0)
			for chunk := strings.Repeat("x", 1<<10); err == nil; {
				var n int
				n, err = io.WriteString(far, chunk)
				taken += int64(n)
				e.most.Store(max(e.most.Load(), e.now.Add(int64(n))))
				time.Sleep(time.Microsecond) // the others go on
			}
			e.now.Add(-taken)
		}()
		return near, nil
	}
}

// TestEndlessResponsesAtOnce guards against responses without end that together take more memory than the host has, though
// each is bounded.
func TestEndlessResponsesAtOnce(t *testing.T) {
	const (
		requests = 200
		memory   = 136e6
		// most is the share of memory that long responses may take, and what each response may without a reservation.
		most = memory/answerShare + requests*(answerFree+readBufferSize+1<<10)
	)
	h := DefaultHeaders
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: r\r\n%s: stamp\r\n\r\nid: 1\ndata: ", h.RequestID, h.Stamp)
	for _, kind := range []matcher.Kind{matcher.KindNonIdempotent, matcher.KindStreaming} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				taker := new(endlessTaker)
				k, budget := newStream(0)
				k.Balancer.UpdateUpstreams([]balancer.Upstream{{ID: "engine", Address: "10.1.0.1:80", Service: "model", DataCentre: "a", Slots: 2 * requests, StartedAt: 2}}, nil)
				budget.RecordRequest(k.Now())
				k.MemoryBytes, k.Tables, k.Pool.Dial = memory, ageless{k.table}, taker.dial(head)
				route := &matcher.Route{Kind: kind, MaxAttempts: 1}
				var wg sync.WaitGroup
				for range requests {
					wg.Go(func() {
						w := httptest.NewRecorder()
						one := &call{Forwarder: k.Forwarder, w: w, r: k.r, id: k.id, table: k.table, service: k.service, route: route, deadline: k.deadline}
						if kind == matcher.KindStreaming {
							one.serveStream(t.Context())
						} else {
							one.servePlain(t.Context())
						}
						one.releaseAll()
						is.Equal(w.Code, http.StatusBadGateway)
					})
				}
				wg.Wait()
				t.Logf("at most %d bytes at once", taker.most.Load())
				is.True(taker.most.Load() <= most)
				_, held := k.HeldBytes()
				is.Equal(held, int64(0))
				time.Sleep(time.Second) // the upstreams end
			})
		})
	}
}
