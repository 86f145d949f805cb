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

// host follows a source of its own and exchanges with the others.
type host struct {
	source   *faker.Directory
	follow   *follower.Follower
	balancer *balancer.Balancer
	suspects *tracker.Suspects
	// asked is how often others asked for what this host read.
	asked atomic.Int64
}

// counter counts what a host is asked for.
type counter struct {
	peer.Share
	*host
}

func (c counter) Exchange(ctx context.Context, req *peer.ShareRequest) (*peer.ShareResponse, error) {
	if req.Behind {
		c.asked.Add(1)
	}
	return c.Share.Exchange(ctx, req)
}

// run joins hosts a, b and c in virtual time.
func run(t *testing.T, f func(n *faker.Network, hosts map[string]*host)) {
	t.Helper()
	runHosts(t, []string{"a", "b", "c"}, f)
}

// runHosts joins hosts in virtual time.
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
			h.source.List(balancer.Upstream{ID: "one", Address: "1"})
			for _, other := range names {
				if other != name {
					h.source.Host(follower.Host{Name: other, Address: other + ":1", DataCentre: other})
				}
			}
			tr := &http.Transport{DialContext: n.Dialer(name)}
			s := &sharer.Sharer{Self: name, DataCentre: name, Follower: h.follow, Balancer: h.balancer, Suspects: h.suspects, Now: now, HTTP: &http.Client{Transport: tr}, Log: zerolog.Nop()}
			n.Place(name+":1", name)
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

// TestTurnedAway guards against a host that grows out of date while the store turns it
// away and serves the others.
func TestTurnedAway(t *testing.T) {
	for _, away := range []string{"a", "b", "c"} {
		t.Run(away, func(t *testing.T) {
			run(t, func(_ *faker.Network, hosts map[string]*host) {
				is := is.New(t)
				hosts[away].source.SetAway(true)
				for name, h := range hosts {
					if name != away {
						h.source.Configure(&matcher.Configuration{Version: 5})
						h.source.List(balancer.Upstream{ID: "two", Address: "2"})
						h.source.Drop("one")
					}
				}
				time.Sleep(5 * time.Second)
				h := hosts[away]
				is.True(h.follow.OwnAge() > 4*time.Second)
				is.True(h.follow.Age() < 3*time.Second)
				is.Equal(h.follow.Table().Version, int64(5))
				is.Equal(h.balancer.IDs(), []string{"two"})
			})
		})
	}
}

// TestLinkOfOneTurnedAway guards against a link that is full of the same configurations,
// sent by all hosts to one that the store turns away.
func TestLinkOfOneTurnedAway(t *testing.T) {
	names := strings.Split("abcdefghijkl", "")
	runHosts(t, names, func(_ *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		hosts["l"].source.SetAway(true)
		time.Sleep(3 * time.Second)
		for _, h := range hosts {
			h.asked.Store(0)
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
			asked += h.asked.Load()
		}
		is.True(asked <= 2*(rounds+1))
		time.Sleep(2 * time.Second)
		is.Equal(hosts["l"].follow.Table().Version, version)
		is.True(hosts["l"].follow.Age() < 3*time.Second)
	})
}

// TestSourcesLost guards against a host that asks only peers out of its reach.
func TestSourcesLost(t *testing.T) {
	runHosts(t, []string{"a", "b", "c", "d", "e", "f"}, func(n *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		hosts["f"].source.SetAway(true)
		for _, other := range []string{"a", "b", "d", "e"} {
			n.Cut("f", other)
		}
		time.Sleep(3 * time.Second)
		hosts["c"].source.Configure(&matcher.Configuration{Version: 9})
		time.Sleep(3 * time.Second)
		is.Equal(hosts["f"].follow.Table().Version, int64(9))
		is.True(hosts["f"].follow.Age() < 3*time.Second)
	})
}

// TestAllAway guards against hosts that pass for fresh by each other's word.
func TestAllAway(t *testing.T) {
	run(t, func(_ *faker.Network, hosts map[string]*host) {
		for _, h := range hosts {
			h.source.SetAway(true)
		}
		time.Sleep(10 * time.Second)
		for name, h := range hosts {
			if h.follow.Age() < 9*time.Second {
				t.Fatalf("%s believes to be %v old", name, h.follow.Age())
			}
		}
	})
}

// TestAlone guards against a host that is cut off from all and believes to be fresh.
func TestAlone(t *testing.T) {
	run(t, func(n *faker.Network, hosts map[string]*host) {
		hosts["c"].source.SetAway(true)
		n.Cut("c", "a")
		n.Cut("c", "b")
		time.Sleep(10 * time.Second)
		is.New(t).True(hosts["c"].follow.Age() > 9*time.Second)
	})
}

func TestInFlightHeard(t *testing.T) {
	run(t, func(_ *faker.Network, hosts map[string]*host) {
		is := is.New(t)
		for _, h := range hosts {
			h.balancer.SetHosts(map[string]string{"a": "x", "b": "x", "c": "x"})
		}
		is.True(hosts["b"].balancer.SetDead(0, "one", true))
		is.True(hosts["b"].balancer.Out(10*time.Second, "one"))
		is.True(hosts["b"].balancer.SetPace(3*time.Second, "one", 4))
		time.Sleep(time.Second)
		want := []balancer.Usage{{Upstream: "one", Dead: 1, Suspected: 1, Pace: 4, Paced: 1}}
		is.Equal(hosts["a"].balancer.ReportOf("dataCentre:b").Usage, want)
		is.Equal(hosts["c"].balancer.ReportOf("dataCentre:b").Usage, want)
	})
}

// TestStrikes guards against a request that crashes one more upstream at each host.
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
