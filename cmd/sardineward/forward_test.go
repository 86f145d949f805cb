package main

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/platform"
	"github.com/sardineward/sardineward/storer"
)

// TestInvalidStoreResponse guards against acting on a response of the store whose head is invalid.
func TestInvalidStoreResponse(t *testing.T) {
	const body = "Content-Length: 32\r\n\r\n" + `{"key":"a","revision":3,"era":1}`
	for _, head := range []string{"HTTP/1.1 000 No\r\n", "HTTP/1.1 099 No\r\n", "HTTP/1.1 200 OK\r\nX y: 1\r\n", "HTTP/1.1 200 OK\r\nStore-Era : 9\r\n"} {
		t.Run(head, func(t *testing.T) {
			is := is.New(t)
			u := &faker.RawUpstream{Respond: func(c net.Conn, br *bufio.Reader) bool {
				return faker.WriteWhole(c, br, func(*http.Request) string { return head + body })
			}}
			address, err := u.Start()
			is.NoErr(err)
			defer u.Close()
			s := &platform.Store{Address: address, HTTP: storeClient(), Timeout: time.Second, Log: zerolog.Nop()}
			_, err = s.Get(context.Background(), "a")
			is.True(errors.Is(err, storer.ErrUnavailable))
			_, err = s.Swap(context.Background(), storer.Write{Key: "a", Value: []byte("b")})
			is.True(errors.Is(err, storer.ErrUncertain))
		})
	}
}
