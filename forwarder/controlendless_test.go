package forwarder_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
)

// TestEndlessControlAnswer guards against an answer to an order or query that is cut off at the bound and passed on as whole.
func TestEndlessControlAnswer(t *testing.T) {
	for _, c := range []struct{ name, method, head string }{
		{"query, body", http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n"},
		{"order, body", http.MethodPost, "HTTP/1.1 202 Accepted\r\n\r\n"},
		{"query, head", http.MethodGet, "HTTP/1.1 200 OK\r\nName: "},
		{"order, head", http.MethodPost, "HTTP/1.1 202 Accepted\r\nName: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			var taken atomic.Int64
			closed := make(chan struct{})
			dial := func(context.Context, string, string) (net.Conn, error) {
				near, far := net.Pipe()
				go func() {
					defer close(closed)
					defer far.Close()
					if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
						return
					}
					_, err := io.WriteString(far, c.head)
					for chunk := strings.Repeat("x", 1<<10); err == nil; {
						var n int
						n, err = io.WriteString(far, chunk)
						taken.Add(int64(n))
					}
				}()
				return near, nil
			}
			client := engineClient(dial)
			r, err := http.NewRequestWithContext(t.Context(), c.method, "http://10.1.0.1:80/api/x", http.NoBody)
			is.NoErr(err)
			resp, err := client.Do(r)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
			<-closed
			is.True(err != nil)
			is.True(taken.Load() <= 257<<10)
			var e *connector.Error
			if strings.HasSuffix(c.name, "head") {
				is.True(errors.As(err, &e) && e.Sent)
			}
		})
	}
}
