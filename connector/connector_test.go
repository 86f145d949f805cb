package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/faker"
)

const address = "10.0.0.1:80"

// runScript serves the n-th connection with script(n) and runs f with a pool, in virtual time.
func runScript(t *testing.T, script func(n int, c net.Conn, br *bufio.Reader), f func(p *connector.Pool, opened *int)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork()
		l, err := n.Listen(address)
		is.New(t).NoErr(err)
		var wg sync.WaitGroup
		wg.Go(func() {
			for i := 0; ; i++ {
				c, err := l.Accept()
				if err != nil {
					return
				}
				wg.Go(func() {
					defer c.Close()
					script(i, c, bufio.NewReader(c))
				})
			}
		})
		started := time.Now()
		opened := 0
		p := &connector.Pool{
			Dial: n.Dialer("host"), Now: func() time.Duration { return time.Since(started) },
			RequestIDHeader: "Id", OnDial: func(connector.Purpose) { opened++ },
		}
		f(p, &opened)
		p.Close()
		l.Close()
		wg.Wait()
	})
}

// respond reads a request and writes a response to it, with the request's id if id is empty.
func respond(c net.Conn, br *bufio.Reader, id, header, body string) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if id == "" {
		id = r.Header.Get("Id")
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", id, header, body)
	return err == nil
}

func contentLength(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

func doRequest(p *connector.Pool, id string, once bool) (string, error) {
	return doRequestWith(context.Background(), p, id, once)
}

func doRequestWith(ctx context.Context, p *connector.Pool, id string, once bool) (string, error) {
	resp, err := p.Do(ctx, &connector.Request{
		Address: address, Method: http.MethodPost, Target: "/a?b=c", Host: "x", Header: http.Header{"Id": {id}}, Body: []byte("body"), AtMostOnce: once,
	})
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp)
	if !resp.Done() && err == nil {
		err = io.ErrUnexpectedEOF
	}
	return string(body), err
}

func assertSent(t *testing.T, err error, sent bool) {
	t.Helper()
	var e *connector.Error
	is := is.New(t)
	is.True(errors.As(err, &e))
	is.Equal(e.Sent, sent)
}

func TestConnectionReuse(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for respond(c, br, "", contentLength("ok")+"Keep-Alive: timeout=3\r\n", "ok") {
		}
	}, func(p *connector.Pool, opened *int) {
		is := is.New(t)
		for n := range 3 {
			body, err := doRequest(p, fmt.Sprint(n), false)
			is.NoErr(err)
			is.Equal(body, "ok")
		}
		is.Equal(*opened, 1)
		time.Sleep(2500 * time.Millisecond) // nearly the upstream's keep-alive timeout of 3 s
		_, err := doRequest(p, "late", false)
		is.NoErr(err)
		is.Equal(*opened, 2)
		time.Sleep(time.Second)
		_, err = doRequest(p, "booking", true) // must not be lost on a connection that is about to close
		is.NoErr(err)
		is.Equal(*opened, 3)
	})
}

// TestNoResend guards against resending a request when a reused connection breaks, as net/http's
// client does: one that must run at most once must fail with Sent set and must not run twice.
func TestNoResend(t *testing.T) {
	got := 0
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if respond(c, br, "", contentLength("ok"), "ok") {
			if r, err := http.ReadRequest(br); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				got++
			}
		}
	}, func(p *connector.Pool, _ *int) {
		is := is.New(t)
		_, err := doRequest(p, "first", false)
		is.NoErr(err)
		_, err = doRequest(p, "second", true)
		assertSent(t, err, true)
		is.Equal(got, 1)
	})
}

func TestDialFailureNotSent(t *testing.T) {
	runScript(t, func(int, net.Conn, *bufio.Reader) {}, func(p *connector.Pool, _ *int) {
		_, err := p.Do(context.Background(), &connector.Request{Address: "10.0.0.9:80", Method: http.MethodGet, Target: "/"})
		assertSent(t, err, false)
	})
}

// TestWithheld guards against sending a request to an upstream that stopped accepting requests while
// the connection was opened.
func TestWithheld(t *testing.T) {
	got := 0
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for respond(c, br, "", contentLength("ok"), "ok") {
			got++
		}
	}, func(p *connector.Pool, opened *int) {
		is := is.New(t)
		_, err := p.Do(context.Background(), &connector.Request{Address: address, Method: http.MethodGet, Target: "/", MaySend: func() bool { return false }})
		assertSent(t, err, false)
		var e *connector.Error
		is.True(errors.As(err, &e) && e.Withheld && !e.DialFailed)
		is.Equal(got, 0)
		_, err = doRequest(p, "next", false)
		is.NoErr(err)
		is.Equal(*opened, 1) // the connection is kept
	})
}

// TestEndedNotSent guards against a request whose context has ended and that is written over a kept connection.
func TestEndedNotSent(t *testing.T) {
	sent := 0
	for range 50 {
		runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
			for respond(c, br, "", contentLength("ok"), "ok") {
				sent++
			}
		}, func(p *connector.Pool, _ *int) {
			is := is.NewRelaxed(t)
			_, err := doRequest(p, "first", true)
			is.NoErr(err)
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			_, err = p.Do(ctx, &connector.Request{Address: address, Method: http.MethodPost, Target: "/", Host: "x", Header: http.Header{"Id": {"ended"}}, AtMostOnce: true})
			assertSent(t, err, false)
			time.Sleep(time.Second)
		})
	}
	is.New(t).Equal(sent, 50)
}

// TestStaleResponse guards against returning a late response to an earlier request, which comes
// first on a connection.
func TestStaleResponse(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		late := "late"
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: other\r\n%s\r\n%s", contentLength(late), late)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nmine", r.Header.Get("Id"), contentLength("mine"))
	}, func(p *connector.Pool, _ *int) {
		body, err := doRequest(p, "this", true)
		is.New(t).NoErr(err)
		is.New(t).Equal(body, "mine")
	})
}

// TestSecondResponseToOrder guards against returning a second response to an order, which has no id, for the request
// that is sent next on its connection.
func TestSecondResponseToOrder(t *testing.T) {
	runScript(t, func(n int, c net.Conn, br *bufio.Reader) {
		if n == 0 {
			respond(c, br, "", contentLength("taken"), "taken")
			if r, err := http.ReadRequest(br); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(c, "HTTP/1.1 202 Accepted\r\n%s\r\ntaken", contentLength("taken"))
			}
			return
		}
		respond(c, br, "", contentLength("mine"), "mine")
	}, func(p *connector.Pool, opened *int) {
		is := is.New(t)
		_, err := doRequest(p, "", true)
		is.NoErr(err)
		_, err = doRequest(p, "this", true)
		assertSent(t, err, true)
		is.Equal(*opened, 1)
		body, err := doRequest(p, "next", true)
		is.NoErr(err)
		is.Equal(body, "mine")
	})
}

func TestIncompleteResponse(t *testing.T) {
	for name, header := range map[string]string{
		"shorter than its length": "Content-Length: 100\r\n",
		"chunks without an end":   "Transfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			runScript(t, func(_ int, c net.Conn, br *bufio.Reader) { respond(c, br, "", header, "4\r\npart\r\n") }, func(p *connector.Pool, _ *int) {
				_, err := doRequest(p, "a", false)
				is.New(t).True(err != nil)
			})
		})
	}
	t.Run("body without a length ends with its connection", func(t *testing.T) {
		runScript(t, func(_ int, c net.Conn, br *bufio.Reader) { respond(c, br, "", "", "all") }, func(p *connector.Pool, _ *int) {
			body, err := doRequest(p, "a", false)
			is.New(t).NoErr(err)
			is.New(t).Equal(body, "all")
		})
	})
}

// TestEarlyResponse guards against reusing a connection whose upstream responded before it read the
// whole body, and would read the next request as the rest of that body.
func TestEarlyResponse(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		if r, err := http.ReadRequest(br); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nno", r.Header.Get("Id"), contentLength("no"))
			time.Sleep(time.Second)
			_, _ = io.Copy(io.Discard, r.Body)
		}
	}, func(p *connector.Pool, opened *int) {
		is := is.New(t)
		for n := range 2 {
			resp, err := p.Do(context.Background(), &connector.Request{
				Address: address, Method: http.MethodPost, Target: "/", Header: http.Header{"Id": {fmt.Sprint(n)}}, Body: []byte(strings.Repeat("x", 1<<20)),
			})
			is.NoErr(err)
			_, err = io.ReadAll(resp)
			is.NoErr(err)
			resp.Done()
		}
		is.Equal(*opened, 2)
	})
}

// TestIdleKeptForOthers guards against an idle connection that is closed since the request at hand
// must not run twice, though others could use it.
func TestIdleKeptForOthers(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for respond(c, br, "", contentLength("ok")+"Keep-Alive: timeout=9\r\n", "ok") {
		}
	}, func(p *connector.Pool, opened *int) {
		is := is.New(t)
		do := func(once bool, want int) {
			_, err := doRequest(p, "r", once)
			is.NoErr(err)
			is.Equal(*opened, want)
		}
		is.True(!p.HasIdle(address, "r", false))
		do(false, 1)
		is.True(p.HasIdle(address, "r", true))
		time.Sleep(time.Second)
		is.True(!p.HasIdle(address, "r", true)) // idle for too long
		is.True(p.HasIdle(address, "r", false))
		do(true, 2)
		do(true, 2)
		resp, err := p.Do(context.Background(), &connector.Request{Address: address, Method: http.MethodGet, Target: "/", Host: "x", Header: http.Header{"Id": {"g"}}})
		is.NoErr(err)
		do(false, 2) // the first connection is still open
		_, err = io.ReadAll(resp)
		is.NoErr(err)
		is.True(resp.Done())
		time.Sleep(9 * time.Second)
		is.True(!p.HasIdle(address, "r", false))
	})
}

// countedConn counts the bytes that were written.
type countedConn struct {
	net.Conn
	written int
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += n
	return n, err
}

// TestEndlessResponse guards against reading bytes that are no response into memory for as long as an upstream
// sends them.
func TestEndlessResponse(t *testing.T) {
	const sent, most = 8 << 20, 2 << 20
	for name, text := range map[string][2]string{
		"status line":               {"HTTP/1.1 200 ", "x"},
		"no response":               {"", "\x00"},
		"one header":                {"HTTP/1.1 200 OK\r\nId: a\r\nName: ", "x"},
		"many headers":              {"HTTP/1.1 200 OK\r\nId: a\r\n", "Name: x\r\n"},
		"response to another":       {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		"response to another, long": {"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			written := 0
			runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
				counted := &countedConn{Conn: c}
				defer func() { written = counted.written }()
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				_, err := io.WriteString(counted, text[0])
				for chunk := strings.Repeat(text[1], 1<<10); err == nil && counted.written < sent; {
					_, err = io.WriteString(counted, chunk)
				}
			}, func(p *connector.Pool, _ *int) {
				_, err := doRequest(p, "a", false)
				assertSent(t, err, true)
			})
			if written > most {
				t.Errorf("%d bytes were taken, want at most %d", written, most)
			}
		})
	}
}

// TestBoundedTransport guards against reading the responses of other hosts and of the platform's store
// into memory without end.
func TestBoundedTransport(t *testing.T) {
	for _, c := range []struct {
		size  int
		fails bool
	}{{0, false}, {1 << 10, false}, {1 << 16, false}, {1<<16 + 1, true}, {8 << 20, true}} {
		t.Run(fmt.Sprint(c.size), func(t *testing.T) {
			runScript(t, func(_ int, c2 net.Conn, br *bufio.Reader) {
				respond(c2, br, "", "", strings.Repeat("x", c.size))
			}, func(p *connector.Pool, _ *int) {
				is := is.New(t)
				base := &http.Transport{DialContext: p.Dial}
				client := &http.Client{Transport: &connector.BoundedTransport{Base: base, MaxBytes: 1 << 16}}
				resp, err := client.Get("http://" + address)
				is.NoErr(err)
				body, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				client.CloseIdleConnections()
				var large *connector.TooLargeError
				is.Equal(errors.As(err, &large), c.fails)
				is.True(len(body) <= 1<<16)
			})
		})
	}
}

// TestUndelimitedResponse guards against taking a response that ends with its connection for whole where the
// connection is reset.
func TestUndelimitedResponse(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(proto, ", reset ", reset), func(t *testing.T) {
				is := is.New(t)
				l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
				is.NoErr(err)
				defer l.Close()
				var served sync.WaitGroup
				served.Go(func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer c.Close()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, _ = io.WriteString(c, proto+" 200 OK\r\nId: a\r\n\r\nall")
					if reset {
						time.Sleep(50 * time.Millisecond) // the reset comes after the bytes
						_ = c.(*net.TCPConn).SetLinger(0)
					}
				})
				p := &connector.Pool{Now: func() time.Duration { return time.Second }, RequestIDHeader: "Id"}
				defer p.Close()
				resp, err := p.Do(context.Background(), &connector.Request{Address: l.Addr().String(), Method: http.MethodGet, Target: "/", Host: "x", Header: http.Header{"Id": {"a"}}})
				is.NoErr(err)
				body, err := io.ReadAll(resp)
				is.Equal(string(body), "all")
				is.Equal(err != nil, reset)
				is.Equal(resp.Done(), !reset)
				is.True(!p.HasIdle(l.Addr().String(), "r", false))
				served.Wait()
			})
		}
	}
}
