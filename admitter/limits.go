package admitter

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/sardineward/sardineward/builder"
)

// floorShare is the part of an even share that every host keeps, so that the
// first requests of a workspace on a host needn't wait for the others to hear.
const floorShare = 0.1

// Limits keeps each workspace under its request rate over all hosts, with no
// shared store: a host takes the part of the limit that its own demand is of
// all demand. Safe for concurrent use.
type Limits struct {
	mu     sync.Mutex
	list   uint32
	spaces []*space
	byName map[string]*space
	last   time.Time
}

type space struct {
	name  string
	limit float64
	// asked counts requests since the last Measure; demand is the smoothed
	// rate.
	asked   float64
	demand  float64
	limiter *rate.Limiter
}

// Configure takes in the workspaces.
func (l *Limits) Configure(now time.Time, hosts int, list []builder.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byName
	l.byName = make(map[string]*space)
	l.spaces = nil
	h := xxhash.New()
	for _, w := range list {
		if w.RequestsPerSecond <= 0 {
			continue
		}
		s := old[w.Name]
		if s == nil {
			s = &space{name: w.Name, limiter: newLimiter(w.RequestsPerSecond / float64(max(1, hosts)))}
		}
		s.limit = w.RequestsPerSecond
		l.byName[w.Name] = s
		l.spaces = append(l.spaces, s)
		h.WriteString(w.Name)
		h.WriteString("\x00")
	}
	l.list = uint32(h.Sum64())
	l.last = now
}

// Allow takes one request of a workspace, or tells when to come back.
func (l *Limits) Allow(now time.Time, workspace string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byName[workspace]
	if s == nil {
		return 0, true
	}
	s.asked++
	if s.limiter.AllowN(now, 1) {
		return 0, true
	}
	r := s.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	r.CancelAt(now)
	return wait, false
}

// Measure smooths the demand since the last call and returns it with the hash
// of the list it is ordered by.
func (l *Limits) Measure(now time.Time) (list uint32, own []float32) {
	const window = 3.0
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.last).Seconds()
	if elapsed <= 0 {
		elapsed = 1e-3
	}
	l.last = now
	keep := math.Exp(-elapsed / window)
	own = make([]float32, len(l.spaces))
	for i, s := range l.spaces {
		s.demand = s.demand*keep + s.asked/elapsed*(1-keep)
		s.asked = 0
		own[i] = float32(s.demand)
	}
	return l.list, own
}

// Share sets this host's part of each limit: its demand over the mean of all
// hosts, of an even share. mean is nil when nothing is known of the others.
func (l *Limits) Share(now time.Time, hosts int, list uint32, mean []float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := float64(max(1, hosts))
	for i, s := range l.spaces {
		part := 1.0
		if list == l.list && i < len(mean) && mean[i] > 0 {
			part = s.demand / float64(mean[i])
		}
		part = min(max(part, floorShare), n)
		share := s.limit / n * part
		s.limiter.SetLimitAt(now, rate.Limit(share))
		s.limiter.SetBurstAt(now, max(1, int(math.Ceil(share))))
	}
}
