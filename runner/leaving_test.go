package runner_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/prober"
)

// leavingWithin is how long new work may still reach an upstream that leaves.
const leavingWithin = 3 * time.Second

// assertNoNewWork runs a load and checks that an engine which began to leave at
// start gets no new sequence after leavingWithin.
func (b *bench) assertNoNewWork(e *faker.Engine, leave func()) {
	b.t.Helper()
	stop := b.load(1, 10, func(reply) {})
	defer stop()
	time.Sleep(2 * time.Second)
	is.New(b.t).True(e.SequencesStarted() > 0)
	leave()
	time.Sleep(leavingWithin)
	before := e.SequencesStarted()
	time.Sleep(8 * time.Second)
	is.New(b.t).Equal(e.SequencesStarted(), before)
}

// TestLeavingSeen. An engine says itself that it leaves: probes and answers tell
// one host, urgent news all.
func TestLeavingSeen(t *testing.T) {
	run(t, 30, func(b *bench) {
		e := b.world.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, e.Leave)
	})
}

// TestLeavingListed. Only the platform's list says that an engine leaves; the
// engine itself takes all it is given.
func TestLeavingListed(t *testing.T) {
	run(t, 31, func(b *bench) {
		e := b.world.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, func() {
			b.world.HostList.Set(prober.ListedHost{Name: "port-front-0", Incarnation: e.Load().Incarnation, Leaving: true})
		})
	})
}

// TestLeavingDrained. An operator drains an engine through one host.
func TestLeavingDrained(t *testing.T) {
	run(t, 32, func(b *bench) {
		e := b.world.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, func() {
			r := b.admin(2, "/admin/v1/drain/port-front-0", "")
			is.New(t).Equal(r.status, 200)
		})
	})
}

// TestLeavingGossipCut. An engine leaves while the data centres can't gossip
// with each other, and the list is a minute late. Each host then learns it from
// the engine's own refusal, which costs each one request that never ran there.
func TestLeavingGossipCut(t *testing.T) {
	run(t, 33, func(b *bench) {
		b.world.HostList.Delay = time.Minute
		for i := range 4 {
			for j := range i {
				b.net.Partition(fmt.Sprintf("peer%d", i), fmt.Sprintf("peer%d", j))
			}
		}
		e := b.world.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, e.Leave)
	})
}

// TestLeavingAndBack. An engine leaves, is replaced, and comes back with a newer
// incarnation while old news of its leaving still goes round. It must get work.
func TestLeavingAndBack(t *testing.T) {
	run(t, 34, func(b *bench) {
		e := b.world.Fleet.Engine("port-front-0")
		e.Leave()
		time.Sleep(5 * time.Second)
		is.New(t).NoErr(b.world.Restart("port-front-0"))
		before := e.SequencesStarted()
		stop := b.load(1, 10, func(reply) {})
		defer stop()
		b.await(10*time.Second, func() bool { return e.SequencesStarted() > before })
	})
}

// TestRollingReplacement. Each host in turn is stopped by SIGTERM under load and
// replaced, as in an upgrade. No answer may be cut off.
func TestRollingReplacement(t *testing.T) {
	for name, out := range map[string]bool{"platform up": false, "platform out": true} {
		t.Run(name, func(t *testing.T) {
			run(t, 35, func(b *bench) {
				b.world.Platform.SetFaults(faker.Faults{Unavailable: out})
				for i := range 4 {
					b.replace(i)
				}
			})
		})
	}
}

// replace stops a host in the middle of answers that outlast the balancer's
// lag, and starts it again.
func (b *bench) replace(i int) {
	const long = 800
	var wg sync.WaitGroup
	for k := range 4 {
		prompt := fmt.Sprintf("long %d %d", i, k)
		wg.Go(func() { b.assertWhole(b.generate(context.Background(), i, prompt, long), prompt, long) })
	}
	time.Sleep(500 * time.Millisecond)
	e := b.hosts[i]
	e.stop()
	prompt := "the balancer still sends"
	time.Sleep(time.Second)
	b.assertWhole(b.generate(context.Background(), i, prompt, 20), prompt, 20)
	is.New(b.t).NoErr(<-e.done)
	wg.Wait()
	b.start(i)
	b.await(20*time.Second, b.hosts[i].Ready)
}

// TestTwoStops. Two hosts are stopped at the same time, with long answers on
// both.
func TestTwoStops(t *testing.T) {
	run(t, 36, func(b *bench) {
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { b.replace(i) })
		}
		wg.Wait()
	})
}

// TestStopAtLastByte guards against a stop that cuts the last chunk of a slowly read stream.
func TestStopAtLastByte(t *testing.T) {
	run(t, 37, func(b *bench) {
		is := is.New(t)
		conn, err := b.net.Dialer("caller")(context.Background(), "tcp", "10.0.0.1:80")
		is.NoErr(err)
		defer conn.Close()
		body := `{"model":"draft","prompt":"short","max_tokens":3,"stream":true}`
		fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, len(body), body)
		var got []byte
		for one := make([]byte, 1); !bytes.HasSuffix(got, []byte("data: [DONE]\n\n\r\n")); {
			_, err := conn.Read(one)
			is.NoErr(err)
			got = append(got, one...)
		}
		b.hosts[0].stop()
		time.Sleep(6 * time.Second)
		rest := make([]byte, 100)
		n, err := conn.Read(rest)
		is.NoErr(err)
		is.Equal(string(rest[:n]), "0\r\n\r\n")
	})
}
