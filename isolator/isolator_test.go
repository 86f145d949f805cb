package isolator_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/isolator"
)

const (
	mill  = 1
	kiln  = 2
	start = time.Minute
)

// parts returns the parts with some ids.
func parts(ids ...string) []isolator.Part {
	out := make([]isolator.Part, len(ids))
	for n, id := range ids {
		out[n] = isolator.ParsePart(id)
	}
	return out
}

// crashes records n crashes of different upstreams, half a second apart, and returns the time after them.
func crashes(i *isolator.Isolator, at time.Duration, n int, workspace uint64, ids ...string) time.Duration {
	for range n {
		i.RecordCrash(at, parts(ids...), workspace, fmt.Sprint("upstream-", at))
		at += 500 * time.Millisecond
	}
	return at
}

// isolated returns the ids of the isolated parts.
func isolated(i *isolator.Isolator) string {
	var out []string
	for _, s := range i.Isolated() {
		out = append(out, string(s.Part))
	}
	return strings.Join(out, " ")
}

func refused(i *isolator.Isolator, now time.Duration, workspace uint64, ids ...string) bool {
	return i.Check(now, parts(ids...), workspace, false).Refused
}

// TestSharedPart guards against sending requests to upstreams that share nothing but a crashing part.
func TestSharedPart(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	i.RecordAnswer(start, parts("lead", "sound"))
	at := crashes(i, start, 2, mill, "lead", "bad")
	is.True(!refused(i, at, mill, "lead", "bad"))
	is.True(i.Check(at, parts("lead", "bad"), mill, true).Refused) // not sent again
	is.True(!i.Check(at, parts("lead", "sound"), mill, true).Refused)
	at = crashes(i, at, 1, kiln, "lead", "bad")
	is.Equal(isolated(i), "bad")
	is.True(refused(i, at, mill, "lead", "bad"))
	is.True(refused(i, at, kiln, "other", "bad"))
	is.True(!refused(i, at, mill, "lead", "sound"))
}

// TestColdStart guards against isolating a part that all requests have, since nothing was answered
// yet when upstreams crash.
func TestColdStart(t *testing.T) {
	is := is.New(t)
	i := &isolator.Isolator{Started: start}
	at := crashes(i, start, 4, mill, "lead", "bad")
	is.Equal(isolated(i), "") // in settleTime
	at = crashes(i, at, 1, kiln, "lead", "bad")
	is.Equal(isolated(i), "bad")
	crashes(i, at, 5, kiln, "lead", "bad") // what was under way
	is.Equal(isolated(i), "bad")
}

// TestLateCrash guards against refusing requests with a part that all prompts begin with, since the host learns of
// a crash of the crashing part later than of its own.
func TestLateCrash(t *testing.T) {
	is := is.New(t)
	var a, b isolator.Isolator
	at := crashes(&a, start, 2, mill, "lead", "bad")
	b.Merge(at, a.States(16))
	a.RecordCrash(at, parts("lead", "bad"), kiln, "upstream-3")
	b.RecordCrash(at, parts("lead", "sound"), kiln, "upstream-3")
	b.Sweep(at + 2*time.Second)
	is.Equal(isolated(&b), "") // it knows of three crashes of one and two of the other
	a.Sweep(at + 2*time.Second)
	b.Merge(at+2*time.Second, a.States(16))
	is.Equal(isolated(&b), "bad")
	a.Merge(at+2*time.Second, b.States(16))
	is.Equal(isolated(&a), "bad")
}

// TestLossOfRack guards against isolating a new part since requests with it were in flight at upstreams
// that were lost together.
func TestLossOfRack(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	for n := range 20 {
		i.RecordCrash(start+time.Duration(n)*2*time.Millisecond, parts("new"), mill, fmt.Sprint("upstream-", n))
	}
	is.Equal(isolated(i), "")
}

// TestSamePartTwice guards against counting one crash that several hosts report as several.
func TestSamePartTwice(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	for n := range 9 {
		i.RecordCrash(start+time.Duration(n)*100*time.Millisecond, parts("new"), mill, "upstream")
	}
	is.Equal(isolated(i), "")
}

// TestTwoParts guards against missing one of two parts that crash upstreams at the same time.
func TestTwoParts(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	for at := start; at < start+4*time.Second; at += time.Second {
		crashes(i, at, 1, mill, "lead", "bad")
		crashes(i, at+200*time.Millisecond, 1, kiln, "lead", "worse")
		i.RecordAnswer(at+300*time.Millisecond, parts("lead", "sound"))
	}
	is.Equal(isolated(i), "bad worse")
}

// TestPartOfOthers guards against a caller that has the requests of others refused, as it names their
// parts in requests that crash upstreams.
func TestPartOfOthers(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	i.RecordAnswer(start, parts("theirs"))
	crashes(i, start+time.Second, 9, mill, "theirs")
	is.Equal(isolated(i), "")
	at := crashes(i, start+time.Second, 9, mill, "unused")
	is.True(refused(i, at, mill, "unused"))
	is.True(!refused(i, at, kiln, "unused"))
	at = crashes(i, at, 1, kiln, "unused")
	is.True(refused(i, at, kiln, "unused"))
}

// TestUsedPartTurnsBad guards against never isolating a part that was answered before.
func TestUsedPartTurnsBad(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	i.RecordAnswer(start, parts("lead"))
	crashes(i, start+31*time.Second, 3, mill, "lead")
	is.Equal(isolated(i), "lead")
}

// TestSample guards against refusing a sound part for ever, and against letting more than single requests
// through to find out.
func TestSample(t *testing.T) {
	is := is.New(t)
	rank := 0
	i := &isolator.Isolator{Rank: func() int { return rank }}
	i.RecordAnswer(start, parts("other"))
	at := crashes(i, start, 3, mill, "bad")
	is.True(refused(i, at+50*time.Second, mill, "bad"))
	rank = 4
	is.True(refused(i, at+61*time.Second, mill, "bad")) // another host does it
	rank = 0
	is.True(!refused(i, at+61*time.Second, mill, "bad"))
	is.True(refused(i, at+61*time.Second, mill, "bad"))
	at = crashes(i, at+62*time.Second, 2, mill, "bad")
	passed := 0
	for end := at + time.Hour + time.Minute; at < end; at += time.Second {
		if !refused(i, at, mill, "bad") {
			passed++
		}
	}
	is.Equal(passed, 2) // after 20 and 60 minutes
	i.RecordAnswer(at, parts("bad"))
	is.Equal(isolated(i), "")
	is.True(!refused(i, at, mill, "bad"))
}

// TestCertainAfterSample guards against refusing a part for longer than a minute before a request let through has
// crashed an upstream.
func TestCertainAfterSample(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	i.RecordAnswer(start, parts("other"))
	at := crashes(i, start, 6, mill, "bad")
	is.True(refused(i, at+59*time.Second, mill, "bad"))
	at += 61 * time.Second
	is.True(!refused(i, at, mill, "bad"))
	at = crashes(i, at+time.Second, 1, mill, "bad")
	is.True(refused(i, at+19*time.Minute, mill, "bad"))
	is.True(!refused(i, at+21*time.Minute, mill, "bad"))
}

// TestForgotten guards against parts that stay in memory or refused for ever.
func TestForgotten(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := crashes(i, start, 3, mill, "bad")
	i.Sweep(at + 29*time.Minute)
	is.Equal(isolated(i), "bad")
	i.Sweep(at + 31*time.Minute)
	is.Equal(len(i.States(100)), 0)
}

// TestAnswerAfterSweep guards against isolating a part that was answered just now, since what is known of it
// was swept or had to make room.
func TestAnswerAfterSweep(t *testing.T) {
	for name, forget := range map[string]func(i *isolator.Isolator, at time.Duration){
		"sweep": func(i *isolator.Isolator, at time.Duration) { i.Sweep(at) },
		"room": func(i *isolator.Isolator, at time.Duration) {
			for n := range 256 {
				i.RecordCrash(at, parts(fmt.Sprint("invented-", n)), mill, "upstream")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			i := new(isolator.Isolator)
			at := crashes(i, start, 1, mill, "lead")
			i.RecordAnswer(at, parts("lead"))
			forget(i, at)
			crashes(i, at, 3, mill, "lead")
			is.Equal(isolated(i), "")
		})
	}
}

// TestMerge guards against hosts that disagree on what is isolated, in whatever order they learn of it.
func TestMerge(t *testing.T) {
	t.Run("crashes", func(t *testing.T) {
		is := is.New(t)
		var a, b isolator.Isolator
		at := crashes(&a, start, 2, mill, "bad")
		at = crashes(&b, at, 1, kiln, "bad")
		b.Merge(at, a.States(16))
		a.Merge(at, b.States(16))
		is.Equal(isolated(&a), "bad")
		is.Equal(isolated(&b), "bad")
		is.Equal(len(a.States(16)[0].Crashes), 3)
	})
	t.Run("release", func(t *testing.T) {
		is := is.New(t)
		var a, b isolator.Isolator
		at := crashes(&a, start, 3, mill, "bad")
		old := a.States(16)
		b.Merge(at, old)
		is.Equal(isolated(&b), "bad")
		is.True(a.Release(at, parts("bad")[0]))
		is.True(!a.Release(at, parts("bad")[0]))
		a.Merge(at, b.States(16)) // b has not heard of it
		is.Equal(isolated(&a), "")
		b.Merge(at, a.States(16))
		is.Equal(isolated(&b), "")
	})
	t.Run("release heard late", func(t *testing.T) {
		is := is.New(t)
		var a, b isolator.Isolator
		at := crashes(&a, start, 3, mill, "bad")
		b.Merge(at, a.States(16))
		is.True(a.Release(at, parts("bad")[0]))
		at += 9 * time.Minute // b is cut off
		a.Sweep(at)
		b.Sweep(at)
		a.Merge(at, b.States(16))
		b.Merge(at, a.States(16))
		is.Equal(isolated(&a), "")
		is.Equal(isolated(&b), "")
	})
	t.Run("restarted host", func(t *testing.T) {
		is := is.New(t)
		var a isolator.Isolator
		at := crashes(&a, start, 12, mill, "bad")
		b := &isolator.Isolator{Started: at}
		b.Merge(at, a.States(16))
		is.Equal(isolated(b), "bad")
	})
}

// TestBounds guards against memory that grows with what callers name.
func TestBounds(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := crashes(i, start, 3, mill, "bad")
	for n := range 10000 {
		i.RecordCrash(at, parts(fmt.Sprint("invented-", n)), mill, "upstream")
		i.RecordAnswer(at, parts(fmt.Sprint("answered-", n)))
	}
	is.Equal(isolated(i), "bad")
	is.True(len(i.States(10000)) <= 256)
}

// TestFloodOfParts guards against a caller whose invented parts push what is known of a crashing part out of memory.
func TestFloodOfParts(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := crashes(i, start, 2, mill, "bad")
	for n := range 1000 {
		i.RecordCrash(at, parts(fmt.Sprint("invented-", n)), kiln, "upstream")
	}
	crashes(i, at, 1, mill, "bad")
	is.Equal(isolated(i), "bad")
}

// TestPartsInTurn guards against isolating the part that all prompts begin with for two that crash upstreams in turn.
func TestPartsInTurn(t *testing.T) {
	sound, soundRefused := 0, 0
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			i := &isolator.Isolator{Started: start}
			crashing := map[int]string{500: "bad", 1000: "bad", 1900: "worse", 2600: "worse"}
			for at := 4000; at < 12000; at += 1000 {
				crashing[at] = "worse"
			}
			var passed [][]string
			for at := 0; at < 15000; at += 50 {
				now := start + time.Duration(at)*time.Millisecond
				ids := []string{"lead", fmt.Sprint("middle", rnd.IntN(8))}
				v := i.Check(now, parts(ids...), mill, false)
				is.True(v.Part != "lead")
				sound++
				if v.Refused {
					soundRefused++
				} else {
					passed = append(passed, ids)
				}
				if bad := crashing[at]; bad != "" && !refused(i, now, kiln, "lead", bad) {
					upstream := fmt.Sprint("upstream-", at)
					for _, ids := range passed[len(passed)-1-rnd.IntN(3):] {
						i.RecordCrash(now, parts(ids...), mill, upstream)
					}
					i.RecordCrash(now, parts("lead", bad), kiln, upstream)
				}
				i.Sweep(now)
			}
			is.True(slices.Contains(strings.Fields(isolated(i)), "worse"))
		})
	}
	is.New(t).True(soundRefused <= sound/20)
	t.Logf("%d of %d sound requests refused", soundRefused, sound)
}

// TestHostWithoutRequests guards against isolating the part that all prompts begin with on a host that can't tell this yet.
func TestHostWithoutRequests(t *testing.T) {
	is := is.New(t)
	a := &isolator.Isolator{Started: time.Hour}
	at := start
	for _, bad := range []string{"bad", "worse", "worst"} {
		at = crashes(a, at, 3, mill, "lead", bad)
	}
	b := new(isolator.Isolator)
	b.Merge(at, a.States(16))
	b.Sweep(at + 2*time.Second)
	is.Equal(isolated(b), "")
}

// TestCrashingLead guards against never isolating a crashing part that all prompts begin with.
func TestCrashingLead(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			rnd := rand.New(rand.NewPCG(seed, 1))
			i := &isolator.Isolator{Started: start}
			n := 0
			for at := start; at < start+20*time.Second; at += 300 * time.Millisecond {
				var passed [][]string
				for range 6 {
					ids := []string{"lead", fmt.Sprint("middle", rnd.IntN(8))}
					if !refused(i, at, mill, ids...) {
						passed = append(passed, ids)
					}
				}
				for _, ids := range passed[:min(len(passed), 1+rnd.IntN(3))] {
					i.RecordCrash(at, parts(ids...), mill, fmt.Sprint("upstream-", at))
				}
				if len(passed) > 0 {
					n++
				}
				i.Sweep(at)
			}
			t.Logf("%d crashes", n)
			is.Equal(isolated(i), "lead")
		})
	}
}

func TestParseParts(t *testing.T) {
	for list, want := range map[string]string{
		"":                               "",
		"a1:40":                          "",
		"a1:40,b2:50":                    "a1",
		"A1:40, b2:50,c3:1":              "a1 b2",
		"a1:40,a1:40,c3:1":               "a1",
		",,:,c3:1":                       "",
		"a1,b2,c3":                       "a1 b2",
		"a1:40:7,b2:x,c3":                "a1 b2",
		strings.Repeat("a", 40) + ":1,b": "#569ea6843111ef03",
	} {
		t.Run(list, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, p := range isolator.ParseParts(list) {
				got = append(got, string(p))
			}
			is.Equal(strings.Join(got, " "), want)
		})
	}
	t.Run("many", func(t *testing.T) {
		is := is.New(t)
		var list []string
		for n := range 1000 {
			list = append(list, fmt.Sprint(n, ":1"))
		}
		is.Equal(len(isolator.ParseParts(strings.Join(list, ","))), 64)
	})
}

// request is one of a replayed load.
type request struct {
	ids       []string
	workspace uint64
	host      *isolator.Isolator
	upstream  int
	bad       bool
	// begins and ends are when its answer begins and ends.
	begins, ends time.Duration
}

// replay is a load on hosts that share what they know every 200 ms.
type replay struct {
	rnd *rand.Rand
	// leads is the number of parts with which prompts begin.
	leads int
	// otherCrashes lets upstreams crash for other causes too, one each two seconds.
	otherCrashes bool
	hosts        []*isolator.Isolator
	upAgain      [10]time.Duration
	// inFlight holds the requests in flight, in order of arrival.
	inFlight  []*request
	crashes   int
	lastCrash time.Duration
	// soundRefused counts sound requests that were refused for a part.
	soundRefused int
}

func (r *replay) arrive(now time.Duration, q *request) {
	h := r.hosts[r.rnd.IntN(len(r.hosts))]
	if refused(h, now, q.workspace, q.ids...) {
		if !q.bad {
			r.soundRefused++
		}
		return
	}
	first := r.rnd.IntN(len(r.upAgain))
	for n := range r.upAgain {
		q.upstream = (first + n) % len(r.upAgain)
		if now >= r.upAgain[q.upstream] {
			q.begins = now + time.Duration(20+r.rnd.IntN(60))*time.Millisecond
			q.ends = q.begins + time.Duration(500+r.rnd.IntN(1000))*time.Millisecond
			q.host = h
			r.inFlight = append(r.inFlight, q)
			return
		}
	}
}

func (r *replay) crash(now time.Duration, upstream int) { r.upAgain[upstream] = now + 3*time.Second }

// step lets begun requests crash their upstreams, with all that are in flight there, and answers the others.
func (r *replay) step(now time.Duration) {
	for _, q := range r.inFlight {
		if q.bad && now >= q.begins && now >= r.upAgain[q.upstream] {
			r.crash(now, q.upstream)
			r.crashes++
			r.lastCrash = now
		}
	}
	r.inFlight = slices.DeleteFunc(r.inFlight, func(q *request) bool {
		lost := now < r.upAgain[q.upstream]
		switch {
		case lost && now < q.begins+time.Second:
			q.host.RecordCrash(now, parts(q.ids...), q.workspace, fmt.Sprint(q.upstream))
		case !lost && now >= q.ends:
			q.host.RecordAnswer(now, parts(q.ids...))
		}
		return lost || now >= q.ends
	})
}

// share lets each host exchange what it knows with the next one.
func (r *replay) share(now time.Duration) {
	for n, h := range r.hosts {
		other := r.hosts[(n+1)%len(r.hosts)]
		exchange(now, h, other)
	}
}

// exchange lets two hosts tell each other what they know, losses and answers first.
func exchange(now time.Duration, a, b *isolator.Isolator) {
	for _, pair := range [][2]*isolator.Isolator{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		to.MergeLosses(from.Losses(now, 64))
		to.MergeAnswers(now, from.Answers(now, 32))
		to.Merge(now, from.States(16))
	}
}

// run replays a load of 40 s, in which requests with a crashing part come from a time on.
func (r *replay) run(seed uint64, exchangeInterval, badFrom time.Duration) {
	badPerSecond := []float64{1, 2, 8, 20}[r.rnd.IntN(4)]
	const tick = 5 * time.Millisecond
	chance := func(perSecond float64) bool { return r.rnd.Float64() < perSecond*tick.Seconds() }
	for now := start; now < start+40*time.Second; now += tick {
		ids := []string{fmt.Sprint("lead", r.rnd.IntN(r.leads)), fmt.Sprint("middle", r.rnd.IntN(8))}
		workspace := uint64(1 + r.rnd.IntN(5))
		if r.otherCrashes && chance(0.5) {
			r.crash(now, r.rnd.IntN(len(r.upAgain)))
		}
		if chance(40) {
			r.arrive(now, &request{ids: ids, workspace: workspace})
		}
		bad := "bad0"
		if now > start+20*time.Second {
			bad = fmt.Sprint("bad", 1+r.rnd.IntN(2))
		}
		if now > badFrom && chance(badPerSecond) {
			r.arrive(now, &request{ids: slices.Replace(slices.Clone(ids), badPlace(seed), badPlace(seed)+1, bad), workspace: workspace, bad: true})
		}
		r.step(now)
		if now%exchangeInterval == 0 {
			r.share(now)
		}
		if now%time.Second == 0 {
			for _, h := range r.hosts {
				h.Sweep(now)
			}
		}
	}
}

// assertReplays replays loads of many seeds and checks that exactly the crashing parts are isolated.
func assertReplays(t *testing.T, leads int, exchangeInterval, started, badFrom time.Duration, maxRefused int, otherCrashes bool) {
	t.Helper()
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			is := is.New(t)
			r := &replay{rnd: rand.New(rand.NewPCG(seed, 1)), leads: leads, otherCrashes: otherCrashes}
			for range 1 + r.rnd.IntN(5) {
				r.hosts = append(r.hosts, &isolator.Isolator{Started: started})
			}
			r.run(seed, exchangeInterval, badFrom)
			t.Logf("%d hosts: %d crashes, the last at %v, %d sound requests refused", len(r.hosts), r.crashes, r.lastCrash-start, r.soundRefused)
			is.True(r.soundRefused <= maxRefused)
			for _, h := range r.hosts {
				is.Equal(len(h.Isolated()), 3)
			}
		})
	}
}

// TestReplay guards, over many loads, against crashes that go on and sound requests that are refused: three
// crashing parts, one after the other and two at once, among requests that share all but that part with them.
func TestReplay(t *testing.T) {
	assertReplays(t, 3, 200*time.Millisecond, start, start+3*time.Second, 0, false)
}

// TestReplayColdStart guards against isolating the part that all prompts begin with, since upstreams crash
// before anything was answered and each host knows of only some crashes of the crashing part.
func TestReplayColdStart(t *testing.T) {
	assertReplays(t, 1, 400*time.Millisecond, 0, start, maxRefused, false)
}

// TestReplayOtherCrashes guards against isolating the part that all prompts begin with, since it is also at
// crashes for other causes.
func TestReplayOtherCrashes(t *testing.T) {
	assertReplays(t, 1, 400*time.Millisecond, 0, start, maxRefused, true)
}

// maxRefused is how many of some 1,600 sound requests may be refused where nothing was answered before: 1 in 20.
const maxRefused = 80

// badPlace returns the place of the crashing part in prompts, which differs by seed.
func badPlace(seed uint64) int { return int(seed % 2) }
