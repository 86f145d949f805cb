package faker_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// TestWriteBeforeRead guards against two ends of a connection that each block in a write until the
// other reads, which stops virtual time.
func TestWriteBeforeRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := faker.NewNetwork()
		l, err := n.Listen("10.0.0.1:1")
		is.NoErr(err)
		defer l.Close()
		go func() {
			c, err := l.Accept()
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(time.Second)))
			_, err = c.Write([]byte("alert"))
			is.NoErr(err)
		}()
		c, err := n.Dialer("caller")(context.Background(), "tcp", "10.0.0.1:1")
		is.NoErr(err)
		is.NoErr(c.SetDeadline(time.Now().Add(time.Second)))
		_, err = c.Write([]byte("alert"))
		is.NoErr(err)
		time.Sleep(2 * time.Second)
		is.NoErr(c.Close())
		time.Sleep(2 * time.Second)
	})
}
