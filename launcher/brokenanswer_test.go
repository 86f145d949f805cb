package launcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
)

// runRawHost starts a host on sockets whose upstreams respond by respond, and calls f with the address for callers.
func runRawHost(t *testing.T, respond func(c net.Conn, br *bufio.Reader) bool, f func(b *testbed, address string)) {
	t.Helper()
	is := is.New(t)
	b := newTestbed(t)
	b.cfg.Limits.BodyBytes = 64 << 20
	b.source.Configure(&b.cfg)
	for _, id := range []string{"desk-a", "desk-b", "model-a", "model-b"} {
		u := &faker.RawUpstream{Respond: respond}
		address, err := u.Start()
		is.NoErr(err)
		defer u.Close()
		service, _, _ := strings.Cut(id, "-")
		b.source.PutUpstream(balancer.Upstream{ID: id, Service: service, Address: address, DataCentre: "here", Slots: 64, StartedAt: 1})
	}
	h := b.newHost(follower.Host{Name: "host-a", DataCentre: "here", Address: "10.0.0.1:82"})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	h.Listen = func(address string) (net.Listener, error) {
		if address == callersAddress {
			return l, nil
		}
		return b.net.Listen(address)
	}
	h.Dial = new(net.Dialer).DialContext
	b.client = new(http.Client)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { b.done <- h.Run(ctx) }()
	defer func() { cancel(); <-b.done }()
	ready := &http.Client{Transport: &http.Transport{DialContext: b.net.Dialer("caller"), DisableKeepAlives: true}}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := ready.Get("http://" + readyAddress + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			f(b, l.Addr().String())
			return
		}
	}
	t.Fatal("host is not ready after 20 s")
}

// assertNoAnswer sends n requests of each kind with a body of size bytes to upstreams that run them without a sound answer.
// It checks that callers get none, that what must not run twice runs once, and that what is refused as not run has not.
func assertNoAnswer(t *testing.T, n, size int, respond func(c net.Conn, br *bufio.Reader, text func(r *http.Request) string) bool, answer string) {
	t.Helper()
	is := is.NewRelaxed(t)
	var runs faker.RunCounter
	body := strings.Repeat("x", size)
	h := forwarder.DefaultHeaders
	text := func(r *http.Request) string {
		id := r.Header.Get(h.RequestID)
		runs.Add(id)
		return strings.ReplaceAll(answer, "{headers}", fmt.Sprintf("%s: %s\r\n%s: stamp\r\n", h.RequestID, id, h.Stamp))
	}
	runRawHost(t, func(c net.Conn, br *bufio.Reader) bool { return respond(c, br, text) }, func(b *testbed, address string) {
		for _, path := range []string{"/look/1", "/book/1", "/stream/1", "/stream/once/1"} {
			ran := 0
			for i := range n {
				id := fmt.Sprint(path, "-", i)
				r := b.requestAt(address, http.MethodPost, path, id, func(r *http.Request) {
					r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(size)
					r.Header.Set(h.DeadlineMs, "20000")
				})
				isRefused := r.status == http.StatusServiceUnavailable && runs.Runs(id) == 0
				if r.err == nil && r.status != http.StatusBadGateway && !isRefused {
					t.Errorf("%s: status %d, body %q, %v, after %v", path, r.status, r.body, r.header, r.took)
				}
				if path == "/book/1" || path == "/stream/once/1" {
					is.True(runs.Runs(id) <= 1)
				}
				ran += runs.Runs(id)
			}
			is.True(ran > 0)
		}
	})
}

// TestResetDuringUpload guards against passing on a part of a body as the whole one: its upstream resets the connection
// while the request is being written.
func TestResetDuringUpload(t *testing.T) {
	const uploadSize = 8 << 20
	respond := func(c net.Conn, br *bufio.Reader, text func(r *http.Request) string) bool {
		faker.WriteEarly(c, br, text)
		faker.Reset(c)
		return false
	}
	assertNoAnswer(t, 8, uploadSize, respond, "HTTP/1.1 200 OK\r\n{headers}\r\nid: 1\ndata: event 1\n\n")
}

// assertNoAnswerWhole is assertNoAnswer for upstreams that read a short request whole, and close the connection after the
// answer or keep it.
func assertNoAnswerWhole(t *testing.T, answer string) {
	t.Helper()
	for _, isKept := range []bool{true, false} {
		t.Run(fmt.Sprintf("%q, kept %t", answer, isKept), func(t *testing.T) {
			t.Parallel()
			assertNoAnswer(t, 2, 10, func(c net.Conn, br *bufio.Reader, text func(r *http.Request) string) bool {
				return faker.WriteWhole(c, br, text) && isKept
			}, answer)
		})
	}
}

// TestStatusBelow100 guards against passing on what follows a response with such a status, and against waiting for it.
func TestStatusBelow100(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\n{headers}Content-Length: 21\r\n\r\nid: 1\ndata: event 1\n\n"
	for _, status := range []string{"000", "099"} {
		for _, rest := range []string{"{headers}Content-Length: 2\r\n\r\nok", "{headers}\r\n" + answer, "{headers}Content-Length: 0\r\n\r\n" + answer} {
			assertNoAnswerWhole(t, "HTTP/1.1 "+status+" No\r\n"+rest)
		}
	}
}

// TestInvalidFieldName guards against passing on a response with a field whose name is none, or a body whose framing is in
// such a field.
func TestInvalidFieldName(t *testing.T) {
	const event = "id: 1\ndata: event 1\n\n"
	for _, rest := range []string{
		"X y: 1\r\nContent-Length: 21\r\n\r\n" + event, "X\x01: 1\r\nContent-Length: 21\r\n\r\n" + event, "Content-Length : 21\r\n\r\n" + event + "more",
		"X: 1\r\n Content-Length: 21\r\n\r\n" + event + "more", "Transfer-Encoding : chunked\r\n\r\n15\r\n" + event + "\r\n0\r\n\r\n",
	} {
		assertNoAnswerWhole(t, "HTTP/1.1 200 OK\r\n{headers}"+rest)
	}
}

// TestInvalidHeadOfOtherHost guards against passing on a broken answer that comes by way of another host.
func TestInvalidHeadOfOtherHost(t *testing.T) {
	const served, event = "Sardineward-Delegation: served\r\nStamp: stamp\r\n", "id: 1\ndata: event 1\n\n"
	for _, answer := range []string{
		"HTTP/1.1 000 No\r\n" + served + "Content-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + served + "Content-Length: 21\r\n\r\n" + event,
		"HTTP/1.1 200 OK\r\n" + served + "X y: 1\r\nContent-Length: 21\r\n\r\n" + event,
		"HTTP/1.1 200 OK\r\n" + served + "Content-Length : 21\r\n\r\n" + event + "more",
	} {
		for _, path := range []string{"/book/1", "/stream/once/1"} {
			t.Run(fmt.Sprintf("%s %q", path, answer), func(t *testing.T) {
				runCutOff(t, 4, func(is *is.I, fl *fleet, cut follower.Host) {
					var asked atomic.Int64
					defer fl.addFakeHost(cut, func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path != path {
							w.Header().Set("Sardineward-Delegation", "served")
							w.Header().Set(forwarder.DefaultHeaders.Stamp, "stamp")
							_, _ = io.WriteString(w, events(1, 10))
							return
						}
						asked.Add(1)
						if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
							_, _ = io.WriteString(c, answer)
							c.Close()
						}
					})()
					ip, _, _ := strings.Cut(cut.Address, ":")
					for n := range 20 {
						before, id := asked.Load(), fmt.Sprint("once-", n)
						r := fl.requestAt(ip+":80", http.MethodPost, path, id, nil)
						is.NoErr(r.err)
						if asked.Load() > before {
							is.Equal(r.status, http.StatusBadGateway)
							is.Equal(fl.runs(id), 0)
						}
					}
					is.True(asked.Load() > 0)
				})
			})
		}
	}
}
