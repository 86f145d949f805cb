package archiver_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/archiver"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/tracker"
)

// strike records a crash against a request and stores it.
func (h *host) strike(ctx context.Context, fingerprint uint64, upstream string) (took time.Duration) {
	now := time.Now()
	h.suspects.Add(tracker.NewStrike(now, fingerprint, upstream, 1))
	h.archiver.KeepStrikes(ctx, fingerprint)
	return time.Since(now)
}

// assertStrikes checks how many strikes against a request a host that starts now knows.
func assertStrikes(is *is.I, store storer.Store, fingerprint uint64, want int) {
	is.Helper()
	h, stop := startHost(store)
	defer stop()
	time.Sleep(time.Millisecond)
	is.Equal(len(h.suspects.Active(time.Now(), fingerprint)), want)
}

// TestStrikesAfterKills guards against hosts that all start anew and have a request crash upstreams again.
func TestStrikesAfterKills(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		defer stop()
		is.True(h.strike(context.Background(), 1, "a") < 50*time.Millisecond)
		assertStrikes(is, store, 1, 1)
		other, stopOther := startHost(store)
		defer stopOther()
		h.strike(context.Background(), 2, "a")
		h.strike(context.Background(), 2, "b")
		assertStrikes(is, store, 1, 1)
		assertStrikes(is, store, 2, 2)
		// Another host that strikes the same request learns the strikes of the first.
		other.strike(context.Background(), 2, "c")
		is.Equal(len(other.suspects.Active(time.Now(), 2)), 3)
		assertStrikes(is, store, 2, 3)
		time.Sleep(11 * time.Minute)
		assertStrikes(is, store, 2, 0) // expired
	})
}

// TestAnsweredAfterStrike guards against refusing a request after a restart that was answered before.
func TestAnsweredAfterStrike(t *testing.T) {
	for name, restarted := range map[string]bool{"the host that stored it": false, "a host that has read it": true} {
		t.Run(name, func(t *testing.T) {
			run(t, func(is *is.I, store *faker.Platform) {
				h, stop := startHost(store)
				h.strike(context.Background(), 1, "a")
				h.strike(context.Background(), 2, "a")
				if restarted {
					stop()
					h, stop = startHost(store)
					time.Sleep(time.Millisecond)
				}
				defer stop()
				h.suspects.Clear(time.Now(), 1)
				time.Sleep(4 * time.Second)
				assertStrikes(is, store, 1, 0)
				assertStrikes(is, store, 2, 1)
			})
		})
	}
}

// TestStrikesWhileStoreAway guards against retries that wait for a store that does not answer, and against losing the
// strikes.
func TestStrikesWhileStoreAway(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		defer stop()
		time.Sleep(time.Second)
		store.SetFaults(faker.Faults{Unavailable: true})
		is.True(h.strike(context.Background(), 1, "a") <= 100*time.Millisecond)
		time.Sleep(time.Second)
		is.Equal(h.strike(context.Background(), 2, "b"), time.Duration(0))
		store.SetFaults(faker.Faults{})
		time.Sleep(2 * time.Second)
		assertStrikes(is, store, 1, 1)
		assertStrikes(is, store, 2, 1)
	})
}

// TestStrikesOfLossNotStored guards against a write for each request in flight as many upstreams are lost, and against
// refusing these requests after a restart.
func TestStrikesOfLossNotStored(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		defer stop()
		h.suspects.WentDown = func(time.Time, time.Duration) []string { return []string{"a", "b", "c"} }
		for fp := range uint64(100) {
			is.Equal(h.strike(context.Background(), fp, "a"), time.Duration(0))
		}
		assertStrikes(is, store, 1, 0)
	})
}

// TestStoredRequestsBounded guards against a record that grows with each request, and against losing those that crashed
// most upstreams.
func TestStoredRequestsBounded(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		defer stop()
		for n := range 9 {
			h.strike(context.Background(), 1, fmt.Sprint("upstream-", n))
		}
		for fp := range uint64(200) {
			h.strike(context.Background(), 1000+fp, "a")
			time.Sleep(100 * time.Millisecond)
		}
		e, err := store.Get(context.Background(), archiver.Key)
		is.NoErr(err)
		is.Equal(strings.Count(string(e.Value), `"fingerprint"`), 64)
		assertStrikes(is, store, 1, 4)
		assertStrikes(is, store, 1000, 0)
		assertStrikes(is, store, 1199, 1)
	})
}

// TestInvalidStrikes guards against a host that does not start, or trusts a part of it, where the stored strikes are
// invalid.
func TestInvalidStrikes(t *testing.T) {
	for name, value := range map[string]string{
		"fingerprint": `{"requests":[{"fingerprint":"xyz","strikes":[]}]}`,
		"no upstream": `{"requests":[{"fingerprint":"1","strikes":[{"upstream":"","startedAtMs":1,"expiresAtMs":99999999999999}]}]}`,
		"no time":     `{"requests":[{"fingerprint":"1","strikes":[{"upstream":"a","startedAtMs":1}]}]}`,
		"wrong type":  `{"requests":{"1":2}}`,
	} {
		t.Run(name, func(t *testing.T) {
			run(t, func(is *is.I, store *faker.Platform) {
				_, err := store.Swap(context.Background(), storer.Write{Key: archiver.Key, Value: []byte(value)})
				is.NoErr(err)
				assertStrikes(is, store, 1, 0)
				h, stop := startHost(store)
				defer stop()
				h.strike(context.Background(), 1, "a")
				assertStrikes(is, store, 1, 1)
			})
		})
	}
}

// TestStrikeOfFastClock guards against a strike that counts for longer than others, since the clock of the host that
// stored it was ahead.
func TestStrikeOfFastClock(t *testing.T) {
	run(t, func(is *is.I, store *faker.Platform) {
		h, stop := startHost(store)
		defer stop()
		h.suspects.Add(tracker.NewStrike(time.Now().Add(time.Hour), 1, "a", 1))
		h.archiver.KeepStrikes(context.Background(), 1)
		late, stopLate := startHost(store)
		defer stopLate()
		time.Sleep(time.Millisecond)
		is.Equal(len(late.suspects.Active(time.Now(), 1)), 1)
		is.Equal(len(late.suspects.Active(time.Now().Add(11*time.Minute), 1)), 0)
	})
}
