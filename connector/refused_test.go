package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
)

// exchange sends a request and reads its response whole.
func exchange(t *testing.T, p *connector.Pool, id string) (status int, use connector.ConnUse) {
	t.Helper()
	is := is.New(t)
	resp, err := p.Do(context.Background(), &connector.Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{"Id": {id}}, AtMostOnce: true,
	})
	is.NoErr(err)
	_, err = io.ReadAll(resp)
	is.NoErr(err)
	is.True(resp.Done())
	return resp.StatusCode, resp.Use
}

// TestConnUse guards against log lines that do not tell whether a response came over a connection that carried other
// requests before, and after responses to these.
func TestConnUse(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for respond(c, br, "", contentLength("ok"), "ok") {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: late\r\n%s\r\nlate", contentLength("late"))
		}
	}, func(p *connector.Pool, _ *int) {
		is := is.New(t)
		skipped := 0
		p.OnSkipped = func() { skipped++ }
		_, use := exchange(t, p, "a")
		is.Equal(use, connector.ConnUse{})
		_, use = exchange(t, p, "b")
		is.Equal(use, connector.ConnUse{Earlier: 1, Skipped: 1})
		is.Equal(skipped, 1)
	})
}
