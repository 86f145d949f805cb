package gossiper_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/gossiper"
	"github.com/sardineward/sardineward/peer"
)

// mesh is a set of gossipers that call each other in memory, with partitions and lost hosts.
type mesh struct {
	hosts map[string]*gossiper.Gossiper
	list  []*gossiper.Gossiper

	mu   sync.Mutex
	down map[string]bool
	// partitioned reports whether messages between two hosts are lost; nil means none are.
	partitioned func(from, to string) bool
	// bytes counts what all hosts sent, headers included.
	bytes int
}

// takeDown makes a host unreachable and its own calls fail.
func (m *mesh) takeDown(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[name] = true
}

// setPartition sets between which hosts messages are lost; nil ends the partition.
func (m *mesh) setPartition(partitioned func(from, to string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned = partitioned
}

func (m *mesh) addBytes(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += n
}

func (m *mesh) sentBytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}

// headerBytes is roughly what HTTP and Twirp add to a message in each direction.
const headerBytes = 320

// link is the client by which one host of a mesh calls another.
type link struct {
	*mesh
	from, to string
}

// deliver counts a request and fails when it can't reach the other host.
func (w link) deliver(in proto.Message) error {
	w.addBytes(proto.Size(in) + 2*headerBytes)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[w.to] || w.down[w.from] || w.partitioned != nil && w.partitioned(w.from, w.to) {
		return context.DeadlineExceeded
	}
	return nil
}

func (w link) Exchange(ctx context.Context, in *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	if err := w.deliver(in); err != nil {
		return nil, err
	}
	out, err := w.hosts[w.to].Exchange(ctx, in)
	w.addBytes(proto.Size(out))
	return out, err
}

func (w link) Relay(ctx context.Context, in *peer.RelayRequest) (*peer.RelayResponse, error) {
	if err := w.deliver(in); err != nil {
		return nil, err
	}
	return w.hosts[w.to].Relay(ctx, in)
}

func (w link) Sync(ctx context.Context, in *peer.SyncRequest) (*peer.SyncResponse, error) {
	if err := w.deliver(in); err != nil {
		return nil, err
	}
	out, err := w.hosts[w.to].Sync(ctx, in)
	w.addBytes(proto.Size(out))
	return out, err
}

func (w link) Configuration(context.Context, *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	return nil, context.Canceled
}

func (w link) Record(context.Context, *peer.RecordRequest) (*peer.RecordResponse, error) {
	return nil, context.Canceled
}

func (w link) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	return nil, context.Canceled
}

const period = time.Second

func newMesh(n int) *mesh {
	m := &mesh{hosts: make(map[string]*gossiper.Gossiper), down: make(map[string]bool)}
	for i := range n {
		m.addHost(i)
	}
	return m
}

func (m *mesh) addHost(i int) *gossiper.Gossiper {
	name := fmt.Sprintf("host-%d", i)
	g := &gossiper.Gossiper{
		Self: name, Host: &peer.Host{Address: name, DataCentre: fmt.Sprint("dc", i%8), Region: fmt.Sprint("r", i%3)},
		Peers: []string{"host-0", "host-1", "host-2"}, Period: period, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		Dial: func(to string) peer.Peer { return link{m, name, to} },
	}
	g.Start()
	m.hosts[name] = g
	m.list = append(m.list, g)
	return g
}

// start runs all hosts until stop is called; stop waits until they have ended.
func (m *mesh) start() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	for _, g := range m.list {
		go g.Run(ctx)
		time.Sleep(time.Millisecond)
	}
	return func() {
		cancel()
		time.Sleep(10 * period)
	}
}

// awaitAll returns how long it takes until ok holds for every host that is up. It fails the test
// and returns timeout when that takes longer.
func (m *mesh) awaitAll(t *testing.T, timeout time.Duration, ok func(g *gossiper.Gossiper) bool) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < timeout {
		if m.allUp(ok) {
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("condition does not hold for all hosts after %v", timeout)
	return timeout
}

func (m *mesh) allUp(ok func(g *gossiper.Gossiper) bool) bool {
	m.mu.Lock()
	down := maps.Clone(m.down)
	m.mu.Unlock()
	for _, g := range m.list {
		if !down[g.Self] && !ok(g) {
			return false
		}
	}
	return true
}

func (m *mesh) seesHosts(n int) func(g *gossiper.Gossiper) bool {
	return func(g *gossiper.Gossiper) bool { return len(g.Live()) == n }
}

// TestMesh bounds, at several sizes, how long hosts take to learn of each other, of a leaving
// upstream and of a lost host, and the bytes per second that gossip costs an idle host.
func TestMesh(t *testing.T) {
	for _, n := range meshSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureMesh(t, n) })
		})
	}
}

// measureMesh logs a table row: the number of hosts; the seconds until all know each other, know of
// a leaving upstream, and know of a lost host; and the bytes per second and the CPU share of an idle
// host. CPU time is real while the clock is virtual.
func measureMesh(t *testing.T, n int) {
	m := newMesh(n)
	stop := m.start()
	defer stop()
	joinTime := m.awaitAll(t, time.Minute, m.seesHosts(n))
	leaving := &peer.Item{Kind: peer.ItemKind_ITEM_KIND_LEAVING, Key: "engine", Incarnation: 1, State: 1}
	m.list[0].Publish(true, leaving)
	spreadTime := m.awaitAll(t, time.Minute, func(g *gossiper.Gossiper) bool { return g.Get(leaving.Kind, leaving.Key) != nil })
	time.Sleep(20 * period)
	if *large {
		for _, g := range m.list {
			g.SetDemand(1, make([]float32, 220))
		}
	}
	bytesBefore := m.sentBytes()
	const idlePeriods = 20
	cpuBefore := cpuTime()
	time.Sleep(idlePeriods * period)
	cpu := cpuTime() - cpuBefore
	idleBytesPerSecond := float64(m.sentBytes()-bytesBefore) / idlePeriods / float64(n)
	lost := fmt.Sprintf("host-%d", n/2)
	m.takeDown(lost)
	deathTime := m.awaitAll(t, 2*time.Minute, func(g *gossiper.Gossiper) bool {
		it := g.Get(peer.ItemKind_ITEM_KIND_HOST, lost)
		return it != nil && gossiper.StateOf(it) == gossiper.HostDead
	})
	t.Logf("| %d | %.1f s | %.2f s | %.1f s | %.0f B/s | %.3f%% |", n, joinTime.Seconds(), spreadTime.Seconds(), deathTime.Seconds(), idleBytesPerSecond,
		100*cpu.Seconds()/idlePeriods/float64(n))
	is := is.New(t)
	is.True(spreadTime < 3*time.Second)
	is.True(deathTime < 30*time.Second)
	is.True(idleBytesPerSecond < 4096)
	runtime.KeepAlive(m)
}

// TestPartition guards against a partition that outlasts its cause: each half considers the
// other dead for minutes, and dead hosts aren't probed, so only reconnects rejoin the halves.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 24
		m := newMesh(n)
		stop := m.start()
		defer stop()
		m.awaitAll(t, time.Minute, m.seesHosts(n))
		half := func(name string) bool { return m.hosts[name].Host.DataCentre < "dc4" }
		m.setPartition(func(a, b string) bool { return half(a) != half(b) })
		m.awaitAll(t, 3*time.Minute, m.seesHosts(n/2))
		time.Sleep(2 * time.Minute)
		m.setPartition(nil)
		back := m.awaitAll(t, time.Minute, m.seesHosts(n))
		t.Logf("halves see each other again after %v", back)
	})
}

// TestRefute checks that a live host which a peer reports as dead, after it could not reach it
// for a while, raises its incarnation and is seen as live by all again.
func TestRefute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		stop := m.start()
		defer stop()
		m.awaitAll(t, time.Minute, m.seesHosts(8))
		it := m.list[0].Get(peer.ItemKind_ITEM_KIND_HOST, "host-5")
		m.list[0].Publish(true, &peer.Item{Kind: it.Kind, Key: it.Key, Incarnation: it.Incarnation, State: int32(gossiper.HostDead), Host: it.Host})
		m.awaitAll(t, 20*time.Second, m.seesHosts(8))
	})
}

// TestDemand checks that every host's estimate of the mean demand comes within 30 % of the true
// mean, also after demand moves to more hosts.
func TestDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 16
		m := newMesh(n)
		stop := m.start()
		defer stop()
		m.awaitAll(t, time.Minute, m.seesHosts(n))
		for round := range 60 {
			for i, g := range m.list {
				demand := float32(0)
				if i < 4 {
					demand = 100
				}
				if round >= 30 && i < 8 {
					demand = 100
				}
				g.SetDemand(7, []float32{demand})
			}
			time.Sleep(period)
			if round == 29 {
				assertMean(t, m, 25)
			}
		}
		assertMean(t, m, 50)
	})
}

// TestDemandOfLostHosts guards against estimates that keep the demand of hosts which are gone for long.
func TestDemandOfLostHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n, lost = 16, 2
		m := newMesh(n)
		stop := m.start()
		defer stop()
		m.awaitAll(t, time.Minute, m.seesHosts(n))
		for second := range 200 {
			for i, g := range m.list {
				g.SetDemand(7, []float32{float32(100 * max(0, 4-i))})
			}
			if second == 30 {
				for _, g := range m.list[:lost] { // 700 of 1,000
					m.takeDown(g.Self)
				}
			}
			time.Sleep(period)
		}
		m.list = m.list[lost:]
		assertMean(t, m, 300.0/(n-lost))
	})
}

func assertMean(t *testing.T, m *mesh, want float32) {
	t.Helper()
	for _, g := range m.list {
		got := g.Demand(7)[0]
		if got < want*0.7 || got > want*1.3 {
			t.Errorf("%s estimates the mean demand as %v, want %v within 30 %%", g.Self, got, want)
		}
	}
}
