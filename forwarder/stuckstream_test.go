package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
)

// TestDelegatedRetryTakenLongAgo guards against retries beyond the budget: they are taken as streams break, and sent
// together once another host takes the streams, when the window in which they were counted has passed.
func TestDelegatedRetryTakenLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, budget := newStream(9)
		began := k.Now()
		var offeredAt []time.Duration
		k.Pool.Dial = func(_ context.Context, _, address string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				r, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				if r.Header.Get(retryOfHeader) != "" {
					_, _ = fmt.Fprintf(far, "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n", delegationHeader, delegationRefused)
					return
				}
				if address == "10.0.0.2:82" {
					offeredAt = append(offeredAt, k.Now())
					_, _ = fmt.Fprintf(far, streamHead+"%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n", delegationHeader, delegationServed)
					return
				}
				_, _ = io.WriteString(far, streamHead+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n")
				time.Sleep(20 * ms) // the upstream is dead before the stream breaks
			}()
			return near, nil
		}
		k.Delegator = &delegator.Delegator{DataCentre: "a", Hosts: func() []delegator.Host {
			if k.Now()-began < 13*time.Second {
				return nil
			}
			return []delegator.Host{{Name: "host-b", Address: "10.0.0.2:82", DataCentre: "a"}}
		}}
		earn := func() {
			for range 2 {
				budget.RecordRequest(k.Now())
			}
		}
		earn()
		ctx, leave := context.WithTimeout(t.Context(), 20*time.Second)
		defer leave()
		go func() {
			for ctx.Err() == nil { // other hosts reach the upstream
				is.NoErr(k.Balancer.SetReport(k.Now(), "host-b", balancer.Report{Hosts: map[string]int{"b": 1}}))
				sleep(ctx, 200*ms)
			}
		}()
		time.AfterFunc(10*ms, func() { k.Balancer.SetDead(k.Now(), "engine", true) })
		time.AfterFunc(15*time.Second, earn)
		k.r = k.r.WithContext(ctx)
		k.serveStream(ctx)
		t.Logf("offered after %v", offeredAt[0]-began)
		is.Equal(len(offeredAt), 1)
		is.True(offeredAt[0]-began >= 15*time.Second)
		leave()
		time.Sleep(time.Second)
	})
}

// TestBoundDelegatedRefused guards against retries that are spent for nothing: a host that reaches none of the upstreams
// which a delegated stream may run at has not run it, and says so.
func TestBoundDelegatedRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, _ := newStream(9)
		k.Balancer.UpdateUpstreams([]balancer.Upstream{
			{ID: "engine-b", Address: "10.1.0.2:80", Service: "model", DataCentre: "a", StartedAt: 1},
			{ID: "engine-c", Address: "10.1.0.3:80", Service: "model", DataCentre: "a", StartedAt: 1},
		}, nil)
		k.Balancer.SetDead(k.Now(), "engine", true)
		k.Balancer.SetDead(k.Now(), "engine-b", true)
		k.r.Header.Set(delegatedByHeader, "host-a")
		k.r.Header.Set(ranOnHeader, strings.Join([]string{"engine", "engine-b"}, ","))
		k.readDelegation()
		k.lastEventID = parseEventID("4")
		dials := 0
		k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) { dials++; return nil, os.ErrDeadlineExceeded }
		k.Tables = ageless{k.table}
		k.w.Header().Set(delegationHeader, delegationServed)
		k.serveStream(t.Context())
		is.Equal(dials, 0)
		is.Equal(k.w.Header().Get(delegationHeader), delegationRefused)
	})
}

// TestSilentAfterLateEvent guards against a stream that stays at a lost upstream for good since an event of it was late:
// it came while the stream waited for the retry to leave that upstream.
func TestSilentAfterLateEvent(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) { runSilentUpstream(t, late) })
	}
}

// runSilentUpstream runs a stream whose upstream is lost, and has its last event after that was found if late is set.
func runSilentUpstream(t *testing.T, late bool) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, budget := newStream(20)
		k.Balancer.UpdateUpstreams([]balancer.Upstream{{ID: "engine-b", Address: "10.1.0.2:80", Service: "model", DataCentre: "a", StartedAt: 1}}, nil)
		began := k.Now()
		var lost atomic.Value // the address of the first upstream
		var resumedAt time.Duration
		k.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			switch lost.Load() {
			case nil:
				lost.Store(address)
				near, far := net.Pipe()
				go func() {
					defer far.Close()
					br := bufio.NewReader(far)
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					_, _ = io.WriteString(far, streamHead+"\r\nid: 0\ndata: x\n\n")
					time.Sleep(1030 * ms)
					if late {
						_, _ = fmt.Fprint(far, "id: 1\ndata: x\n\n")
					}
					_, _ = br.ReadByte()
				}()
				return near, nil
			case address:
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return dialEvents(ctx, network, address)
		}
		k.Engines = new(probeFleet)
		ctx, leave := context.WithTimeout(t.Context(), 10*time.Second)
		defer leave()
		go k.Watch(ctx)
		time.AfterFunc(time.Second, func() {
			a := k.findAttempt("r")
			k.recordProbe(ctx, a.lease.First, os.ErrDeadlineExceeded, k.Now()-probeTimeout)
		})
		time.AfterFunc(5*time.Second, func() {
			for range 10 {
				budget.RecordRequest(k.Now())
			}
		})
		watched := make(chan struct{})
		go func() {
			defer close(watched)
			for ctx.Err() == nil {
				if a := k.findAttempt("r"); a != nil && lost.Load() != nil && a.lease.First.Address != lost.Load() && resumedAt == 0 {
					resumedAt = k.Now()
				}
				sleep(ctx, 10*ms)
			}
		}()
		k.r = k.r.WithContext(ctx)
		serveAborted(t, k)
		leave()
		<-watched
		t.Logf("resumed after %v", resumedAt-began)
		is.True(resumedAt > 0)
		is.True(resumedAt-began < 6*time.Second)
		time.Sleep(time.Second)
	})
}

// TestBoundToLostAndLeaving guards against streams that wait for a path while another host reaches an upstream that may
// run them: of the two that ran them this host has lost one, and the other one leaves.
func TestBoundToLostAndLeaving(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprint(leaves), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k, _ := newStream(9)
				began := k.Now()
				k.Balancer.UpdateUpstreams([]balancer.Upstream{
					{ID: "engine-b", Address: "10.1.0.2:80", Service: "model", DataCentre: "a", StartedAt: 1, Leaving: leaves},
					{ID: "engine-c", Address: "10.1.0.3:80", Service: "model", DataCentre: "a", StartedAt: 1},
				}, nil)
				k.Balancer.SetDead(k.Now(), "engine", true)
				k.Balancer.SetDead(k.Now(), "engine-b", !leaves)
				k.ranOn, k.headerSent, k.lastEventID = []string{"engine", "engine-b"}, true, parseEventID("1")
				offeredAt := time.Duration(0)
				k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
							return
						}
						offeredAt = k.Now()
						_, _ = fmt.Fprintf(far, streamHead+"%s: %s\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 2\ndata: x\n\n\r\n0\r\n\r\n", delegationHeader, delegationServed)
					}()
					return near, nil
				}
				k.Delegator = &delegator.Delegator{DataCentre: "a", Hosts: func() []delegator.Host {
					return []delegator.Host{{Name: "host-b", Address: "10.0.0.2:82", DataCentre: "a"}}
				}}
				ctx, leave := context.WithTimeout(t.Context(), 10*time.Second)
				defer leave()
				go func() {
					for ctx.Err() == nil {
						is.NoErr(k.Balancer.SetReport(k.Now(), "host-b", balancer.Report{Hosts: map[string]int{"b": 1}}))
						sleep(ctx, 200*ms)
					}
				}()
				k.r = k.r.WithContext(ctx)
				func() {
					defer func() { _ = recover() }() // a cut stream
					k.serveStream(ctx)
				}()
				t.Logf("offered after %v", offeredAt-began)
				is.True(offeredAt > 0)
				is.True(offeredAt-began < 2*time.Second)
				leave()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestStallAtEjected guards against streams that stall at an upstream which other ones don't reach, since a rejected
// request has had it ejected before.
func TestStallAtEjected(t *testing.T) {
	for _, ejected := range []bool{false, true} {
		t.Run(fmt.Sprint(ejected), func(t *testing.T) {
			runProbeFleet(t, 1, 10, func(is *is.I, fl *probeFleet) {
				h := fl.hosts[0]
				lost := h.b.Path(h.streams[0].attempt.lease)[3]
				if ejected {
					for _, ago := range []time.Duration{15 * time.Second, 10 * time.Second, 5 * time.Second, 0} {
						h.b.Eject(h.f.Now()-ago, lost.ID)
					}
				}
				started := time.Now()
				for fl.streamsThrough(lost.ID) > 0 && time.Since(started) < 10*time.Second {
					for _, a := range h.f.streamsThrough(lost.ID) {
						h.f.handleStall(context.Background(), Stall{RequestID: a.id, Address: lost.Address})
					}
					time.Sleep(stallQueryInterval)
				}
				t.Logf("no stream over it after %v", time.Since(started))
				is.True(time.Since(started) <= time.Second)
			})
		})
	}
}

// stallEngines has the engine at first name two stalled requests, and fails the order to change the path of one.
type stallEngines struct {
	*probeHost
	first string

	mu     sync.Mutex
	stalls []Stall
}

// setStalls sets the stalled requests.
func (e *stallEngines) setStalls(stalls ...Stall) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalls = stalls
}

func (e *stallEngines) QueryStalls(_ context.Context, u balancer.Hop) ([]Stall, error) {
	if u.Address != e.first {
		return nil, nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stalls, nil
}

func (e *stallEngines) Repath(ctx context.Context, requestID string, hops []balancer.Hop) error {
	e.mu.Lock()
	fails := requestID == e.stalls[0].RequestID
	e.mu.Unlock()
	if fails {
		return os.ErrNotExist
	}
	return e.probeHost.Repath(ctx, requestID, hops)
}

// TestStallBehindRetry guards against streams between data centres that stall for good since another one, of which the
// same engine tells, waits for a retry.
func TestStallBehindRetry(t *testing.T) {
	for _, hasRetry := range []bool{true, false} {
		t.Run(fmt.Sprint(hasRetry), func(t *testing.T) {
			runProbeFleet(t, 1, 40, func(is *is.I, fl *probeFleet) {
				h := fl.hosts[0]
				span := engineLayers / engineRanges
				for c := range engineCopies {
					id := engineID(engineRanges-1, c)
					h.b.UpdateUpstreams([]balancer.Upstream{{ID: id, Address: id, Service: "model", DataCentre: "b", Layers: balancer.Span{From: engineLayers - span, To: engineLayers}}}, nil)
				}
				h.b.SetHosts(map[string]string{"host-9": "b"})
				waits := h.streams[0].attempt
				lost := h.b.Path(waits.lease)[3]
				var other *attempt
				for _, s := range h.streams[1:] {
					p := h.b.Path(s.attempt.lease)
					if other == nil && p[0].ID == waits.lease.First.ID && p[3].ID != lost.ID {
						other = s.attempt
					}
				}
				is.True(other != nil)
				is.True(h.b.CrossesDataCentres(other.lease))
				otherLost := h.b.Path(other.lease)[3]
				for _, s := range h.streams {
					s.attempt.takeRetry = func() bool { return hasRetry }
				}
				e := &stallEngines{probeHost: h, first: waits.lease.First.Address}
				e.setStalls(Stall{waits.id, lost.Address}, Stall{other.id, otherLost.Address})
				h.f.Engines = e
				fl.setDeaf(true, lost.ID)
				fl.setDark(true, lost.ID, otherLost.ID)
				h.b.SetDead(h.f.Now(), lost.ID, true)
				h.b.SetDead(h.f.Now(), otherLost.ID, true)
				h.mu.Lock()
				h.streams = h.streams[1:] // its engine goes on to wait, as the order fails
				h.mu.Unlock()
				started := time.Now()
				stays := func() bool {
					p := h.b.Path(other.lease)
					return h.f.isTracked(other) && p[3].ID == otherLost.ID
				}
				for stays() && time.Since(started) < 5*time.Second {
					h.f.queryStalls(context.Background(), waits.lease.First)
					time.Sleep(50 * ms)
				}
				t.Logf("moved after %v", time.Since(started))
				is.True(time.Since(started) <= time.Second)
				h.f.untrack(waits)
			})
		})
	}
}

// TestRefusedWhileStreamsGoOn guards against streams that are taken from an engine which refuses new connections while
// they go on, as behind a link that is cut for new connections alone.
func TestRefusedWhileStreamsGoOn(t *testing.T) {
	for _, falsely := range []string{"engine-0-1", "engine-3-1"} {
		t.Run(falsely, func(t *testing.T) {
			runProbeFleet(t, 4, streamsPerHost(4), func(is *is.I, fl *probeFleet) {
				is.True(fl.streamsThrough(falsely) > 0)
				fl.setDeaf(true, falsely)
				for _, h := range fl.hosts {
					h.f.recordProbe(context.Background(), balancer.Hop{ID: falsely, Address: falsely}, syscall.ECONNREFUSED, h.f.Now())
				}
				time.Sleep(time.Second)
				fl.setDeaf(false, falsely)
				time.Sleep(time.Second)
				fl.mu.Lock()
				defer fl.mu.Unlock()
				t.Logf("%d streams canceled, %d paths changed", fl.canceled(), fl.orders)
				is.Equal(fl.canceled(), 0)
				is.Equal(fl.orders, 0)
			})
		})
	}
}

// TestEmptyResponseOfHost guards against a stream that ends as complete where the host that served it answered nothing:
// its handler returned without an answer.
func TestEmptyResponseOfHost(t *testing.T) {
	for _, stamp := range []string{"stamp", ""} {
		t.Run(stamp, func(t *testing.T) {
			is := is.New(t)
			k, _ := newStream(9)
			k.lastEventID, k.headerSent = parseEventID("4"), true
			header := make(http.Header)
			if stamp != "" {
				header.Set(DefaultHeaders.Stamp, stamp)
			}
			v := k.passOnEvents(new(delegation), &connector.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: header, Body: http.NoBody}})
			is.Equal(v == verdictAnswered, stamp != "")
		})
	}
}

// TestRefusedBesideOwnDelay guards against streams that are taken from an engine which refuses new connections while they
// go on, since their host sees late what arrives.
func TestRefusedBesideOwnDelay(t *testing.T) {
	for _, d := range append([]ownDelay{{name: "none", lasts: time.Second}}, ownDelays...) {
		t.Run(d.name, func(t *testing.T) {
			runProbeFleet(t, 4, streamsPerHost(4), func(is *is.I, fl *probeFleet) {
				const id = "engine-3-1"
				fl.setDeaf(true, id)
				for _, h := range fl.hosts {
					h.setLate(d.late, d.lasts)
					k := &call{Forwarder: h.f, r: httptest.NewRequest(http.MethodPost, "/", nil)}
					k.recordUnreachable(context.Background(), balancer.Hop{ID: id, Address: id}, &connector.Error{Address: id, DialFailed: true, BegunAt: k.Now(), Err: syscall.ECONNREFUSED})
				}
				time.Sleep(d.lasts)
				fl.setDeaf(false, id)
				time.Sleep(time.Second)
				fl.mu.Lock()
				defer fl.mu.Unlock()
				t.Logf("%d streams canceled, %d paths changed", fl.canceled(), fl.orders)
				is.Equal(fl.canceled(), 0)
				is.Equal(fl.orders, 0)
			})
		})
	}
}

// TestStallAfterFailedOrder guards against a stream that stalls for good since the order to change its path failed: the
// reservation is on the new path, while the engine still waits for the upstream of the old one.
func TestStallAfterFailedOrder(t *testing.T) {
	for _, fails := range []bool{false, true} {
		t.Run(fmt.Sprint(fails), func(t *testing.T) {
			runProbeFleet(t, 1, 10, func(is *is.I, fl *probeFleet) {
				h := fl.hosts[0]
				s := h.streams[0]
				s.attempt.takeRetry = func() bool { return false }
				lost := h.b.Path(s.attempt.lease)[3]
				failing := "none"
				if fails {
					failing = s.attempt.id
				}
				e := &stallEngines{probeHost: h}
				e.setStalls(Stall{RequestID: failing})
				h.f.Engines = e
				h.mu.Lock()
				h.streams = h.streams[1:]
				h.mu.Unlock()
				time.AfterFunc(300*ms, s.relay)                                               // the last event before it stalls
				time.AfterFunc(time.Second, func() { e.setStalls(Stall{RequestID: "none"}) }) // orders succeed again
				started := time.Now()
				for s.attempt.repaths.Load() == 0 && time.Since(started) < 10*time.Second {
					h.f.handleStall(context.Background(), Stall{RequestID: s.attempt.id, Address: lost.Address})
					time.Sleep(stallQueryInterval)
				}
				t.Logf("path changed after %v", time.Since(started))
				is.True(time.Since(started) < 5*time.Second)
			})
		})
	}
}
