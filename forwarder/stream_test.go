package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/delegator"
	"github.com/sardineward/sardineward/matcher"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/tracker"
)

// The beginnings of responses of upstreams to the request of newStream.
const (
	streamHead    = "HTTP/1.1 200 OK\r\nAttempt-Id: r\r\nStamp: stamp\r\n"
	rejectionHead = "HTTP/1.1 503 Busy\r\nAttempt-Id: r\r\nNot-Run: 1\r\n"
)

// goneCaller is a response writer whose caller disconnects after some events.
type goneCaller struct {
	*httptest.ResponseRecorder
	events int
}

func (w *goneCaller) Write(b []byte) (int, error) {
	if w.events--; w.events < 0 {
		return 0, errors.New("broken pipe")
	}
	return w.ResponseRecorder.Write(b)
}

// dialEvents connects to an upstream that streams events until its connection is closed.
func dialEvents(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, err := io.WriteString(far, streamHead+"Content-Type: text/event-stream\r\n\r\n")
		for n := 1; err == nil; n++ {
			time.Sleep(20 * time.Millisecond)
			_, err = fmt.Fprintf(far, "id: %d\ndata: x\n\n", n)
		}
	}()
	return near, nil
}

// newStream returns a call to a service with one upstream, engine, that streams events until it is cut,
// and the retry budget of the call. The caller disconnects after some events.
func newStream(events int) (*call, *admitter.WindowRetryBudget) {
	started := time.Now()
	now := func() time.Duration { return time.Since(started) + time.Minute }
	b := &balancer.Balancer{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 1))}
	b.Configure(map[string]*matcher.Service{"model": {Name: "model"}})
	b.UpdateUpstreams([]balancer.Upstream{{ID: "engine", Address: "10.1.0.1:80", Service: "model", DataCentre: "a", StartedAt: 1}}, nil)
	limits, budget := new(admitter.StreamLimiters), &admitter.WindowRetryBudget{Ratio: 1, Length: 10 * time.Second}
	f := &Forwarder{
		Balancer: b, Headers: DefaultHeaders, Suspects: new(tracker.Suspects), Meter: meter.New(nil, nil), Now: now, Log: zerolog.Nop(),
		Pool:           &connector.Pool{Dial: dialEvents, Now: now, RequestIDHeader: DefaultHeaders.RequestID},
		StreamLimiters: func(string) *admitter.StreamLimiters { return limits },
		RetryBudget:    func(string) *admitter.WindowRetryBudget { return budget },
	}
	r := httptest.NewRequest(http.MethodPost, "/stream/1", nil)
	r.Header.Set(DefaultHeaders.RequestID, "r")
	return &call{
		Forwarder: f, w: &goneCaller{httptest.NewRecorder(), events}, r: r, id: "r", table: new(matcher.Table), service: &matcher.Service{Name: "model"},
		route: &matcher.Route{Kind: matcher.KindStreaming, MaxAttempts: 2, Resumable: true}, deadline: now() + time.Minute,
	}, budget
}

// serveAborted serves a stream that is aborted, and returns how long it took.
func serveAborted(t *testing.T, k *call) time.Duration {
	t.Helper()
	began := time.Now()
	func() {
		defer func() { is.New(t).Equal(recover(), http.ErrAbortHandler) }()
		k.serveStream(k.r.Context())
	}()
	return time.Since(began)
}

// TestCallerGoneInStream guards against capacity that stays reserved for a stream whose caller can't be
// written to: a frozen host finds its callers gone when it wakes.
func TestCallerGoneInStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, _ := newStream(3)
		serveAborted(t, k)
		is.Equal(k.Balancer.InFlight("engine"), 0)
		is.Equal(len(k.Balancer.SilentUpstreams(k.Now()+time.Minute)), 0)
		time.Sleep(time.Second) // the upstream ends
	})
}

// TestSilentWithoutRetry guards against a running stream that a host cuts since an upstream seems silent,
// although there is no retry to resume it with.
func TestSilentWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		k, _ := newStream(200)
		k.Pool.OnDial = func(connector.Purpose) { dials++ }
		hop := balancer.Hop{ID: "engine", Address: "10.1.0.1:80"}
		time.AfterFunc(time.Second, func() { k.reroute(t.Context(), k.findAttempt("r"), hop) })
		is.True(serveAborted(t, k) > 3*time.Second) // all 200 events
		is.Equal(dials, 1)

		k, budget := newStream(200)
		k.Pool.OnDial = func(connector.Purpose) { dials++ }
		for range 10 {
			budget.RecordRequest(k.Now())
		}
		time.AfterFunc(time.Second, func() { k.reroute(t.Context(), k.findAttempt("r"), hop) })
		serveAborted(t, k)
		is.True(dials > 2) // resumed
		time.Sleep(time.Second)
	})
}

// dialBroken connects to an upstream that breaks off after its first event.
func dialBroken(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, _ = io.WriteString(far, streamHead+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n")
	}()
	return near, nil
}

// TestBrokenWithoutRetry guards against a stream that is cut although a retry to resume it with comes
// before its caller leaves, and one that still waits for a retry after that.
func TestBrokenWithoutRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		k, budget := newStream(9)
		k.Pool.Dial = dialBroken
		k.Pool.OnDial = func(p connector.Purpose) {
			if p == connector.PurposeStream {
				dials++
			}
		}
		const callerWaits = 4 * time.Second
		ctx, leave := context.WithTimeout(t.Context(), callerWaits)
		defer leave()
		k.r = k.r.WithContext(ctx)
		time.AfterFunc(callerWaits-time.Second, func() {
			for range 2 {
				budget.RecordRequest(k.Now())
			}
		})
		is.Equal(serveAborted(t, k), callerWaits)
		is.Equal(dials, 2)
	})
}

// TestGapInsideRead guards against events that the caller never gets: they arrive together with one that does
// not follow them, are dropped with it, and the stream is resumed after them.
func TestGapInsideRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, budget := newStream(9)
		for range 10 {
			budget.RecordRequest(k.Now())
		}
		var resumedAfter []string
		k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				r, err := http.ReadRequest(bufio.NewReader(far))
				if err != nil {
					return
				}
				resumedAfter = append(resumedAfter, r.Header.Get("Last-Event-Id"))
				_, _ = io.WriteString(far, streamHead+"Transfer-Encoding: chunked\r\n\r\n")
				if len(resumedAfter) > 1 {
					_, _ = fmt.Fprintf(far, "f\r\nid: %d\ndata: x\n\n\r\n0\r\n\r\n", parseEventID(resumedAfter[1]).number+1)
					return
				}
				_, _ = fmt.Fprint(far, "f\r\nid: 1\ndata: x\n\n\r\n")
				time.Sleep(20 * time.Millisecond)
				_, _ = fmt.Fprint(far, "1e\r\nid: 2\ndata: x\n\nid: 4\ndata: x\n\n\r\n")
			}()
			return near, nil
		}
		k.serveStream(t.Context())
		time.Sleep(time.Second) // the upstream ends
		is.Equal(resumedAfter, []string{"", "1"})
		is.Equal(k.w.(*goneCaller).Body.String(), "id: 1\ndata: x\n\nid: 2\ndata: x\n\n")
	})
}

// TestDeliversAsRetryComes guards against a stream that is taken from an upstream although that delivers again, because
// a retry has become available meanwhile.
func TestDeliversAsRetryComes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dials := 0
		k, budget := newStream(200)
		k.Pool.OnDial = func(connector.Purpose) { dials++ }
		time.AfterFunc(time.Second, func() {
			time.AfterFunc(30*time.Millisecond, func() {
				for range 10 {
					budget.RecordRequest(k.Now())
				}
			})
			k.reroute(t.Context(), k.findAttempt("r"), balancer.Hop{ID: "engine", Address: "10.1.0.1:80"})
		})
		serveAborted(t, k)
		is.New(t).Equal(dials, 1)
		time.Sleep(time.Second)
	})
}

// TestSilentUntilRetry guards against a stream over an upstream that is silent for good which is not resumed once there
// is a retry.
func TestSilentUntilRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, budget := newStream(20)
		var dialedAt []time.Duration
		k.Pool.OnDial = func(connector.Purpose) { dialedAt = append(dialedAt, k.Now()) }
		k.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if len(dialedAt) == 1 {
				return dialSilent()
			}
			return dialEvents(ctx, network, address)
		}
		began := k.Now()
		time.AfterFunc(time.Second, func() { k.reroute(t.Context(), k.findAttempt("r"), balancer.Hop{ID: "engine", Address: "10.1.0.1:80"}) })
		time.AfterFunc(5*time.Second, func() {
			for range 10 {
				budget.RecordRequest(k.Now())
			}
		})
		ctx, leave := context.WithTimeout(t.Context(), 10*time.Second)
		defer leave()
		k.r = k.r.WithContext(ctx)
		serveAborted(t, k)
		is.Equal(len(dialedAt), 2)
		is.True(dialedAt[len(dialedAt)-1]-began < 6*time.Second)
		time.Sleep(time.Second)
	})
}

// dialSilent connects to an upstream that delivers one event, and nothing until its connection is closed.
func dialSilent() (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		br := bufio.NewReader(far)
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		_, _ = io.WriteString(far, streamHead+"\r\nid: 0\ndata: x\n\n")
		_, _ = br.ReadByte()
	}()
	return near, nil
}

// TestRetryTakenLongAgo guards against retries beyond the budget: they are taken as streams break, and sent together
// once there is a path again, when the window in which they were counted has passed.
func TestRetryTakenLongAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, budget := newStream(9)
		var sentAt []time.Duration
		k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
					return
				}
				sentAt = append(sentAt, k.Now())
				_, _ = fmt.Fprintf(far, streamHead+"Transfer-Encoding: chunked\r\n\r\nf\r\nid: %d\ndata: x\n\n\r\n", len(sentAt))
				time.Sleep(20 * time.Millisecond) // the upstream is gone from the list before the stream breaks
			}()
			return near, nil
		}
		earn := func() {
			for range 2 {
				budget.RecordRequest(k.Now())
			}
		}
		earn()
		began := k.Now()
		time.AfterFunc(10*time.Millisecond, func() { k.Balancer.UpdateUpstreams(nil, []string{"engine"}) })
		time.AfterFunc(13*time.Second, func() {
			k.Balancer.UpdateUpstreams([]balancer.Upstream{{ID: "engine", Address: "10.1.0.1:80", Service: "model", DataCentre: "a", StartedAt: 2}}, nil)
		})
		time.AfterFunc(15*time.Second, earn)
		ctx, leave := context.WithTimeout(t.Context(), 20*time.Second)
		defer leave()
		k.r = k.r.WithContext(ctx)
		serveAborted(t, k)
		is.Equal(len(sentAt), 2)
		is.True(sentAt[1]-began >= 15*time.Second)
		time.Sleep(time.Second)
	})
}

// TestLateBorrower guards against retries that other hosts lend and that are lost, because the host that asked was late
// itself and gave up.
func TestLateBorrower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		k, _ := newStream(9)
		asked := 0
		k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
			asked++
			near, far := net.Pipe()
			go func() {
				defer far.Close()
				if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
					return
				}
				time.Sleep(350 * time.Millisecond)
				_, _ = fmt.Fprintf(far, "HTTP/1.1 204 No Content\r\n%s: %s\r\n\r\n", delegationHeader, delegationLent)
			}()
			return near, nil
		}
		k.Delegator = &delegator.Delegator{DataCentre: "a", Hosts: func() []delegator.Host {
			return []delegator.Host{{Name: "host-b", Address: "10.0.0.2:82", DataCentre: "a"}, {Name: "host-c", Address: "10.0.0.3:82", DataCentre: "a"}}
		}}
		k.Assessor.RecordTick(k.Now(), watchInterval) // and none after it
		is.True(k.borrowRetry(t.Context()))
		is.Equal(asked, 1)
		time.Sleep(time.Second)
	})
}

// TestGapInDelegatedRead guards against events that the caller never gets: another host passes them on together with one
// that does not follow them, and the stream is resumed after them.
func TestGapInDelegatedRead(t *testing.T) {
	is := is.New(t)
	k, _ := newStream(9)
	k.lastEventID = parseEventID("4")
	body := io.NopCloser(strings.NewReader("id: 5\ndata: x\n\nid: 7\ndata: x\n\n"))
	v := k.passOnEvents(new(delegation), &connector.Response{Response: &http.Response{StatusCode: http.StatusOK, Body: body}})
	is.Equal(v, verdictBroken)
	is.Equal(k.lastEventID.text, "4")
}

// TestBreakAfterLastEvent guards against a stream that is cut although the caller has all events: its upstream breaks
// off before the end of the response, and those that resume it have no event to send.
func TestBreakAfterLastEvent(t *testing.T) {
	const chunked, untilClosed = "Transfer-Encoding: chunked\r\n\r\n", "\r\n"
	for _, c := range []struct {
		name, head, end string
		whole           bool
	}{
		{"chunked", chunked, "0\r\n\r\n", true},
		{"with a length", "Content-Length: 0\r\n\r\n", "", true},
		{"chunked, broken again", chunked, "", false},
		{"until the connection is closed", untilClosed, "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k, budget := newStream(9)
				for range 10 {
					budget.RecordRequest(k.Now())
				}
				var resumedAfter []string
				k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					go func() {
						defer far.Close()
						r, err := http.ReadRequest(bufio.NewReader(far))
						if err != nil {
							return
						}
						resumedAfter = append(resumedAfter, r.Header.Get("Last-Event-Id"))
						_, _ = io.WriteString(far, streamHead)
						if len(resumedAfter) == 1 {
							_, _ = fmt.Fprint(far, chunked, "f\r\nid: 1\ndata: x\n\n\r\n")
							return
						}
						_, _ = fmt.Fprint(far, c.head, c.end)
					}()
					return near, nil
				}
				if c.whole {
					k.serveStream(t.Context())
					is.Equal(resumedAfter, []string{"", "1"})
				} else {
					serveAborted(t, k)
				}
				is.Equal(k.w.(*goneCaller).Body.String(), "id: 1\ndata: x\n\n")
			})
		})
	}
}

// TestResumeAfterLastEvent guards against a caller that resumes a stream after its last event and gets no whole answer,
// directly or over another host.
func TestResumeAfterLastEvent(t *testing.T) {
	relay := func(k *call, resp *connector.Response) verdict {
		l, _ := k.Balancer.Acquire(k.Now(), balancer.Requirements{Service: "model"})
		return k.relay(context.Background(), &attempt{lease: l}, resp)
	}
	passOn := func(k *call, resp *connector.Response) verdict { return k.passOnEvents(new(delegation), resp) }
	for name, pass := range map[string]func(*call, *connector.Response) verdict{"directly": relay, "over another host": passOn} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			k, _ := newStream(9)
			k.lastEventID = parseEventID("4")
			header := http.Header{DefaultHeaders.Stamp: {"stamp"}}
			v := pass(k, &connector.Response{Response: &http.Response{StatusCode: http.StatusOK, Header: header, Body: http.NoBody}})
			is.Equal(v, verdictAnswered)
			is.Equal(k.w.Header().Get(DefaultHeaders.Stamp), "stamp")
		})
	}
}

// TestRunsOnceAtLostUpstream guards against a stream that must not run twice and is sent to a second upstream, since the
// first one is taken for lost in its first event.
func TestRunsOnceAtLostUpstream(t *testing.T) {
	for resumable, status := range map[bool]int{false: http.StatusBadGateway, true: http.StatusOK} {
		t.Run(fmt.Sprint("resumable ", resumable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k, budget := newStream(0)
				for range 10 {
					budget.RecordRequest(k.Now())
				}
				w, dials := httptest.NewRecorder(), 0
				k.w, k.route.Resumable, k.Tables = w, resumable, ageless{k.table}
				k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
					near, far := net.Pipe()
					dials++
					first := dials == 1
					go func() {
						defer far.Close()
						if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
							return
						}
						_, _ = io.WriteString(far, streamHead+"\r\nid: 1\nda")
						if first {
							_, _ = far.Read(make([]byte, 1)) // until the connection is closed
							return
						}
						_, _ = fmt.Fprint(far, "ta: x\n\n")
					}()
					return near, nil
				}
				time.AfterFunc(time.Second, func() { k.resume(k.findAttempt("r")) })
				k.serveStream(t.Context())
				is.Equal(w.Code, status)
				is.Equal(dials > 1, resumable)
			})
		})
	}
}

// TestUnwritableCallerLogged guards against a stream that ends early and leaves no line in the log.
func TestUnwritableCallerLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k, _ := newStream(3)
		log := new(strings.Builder)
		k.Log = zerolog.New(log)
		serveAborted(t, k)
		is.New(t).True(strings.Contains(log.String(), "caller can't be written to"))
		time.Sleep(time.Second) // the upstream ends
	})
}
