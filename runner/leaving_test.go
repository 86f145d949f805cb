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

// leavingNoticeTime bounds how long new work may still reach an upstream that leaves.
const leavingNoticeTime = 3 * time.Second

// assertNoNewWork generates load, makes engine e leave, and checks that e gets no new sequence
// after leavingNoticeTime.
func (b *cluster) assertNoNewWork(e *faker.Engine, leave func()) {
	b.t.Helper()
	stop := b.generateLoad(1, 10, func(reply) {})
	defer stop()
	time.Sleep(2 * time.Second)
	is.New(b.t).True(e.SequencesStarted() > 0)
	leave()
	time.Sleep(leavingNoticeTime)
	begun := e.SequencesStarted()
	time.Sleep(8 * time.Second)
	is.New(b.t).Equal(e.SequencesStarted(), begun)
}

// TestLeavingSeen checks that hosts learn of a leaving engine from its probes and answers, and
// the other hosts from urgent gossip.
func TestLeavingSeen(t *testing.T) {
	runCluster(t, 30, func(b *cluster) {
		e := b.environment.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, e.Leave)
	})
}

// TestLeavingListed checks an engine that leaves by the platform's host list alone and still
// accepts all requests itself.
func TestLeavingListed(t *testing.T) {
	runCluster(t, 31, func(b *cluster) {
		e := b.environment.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, func() {
			b.environment.HostList.Set(prober.ListedHost{Name: "port-front-0", Incarnation: e.Load().Incarnation, Leaving: true})
		})
	})
}

// TestLeavingDrained checks an engine that an operator drains through one host.
func TestLeavingDrained(t *testing.T) {
	runCluster(t, 32, func(b *cluster) {
		e := b.environment.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, func() {
			r := b.admin(2, "/admin/v1/drain/port-front-0", "")
			is.New(t).Equal(r.status, 200)
		})
	})
}

// TestLeavingGossipCut checks an engine that leaves while gossip is cut and the host list a minute
// late: each host learns it from the engine's refusal, at the cost of one request not run.
func TestLeavingGossipCut(t *testing.T) {
	runCluster(t, 33, func(b *cluster) {
		b.environment.HostList.Delay = time.Minute
		for i := range 4 {
			for j := range i {
				b.net.Partition(fmt.Sprintf("peer%d", i), fmt.Sprintf("peer%d", j))
			}
		}
		e := b.environment.Fleet.Engine("port-front-0")
		b.assertNoNewWork(e, e.Leave)
	})
}

// TestLeavingAndBack guards against an engine that gets no work after its restart, since gossip
// still carries the leaving state of its earlier incarnation.
func TestLeavingAndBack(t *testing.T) {
	runCluster(t, 34, func(b *cluster) {
		e := b.environment.Fleet.Engine("port-front-0")
		e.Leave()
		time.Sleep(5 * time.Second)
		is.New(t).NoErr(b.environment.Restart("port-front-0"))
		before := e.SequencesStarted()
		stop := b.generateLoad(1, 10, func(reply) {})
		defer stop()
		b.await(10*time.Second, func() bool { return e.SequencesStarted() > before })
	})
}

// TestRollingReplacement stops each host in turn gracefully under load and replaces it, as an
// upgrade does. No answer may be cut off.
func TestRollingReplacement(t *testing.T) {
	for name, out := range map[string]bool{"platform up": false, "platform out": true} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, 35, func(b *cluster) {
				b.environment.Platform.SetFaults(faker.Faults{Unavailable: out})
				for i := range 4 {
					b.replace(i)
				}
			})
		})
	}
}

// replace stops host i during answers that last longer than the balancer takes to notice, and
// starts it again.
func (b *cluster) replace(i int) {
	const long = 800
	var wg sync.WaitGroup
	for k := range 4 {
		prompt := fmt.Sprintf("long %d %d", i, k)
		wg.Go(func() { b.assertComplete(b.generate(context.Background(), i, prompt, long), prompt, long) })
	}
	time.Sleep(500 * time.Millisecond)
	e := b.hosts[i]
	e.stop()
	prompt := "the balancer still sends"
	time.Sleep(time.Second)
	b.assertComplete(b.generate(context.Background(), i, prompt, 20), prompt, 20)
	is.New(b.t).NoErr(<-e.done)
	wg.Wait()
	b.start(i)
	b.await(20*time.Second, b.hosts[i].Ready)
}

// TestConcurrentStops stops two hosts at the same time, with long answers on both.
func TestConcurrentStops(t *testing.T) {
	runCluster(t, 36, func(b *cluster) {
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Go(func() { b.replace(i) })
		}
		wg.Wait()
	})
}

// TestStopAtLastByte guards against a stop that cuts off the last chunk of a slowly read stream.
func TestStopAtLastByte(t *testing.T) {
	runCluster(t, 37, func(b *cluster) {
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
