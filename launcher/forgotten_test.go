package launcher_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/archiver"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/storer"
)

// mortalStore is the store as one run of a host reaches it: not at all once the host is killed.
type mortalStore struct {
	storer.Store
	killed atomic.Bool
	// writes counts the writes of isolated parts and strikes.
	writes *atomic.Int64
}

func (s *mortalStore) Get(ctx context.Context, key string) (storer.Entry, error) {
	if s.killed.Load() {
		return storer.Entry{}, storer.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *mortalStore) Swap(ctx context.Context, w storer.Write) (int64, error) {
	if s.killed.Load() {
		return 0, storer.ErrUnavailable
	}
	if w.Key == archiver.Key {
		s.writes.Add(1)
	}
	return s.Store.Swap(ctx, w)
}

// killedFleet is a fleet with a store, whose hosts can all be killed at once.
type killedFleet struct {
	*fleet
	store  *faker.Platform
	stores []*mortalStore
	writes atomic.Int64
	sent   int
}

func (fl *killedFleet) useStore(h *launcher.Host, f follower.Host) {
	s := &mortalStore{Store: fl.store, writes: &fl.writes}
	fl.stores = append(fl.stores, s)
	h.Source, h.Store = &partSource{fl.source.Without(f.Name), fl.store}, s
}

func (fl *killedFleet) killAll() {
	for _, s := range fl.stores {
		s.killed.Store(true)
	}
	fl.stores = nil
	fl.restartAll()
}

// come sends a request that crashes upstreams as a caller does: to a host, and once more to another one unless the answer
// says that the request has not run.
func (fl *killedFleet) come(first int) {
	for n := range 2 {
		fl.sent++
		ip, _, _ := strings.Cut(fl.hosts[(first+n)%len(fl.hosts)].Address, ":")
		r := fl.requestAt(ip+":80", http.MethodPost, "/look/1", fmt.Sprint("poison-", fl.sent), func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(faker.Poison)), int64(len(faker.Poison))
		})
		if r.status == http.StatusOK || r.status == http.StatusServiceUnavailable {
			return
		}
	}
}

// lateRetries returns how many arrivals of the crashing request were not the first of their attempt, and came later than
// stableWindow after the third crash.
func (fl *killedFleet) lateRetries() (late, arrivals int) {
	var list []faker.ReceivedRequest
	for _, s := range fl.stages {
		for _, one := range s.Received() {
			if strings.Contains(one.Body, faker.Poison) {
				list = append(list, one)
			}
		}
	}
	slices.SortFunc(list, func(a, b faker.ReceivedRequest) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool)
	for n := range list {
		if seen[list[n].RequestID] && n >= 3 && list[n].At.Sub(list[2].At) > stableWindow {
			late++
		}
		seen[list[n].RequestID] = true
	}
	return late, len(list)
}

// TestCrashesAfterKills guards against hosts that are all killed, again and again, and forget each time that a request
// crashes upstreams.
func TestCrashesAfterKills(t *testing.T) {
	const rounds, allowed = 10, 3
	for name, moment := range map[string]func(fl *killedFleet, crashes int64){
		"after the refusal": func(*killedFleet, int64) { time.Sleep(time.Second) },
		"at the second crash": func(fl *killedFleet, crashes int64) {
			for range 1000 {
				if fl.crashes.Load() >= crashes+2 {
					return
				}
				time.Sleep(time.Millisecond)
			}
		},
	} {
		for _, hosts := range []int{1, 4, 24} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				t.Parallel()
				runLargeFleet(t, hosts, 3, "/look/1", 5, func(is *is.I, base *fleet) {
					fl := &killedFleet{fleet: base, store: new(faker.Platform)}
					fl.connect = fl.useStore
					fl.restartAll()
					time.Sleep(4 * time.Second)
					for n := range rounds {
						crashes := fl.crashes.Load()
						done := make(chan struct{})
						go func() { defer close(done); fl.come(n) }()
						moment(fl, crashes)
						fl.killAll()
						<-done
						time.Sleep(4 * time.Second)
					}
					late, arrivals := fl.lateRetries()
					t.Logf("%d arrivals, %d late retries", arrivals, late)
					is.True(arrivals >= 2)
					is.True(late <= allowed)
				})
			})
		}
	}
}

// TestWritesInLossOfRack guards against a write to the store for each request in flight as many upstreams are lost.
func TestWritesInLossOfRack(t *testing.T) {
	const allowed = 100 // a quarter of what the smallest store takes in a second
	for _, gap := range []time.Duration{0, 100 * time.Millisecond} {
		for _, hosts := range []int{4, 137} {
			t.Run(fmt.Sprintf("%d hosts, %v apart", hosts, gap), func(t *testing.T) {
				runLargeFleet(t, hosts, 8, "/look/1", 600, func(is *is.I, base *fleet) {
					fl := &killedFleet{fleet: base, store: new(faker.Platform)}
					fl.connect = fl.useStore
					fl.restartAll()
					time.Sleep(4 * time.Second)
					for id, s := range fl.stages {
						if strings.HasPrefix(id, "desk-a") || strings.HasPrefix(id, "desk-b") {
							go s.Crash()
							time.Sleep(gap)
						}
					}
					time.Sleep(5 * time.Second)
					t.Logf("%d crashes, %d writes", fl.crashes.Load(), fl.writes.Load())
					is.True(fl.crashes.Load() >= 16)
					is.True(fl.writes.Load() <= allowed)
				})
			})
		}
	}
}
