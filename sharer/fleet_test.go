package sharer_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
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

// member is one host of a fleet that follows one source.
type member struct {
	name, dataCentre string
	follow           *follower.Follower
	balancer         *balancer.Balancer
	share            *sharer.Sharer
	suspects         *tracker.Suspects
	away             atomic.Bool
	run, kill        func()
}

// fleet is hosts in some data centres before one source.
type fleet struct {
	net     *faker.Network
	source  *faker.Directory
	members []*member
	calls   atomic.Int64
	// quiet stops the upstream that repeats its entry.
	quiet atomic.Bool
	now   func() time.Duration
}

// view is the source as one host reads it: its own entry is left out.
type view struct {
	*member
	fleet *fleet
}

func (v view) Load(ctx context.Context, turn follower.Turn) (*follower.Changes, error) {
	return v.see(v.fleet.source.Load(ctx, turn))
}

func (v view) Changes(ctx context.Context, after follower.Position, wait time.Duration) (*follower.Changes, error) {
	return v.see(v.fleet.source.Changes(ctx, after, wait))
}

func (v view) Configuration(ctx context.Context) (*matcher.Configuration, error) {
	v.fleet.calls.Add(1)
	if v.away.Load() {
		return nil, errors.New("turned away")
	}
	return v.fleet.source.Configuration(ctx)
}

func (v view) see(ch *follower.Changes, err error) (*follower.Changes, error) {
	v.fleet.calls.Add(1)
	if v.away.Load() {
		return nil, errors.New("turned away")
	}
	if err != nil {
		return nil, err
	}
	out := *ch
	out.Hosts = nil
	for _, h := range ch.Hosts {
		if h.Name != v.name {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return &out, nil
}

// runFleet runs hosts in virtual time, with an upstream that repeats its entry all
// the time, and lets them settle.
func runFleet(t *testing.T, centres, each int, f func(is *is.I, fl *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		started := time.Now()
		fl := &fleet{net: faker.NewNetwork(), source: new(faker.Directory)}
		fl.now = func() time.Duration { return time.Since(started) + time.Second }
		fl.source.Configure(&matcher.Configuration{Version: 1})
		for i := range centres * each {
			m := &member{name: fmt.Sprintf("host-%03d", i), dataCentre: fmt.Sprint("dc", i%centres)}
			fl.source.Host(follower.Host{Name: m.name, Address: m.name + ":1", DataCentre: m.dataCentre})
			fl.members = append(fl.members, m)
		}
		go fl.beat(ctx)
		// All listen before the first calls another one: who does not answer is passed
		// over for seconds.
		for _, m := range fl.members {
			fl.listen(ctx, t, m)
		}
		for _, m := range fl.members {
			m.run()
		}
		defer func() {
			cancel()
			time.Sleep(5 * time.Second)
			for _, m := range fl.members {
				m.kill()
			}
		}()
		time.Sleep(3 * time.Second)
		f(is.New(t), fl)
	})
}

func (fl *fleet) beat(ctx context.Context) {
	for ctx.Err() == nil {
		if !fl.quiet.Load() {
			fl.source.List(balancer.Upstream{ID: "steady", Address: "0"})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (fl *fleet) listen(ctx context.Context, t *testing.T, m *member) {
	t.Helper()
	m.balancer = &balancer.Balancer{DataCentre: m.dataCentre}
	m.suspects = new(tracker.Suspects)
	m.follow = &follower.Follower{Source: view{m, fl}, Balancer: m.balancer, Now: fl.now, Log: zerolog.Nop()}
	m.follow.OnChange = func() {
		hosts := make(map[string]string)
		for _, h := range m.follow.Hosts() {
			hosts[h.Name] = h.DataCentre
		}
		m.balancer.SetHosts(hosts)
	}
	tr := &http.Transport{DialContext: fl.net.Dialer(m.name), MaxIdleConnsPerHost: 1}
	m.share = &sharer.Sharer{Self: m.name, DataCentre: m.dataCentre, Follower: m.follow, Balancer: m.balancer, Suspects: m.suspects, Now: fl.now, HTTP: &http.Client{Transport: tr}, Log: zerolog.Nop()}
	m.follow.Reads, m.follow.Readers = m.share.Reads, m.share.Readers
	fl.net.Place(m.name+":1", m.name)
	fl.net.Alias(m.name+":1", m.dataCentre)
	stop, err := faker.Serve(fl.net.Listen, m.name+":1", peer.NewShareServer(m.share))
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(ctx)
	m.kill = func() {
		cancel()
		stop()
		tr.CloseIdleConnections()
	}
	m.run = func() {
		go m.follow.Run(ctx)
		go m.share.Run(ctx)
	}
}

// reader is the host of a data centre that reads the source.
func (fl *fleet) reader(is *is.I, dataCentre string) *member {
	var out *member
	for _, m := range fl.members {
		if m.dataCentre == dataCentre && m.share.Reads() {
			is.True(out == nil) // one of them
			out = m
		}
	}
	is.True(out != nil)
	return out
}

// relays are the hosts of a data centre that others of it report to.
func (fl *fleet) relays(dataCentre string) []*member {
	var out []*member
	for _, m := range fl.members {
		if m.dataCentre == dataCentre && m.share.Relays() {
			out = append(out, m)
		}
	}
	return out
}

// without is the members but some.
func (fl *fleet) without(left []*member) []*member {
	var out []*member
	for _, m := range fl.members {
		keep := true
		for _, l := range left {
			keep = keep && l != m
		}
		if keep {
			out = append(out, m)
		}
	}
	return out
}

// knows reports whether all of some hosts know an upstream, as leaving or not.
func knows(members []*member, id string, leaving bool) bool {
	for _, m := range members {
		found := false
		for _, u := range m.balancer.Listed() {
			found = found || (u.ID == id && u.Leaving == leaving)
		}
		if !found {
			return false
		}
	}
	return true
}

// counted is how many hosts a member has reports of, itself included.
func (fl *fleet) counted(m *member) int {
	n := 0
	for _, hosts := range m.balancer.Sum(fl.now(), func(string) bool { return false }, nil).Hosts {
		n += hosts
	}
	return n
}

// dead is how many hosts a member knows to which an upstream takes no connection.
func (fl *fleet) dead(m *member, id string) int64 {
	for _, u := range m.balancer.Sum(fl.now(), func(string) bool { return false }, nil).Usage {
		if u.Upstream == id {
			return u.Dead
		}
	}
	return 0
}

// oldest is the highest age of what any of some hosts knows.
func oldest(members []*member) time.Duration {
	out := time.Duration(0)
	for _, m := range members {
		out = max(out, m.follow.ReadAge())
	}
	return out
}

// await waits until a condition holds and returns how long that took.
func await(limit time.Duration, ok func() bool) time.Duration {
	started := time.Now()
	for time.Since(started) < limit && !ok() {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// TestFleet guards against calls on the source and news between hosts that grow with
// the hosts of a fleet.
func TestFleet(t *testing.T) {
	for _, size := range []struct{ centres, each int }{{5, 24}, {3, 8}, {1, 3}} {
		t.Run(fmt.Sprint(size.centres, " data centres of ", size.each), func(t *testing.T) {
			runFleet(t, size.centres, size.each, func(is *is.I, fl *fleet) {
				const seconds = 10
				fl.calls.Store(0)
				for range 10 * seconds {
					time.Sleep(100 * time.Millisecond)
					is.True(oldest(fl.members) <= 1500*time.Millisecond)
				}
				is.True(fl.calls.Load() <= int64(3*size.centres*seconds)) // one reader a data centre, 2.5 a second each
				for _, m := range fl.members {
					is.Equal(fl.counted(m), len(fl.members)) // each host once
				}
				for _, m := range fl.members {
					m.balancer.SetDead(fl.now(), "steady", true)
				}
				time.Sleep(2 * time.Second)
				for _, m := range fl.members {
					is.Equal(fl.dead(m, "steady"), int64(len(fl.members)))
				}
				fl.source.List(balancer.Upstream{ID: "new", Address: "1"})
				is.True(await(3*time.Second, func() bool { return knows(fl.members, "new", false) }) <= 1500*time.Millisecond)
				fl.source.List(balancer.Upstream{ID: "new", Address: "1", Leaving: true})
				is.True(await(3*time.Second, func() bool { return knows(fl.members, "new", true) }) <= 1500*time.Millisecond)
				fl.source.Configure(&matcher.Configuration{Version: 2})
				is.True(await(3*time.Second, func() bool {
					for _, m := range fl.members {
						if m.follow.Table().Version != 2 {
							return false
						}
					}
					return true
				}) <= 1500*time.Millisecond)
			})
		})
	}
}

// TestQuietSource guards against hosts that read a source in which nothing changes
// themselves, since what their relays read seems too old.
func TestQuietSource(t *testing.T) {
	runFleet(t, 5, 24, func(is *is.I, fl *fleet) {
		const seconds = 10
		fl.quiet.Store(true)
		time.Sleep(2 * time.Second)
		fl.calls.Store(0)
		for range 10 * seconds {
			time.Sleep(100 * time.Millisecond)
			is.True(oldest(fl.members) <= 1500*time.Millisecond)
		}
		is.True(fl.calls.Load() <= 3*5*seconds)
	})
}

// TestUrgentNews guards against crash suspects that reach distant hosts too late to
// spare an upstream.
func TestUrgentNews(t *testing.T) {
	for _, size := range []struct {
		centres, each int
		most          time.Duration
	}{{5, 24, time.Second}, {5, 60, 2 * time.Second}} {
		t.Run(fmt.Sprint(size.centres*size.each), func(t *testing.T) {
			runFleet(t, size.centres, size.each, func(is *is.I, fl *fleet) {
				const guilty = 7
				fl.members[3].suspects.Add(tracker.NewStrike(time.Now(), guilty, "one", 1))
				fl.members[11].suspects.Add(tracker.NewStrike(time.Now(), guilty, "two", 1))
				took := await(5*time.Second, func() bool {
					for _, m := range fl.members {
						if _, refused := m.suspects.Quarantined(time.Now(), guilty); !refused {
							return false
						}
					}
					return true
				})
				t.Logf("known to all after %v", took)
				is.True(took <= size.most)
			})
		})
	}
}

// TestRelaysLost guards against a data centre that knows nothing once its relays are
// killed at the same moment.
func TestRelaysLost(t *testing.T) {
	runFleet(t, 3, 8, func(is *is.I, fl *fleet) {
		lost := fl.relays("dc1")
		is.Equal(len(lost), 2)
		for _, m := range lost {
			m.kill()
			fl.net.Break(m.name)
		}
		left := fl.without(lost)
		fl.source.List(balancer.Upstream{ID: "new", Address: "1", Leaving: true})
		is.True(await(3*time.Second, func() bool { return knows(left, "new", true) }) <= 2*time.Second)
		for range 40 {
			is.True(oldest(left) <= 2*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(len(fl.relays("dc1")) >= 3) // the lost ones still count themselves
		for _, m := range left {
			is.Equal(fl.counted(m), len(left))
		}
	})
}

// TestReaderTurnedAway guards against a whole data centre that calls the source once
// it turns away the one host that reads it.
func TestReaderTurnedAway(t *testing.T) {
	runFleet(t, 1, 24, func(is *is.I, fl *fleet) {
		away := fl.reader(is, "dc0")
		away.away.Store(true)
		time.Sleep(3 * time.Second)
		fl.calls.Store(0)
		const seconds = 10
		for range 10 * seconds {
			is.True(oldest(fl.members) <= 2*time.Second)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(fl.calls.Load() <= 8*seconds) // the one turned away tries four times a second
	})
}

// TestRelaysTurnedAway guards against hosts that grow out of date while the source
// turns away the relays that read it for them.
func TestRelaysTurnedAway(t *testing.T) {
	runFleet(t, 3, 8, func(is *is.I, fl *fleet) {
		for _, m := range append(fl.relays("dc1"), fl.reader(is, "dc1")) {
			m.away.Store(true)
		}
		time.Sleep(2 * time.Second)
		fl.source.List(balancer.Upstream{ID: "new", Address: "1", Leaving: true})
		is.True(await(6*time.Second, func() bool { return knows(fl.members, "new", true) }) <= 2500*time.Millisecond)
		for range 40 {
			is.True(oldest(fl.members) <= 2500*time.Millisecond)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// TestCentreCut guards against load of a data centre that can't be reached staying in
// the sums of the others.
func TestCentreCut(t *testing.T) {
	runFleet(t, 3, 8, func(is *is.I, fl *fleet) {
		for _, m := range fl.members {
			m.balancer.SetDead(fl.now(), "steady", true)
			if m.dataCentre == "dc2" {
				m.away.Store(true)
			}
		}
		time.Sleep(2 * time.Second)
		fl.net.Cut("dc2", "dc0")
		fl.net.Cut("dc2", "dc1")
		for _, m := range fl.members {
			for _, dc := range []string{"dc0", "dc1", "dc2"} {
				if (m.dataCentre == "dc2") != (dc == "dc2") {
					fl.net.Cut(m.name, dc)
				}
			}
		}
		time.Sleep(4 * time.Second)
		for _, m := range fl.members {
			want := 16
			if m.dataCentre == "dc2" {
				want = 8
			}
			is.Equal(fl.counted(m), want)
			is.Equal(fl.dead(m, "steady"), int64(want))
		}
	})
}
