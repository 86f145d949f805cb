package isolator_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/isolator"
)

// TestThreePartsAtOnce guards against never isolating parts that crash upstreams at the same time, since each is absent from
// the crashes of the others.
func TestThreePartsAtOnce(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := start
	for range 30 {
		for n, id := range []string{"bad", "worse", "worst"} {
			if p := parts("lead", id); !refused(i, at, mill, "lead", id) {
				i.RecordCrash(at, p, mill, fmt.Sprint("upstream-", n))
			}
			i.RecordAnswer(at, parts("lead"))
			at += 400 * time.Millisecond
		}
	}
	is.Equal(isolated(i), "bad worse worst")
}

// TestLossOfSeries guards against refusing a sound part for a minute, since all requests have it and upstreams ended one
// after the other before a host that had just started knew of an answer.
func TestLossOfSeries(t *testing.T) {
	for _, ids := range []int{1, 5, 20} {
		for _, gap := range []time.Duration{20 * time.Millisecond, 60 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d parts, %v apart", ids, gap), func(t *testing.T) {
				is := is.New(t)
				i := &isolator.Isolator{Started: start}
				at := start + 3*time.Second
				for n := range 12 {
					for q := range 10 {
						i.RecordCrash(at, parts(fmt.Sprint("sound", (n+q)%ids)), mill, fmt.Sprint("upstream-", n))
					}
					at += gap
				}
				i.Sweep(at + time.Second)
				for _, s := range i.Isolated() {
					is.True(s.Tentative)
				}
				at += 4 * time.Second
				for id := range ids {
					p := parts(fmt.Sprint("sound", id))
					is.True(!i.Check(at, p, mill, false).Refused) // let through
					i.RecordAnswer(at, p)
				}
				is.Equal(isolated(i), "")
			})
		}
	}
}

// TestTentative guards against letting requests with a crashing part through again and again, since it was isolated while
// others could have been the cause.
func TestTentative(t *testing.T) {
	is := is.New(t)
	i := &isolator.Isolator{Started: start}
	at := start + 3*time.Second
	for n := range 4 {
		i.RecordCrash(at, parts("bad"), mill, fmt.Sprint("upstream-", n))
		at += 100 * time.Millisecond
	}
	is.True(i.Isolated()[0].Tentative)
	is.True(refused(i, at, mill, "bad"))
	at += 2 * time.Second
	is.True(!refused(i, at, mill, "bad"))
	is.True(refused(i, at, mill, "bad")) // one at a time
	at += 100 * time.Millisecond
	i.RecordCrash(at, parts("bad"), mill, "upstream-9")
	is.True(refused(i, at+59*time.Second, mill, "bad"))
	is.True(!i.Isolated()[0].Tentative)
}

// TestTentativeBesideRival guards against refusing a sound part for a minute, since it was in flight at the same crashes as
// the part that causes them and nothing was answered meanwhile.
func TestTentativeBesideRival(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := crashes(i, start, 5, mill, "bad", "sound")
	i.Sweep(at + time.Second)
	is.Equal(isolated(i), "sound")
	is.True(i.Isolated()[0].Tentative)
	is.True(!refused(i, at+3*time.Second, mill, "sound"))
}

// TestAnswerOfOthers guards against refusing a part that another host has answered shortly before, and against keeping it in
// the store.
func TestAnswerOfOthers(t *testing.T) {
	is := is.New(t)
	var a, b isolator.Isolator
	released := 0
	b.OnRelease = func(_ isolator.State, learned bool) {
		if !learned {
			released++
		}
	}
	a.RecordAnswer(start, parts("other"))
	b.RecordAnswer(start, parts("sound"))
	at := crashes(&a, start+time.Second, 3, mill, "sound")
	is.Equal(isolated(&a), "sound")
	b.Merge(at, a.States(16))
	b.Merge(at, a.States(16))
	is.Equal(isolated(&b), "")
	is.Equal(released, 1)
	a.Merge(at, b.States(16))
	is.Equal(isolated(&a), "")
	var c isolator.Isolator
	c.MergeAnswers(start+time.Second, b.Answers(start+time.Second, 32))
	crashes(&c, at, 3, mill, "sound")
	is.Equal(isolated(&c), "")
}

// TestOneRequest guards against isolating a part since one request with it moved from one lost upstream to the next.
func TestOneRequest(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := start
	for n := range 4 {
		i.RecordCrashOf(at, parts("sound"), mill, fmt.Sprint("upstream-", n), []uint64{7})
		at += 200 * time.Millisecond
	}
	is.Equal(isolated(i), "")
	i.RecordCrashOf(at, parts("sound"), mill, "upstream-4", []uint64{8, 9})
	i.RecordCrashOf(at+100*time.Millisecond, parts("sound"), mill, "upstream-5", []uint64{10})
	is.Equal(isolated(i), "sound")
}

// TestOrderOfCrashes guards against crashes that are not in order, since another host noticed one earlier.
func TestOrderOfCrashes(t *testing.T) {
	is := is.New(t)
	i := new(isolator.Isolator)
	at := crashes(i, start, 2, mill, "bad")
	first := i.States(1)[0]
	for n := range first.Crashes {
		first.Crashes[n].At -= time.Duration(n) * 800 * time.Millisecond
		first.Crashes[n].Requests = []uint64{1, 2, 3, 4}
	}
	i.Merge(at, []isolator.State{first})
	crashes(i, at, 1, mill, "bad")
	list := i.States(1)[0].Crashes
	is.Equal(len(list), 3)
	is.True(slices.IsSortedFunc(list, func(a, b isolator.Crash) int { return cmp.Compare(a.At, b.At) }))
	is.Equal(len(list[0].Requests), 2)
}
