package launcher_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
)

// noWholeEvent lists the faults by which a stream begins and delivers no event.
var noWholeEvent = map[string]faker.StageFault{
	"broken in the first event": faker.StageFaultNoWholeEvent,
	"ends without an event":     faker.StageFaultNoEvent,
	"first event without end":   faker.StageFaultEndless,
}

// assertRanOnce checks that a request was answered with 502, which promises nothing, and ran once.
func (b *testbed) assertRanOnce(r reply, id string) {
	b.t.Helper()
	is := is.NewRelaxed(b.t)
	is.NoErr(r.err)
	is.Equal(r.status, http.StatusBadGateway)
	is.Equal(b.runs(id), 1)
}

// TestRunsOnceWithoutWholeEvent guards against a stream that must not run twice and is sent to a second upstream, since
// the first one broke off before its first whole event.
func TestRunsOnceWithoutWholeEvent(t *testing.T) {
	for name, fault := range noWholeEvent {
		t.Run(name, func(t *testing.T) {
			runHost(t, 0, func(b *testbed) {
				var runs atomic.Int64
				for _, s := range b.stages {
					s.SetFaultOf(func(*http.Request) faker.StageFault {
						if runs.Add(1) == 1 {
							return fault
						}
						return faker.StageFaultNone
					})
				}
				b.assertRanOnce(b.request(http.MethodPost, "/stream/once/1", "once", nil), "once")
				runs.Store(0)
				b.assertCompleteStream(b.request(http.MethodPost, "/stream/1", "repeatable", nil))
				is.New(t).Equal(b.runs("repeatable"), 2)
			})
		})
	}
}

// TestRunsOnceDelegated guards against the same for streams of a host that is cut off, where another host serves them.
func TestRunsOnceDelegated(t *testing.T) {
	for _, hosts := range []int{4, 24} {
		for name, fault := range noWholeEvent {
			t.Run(fmt.Sprint(name, ", ", hosts, " hosts"), func(t *testing.T) {
				runCutOff(t, hosts, func(_ *is.I, fl *fleet, cut follower.Host) {
					ip, _, _ := strings.Cut(cut.Address, ":")
					for _, s := range fl.stages {
						s.SetFaultOf(func(r *http.Request) faker.StageFault {
							if strings.HasPrefix(r.URL.Path, "/stream/once/") {
								return fault
							}
							return faker.StageFaultNone
						})
					}
					for n := range 10 {
						id := fmt.Sprint("once-", n)
						fl.assertRanOnce(fl.requestAt(ip+":80", http.MethodPost, "/stream/once/1", id, nil), id)
					}
				})
			})
		}
	}
}

// TestDelegatedOnce guards against a stream that must not run twice and is delegated to a second host, since the first
// one broke off before its first whole event.
func TestDelegatedOnce(t *testing.T) {
	runCutOff(t, 4, func(is *is.I, fl *fleet, cut follower.Host) {
		var asked atomic.Int64
		defer fl.addFakeHost(cut, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Sardineward-Delegation", "served")
			w.Header().Set(forwarder.DefaultHeaders.Stamp, "stamp")
			if !strings.HasPrefix(r.URL.Path, "/stream/once/") {
				_, _ = io.WriteString(w, events(1, 10))
				return
			}
			asked.Add(1)
			_, _ = io.WriteString(w, "id: 1\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})()
		ip, _, _ := strings.Cut(cut.Address, ":")
		for n := range 20 {
			before, id := asked.Load(), fmt.Sprint("once-", n)
			r := fl.requestAt(ip+":80", http.MethodPost, "/stream/once/1", id, nil)
			is.NoErr(r.err)
			if asked.Load() > before {
				is.Equal(r.status, http.StatusBadGateway)
				is.Equal(int(asked.Load()-before)+fl.runs(id), 1)
			}
		}
		is.True(asked.Load() > 0)
	})
}

// TestDelegatedOnceWithoutOutcome guards against a request that must not run twice and is sent to a second host, since the
// first one responded without saying whether it has served it.
func TestDelegatedOnceWithoutOutcome(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
		for _, path := range []string{"/book/1", "/stream/once/1"} {
			t.Run(fmt.Sprint(status, " ", path), func(t *testing.T) {
				runCutOff(t, 4, func(is *is.I, fl *fleet, cut follower.Host) {
					var asked atomic.Int64
					defer fl.addFakeHost(cut, func(w http.ResponseWriter, r *http.Request) {
						if r.URL.Path == path {
							asked.Add(1)
							w.WriteHeader(status)
							return
						}
						w.Header().Set("Sardineward-Delegation", "served")
						w.Header().Set(forwarder.DefaultHeaders.Stamp, "stamp")
						_, _ = io.WriteString(w, events(1, 10))
					})()
					ip, _, _ := strings.Cut(cut.Address, ":")
					for n := range 20 {
						before, id := asked.Load(), fmt.Sprint("once-", n)
						r := fl.requestAt(ip+":80", http.MethodPost, path, id, nil)
						is.NoErr(r.err)
						if asked.Load() > before {
							is.Equal(r.status, http.StatusBadGateway)
							is.Equal(fl.runs(id), 0)
						}
					}
					is.True(asked.Load() > 0)
				})
			})
		}
	}
}

// TestRunsOnceOnKeptConnection guards against a request that must not run twice and is sent again, since its method usually
// may be, or since the upstream closed a kept connection as it came.
func TestRunsOnceOnKeptConnection(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		for _, path := range []string{"/book/1", "/stream/once/1"} {
			t.Run(method+" "+path, func(t *testing.T) {
				runHost(t, 0, func(b *testbed) {
					for n := range 8 { // connections to all upstreams are kept
						is.New(t).Equal(b.request(method, path, fmt.Sprint("first", n), nil).status, http.StatusOK)
					}
					for _, s := range b.stages {
						s.SetFaultOf(func(*http.Request) faker.StageFault { return faker.StageFaultReset })
					}
					b.assertRanOnce(b.request(method, path, "once", nil), "once")
				})
			})
		}
	}
}

// TestRunsOnceBesideCopies guards against a request that must not run twice and does, or is refused as not run though it ran,
// since upstreams write rejections twice and its caller returns with its id.
func TestRunsOnceBesideCopies(t *testing.T) {
	for _, hosts := range []int{1, 4, 24} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runLargeFleet(t, hosts, 3, "/stream/once/1", 30, func(is *is.I, fl *fleet) {
				for _, s := range fl.stages {
					rejected := make(map[string]bool)
					s.SetFaultOf(func(r *http.Request) faker.StageFault {
						id := r.Header.Get(forwarder.DefaultHeaders.RequestID)
						if rejected[id] {
							return faker.StageFaultNone
						}
						rejected[id] = true
						return faker.StageFaultCopiedRejection
					})
				}
				for n := range 20 {
					id := fmt.Sprint("copied-", n)
					host := fl.hosts[n%len(fl.hosts)]
					ip, _, _ := strings.Cut(host.Address, ":")
					var r reply
					for range 10 {
						if r = fl.requestAt(ip+":80", http.MethodPost, "/stream/once/1", id, nil); r.status != http.StatusServiceUnavailable {
							break
						}
						is.Equal(fl.runs(id), 0)
					}
					is.NoErr(r.err)
					is.Equal(r.status, http.StatusOK)
					is.Equal(fl.runs(id), 1)
				}
			})
		})
	}
}
