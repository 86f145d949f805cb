package runner_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/storer"
)

var (
	seeds   = flag.Int("seeds", 2, "seeds of the randomised run")
	minutes = flag.Int("minutes", 3, "virtual minutes of each seed")
	from    = flag.Int("from", 1, "first seed")
)

// TestRandom injects random and overlapping faults under a load of generations and bookings, and checks every answer
// and the hosts' invariants.
func TestRandom(t *testing.T) {
	for i := range *seeds {
		seed := uint64(*from + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			runCluster(t, seed, func(b *cluster) {
				c := &chaos{
					cluster: b, rnd: rand.New(rand.NewPCG(seed, 0)), lostAnswerRnd: rand.New(rand.NewPCG(seed, 99)),
					bookings: make(map[string]string), refused: make(map[string]int), ended: make(map[int]bool), revision: 1, racing: make(chan struct{}, 1),
				}
				c.run(time.Duration(*minutes) * time.Minute)
			})
		})
	}
}

// chaos is one randomised run. Faults are injected and undone by the goroutine of run only.
type chaos struct {
	*cluster
	rnd *rand.Rand
	wg  sync.WaitGroup
	// pending are the undo functions of the active faults, with their times.
	pending        []pendingUndo
	platformFaulty bool

	mu sync.Mutex
	// bookings holds the first complete answer of each key.
	bookings      map[string]string
	complete      int
	refused       map[string]int
	lostAnswerRnd *rand.Rand
	ended         map[int]bool

	// racing admits one race of operators at a time. It is a channel since virtual time doesn't
	// advance while a goroutine waits for a mutex.
	racing   chan struct{}
	revision int64
}

type pendingUndo struct {
	at   time.Time
	undo func()
}

func (c *chaos) run(d time.Duration) {
	const step = 250 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	for n := range 6 {
		rnd := rand.New(rand.NewPCG(c.seed, uint64(n)+10))
		c.wg.Go(func() { c.runCaller(ctx, rnd, n) })
	}
	var next time.Time
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		c.undoDue()
		if time.Now().After(next) {
			c.injectFault()
			next = time.Now().Add(time.Duration(c.rnd.IntN(8000)) * time.Millisecond)
		}
	}
	for len(c.pending) > 0 {
		time.Sleep(step)
		c.undoDue()
	}
	cancel()
	c.wg.Wait()
	c.awaitRecovery()
	c.checkResults()
}

// undoDue undoes the faults whose time has come.
func (c *chaos) undoDue() {
	var later, now []pendingUndo
	for _, u := range c.pending {
		if u.at.After(time.Now()) {
			later = append(later, u)
			continue
		}
		now = append(now, u)
	}
	c.pending = later
	for _, u := range now {
		u.undo()
	}
}

func (c *chaos) undoAfter(d time.Duration, f func()) {
	c.pending = append(c.pending, pendingUndo{time.Now().Add(d), f})
}

// runCaller sends requests one after another with random pauses until ctx ends.
func (c *chaos) runCaller(ctx context.Context, rnd *rand.Rand, n int) {
	for k := 0; ctx.Err() == nil; k++ {
		i := rnd.IntN(4)
		switch rnd.IntN(6) {
		case 0:
			c.book(i, fmt.Sprintf("b-%d-%d", n, k), rnd)
		case 1:
			c.abandon(i, fmt.Sprintf("gone %d %d", n, k), rnd)
		default:
			c.generateOne(i, fmt.Sprintf("ask %d %d", n, k), 5+rnd.IntN(40))
		}
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	}
}

func (c *chaos) generateOne(i int, prompt string, tokens int) {
	r := c.generate(context.Background(), i, prompt, tokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.complete:
		c.complete++
		if r.text != faker.Answer(prompt, tokens) {
			c.t.Errorf("wrong answer to %q: %q", prompt, r.text)
		}
	case !strings.HasPrefix(faker.Answer(prompt, tokens), r.text):
		c.t.Errorf("partial answer is wrong for %q: %q", prompt, r.text)
	case r.refusal != nil:
		c.refused[r.refusal.Reason]++
		c.checkNotRun(r)
	}
}

// checkNotRun checks that no upstream started a request that was refused as not run.
func (c *chaos) checkNotRun(r reply) {
	id := r.refusal.RequestID
	if r.refusal.NotRun && c.environment.Fleet.Attempts(id)+c.environment.Services["desk"].Requests(id) > 0 {
		c.t.Errorf("request %s was refused as not run, but an upstream started it: %+v", id, r.refusal)
	}
}

// book sends a booking and its repeats through different hosts, some at the same time.
func (c *chaos) book(i int, id string, rnd *rand.Rand) {
	var wg sync.WaitGroup
	for k := range 1 + rnd.IntN(3) {
		host := (i + k) % 4
		pause := time.Duration(rnd.IntN(3)) * time.Duration(rnd.IntN(1500)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(pause)
			c.recordBooking(id, c.post(host, "/services/desk/bookings", `{"id":"`+id+`"}`, map[string]string{"Deadline-Ms": "20000"}))
		})
	}
	wg.Wait()
}

func (c *chaos) recordBooking(id string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.complete && r.status == 200:
		if first, ok := c.bookings[id]; ok && first != r.body {
			c.t.Errorf("booking %s answered %q, then %q", id, first, r.body)
		}
		c.bookings[id] = r.body
	case r.refusal != nil:
		c.refused[r.refusal.Reason]++
		c.checkNotRun(r)
	}
}

// abandon starts a generation and disconnects before its end.
func (c *chaos) abandon(i int, prompt string, rnd *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.IntN(300))*time.Millisecond)
	defer cancel()
	c.generate(ctx, i, prompt, 40)
}

// injectFault injects one random fault and schedules its undoing.
func (c *chaos) injectFault() {
	wait := func() time.Duration { return time.Duration(1+c.rnd.IntN(20)) * time.Second }
	engines := c.environment.Fleet.Engines()
	e := engines[c.rnd.IntN(len(engines))]
	d := wait()
	switch c.rnd.IntN(12) {
	case 0, 1:
		c.environment.Kill(e.Upstream.Name)
		c.undoAfter(d, func() { _ = c.environment.Restart(e.Upstream.Name) })
	case 2:
		e.Pause()
		c.undoAfter(d, e.Resume)
	case 3:
		e.Leave()
		c.undoAfter(d, func() { _ = c.environment.Restart(e.Upstream.Name) })
	case 4:
		c.platformFault(faker.Faults{Unavailable: true}, d)
	case 5:
		c.platformFault(faker.Faults{Delay: 2 * time.Second}, d)
	case 6:
		c.platformFault(faker.Faults{LoseResponse: c.loseHalf}, d)
	case 7:
		a, z := dataCentres[c.rnd.IntN(3)], append(dataCentres, platformSite)[c.rnd.IntN(4)]
		if a != z {
			c.net.Partition(a, z)
			c.undoAfter(d, func() { c.net.Heal(a, z) })
		}
	case 8:
		c.restartHost(c.rnd.IntN(4), c.rnd.IntN(2) == 0, d)
	case 9:
		c.environment.Fleet.SetExtraLatency("north", "port", 80*time.Millisecond)
		c.undoAfter(d, func() { c.environment.Fleet.SetExtraLatency("north", "port", 0) })
	case 10:
		c.reconfigure()
	case 11:
		e.ReportWrongSpanFor(d)
	}
}

func (c *chaos) loseHalf(storer.Write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostAnswerRnd.IntN(2) == 0
}

func (c *chaos) platformFault(f faker.Faults, d time.Duration) {
	if c.platformFaulty {
		return
	}
	c.platformFaulty = true
	c.environment.Platform.SetFaults(f)
	c.undoAfter(d, func() {
		c.environment.Platform.SetFaults(faker.Faults{})
		c.platformFaulty = false
	})
}

// restartHost stops or kills a host, and starts it again once it has ended. Callers keep sending
// requests to its address meanwhile.
func (c *chaos) restartHost(i int, graceful bool, d time.Duration) {
	e := c.hosts[i]
	if e == nil {
		return
	}
	c.hosts[i] = nil
	if graceful {
		e.stop()
	} else {
		e.Kill()
	}
	c.wg.Go(func() {
		if err := <-e.done; err != nil {
			c.t.Errorf("%s stopped: %v", e.name, err)
		}
		e.stop()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended[i] = true
	})
	c.undoAfter(d, func() { c.startEnded(i) })
}

func (c *chaos) startEnded(i int) {
	c.mu.Lock()
	ended := c.ended[i]
	delete(c.ended, i)
	c.mu.Unlock()
	if ended {
		c.start(i)
		return
	}
	c.undoAfter(time.Second, func() { c.startEnded(i) })
}

// reconfigure lets two operators submit at the same time.
func (c *chaos) reconfigure() {
	c.wg.Go(func() {
		c.racing <- struct{}{}
		defer func() { <-c.racing }()
		c.revision = max(c.revision, raceOperators(c.cluster, c.revision))
	})
}

// awaitRecovery waits until all hosts are ready and have the newest revision in force.
func (c *chaos) awaitRecovery() {
	c.await(2*time.Minute, func() bool {
		for _, e := range c.hosts {
			if e == nil || !e.Ready() || e.Status(context.Background()).Revision != c.revision {
				return false
			}
		}
		return true
	})
}

func (c *chaos) checkResults() {
	for id, n := range c.environment.Services["desk"].AllRuns() {
		if n > 1 {
			c.t.Errorf("booking %q ran %d times", id, n)
		}
	}
	for i := range c.hosts {
		prompt := fmt.Sprint("at last ", i)
		c.assertComplete(c.generate(context.Background(), i, prompt, 10), prompt, 10)
	}
	c.t.Logf("seed %d: %d whole answers, %d bookings, refused %v, revision %d", c.seed, c.complete, len(c.bookings), c.refused, c.revision)
}
