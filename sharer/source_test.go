package sharer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/matcher"
)

// TestLargeDataCentreCutOff guards against a relay of a large data centre, whose rounds are long,
// that misses a leave for more than two seconds while the source refuses it.
func TestLargeDataCentreCutOff(t *testing.T) {
	for _, each := range []int{4, 48, 137} {
		t.Run(fmt.Sprint(each), func(t *testing.T) {
			runFleet(t, 1, each, func(is *is.I, fl *fleet) {
				relays := fl.relays("dc0")
				is.Equal(len(relays), 2)
				for _, m := range relays {
					m.refused.Store(true)
				}
				for n := range 6 {
					id := fmt.Sprint("leaves", n)
					fl.source.PutUpstream(balancer.Upstream{ID: id, Address: "1"})
					time.Sleep(2700 * time.Millisecond)
					fl.source.PutUpstream(balancer.Upstream{ID: id, Address: "1", Leaving: true})
					is.True(await(4*time.Second, func() bool { return allKnow(relays, id, true) }) <= 2*time.Second)
				}
			})
		})
	}
}

// TestConfigurationHandedOn guards against a change of the configuration that each host reads from
// the source. Only one that is too long for the links of relays is read by all, once each.
func TestConfigurationHandedOn(t *testing.T) {
	for _, c := range []struct{ workspaces, mostReads int }{{10, 0}, {1000, 0}, {20000, 72}} {
		t.Run(fmt.Sprint(c.workspaces, " workspaces"), func(t *testing.T) {
			runFleet(t, 3, 24, func(is *is.I, fl *fleet) {
				cfg := &matcher.Configuration{Version: 2}
				for n := range c.workspaces {
					cfg.Workspaces = append(cfg.Workspaces, matcher.Workspace{Name: fmt.Sprint("workspace", n), Keys: []string{fmt.Sprint("key", n)}})
				}
				fl.calls.Store(0)
				fl.source.Configure(cfg)
				is.True(await(3*time.Second, func() bool {
					for _, m := range fl.members {
						if m.follow.Table().Version != 2 {
							return false
						}
					}
					return true
				}) <= 1500*time.Millisecond)
				time.Sleep(1500 * time.Millisecond)
				is.True(maxReadAge(fl.members) <= 1500*time.Millisecond)
				is.True(fl.calls.Load() <= int64(3*3*3+c.mostReads)) // one reader per data centre for 3 s
			})
		})
	}
}

// TestSourceSilent guards against a fleet in which each host calls a source that answers none of
// them, as often as a reader does.
func TestSourceSilent(t *testing.T) {
	for _, size := range []struct{ centres, each int }{{1, 4}, {3, 24}, {3, 46}} {
		t.Run(fmt.Sprint(size.centres*size.each), func(t *testing.T) {
			runFleet(t, size.centres, size.each, func(is *is.I, fl *fleet) {
				for _, m := range fl.members {
					m.refused.Store(true)
				}
				fl.calls.Store(0)
				time.Sleep(10 * time.Second)
				t.Logf("%d calls in 10 s", fl.calls.Load())
				// A reader retries four times a second, and one of the others a tenth as often.
				readers := min(2*size.centres, len(fl.members))
				if len(fl.members) <= 4 {
					readers = len(fl.members)
				}
				is.True(fl.calls.Load() <= int64(40*readers+4*(len(fl.members)-readers)))
				for _, m := range fl.members {
					m.refused.Store(false)
				}
				is.True(await(3*time.Second, func() bool { return maxReadAge(fl.members) < 1500*time.Millisecond }) <= time.Second)
			})
		})
	}
}

// TestOneHostReadsSource guards against a fleet that stays out of date although one of its hosts,
// which is no relay, can read the source.
func TestOneHostReadsSource(t *testing.T) {
	for _, each := range []int{8, 46} {
		t.Run(fmt.Sprint(3*each), func(t *testing.T) {
			runFleet(t, 3, each, func(is *is.I, fl *fleet) {
				var one *member
				for _, m := range fl.members {
					if m.refused.Store(true); !m.share.IsRelay() && !m.share.ReadsSource() && m.dataCentre == "dc1" {
						one = m
					}
				}
				one.refused.Store(false)
				time.Sleep(3 * time.Second)
				fl.calls.Store(0)
				for range 100 {
					is.True(maxReadAge(fl.members) <= 3*time.Second)
					time.Sleep(100 * time.Millisecond)
				}
				t.Logf("%d calls in 10 s", fl.calls.Load())
			})
		})
	}
}
