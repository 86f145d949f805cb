package launcher_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
)

// unserved sends a request to each host every 20 ms and describes the responses other than 200 to those sent
// after a time.
func (fl *fleet) unserved(hosts []follower.Host, path string, lasts, ignored time.Duration) (sent int, out []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	started := time.Now()
	for n := range int(lasts / (20 * time.Millisecond)) {
		at := time.Since(started)
		for _, h := range hosts {
			ip, _, _ := strings.Cut(h.Address, ":")
			wg.Go(func() {
				r := fl.requestAt(ip+":80", http.MethodPost, path, fmt.Sprint("heal-", n, "-", h.Name), nil)
				mu.Lock()
				defer mu.Unlock()
				if at < ignored {
					return
				}
				sent++
				if r.err != nil || r.status != http.StatusOK {
					out = append(out, fmt.Sprintf("%s at %v: status %d, %v, %s", h.Name, at, r.status, r.err, r.body))
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	return sent, out
}

// assertServed reports an error if any of the requests was not served.
func assertServed(t *testing.T, sent int, unserved []string) {
	t.Helper()
	if len(unserved) > 0 {
		t.Errorf("%d of %d requests not served, the first: %s", len(unserved), sent, unserved[0])
	}
}

// TestCutEnds guards against a host that refuses requests as it reaches upstreams again, while other hosts
// could serve them.
func TestCutEnds(t *testing.T) {
	for _, size := range cutSizes {
		for _, m := range cutModes {
			for _, path := range []string{"/look/1", "/book/1", "/stream/1"} {
				t.Run(size.name+", "+m.name+", "+path, func(t *testing.T) {
					t.Parallel()
					runLargeFleet(t, size.hosts, 3, path, 60, func(_ *is.I, fl *fleet) {
						time.Sleep(2 * time.Second)
						cut := size.cut(fl.hosts)
						fl.cutOff(m.mode, cut...)
						time.AfterFunc(2*noticeTime, func() { fl.heal(cut...) })
						sent, unserved := fl.unserved(cut[:min(4, len(cut))], path, 2*noticeTime+3*time.Second, noticeTime)
						assertServed(t, sent, unserved)
					})
				})
			}
		}
	}
}

// TestFlappingLink guards against a host that refuses requests each time its link to the upstreams comes or
// goes, while other hosts could serve them.
func TestFlappingLink(t *testing.T) {
	const flaps, period = 20, time.Second
	for _, size := range cutSizes[:2] {
		for _, m := range cutModes {
			for _, path := range []string{"/look/1", "/stream/1"} {
				t.Run(size.name+", "+m.name+", "+path, func(t *testing.T) {
					t.Parallel()
					runLargeFleet(t, size.hosts, 3, path, 60, func(_ *is.I, fl *fleet) {
						time.Sleep(2 * time.Second)
						cut := size.cut(fl.hosts)
						go func() {
							for range flaps {
								fl.cutOff(m.mode, cut...)
								time.Sleep(period)
								fl.heal(cut...)
								time.Sleep(period)
							}
						}()
						sent, unserved := fl.unserved(cut, path, 2*flaps*period, noticeTime)
						assertServed(t, sent, unserved)
					})
				})
			}
		}
	}
}

// TestServiceCutOff guards against a host that refuses requests for a service which it alone has lost.
func TestServiceCutOff(t *testing.T) {
	for _, m := range []faker.CutMode{faker.CutReset, faker.CutSilent, faker.CutRefuse} {
		for path, service := range map[string]string{"/look/1": "desk", "/book/1": "desk", "/stream/1": "model"} {
			t.Run(fmt.Sprint(path, ", mode ", m), func(t *testing.T) {
				t.Parallel()
				runLargeFleet(t, 4, 3, path, 60, func(_ *is.I, fl *fleet) {
					time.Sleep(2 * time.Second)
					fl.setServiceLink(fl.hosts[:2], service, m)
					time.AfterFunc(2*noticeTime, func() { fl.setServiceLink(fl.hosts[:2], service, 0) })
					sent, unserved := fl.unserved(fl.hosts[:2], path, 2*noticeTime+2*time.Second, noticeTime)
					assertServed(t, sent, unserved)
				})
			})
		}
	}
}

// setServiceLink cuts hosts off from the upstreams of a service, or heals their links where mode is 0.
func (fl *fleet) setServiceLink(hosts []follower.Host, service string, mode faker.CutMode) {
	for _, h := range hosts {
		for id := range fl.stages {
			switch {
			case !strings.HasPrefix(id, service):
			case mode == 0:
				fl.net.Heal(h.Name, id)
			default:
				fl.net.Cut(h.Name, id, mode)
			}
		}
	}
}

// TestDelegatedStreamGoesOnHere guards against a stream that restarts at its first event when the host that serves it for
// another one is lost and the other one resumes it.
func TestDelegatedStreamGoesOnHere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet(t)
		fl.events = 100 // 2 s
		for _, dc := range dataCentres {
			defer fl.startUpstreamIn("desk-"+dc, dc)()
			defer fl.startUpstreamIn("model-"+dc, dc)()
		}
		fl.runUnderLoad(4, "/look/1", 30, func() {
			cut := fl.hosts[0]
			fl.cutOff(faker.CutSilent, cut)
			time.Sleep(noticeTime)
			ip, _, _ := strings.Cut(cut.Address, ":")
			done := make(chan reply, 1)
			go func() { done <- fl.requestAt(ip+":80", http.MethodPost, "/stream/1", "long", nil) }()
			time.Sleep(100 * time.Millisecond)
			fl.heal(cut)
			time.Sleep(700 * time.Millisecond)
			for _, h := range fl.hosts[1:] {
				fl.net.Cut(cut.Name, h.Name, faker.CutReset)
			}
			r := <-done
			is.NoErr(r.err)
			is.Equal(r.body, events(1, fl.events))
			for _, h := range fl.hosts[1:] {
				fl.net.Heal(cut.Name, h.Name)
			}
		})
	})
}
