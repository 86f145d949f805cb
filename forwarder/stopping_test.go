package forwarder

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// TestStopOfRejectedRequest guards against a request that upstreams only rejected and that the end of a planned stop answers as
// one that may have run.
func TestStopOfRejectedRequest(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.KindNonIdempotent, matcher.KindStreaming} {
		t.Run(kind.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.NewRelaxed(t)
				k, budget := newStream(0)
				for range 100 {
					budget.RecordRequest(k.Now())
				}
				var list []balancer.Upstream
				for _, id := range []string{"u1", "u2"} {
					list = append(list, balancer.Upstream{ID: id, Address: id + ":80", Service: "model", DataCentre: "a", StartedAt: 1})
				}
				k.Balancer.UpdateUpstreams(list, []string{"engine"})
				dials := 0
				k.Pool.Dial = func(ctx context.Context, _, _ string) (net.Conn, error) {
					if dials++; dials > 1 {
						<-ctx.Done() // the dial is under way when the stop ends
						return nil, ctx.Err()
					}
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
							return
						}
						time.Sleep(900 * time.Millisecond)
						_, _ = io.WriteString(far, "HTTP/1.1 "+notRunStatus("")+DefaultHeaders.RequestID+": r\r\nContent-Length: 0\r\n\r\n")
					}()
					return near, nil
				}
				k.Tables = ageless{k.table}
				k.Stop(1333 * time.Millisecond) // ends at 1,000 ms
				w := httptest.NewRecorder()
				k.w, k.route = w, &matcher.Route{Kind: kind, MaxAttempts: 3}
				ctx, done := k.endWithStop(t.Context())
				defer done()
				if kind == matcher.KindStreaming {
					k.serveStream(ctx)
				} else {
					k.servePlain(ctx)
				}
				is.Equal(dials, 2)
				is.Equal(w.Code, http.StatusServiceUnavailable)
				k.Pool.Close()
				time.Sleep(2 * time.Second)
			})
		})
	}
}
