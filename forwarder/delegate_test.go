package forwarder

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/delegator"
	"github.com/sardineward/sardineward/tracker"
)

// TestDelegationHeaders guards against callers that set the headers between hosts: their requests would be
// served as those of a host, or tell upstreams of hosts.
func TestDelegationHeaders(t *testing.T) {
	is := is.New(t)
	in := http.Header{delegatedByHeader: {"host-a"}, countedHeader: {"1"}, ranOnHeader: {"engine-a"}, delegationHeader: {"served"}, "Accept": {"*/*"}}
	out := DefaultHeaders.outgoing(in, true)
	is.Equal(out, http.Header{"Accept": {"*/*"}})
}

// TestStrikesWithdrawn guards against requests that are refused on all hosts since they were in flight when a host was
// cut off, which looks to it as if many upstreams had crashed.
func TestStrikesWithdrawn(t *testing.T) {
	is := is.New(t)
	f := &Forwarder{Suspects: new(tracker.Suspects)}
	quarantined := func(fingerprint uint64) bool {
		_, ok := f.Suspects.Quarantined(time.Now(), fingerprint)
		return ok
	}
	strike := func(at time.Duration, fingerprint uint64, upstreams ...string) {
		for _, u := range upstreams {
			f.Suspects.Add(tracker.NewStrike(time.Now(), fingerprint, u, 1))
			f.strikes.add(at, fingerprint)
		}
	}
	strike(time.Minute, 1, "engine-a", "engine-b", "engine-c")
	strike(time.Minute+time.Second, 2, "engine-d", "engine-e", "engine-f")
	is.True(quarantined(1) && quarantined(2))
	is.Equal(f.withdrawStrikes(time.Minute+500*time.Millisecond), 3)
	is.True(quarantined(1)) // before the connections failed
	is.True(!quarantined(2))
}

// TestReportsLapseInRequest guards against an empty response with status 200: a request finds no upstream, is to be
// delegated, and the reports of the other hosts lapse before it is.
func TestReportsLapseInRequest(t *testing.T) {
	for lapse := range 40 { // the number of times that the request reads the clock before
		t.Run(fmt.Sprint(lapse), func(t *testing.T) {
			is := is.New(t)
			k := rankedCall(new(bytes.Buffer), 0, 0)()
			k.Balancer.SetDead(time.Minute, "one", true)
			is.NoErr(k.Balancer.SetReport(time.Minute, "host-b", balancer.Report{Hosts: map[string]int{"b": 1}}))
			k.Delegator = &delegator.Delegator{Hosts: func() []delegator.Host { return nil }}
			k.Detector.Upstreams = func() int { return 40 }
			for _, address := range []string{"one:80", "two:80"} {
				k.Detector.RecordFailure(time.Minute, address, true)
			}
			reads := 0
			k.Now = func() time.Duration {
				if reads++; reads > lapse {
					return time.Minute + 2*time.Second
				}
				return time.Minute
			}
			k.servePlain(context.Background())
			is.Equal(k.w.(*httptest.ResponseRecorder).Code, http.StatusServiceUnavailable)
		})
	}
}
