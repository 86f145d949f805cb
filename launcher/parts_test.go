package launcher_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/archiver"
	"github.com/sardineward/sardineward/faker"
	"github.com/sardineward/sardineward/follower"
	"github.com/sardineward/sardineward/forwarder"
	"github.com/sardineward/sardineward/launcher"
	"github.com/sardineward/sardineward/storer"
)

const (
	// stableWindow is how long after the fifth crash further requests with the part may reach upstreams, and
	// how long after its start a host doesn't count.
	stableWindow = 3 * time.Second
	// maxLateArrivals is how many may reach upstreams after that.
	maxLateArrivals = 3
	// ruledCrashes is the number of crashes from which the rule counts.
	ruledCrashes = 5
	// minSoundServed is the share of sound requests that are to be answered from twice stableWindow on.
	minSoundServed = 0.95
)

// withParts sets the parts of a request's prompt, the last one its own, and makes its body unique.
func withParts(id string, parts ...string) func(*http.Request) {
	return func(r *http.Request) {
		list := strings.Join(parts, ":40,") + ":40," + fmt.Sprintf("%x:720", id)
		r.Header.Set(forwarder.DefaultHeaders.Parts, list)
		r.Body = io.NopCloser(strings.NewReader("prompt of " + id))
		r.ContentLength = int64(len("prompt of " + id))
	}
}

// partLoad sends requests with a crashing part among sound ones that share their caller and first part.
type partLoad struct {
	*fleet
	path string
	// crashing and sound are the requests per second of each kind.
	crashing, sound float64
	// lead is the first part of all prompts.
	lead string

	resultsMu sync.Mutex
	results   []partResult
}

type partResult struct {
	sent time.Time
	reply
}

// send sends requests until ctx ends, spread evenly over time and in turn over the hosts.
func (l *partLoad) send(ctx context.Context, kind string, perSecond float64, parts func(n int) []string) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
		ip, _, _ := strings.Cut(l.hosts[n%len(l.hosts)].Address, ":")
		id := fmt.Sprint(kind, n)
		wg.Go(func() {
			sent := time.Now()
			r := l.requestAt(ip+":80", http.MethodPost, l.path, id, withParts(id, parts(n)...))
			if kind == "sound" {
				l.resultsMu.Lock()
				defer l.resultsMu.Unlock()
				l.results = append(l.results, partResult{sent, r})
			}
		})
	}
}

// run sends both kinds while f runs.
func (l *partLoad) run(f func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() {
		l.send(ctx, "sound", l.sound, func(n int) []string { return []string{l.lead, fmt.Sprint("50", n%3)} })
	})
	time.Sleep(3 * time.Second)
	wg.Go(func() {
		l.send(ctx, "bad", l.crashing, func(int) []string { return []string{l.lead, faker.CrashingPart} })
	})
	f()
	cancel()
	wg.Wait()
}

// lateArrivals returns the requests with the crashing part that reached upstreams later than stableWindow
// after the fifth crash from hosts that ran that long, and the time of that crash.
func (l *partLoad) lateArrivals() (late []faker.ReceivedRequest, fifth time.Time) {
	all, counted := faker.PartRule{Crashes: ruledCrashes, Window: stableWindow}.Late(slices.Collect(maps.Values(l.stages)))
	for _, one := range all[faker.CrashingPart] {
		if one.At.Sub(l.startedAt[one.From]) > stableWindow {
			late = append(late, one)
		}
	}
	return late, counted[faker.CrashingPart]
}

// soundServed returns the share of the sound requests sent since a time that were answered.
func (l *partLoad) soundServed(since time.Time) float64 {
	l.resultsMu.Lock()
	defer l.resultsMu.Unlock()
	served, sent := 0, 0
	for _, r := range l.results {
		if r.sent.After(since) {
			sent++
			if r.err == nil && r.status == http.StatusOK {
				served++
			}
		}
	}
	return float64(served) / float64(sent)
}

// assertContained checks that requests with the crashing part stop reaching upstreams, and that sound ones
// are served beside them.
func (l *partLoad) assertContained(is *is.I) {
	l.t.Helper()
	late, fifth := l.lateArrivals()
	served := l.soundServed(fifth.Add(2 * stableWindow))
	l.t.Logf("%d crashes, %d requests too late, sound ones served %.3f", l.crashes.Load(), len(late), served)
	is.True(len(late) <= maxLateArrivals) // requests with the crashing part reach upstreams
	is.True(served >= minSoundServed)     // sound requests are refused beside them
}

// runSmallInParallel runs the test of a small fleet beside others. Several large ones at once take gigabytes
// with the race detector.
func runSmallInParallel(t *testing.T, hosts int) {
	t.Helper()
	const maxHosts = 4
	if hosts <= maxHosts {
		t.Parallel()
	}
}

// TestCrashingPart guards against requests that crash one upstream after the other, no two of them
// alike, since they share one part of their prompts, and against refusing sound ones for it.
func TestCrashingPart(t *testing.T) {
	for _, path := range []string{"/stream/1", "/stream/once/1"} {
		for _, hosts := range []int{1, 4, 24} {
			for _, perSecond := range []float64{2, 8, 20} {
				t.Run(fmt.Sprintf("%s, %d hosts, %g a second", path, hosts, perSecond), func(t *testing.T) {
					runSmallInParallel(t, hosts)
					runLargeFleet(t, hosts, 3, "/look/1", 5, func(is *is.I, fl *fleet) {
						l := &partLoad{fleet: fl, path: path, crashing: perSecond, sound: 40, lead: "a1"}
						l.run(func() { time.Sleep(20 * time.Second) })
						l.assertContained(is)
					})
				})
			}
		}
	}
}

// TestCrashingPartOfRestartedHosts guards against hosts that forget, as they are restarted, which part of
// prompts crashes upstreams.
func TestCrashingPartOfRestartedHosts(t *testing.T) {
	for _, hosts := range []int{1, 4, 24} {
		for _, c := range []struct {
			name string
			of   int
		}{{"half", 2}, {"all", 1}} {
			t.Run(fmt.Sprintf("%d hosts, %s", hosts, c.name), func(t *testing.T) {
				runSmallInParallel(t, hosts)
				runLargeFleet(t, hosts, 3, "/look/1", 5, func(is *is.I, fl *fleet) {
					l := &partLoad{fleet: fl, path: "/stream/1", crashing: 8, sound: 40, lead: "a1"}
					l.run(func() {
						for range 3 {
							time.Sleep(8 * time.Second)
							restarted := fl.hosts[:(hosts+c.of-1)/c.of]
							for _, h := range restarted {
								fl.killHost[h.Name]()
							}
							for _, h := range restarted {
								fl.startHost(h)
							}
						}
						time.Sleep(8 * time.Second)
					})
					late, _ := l.lateArrivals()
					t.Logf("%d crashes, %d requests too late", l.crashes.Load(), len(late))
					is.True(len(late) <= maxLateArrivals)
				})
			})
		}
	}
}

// partSource adds the record of isolated parts in a store to all that is read from a source.
type partSource struct {
	follower.Source
	store *faker.Platform
}

func (s *partSource) Load(ctx context.Context, delay follower.LoadDelay) (*follower.Changes, error) {
	ch, err := s.Source.Load(ctx, delay)
	if err != nil {
		return nil, err
	}
	e, err := s.store.Get(ctx, archiver.Key)
	if err != nil && !errors.Is(err, storer.ErrNotFound) {
		return nil, err
	}
	ch.Parts = e.Value
	return ch, nil
}

// TestAllHostsRestarted guards against hosts that are all killed at once and have a part that was isolated
// crash upstreams again.
func TestAllHostsRestarted(t *testing.T) {
	for _, hosts := range []int{1, 4, 24} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runSmallInParallel(t, hosts)
			runLargeFleet(t, hosts, 3, "/look/1", 5, func(is *is.I, fl *fleet) {
				store := new(faker.Platform)
				fl.connect = func(h *launcher.Host, f follower.Host) {
					h.Source, h.Store = &partSource{fl.source.Without(f.Name), store}, store
				}
				fl.restartAll()
				time.Sleep(4 * time.Second)
				l := &partLoad{fleet: fl, path: "/stream/1", crashing: 8, sound: 40, lead: "a1"}
				l.run(func() {
					time.Sleep(5 * time.Second)
					crashes := fl.crashes.Load()
					for range 3 {
						fl.restartAll()
						time.Sleep(5 * time.Second)
					}
					is.True(crashes >= 3)
					is.Equal(fl.crashes.Load(), crashes)
				})
			})
		})
	}
}

// TestReleasePart guards against an operator who can't see which part is refused, or can't end that for
// a part that is sound.
func TestReleasePart(t *testing.T) {
	runHost(t, 0, func(b *testbed) {
		is := is.New(t)
		admin := func(method, path string) reply { return b.requestAt("10.0.0.1:83", method, path, "", nil) }
		is.Equal(strings.TrimSpace(admin(http.MethodGet, "/parts").body), "[]")
		for n := 0; !strings.Contains(admin(http.MethodGet, "/parts").body, faker.CrashingPart); n++ {
			is.True(n < 10)
			id := fmt.Sprint("bad", n)
			b.request(http.MethodPost, "/stream/1", id, withParts(id, "a1", faker.CrashingPart))
			time.Sleep(3 * time.Second)
		}
		r := b.request(http.MethodPost, "/stream/1", "refused", withParts("refused", "a1", faker.CrashingPart))
		b.assertRetryLater(r)
		is.Equal(b.runs("refused"), 0)
		is.True(strings.HasPrefix(r.body, "promptPart"))
		b.assertCompleteStream(b.request(http.MethodPost, "/stream/1", "sound", withParts("sound", "a1", "b2")))
		is.Equal(admin(http.MethodDelete, "/parts/unknown").status, http.StatusNotFound)
		is.Equal(admin(http.MethodDelete, "/parts/"+faker.CrashingPart).status, http.StatusNoContent)
		is.Equal(strings.TrimSpace(admin(http.MethodGet, "/parts").body), "[]")
		b.request(http.MethodPost, "/stream/1", "again", withParts("again", "a1", faker.CrashingPart))
		is.True(b.runs("again") > 0) // it is sent to upstreams once more
	})
}
