package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

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
