package runner_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/storer"
	"github.com/sardineward/sardineward/watcher"
)

// race has two operators submit against one revision, and returns the revision
// that then stands. Exactly one may win.
func race(b *bench, base int64) int64 {
	cfg := configuration()
	var revs [2]int64
	var errs [2]error
	done := make(chan int, 2)
	for n := range 2 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			c := *cfg
			c.WeightStoreBytesPerSecond = int(base)*2 + n + 1
			src, err := builder.Canonical(&c)
			if err == nil {
				revs[n], err = watcher.Submit(ctx, b.world.Platform, src, base, fmt.Sprintf("%d-%d", base, n), fmt.Sprint("operator ", n))
			}
			errs[n] = err
			done <- n
		}()
	}
	<-done
	<-done
	var conflict *watcher.Conflict
	switch {
	case errs[0] == nil && errs[1] == nil:
		b.t.Errorf("both operators won against revision %d: %v", base, revs)
	case errs[0] != nil && errs[1] != nil && (errors.As(errs[0], &conflict) || errors.As(errs[1], &conflict)) && conflict.Have == base:
		b.t.Errorf("neither operator won against revision %d: %v", base, errs)
	}
	return max(revs[0], revs[1], base)
}

// TestOperatorsRace. Two operators review revision 1 and submit different
// configurations at once. Both used to be told that theirs was in force, and
// one was gone. The head is swapped against the reviewed revision.
func TestOperatorsRace(t *testing.T) {
	run(t, 2, func(b *bench) {
		is.New(t).Equal(race(b, 1), int64(2))
		b.awaitRevision(8*time.Second, 2)
	})
}

// TestLostSubmission. An operator submits, and the platform's answer is lost
// after the write took effect. The operator's program tries again and is told
// of a conflict with itself. The head remembers the id of each submission.
func TestLostSubmission(t *testing.T) {
	run(t, 3, func(b *bench) {
		lost := 0
		b.world.Platform.SetFaults(faker.Faults{LoseResponse: func(storer.Write) bool {
			lost++
			return lost <= 3
		}})
		is.New(t).Equal(b.submit(1, configuration()), int64(2))
		b.awaitRevision(8*time.Second, 2)
	})
}

// TestStalePlatform. The platform answers reads from an old copy after a
// failover of its own. Hosts that read it used to go back to the revision
// before. Hosts only move to a higher revision.
func TestStalePlatform(t *testing.T) {
	run(t, 4, func(b *bench) {
		b.world.Platform.TakeSnapshot()
		b.submit(1, configuration())
		b.awaitRevision(8*time.Second, 2)
		b.world.Platform.SetFaults(faker.Faults{Stale: true})
		b.kill(0)
		time.Sleep(time.Minute)
		b.start(0)
		b.await(20*time.Second, func() bool { return b.hosts[0].Status(context.Background()).Revision == 2 })
		time.Sleep(time.Minute)
		b.awaitRevision(time.Second, 2)
	})
}

// TestFreshHost. A host is replaced while the platform is out. It has no
// configuration, so it must not report ready, and takes the one its peers have.
func TestFreshHost(t *testing.T) {
	run(t, 5, func(b *bench) {
		b.world.Platform.SetFaults(faker.Faults{Unavailable: true})
		b.kill(1)
		e := b.start(1)
		is.New(t).True(!e.Ready())
		b.await(10*time.Second, e.Ready)
		prompt := "from the fresh host"
		b.assertWhole(b.generate(context.Background(), 1, prompt, 10), prompt, 10)
	})
}

// TestRejoin. A data centre is cut off from the platform and from the others
// while a revision is made; it goes on with the old one and takes the new one
// within seconds of the cut's end.
func TestRejoin(t *testing.T) {
	run(t, 6, func(b *bench) {
		others := []string{"north", "road", platformPlace}
		for _, o := range others {
			b.net.Partition("port", o)
		}
		b.submit(1, configuration())
		b.await(8*time.Second, func() bool { return b.hosts[0].Status(context.Background()).Revision == 2 })
		is.New(t).Equal(b.hosts[1].Status(context.Background()).Revision, int64(1))
		prompt := "while cut off"
		b.assertWhole(b.generate(context.Background(), 1, prompt, 10), prompt, 10)
		for _, o := range others {
			b.net.Heal("port", o)
		}
		b.awaitRevision(8*time.Second, 2)
	})
}

func (b *bench) awaitRevision(d time.Duration, rev int64) {
	b.t.Helper()
	b.await(d, func() bool {
		for _, e := range b.hosts {
			if e != nil && e.Status(context.Background()).Revision != rev {
				return false
			}
		}
		return true
	})
}
