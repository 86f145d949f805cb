package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/isolator"
)

// resumableEvents is the number of events of the streams in this file.
const resumableEvents = 12

// newResumable returns a call as newStream does, with retries, a caller that stays, and an upstream that writes as answer
// says. answer gets the number of the request, from 1 on, and the event to begin with.
func newResumable(t *testing.T, answer func(n, from int, far net.Conn)) (*call, *httptest.ResponseRecorder, *admitter.WindowRetryBudget) {
	t.Helper()
	k, budget := newStream(0)
	for range 100 {
		budget.RecordRequest(k.Now())
	}
	w, sent := httptest.NewRecorder(), new(atomic.Int64)
	k.w, k.Tables = w, ageless{k.table}
	k.deadline = k.Now() + 20*time.Second
	k.Pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			r, err := http.ReadRequest(bufio.NewReader(far))
			if err != nil {
				return // a check of whether the upstream lives
			}
			last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
			answer(int(sent.Add(1)), last+1, far)
		}()
		return near, nil
	}
	return k, w, budget
}

// writeEvents writes the head of a response and some events, 50 ms apart. It ends the response after the last one.
func writeEvents(far net.Conn, from, to int) {
	_, err := io.WriteString(far, streamHead+"Transfer-Encoding: chunked\r\n\r\n")
	for n := from; err == nil && n <= min(to, resumableEvents); n++ {
		time.Sleep(50 * time.Millisecond)
		event := wholeEvents(n, n)
		_, err = fmt.Fprintf(far, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil && to >= resumableEvents {
		_, _ = fmt.Fprint(far, "0\r\n\r\n")
	}
}

// wholeEvents returns events as writeEvents writes them.
func wholeEvents(from, to int) (out string) {
	for n := from; n <= to; n++ {
		out += fmt.Sprintf("id: %d\ndata: x\n\n", n)
	}
	return out
}

// awaitClose waits until the other side closes the connection.
func awaitClose(far net.Conn) { _, _ = far.Read(make([]byte, 1)) }

// assertWholeStream serves the stream and checks that its caller gets all events.
func assertWholeStream(t *testing.T, k *call, w *httptest.ResponseRecorder) {
	t.Helper()
	is := is.NewRelaxed(t)
	func() {
		defer func() { is.Equal(recover(), nil) }()
		ctx, cancel := context.WithTimeout(t.Context(), k.deadline-k.Now())
		defer cancel()
		k.serveStream(ctx)
	}()
	is.Equal(w.Body.String(), wholeEvents(1, resumableEvents))
	time.Sleep(time.Second) // the upstreams end
}

// TestRejectedWhileResumed guards against a begun stream that is cut, since the upstreams that are to go on with it reject
// it for a moment.
func TestRejectedWhileResumed(t *testing.T) {
	for _, rejections := range []int{4, 8, 12} {
		t.Run(fmt.Sprint(rejections), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k, w, _ := newResumable(t, func(n, from int, far net.Conn) {
					switch {
					case n == 1:
						writeEvents(far, from, 3)
					case n <= 1+rejections:
						_, _ = io.WriteString(far, rejectionHead+"Content-Length: 0\r\n\r\n")
					default:
						writeEvents(far, from, resumableEvents)
					}
				})
				assertWholeStream(t, k, w)
			})
		})
	}
}

// TestMovedOften guards against a begun stream that is cut, since its host has taken its upstreams for lost more often than
// a stream may break.
func TestMovedOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const moves = 8
		var k *call
		k, w, _ := newResumable(t, func(n, from int, far net.Conn) {
			if n > moves {
				writeEvents(far, from, resumableEvents)
				return
			}
			writeEvents(far, from, from)
			time.AfterFunc(100*time.Millisecond, func() { k.resume(k.findAttempt("r")) })
			awaitClose(far)
		})
		assertWholeStream(t, k, w)
	})
}

// TestBrokenOften guards against a stream that breaks its upstreams again and again, and is not cut.
func TestBrokenOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var sent atomic.Int64
		k, w, _ := newResumable(t, func(n, from int, far net.Conn) {
			sent.Store(int64(n))
			writeEvents(far, from, from)
		})
		serveAborted(t, k)
		is.Equal(int(sent.Load()), 1+maxResumptions)
		is.Equal(w.Body.String(), wholeEvents(1, 1+maxResumptions))
		time.Sleep(time.Second)
	})
}

// isolated returns the state of a part that another host has isolated now.
func isolated(k *call, p isolator.Part, s isolator.State) []isolator.State {
	s.Part, s.IsolatedAt = p, k.Isolator.Time(k.Now())
	return []isolator.State{s}
}

// TestBrokenBesideIsolation guards against a begun stream that is cut at once, since a part of its prompt is isolated at the
// moment at which it breaks and is found to be sound soon after.
func TestBrokenBesideIsolation(t *testing.T) {
	for name, state := range map[string]isolator.State{"tentative": {Tentative: true}, "by another host": {}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var k *call
				parts := []isolator.Part{"a1"}
				k, w, _ := newResumable(t, func(n, from int, far net.Conn) {
					if n > 1 {
						writeEvents(far, from, resumableEvents)
						return
					}
					k.Isolator.Merge(k.Now(), isolated(k, "a1", state))
					time.AfterFunc(time.Second, func() { k.Isolator.RecordAnswer(k.Now(), parts) })
					writeEvents(far, from, 3)
				})
				k.parts = parts
				assertWholeStream(t, k, w)
			})
		})
	}
}

// TestBrokenForConfirmedPart guards against holding the caller of a stream whose part is known to crash upstreams, and
// against sending it to another one.
func TestBrokenForConfirmedPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var k *call
		var sent atomic.Int64
		k, w, _ := newResumable(t, func(n, from int, far net.Conn) {
			sent.Store(int64(n))
			k.Isolator.Merge(k.Now(), isolated(k, "a1", isolator.State{Confirmed: true}))
			writeEvents(far, from, 3)
		})
		k.parts = []isolator.Part{"a1"}
		is.True(serveAborted(t, k) < 500*time.Millisecond)
		is.Equal(int(sent.Load()), 1)
		is.Equal(w.Body.String(), wholeEvents(1, 3))
		time.Sleep(time.Second)
	})
}

// TestRetriesWhileRejected guards against a stream that takes the retries of all others, since it is sent to full upstreams
// again and again.
func TestRetriesWhileRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const callerWaits = 2 * time.Second
		var sent atomic.Int64
		k, _, _ := newResumable(t, func(n, from int, far net.Conn) {
			if sent.Store(int64(n)); n == 1 {
				writeEvents(far, from, 3)
				return
			}
			_, _ = io.WriteString(far, rejectionHead+"Content-Length: 0\r\n\r\n")
		})
		ctx, leave := context.WithTimeout(t.Context(), callerWaits)
		defer leave()
		k.r = k.r.WithContext(ctx)
		serveAborted(t, k)
		is.New(t).True(sent.Load()-1 <= 7)
	})
}
