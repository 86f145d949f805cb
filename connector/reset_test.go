package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/faker"
)

// uploadSize is so long that it is still being written when its upstream resets the connection.
const uploadSize = 8 << 20

// TestResetDuringUpload guards against taking a response for whole whose connection was reset: a write of the request may
// get the reset, and the read after it an end.
func TestResetDuringUpload(t *testing.T) {
	const attempts = 40
	for _, c := range []struct {
		name, framing, body string
		size                int
		end                 func(c net.Conn)
		whole               bool
	}{
		{"reset", "", "part", uploadSize, faker.Reset, false},
		{"reset after the request", "", "part", 10, faker.Reset, false},
		{"reset inside the length", "Content-Length: 8\r\n", "part", uploadSize, faker.Reset, false},
		{"reset between chunks", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n", uploadSize, faker.Reset, false},
		{"end", "", "part", uploadSize, func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite(); time.Sleep(20 * time.Millisecond) }, true},
		{"end and reset", "", "part", uploadSize, func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite(); faker.Reset(c) }, true},
		{"reset after the length", "Content-Length: 4\r\n", "part", uploadSize, faker.Reset, true},
		{"reset after the last chunk", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n0\r\n\r\n", uploadSize, faker.Reset, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			u := &faker.RawUpstream{Respond: func(conn net.Conn, br *bufio.Reader) bool {
				faker.WriteEarly(conn, br, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nId: a\r\n" + c.framing + "\r\n" + c.body })
				c.end(conn)
				return false
			}}
			address, err := u.Start()
			is.NoErr(err)
			defer u.Close()
			started := time.Now()
			p := &connector.Pool{Now: func() time.Duration { return time.Since(started) }, RequestIDHeader: "Id"}
			defer p.Close()
			body := []byte(strings.Repeat("x", c.size))
			wrong := 0
			for range attempts {
				resp, err := p.Do(context.Background(), &connector.Request{
					Address: address, Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{"Id": {"a"}}, Body: body,
				})
				var got []byte
				if err == nil {
					got, err = io.ReadAll(resp)
					resp.Done()
				}
				if whole := err == nil; whole != c.whole || whole && string(got) != "part" {
					t.Logf("got %q, %v", got, err)
					wrong++
				}
			}
			is.Equal(wrong, 0)
		})
	}
}
