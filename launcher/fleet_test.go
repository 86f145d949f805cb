package launcher_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/launcher"
)

// fleet is several hosts in three data centres, under load.
type fleet struct {
	*bench
	hosts []follower.Host
	// kill ends a host at once, by name.
	kill map[string]func()
	// connect gives a host its source and its store.
	connect func(h *launcher.Host, f follower.Host)

	mu sync.Mutex
	// statuses count answers and refusals.
	statuses map[int]int
	slowest  time.Duration
}

var centres = []string{"a", "b", "c"}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	fl := &fleet{bench: newBench(t), kill: make(map[string]func()), statuses: make(map[int]int)}
	fl.connect = func(h *launcher.Host, f follower.Host) { h.Source = others{fl.source, f.Name} }
	return fl
}

// run runs hosts under requests of one path, some a second in all, while f does.
func (fl *fleet) run(hosts int, path string, perSecond float64, f func()) {
	for n := range hosts {
		h := follower.Host{Name: fmt.Sprintf("host-%03d", n), DataCentre: centres[n%len(centres)], Address: fmt.Sprintf("10.0.%d.%d:82", n/200, n%200+1)}
		fl.source.Host(h)
		fl.hosts = append(fl.hosts, h)
	}
	for _, h := range fl.hosts {
		fl.start(h)
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { fl.load(ctx, path, perSecond) })
	f()
	cancel()
	callers.Wait()
	fl.client.CloseIdleConnections()
	for _, kill := range fl.kill {
		kill()
	}
	time.Sleep(10 * time.Second)
}

// start runs a host until it is killed.
func (fl *fleet) start(f follower.Host) {
	h := fl.host(f)
	fl.connect(h, f)
	ctx, cancel := context.WithCancel(context.Background())
	h.Settings.BalancerMs, h.Settings.StopMs = 10, 20
	fl.net.Place(f.Address, f.Name)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	fl.kill[f.Name] = func() {
		delete(fl.kill, f.Name)
		cancel()
		fl.net.Break(f.Name)
		<-done
	}
}

// others is a source without the entry of the host that reads it.
type others struct {
	*faker.Directory
	self string
}

func (o others) Load(ctx context.Context, turn follower.LoadDelay) (*follower.Changes, error) {
	return o.without(o.Directory.Load(ctx, turn))
}

func (o others) Changes(ctx context.Context, after follower.Position, wait time.Duration) (*follower.Changes, error) {
	return o.without(o.Directory.Changes(ctx, after, wait))
}

func (o others) without(ch *follower.Changes, err error) (*follower.Changes, error) {
	if err != nil {
		return nil, err
	}
	out := *ch
	out.Hosts = nil
	for _, h := range ch.Hosts {
		if h.Name != o.self {
			out.Hosts = append(out.Hosts, h)
		}
	}
	return &out, nil
}

// load makes requests to hosts drawn by a seed, at random moments, until ctx ends.
func (fl *fleet) load(ctx context.Context, path string, perSecond float64) {
	rnd := rand.New(rand.NewPCG(31, 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		h := fl.hosts[rnd.IntN(len(fl.hosts))]
		ip, _, _ := strings.Cut(h.Address, ":")
		wg.Go(func() {
			r := fl.requestAt(ip+":80", http.MethodPost, path, fmt.Sprint("r", n), nil)
			fl.mu.Lock()
			defer fl.mu.Unlock()
			fl.statuses[r.status]++
			fl.slowest = max(fl.slowest, r.took)
		})
	}
}

// count is how many requests were answered with a status.
func (fl *fleet) count(status int) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.statuses[status]
}

// all is how many requests were answered.
func (fl *fleet) all() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	n := 0
	for _, one := range fl.statuses {
		n += one
	}
	return n
}

// served counts the requests that a stage ran since a time.
func (fl *fleet) served(id string, since time.Time) int {
	n := 0
	for _, one := range fl.stages[id].Seen() {
		if one.Ran && one.At.After(since) {
			n++
		}
	}
	return n
}

// crash ends a host at once, its entry lapses as its lease does.
func (fl *fleet) crash(name string) {
	fl.kill[name]()
	time.Sleep(3 * time.Second)
	fl.source.DropHost(name)
}

// again starts a host that has crashed.
func (fl *fleet) again(name string) {
	for _, h := range fl.hosts {
		if h.Name == name {
			fl.source.Host(h)
			fl.start(h)
		}
	}
}
