package launcher_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
)

// noticeTime is how long after a cut a host may fail requests.
const noticeTime = 2 * time.Second

// cutOff cuts hosts off from all upstreams.
func (fl *fleet) cutOff(mode faker.CutMode, hosts ...follower.Host) {
	for _, h := range hosts {
		fl.net.Cut(h.Name, upstreamsLocation, mode)
	}
}

func (fl *fleet) heal(hosts ...follower.Host) {
	for _, h := range hosts {
		fl.net.Heal(h.Name, upstreamsLocation)
	}
}

// servedAt sends a request to each host every 100 ms and returns the share that is answered whole, and the
// longest time until an answer.
func (fl *fleet) servedAt(hosts []follower.Host, path string, lasts time.Duration) (share float64, slowest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	sent, served := 0, 0
	for range lasts / (100 * time.Millisecond) {
		for _, h := range hosts {
			sent++
			id := fmt.Sprint("probe-", sent, "-", h.Name, time.Now().UnixNano())
			ip, _, _ := strings.Cut(h.Address, ":")
			wg.Go(func() {
				r := fl.requestAt(ip+":80", http.MethodPost, path, id, nil)
				mu.Lock()
				defer mu.Unlock()
				slowest = max(slowest, r.took)
				if r.err == nil && r.status == http.StatusOK && r.body != "" {
					served++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	return float64(served) / float64(sent), slowest
}

// cutSizes says which hosts of a fleet are cut off.
var cutSizes = []struct {
	name  string
	hosts int
	cut   func(hosts []follower.Host) []follower.Host
}{
	{"one of 4", 4, func(hosts []follower.Host) []follower.Host { return hosts[:1] }},
	{"half of 4", 4, func(hosts []follower.Host) []follower.Host { return hosts[:2] }},
	{"three of 4", 4, func(hosts []follower.Host) []follower.Host { return hosts[:3] }},
	{"one of 24", 24, func(hosts []follower.Host) []follower.Host { return hosts[5:6] }},
	{"half of 24", 24, func(hosts []follower.Host) []follower.Host { return hosts[:12] }},
	{"a data centre of 24", 24, inDataCentre("b")},
}

func inDataCentre(dc string) func(hosts []follower.Host) []follower.Host {
	return func(hosts []follower.Host) []follower.Host {
		var out []follower.Host
		for _, h := range hosts {
			if h.DataCentre == dc {
				out = append(out, h)
			}
		}
		return out
	}
}

var cutModes = []struct {
	name string
	mode faker.CutMode
}{{"reset", faker.CutReset}, {"silent", faker.CutSilent}, {"refused", faker.CutRefuse}}

// TestHostCutOff guards against a host that refuses its callers because it has lost all upstreams, while
// other hosts reach them.
func TestHostCutOff(t *testing.T) {
	for _, size := range cutSizes {
		for n, m := range cutModes {
			plain := []string{"/look/1", "/book/1"}[n%2]
			for _, path := range []string{plain, "/stream/1"} {
				t.Run(size.name+", "+m.name+", "+path, func(t *testing.T) {
					t.Parallel()
					runLargeFleet(t, size.hosts, 3, path, 60, func(is *is.I, fl *fleet) {
						time.Sleep(2 * time.Second)
						cut := size.cut(fl.hosts)
						fl.cutOff(m.mode, cut...)
						time.Sleep(noticeTime)
						there, slowest := fl.servedAt(cut, path, 3*time.Second)
						others, _ := fl.servedAt(fl.hosts[len(fl.hosts)-1:], path, 3*time.Second)
						t.Logf("served %.3f at hosts that are cut off, slowest %v, %.3f at others", there, slowest, others)
						is.True(there >= 0.95*others)
						fl.heal(cut...)
						time.Sleep(noticeTime)
						back, _ := fl.servedAt(cut, path, time.Second)
						is.Equal(back, 1.0)
						is.True(fl.ranFrom(cut[0], time.Now().Add(-time.Second)) > 0)
						for id, s := range fl.stages {
							for _, one := range s.Received() {
								if fl.runs(one.RequestID) > 1 && strings.HasPrefix(one.Path, "/book/") {
									t.Errorf("upstream %q ran %q, which ran before", id, one.RequestID)
								}
							}
						}
					})
				})
			}
		}
	}
}

// ranFrom counts the requests that a host sent to upstreams since a time.
func (fl *fleet) ranFrom(h follower.Host, since time.Time) int {
	n := 0
	for _, s := range fl.stages {
		for _, one := range s.Received() {
			if one.From == h.Name && one.At.After(since) {
				n++
			}
		}
	}
	return n
}

// TestAllHostsCutOff guards against requests that wait or wander from host to host when no host reaches
// an upstream.
func TestAllHostsCutOff(t *testing.T) {
	for _, hosts := range []int{1, 4, 24} {
		for _, m := range cutModes {
			t.Run(fmt.Sprint(hosts, " hosts, ", m.name), func(t *testing.T) {
				t.Parallel()
				runLargeFleet(t, hosts, 3, "/look/1", 60, func(is *is.I, fl *fleet) {
					time.Sleep(2 * time.Second)
					fl.cutOff(m.mode, fl.hosts...)
					time.Sleep(noticeTime)
					_, slowest := fl.servedAt(fl.hosts[:1], "/look/1", time.Second)
					t.Logf("slowest answer %v", slowest)
					is.True(slowest < 100*time.Millisecond)
					fl.heal(fl.hosts...)
					time.Sleep(noticeTime)
					share, _ := fl.servedAt(fl.hosts, "/look/1", time.Second)
					is.Equal(share, 1.0)
				})
			})
		}
	}
}

// runCutOff runs hosts of which the first is cut off and calls f once that is noticed.
func runCutOff(t *testing.T, hosts int, f func(is *is.I, fl *fleet, cut follower.Host)) {
	t.Helper()
	runLargeFleet(t, hosts, 3, "/stream/1", 30, func(is *is.I, fl *fleet) {
		time.Sleep(time.Second)
		fl.cutOff(faker.CutSilent, fl.hosts[0])
		time.Sleep(noticeTime)
		f(is, fl, fl.hosts[0])
	})
}

// TestDelegatedCallerDisconnects guards against upstreams that go on working for a caller who has left a host
// that is cut off.
func TestDelegatedCallerDisconnects(t *testing.T) {
	runCutOff(t, 4, func(is *is.I, fl *fleet, cut follower.Host) {
		abandoned := func() (n int) {
			for _, s := range fl.stages {
				n += s.Abandoned()
			}
			return n
		}
		before := abandoned()
		ip, _, _ := strings.Cut(cut.Address, ":")
		ctx, cancel := context.WithTimeout(context.Background(), 70*time.Millisecond)
		defer cancel()
		r := fl.requestAt(ip+":80", http.MethodPost, "/stream/1", "leaves", func(r *http.Request) { *r = *r.WithContext(ctx) })
		is.True(r.err != nil)
		time.Sleep(100 * time.Millisecond)
		is.Equal(abandoned(), before+1)
	})
}

// TestDelegatedDuringStop guards against streams that are cut since the host that serves them for another one
// is stopped as planned.
func TestDelegatedDuringStop(t *testing.T) {
	runCutOff(t, 2, func(is *is.I, fl *fleet, cut follower.Host) {
		near := follower.Host{Name: "host-900", DataCentre: cut.DataCentre, Address: "10.0.9.1:82"}
		h := fl.newHost(near)
		fl.connect(h, near)
		h.Settings.BalancerMs, h.Settings.StopMs = 100, 3000
		fl.source.AddHost(near)
		ctx, stop := context.WithCancel(context.Background())
		stopped := make(chan error, 1)
		go func() { stopped <- h.Run(ctx) }()
		time.Sleep(2 * time.Second)
		go func() {
			time.Sleep(550 * time.Millisecond)
			stop()
		}()
		share, _ := fl.servedAt([]follower.Host{cut}, "/stream/1", 2*time.Second)
		is.Equal(share, 1.0)
		is.NoErr(<-stopped)
		is.True(fl.ranFrom(near, time.Time{}) > 0)
	})
}

// addFakeHost lists a host in the data centre of another one, which answers exchanges with nothing and has other
// requests served by serve.
func (fl *fleet) addFakeHost(beside follower.Host, serve http.HandlerFunc) (remove func()) {
	h := follower.Host{Name: "host-900", DataCentre: beside.DataCentre, Address: "10.0.9.1:82"}
	kill, err := faker.Serve(fl.net.Listen, h.Address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/twirp/") {
			w.Header().Set("Content-Type", "application/protobuf")
			return
		}
		serve(w, r)
	}))
	is.New(fl.t).NoErr(err)
	fl.source.AddHost(h)
	time.Sleep(time.Second)
	return func() {
		kill()
		fl.source.DeleteHost(h.Name)
	}
}

// TestDelegationToEarlierVersion guards against requests that fail since the host they are delegated to is of
// a version that serves none for others.
func TestDelegationToEarlierVersion(t *testing.T) {
	runCutOff(t, 2, func(is *is.I, fl *fleet, cut follower.Host) {
		var asked atomic.Int64
		defer fl.addFakeHost(cut, func(w http.ResponseWriter, r *http.Request) {
			asked.Add(1)
			http.NotFound(w, r)
		})()
		share, _ := fl.servedAt([]follower.Host{cut}, "/stream/1", 2*time.Second)
		is.Equal(share, 1.0)
		is.True(asked.Load() > 0 && asked.Load() < 5) // several requests may be under way at first
	})
}

// TestDelegatedBookingUnanswered guards against a request that may have run at the host it was delegated to and is
// refused as not run at its deadline.
func TestDelegatedBookingUnanswered(t *testing.T) {
	runCutOff(t, 2, func(is *is.I, fl *fleet, cut follower.Host) {
		defer fl.addFakeHost(cut, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Sardineward-Delegation", "served")
			if !strings.HasPrefix(r.URL.Path, "/book/") {
				_, _ = io.WriteString(w, events(1, 10))
				return
			}
			_, _ = io.Copy(io.Discard, r.Body) // only then does the end of the connection end the context
			<-r.Context().Done()
		})()
		ip, _, _ := strings.Cut(cut.Address, ":")
		r := fl.requestAt(ip+":80", http.MethodPost, "/book/1", "hangs", func(r *http.Request) { r.Header.Set(forwarder.DefaultHeaders.DeadlineMs, "700") })
		is.NoErr(r.err)
		t.Logf("status %d after %v", r.status, r.took)
		is.Equal(r.status, http.StatusGatewayTimeout)
	})
}

// TestDelegatedCountedOnce guards against requests that two hosts count, which would widen the retry budget and
// the demand that other hosts make room for.
func TestDelegatedCountedOnce(t *testing.T) {
	runCutOff(t, 4, func(is *is.I, fl *fleet, cut follower.Host) {
		answered := func() (n int) {
			for _, h := range fl.hosts {
				n += fl.metric(h, "sardineward_requests_total")
			}
			return n
		}
		before, background := answered(), fl.count(http.StatusOK)
		fl.servedAt([]follower.Host{cut}, "/stream/1", time.Second)
		time.Sleep(300 * time.Millisecond)
		is.True(answered()-before <= 10+fl.count(http.StatusOK)-background+5) // 5 may be under way
	})
}

// metric returns the sum of a metric of a host over its labels.
func (fl *fleet) metric(h follower.Host, name string) int {
	ip, _, _ := strings.Cut(h.Address, ":")
	resp, err := fl.client.Get("http://" + ip + ":83/metrics")
	is.New(fl.t).NoErr(err)
	defer resp.Body.Close()
	sum := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if fields := strings.Fields(lines.Text()); len(fields) == 2 && strings.HasPrefix(fields[0], name) {
			v, err := strconv.ParseFloat(fields[1], 64)
			is.New(fl.t).NoErr(err)
			sum += v
		}
	}
	return int(sum)
}

// TestDelegatedToSilentHost guards against streams that hang since the host that serves them for another one
// freezes, or is cut off from that one.
func TestDelegatedToSilentHost(t *testing.T) {
	runCutOff(t, 4, func(is *is.I, fl *fleet, cut follower.Host) {
		near := fl.hosts[3]
		is.Equal(near.DataCentre, cut.DataCentre)
		go func() {
			time.Sleep(550 * time.Millisecond)
			is.True(fl.ranFrom(near, time.Now().Add(-500*time.Millisecond)) > 0)
			fl.net.Cut(cut.Name, near.Name, faker.CutSilent)
		}()
		share, slowest := fl.servedAt([]follower.Host{cut}, "/stream/1", 2*time.Second)
		t.Logf("served %.3f, slowest %v", share, slowest)
		is.Equal(share, 1.0)
		is.True(slowest < 1500*time.Millisecond)
		fl.net.Heal(cut.Name, near.Name)
	})
}
