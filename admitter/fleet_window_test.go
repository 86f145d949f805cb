package admitter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/faker"
)

const (
	budgetLength = 10 * time.Second
	// budgetStep is the time between two steps of a simulation.
	budgetStep = 50 * time.Millisecond
	// perHostRate is the number of requests per second that callers send for each host.
	perHostRate = 18
)

// budgetHost is one host of a simulated fleet.
type budgetHost struct {
	budget *admitter.WindowRetryBudget
	// downUntil is when its process is restarted, frozenUntil when it is resumed.
	downUntil, frozenUntil time.Duration
	// lists is how many hosts it sees until listsUntil; 0 is all that run.
	lists      int
	listsUntil time.Duration
	// idleUntil is until when callers send it nothing.
	idleUntil time.Duration
}

// budgetFleet simulates hosts whose requests ask for as many retries as there are.
type budgetFleet struct {
	rule    faker.RetryRule
	now     time.Duration
	hosts   []*budgetHost
	running int
	// due is how many requests callers are about to send.
	due               float64
	requests, retries []time.Duration
}

func newBudgetFleet(n int, fixed float64) *budgetFleet {
	f := &budgetFleet{rule: faker.RetryRule{Length: budgetLength, Ratio: 0.2, Fixed: fixed}, now: time.Hour}
	for range n {
		f.add()
	}
	return f
}

// add starts a new host.
func (f *budgetFleet) add() *budgetHost {
	h := new(budgetHost)
	f.hosts = append(f.hosts, h)
	f.start(h)
	return h
}

// start gives a host the budget of a new process.
func (f *budgetFleet) start(h *budgetHost) {
	size := new(admitter.FleetSize)
	h.budget = &admitter.WindowRetryBudget{Ratio: f.rule.Ratio, Length: f.rule.Length, Fixed: f.rule.Fixed, Started: max(f.now, h.downUntil), Hosts: func() int {
		size.Observe(f.now, f.listed(h))
		return size.Max(f.now)
	}}
}

// listed returns how many hosts h sees.
func (f *budgetFleet) listed(h *budgetHost) int {
	if f.now < h.listsUntil {
		return h.lists
	}
	return f.running
}

func (f *budgetFleet) kill(h *budgetHost, down time.Duration) {
	h.downUntil = f.now + down
	f.start(h)
}

// remove takes a host away for good.
func (f *budgetFleet) remove(h *budgetHost) { h.downUntil = 1 << 62 }

func (f *budgetFleet) list(h *budgetHost, n int, lasts time.Duration) {
	h.lists, h.listsUntil = n, f.now+lasts
}

// run simulates until a time. Hosts make retries only where greedy is set.
func (f *budgetFleet) run(lasts time.Duration, greedy bool) {
	for end := f.now + lasts; f.now < end; f.now += budgetStep {
		var serving []*budgetHost
		f.running = 0
		for _, h := range f.hosts {
			if f.now < h.downUntil {
				continue
			}
			f.running++
			if f.now >= h.frozenUntil && f.now >= h.idleUntil {
				serving = append(serving, h)
			}
		}
		// Callers of a host that does not serve go to the others.
		f.due += float64(f.running*perHostRate) * budgetStep.Seconds()
		for ; len(serving) > 0 && f.due >= 1; f.due-- {
			f.requests = append(f.requests, f.now)
			serving[len(f.requests)%len(serving)].budget.RecordRequest(f.now)
		}
		for _, h := range serving {
			for greedy && h.budget.Spend(f.now) {
				f.retries = append(f.retries, f.now)
			}
		}
	}
}

// half returns every second host.
func (f *budgetFleet) half() []*budgetHost {
	var out []*budgetHost
	for i := 0; i < len(f.hosts); i += 2 {
		out = append(out, f.hosts[i])
	}
	return out
}

// budgetScenarios are what may happen to hosts; each begins after a calm minute.
var budgetScenarios = []struct {
	name string
	play func(f *budgetFleet)
}{
	{"undisturbed", func(*budgetFleet) {}},
	{"half killed once", func(f *budgetFleet) { killAgain(f, f.half(), 1, 0) }},
	{"half killed twice in 2 s", func(f *budgetFleet) { killAgain(f, f.half(), 2, time.Second) }},
	{"half killed three times in 4 s", func(f *budgetFleet) { killAgain(f, f.half(), 3, 2*time.Second) }},
	{"all killed three times in 4 s", func(f *budgetFleet) { killAgain(f, f.hosts, 3, 2*time.Second) }},
	{"half not listed for 8 s", func(f *budgetFleet) {
		for _, h := range f.hosts {
			f.list(h, max(1, len(f.hosts)/2), 8*time.Second)
		}
		f.run(15*time.Second, true)
	}},
	{"half cut off with an old list, the others list half for 8 s", func(f *budgetFleet) {
		for i, h := range f.hosts {
			if i%2 == 0 {
				f.list(h, len(f.hosts), 8*time.Second)
			} else {
				f.list(h, max(1, len(f.hosts)/2), 8*time.Second)
			}
		}
		f.run(15*time.Second, true)
	}},
	{"each lists itself alone for 8 s", func(f *budgetFleet) {
		for _, h := range f.hosts {
			f.list(h, 1, 8*time.Second)
		}
		f.run(15*time.Second, true)
	}},
	{"all killed, then each lists itself alone for 5 s", func(f *budgetFleet) {
		for _, h := range f.hosts {
			f.kill(h, 500*time.Millisecond)
			f.list(h, 1, 5*time.Second)
		}
		f.run(20*time.Second, true)
	}},
	{"half cut off with an old list while a quarter is added", func(f *budgetFleet) {
		for _, h := range f.half() {
			f.list(h, len(f.hosts), 8*time.Second)
		}
		for range (len(f.hosts) + 3) / 4 {
			f.add()
		}
		f.run(25*time.Second, true)
	}},
	{"half replaced", func(f *budgetFleet) {
		for _, h := range f.half() {
			f.remove(h)
			f.run(300*time.Millisecond, true)
			f.add()
		}
		f.run(20*time.Second, true)
	}},
	{"rolled twice", func(f *budgetFleet) {
		for range 2 {
			for _, h := range f.hosts {
				f.kill(h, 300*time.Millisecond)
				f.run(200*time.Millisecond, true)
			}
		}
		f.run(15*time.Second, true)
	}},
	{"half frozen for 4 s", func(f *budgetFleet) {
		for _, h := range f.half() {
			h.frozenUntil = f.now + 4*time.Second
			f.list(h, len(f.hosts), 8*time.Second)
		}
		f.run(20*time.Second, true)
	}},
	{"callers move from half to half", func(f *budgetFleet) {
		for _, h := range f.half() {
			h.idleUntil = f.now + 10*time.Second
		}
		f.run(10*time.Second, false)
		f.run(100*time.Millisecond, true)
		for i, h := range f.hosts {
			if i%2 == 1 {
				h.idleUntil = f.now + 20*time.Second
			}
		}
		f.run(20*time.Second, true)
	}},
}

func killAgain(f *budgetFleet, hosts []*budgetHost, times int, gap time.Duration) {
	for range times {
		for _, h := range hosts {
			f.kill(h, 500*time.Millisecond)
		}
		f.run(max(gap, time.Second), true)
	}
	f.run(15*time.Second, true)
}

var budgetFleets = []struct {
	hosts int
	fixed float64
}{{1, 200}, {4, 200}, {24, 310}, {137, 800}}

// assertBudgetKept checks that no window has more retries than allowed.
func assertBudgetKept(t *testing.T, f *budgetFleet) {
	t.Helper()
	worst := f.rule.Worst(f.requests, f.retries)
	t.Logf("%d retries of %.0f allowed in the worst window, used %.2f", worst.Retries, worst.Allowed, worst.Used())
	is.New(t).True(float64(worst.Retries) <= worst.Allowed)
}

// TestRetriesOfChangingFleet guards against hosts that exceed the retry budget together while some are
// started again, replaced, cut off, or miscounted.
func TestRetriesOfChangingFleet(t *testing.T) {
	for _, size := range budgetFleets {
		for _, s := range budgetScenarios {
			t.Run(fmt.Sprintf("%d hosts, %s", size.hosts, s.name), func(t *testing.T) {
				f := newBudgetFleet(size.hosts, size.fixed)
				f.run(time.Minute, false)
				f.run(time.Second, true)
				s.play(f)
				f.run(12*time.Second, true)
				assertBudgetKept(t, f)
			})
		}
	}
}

// TestRetriesOfRandomFleet is TestRetriesOfChangingFleet with random changes in series that overlap.
func TestRetriesOfRandomFleet(t *testing.T) {
	for _, size := range budgetFleets {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", size.hosts, seed), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(seed, uint64(size.hosts)))
				f := newBudgetFleet(size.hosts, size.fixed)
				f.run(time.Minute, false)
				for range 40 {
					f.change(rnd)
					f.run(time.Duration(100+rnd.IntN(2000))*time.Millisecond, rnd.IntN(3) > 0)
				}
				assertBudgetKept(t, f)
			})
		}
	}
}

// change makes one random change to some hosts.
func (f *budgetFleet) change(rnd *rand.Rand) {
	kind, share := rnd.IntN(5), rnd.Float64()
	for _, h := range f.hosts {
		if rnd.Float64() > share {
			continue
		}
		switch lasts := time.Duration(300+rnd.IntN(8000)) * time.Millisecond; kind {
		case 0:
			f.kill(h, min(lasts, time.Second))
		case 1:
			f.list(h, 1+rnd.IntN(len(f.hosts)), lasts)
		case 2:
			h.frozenUntil = f.now + lasts/2
		case 3:
			h.idleUntil = f.now + lasts
		}
	}
	if kind == 4 {
		f.remove(f.hosts[rnd.IntN(len(f.hosts))])
		f.add()
	}
}
