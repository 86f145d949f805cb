package sharer_test

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/peer"
)

// hints is a key of a rank at a service for which ranks compete.
func hints(rank int) admitter.DemandKey {
	return admitter.DemandKey{Service: "hints", Rank: rank, Workspace: "a"}
}

// recordDemand makes all members record arrivals of two ranks for a period, 10 and 5 a second each.
func (fl *fleet) recordDemand(members []*member, period time.Duration) {
	for started := time.Now(); time.Since(started) < period; time.Sleep(200 * time.Millisecond) {
		for _, m := range members {
			m.demands.RecordArrival(fl.now(), hints(0))
			m.demands.RecordArrival(fl.now(), hints(0))
			m.demands.RecordArrival(fl.now(), hints(1))
		}
	}
}

// worstDemand returns the largest relative error of what members know to be asked for over all hosts.
func (fl *fleet) worstDemand(members []*member, hosts int) float64 {
	worst := 0.0
	for _, m := range members {
		for rank, want := range map[int]float64{1: 10, 2: 15} {
			want *= float64(hosts)
			worst = max(worst, math.Abs(m.demands.MoreUrgent(fl.now(), "hints", rank)-want)/want)
		}
	}
	return worst
}

// TestDemandOfFleet checks that each host knows the demand over all hosts, each counted once.
func TestDemandOfFleet(t *testing.T) {
	for _, size := range []struct{ centres, each int }{{3, 8}, {3, 45}} {
		t.Run(fmt.Sprint(size.centres, " data centres of ", size.each), func(t *testing.T) {
			runFleet(t, size.centres, size.each, func(is *is.I, fl *fleet) {
				fl.recordDemand(fl.members, 4*time.Second)
				is.True(fl.worstDemand(fl.members, len(fl.members)) < 0.2)
				lost := fl.relays("dc0")[0]
				lost.kill()
				rest := fl.without([]*member{lost})
				fl.recordDemand(rest, 5*time.Second)
				is.True(fl.worstDemand(rest, len(fl.members)) < 0.2) // the lost one is still listed
			})
		})
	}
}

// TestDemandOfOlderHost: a host of an older version reports no demand, and would look like one that
// nobody asks for anything.
func TestDemandOfOlderHost(t *testing.T) {
	runFleet(t, 1, 4, func(is *is.I, fl *fleet) {
		relays := fl.relays("dc0")
		older := fl.without(relays)[0]
		older.kill()
		rest := fl.without([]*member{older})
		for range 20 {
			fl.recordDemand(rest, 200*time.Millisecond)
			for _, m := range relays {
				resp, err := m.share.Exchange(context.Background(), &peer.ShareRequest{
					Host: older.name, DataCentre: older.dataCentre, Report: &peer.Report{Scope: peer.Scope_SCOPE_HOST, Hosts: map[string]uint32{"dc0": 1}},
				})
				is.NoErr(err)
				is.Equal(resp.Report.DemandHosts, uint32(3))
			}
		}
		is.True(fl.worstDemand(rest, 4) < 0.2)
	})
}

// TestNoDemandIsSent checks that reports grow only where demand is counted.
func TestNoDemandIsSent(t *testing.T) {
	runFleet(t, 1, 3, func(is *is.I, fl *fleet) {
		relay := fl.relays("dc0")[0]
		resp, err := relay.share.Exchange(context.Background(), &peer.ShareRequest{Host: "x", DataCentre: "dc0", Report: &peer.Report{Scope: peer.Scope_SCOPE_HOST}})
		is.NoErr(err)
		is.Equal(len(resp.Report.Demands), 0)
	})
}
