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
	// heartbeat is the time between two entries of an upstream.
	heartbeat = 1200 * time.Millisecond
	// drained is how long after its leave was acknowledged an upstream may get requests.
	drained = 2 * time.Second
)

// restored is a fleet that follows a store which can go back to a copy.
type restored struct {
	*fleet
	store *platform.StandIn
	// left is when an upstream's leave was acknowledged.
	left map[string]time.Time
}

// runRestored runs hosts in virtual time before a store, under requests, and checks that no
// upstream gets any long after it has left.
func runRestored(t *testing.T, hosts int, f func(is *is.I, r *restored)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &restored{fleet: newFleet(t), store: new(platform.StandIn), left: make(map[string]time.Time)}
		cfg := configuration()
		r.store.Configure(&cfg)
		stop, err := faker.Serve(r.net.Listen, storeAddress, r.store)
		is.New(t).NoErr(err)
		defer stop()
		r.net.Place(storeAddress, "store")
		r.connect = r.follow
		ctx, cancel := context.WithCancel(context.Background())
		for n, dc := range centres {
			for m, id := range []string{"desk-" + dc, "desk-" + dc + "2"} {
				defer r.startIn(id, dc)()
				go r.beat(ctx, id, dc, time.Duration(2*n+m)*heartbeat/6)
			}
		}
		r.run(hosts, "/look/1", 60, func() {
			f(is.NewRelaxed(t), r)
			cancel()
			for id, at := range r.left {
				for _, one := range r.stages[id].Seen() {
					if late := one.At.Sub(at); late > drained {
						t.Errorf("%s sent %s a request %v after it had said that it leaves", one.From, id, late)
						break
					}
				}
			}
		})
	})
}

// follow has a host read the store.
func (r *restored) follow(h *launcher.Host, f follower.Host) {
	client := &http.Client{Transport: &http.Transport{DialContext: r.net.Dialer(f.Name), IdleConnTimeout: time.Second}}
	store := &platform.Store{Address: storeAddress, HTTP: client, Timeout: 800 * time.Millisecond, Log: zerolog.Nop()}
	h.Store, h.Source = store, &platform.Source{Store: store, Self: f.Name, Log: zerolog.Nop()}
}

// entry is what an upstream writes of itself.
func (r *restored) entry(id, dataCentre string, leaving bool) balancer.Upstream {
	return balancer.Upstream{ID: id, Service: "desk", Address: "10.1.0." + id + ":80", DataCentre: dataCentre, Slots: 8, StartedAt: 1, Leaving: leaving}
}

// beat writes the entry of an upstream until it leaves. It looks and writes under one lock,
// so that the leave is the upstream's last entry also where both fall on one instant.
func (r *restored) beat(ctx context.Context, id, dataCentre string, after time.Duration) {
	time.Sleep(after)
	for ctx.Err() == nil && r.listUnlessLeft(id, dataCentre) {
		time.Sleep(heartbeat)
	}
}

// listUnlessLeft writes the ready entry of an upstream; it reports false for one that left.
func (r *restored) listUnlessLeft(id, dataCentre string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, left := r.left[id]; left {
		return false
	}
	r.store.List(r.entry(id, dataCentre, false))
	return true
}

// leave has an upstream say that it leaves.
func (r *restored) leave(id, dataCentre string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.List(r.entry(id, dataCentre, true))
	r.left[id] = time.Now()
}

// restore has the store be away for a moment and come back from a copy that is some time
// old. meanwhile is called after that, before any host can reach it.
func (r *restored) restore(old time.Duration, meanwhile func()) {
	c := r.store.Copy()
	time.Sleep(old)
	r.store.SetAway(true)
	time.Sleep(1500 * time.Millisecond)
	r.store.Restore(c)
	if meanwhile != nil {
		meanwhile()
	}
	r.store.SetAway(false)
}

// overtake has the store's revision go beyond any that hosts know.
func (r *restored) overtake() {
	for range 100 {
		r.store.List(r.entry("desk-b", "b", false))
	}
}

// TestStoreRestored guards against hosts that miss that an upstream leaves, since the store
// came back from a copy and gives its revisions out again.
func TestStoreRestored(t *testing.T) {
	for _, c := range []struct {
		name string
		// play restores the store and has desk-a and desk-c leave around that.
		play func(r *restored, old time.Duration)
	}{
		{"left soon after", func(r *restored, old time.Duration) {
			r.restore(old, nil)
			time.Sleep(300 * time.Millisecond)
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
		}},
		{"left before the store was reached, revision overtaken", func(r *restored, old time.Duration) {
			r.restore(old, func() {
				r.leave("desk-a", "a")
				r.leave("desk-c", "c")
				r.overtake()
			})
		}},
		{"twice in a row", func(r *restored, old time.Duration) {
			r.restore(old, nil)
			r.restore(old/2, nil)
			time.Sleep(300 * time.Millisecond)
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
		}},
		{"left before, forgotten and written again", func(r *restored, old time.Duration) {
			c := r.store.Copy()
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
			time.Sleep(old)
			r.store.SetAway(true)
			time.Sleep(1500 * time.Millisecond)
			r.store.Restore(c)
			r.store.SetAway(false)
			time.Sleep(1800 * time.Millisecond)
			r.store.List(r.entry("desk-a", "a", true))
			r.store.List(r.entry("desk-c", "c", true))
		}},
		{"two hosts turned away", func(r *restored, old time.Duration) {
			for _, h := range r.hosts[:min(2, len(r.hosts)-1)] {
				r.net.Cut(h.Name, "store")
			}
			r.restore(old, nil)
			time.Sleep(300 * time.Millisecond)
			r.leave("desk-a", "a")
			r.leave("desk-c", "c")
		}},
	} {
		for _, hosts := range []int{1, 4, 24} {
			for _, old := range []time.Duration{500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
				t.Run(fmt.Sprintf("%s, %v old, %d hosts", c.name, old, hosts), func(t *testing.T) {
					runRestored(t, hosts, func(is *is.I, r *restored) {
						time.Sleep(2 * time.Second)
						c.play(r, old)
						time.Sleep(6 * time.Second)
						is.True(float64(r.count(http.StatusOK)) > 0.97*float64(r.all()))
					})
				})
			}
		}
	}
}
