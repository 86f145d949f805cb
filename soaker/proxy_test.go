package soaker

import (
	"bufio"
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// startProxy starts a proxy to a server that accepts nothing by itself, until the test ends.
func startProxy(t *testing.T) (p *Proxy, server net.Listener, address string) {
	t.Helper()
	is := is.New(t)
	server, err := listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { server.Close() })
	p = &Proxy{Target: server.Addr().String()}
	address, err = p.Start("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(p.Close)
	return p, server, address
}

// TestDelivered guards against checks that take a response for received which the link has dropped, or the other way
// round.
func TestDelivered(t *testing.T) {
	for _, tc := range []struct {
		mode      Mode
		delivered bool
	}{{ModePass, true}, {ModeSlow, true}, {ModeOneWay, false}} {
		t.Run(tc.mode.String(), func(t *testing.T) {
			is := is.New(t)
			p, server, address := startProxy(t)
			client, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer client.Close()
			conn, err := server.Accept()
			is.NoErr(err)
			defer conn.Close()
			exchange := func() (at time.Time) {
				_, err := client.Write([]byte("request\n"))
				is.NoErr(err)
				_, err = bufio.NewReader(conn).ReadString('\n')
				is.NoErr(err)
				at = time.Now()
				_, err = conn.Write([]byte("response\n"))
				is.NoErr(err)
				time.Sleep(2 * slowDelay)
				return at
			}
			from := conn.RemoteAddr().String()
			is.True(p.Delivered(from, exchange()))
			p.SetMode(tc.mode)
			is.Equal(p.Delivered(from, exchange()), tc.delivered)
			is.True(!p.Delivered(from, time.Now()))
			p.SetMode(ModePass)
			is.Equal(p.Delivered(from, exchange()), tc.delivered) // nothing is received after a gap
		})
	}
}

// TestReopen guards against an upstream whose crash looks like a link that resets connections.
func TestReopen(t *testing.T) {
	is := is.New(t)
	p, server, address := startProxy(t)
	connect := func() error {
		client, err := net.Dial("tcp", address)
		if err == nil {
			defer client.Close()
			_, err = server.Accept()
		}
		return err
	}
	is.NoErr(connect())
	p.Close()
	is.True(errors.Is(connect(), syscall.ECONNREFUSED))
	is.NoErr(p.Reopen())
	is.NoErr(connect())
}
