package runner_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// runRawService starts a host whose service desk has instances on sockets that respond by respond, and calls f in real
// time.
func runRawService(t *testing.T, respond func(c net.Conn, br *bufio.Reader) bool, f func(b *cluster)) {
	t.Helper()
	t.Parallel()
	cfg := configuration()
	for i := range cfg.Upstreams {
		if !strings.Contains(cfg.Upstreams[i].Name, "-desk") {
			continue
		}
		u := &faker.RawUpstream{Respond: respond}
		address, err := u.Start()
		is.New(t).NoErr(err)
		defer u.Close()
		cfg.Upstreams[i].Address = address
	}
	b := newCluster(t, 1, cfg)
	defer b.environment.Close()
	b.dial = new(net.Dialer).DialContext
	b.hosts = b.hosts[:1]
	b.start(0)
	defer b.kill(0)
	b.submit(0, cfg)
	b.await(10*time.Second, b.allReady)
	time.Sleep(time.Second)
	f(b)
}

// assertNoAnswer sends n calls of each kind with a body of about size bytes to instances that respond by write. It checks
// that callers get no answer, that what must not run twice runs once, and that what is refused as not run has not.
func assertNoAnswer(t *testing.T, n, size int, write func(c net.Conn, br *bufio.Reader, text func(*http.Request) string) bool, answer string) {
	t.Helper()
	is := is.NewRelaxed(t)
	var runs faker.RunCounter
	respond := func(c net.Conn, br *bufio.Reader) bool {
		if first, err := br.Peek(4); err == nil && string(first) == "GET " {
			return faker.WriteWhole(c, br, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n{\"incarnation\":1}" })
		}
		return write(c, br, func(r *http.Request) string { runs.Add(r.Header.Get("X-Request-Id")); return answer })
	}
	runRawService(t, respond, func(b *cluster) {
		for _, path := range []string{"/search", "/once", "/bookings"} {
			ran := 0
			for i := range n {
				r := b.post(0, "/services/desk"+path, fmt.Sprintf(`{"id":"%s%d","text":"%s"}`, path, i, strings.Repeat("x", size)), nil)
				if r.err != nil || r.refusal == nil {
					t.Errorf("%s: status %d, body %q, %v", path, r.status, r.body, r.err)
					continue
				}
				count := runs.Runs(r.refusal.RequestID)
				is.True(count == 0 || !r.refusal.NotRun)
				if path != "/search" {
					is.True(count <= 1)
				}
				ran += count
			}
			is.True(ran > 0)
		}
	})
}

// TestResetDuringUpload guards against passing on a part of a body as the whole one: its instance resets the connection
// while the call is being written.
func TestResetDuringUpload(t *testing.T) {
	write := func(c net.Conn, br *bufio.Reader, text func(*http.Request) string) bool {
		faker.WriteEarly(c, br, text)
		faker.Reset(c)
		return false
	}
	assertNoAnswer(t, 8, 1<<20-100, write, "HTTP/1.1 200 OK\r\n\r\npart")
}

// TestInvalidStatus guards against passing on a response with a status that none has, or one that switches protocols.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101"} {
		t.Run(status, func(t *testing.T) {
			assertNoAnswer(t, 2, 10, faker.WriteWhole, "HTTP/1.1 "+status+" No\r\nContent-Length: 2\r\n\r\nok")
		})
	}
}

// TestInvalidFieldName guards against passing on a body whose framing is in a field whose name is none.
func TestInvalidFieldName(t *testing.T) {
	for _, rest := range []string{"X y: 1\r\nContent-Length: 2\r\n\r\nok", "X\x01: 1\r\nContent-Length: 2\r\n\r\nok", "Content-Length : 2\r\n\r\nokmore", "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"} {
		t.Run(fmt.Sprintf("%q", rest), func(t *testing.T) {
			write := func(c net.Conn, br *bufio.Reader, text func(*http.Request) string) bool {
				faker.WriteWhole(c, br, text)
				return false
			}
			assertNoAnswer(t, 2, 10, write, "HTTP/1.1 200 OK\r\n"+rest)
		})
	}
}
