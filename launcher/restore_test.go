package launcher_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/platform"
)

const (
	storeAddress = "10.9.0.1:80"
	// heartbeatInterval is the time between two writes of an upstream's entry.
	heartbeatInterval = 1200 * time.Millisecond
	// leaveGrace is how long an upstream may still receive requests after its leave was acknowledged.
	leaveGrace = 2 * time.Second
)

// restoreFleet is a fleet whose hosts follow a store that can be restored from a copy.
type restoreFleet struct {
	*fleet
	store *platform.FakeServer
	// leftAt is the time at which an upstream's leave was acknowledged, by upstream id.
	leftAt map[string]time.Time
	// written counts the entries that each upstream wrote; nil if they don't count them.
	written map[string]int64
	// left holds the upstreams that left without an entry in leftAt, and write nothing more.
	left map[string]bool
	// paused is set while no upstream can write.
	paused bool
}

// runRestoreFleet runs hosts under load in virtual time, with a store that f restores, and checks
// that no upstream receives a request later than leaveGrace after it left.
func runRestoreFleet(t *testing.T, hosts int, f func(is *is.I, r *restoreFleet)) {
	t.Helper()
	runRestoreFleetWith(t, hosts, func(*restoreFleet) {}, f)
}

// runStoreFleet is runRestoreFleet with upstreams that count their entries and with the connections to the store that the
// command keeps.
func runStoreFleet(t *testing.T, hosts int, f func(is *is.I, r *restoreFleet)) {
	t.Helper()
	runRestoreFleetWith(t, hosts, func(r *restoreFleet) {
		r.connect = r.useStoreAsDeployed
		r.written = make(map[string]int64)
	}, f)
}

// runRestoreFleetWith is runRestoreFleet with changes to the fleet before it starts.
func runRestoreFleetWith(t *testing.T, hosts int, change func(r *restoreFleet), f func(is *is.I, r *restoreFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &restoreFleet{fleet: newFleet(t), store: new(platform.FakeServer), leftAt: make(map[string]time.Time), left: make(map[string]bool)}
		cfg := configuration()
		r.store.Configure(&cfg)
		stop, err := faker.Serve(r.net.Listen, storeAddress, r.store)
		is.New(t).NoErr(err)
		defer stop()
		r.net.SetLocation(storeAddress, "store")
		r.connect = r.useStore
		change(r)
		ctx, cancel := context.WithCancel(context.Background())
		for n, dc := range dataCentres {
			for m, id := range []string{"desk-" + dc, "desk-" + dc + "2"} {
				defer r.startUpstreamIn(id, dc)()
				go r.sendHeartbeats(ctx, id, dc, time.Duration(2*n+m)*heartbeatInterval/6)
			}
		}
		r.runUnderLoad(hosts, "/look/1", 60, func() {
			f(is.NewRelaxed(t), r)
			cancel()
			for id, at := range r.leftAt {
				for _, one := range r.stages[id].Received() {
					if late := one.At.Sub(at); late > leaveGrace {
						t.Errorf("host %q sent upstream %q a request %v after its leave, expected at most %v", one.From, id, late, leaveGrace)
						break
					}
				}
			}
		})
	})
}

// useStore makes a host use the store as its store and as its source.
func (r *restoreFleet) useStore(h *launcher.Host, f follower.Host) {
	client := &http.Client{Transport: &http.Transport{DialContext: r.net.Dialer(f.Name), IdleConnTimeout: time.Second}}
	store := &platform.Store{Address: storeAddress, HTTP: client, Timeout: 800 * time.Millisecond, Log: zerolog.Nop()}
	h.Store, h.Source = store, &platform.Source{Store: store, Self: f.Name, Log: zerolog.Nop()}
}

// entry returns the entry that an upstream writes.
func (r *restoreFleet) entry(id, dataCentre string, leaving bool) balancer.Upstream {
	return balancer.Upstream{ID: id, Service: "desk", Address: "10.1.0." + id + ":80", DataCentre: dataCentre, Slots: 8, StartedAt: 1, Leaving: leaving}
}

// sendHeartbeats waits, then writes the entry of an upstream every heartbeatInterval until it leaves.
// Check and write share one lock, so that the leave is the last write even if both coincide.
func (r *restoreFleet) sendHeartbeats(ctx context.Context, id, dataCentre string, after time.Duration) {
	time.Sleep(after)
	for ctx.Err() == nil && r.listUnlessLeft(id, dataCentre) {
		time.Sleep(heartbeatInterval)
	}
}

// listUnlessLeft writes the ready entry of an upstream, or returns false if it has left.
func (r *restoreFleet) listUnlessLeft(id, dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.leftAt[id]; left || r.left[id] {
		return false
	}
	if r.paused {
		return true
	}
	r.store.PutUpstream(r.next(id, dataCentre, false))
	return true
}

// pauseHeartbeats makes the writes of all upstreams fail, or succeed again.
func (r *restoreFleet) pauseHeartbeats(paused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paused = paused
}

// leave writes the entry by which an upstream announces that it leaves.
func (r *restoreFleet) leave(id, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.PutUpstream(r.next(id, dataCentre, true))
	r.leftAt[id] = time.Now()
}

// next returns the next entry that an upstream writes; r.mu is held.
func (r *restoreFleet) next(id, dataCentre string, leaving bool) balancer.Upstream {
	e := r.entry(id, dataCentre, leaving)
	if r.written != nil {
		r.written[id]++
		e.Sequence = r.written[id]
	}
	return e
}

// restore makes the store unreachable for 1.5 s and restores it from a copy of the given age.
// meanwhile, if not nil, is called after the restore, before any host can reach the store.
func (r *restoreFleet) restore(age time.Duration, meanwhile func()) {
	c := r.store.Snapshot()
	time.Sleep(age)
	r.store.SetUnavailable(true)
	time.Sleep(1500 * time.Millisecond)
	r.store.Restore(c)
	if meanwhile != nil {
		meanwhile()
	}
	r.store.SetUnavailable(false)
}

// advanceRevision raises the store's revision beyond any that hosts know.
func (r *restoreFleet) advanceRevision() {
	for range 100 {
		r.store.PutUpstream(r.entry("desk-b", "b", false))
	}
}

// TestStoreRestored guards against hosts that miss that an upstream leaves because the store was
// restored from a copy and assigns the same revisions a second time.
func TestStoreRestored(t *testing.T) {
	for _, c := range []struct {
		name string
		// scenario restores the store and makes desk-a and desk-c leave around that time.
		scenario func(r *restoreFleet, copyAge time.Duration)
	}{
		{"leave soon after the restore", func(r *restoreFleet, copyAge time.Duration) {
			r.restore(copyAge, nil)
			time.Sleep(300 * time.Millisecond)
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
		}},
		{"leave before the store is reachable, revisions overtaken", func(r *restoreFleet, copyAge time.Duration) {
			r.restore(copyAge, func() {
				r.leave("desk-a", "a")
				r.leave("desk-c", "c")
				r.advanceRevision()
			})
		}},
		{"restored twice in a row", func(r *restoreFleet, copyAge time.Duration) {
			r.restore(copyAge, nil)
			r.restore(copyAge/2, nil)
			time.Sleep(300 * time.Millisecond)
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
		}},
		{"leave before the restore, lost and written again", func(r *restoreFleet, copyAge time.Duration) {
			c := r.store.Snapshot()
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
			time.Sleep(copyAge)
			r.store.SetUnavailable(true)
			time.Sleep(1500 * time.Millisecond)
			r.store.Restore(c)
			r.store.SetUnavailable(false)
			time.Sleep(1800 * time.Millisecond)
			r.store.PutUpstream(r.entry("desk-a", "a", true))
			r.store.PutUpstream(r.entry("desk-c", "c", true))
		}},
		{"two hosts cut off from the store", func(r *restoreFleet, copyAge time.Duration) {
			for _, h := range r.hosts[:min(2, len(r.hosts)-1)] {
				r.net.Partition(h.Name, "store")
			}
			r.restore(copyAge, nil)
			time.Sleep(300 * time.Millisecond)
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
		}},
	} {
		for _, hosts := range []int{1, 4, 24} {
			for _, copyAge := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
				t.Run(fmt.Sprintf("%s, %v old, %d hosts", c.name, copyAge, hosts), func(t *testing.T) {
					runRestoreFleet(t, hosts, func(is *is.I, r *restoreFleet) {
						time.Sleep(2 * time.Second)
						c.scenario(r, copyAge)
						time.Sleep(6 * time.Second)
						is.True(float64(r.count(http.StatusOK)) > 0.97*float64(r.totalRequests()))
					})
				})
			}
		}
	}
}
