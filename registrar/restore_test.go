package registrar_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// TestStoreRestored guards against two holders of a duty: a store restored from a copy may hold
// the lease of one host and the duty of another.
func TestStoreRestored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(faker.Platform)
		var era atomic.Int64
		a := startWithEra(store, "a", freeDuty(store), era.Load)
		defer a.stop()
		time.Sleep(2 * time.Second)
		is.True(a.Holding("a"))
		era.Add(1)
		is.True(!a.Holding("a")) // at once
		is.True(!a.HoldingAny())
		time.Sleep(8 * time.Second)
		is.True(a.Holding("a")) // taken anew once the old lease is over
	})
}
