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
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// TestMayRepeat guards against a request that must not run twice and is sent again after an attempt in which it may have run.
func TestMayRepeat(t *testing.T) {
	routes := map[string]*matcher.Route{
		"idempotent":    {Kind: matcher.KindIdempotent},
		"nonIdempotent": {Kind: matcher.KindNonIdempotent},
		"streaming":     {Kind: matcher.KindStreaming},
		"resumable":     {Kind: matcher.KindStreaming, Resumable: true},
	}
	for name, r := range routes {
		for _, v := range verdictValues() {
			t.Run(name+", "+v.String(), func(t *testing.T) {
				notRun := v == verdictNotRun || v == verdictWithheld
				repeatable := name == "idempotent" || name == "resumable"
				is.New(t).Equal(mayRepeat(r, v), notRun || repeatable && v != verdictAnswered)
			})
		}
	}
}

// upstreamText is what an upstream writes once it has read a request.
type upstreamText struct {
	name, text string
	// sent is how often a request that must not run twice is sent to one of three such upstreams, status what its caller gets.
	sent, status int
}

func upstreamTexts() []upstreamText {
	h := DefaultHeaders
	id := h.RequestID + ": r\r\n"
	stamp := id + h.Stamp + ": stamp\r\n"
	const empty = "Content-Length: 0\r\n\r\n"
	notRun := h.NotRun + ": 1\r\n"
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	unsaid := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Length: 4\r\n\r\nbusy", status, http.StatusText(status), stamp)
	}
	return []upstreamText{
		{"nothing", "", 1, 502},
		{"status line", ok, 1, 502},
		{"head without its end", ok + stamp, 1, 502},
		{"interim response", "HTTP/1.1 100 Continue\r\n\r\n", 1, 502},
		{"head", ok + stamp + "\r\n", 1, 502},
		{"head of chunks", ok + stamp + chunked, 1, 502},
		{"part of an event", ok + stamp + "\r\nid: 1\nda", 1, 502},
		{"part of an event in a chunk", ok + stamp + chunked + "f\r\nid: 1\nda", 1, 502},
		{"part of an event, whole response", ok + stamp + "Content-Length: 8\r\n\r\nid: 1\nda", 1, 502},
		{"no event, last chunk", ok + stamp + chunked + "0\r\n\r\n", 1, 502},
		{"no event, length 0", ok + stamp + "Content-Length: 0\r\n\r\n", 1, 502},
		{"chunk without a size", ok + stamp + chunked + "size\r\nid: 1\n", 1, 502},
		{"event too large", ok + stamp + "\r\nid: 1\ndata: " + strings.Repeat("x", maxEventBytes), 1, 502},
		{"interim response, part of an event", "HTTP/1.1 100 Continue\r\n\r\n" + ok + stamp + "\r\nid: 1\nda", 1, 502},
		{"no signature", ok + id + "\r\nid: 1\ndata: x\n\n", 1, 502},
		{"no id", ok + h.Stamp + ": stamp\r\n\r\nid: 1\ndata: x\n\n", 1, 502},
		{"another request's id", ok + h.Stamp + ": stamp\r\n" + h.RequestID + ": another\r\n" + empty, 1, 502},
		{"status 500", unsaid(500), 1, 500},
		{"status 500 without an id", "HTTP/1.1 500 Failed\r\n" + empty, 1, 502},
		{"status 500, broken", "HTTP/1.1 500 Failed\r\n" + stamp + "Content-Length: 9\r\n\r\nfai", 1, 502},
		{"status 503 without " + h.NotRun, unsaid(503), 1, 502},
		{"status 429 without " + h.NotRun, unsaid(429), 1, 502},
		{"status 408 without " + h.NotRun, unsaid(408), 1, 502},
		{"status 503 with " + h.NotRun, "HTTP/1.1 503 Busy\r\n" + id + notRun + empty, 3, 503},
		{"status 503 with " + h.NotRun + ", another's first", "HTTP/1.1 503 Busy\r\n" + h.RequestID + ": another\r\n" + notRun + empty, 1, 502},
		{"status 503 with " + h.NotRun + ", interim response first", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\n" + id + notRun + empty, 3, 503},
		{"status 503 with " + h.NotRun + " without an id", "HTTP/1.1 503 Busy\r\n" + notRun + empty, 1, 502},
		{"status 503 with " + h.NotRun + ", broken", "HTTP/1.1 503 Busy\r\n" + id + notRun + "Content-Length: 9\r\n\r\nfu", 1, 502},
		{"status 503 with " + h.NotRun + " and a signature", "HTTP/1.1 503 Busy\r\n" + stamp + notRun + empty, 3, 503},
		{"status 429 with " + h.NotRun + " without an id", "HTTP/1.1 429 Limit\r\n" + notRun + empty, 1, 502},
		{"status 200 with " + h.NotRun, ok + stamp + notRun + "\r\nid: 1\ndata: x", 1, 502},
		{"status 421", "HTTP/1.1 421 Misdirected\r\n" + id + empty, 3, 503},
		{"status 421 without an id", "HTTP/1.1 421 Misdirected\r\n" + empty, 1, 502},
		{"status 421, broken", "HTTP/1.1 421 Misdirected\r\n" + id + "Content-Length: 9\r\n\r\nel", 1, 502},
		{"status 421 with a signature", "HTTP/1.1 421 Misdirected\r\n" + stamp + empty, 3, 503},
	}
}

// TestRunsOnce guards against a request that must not run twice and is sent to a second upstream after any response but one
// that says that it has not run, and against a status that promises the caller so.
func TestRunsOnce(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.KindStreaming, matcher.KindNonIdempotent} {
		for _, c := range upstreamTexts() {
			for _, delay := range []time.Duration{0, 3 * time.Second} {
				t.Run(fmt.Sprintf("%v, %s, closed after %v", kind, c.name, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testRunsOnce(t, kind, c, delay, 0) })
				})
			}
		}
	}
}

// TestRunsOnceSentInPart guards against a request that must not run twice and is sent again, since an upstream closed the
// connection before it had read the body.
func TestRunsOnceSentInPart(t *testing.T) {
	for _, kind := range []matcher.Kind{matcher.KindStreaming, matcher.KindNonIdempotent} {
		for _, size := range []int{1 << 10, maxUnreadBody, 4 * maxUnreadBody} {
			t.Run(fmt.Sprintf("%v, %d bytes", kind, size), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testRunsOnce(t, kind, upstreamText{"nothing", "", 1, 502}, 0, size) })
			})
		}
	}
}

// maxUnreadBody is about the size in bytes up to which a body is written together with its head.
const maxUnreadBody = 16 << 10

// testRunsOnce sends a request with a body to three upstreams that write c.text and close the connection after a delay.
func testRunsOnce(t *testing.T, kind matcher.Kind, c upstreamText, delay time.Duration, body int) {
	is := is.NewRelaxed(t)
	k, budget := newStream(0)
	var list []balancer.Upstream
	for _, id := range []string{"engine2", "engine3"} { // newStream has one
		list = append(list, balancer.Upstream{ID: id, Address: id + ":80", Service: "model", DataCentre: "a", StartedAt: 1})
	}
	k.Balancer.UpdateUpstreams(list, nil)
	for range 10 {
		budget.RecordRequest(k.Now())
	}
	w, sent := httptest.NewRecorder(), new(atomic.Int64)
	k.w, k.Tables, k.body = w, ageless{k.table}, make([]byte, body)
	k.route = &matcher.Route{Kind: kind, MaxAttempts: 3}
	k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
				return // a check of whether the upstream lives
			}
			sent.Add(1)
			if c.text != "" {
				_, _ = io.WriteString(far, c.text)
			}
			time.Sleep(delay)
		}()
		return near, nil
	}
	if kind == matcher.KindStreaming {
		k.serveStream(t.Context())
	} else {
		k.servePlain(t.Context())
	}
	time.Sleep(delay + time.Second) // the upstreams end
	if kind == matcher.KindNonIdempotent && w.Code == http.StatusOK {
		return // a whole response without events is an answer to such a request
	}
	is.Equal(int(sent.Load()), c.sent)
	is.Equal(w.Code, c.status)
	if c.status == http.StatusBadGateway {
		is.Equal(w.Header().Get(DefaultHeaders.Stamp), "")
	}
}
