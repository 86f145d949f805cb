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

// mesh is gossipers that call each other directly, and counts their bytes.
type mesh struct {
	hosts map[string]*gossiper.Gossiper
	list  []*gossiper.Gossiper

	mu    sync.Mutex
	down  map[string]bool
	cut   func(from, to string) bool
	bytes int
}

// lose takes a host away.
func (m *mesh) lose(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down[name] = true
}

// setCut says between which hosts nothing passes; nil mends.
func (m *mesh) setCut(cut func(from, to string) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

func (m *mesh) add(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes += n
}

func (m *mesh) sent() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}

// header is about what HTTP and twirp put around a message each way.
const header = 320

// wire is a mesh seen from one host.
type wire struct {
	*mesh
	from, to string
}

func (w wire) reach(in proto.Message) error {
	w.add(proto.Size(in) + 2*header)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.down[w.to] || w.down[w.from] || w.cut != nil && w.cut(w.from, w.to) {
		return context.DeadlineExceeded
	}
	return nil
}

func (w wire) Exchange(ctx context.Context, in *peer.ExchangeRequest) (*peer.ExchangeResponse, error) {
	if err := w.reach(in); err != nil {
		return nil, err
	}
	out, err := w.hosts[w.to].Exchange(ctx, in)
	w.add(proto.Size(out))
	return out, err
}

func (w wire) Relay(ctx context.Context, in *peer.RelayRequest) (*peer.RelayResponse, error) {
	if err := w.reach(in); err != nil {
		return nil, err
	}
	return w.hosts[w.to].Relay(ctx, in)
}

func (w wire) Sync(ctx context.Context, in *peer.SyncRequest) (*peer.SyncResponse, error) {
	if err := w.reach(in); err != nil {
		return nil, err
	}
	out, err := w.hosts[w.to].Sync(ctx, in)
	w.add(proto.Size(out))
	return out, err
}

func (w wire) Configuration(context.Context, *peer.ConfigurationRequest) (*peer.ConfigurationResponse, error) {
	return nil, context.Canceled
}

func (w wire) Record(context.Context, *peer.RecordRequest) (*peer.RecordResponse, error) {
	return nil, context.Canceled
}

func (w wire) Status(context.Context, *peer.StatusRequest) (*peer.StatusResponse, error) {
	return nil, context.Canceled
}

const period = time.Second

func newMesh(n int) *mesh {
	m := &mesh{hosts: make(map[string]*gossiper.Gossiper), down: make(map[string]bool)}
	for i := range n {
		m.join(i)
	}
	return m
}

func (m *mesh) join(i int) *gossiper.Gossiper {
	name := fmt.Sprintf("host-%d", i)
	g := &gossiper.Gossiper{
		Self: name, Host: &peer.Host{Address: name, DataCentre: fmt.Sprint("dc", i%8), Region: fmt.Sprint("r", i%3)},
		Peers: []string{"host-0", "host-1", "host-2"}, Period: period, Rand: rand.New(rand.NewPCG(uint64(i), 1)),
		Dial: func(to string) peer.Peer { return wire{m, name, to} },
	}
	g.Start()
	m.hosts[name] = g
	m.list = append(m.list, g)
	return g
}

// start runs all hosts until the returned function is called.
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

// await returns how long it takes until a condition holds of every live host.
func (m *mesh) await(t *testing.T, most time.Duration, ok func(g *gossiper.Gossiper) bool) time.Duration {
	t.Helper()
	start := time.Now()
	for time.Since(start) < most {
		if m.all(ok) {
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("condition not reached in %v", most)
	return most
}

func (m *mesh) all(ok func(g *gossiper.Gossiper) bool) bool {
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

func (m *mesh) sees(n int) func(g *gossiper.Gossiper) bool {
	return func(g *gossiper.Gossiper) bool { return len(g.Live()) == n }
}

// TestMesh measures, at several sizes, how long hosts take to know of each
// other, of a leaving upstream, of a revision and of a lost host, and what
// gossip costs at rest.
func TestMesh(t *testing.T) {
	for _, n := range meshSizes() {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measureMesh(t, n) })
		})
	}
}

func measureMesh(t *testing.T, n int) {
	m := newMesh(n)
	stop := m.start()
	defer stop()
	joined := m.await(t, time.Minute, m.sees(n))
	leaving := &peer.Item{Kind: peer.ItemKind_ITEM_KIND_LEAVING, Key: "engine", Incarnation: 1, State: 1}
	m.list[0].Publish(true, leaving)
	heard := m.await(t, time.Minute, func(g *gossiper.Gossiper) bool { return g.Get(leaving.Kind, leaving.Key) != nil })
	time.Sleep(20 * period)
	if *large {
		for _, g := range m.list {
			g.SetDemand(1, make([]float32, 220))
		}
	}
	bytes := m.sent()
	const rest = 20
	began := processTime()
	time.Sleep(rest * period)
	cpu := processTime() - began
	quiet := float64(m.sent()-bytes) / rest / float64(n)
	lost := fmt.Sprintf("host-%d", n/2)
	m.lose(lost)
	dead := m.await(t, 2*time.Minute, func(g *gossiper.Gossiper) bool {
		it := g.Get(peer.ItemKind_ITEM_KIND_HOST, lost)
		return it != nil && gossiper.StateOf(it) == gossiper.HostDead
	})
	t.Logf("| %d | %.1f s | %.2f s | %.1f s | %.0f B/s | %.3f%% |", n, joined.Seconds(), heard.Seconds(), dead.Seconds(), quiet,
		100*cpu.Seconds()/rest/float64(n))
	is := is.New(t)
	is.True(heard < 3*time.Second)
	is.True(dead < 30*time.Second)
	is.True(quiet < 4096)
	runtime.KeepAlive(m)
}

// TestPartition. Two halves of the fleet lose each other for minutes, and each
// declares the other dead. When the link is back neither asked the other, since
// the dead aren't probed. Hosts now and then try one they think dead.
func TestPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 24
		m := newMesh(n)
		stop := m.start()
		defer stop()
		m.await(t, time.Minute, m.sees(n))
		half := func(name string) bool { return m.hosts[name].Host.DataCentre < "dc4" }
		m.setCut(func(a, b string) bool { return half(a) != half(b) })
		m.await(t, 3*time.Minute, m.sees(n/2))
		time.Sleep(2 * time.Minute)
		m.setCut(nil)
		back := m.await(t, time.Minute, m.sees(n))
		t.Logf("whole again after %v", back)
	})
}

// TestRefute. A host is reported dead, by a peer that could not reach it for a
// while, and is alive. It raises its incarnation, and all see it again.
func TestRefute(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		stop := m.start()
		defer stop()
		m.await(t, time.Minute, m.sees(8))
		it := m.list[0].Get(peer.ItemKind_ITEM_KIND_HOST, "host-5")
		m.list[0].Publish(true, &peer.Item{Kind: it.Kind, Key: it.Key, Incarnation: it.Incarnation, State: int32(gossiper.HostDead), Host: it.Host})
		m.await(t, 20*time.Second, m.sees(8))
	})
}

// TestDemand checks that the mean of demands is found, also when a host is lost
// and demand moves.
func TestDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 16
		m := newMesh(n)
		stop := m.start()
		defer stop()
		m.await(t, time.Minute, m.sees(n))
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

func assertMean(t *testing.T, m *mesh, want float32) {
	t.Helper()
	for _, g := range m.list {
		got := g.Demand(7)[0]
		if got < want*0.7 || got > want*1.3 {
			t.Errorf("%s takes the mean for %v, want about %v", g.Self, got, want)
		}
	}
}
