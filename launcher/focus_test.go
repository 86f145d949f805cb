package launcher_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// minFocusServed is the share of the requests served before that is to be served while most go to one host.
const minFocusServed = 0.95

// servedShare returns the share of the requests answered with 200 that are sent for a time.
func (fl *fleet) servedShare(length time.Duration) float64 {
	served, all := fl.count(http.StatusOK), fl.totalRequests()
	time.Sleep(length)
	return float64(fl.count(http.StatusOK)-served) / float64(fl.totalRequests()-all)
}

// TestMostRequestsAtOneHost guards against a host that refuses requests for its part of what upstreams take, while
// most connections go to it and the other hosts leave theirs unused.
func TestMostRequestsAtOneHost(t *testing.T) {
	for _, path := range []string{"/look/1", "/stream/1"} {
		for _, hosts := range []int{4, 24} {
			for _, limit := range []string{"", "40", "30"} { // of each of three upstreams, at 60 requests a second
				t.Run(fmt.Sprintf("%s, %d hosts, limit %q", path, hosts, limit), func(t *testing.T) {
					runSmallInParallel(t, hosts)
					runFleet(t, hosts, path, 60, func(is *is.I, fl *fleet) {
						for _, service := range []string{"desk", "model"} {
							fl.setLimit(limit, service+"-a", service+"-b", service+"-c")
						}
						time.Sleep(5 * time.Second)
						before := fl.servedShare(5 * time.Second)
						for _, h := range fl.hosts[:2] {
							fl.setFocus(h.Name)
							time.Sleep(stableWindow)
							during := fl.servedShare(5 * time.Second)
							t.Logf("served %.3f, before %.3f", during, before)
							is.True(during >= minFocusServed*before)
							fl.setFocus("")
							time.Sleep(2 * time.Second)
						}
					})
				})
			}
		}
	}
}
