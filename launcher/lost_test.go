package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
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
				if r.err == nil && r.status == http.StatusOK {
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
