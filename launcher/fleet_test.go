package launcher_test

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/launcher"
)

// fleet is a testbed with several hosts in three data centres, under load.
type fleet struct {
	*testbed
	hosts []follower.Host
	// startedBefore holds the names of the hosts that were started before.
	startedBefore map[string]bool
	// killHost maps the name of a running host to a function that kills it.
	killHost map[string]func()
	// startedAt maps the name of a host to the time of its last start.
	startedAt map[string]time.Time
	// connect sets a host's configuration source, and its store if that is not the default.
	connect func(h *launcher.Host, f follower.Host)

	// seed determines when and where requests are sent, 0 means 31.
	seed uint64
	// excused holds the hosts that may send in a backoff, since they were restarted.
	excused map[string]bool
	// focus is the name of the host that gets focusShare of the requests; empty means that hosts are drawn evenly.
	focus string
	// retryRefused makes callers that are refused come back once, after Retry-After.
	retryRefused bool
	// onReply is called with each response, if it is not nil.
	onReply func(r *reply)

	mu sync.Mutex
	// statuses counts responses by HTTP status; 0 counts requests without a response.
	statuses map[int]int
	slowest  time.Duration
}

// retriesPerHost is the least fixed number of retries for each host; with less than one, a host with
// few requests could never retry.
const retriesPerHost = 6

// focusShare is the share of the requests that go to the host that fleet.focus names.
const focusShare = 0.75

var dataCentres = []string{"a", "b", "c"}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	fl := &fleet{testbed: newTestbed(t), startedBefore: make(map[string]bool), killHost: make(map[string]func()), startedAt: make(map[string]time.Time), statuses: make(map[int]int)}
	fl.connect = func(h *launcher.Host, f follower.Host) { h.Source = fl.source.Without(f.Name) }
	return fl
}

// runUnderLoad runs hosts that receive perSecond requests in all for one path while f runs.
func (fl *fleet) runUnderLoad(hosts int, path string, perSecond float64, f func()) {
	for n := range hosts {
		h := follower.Host{Name: fmt.Sprintf("host-%03d", n), DataCentre: dataCentres[n%len(dataCentres)], Address: fmt.Sprintf("10.0.%d.%d:82", n/200, n%200+1)}
		fl.source.AddHost(h)
		fl.hosts = append(fl.hosts, h)
	}
	for _, h := range fl.hosts {
		fl.startHost(h)
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	callers.Go(func() { fl.load(ctx, path, perSecond) })
	f()
	cancel()
	callers.Wait()
	fl.client.CloseIdleConnections()
	for _, kill := range fl.killHost {
		kill()
	}
	time.Sleep(10 * time.Second)
}

// startHost starts a host, which runs until it is killed.
func (fl *fleet) startHost(f follower.Host) {
	h := fl.newHost(f)
	fl.connect(h, f)
	ctx, cancel := context.WithCancel(context.Background())
	h.Settings.BalancerMs, h.Settings.StopMs = 10, 20
	h.Settings.FirstStart = !fl.startedBefore[f.Name]
	fl.startedBefore[f.Name] = true
	fl.startedAt[f.Name] = time.Now()
	h.Settings.RetryFixed = max(h.Settings.RetryFixed, retriesPerHost*float64(len(fl.hosts)))
	fl.net.SetLocation(f.Address, f.Name)
	done := make(chan error, 1)
	go func() { done <- h.Run(ctx) }()
	fl.killHost[f.Name] = func() {
		fl.mu.Lock()
		delete(fl.killHost, f.Name)
		fl.mu.Unlock()
		cancel()
		fl.net.CloseConnections(f.Name)
		<-done
	}
}

// load sends requests to random hosts, as a Poisson process with a fixed seed, until ctx ends.
func (fl *fleet) load(ctx context.Context, path string, perSecond float64) {
	rnd := rand.New(rand.NewPCG(cmp.Or(fl.seed, 31), 1))
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(rnd.ExpFloat64() / perSecond * float64(time.Second)))
		h := fl.focused(rnd, fl.hosts[rnd.IntN(len(fl.hosts))])
		again := h
		if fl.retryRefused {
			again = fl.hosts[rnd.IntN(len(fl.hosts))]
		}
		ip, _, _ := strings.Cut(h.Address, ":")
		wg.Go(func() {
			r := fl.requestAt(ip+":80", http.MethodPost, path, fmt.Sprint("r", n), nil)
			if fl.retryRefused && r.status == http.StatusServiceUnavailable {
				r = fl.retry(r, again, path, fmt.Sprint("r", n, "-2"))
			}
			fl.mu.Lock()
			defer fl.mu.Unlock()
			if fl.onReply != nil {
				fl.onReply(&r)
			}
			fl.statuses[r.status]++
			fl.slowest = max(fl.slowest, r.took)
		})
	}
}

// focused returns the host that a request goes to, another one than was drawn where fleet.focus is set.
func (fl *fleet) focused(rnd *rand.Rand, drawn follower.Host) follower.Host {
	fl.mu.Lock()
	focus := fl.focus
	fl.mu.Unlock()
	if focus == "" || rnd.Float64() >= focusShare {
		return drawn
	}
	return fl.hosts[slices.IndexFunc(fl.hosts, func(h follower.Host) bool { return h.Name == focus })]
}

// setFocus sends most requests to one host; an empty name ends that.
func (fl *fleet) setFocus(name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.focus = name
}

// setOnReply sets a function that is called with each further response.
func (fl *fleet) setOnReply(f func(r *reply)) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.onReply = f
}

// slowestResponse returns the longest time that a response took so far.
func (fl *fleet) slowestResponse() time.Duration {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.slowest
}

// retry repeats a refused request at a host once its Retry-After is over. The time counts from the
// first request.
func (fl *fleet) retry(first reply, h follower.Host, path, id string) reply {
	seconds, err := strconv.ParseFloat(first.header.Get("Retry-After"), 64)
	is.New(fl.t).NoErr(err)
	wait := time.Duration(seconds * float64(time.Second))
	time.Sleep(wait)
	ip, _, _ := strings.Cut(h.Address, ":")
	r := fl.requestAt(ip+":80", http.MethodPost, path, id, nil)
	r.took += first.took + wait
	return r
}

// count returns the number of responses with a status.
func (fl *fleet) count(status int) int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return fl.statuses[status]
}

// totalRequests returns the number of requests that ended, with or without a response.
func (fl *fleet) totalRequests() int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	n := 0
	for _, one := range fl.statuses {
		n += one
	}
	return n
}

// served returns the number of requests that an upstream executed after a time.
func (fl *fleet) served(id string, since time.Time) int {
	n := 0
	for _, one := range fl.stages[id].Received() {
		if one.Executed && one.At.After(since) {
			n++
		}
	}
	return n
}

// crashHost kills a host and removes its entry after 3 s, as the expiry of its lease would.
func (fl *fleet) crashHost(name string) {
	fl.killHost[name]()
	time.Sleep(3 * time.Second)
	fl.source.DeleteHost(name)
}

// restartAll kills all hosts and starts them again.
func (fl *fleet) restartAll() {
	for _, h := range fl.hosts {
		fl.killHost[h.Name]()
	}
	for _, h := range fl.hosts {
		fl.startHost(h)
	}
}

// restartHost starts a host again after crashHost.
func (fl *fleet) restartHost(name string) {
	for _, h := range fl.hosts {
		if h.Name == name {
			fl.source.AddHost(h)
			fl.startHost(h)
		}
	}
}
