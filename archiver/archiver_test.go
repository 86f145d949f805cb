package archiver_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/archiver"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/isolator"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/tracker"
)

// host is what one host knows of crashing parts, and its clock, which starts anew with it.
type host struct {
	isolator.Isolator
	archiver *archiver.Archiver
	suspects tracker.Suspects
	now      func() time.Duration
	// loadedBefore is whether it knew the stored parts before it read them.
	loadedBefore bool
}

// startHost starts a host on a store; it runs until the returned function is called.
func startHost(store storer.Store) (h *host, stop func()) {
	started := time.Now()
	h = &host{now: func() time.Duration { return time.Since(started) }}
	h.archiver = &archiver.Archiver{Store: store, Isolator: &h.Isolator, Suspects: &h.suspects, Now: h.now, Log: zerolog.Nop()}
	h.archiver.Init()
	changed := func(s isolator.State, learned bool) {
		if !learned {
			h.archiver.Changed(s)
		}
	}
	h.OnIsolate, h.OnRelease = changed, changed
	h.loadedBefore = h.archiver.Loaded()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { h.archiver.Run(ctx); close(done) }()
	go h.load(ctx, store)
	return h, func() { cancel(); <-done }
}

// load reads the record from the store until that succeeds, as a starting host reads everything.
func (h *host) load(ctx context.Context, store storer.Store) {
	for ctx.Err() == nil {
		e, err := store.Get(ctx, archiver.Key)
		if err == nil || errors.Is(err, storer.ErrNotFound) {
			h.archiver.Load(e.Value)
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
}

// isolate has a part crash some upstreams.
func (h *host) isolate(id string) {
	time.Sleep(3 * time.Second)
	for n := range 3 {
		h.RecordCrash(h.now(), []isolator.Part{isolator.ParsePart(id)}, 1, fmt.Sprint("upstream-", n))
		time.Sleep(200 * time.Millisecond)
	}
}

// run calls f in virtual time with a store.
func run(t *testing.T, f func(is *is.I, store *faker.Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { f(is.New(t), new(faker.Platform)) })
}

// assertIsolated checks how many parts a host that starts now knows to be isolated.
func assertIsolated(is *is.I, store storer.Store, want int) {
	is.Helper()
	h, stop := startHost(store)
	defer stop()
	is.True(!h.loadedBefore)
	time.Sleep(time.Millisecond)
	is.True(h.archiver.Loaded())
	is.Equal(len(h.Isolated()), want)
}

// TestHostsStartAnew guards against hosts that all start anew and have each crashing part crash upstreams
// again.
func TestHostsStartAnew(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		h.isolate("bad")
		h.isolate("worse")
		stop()
		assertIsolated(is, store, 2)
		h, stop = startHost(store)
		time.Sleep(time.Second)
		is.True(h.Release(h.now(), "bad"))
		time.Sleep(time.Second)
		stop()
		assertIsolated(is, store, 1)
	})
}

// TestReleasedElsewhere guards against keeping a part in the store that another host has found to be sound.
func TestReleasedElsewhere(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		h.isolate("sound")
		time.Sleep(time.Second)
		is.True(h.archiver.HasStored("sound"))
		list := h.Isolated()
		list[0].AnsweredAt = h.Time(h.now())
		h.OnRelease = func(s isolator.State, _ bool) {
			if h.archiver.HasStored(s.Part) {
				h.archiver.Changed(s)
			}
		}
		h.Merge(h.now(), list)
		time.Sleep(time.Second)
		is.True(!h.archiver.HasStored("sound"))
		stop()
		assertIsolated(is, store, 0)
	})
}

// TestStoreAway guards against losing a part that is isolated while the store does not answer, and against
// waiting for the store for ever.
func TestStoreAway(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		store.SetFaults(faker.Faults{Unavailable: true})
		h, stop := startHost(store)
		defer stop()
		time.Sleep(time.Second)
		is.True(!h.archiver.Loaded())
		time.Sleep(time.Second)
		is.True(h.archiver.Loaded())
		h.isolate("bad")
		is.Equal(len(h.Isolated()), 1)
		store.SetFaults(faker.Faults{})
		time.Sleep(2 * time.Second)
		assertIsolated(is, store, 1)
	})
}

// TestConcurrentWrites guards against hosts that overwrite what others store.
func TestConcurrentWrites(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		const hosts = 8
		for n := range hosts {
			h, stop := startHost(store)
			defer stop()
			go h.isolate(fmt.Sprint("bad-", n))
		}
		time.Sleep(20 * time.Second)
		assertIsolated(is, store, hosts)
	})
}

// TestInvalidValue guards against a host that does not start, or never stores a part, since the stored
// value can't be read.
func TestInvalidValue(t *testing.T) {
	for _, value := range []string{"", "{", `{"parts":[{"part":"","isolatedAtMs":1}]}`, `{"parts":[{"part":"bad","isolatedAtMs":-1}]}`, `{"parts":[{"part":"bad","isolatedAtMs":1,"workspace":"x"}]}`} {
		t.Run(value, func(t *testing.T) {
			run(t, func(is *is.I, store *faker.Platform) {
				_, err := store.Swap(context.Background(), storer.Write{Key: archiver.Key, Value: []byte(value)})
				is.NoErr(err)
				h, stop := startHost(store)
				h.isolate("bad")
				time.Sleep(time.Second)
				stop()
				assertIsolated(is, store, 1)
			})
		})
	}
}
