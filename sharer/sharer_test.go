package sharer_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/peer"
	"github.com/sardineward/sardineward/sharer"
	"github.com/sardineward/sardineward/tracker"
)

// host follows a source of its own and exchanges state with the other hosts.
type host struct {
	source   *faker.Directory
	follow   *follower.Follower
	balancer *balancer.Balancer
	suspects *tracker.Suspects
	// fullRequests counts the calls of other hosts that asked for everything this host read.
	fullRequests atomic.Int64
}

// counter counts the full requests that a host receives.
type counter struct {
	peer.Share
	*host
}

func (c counter) Exchange(ctx context.Context, req *peer.ShareRequest) (*peer.ShareResponse, error) {
	if req.Behind {
		c.fullRequests.Add(1)
	}
	return c.Share.Exchange(ctx, req)
}

// run connects hosts a, b and c in virtual time.
func run(t *testing.T, f func(n *faker.Network, hosts map[string]*host)) {
	t.Helper()
	runHosts(t, []string{"a", "b", "c"}, f)
}

// runHosts connects hosts, each in a data centre of its own, in virtual time and calls f after two
// seconds.
func runHosts(t *testing.T, names []string, f func(n *faker.Network, hosts map[string]*host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		n := faker.NewNetwork()
		hosts := make(map[string]*host)
		ctx, cancel := context.WithCancel(context.Background())
		started := time.Now()
		now := func() time.Duration { return time.Since(started) + time.Second }
		for _, name := range names {
			h := &host{source: new(faker.Directory), balancer: new(balancer.Balancer), suspects: new(tracker.Suspects)}
			h.follow = &follower.Follower{Source: h.source, Balancer: h.balancer, Now: now}
			h.source.Configure(&matcher.Configuration{Version: 1})
			h.source.PutUpstream(balancer.Upstream{ID: "one", Address: "1"})
			for _, other := range names {
				if other != name {
					h.source.AddHost(follower.Host{Name: other, Address: other + ":1", DataCentre: other})
				}
			}
			tr := &http.Transport{DialContext: n.Dialer(name)}
			s := &sharer.Sharer{Self: name, DataCentre: name, Follower: h.follow, Balancer: h.balancer, Suspects: h.suspects, Now: now, HTTP: &http.Client{Transport: tr}, Log: zerolog.Nop()}
			n.SetLocation(name+":1", name)
			kill, err := faker.Serve(n.Listen, name+":1", peer.NewShareServer(counter{s, h}))
			is.New(t).NoErr(err)
			defer kill()
			defer tr.CloseIdleConnections()
			go h.follow.Run(ctx)
			go s.Run(ctx)
			hosts[name] = h
		}
		time.Sleep(2 * time.Second)
		f(n, hosts)
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestRefusedHostFollowsPeers checks that a host does not become stale while the store refuses it
// and serves the others.
func TestRefusedHostFollowsPeers(t *testing.T) {
	for _, refusedHost := range []string{"a", "b", "c"} {
		t.Run(refusedHost, func(t *testing.T) {
			run(t, func(_ *faker.Network, hosts map[string]*host) {
				is := is.New(t)
				hosts[refusedHost].source.SetUnavailable(true)
				for name, h := range hosts {
					if name != refusedHost {
						h.source.Configure(&matcher.Configuration{Version: 5})
						h.source.PutUpstream(balancer.Upstream{ID: "two", Address: "2"})
						h.source.DeleteUpstream("one")
					}
				}
				time.Sleep(5 * time.Second)
				h := hosts[refusedHost]
				is.True(h.follow.OwnAge() > 4*time.Second)
				is.True(h.follow.Age() < 3*time.Second)
				is.Equal(h.follow.Table().Version, int64(5))
				is.Equal(h.balancer.IDs(), []string{"two"})
			})
		})
	}
}

// TestRefusedHostTraffic checks that the link of a host that the store refuses is not saturated by
// all others sending it the same configurations.
func TestRefusedHostTraffic(t *testing.T) {
	names := strings.Split("abcdefghijkl", "")
	runHosts(t, names, func(_ *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		hosts["l"].source.SetUnavailable(true)
		time.Sleep(3 * time.Second)
		for _, h := range hosts {
			h.fullRequests.Store(0)
		}
		const length, rounds = 5 * time.Second, 25
		version := int64(1)
		for range 10 * length / time.Second {
			version++
			for _, name := range names[:len(names)-1] {
				hosts[name].source.Configure(&matcher.Configuration{Version: version})
			}
			time.Sleep(100 * time.Millisecond)
		}
		asked := int64(0)
		for _, h := range hosts {
			asked += h.fullRequests.Load()
		}
		is.True(asked <= 2*(rounds+1))
		time.Sleep(2 * time.Second)
		is.Equal(hosts["l"].follow.Table().Version, version)
		is.True(hosts["l"].follow.Age() < 3*time.Second)
	})
}

// TestSourcesUnreachable checks that a host does not keep asking only peers that it cannot reach.
func TestSourcesUnreachable(t *testing.T) {
	runHosts(t, []string{"a", "b", "c", "d", "e", "f"}, func(n *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		hosts["f"].source.SetUnavailable(true)
		for _, other := range []string{"a", "b", "d", "e"} {
			n.Partition("f", other)
		}
		time.Sleep(3 * time.Second)
		hosts["c"].source.Configure(&matcher.Configuration{Version: 9})
		time.Sleep(3 * time.Second)
		is.Equal(hosts["f"].follow.Table().Version, int64(9))
		is.True(hosts["f"].follow.Age() < 3*time.Second)
	})
}

// TestAllHostsRefused checks that hosts without access to the store do not confirm each other as up
// to date.
func TestAllHostsRefused(t *testing.T) {
	run(t, func(_ *faker.Network, hosts map[string]*host) {
		for _, h := range hosts {
			h.source.SetUnavailable(true)
		}
		time.Sleep(10 * time.Second)
		for name, h := range hosts {
			if h.follow.Age() < 9*time.Second {
				t.Fatalf("host %q reports a staleness of %v, want at least 9s", name, h.follow.Age())
			}
		}
	})
}

// TestIsolatedHost checks that a host that reaches neither the store nor a peer does not look up to
// date.
func TestIsolatedHost(t *testing.T) {
	run(t, func(n *faker.Network, hosts map[string]*host) {
		hosts["c"].source.SetUnavailable(true)
		n.Partition("c", "a")
		n.Partition("c", "b")
		time.Sleep(10 * time.Second)
		is.New(t).True(hosts["c"].follow.Age() > 9*time.Second)
	})
}

// TestUsageReported checks that what a host observed of an upstream reaches the reports of the
// other hosts.
func TestUsageReported(t *testing.T) {
	run(t, func(_ *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		for _, h := range hosts {
			h.balancer.SetHosts(map[string]string{"a": "x", "b": "x", "c": "x"})
		}
		is.True(hosts["b"].balancer.SetDead(0, "one", true))
		is.True(hosts["b"].balancer.Eject(10*time.Second, "one"))
		is.True(hosts["b"].balancer.SetPace(3*time.Second, "one", 4))
		time.Sleep(time.Second)
		want := []balancer.Usage{{Upstream: "one", DeadHosts: 1, SuspectingHosts: 1, Pace: 4, PaceHosts: 1}}
		is.Equal(hosts["a"].balancer.ReportOf("dataCentre:b").Usage, want)
		is.Equal(hosts["c"].balancer.ReportOf("dataCentre:b").Usage, want)
	})
}

// TestStrikes checks that a request that crashes upstreams is quarantined at all hosts, so that it
// does not crash one more upstream at each.
func TestStrikes(t *testing.T) {
	run(t, func(_ *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		const guilty, innocent = 7, 8
		for name, upstream := range map[string]string{"a": "one", "b": "two"} {
			hosts[name].suspects.Add(tracker.NewStrike(time.Now(), guilty, upstream, 1))
			hosts[name].suspects.Add(tracker.NewStrike(time.Now(), innocent, upstream, 1))
		}
		hosts["a"].suspects.Clear(time.Now(), innocent)
		time.Sleep(time.Second)
		hosts["b"].suspects.Clear(time.Now(), innocent)
		time.Sleep(time.Second)
		_, refused := hosts["c"].suspects.Quarantined(time.Now(), guilty)
		is.True(refused)
		_, refused = hosts["c"].suspects.Quarantined(time.Now(), innocent)
		is.True(!refused)
	})
}
