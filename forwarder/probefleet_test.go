package forwarder

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/picker"
	"github.com/sardineward/sardineward/tracker"
)

const (
	engineRanges  = 6
	engineCopies  = 4
	engineLayers  = 24
	eventInterval = 50 * time.Millisecond
	// reportInterval is the time between two exchanges of reports in a fleet of many hosts.
	reportInterval = 400 * time.Millisecond
)

// probeFleet is a number of hosts with streams over engines of one data centre, in virtual time. It
// replays events and reports, and counts the connections that checks open.
type probeFleet struct {
	t     *testing.T
	hosts []*probeHost
	stop  context.CancelFunc
	wg    sync.WaitGroup
	wakes atomic.Int64

	mu sync.Mutex
	// dark holds the addresses that don't answer, or with crashed set refuse connections.
	dark    map[string]bool
	crashed bool
	// deaf holds the addresses that answer no dial while the streams over them go on.
	deaf map[string]bool
	// orders counts the orders that reached an engine, refused those for a path with a dark one.
	orders, refused int
	// opened counts connections by purpose.
	opened map[connector.Purpose]int
}

type probeHost struct {
	fl *probeFleet
	f  *Forwarder
	b  *balancer.Balancer
	// rnd draws when streams arrive; phase is when in an interval its events come.
	rnd   *rand.Rand
	phase time.Duration
	mu    sync.Mutex
	// streams holds those under way; call relays their events.
	streams []*probeStream
	// canceled counts the streams that were taken from their path.
	canceled int
	// late is what keeps the host from seeing in time what arrives.
	late lateness
	// wakes counts the waits for the processor of all hosts of a test.
	wakes *atomic.Int64
}

// lateness is a time in which a host sees late what arrives.
type lateness struct {
	from, to time.Time
	// busy and free alternate while other work has the processor; busy is 0 where it is idle.
	busy, free time.Duration
	// queue is how long each packet waits in the queue of the host's link.
	queue time.Duration
}

// untilRun returns how long a goroutine that is ready waits for the processor.
func (l *lateness) untilRun(now time.Time) time.Duration {
	if l.busy == 0 || now.Before(l.from) || !now.Before(l.to) {
		return 0
	}
	return min(max(0, l.busy-now.Sub(l.from)%(l.busy+l.free)), l.to.Sub(now))
}

// queueAt returns how long a packet waits that is sent or arrives now.
func (l *lateness) queueAt(now time.Time) time.Duration {
	if now.Before(l.from) || !now.Before(l.to) {
		return 0
	}
	return l.queue
}

// setLate makes the host late from now on.
func (h *probeHost) setLate(l lateness, lasts time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l.from = time.Now()
	l.to = l.from.Add(lasts)
	h.late = l
}

func (h *probeHost) lateness() lateness {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.late
}

// run waits for the processor.
func (h *probeHost) run() {
	l := h.lateness()
	h.wait(l.untilRun(time.Now()))
}

// wait waits until an instant of its own, so that no two waits end together.
func (h *probeHost) wait(d time.Duration) {
	if d > 0 {
		time.Sleep(d + time.Duration(h.wakes.Add(1)))
	}
}

// dial is dial of the fleet over the host's own link and processor.
func (h *probeHost) dial(ctx context.Context, network, address string) (net.Conn, error) {
	l := h.lateness()
	h.wait(l.queueAt(time.Now()))
	c, err := h.fl.dial(ctx, network, address)
	h.run()
	if err == nil && ctx.Err() != nil {
		c.Close()
		return nil, ctx.Err()
	}
	return c, err
}

type probeStream struct {
	call      *call
	attempt   *attempt
	delivered progress
	// firstAt is when its first event is due.
	firstAt time.Duration
	// relaying holds an item while an event is relayed: one that waited in the link's queue may still be.
	relaying chan struct{}
}

// relay relays an event, one after the other.
func (s *probeStream) relay() {
	s.relaying <- struct{}{}
	s.call.recordEvents(s.attempt, &s.delivered)
	<-s.relaying
}

// useOneProcessor has goroutines run one at a time until the test ends: with the race detector, Go 1.26 crashes where
// several run timers of a synctest bubble at the same instant.
func useOneProcessor(t *testing.T) {
	before := runtime.GOMAXPROCS(1)
	t.Cleanup(func() { runtime.GOMAXPROCS(before) })
}

// runProbeFleet runs f with hosts that have streams running streams each.
func runProbeFleet(t *testing.T, hosts, streams int, f func(is *is.I, fl *probeFleet)) {
	t.Helper()
	useOneProcessor(t)
	synctest.Test(t, func(t *testing.T) {
		fl := &probeFleet{t: t, dark: make(map[string]bool), deaf: make(map[string]bool), opened: make(map[connector.Purpose]int)}
		ctx, cancel := context.WithCancel(context.Background())
		fl.stop = cancel
		names := make(map[string]string)
		for n := range hosts {
			names[fmt.Sprint("host-", n)] = "a"
		}
		for n := range hosts {
			h := fl.newHost(n, names)
			fl.hosts = append(fl.hosts, h)
			for range streams {
				h.send(0)
			}
			fl.wg.Go(func() { h.f.Watch(ctx) })
			fl.wg.Go(func() { h.deliver(ctx) })
		}
		fl.wg.Go(func() { fl.exchange(ctx) })
		time.Sleep(2 * time.Second)
		f(is.NewRelaxed(t), fl)
		cancel()
		fl.wg.Wait()
		time.Sleep(5 * time.Second)
	})
}

func (fl *probeFleet) newHost(n int, names map[string]string) *probeHost {
	name := fmt.Sprint("host-", n)
	b := &balancer.Balancer{Host: name, DataCentre: "a", Policy: picker.Cheapest{Steepness: 2, Jitter: 0.1}, Rand: rand.New(rand.NewPCG(uint64(n), 1))}
	e := &matcher.Engine{Layers: engineLayers, LayerMB: 1750, TokenBytes: 590000, StepMs: 1, ReadPerSecond: 164000}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model", Engine: e}})
	span := engineLayers / engineRanges
	for i := range engineRanges {
		for c := range engineCopies {
			id := engineID(i, c)
			b.UpdateUpstreams([]balancer.Upstream{{ID: id, Address: id, Service: "model", DataCentre: "a", Layers: balancer.Span{From: span * i, To: span * (i + 1)}}}, nil)
		}
	}
	others := make(map[string]string)
	for other, dc := range names {
		if other != name {
			others[other] = dc
		}
	}
	b.SetHosts(others)
	started := time.Now()
	h := &probeHost{fl: fl, b: b, rnd: rand.New(rand.NewPCG(uint64(n), 2)), wakes: &fl.wakes}
	now := func() time.Duration {
		h.run()
		return time.Since(started) + time.Minute
	}
	pool := &connector.Pool{Dial: h.dial, Now: now, OnDial: fl.count}
	h.phase = time.Duration(h.rnd.Int64N(int64(eventInterval)))
	h.f = &Forwarder{
		Balancer: b, Engines: h, Pool: pool, Suspects: new(tracker.Suspects), Meter: meter.New(nil, nil),
		Now: now, Log: zerolog.Nop(),
	}
	h.f.Detector.Upstreams = func() int { return engineRanges * engineCopies }
	pool.OnDialed = h.f.RecordDial
	return h
}

func engineID(rank, copyNumber int) string { return fmt.Sprintf("engine-%d-%d", rank, copyNumber) }

func (fl *probeFleet) dial(ctx context.Context, network, address string) (net.Conn, error) {
	fl.mu.Lock()
	dark, crashed := fl.dark[address] || fl.deaf[address], fl.crashed
	fl.mu.Unlock()
	if dark && crashed {
		return nil, syscall.ECONNREFUSED
	}
	if dark {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return acceptAnyDial(ctx, network, address)
}

// Repath takes a millisecond, and fails if the first hop is dark or another one is.
func (fl *probeFleet) Repath(ctx context.Context, _ string, hops []balancer.Hop) error {
	c, err := fl.dial(ctx, "tcp", hops[0].Address)
	if err != nil {
		return err
	}
	defer c.Close()
	time.Sleep(time.Millisecond)
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.orders++
	for _, h := range hops[1:] {
		if fl.dark[h.Address] {
			fl.refused++
			return errors.New("refused")
		}
	}
	return nil
}

// Repath is Repath of the fleet over the host's own link and processor.
func (h *probeHost) Repath(ctx context.Context, requestID string, hops []balancer.Hop) error {
	l := h.lateness()
	queue := l.queueAt(time.Now())
	h.wait(queue / 2)
	err := h.fl.Repath(ctx, requestID, hops)
	h.wait(queue / 2)
	h.run()
	if err == nil && ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

func (h *probeHost) QueryStalls(ctx context.Context, u balancer.Hop) ([]Stall, error) {
	return h.fl.QueryStalls(ctx, u)
}

func (fl *probeFleet) QueryStalls(context.Context, balancer.Hop) ([]Stall, error) { return nil, nil }

func (fl *probeFleet) count(p connector.Purpose) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.opened[p]++
}

// counts returns the connections opened so far by purpose.
func (fl *probeFleet) counts() map[connector.Purpose]int {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	out := make(map[connector.Purpose]int)
	for p, n := range fl.opened {
		out[p] = n
	}
	return out
}

// setDark makes engines silent, or ends that.
func (fl *probeFleet) setDark(dark bool, ids ...string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	for _, id := range ids {
		fl.dark[id] = dark
	}
}

// setDeaf makes an engine accept no connections while the streams over it go on, or ends that.
func (fl *probeFleet) setDeaf(deaf bool, id string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.deaf[id] = deaf
}

// streamsThrough counts the streams whose path contains an engine.
func (fl *probeFleet) streamsThrough(id string) int {
	n := 0
	for _, h := range fl.hosts {
		n += len(h.f.streamsThrough(id))
	}
	return n
}

// exchange gives each host the sum of the others' reports.
func (fl *probeFleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		var sum balancer.Report
		own := make([]balancer.Report, len(fl.hosts))
		total := make(map[string]balancer.Usage)
		for i, h := range fl.hosts {
			own[i] = h.b.Usage(h.f.Now())
			for _, u := range own[i].Usage {
				total[u.Upstream] = addUsage(total[u.Upstream], u, 1)
			}
		}
		for i, h := range fl.hosts {
			rest := make(map[string]balancer.Usage, len(total))
			for id, u := range total {
				rest[id] = u
			}
			for _, u := range own[i].Usage {
				rest[u.Upstream] = addUsage(rest[u.Upstream], u, -1)
			}
			sum.Hosts, sum.Usage = map[string]int{"a": len(fl.hosts) - 1}, nil
			for id, u := range rest {
				u.Upstream = id
				sum.Usage = append(sum.Usage, u)
			}
			if err := h.b.SetReport(h.f.Now(), "others", sum); err != nil {
				fl.t.Error(err)
			}
		}
		time.Sleep(reportInterval)
	}
}

func addUsage(sum, part balancer.Usage, times int64) balancer.Usage {
	sum.Requests += times * part.Requests
	sum.TokenLayers += times * part.TokenLayers
	sum.DeadHosts += times * part.DeadHosts
	return sum
}

// send starts a stream whose first event comes after firstDelay; 0 means that it has come.
func (h *probeHost) send(firstDelay time.Duration) {
	now := h.f.Now()
	l, reason := h.b.Acquire(now, balancer.Requirements{Service: "model", PromptTokens: 700, AnswerTokens: 200})
	if l == nil {
		h.fl.t.Errorf("no path: %v", reason)
		return
	}
	a := &attempt{id: fmt.Sprint("r", h.rnd.Uint64()), lease: l, sentAt: now, takeRetry: func() bool { return true }}
	a.cancel = func(error) {
		h.mu.Lock()
		h.canceled++
		h.mu.Unlock()
		h.f.untrack(a)
	}
	a.lastEvent.Store(int64(now))
	s := &probeStream{call: &call{Forwarder: h.f, route: new(matcher.Route)}, attempt: a, delivered: progress{lastEvent: now}, firstAt: now + firstDelay, relaying: make(chan struct{}, 1)}
	h.f.track(a)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams = append(h.streams, s)
}

// deliver relays an event of each stream whose path has no dark engine, at intervals. A stream that
// lost its first hop is sent anew.
func (h *probeHost) deliver(ctx context.Context) {
	time.Sleep(h.phase) // hosts aren't in step
	for ctx.Err() == nil {
		h.mu.Lock()
		streams := slices.Clone(h.streams)
		h.mu.Unlock()
		for _, s := range streams {
			if h.f.Now() < s.firstAt || h.stalls(s) {
				continue
			}
			l := h.lateness()
			if queue := l.queueAt(time.Now()); queue > 0 {
				time.AfterFunc(queue, s.relay)
				continue
			}
			s.relay()
		}
		time.Sleep(eventInterval)
	}
}

// stalls reports whether the path of a stream has a dark engine.
func (h *probeHost) stalls(s *probeStream) bool {
	h.fl.mu.Lock()
	defer h.fl.mu.Unlock()
	return slices.ContainsFunc(h.b.Path(s.attempt.lease), func(hop balancer.Hop) bool { return h.fl.dark[hop.Address] })
}

// finish ends the streams that have had their first event for long enough.
func (h *probeHost) finish(lasting time.Duration) {
	now := h.f.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.streams = slices.DeleteFunc(h.streams, func(s *probeStream) bool {
		if !s.attempt.begun.Load() || now-s.firstAt < lasting || h.stalls(s) {
			return false
		}
		h.f.untrack(s.attempt)
		h.b.Release(s.attempt.lease)
		return true
	})
}

// arrive lets streams arrive at each host, perSecond of them, with their first events late, until ctx
// ends.
func (fl *probeFleet) arrive(ctx context.Context, perSecond float64, firstDelay time.Duration) {
	for _, h := range fl.hosts {
		fl.wg.Go(func() {
			for ctx.Err() == nil {
				time.Sleep(time.Duration(h.rnd.ExpFloat64() / perSecond * float64(time.Second)))
				h.finish(200 * time.Millisecond)
				h.send(firstDelay * time.Duration(80+h.rnd.IntN(40)) / 100)
			}
		})
	}
}

// knowingHosts counts the hosts that know an upstream to be dead.
func (fl *probeFleet) knowingHosts(id string) int {
	n := 0
	for _, h := range fl.hosts {
		if slices.ContainsFunc(h.b.DeadUpstreams(0, engineRanges*engineCopies), func(hop balancer.Hop) bool { return hop.ID == id }) {
			n++
		}
	}
	return n
}

// runningHosts counts the hosts with a stream over an upstream that has begun.
func (fl *probeFleet) runningHosts(id string) int {
	n := 0
	for _, h := range fl.hosts {
		h.mu.Lock()
		if slices.ContainsFunc(h.streams, func(s *probeStream) bool {
			return s.attempt.begun.Load() && slices.ContainsFunc(h.b.Path(s.attempt.lease), func(hop balancer.Hop) bool { return hop.ID == id })
		}) {
			n++
		}
		h.mu.Unlock()
	}
	return n
}

// knownDead counts the upstreams that hosts know to be dead, once for each host.
func (fl *probeFleet) knownDead() int {
	n := 0
	for _, h := range fl.hosts {
		n += len(h.b.DeadUpstreams(0, engineRanges*engineCopies))
	}
	return n
}

// canceled counts the streams that hosts took from their paths.
func (fl *probeFleet) canceled() int {
	n := 0
	for _, h := range fl.hosts {
		n += h.canceledCount()
	}
	return n
}

// canceledCount returns how many streams this one host took from their paths.
func (h *probeHost) canceledCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.canceled
}

// knowingAny adds up knowingHosts over some upstreams.
func (fl *probeFleet) knowingAny(ids []string) int {
	n := 0
	for _, id := range ids {
		n += fl.knowingHosts(id)
	}
	return n
}
