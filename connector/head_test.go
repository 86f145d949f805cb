package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/connector"
)

// TestIncompleteHead guards against taking a response for whole whose head ends early with its connection, at each of its
// bytes, over a fresh and a kept connection.
func TestIncompleteHead(t *testing.T) {
	for _, header := range []string{"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"} {
		head := "HTTP/1.1 200 OK\r\nId: a\r\nStamp: s\r\n" + header + "\r\n"
		for end := range head {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%q, kept %t", head[:end], kept), func(t *testing.T) {
					is := is.New(t)
					script := func(_ int, c net.Conn, br *bufio.Reader) {
						if kept && !respond(c, br, "", contentLength("ok"), "ok") {
							return
						}
						if _, err := http.ReadRequest(br); err == nil {
							_, _ = c.Write([]byte(head[:end]))
						}
					}
					runScript(t, script, func(p *connector.Pool, opened *int) {
						if kept {
							_, err := doRequest(p, "first", false)
							is.NoErr(err)
						}
						_, err := doRequest(p, "a", false)
						assertSent(t, err, true)
						is.Equal(*opened, 1)
					})
				})
			}
		}
	}
}

// TestInterimResponse guards against taking an interim response for the one to the request.
func TestInterimResponse(t *testing.T) {
	script := func(_ int, c net.Conn, br *bufio.Reader) {
		for {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			id := r.Header.Get("Id")
			_, _ = c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nId: " + id + "\r\n\r\n"))
			if id == "cut" {
				return
			}
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n%s", id, contentLength("ok"), "ok"); err != nil {
				return
			}
		}
	}
	runScript(t, script, func(p *connector.Pool, opened *int) {
		is := is.New(t)
		for _, id := range []string{"a", "b"} {
			body, err := doRequest(p, id, false)
			is.NoErr(err)
			is.Equal(body, "ok")
		}
		is.Equal(*opened, 1)
		_, err := doRequest(p, "cut", false)
		assertSent(t, err, true)
	})
}

// TestManyHeaderLines guards against a head of short lines, which take many times their size once they are parsed. Its body
// does not count, nor does an interim response.
func TestManyHeaderLines(t *testing.T) {
	const body = "\n\n\n\n"
	for _, c := range []struct {
		lines int
		fails bool
	}{{1, false}, {400, false}, {600, true}, {9000, true}} {
		for _, interim := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d lines, interim %t", c.lines, interim), func(t *testing.T) {
				runScript(t, func(_ int, conn net.Conn, br *bufio.Reader) {
					for {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						head := ""
						if interim {
							head = "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("b: c\r\n", 400) + "\r\n"
						}
						head += "HTTP/1.1 200 OK\r\nId: a\r\n" + contentLength(strings.Repeat(body, 1000)) + strings.Repeat("b:\r\n", c.lines)
						if _, err := conn.Write([]byte(head + "\r\n" + strings.Repeat(body, 1000))); err != nil {
							return
						}
					}
				}, func(p *connector.Pool, opened *int) {
					is := is.NewRelaxed(t)
					for range 2 {
						got, err := doRequest(p, "a", false)
						is.Equal(err != nil, c.fails)
						is.Equal(len(got) == 1000*len(body), !c.fails)
					}
					is.Equal(*opened == 1, !c.fails)
				})
			})
		}
	}
}

// assertNoResponse checks that a request fails as sent, at once, if its upstream writes bytes in place of a response, alone
// or before a sound response, and keeps the connection open.
func assertNoResponse(t *testing.T, bytes string) {
	t.Helper()
	for _, next := range []string{"", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nother"} {
		t.Run(fmt.Sprintf("%q", bytes+next), func(t *testing.T) {
			runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					if _, err := c.Write([]byte(bytes + next)); err != nil {
						return
					}
				}
			}, func(p *connector.Pool, opened *int) {
				is := is.NewRelaxed(t)
				for n := range 2 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					body, err := doRequestWith(ctx, p, "a", false)
					is.Equal(body, "")
					var e *connector.Error
					is.True(errors.As(err, &e) && e.Sent)
					is.NoErr(ctx.Err())
					is.Equal(*opened, n+1)
					cancel()
				}
			})
		})
	}
}

// TestStatusBelow100 guards against taking a response with such a status for an interim one, and what follows it for the
// response.
func TestStatusBelow100(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "-00", "+99"} {
		for _, header := range []string{"", "Content-Length: 2\r\n", "Connection: close\r\n"} {
			assertNoResponse(t, "HTTP/1.1 "+status+" No\r\nId: a\r\n"+header+"\r\n")
		}
	}
}

// TestInvalidFieldName guards against taking a response for sound that has a field whose name is none: such a field may be
// its framing or its signature.
func TestInvalidFieldName(t *testing.T) {
	for _, line := range []string{
		"X y: 1", "X : 1", "X\t: 1", "X\ty: 1", " X: 1", "\tX: 1", "X\x01y: 1", "X\x00: 1", "\x7fX: 1", "X\x0b: 1", "X\r: 1", ": 1", "X", "X\u00e9: 1",
		"Content-Length : 2", " Content-Length: 2", "Transfer-Encoding : chunked", "Connection : close",
	} {
		assertNoResponse(t, "HTTP/1.1 200 OK\r\nId: a\r\n"+line+"\r\n\r\n")
		assertNoResponse(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
		assertNoResponse(t, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n"+line+"\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok")
	}
}

// TestOddFields guards against refusing a sound response.
func TestOddFields(t *testing.T) {
	for _, line := range []string{
		"a!#$%&'*+-.^_`|~9: 1", "X:", "X:1", "X: a \t b ", "X: \u00e9", "x: 1\r\nX: 2", "9: 1", "X: 1\nY: 2", "X: 1\r\nY:",
	} {
		for _, head := range []string{"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 100 Continue\r\n" + line + "\r\n\r\nHTTP/1.1 200 OK"} {
			t.Run(fmt.Sprintf("%q", head+line), func(t *testing.T) {
				runScript(t, func(_ int, c net.Conn, br *bufio.Reader) {
					for {
						if _, err := http.ReadRequest(br); err != nil {
							return
						}
						// The body begins like a folded line.
						if _, err := c.Write([]byte(head + "\r\nId: a\r\n" + line + "\r\nContent-Length: 3\r\n\r\n ok")); err != nil {
							return
						}
					}
				}, func(p *connector.Pool, opened *int) {
					is := is.NewRelaxed(t)
					for range 2 {
						body, err := doRequest(p, "a", false)
						is.NoErr(err)
						is.Equal(body, " ok")
					}
					is.Equal(*opened, 1)
				})
			})
		}
	}
}
