package launcher_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
)

// rawRequest writes a request over a connection of its own, delay after it was opened, and reads the response.
func (b *testbed) rawRequest(method, path, id string, delay time.Duration) reply {
	c, err := b.net.Dialer("caller")(context.Background(), "tcp", callersAddress)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	time.Sleep(delay)
	return rawExchange(c, bufio.NewReader(c), method, path, id)
}

// rawExchange sends a request over a connection and reads the response.
func rawExchange(c net.Conn, br *bufio.Reader, method, path, id string) reply {
	h := forwarder.DefaultHeaders
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\n%s: %s\r\n%s: 20000\r\nContent-Length: 0\r\n\r\n", method, path, apiKey, h.RequestID, id, h.DeadlineMs)
	if err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body := new(strings.Builder)
	_, err = bufio.NewReader(resp.Body).WriteTo(body)
	return reply{status: resp.StatusCode, header: resp.Header, body: body.String(), err: err}
}

// setDelay makes all upstreams wait for d before they respond.
func (b *testbed) setDelay(d time.Duration) {
	for _, s := range b.stages {
		s.ResponseDelay, s.EventInterval = d, d
	}
}

// stopPaths has a route of each kind.
var stopPaths = []string{"/book/1", "/look/1", "/stream/1", "/stream/once/1"}

// TestStopAnswersLongRequests guards against a planned stop that closes the connections of requests which are still under way
// at its end, without a response, or that refuses as not run what has run.
func TestStopAnswersLongRequests(t *testing.T) {
	runHost(t, 0, func(b *testbed) {
		b.setDelay(12 * time.Second)
		b.stop()
		var wg sync.WaitGroup
		for _, sentAt := range []time.Duration{0, 100 * time.Millisecond, time.Second, 2400 * time.Millisecond} {
			for _, path := range stopPaths {
				wg.Go(func() {
					is := is.NewRelaxed(t)
					time.Sleep(sentAt)
					id := fmt.Sprint(path, sentAt)
					r := b.rawRequest(http.MethodPost, path, id, 0)
					is.NoErr(r.err)
					switch r.status {
					case http.StatusServiceUnavailable:
						is.Equal(b.runs(id), 0)
					default:
						is.Equal(r.status, http.StatusBadGateway)
						is.Equal(b.runs(id), 1)
					}
				})
			}
		}
		wg.Wait()
		err := <-b.done
		b.done <- err // for runHost
		is.New(t).NoErr(err)
	})
}

// TestStopRefusesLateRequests guards against requests that come late in a planned stop, over connections that were opened
// before, and are passed on.
func TestStopRefusesLateRequests(t *testing.T) {
	runHost(t, 0, func(b *testbed) {
		b.setDelay(100 * time.Millisecond)
		b.stop()
		var wg sync.WaitGroup
		for _, delay := range []time.Duration{2600 * time.Millisecond, 3 * time.Second, 5 * time.Second, 7300 * time.Millisecond} {
			for _, path := range stopPaths {
				wg.Go(func() {
					id := fmt.Sprint(path, delay)
					if r := b.rawRequest(http.MethodPost, path, id, delay); r.err == nil {
						is.NewRelaxed(t).Equal(r.status, http.StatusServiceUnavailable)
					}
					is.NewRelaxed(t).Equal(b.runs(id), 0)
				})
			}
		}
		wg.Wait()
		err := <-b.done
		b.done <- err // for runHost
		is.New(t).NoErr(err)
	})
}

// TestStopAnswersUnreadBodies guards against a planned stop that closes the connection of a request whose body still comes,
// without a response.
func TestStopAnswersUnreadBodies(t *testing.T) {
	for _, path := range stopPaths {
		t.Run(path, func(t *testing.T) {
			runHost(t, 0, func(b *testbed) {
				is := is.NewRelaxed(t)
				c, err := b.net.Dialer("caller")(context.Background(), "tcp", callersAddress)
				is.NoErr(err)
				h := forwarder.DefaultHeaders
				b.stop()
				time.Sleep(time.Second)
				_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer %s\r\n%s: unread\r\n%s: 20000\r\nContent-Length: 100\r\n\r\n", path, apiKey, h.RequestID, h.DeadlineMs)
				is.NoErr(err)
				var sender sync.WaitGroup
				sender.Go(func() {
					for range 99 { // 9.4 s
						if _, err := c.Write([]byte("x")); err != nil {
							return
						}
						time.Sleep(95 * time.Millisecond)
					}
				})
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				is.NoErr(err)
				if err == nil {
					is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
					resp.Body.Close()
				}
				is.Equal(b.runs("unread"), 0)
				err = <-b.done
				b.done <- err // for runHost
				is.NoErr(err)
				c.Close()
				sender.Wait()
			})
		})
	}
}

// slowLog delays what logs a final response, as a suspension of the host does.
type slowLog struct{ delay time.Duration }

// Write implements io.Writer.
func (l slowLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("refused: the host stops")) {
		time.Sleep(l.delay)
	}
	return len(b), nil
}

// TestStopAwaitsLateResponses guards against a planned stop that times out before a host that is late has written the final
// responses.
func TestStopAwaitsLateResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.NewRelaxed(t)
		b := newTestbed(t)
		for _, id := range []string{"desk-a", "model-a"} {
			defer b.startUpstream(id)()
		}
		h := b.newHost(follower.Host{Name: "host-a", DataCentre: "here", Address: "10.0.0.1:82"})
		h.Log = zerolog.New(slowLog{600 * time.Millisecond})
		ctx, stop := context.WithCancel(context.Background())
		go func() { b.done <- h.Run(ctx) }()
		time.Sleep(time.Second)
		b.setDelay(12 * time.Second)
		stop()
		var wg sync.WaitGroup
		for _, path := range stopPaths {
			wg.Go(func() {
				r := b.rawRequest(http.MethodPost, path, "late"+path, 0)
				is.NoErr(r.err)
				is.Equal(r.status, http.StatusBadGateway)
			})
		}
		wg.Wait()
		is.NoErr(<-b.done)
		b.client.CloseIdleConnections()
		time.Sleep(20 * time.Second) // the upstreams end
	})
}
