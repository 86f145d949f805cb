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

// assertOnce checks that a booking ran exactly once.
func (b *bench) assertOnce(id string) {
	b.t.Helper()
	is.New(b.t).Equal(b.world.Services["desk"].Runs(id), 1)
}

// TestRepeatsAtOnce. A trader's program sends a confirmation through all entry
// hosts at the same moment. Each host found no record and dispatched. Now one
// claims it, and the others answer with its outcome or say that it runs.
func TestRepeatsAtOnce(t *testing.T) {
	run(t, 20, func(b *bench) {
		b.world.Services["desk"].SetDelay(300 * time.Millisecond)
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
			b.assertOnce(id)
		}
	})
}

// TestJoinedHostAsked guards against a host that has just joined being taken for gone.
func TestJoinedHostAsked(t *testing.T) {
	run(t, 31, func(b *bench) {
		b.world.Services["desk"].SetDelay(2 * time.Second)
		b.start(atFirst)
		b.await(10*time.Second, b.hosts[atFirst].Ready)
		first := make(chan reply, 1)
		go func() { first <- b.post(atFirst, bookings, booking("lot"), nil) }()
		time.Sleep(500 * time.Millisecond)
		b.assertRefused(b.post(0, bookings, booking("lot"), nil), "running", false)
		is.New(t).Equal((<-first).status, http.StatusOK)
		b.assertOnce("lot")
	})
}

// TestLostWriteAnswer guards against a confirmation that runs twice after a lost answer.
func TestLostWriteAnswer(t *testing.T) {
	run(t, 21, func(b *bench) {
		lost := 0
		b.world.Platform.SetFaults(faker.Faults{LoseResponse: func(storer.Write) bool {
			lost++
			return lost%2 == 1
		}})
		for n := range 10 {
			id := fmt.Sprint("lot ", n)
			is := is.New(t)
			is.Equal(b.post(n%4, bookings, booking(id), nil).status, 200)
			b.await(5*time.Second, func() bool { return b.post((n+1)%4, bookings, booking(id), nil).status == 200 })
			b.assertOnce(id)
		}
	})
}

// TestPlatformOut. The platform is out when a booking comes. It can't be
// recorded, so it is refused as not run; generations and idempotent calls go on.
// Once the platform is back the same booking runs, once.
func TestPlatformOut(t *testing.T) {
	run(t, 22, func(b *bench) {
		b.world.Platform.SetFaults(faker.Faults{Unavailable: true})
		r := b.post(0, bookings, booking("lot"), nil)
		b.assertRefused(r, "platform", true)
		is.New(t).Equal(b.post(0, "/services/desk/search", "{}", nil).status, 200)
		b.assertWhole(b.generate(context.Background(), 0, "p", 5), "p", 5)
		b.world.Platform.SetFaults(faker.Faults{})
		is.New(t).Equal(b.post(0, bookings, booking("lot"), nil).status, 200)
		b.assertOnce("lot")
	})
}

// TestPlatformLostDuring. The platform goes out between a booking's record and
// its outcome. The caller still gets the answer; a repeat is told that the call
// runs, and gets the outcome once it could be recorded.
func TestPlatformLostDuring(t *testing.T) {
	run(t, 23, func(b *bench) {
		b.world.Services["desk"].SetDelay(time.Second)
		done := make(chan reply)
		go func() { done <- b.post(0, bookings, booking("lot"), nil) }()
		time.Sleep(500 * time.Millisecond)
		b.world.Platform.SetFaults(faker.Faults{Unavailable: true})
		is := is.New(t)
		first := <-done
		is.Equal(first.status, 200)
		b.assertRefused(b.post(1, bookings, booking("lot"), nil), "platform", true)
		b.world.Platform.SetFaults(faker.Faults{})
		b.await(15*time.Second, func() bool { return b.post(1, bookings, booking("lot"), nil).body == first.body })
		b.assertOnce("lot")
	})
}

// TestHostKilledAfterSend. The host that sent a booking dies before it recorded
// the outcome. A repeat through another host must neither run it nor say that it
// didn't run.
func TestHostKilledAfterSend(t *testing.T) {
	run(t, 24, func(b *bench) {
		b.world.Services["desk"].SetDelay(2 * time.Second)
		go b.post(0, bookings, booking("lot"), nil)
		time.Sleep(time.Second)
		b.kill(0)
		for i := 1; i < 4; i++ {
			b.assertRefused(b.post(i, bookings, booking("lot"), nil), "outcomeUnknown", false)
		}
		b.start(0)
		b.await(20*time.Second, b.hosts[0].Ready)
		b.assertRefused(b.post(0, bookings, booking("lot"), nil), "outcomeUnknown", false)
		b.assertOnce("lot")
	})
}

// TestAnswerLostUpstream. The instance runs a booking and its connection breaks
// before the answer. Retrying it on another instance booked it twice.
func TestAnswerLostUpstream(t *testing.T) {
	run(t, 25, func(b *bench) {
		b.world.Services["desk"].DropResponseWhen(func(*http.Request) bool { return true })
		b.assertRefused(b.post(0, bookings, booking("lot"), nil), "outcomeUnknown", false)
		b.world.Services["desk"].DropResponseWhen(nil)
		b.await(5*time.Second, func() bool {
			r := b.post(1, bookings, booking("lot"), nil)
			return r.refuse != nil && r.refuse.Reason == "outcomeUnknown"
		})
		b.assertOnce("lot")
	})
}

// TestCutOff. A data centre is cut off from the platform. Its hosts refuse
// bookings as not run and go on with the rest; the other hosts book.
func TestCutOff(t *testing.T) {
	run(t, 26, func(b *bench) {
		b.net.Partition("port", platformPlace)
		b.assertRefused(b.post(1, bookings, booking("lot"), map[string]string{"Deadline-Ms": "20000"}), "platform", true)
		b.assertWhole(b.generate(context.Background(), 1, "p", 5), "p", 5)
		is.New(t).Equal(b.post(0, bookings, booking("lot"), nil).status, 200)
		b.assertOnce("lot")
	})
}

// TestAbandonedTakenOver. No instance is up when a booking comes; its record is
// written and nothing is sent. A repeat through another host, once an instance
// is back, must run it.
func TestAbandonedTakenOver(t *testing.T) {
	run(t, 27, func(b *bench) {
		for _, dc := range centres {
			b.world.Kill(dc + "-desk-0")
		}
		r := b.post(0, bookings, booking("lot"), map[string]string{"Deadline-Ms": "3000"})
		b.assertRefused(r, "noRoute", true)
		for _, dc := range centres {
			is.New(t).NoErr(b.world.Restart(dc + "-desk-0"))
		}
		time.Sleep(5 * time.Second)
		is.New(t).Equal(b.post(2, bookings, booking("lot"), nil).status, 200)
		b.assertOnce("lot")
	})
}

// TestKeyedEmptyBody. A release has its key in the header and no body, and goes
// out on a kept connection that the instance has just closed. net/http takes the
// header for leave to send it again.
func TestKeyedEmptyBody(t *testing.T) {
	run(t, 28, func(b *bench) {
		fail := false
		b.world.Services["desk"].DropResponseWhen(func(*http.Request) bool { return fail })
		for n := range 6 {
			fail = n%2 == 1
			b.post(0, bookings, "", map[string]string{"Idempotency-Key": fmt.Sprint("k", n)})
			b.assertOnce(fmt.Sprint("k", n))
		}
	})
}

// TestSingleShot. A call that operators declared single-shot comes without a
// key. It is sent at most once, whatever happens.
func TestSingleShot(t *testing.T) {
	run(t, 29, func(b *bench) {
		b.world.Services["desk"].DropResponseWhen(func(*http.Request) bool { return true })
		b.assertRefused(b.post(0, "/services/desk/once", "{}", nil), "outcomeUnknown", false)
		b.assertOnce("")
	})
}
