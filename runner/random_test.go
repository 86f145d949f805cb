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

// TestRandom draws faults of all kinds, together and twice, under a load of
// generations and bookings, and checks every answer. The invariants that the
// program asserts about itself fail it too. The long run is
//
//	go test ./runner -run TestRandom -seeds 100 -minutes 15 -timeout 60m
func TestRandom(t *testing.T) {
	for i := range *seeds {
		seed := uint64(*from + i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			run(t, seed, func(b *bench) {
				c := &chaos{
					bench: b, rnd: rand.New(rand.NewPCG(seed, 0)), lostRnd: rand.New(rand.NewPCG(seed, 99)),
					bookings: make(map[string]string), refused: make(map[string]int), ended: make(map[int]bool), revision: 1, racing: make(chan struct{}, 1),
				}
				c.run(time.Duration(*minutes) * time.Minute)
			})
		})
	}
}

// chaos is one randomised run. Faults come and go in its own goroutine only.
type chaos struct {
	*bench
	rnd *rand.Rand
	wg  sync.WaitGroup
	// due are the ends of faults.
	due      []due
	faulting bool

	mu sync.Mutex
	// bookings holds the first whole answer of each key.
	bookings map[string]string
	whole    int
	refused  map[string]int
	lostRnd  *rand.Rand
	ended    map[int]bool

	// racing admits one race of operators at a time. It is no mutex: virtual
	// time stands still while one is waited for.
	racing   chan struct{}
	revision int64
}

type due struct {
	at time.Time
	do func()
}

func (c *chaos) run(d time.Duration) {
	const step = 250 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	for n := range 6 {
		rnd := rand.New(rand.NewPCG(c.seed, uint64(n)+10))
		c.wg.Go(func() { c.caller(ctx, rnd, n) })
	}
	var next time.Time
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(step) {
		c.undo()
		if time.Now().After(next) {
			c.fault()
			next = time.Now().Add(time.Duration(c.rnd.IntN(8000)) * time.Millisecond)
		}
	}
	for len(c.due) > 0 {
		time.Sleep(step)
		c.undo()
	}
	cancel()
	c.wg.Wait()
	c.settle()
	c.check()
}

// undo ends the faults that are due.
func (c *chaos) undo() {
	var later, now []due
	for _, u := range c.due {
		if u.at.After(time.Now()) {
			later = append(later, u)
			continue
		}
		now = append(now, u)
	}
	c.due = later
	for _, u := range now {
		u.do()
	}
}

func (c *chaos) after(d time.Duration, f func()) {
	c.due = append(c.due, due{time.Now().Add(d), f})
}

// caller sends one request after another, with pauses.
func (c *chaos) caller(ctx context.Context, rnd *rand.Rand, n int) {
	for k := 0; ctx.Err() == nil; k++ {
		i := rnd.IntN(4)
		switch rnd.IntN(6) {
		case 0:
			c.book(i, fmt.Sprintf("b-%d-%d", n, k), rnd)
		case 1:
			c.abandon(i, fmt.Sprintf("gone %d %d", n, k), rnd)
		default:
			c.ask(i, fmt.Sprintf("ask %d %d", n, k), 5+rnd.IntN(40))
		}
		time.Sleep(time.Duration(rnd.IntN(2000)) * time.Millisecond)
	}
}

func (c *chaos) ask(i int, prompt string, tokens int) {
	r := c.generate(context.Background(), i, prompt, tokens)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.whole:
		c.whole++
		if r.text != faker.Answer(prompt, tokens) {
			c.t.Errorf("answer to %q is another: %q", prompt, r.text)
		}
	case !strings.HasPrefix(faker.Answer(prompt, tokens), r.text):
		c.t.Errorf("part of the answer to %q is another: %q", prompt, r.text)
	case r.refuse != nil:
		c.refused[r.refuse.Reason]++
		c.notRun(r)
	}
}

// notRun checks the claim against what the upstreams saw.
func (c *chaos) notRun(r reply) {
	id := r.refuse.RequestID
	if r.refuse.NotRun && c.world.Fleet.Attempts(id)+c.world.Services["desk"].Requests(id) > 0 {
		c.t.Errorf("request %s was refused as not run, and ran: %+v", id, r.refuse)
	}
}

// book sends a booking and its repeats, some at the same moment, through
// different hosts.
func (c *chaos) book(i int, id string, rnd *rand.Rand) {
	var wg sync.WaitGroup
	for k := range 1 + rnd.IntN(3) {
		host := (i + k) % 4
		pause := time.Duration(rnd.IntN(3)) * time.Duration(rnd.IntN(1500)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(pause)
			c.booked(id, c.post(host, "/services/desk/bookings", `{"id":"`+id+`"}`, map[string]string{"Deadline-Ms": "20000"}))
		})
	}
	wg.Wait()
}

func (c *chaos) booked(id string, r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case r.whole && r.status == 200:
		if first, ok := c.bookings[id]; ok && first != r.body {
			c.t.Errorf("booking %s answered %q, then %q", id, first, r.body)
		}
		c.bookings[id] = r.body
	case r.refuse != nil:
		c.refused[r.refuse.Reason]++
		c.notRun(r)
	}
}

// abandon asks and goes away in mid-answer.
func (c *chaos) abandon(i int, prompt string, rnd *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(rnd.IntN(300))*time.Millisecond)
	defer cancel()
	c.generate(ctx, i, prompt, 40)
}

// fault causes one thing and undoes it later.
func (c *chaos) fault() {
	wait := func() time.Duration { return time.Duration(1+c.rnd.IntN(20)) * time.Second }
	engines := c.world.Fleet.Engines()
	e := engines[c.rnd.IntN(len(engines))]
	d := wait()
	switch c.rnd.IntN(12) {
	case 0, 1:
		c.world.Kill(e.Upstream.Name)
		c.after(d, func() { _ = c.world.Restart(e.Upstream.Name) })
	case 2:
		e.Pause()
		c.after(d, e.Resume)
	case 3:
		e.Leave()
		c.after(d, func() { _ = c.world.Restart(e.Upstream.Name) })
	case 4:
		c.platformFault(faker.Faults{Unavailable: true}, d)
	case 5:
		c.platformFault(faker.Faults{Delay: 2 * time.Second}, d)
	case 6:
		c.platformFault(faker.Faults{LoseResponse: c.loseSome}, d)
	case 7:
		a, z := centres[c.rnd.IntN(3)], append(centres, platformPlace)[c.rnd.IntN(4)]
		if a != z {
			c.net.Partition(a, z)
			c.after(d, func() { c.net.Heal(a, z) })
		}
	case 8:
		c.restartHost(c.rnd.IntN(4), c.rnd.IntN(2) == 0, d)
	case 9:
		c.world.Fleet.SetExtraLatency("north", "port", 80*time.Millisecond)
		c.after(d, func() { c.world.Fleet.SetExtraLatency("north", "port", 0) })
	case 10:
		c.reconfigure()
	case 11:
		e.ReportWrongSpanFor(d)
	}
}

func (c *chaos) loseSome(storer.Write) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lostRnd.IntN(2) == 0
}

func (c *chaos) platformFault(f faker.Faults, d time.Duration) {
	if c.faulting {
		return
	}
	c.faulting = true
	c.world.Platform.SetFaults(f)
	c.after(d, func() {
		c.world.Platform.SetFaults(faker.Faults{})
		c.faulting = false
	})
}

// restartHost kills or stops a host, and starts it anew once it has ended. The
// load goes to its address all the while.
func (c *chaos) restartHost(i int, gently bool, d time.Duration) {
	e := c.hosts[i]
	if e == nil {
		return
	}
	c.hosts[i] = nil
	if gently {
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
	c.after(d, func() { c.startEnded(i) })
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
	c.after(time.Second, func() { c.startEnded(i) })
}

// reconfigure has two operators race.
func (c *chaos) reconfigure() {
	c.wg.Go(func() {
		c.racing <- struct{}{}
		defer func() { <-c.racing }()
		c.revision = max(c.revision, race(c.bench, c.revision))
	})
}

// settle waits until everything is whole again.
func (c *chaos) settle() {
	c.await(2*time.Minute, func() bool {
		for _, e := range c.hosts {
			if e == nil || !e.Ready() || e.Status(context.Background()).Revision != c.revision {
				return false
			}
		}
		return true
	})
}

func (c *chaos) check() {
	for id, n := range c.world.Services["desk"].AllRuns() {
		if n > 1 {
			c.t.Errorf("booking %q ran %d times", id, n)
		}
	}
	for i := range c.hosts {
		prompt := fmt.Sprint("at last ", i)
		c.assertWhole(c.generate(context.Background(), i, prompt, 10), prompt, 10)
	}
	c.t.Logf("seed %d: %d whole answers, %d bookings, refused %v, revision %d", c.seed, c.whole, len(c.bookings), c.refused, c.revision)
}
