package launcher_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/platform"
)

// useStoreAsDeployed is useStore with the connections that the command keeps.
func (r *restoreFleet) useStoreAsDeployed(h *launcher.Host, f follower.Host) {
	client := &http.Client{Transport: &http.Transport{DialContext: r.net.Dialer(f.Name), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	store := &platform.Store{Address: storeAddress, HTTP: client, Timeout: 800 * time.Millisecond, Log: zerolog.Nop()}
	h.Store, h.Source = store, &platform.Source{Store: store, Self: f.Name, Log: zerolog.Nop()}
}

// assertLeft checks that no host which was undisturbed for stableWindow sent an upstream a request later than leaveGrace
// after it left.
func (r *restoreFleet) assertLeft(id string, leftAt, disturbedUntil time.Time) {
	r.t.Helper()
	late, last := 0, time.Duration(0)
	for _, one := range r.stages[id].Received() {
		if one.At.Sub(leftAt) > leaveGrace && one.At.Sub(disturbedUntil) > stableWindow {
			late++
			last = max(last, one.At.Sub(leftAt))
		}
	}
	if late > 0 {
		r.t.Errorf("upstream %q received %d requests later than %v after its leave, the last one after %v", id, late, leaveGrace, last)
	}
}

// leaveBy makes an upstream leave by a report, or by the removal of its entry.
func (r *restoreFleet) leaveBy(report bool, id, dataCentre string) time.Time {
	r.mu.Lock()
	r.left[id] = true
	if report {
		r.store.PutUpstream(r.next(id, dataCentre, true))
	} else {
		r.store.DeleteUpstream(id)
	}
	r.mu.Unlock()
	return time.Now()
}

// TestSilentStore guards against requests to upstreams that left while the connections of all hosts to the store had gone
// silent.
func TestSilentStore(t *testing.T) {
	for _, report := range []bool{false, true} {
		for _, hosts := range []int{1, 4, 24} {
			for _, after := range []time.Duration{-100 * time.Millisecond, 300 * time.Millisecond, 1000 * time.Millisecond, 2500 * time.Millisecond} {
				if report && after != 300*time.Millisecond {
					continue // the hosts know what an entry says as they know that it is removed
				}
				t.Run(fmt.Sprintf("report %v, %d hosts, %v after", report, hosts, after), func(t *testing.T) {
					t.Parallel()
					runStoreFleet(t, hosts, func(is *is.I, r *restoreFleet) {
						time.Sleep(4 * time.Second)
						var leftAt time.Time
						if after < 0 {
							leftAt = r.leaveBy(report, "desk-a", "a")
							time.Sleep(-after)
						}
						r.net.Silence("store")
						silentAt := time.Now()
						if after > 0 {
							time.Sleep(after)
							leftAt = r.leaveBy(report, "desk-a", "a")
						}
						time.Sleep(8 * time.Second)
						r.assertLeft("desk-a", leftAt, silentAt)
						is.True(float64(r.count(http.StatusOK)) > 0.99*float64(r.totalRequests()))
					})
				})
			}
		}
	}
}

// TestLeaveAtEndOfCut guards against requests to an upstream that left as a cut of the host from the store and from all
// other hosts ended.
func TestLeaveAtEndOfCut(t *testing.T) {
	for name, mode := range map[string]faker.CutMode{"reset": faker.CutReset, "silent": faker.CutSilent, "refused": faker.CutRefuse} {
		for _, hosts := range []int{1, 4, 24} {
			for _, after := range []time.Duration{-500 * time.Millisecond, 140 * time.Millisecond} {
				t.Run(fmt.Sprintf("%s, %d hosts, %v after", name, hosts, after), func(t *testing.T) {
					t.Parallel()
					runStoreFleet(t, hosts, func(_ *is.I, r *restoreFleet) {
						time.Sleep(4 * time.Second)
						cut := r.hosts[0].Name
						places := []string{"store"}
						for _, h := range r.hosts[1:] {
							places = append(places, h.Name)
						}
						for _, p := range places {
							r.net.Cut(cut, p, mode)
						}
						const cutFor = 5500 * time.Millisecond
						time.Sleep(cutFor + min(0, after))
						var leftAt time.Time
						if after < 0 {
							leftAt = r.leaveBy(false, "desk-a", "a")
							time.Sleep(-after)
						}
						for _, p := range places {
							r.net.Heal(cut, p)
						}
						healedAt := time.Now()
						if after >= 0 {
							time.Sleep(after)
							leftAt = r.leaveBy(false, "desk-a", "a")
						}
						time.Sleep(8 * time.Second)
						r.assertLeft("desk-a", leftAt, healedAt)
					})
				})
			}
		}
	}
}

// TestLeaveBeforeOutage guards against requests to an upstream that left just before an outage of the store, later than
// the time after its return in which entries that lapsed are written again.
func TestLeaveBeforeOutage(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, hosts := range []int{1, 4, 24} {
			for _, lasts := range []time.Duration{2600 * time.Millisecond, 5000 * time.Millisecond} {
				t.Run(fmt.Sprintf("silent %v, %d hosts, %v", silent, hosts, lasts), func(t *testing.T) {
					t.Parallel()
					runStoreFleet(t, hosts, func(_ *is.I, r *restoreFleet) {
						time.Sleep(4 * time.Second)
						leftAt := r.leaveBy(false, "desk-a", "a")
						r.outage(silent, lasts)
						r.pauseHeartbeats(false)
						returnedAt := time.Now()
						time.Sleep(8 * time.Second)
						r.assertLeft("desk-a", leftAt, returnedAt)
					})
				})
			}
		}
	}
}

// TestLapsedEntries guards against callers without upstreams after an outage of the store in which the entries of all
// upstreams lapsed.
func TestLapsedEntries(t *testing.T) {
	for _, silent := range []bool{false, true} {
		for _, hosts := range []int{1, 4, 24} {
			for _, back := range []time.Duration{1000 * time.Millisecond, 1800 * time.Millisecond} {
				t.Run(fmt.Sprintf("silent %v, %d hosts, back after %v", silent, hosts, back), func(t *testing.T) {
					t.Parallel()
					runStoreFleet(t, hosts, func(is *is.I, r *restoreFleet) {
						time.Sleep(4 * time.Second)
						go func() {
							time.Sleep(3 * heartbeatInterval)
							for _, dc := range dataCentres {
								r.store.DeleteUpstream("desk-" + dc)
								r.store.DeleteUpstream("desk-" + dc + "2")
							}
						}()
						r.outage(silent, 5*time.Second)
						time.Sleep(back)
						r.pauseHeartbeats(false)
						for _, dc := range dataCentres {
							r.listUnlessLeft("desk-"+dc, dc)
							r.listUnlessLeft("desk-"+dc+"2", dc)
						}
						time.Sleep(6 * time.Second)
						is.True(float64(r.count(http.StatusOK)) > 0.99*float64(r.totalRequests()))
					})
				})
			}
		}
	}
}

// outage makes the store unreachable for all hosts for a time, and for upstreams until pauseHeartbeats is called again.
func (r *restoreFleet) outage(silent bool, lasts time.Duration) {
	r.pauseHeartbeats(true)
	if !silent {
		r.store.SetUnavailable(true)
		time.Sleep(lasts)
		r.store.SetUnavailable(false)
		return
	}
	for _, h := range r.hosts {
		r.net.Cut(h.Name, "store", faker.CutSilent)
	}
	time.Sleep(lasts)
	for _, h := range r.hosts {
		r.net.Heal(h.Name, "store")
	}
}
