package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/follower"
)

// maxRestart is the time within which a fleet whose hosts were all killed must serve again.
const maxRestart = 3 * time.Second

// crash kills hosts without any of them taking leave of the store.
func (r *restoreFleet) crash(hosts []follower.Host) {
	for _, h := range hosts {
		r.net.Partition(h.Name, "store")
		r.net.CloseConnections(h.Name)
	}
	// Each call removes itself from killHost.
	kills := make([]func(), len(hosts))
	for n, h := range hosts {
		kills[n] = r.killHost[h.Name]
	}
	var wg sync.WaitGroup
	for _, kill := range kills {
		wg.Go(kill)
	}
	wg.Wait()
	for _, h := range hosts {
		r.net.Heal(h.Name, "store")
	}
}

// isReady reports whether a host takes callers.
func (r *restoreFleet) isReady(h follower.Host) bool {
	ip, _, _ := strings.Cut(h.Address, ":")
	resp, err := r.client.Get("http://" + ip + ":81/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until hosts take callers, for at most 30 s, and returns how long that took.
func (r *restoreFleet) awaitReady(hosts []follower.Host) time.Duration {
	started := time.Now()
	for _, h := range hosts {
		for !r.isReady(h) && time.Since(started) < 30*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(started)
}

// TestAllHostsKilled guards against a fleet that takes long to serve again after all its hosts were
// killed at once, when all read the store together.
func TestAllHostsKilled(t *testing.T) {
	for _, c := range []struct {
		hosts int
		down  time.Duration
	}{{4, 200 * time.Millisecond}, {4, 5 * time.Second}, {137, 1400 * time.Millisecond}, {300, 1400 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.hosts, " hosts for ", c.down), func(t *testing.T) {
			runRestoreFleet(t, c.hosts, func(is *is.I, r *restoreFleet) {
				r.crash(r.hosts)
				time.Sleep(c.down)
				for _, h := range r.hosts {
					r.startHost(h)
				}
				took := r.awaitReady(r.hosts)
				t.Logf("ready after %v", took)
				is.True(took <= maxRestart)
			})
		})
	}
}
