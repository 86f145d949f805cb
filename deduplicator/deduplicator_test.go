package deduplicator_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/checker"
	"github.com/sardineward/sardineward/deduplicator"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/storer"
)

const retention = 10 * time.Minute

// fleet is a set of deduplicators that query each other directly.
type fleet struct {
	t     *testing.T
	store storer.Store
	// buckets is set before start.
	buckets int
	mu      sync.Mutex
	hosts   map[string]*deduplicator.Deduplicator
	runs    map[string]int
}

func newFleet(t *testing.T, store storer.Store) *fleet {
	return &fleet{t: t, store: store, buckets: 2, hosts: make(map[string]*deduplicator.Deduplicator), runs: make(map[string]int)}
}

// start starts a host, and stops the one that had this name before.
func (f *fleet) start(name string, incarnation int64, skew time.Duration) *deduplicator.Deduplicator {
	d := &deduplicator.Deduplicator{
		Store: f.store, Host: name, Incarnation: incarnation, ClaimQuerier: f, Buckets: f.buckets, Retention: retention, CommitTimeout: 3 * time.Second,
		Checker: &checker.Checker{Fail: func(v checker.Violation) { f.t.Error(v) }},
		Clock:   func() time.Time { return time.Now().Add(skew) },
	}
	d.Start()
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.hosts[name]; old != nil {
		old.Stop()
	}
	f.hosts[name] = d
	return d
}

func (f *fleet) host(name string) *deduplicator.Deduplicator {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hosts[name]
}

// QueryClaim implements deduplicator.ClaimQuerier.
func (f *fleet) QueryClaim(_ context.Context, rec deduplicator.Record) (running, abandoned bool, err error) {
	d := f.host(rec.Host)
	if d == nil {
		return false, false, errors.New("no such host")
	}
	running, abandoned = d.ClaimState(rec.Incarnation, rec.Nonce)
	return running, abandoned, nil
}

func (f *fleet) stop() {
	for _, d := range f.hosts {
		d.Stop()
		d.Wait()
	}
}

// countedDispatch returns a dispatch that counts a run of key and takes the given time.
func (f *fleet) countedDispatch(key string, took time.Duration, known bool) deduplicator.Dispatch {
	return func(context.Context) (deduplicator.Outcome, bool, bool) {
		f.mu.Lock()
		f.runs[key]++
		f.mu.Unlock()
		time.Sleep(took)
		return deduplicator.Outcome{Status: 200, Body: []byte("ran " + key)}, true, known
	}
}

func failedDispatch(context.Context) (deduplicator.Outcome, bool, bool) {
	return deduplicator.Outcome{}, false, false
}

func (f *fleet) assertAtMostOnce() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for key, n := range f.runs {
		if n > 1 {
			f.t.Errorf("call %s ran %d times", key, n)
		}
	}
}

func call(key string) deduplicator.Call {
	return deduplicator.Call{RequestID: "r", Key: key, Digest: "d"}
}

// TestRandomRepeats guards against a call that runs twice while clocks differ, the platform fails
// and hosts are replaced.
func TestRandomRepeats(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { randomRepeats(t, seed) })
		})
	}
}

func randomRepeats(t *testing.T, seed uint64) {
	const (
		calls   = 400
		repeats = 4
	)
	rnd := rand.New(rand.NewPCG(seed, 1))
	platform := new(faker.Platform)
	f := newFleet(t, platform)
	skews := []time.Duration{0, 2 * time.Minute, -2 * time.Minute}
	for i, s := range skews {
		f.start(fmt.Sprint("h", i), 1, s)
	}
	var wg sync.WaitGroup
	var lossMu sync.Mutex
	loss := rand.New(rand.NewPCG(seed, 2))
	loseAnswer := func(storer.Write) bool {
		lossMu.Lock()
		defer lossMu.Unlock()
		return loss.IntN(3) == 0
	}
	for n := range calls {
		key := fmt.Sprint("k", n)
		for range 1 + rnd.IntN(repeats) {
			after := time.Duration(rnd.IntN(3)) * time.Duration(rnd.IntN(90)) * time.Second
			host, kind, took := fmt.Sprint("h", rnd.IntN(3)), rnd.IntN(5), time.Duration(rnd.IntN(3000))*time.Millisecond
			wg.Go(func() {
				time.Sleep(after)
				dispatch := f.countedDispatch(key, took, kind != 1)
				if kind == 0 {
					dispatch = failedDispatch
				}
				ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
				defer cancel()
				out, _, err := f.host(host).Do(ctx, call(key), dispatch)
				if err == nil && string(out.Body) != "ran "+key {
					t.Errorf("call %s answered %q", key, out.Body)
				}
			})
		}
		switch rnd.IntN(12) {
		case 0:
			platform.SetFaults(faker.Faults{Unavailable: true})
		case 1:
			platform.SetFaults(faker.Faults{LoseResponse: loseAnswer})
		case 2:
			platform.SetFaults(faker.Faults{Delay: 2 * time.Second})
		case 3:
			i := rnd.IntN(3)
			f.start(fmt.Sprint("h", i), int64(n+2), skews[i])
		default:
			platform.SetFaults(faker.Faults{})
		}
		time.Sleep(time.Duration(rnd.IntN(10)) * time.Second)
	}
	wg.Wait()
	platform.SetFaults(faker.Faults{})
	f.stop()
	f.assertAtMostOnce()
	keys, bytes := platform.Keys()
	t.Logf("seed %d: %d of %d calls ran, %d keys, %d bytes", seed, len(f.runs), calls, keys, bytes)
}

// TestTurnOfGeneration guards against a repeat that runs again because the generation that holds the
// record was sealed in between and the repeat only looked at the new one.
func TestTurnOfGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, new(faker.Platform))
		f.buckets = 1
		a, b := f.start("a", 1, 0), f.start("b", 1, -3*time.Minute)
		is := is.New(t)
		for n := range 350 {
			key := fmt.Sprint("k", n)
			_, ran, err := a.Do(t.Context(), call(key), f.countedDispatch(key, 0, true))
			is.NoErr(err)
			is.True(ran)
		}
		for n := range 350 {
			key := fmt.Sprint("k", n)
			out, ran, err := b.Do(t.Context(), call(key), f.countedDispatch(key, 0, true))
			is.NoErr(err)
			is.True(!ran)
			is.Equal(string(out.Body), "ran "+key)
		}
		f.stop()
		f.assertAtMostOnce()
	})
}

// TestExpiry runs calls for hours. Records past their retention must be deleted, together with their
// whole generation.
func TestExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := new(faker.Platform)
		f := newFleet(t, platform)
		d := f.start("a", 1, 0)
		for n := range 2000 {
			key := fmt.Sprint("k", n)
			_, _, err := d.Do(t.Context(), call(key), f.countedDispatch(key, 0, true))
			is.New(t).NoErr(err)
			time.Sleep(5 * time.Second)
		}
		f.stop()
		keys, bytes := platform.Keys()
		t.Logf("%d keys, %d bytes", keys, bytes)
		is.New(t).True(keys < 20)
	})
}

// blockingStore is a store whose swaps wait until unblock is closed, and then take effect even if
// their context has ended, as the writes of a paused host can. A nil unblock does not block.
type blockingStore struct {
	storer.Store
	mu      sync.Mutex
	unblock chan struct{}
}

func (s *blockingStore) Swap(ctx context.Context, w storer.Write) (int64, error) {
	s.mu.Lock()
	unblock := s.unblock
	s.mu.Unlock()
	if unblock != nil {
		<-unblock
	}
	return s.Store.Swap(context.WithoutCancel(ctx), w)
}

// TestLateWrite guards against a write that takes effect after its call was refused as not run: the
// repeat through another host must then run once, and the first call must not.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := new(faker.Platform)
		f := newFleet(t, platform)
		blocked := &blockingStore{Store: platform, unblock: make(chan struct{})}
		f.store = blocked
		a := f.start("a", 1, 0)
		f.store = platform
		b := f.start("b", 1, 0)
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		_, ran, err := a.Do(ctx, call("k"), f.countedDispatch("k", 0, true))
		is.True(errors.Is(err, deduplicator.ErrClaimTimeout))
		is.True(!ran)
		close(blocked.unblock)
		time.Sleep(10 * time.Second)
		_, ran, err = b.Do(t.Context(), call("k"), f.countedDispatch("k", 0, true))
		is.NoErr(err)
		is.True(ran)
		f.stop()
		f.assertAtMostOnce()
	})
}
