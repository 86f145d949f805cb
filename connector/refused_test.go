package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
)

// exchange sends a request and reads its response whole.
func exchange(t *testing.T, p *connector.Pool, id string) (status int, use connector.ConnUse) {
	t.Helper()
	is := is.NewRelaxed(t)
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
		is := is.NewRelaxed(t)
		skipped := 0
		p.OnSkipped = func() { skipped++ }
		_, use := exchange(t, p, "a")
		is.Equal(use, connector.ConnUse{})
		_, use = exchange(t, p, "b")
		is.Equal(use, connector.ConnUse{Earlier: 1, Skipped: 1})
		is.Equal(skipped, 1)
	})
}

// TestCopiedRefusal guards against a copy of a refusal that is taken for the response to the same request once it is sent
// again.
func TestCopiedRefusal(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusBadRequest} {
		for _, others := range []int{0, 1, 8, 200} {
			for _, copies := range []int{1, 2} {
				t.Run(fmt.Sprintf("status %d, %d others, %d copies", status, others, copies), func(t *testing.T) {
					refused := false
					runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
						refusedHere := false
						for {
							r, err := http.ReadRequest(br)
							if err != nil {
								return
							}
							_, _ = io.Copy(io.Discard, r.Body)
							id := r.Header.Get("Id")
							refusal := fmt.Sprintf("HTTP/1.1 %d Refused\r\nId: x\r\nContent-Length: 0\r\n\r\n", status)
							text := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\nok", id, contentLength("ok"))
							switch {
							case id == "x" && !refused:
								refused, refusedHere = true, true
								text = refusal
							case id == "x" && refusedHere:
								text = strings.Repeat(refusal, copies) + text
							}
							if _, err := io.WriteString(c, text); err != nil {
								return
							}
						}
					}, func(p *connector.Pool, _ *int) {
						is := is.NewRelaxed(t)
						got, _ := exchange(t, p, "x")
						is.Equal(got, status)
						for n := range others {
							got, _ = exchange(t, p, fmt.Sprint("other", n))
							is.Equal(got, http.StatusOK)
						}
						got, _ = exchange(t, p, "x")
						is.Equal(got, http.StatusOK)
					})
				})
			}
		}
	}
}

// TestManyRefused guards against a connection that remembers refused requests without end.
func TestManyRefused(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nId: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id")); err != nil {
				return
			}
		}
	}, func(p *connector.Pool, opened *int) {
		for n := range 320 {
			exchange(t, p, fmt.Sprint(n))
		}
		is.New(t).Equal(*opened, 10)
		exchange(t, p, "319") // its last connection is closed
		exchange(t, p, "319")
		is.New(t).Equal(*opened, 12)
	})
}

// TestCopiedRefusalOfOrder guards against a copy of the refusal of an order, which has no id, that is taken for the response to
// the next one.
func TestCopiedRefusalOfOrder(t *testing.T) {
	runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
		copied := ""
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
			if r.URL.Path == "/refused" {
				text = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n"
				copied = text
			} else {
				text = copied + text
			}
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
		}
	}, func(p *connector.Pool, opened *int) {
		is := is.NewRelaxed(t)
		order := func(target string, status int) {
			resp, err := p.Do(context.Background(), &connector.Request{
				Address: address, Method: http.MethodPost, Target: target, Host: "x", Header: http.Header{}, Purpose: connector.PurposeControl, AtMostOnce: true,
			})
			is.NoErr(err)
			_, err = io.ReadAll(resp)
			is.NoErr(err)
			is.True(resp.Done())
			is.Equal(resp.StatusCode, status)
		}
		order("/refused", http.StatusConflict)
		order("/taken", http.StatusAccepted)
		order("/taken", http.StatusAccepted)
		is.Equal(*opened, 2)
	})
}
