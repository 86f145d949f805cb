package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/follower"
)

// TestHostsJoinAndLeave guards against a joining host that takes callers before it can serve them,
// and against requests that fail while hosts leave beside a store that does not answer.
func TestHostsJoinAndLeave(t *testing.T) {
	const joining, leaving = 45, 23
	runRestoreFleet(t, 24, func(is *is.I, r *restoreFleet) {
		var joined []follower.Host
		for n := range joining {
			h := follower.Host{Name: fmt.Sprintf("joins-%03d", n), DataCentre: dataCentres[n%len(dataCentres)], Address: fmt.Sprintf("10.0.7.%d:82", n+1)}
			r.startHost(h)
			is.True(r.awaitReady([]follower.Host{h}) <= time.Second)
			ip, _, _ := strings.Cut(h.Address, ":")
			for i := range 3 {
				is.Equal(r.requestAt(ip+":80", http.MethodPost, "/look/1", fmt.Sprint("j", n, "-", i), nil).status, http.StatusOK)
			}
			joined = append(joined, h)
		}
		r.store.SetUnavailable(true)
		for _, h := range joined[:leaving] {
			r.killHost[h.Name]()
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(time.Second)
		r.store.SetUnavailable(false)
		time.Sleep(4 * time.Second)
		is.Equal(r.count(http.StatusOK), r.totalRequests())
	})
}
