package registrar_test

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/registrar"
	"github.com/sardineward/sardineward/storer"
)

// testHost is a running registrar with a clock that a test can advance.
type testHost struct {
	*registrar.Registrar
	cancel context.CancelFunc
	done   chan struct{}
	// disabled is set while the host can't fulfil duties.
	disabled atomic.Bool
	// suspended is how long the host has been suspended in total, in nanoseconds.
	suspended atomic.Int64
}

// start runs a registrar on a store that is never restored from a copy.
func start(store storer.Store, name string, free func() []string) *testHost {
	return startWithEra(store, name, free, nil)
}

// startWithEra runs a registrar on a store with the given era.
func startWithEra(store storer.Store, name string, free func() []string, era func() int64) *testHost {
	return startLogging(store, name, free, era, zerolog.Nop())
}

// startLogging is startWithEra with a log.
func startLogging(store storer.Store, name string, free func() []string, era func() int64, log zerolog.Logger) *testHost {
	started := time.Now()
	h := &testHost{done: make(chan struct{})}
	h.Registrar = &registrar.Registrar{
		Store: store, Entry: registrar.Entry{Name: name, Address: name + ":1", DataCentre: "a"},
		Now: func() time.Duration { return time.Since(started) + time.Duration(h.suspended.Load()) }, FreeDuties: free, Era: era, Log: log,
		DutiesDisabled: h.disabled.Load,
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() {
		defer close(h.done)
		h.Run(ctx)
	}()
	return h
}

func (h *testHost) stop() {
	h.cancel()
	<-h.done
}

// freeDuty lists data centre "a" while the store has no holder of its duty.
func freeDuty(store storer.Store) func() []string {
	return func() []string {
		if _, err := store.Get(context.Background(), registrar.DutyPrefix+"a"); errors.Is(err, storer.ErrNotFound) {
			return []string{"a"}
		}
		return nil
	}
}

// TestDutyTakenLoggedOnce guards against a log line at each renewal of a duty that the host holds.
func TestDutyTakenLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		h := startLogging(new(faker.Platform), "one", func() []string { return []string{"a"} }, nil, zerolog.New(&out))
		time.Sleep(10 * time.Second)
		h.stop()
		is.New(t).Equal(strings.Count(out.String(), "duty taken"), 1)
	})
}

func TestDutyHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(faker.Platform)
		one, two := start(store, "one", freeDuty(store)), start(store, "two", freeDuty(store))
		time.Sleep(3 * time.Second)
		is.True(one.Holding("a") != two.Holding("a")) // one of them
		is.True(!one.Holding("b") && !two.Holding("b"))
		holder, other := one, two
		if two.Holding("a") {
			holder, other = two, one
		}
		holder.stop()
		time.Sleep(2 * time.Second)
		is.True(!holder.Holding("a"))
		is.True(other.Holding("a")) // handed over at the stop
		other.stop()
		_, err := store.Get(context.Background(), registrar.HostPrefix+"one")
		is.True(errors.Is(err, storer.ErrNotFound))
	})
}

// TestKilledHolder guards against seconds in which no host gives orders, after the holder of the
// duty was killed and started again.
func TestKilledHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(faker.Platform)
		value := []byte("one")
		lease, err := store.Grant(t.Context(), 3*time.Second) // of the killed process
		is.NoErr(err)
		_, err = store.Swap(t.Context(), storer.Write{Key: registrar.DutyPrefix + "a", Value: value, Lease: lease})
		is.NoErr(err)
		always := func() []string { return []string{"a"} }
		two := start(store, "two", always)
		time.Sleep(200 * time.Millisecond)
		one := start(store, "one", always)
		time.Sleep(500 * time.Millisecond)
		is.True(one.Holding("a"))
		is.True(!two.Holding("a"))
		time.Sleep(5 * time.Second) // past the old lease
		is.True(one.Holding("a"))
		is.True(!two.Holding("a"))
		one.stop()
		two.stop()
	})
}

// TestSuspendedHolder guards against a suspended host that still believes that it holds its duty.
func TestSuspendedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(faker.Platform)
		h := start(store, "one", freeDuty(store))
		time.Sleep(2 * time.Second)
		is.True(h.Holding("a"))
		h.suspended.Store(int64(5 * time.Second))
		is.True(!h.Holding("a"))
		is.True(!h.HoldingAny())
		h.stop()
	})
}

// TestStoreUnavailable guards against a duty that outlives its lease, or that is never taken again.
func TestStoreUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(faker.Platform)
		h := start(store, "one", freeDuty(store))
		time.Sleep(2 * time.Second)
		store.SetFaults(faker.Faults{Unavailable: true})
		time.Sleep(4 * time.Second)
		is.True(!h.Holding("a"))
		store.SetFaults(faker.Faults{})
		time.Sleep(4 * time.Second)
		is.True(h.Holding("a"))
		h.stop()
	})
}

// informingStore is a store that reports the current entry in a conflict. It counts reads.
type informingStore struct {
	*faker.Platform
	reads atomic.Int64
}

func (s *informingStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	s.reads.Add(1)
	return s.Platform.Get(ctx, key)
}

func (s *informingStore) Swap(ctx context.Context, w storer.Write) (int64, error) {
	revision, err := s.Platform.Swap(ctx, w)
	if errors.Is(err, storer.ErrConflict) {
		current, _ := s.Platform.Get(ctx, w.Key)
		err = &storer.ConflictError{Current: current}
	}
	return revision, err
}

// TestNoReadAfterConflict guards against a read by each host of a fleet that starts, where all but
// one find the duty taken.
func TestNoReadAfterConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := &informingStore{Platform: new(faker.Platform)}
		always := func() []string { return []string{"a"} }
		lease, err := store.Grant(t.Context(), 3*time.Second) // of a killed process
		is.NoErr(err)
		_, err = store.Swap(t.Context(), storer.Write{Key: registrar.HostPrefix + "one", Value: []byte("{}"), Lease: lease})
		is.NoErr(err)
		one, two := start(store, "one", always), start(store, "two", always)
		time.Sleep(5 * time.Second)
		is.True(one.Holding("a") != two.Holding("a"))
		is.Equal(store.reads.Load(), int64(0))
		_, err = store.Get(t.Context(), registrar.HostPrefix+"one")
		is.NoErr(err) // it outlives the lease of the killed process
		one.stop()
		two.stop()
	})
}

// TestLeaseInLargeFleet guards against renewals whose number grows with the hosts and against
// a lease that ends because the store does not answer for a second.
func TestLeaseInLargeFleet(t *testing.T) {
	for _, c := range []struct{ hosts, most, least int }{{4, 39, 37}, {137, 27, 24}} {
		t.Run(strconv.Itoa(c.hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := new(faker.Platform)
				h := &registrar.Registrar{
					Store: store, Entry: registrar.Entry{Name: "one", Address: "1", DataCentre: "a"}, Now: clock(),
					FreeDuties: func() []string { return nil }, Hosts: func() int { return c.hosts }, Log: zerolog.Nop(),
				}
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					h.Run(ctx)
				}()
				time.Sleep(5 * time.Second)
				before := store.Calls()
				time.Sleep(30 * time.Second)
				calls := int(store.Calls() - before)
				is.True(calls <= c.most && calls >= c.least)
				entry := func() int64 {
					e, err := store.Get(t.Context(), registrar.HostPrefix+"one")
					is.NoErr(err)
					return e.Revision
				}
				first := entry()
				for range 10 { // outages of one or two heartbeats
					store.SetFaults(faker.Faults{Delay: 5 * time.Second})
					time.Sleep(1150 * time.Millisecond)
					store.SetFaults(faker.Faults{})
					time.Sleep(2400 * time.Millisecond)
					is.Equal(entry(), first) // the lease has not ended
				}
				store.SetFaults(faker.Faults{Delay: 5 * time.Second})
				before = store.Calls()
				time.Sleep(12 * time.Second)
				// Up to four while the lease may last, then one in 1.6 s as in a small fleet.
				is.True(float64(store.Calls()-before) <= 4+12/1.6)
				store.SetFaults(faker.Faults{})
				time.Sleep(2 * time.Second)
				entry()
				cancel()
				<-done
			})
		})
	}
}

// clock returns a clock that starts at 0.
func clock() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) }
}

// TestDutiesGivenUp guards against a host that keeps a duty which it can't fulfil, so that nobody does.
func TestDutiesGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := new(faker.Platform)
		free := func() []string { return []string{"a"} }
		a := start(store, "host-a", free)
		defer a.stop()
		time.Sleep(100 * time.Millisecond)
		is.True(a.Holding("a"))
		b := start(store, "host-b", free)
		defer b.stop()
		a.disabled.Store(true)
		time.Sleep(2 * time.Second)
		is.True(!a.Holding("a"))
		is.True(b.Holding("a"))
		_, err := store.Get(context.Background(), registrar.HostPrefix+"host-a")
		is.NoErr(err) // still listed
		a.disabled.Store(false)
		time.Sleep(2 * time.Second)
		is.True(!a.Holding("a") && b.Holding("a"))
	})
}
