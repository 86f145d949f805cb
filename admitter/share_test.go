package admitter_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sardineward/sardineward/admitter"
)

// shareReplay is a service that starts 600 requests a second for 24 workspaces, one of which asks for
// twenty times its usual from 4 to 14 s. Hosts report to each other each half a second.
type shareReplay struct {
	hosts int
	// large is the workspace that asks for more.
	large int
	// usual is the usual demand as a fraction of the capacity.
	usual float64
	// cutAt is when reports end to arrive; 0 means never.
	cutAt time.Duration
	fair  bool
	seed  uint64
}

// weights returns what 24 workspaces usually ask for, a few of which are large, as fractions.
func weights() []float64 {
	out, sum := make([]float64, 24), 0.0
	for i := range out {
		out[i] = 1 / float64(i+2)
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// shareOutcome counts requests before the burst, in its first second and after that.
type shareOutcome struct {
	othersBefore, othersFirst, others, large outcome
	// starts is the number of requests that were served in the burst.
	starts float64
}

func (c *shareReplay) run() (out shareOutcome) {
	rnd := rand.New(rand.NewPCG(c.seed, 2))
	demands := make([]admitter.Demands, c.hosts)
	for i := range demands {
		demands[i].Hosts = func() int { return c.hosts }
	}
	var ends replayEvents
	usual := weights()
	now, reportAt := time.Duration(0), time.Duration(0)
	for now < 14*time.Second {
		burst := now >= 4*time.Second
		rate, w := c.usual*replayDrain, 0
		if burst {
			rate *= 1 + 19*usual[c.large]
		}
		now += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		for at := rnd.Float64() * rate / (c.usual * replayDrain); w < len(usual)-1; w++ {
			part := usual[w]
			if burst && w == c.large {
				part *= 20
			}
			if at -= part; at < 0 {
				break
			}
		}
		for ; reportAt < now; reportAt += 500 * time.Millisecond {
			if c.cutAt == 0 || reportAt < c.cutAt {
				exchangeDemand(demands, reportAt)
			}
		}
		for len(ends) > 0 && ends[0].at <= now {
			heap.Pop(&ends)
		}
		d, k := &demands[rnd.IntN(c.hosts)], key(0, fmt.Sprint("w", w))
		o := &out.others
		switch {
		case w == c.large:
			o = &out.large
		case !burst:
			o = &out.othersBefore
		case now < 5*time.Second:
			o = &out.othersFirst
		}
		o.asked++
		d.RecordArrival(now, k)
		if c.fair && d.ExceedsShare(now, k) {
			continue
		}
		if len(ends) >= replaySlots {
			d.RecordLack(now, k)
			continue
		}
		d.RecordAdmitted(now, k)
		heap.Push(&ends, replayEvent{at: now + time.Duration((0.2+0.5*rnd.ExpFloat64())*float64(time.Second))})
		o.served++
		if burst {
			out.starts++
		}
	}
	return out
}

// exchangeDemand gives each host the sum of what the others report.
func exchangeDemand(demands []admitter.Demands, now time.Duration) {
	sum := make(map[admitter.DemandKey]admitter.Demand)
	own := make([][]admitter.Demand, len(demands))
	for i := range demands {
		own[i] = demands[i].Own(now).Demands
		for _, one := range own[i] {
			s := sum[one.DemandKey]
			sum[one.DemandKey] = admitter.Demand{DemandKey: one.DemandKey, Arrivals: s.Arrivals + one.Arrivals, Admitted: s.Admitted + one.Admitted, Lacked: s.Lacked + one.Lacked}
		}
	}
	for i := range demands {
		r := admitter.DemandReport{Hosts: len(demands) - 1}
		for _, one := range sum {
			for _, mine := range own[i] {
				if mine.DemandKey == one.DemandKey {
					one.Arrivals -= mine.Arrivals
					one.Admitted -= mine.Admitted
					one.Lacked -= mine.Lacked
				}
			}
			r.Demands = append(r.Demands, one)
		}
		_ = demands[i].SetReport(now, "fleet", r)
	}
}

// shareReplays returns the loads for which shares are replayed.
func shareReplays() []shareReplay {
	return []shareReplay{
		{hosts: 24, large: 8, usual: 0.75},
		{hosts: 24, large: 0, usual: 0.75},
		{hosts: 24, large: 0, usual: 0.5},
		{hosts: 137, large: 0, usual: 0.75},
		{hosts: 24, large: 0, usual: 0.75, cutAt: 7 * time.Second},
	}
}

func (c *shareReplay) String() string {
	return fmt.Sprintf("%d hosts, workspace %d, usual %g, cut at %v", c.hosts, c.large, c.usual, c.cutAt)
}

// TestShares: a workspace that asks for twenty times its usual takes nearly all capacity, and the
// others are refused with it.
func TestShares(t *testing.T) {
	for _, c := range shareReplays() {
		t.Run(c.String(), func(t *testing.T) { assertShares(t, c) })
	}
}

// TestSharesOfManyHosts: the same where the workspace asks for little more than there is, and each host
// gets few of its requests.
func TestSharesOfManyHosts(t *testing.T) {
	assertShares(t, shareReplay{hosts: 137, large: 8, usual: 0.75})
}

// assertShares checks that others are served within 2 in 100 of before, from the second second on.
func assertShares(t *testing.T, c shareReplay) {
	t.Helper()
	is := is.New(t)
	var before, after shareOutcome
	for c.seed = range 3 {
		c.fair = false
		before.add(c.run())
		c.fair = true
		after.add(c.run())
	}
	t.Logf("others served %.3f before the burst; in it without shares %.3f, with them %.3f; started %.0f and %.0f",
		after.othersBefore.share(), before.others.share(), after.others.share(), before.starts, after.starts)
	is.True(after.others.share() >= after.othersBefore.share()-0.02)
	// Erlang's formula: of 420 places, 0.93 are taken where 1 in 100 requests is refused.
	is.True(after.starts >= 0.9*before.starts)
}

// TestSharesInTheFirstSecond: the same over all ten seconds, also before reports show the shortage.
func TestSharesInTheFirstSecond(t *testing.T) {
	for _, c := range shareReplays() {
		t.Run(c.String(), func(t *testing.T) {
			var sum shareOutcome
			c.fair = true
			for c.seed = range 3 {
				sum.add(c.run())
			}
			others := sum.others
			others.add(sum.othersFirst)
			t.Logf("others served %.3f, in the first second %.3f", others.share(), sum.othersFirst.share())
			is.New(t).True(others.share() >= sum.othersBefore.share()-0.02)
		})
	}
}

func (o *outcome) share() float64 { return o.served / o.asked }

func (o *shareOutcome) add(part shareOutcome) {
	o.others.add(part.others)
	o.large.add(part.large)
	o.othersBefore.add(part.othersBefore)
	o.othersFirst.add(part.othersFirst)
	o.starts += part.starts
}

// TestSharesAreMaxMin draws demands and checks that no workspace gets less than its fair part or its
// demand, that the shares fit, and that no capacity stays unused while some demand is not met.
func TestSharesAreMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var d admitter.Demands
		asked := rapid.SliceOfN(rapid.IntRange(4, 400), 2, 30).Draw(t, "asked")
		admitted := rapid.IntRange(1, 600).Draw(t, "admitted")
		r := admitter.DemandReport{Hosts: 1}
		total, left := 0, admitted
		for i, n := range asked {
			part := min(n, left)
			left -= part
			total += n
			r.Demands = append(r.Demands, admitter.Demand{DemandKey: key(0, fmt.Sprint(i)), Arrivals: float64(n), Admitted: float64(part), Lacked: float64(n)})
		}
		is.NoErr(d.SetReport(0, "host", r))
		capacity := 0.9 * float64(min(admitted, total))
		sum := 0.0
		for i, n := range asked {
			s, _ := d.TakeShare(0, key(0, fmt.Sprint(i)))
			is.Equal(s.Asked, float64(n))
			is.True(s.Share >= min(float64(n), capacity/float64(len(asked)))-1e-6)
			is.True(s.Share <= float64(n)+1e-6)
			sum += s.Share
		}
		is.True(sum <= capacity+1e-6)
		is.True(sum >= capacity-1e-6) // all of it while somebody asks
	})
}

// TestNoSharesWithCapacity guards against shares that refuse a workspace which asks for much more than
// usual while there is capacity for all.
func TestNoSharesWithCapacity(t *testing.T) {
	for _, c := range []shareReplay{{hosts: 24, large: 23, usual: 0.6}, {hosts: 24, large: 8, usual: 0.45}} {
		t.Run(c.String(), func(t *testing.T) {
			c.fair = true
			for c.seed = range 3 {
				out := c.run()
				for _, o := range []outcome{out.othersBefore, out.othersFirst, out.others, out.large} {
					is.New(t).Equal(o.served, o.asked)
				}
			}
		})
	}
}

// TestNoShares checks that shares are in force in a shortage only.
func TestNoShares(t *testing.T) {
	is := is.New(t)
	var d admitter.Demands
	now := arrive(&d, 0, 2*time.Second, 300, key(0, "large"))
	d.RecordArrival(now, key(0, "small"))
	for range 50 {
		d.RecordAdmitted(now, key(0, "large"))
	}
	exceeds := func(now time.Duration) bool {
		return slices.Contains([]bool{d.ExceedsShare(now, key(0, "large")), d.ExceedsShare(now, key(0, "large"))}, true)
	}
	is.True(!exceeds(now))
	now += 100 * time.Millisecond
	for range 50 {
		d.RecordLack(now, key(0, "large"))
	}
	is.True(exceeds(now))
	is.True(!d.ExceedsShare(now, key(0, "small")))
	is.True(!d.ExceedsShare(now, key(1, "large"))) // another rank
	is.True(!exceeds(now + 10*time.Second))        // no shortage any more
}

// TestSharesEndWithTheShortage: after an outage, in which little was admitted, shares of that little
// must not hold requests back.
func TestSharesEndWithTheShortage(t *testing.T) {
	is := is.New(t)
	var d admitter.Demands
	now, refused := time.Duration(0), 0
	for ; now < 9*time.Second; now += 5 * time.Millisecond {
		if now%(20*time.Millisecond) == 0 {
			d.RecordArrival(now, key(0, "small"))
			d.RecordAdmitted(now, key(0, "small"))
		}
		d.RecordArrival(now, key(0, "large"))
		switch {
		case d.ExceedsShare(now, key(0, "large")):
			if now > 8*time.Second {
				refused++
			}
		case now > 4*time.Second && now < 6*time.Second && now%(50*time.Millisecond) != 0:
			d.RecordLack(now, key(0, "large"))
		default:
			d.RecordAdmitted(now, key(0, "large"))
		}
	}
	is.Equal(refused, 0) // two seconds after the outage
}
