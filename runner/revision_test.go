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

// raceOperators lets two operators submit against one revision, checks that exactly one wins, and
// returns the resulting revision.
func raceOperators(b *cluster, base int64) int64 {
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
				revs[n], err = watcher.Submit(ctx, b.environment.Platform, src, base, fmt.Sprintf("%d-%d", base, n), fmt.Sprint("operator ", n))
			}
			errs[n] = err
			done <- n
		}()
	}
	<-done
	<-done
	var conflict *watcher.ConflictError
	switch {
	case errs[0] == nil && errs[1] == nil:
		b.t.Errorf("both operators won against revision %d: %v", base, revs)
	case errs[0] != nil && errs[1] != nil && (errors.As(errs[0], &conflict) || errors.As(errs[1], &conflict)) && conflict.Have == base:
		b.t.Errorf("neither operator won against revision %d: %v", base, errs)
	}
	return max(revs[0], revs[1], base)
}

// TestOperatorsRace guards against two operators who both win with different configurations
// reviewed at revision 1: the head is swapped only against the reviewed revision.
func TestOperatorsRace(t *testing.T) {
	runCluster(t, 2, func(b *cluster) {
		is.New(t).Equal(raceOperators(b, 1), int64(2))
		b.awaitRevision(8*time.Second, 2)
	})
}

// TestLostSubmission guards against a submission that conflicts with itself when the answer to
// its write was lost and it is retried. The head keeps the id of each submission.
func TestLostSubmission(t *testing.T) {
	runCluster(t, 3, func(b *cluster) {
		lost := 0
		b.environment.Platform.SetFaults(faker.Faults{LoseResponse: func(storer.Write) bool {
			lost++
			return lost <= 3
		}})
		is.New(t).Equal(b.submit(1, configuration()), int64(2))
		b.awaitRevision(8*time.Second, 2)
	})
}

// TestStalePlatform guards against hosts that go back to an older revision when the platform
// answers from an old copy after a failover. Hosts only move to a higher revision.
func TestStalePlatform(t *testing.T) {
	runCluster(t, 4, func(b *cluster) {
		b.environment.Platform.TakeSnapshot()
		b.submit(1, configuration())
		b.awaitRevision(8*time.Second, 2)
		b.environment.Platform.SetFaults(faker.Faults{Stale: true})
		b.kill(0)
		time.Sleep(time.Minute)
		b.start(0)
		b.await(20*time.Second, func() bool { return b.hosts[0].Status(context.Background()).Revision == 2 })
		time.Sleep(time.Minute)
		b.awaitRevision(time.Second, 2)
	})
}

// TestFreshHost replaces a host while the platform is down. It must not report ready before it
// has a configuration, and takes the one of its peers.
func TestFreshHost(t *testing.T) {
	runCluster(t, 5, func(b *cluster) {
		b.environment.Platform.SetFaults(faker.Faults{Unavailable: true})
		b.kill(1)
		e := b.start(1)
		is.New(t).True(!e.Ready())
		b.await(10*time.Second, e.Ready)
		prompt := "from the fresh host"
		b.assertComplete(b.generate(context.Background(), 1, prompt, 10), prompt, 10)
	})
}

// TestRevisionAfterPartition cuts a data centre off while a revision is submitted. The data centre
// serves with the old revision, and applies the new one within seconds after the partition ends.
func TestRevisionAfterPartition(t *testing.T) {
	runCluster(t, 6, func(b *cluster) {
		others := []string{"north", "road", platformSite}
		for _, o := range others {
			b.net.Partition("port", o)
		}
		b.submit(1, configuration())
		b.await(8*time.Second, func() bool { return b.hosts[0].Status(context.Background()).Revision == 2 })
		is.New(t).Equal(b.hosts[1].Status(context.Background()).Revision, int64(1))
		prompt := "while cut off"
		b.assertComplete(b.generate(context.Background(), 1, prompt, 10), prompt, 10)
		for _, o := range others {
			b.net.Heal("port", o)
		}
		b.awaitRevision(8*time.Second, 2)
	})
}

func (b *cluster) awaitRevision(d time.Duration, rev int64) {
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
