package runner_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/storer"
)

const bookings = "/services/desk/bookings"

func booking(id string) string { return `{"id":"` + id + `"}` }

// assertRanOnce checks that a booking ran exactly once.
func (b *cluster) assertRanOnce(id string) {
	b.t.Helper()
	is.New(b.t).Equal(b.environment.Services["desk"].Runs(id), 1)
}

// TestRepeatsAtOnce guards against a call that runs once per host when all hosts get it at once.
// One host claims it; the others answer with its outcome or refuse it as running.
func TestRepeatsAtOnce(t *testing.T) {
	runCluster(t, 20, func(b *cluster) {
		b.environment.Services["desk"].SetDelay(300 * time.Millisecond)
		for n := range 5 {
			id := fmt.Sprint("lot ", n)
			var wg sync.WaitGroup
			replies := make([]reply, 8)
			for k := range replies {
				wg.Go(func() { replies[k] = b.post(k%4, bookings, booking(id), nil) })
			}
			wg.Wait()
			for _, r := range replies {
				if r.status != http.StatusOK {
					b.assertRefused(r, "running", false)
				}
			}
			b.assertRanOnce(id)
		}
	})
}

// TestJoinedHostAsked guards against treating the claim of a host that has just joined as the
// claim of a dead host.
func TestJoinedHostAsked(t *testing.T) {
	runCluster(t, 31, func(b *cluster) {
		b.environment.Services["desk"].SetDelay(2 * time.Second)
		b.start(initialHosts)
		b.await(10*time.Second, b.hosts[initialHosts].Ready)
		first := make(chan reply, 1)
		go func() { first <- b.post(initialHosts, bookings, booking("lot"), nil) }()
		time.Sleep(500 * time.Millisecond)
		b.assertRefused(b.post(0, bookings, booking("lot"), nil), "running", false)
		is.New(t).Equal((<-first).status, http.StatusOK)
		b.assertRanOnce("lot")
	})
}

// TestLostWriteAnswer guards against a call that runs twice because the platform's answer to a
// write was lost.
func TestLostWriteAnswer(t *testing.T) {
	runCluster(t, 21, func(b *cluster) {
		lost := 0
		b.environment.Platform.SetFaults(faker.Faults{LoseResponse: func(storer.Write) bool {
			lost++
			return lost%2 == 1
		}})
		for n := range 10 {
			id := fmt.Sprint("lot ", n)
			is := is.New(t)
			is.Equal(b.post(n%4, bookings, booking(id), nil).status, 200)
			b.await(5*time.Second, func() bool { return b.post((n+1)%4, bookings, booking(id), nil).status == 200 })
			b.assertRanOnce(id)
		}
	})
}

// TestPlatformOut checks that a booking is refused as not run while the platform is down, that
// generations and idempotent calls go on, and that the booking runs once afterwards.
func TestPlatformOut(t *testing.T) {
	runCluster(t, 22, func(b *cluster) {
		b.environment.Platform.SetFaults(faker.Faults{Unavailable: true})
		r := b.post(0, bookings, booking("lot"), nil)
		b.assertRefused(r, "platform", true)
		is.New(t).Equal(b.post(0, "/services/desk/search", "{}", nil).status, 200)
		b.assertComplete(b.generate(context.Background(), 0, "p", 5), "p", 5)
		b.environment.Platform.SetFaults(faker.Faults{})
		is.New(t).Equal(b.post(0, bookings, booking("lot"), nil).status, 200)
		b.assertRanOnce("lot")
	})
}

// TestPlatformLostDuring takes the platform down between a booking's record and its outcome: the
// caller gets the answer, and a repeat is refused until the outcome is recorded.
func TestPlatformLostDuring(t *testing.T) {
	runCluster(t, 23, func(b *cluster) {
		b.environment.Services["desk"].SetDelay(time.Second)
		done := make(chan reply)
		go func() { done <- b.post(0, bookings, booking("lot"), nil) }()
		time.Sleep(500 * time.Millisecond)
		b.environment.Platform.SetFaults(faker.Faults{Unavailable: true})
		is := is.New(t)
		first := <-done
		is.Equal(first.status, 200)
		b.assertRefused(b.post(1, bookings, booking("lot"), nil), "platform", true)
		b.environment.Platform.SetFaults(faker.Faults{})
		b.await(15*time.Second, func() bool { return b.post(1, bookings, booking("lot"), nil).body == first.body })
		b.assertRanOnce("lot")
	})
}

// TestHostKilledAfterSend kills a host that sent a booking before it recorded the outcome. A
// repeat through another host must neither run the booking nor report it as not run.
func TestHostKilledAfterSend(t *testing.T) {
	runCluster(t, 24, func(b *cluster) {
		b.environment.Services["desk"].SetDelay(2 * time.Second)
		go b.post(0, bookings, booking("lot"), nil)
		time.Sleep(time.Second)
		b.kill(0)
		for i := 1; i < 4; i++ {
			b.assertRefused(b.post(i, bookings, booking("lot"), nil), "outcomeUnknown", false)
		}
		b.start(0)
		b.await(20*time.Second, b.hosts[0].Ready)
		b.assertRefused(b.post(0, bookings, booking("lot"), nil), "outcomeUnknown", false)
		b.assertRanOnce("lot")
	})
}

// TestAnswerLostUpstream guards against a booking that runs twice: an instance ran it, the
// connection broke before the answer, and a retry on another instance would run it again.
func TestAnswerLostUpstream(t *testing.T) {
	runCluster(t, 25, func(b *cluster) {
		b.environment.Services["desk"].DropResponseWhen(func(*http.Request) bool { return true })
		b.assertRefused(b.post(0, bookings, booking("lot"), nil), "outcomeUnknown", false)
		b.environment.Services["desk"].DropResponseWhen(nil)
		b.await(5*time.Second, func() bool {
			r := b.post(1, bookings, booking("lot"), nil)
			return r.refusal != nil && r.refusal.Reason == "outcomeUnknown"
		})
		b.assertRanOnce("lot")
	})
}

// TestPlatformUnreachable checks that hosts cut off from the platform refuse bookings as not run
// and serve all else, while the other hosts take bookings.
func TestPlatformUnreachable(t *testing.T) {
	runCluster(t, 26, func(b *cluster) {
		b.net.Partition("port", platformSite)
		b.assertRefused(b.post(1, bookings, booking("lot"), map[string]string{"Deadline-Ms": "20000"}), "platform", true)
		b.assertComplete(b.generate(context.Background(), 1, "p", 5), "p", 5)
		is.New(t).Equal(b.post(0, bookings, booking("lot"), nil).status, 200)
		b.assertRanOnce("lot")
	})
}

// TestAbandonedTakenOver checks a booking that was recorded but not sent, since no instance was
// up. A repeat through another host must run it once an instance is back.
func TestAbandonedTakenOver(t *testing.T) {
	runCluster(t, 27, func(b *cluster) {
		for _, dc := range dataCentres {
			b.environment.Kill(dc + "-desk-0")
		}
		r := b.post(0, bookings, booking("lot"), map[string]string{"Deadline-Ms": "3000"})
		b.assertRefused(r, "noRoute", true)
		for _, dc := range dataCentres {
			is.New(t).NoErr(b.environment.Restart(dc + "-desk-0"))
		}
		time.Sleep(5 * time.Second)
		is.New(t).Equal(b.post(2, bookings, booking("lot"), nil).status, 200)
		b.assertRanOnce("lot")
	})
}

// TestKeyedEmptyBody guards against net/http, which resends a request with an idempotency key
// header and no body by itself when the kept connection turns out to be closed.
func TestKeyedEmptyBody(t *testing.T) {
	runCluster(t, 28, func(b *cluster) {
		fail := false
		b.environment.Services["desk"].DropResponseWhen(func(*http.Request) bool { return fail })
		for n := range 6 {
			fail = n%2 == 1
			b.post(0, bookings, "", map[string]string{"Idempotency-Key": fmt.Sprint("k", n)})
			b.assertRanOnce(fmt.Sprint("k", n))
		}
	})
}

// TestSingleShot checks that a call declared single-shot, which has no key, is sent at most once.
func TestSingleShot(t *testing.T) {
	runCluster(t, 29, func(b *cluster) {
		b.environment.Services["desk"].DropResponseWhen(func(*http.Request) bool { return true })
		b.assertRefused(b.post(0, "/services/desk/once", "{}", nil), "outcomeUnknown", false)
		b.assertRanOnce("")
	})
}
