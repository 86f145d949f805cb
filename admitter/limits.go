package admitter

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/sardineward/sardineward/builder"
)

// minShare is the fraction of an even share that every host keeps, so that the first requests of a
// workspace on a host needn't wait until the other hosts know of them.
const minShare = 0.1

// RateLimiter enforces each workspace's request rate over all hosts without a shared store: each host
// takes the share of the limit that its own demand has in the total demand. It is safe for
// concurrent use.
type RateLimiter struct {
	mu sync.Mutex
	// namesHash identifies the workspaces and their order; demands of other hosts are used only
	// under the same hash.
	namesHash uint32
	// workspaces holds the limited workspaces in the order of the configuration, byName the same.
	workspaces []*workspaceLimit
	byName     map[string]*workspaceLimit
	// measuredAt is when MeasureDemand or Configure was last called.
	measuredAt time.Time
}

// workspaceLimit is the limit of one workspace and this host's demand under it.
type workspaceLimit struct {
	name string
	// limit is the requests a second over all hosts.
	limit float64
	// requests counts the requests since the last MeasureDemand; demand is their smoothed rate a
	// second.
	requests float64
	demand   float64
	// limiter enforces this host's share.
	limiter *rate.Limiter
}

// Configure sets the workspaces and their limits; one without a limit is not limited. A known
// workspace keeps its share until the next call of SetShares.
func (l *RateLimiter) Configure(now time.Time, hosts int, workspaces []builder.Workspace) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byName
	l.byName = make(map[string]*workspaceLimit)
	l.workspaces = nil
	h := xxhash.New()
	for _, w := range workspaces {
		if w.RequestsPerSecond <= 0 {
			continue
		}
		s := old[w.Name]
		if s == nil {
			s = &workspaceLimit{name: w.Name, limiter: newLimiter(w.RequestsPerSecond / float64(max(1, hosts)))}
		}
		s.limit = w.RequestsPerSecond
		l.byName[w.Name] = s
		l.workspaces = append(l.workspaces, s)
		h.WriteString(w.Name)
		h.WriteString("\x00")
	}
	l.namesHash = uint32(h.Sum64())
	l.measuredAt = now
}

// Allow reports whether a request of a workspace may run now. If not, it returns the time after
// which a retry can succeed.
func (l *RateLimiter) Allow(now time.Time, workspace string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byName[workspace]
	if s == nil {
		return 0, true
	}
	s.requests++
	if s.limiter.AllowN(now, 1) {
		return 0, true
	}
	r := s.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	r.CancelAt(now)
	return wait, false
}

// MeasureDemand updates the smoothed demands with the requests since the last call. It returns the
// demands in requests a second, and the hash of the workspace names that they are ordered by.
func (l *RateLimiter) MeasureDemand(now time.Time) (namesHash uint32, demands []float32) {
	const smoothingSeconds = 3.0
	l.mu.Lock()
	defer l.mu.Unlock()
	elapsed := now.Sub(l.measuredAt).Seconds()
	if elapsed <= 0 {
		elapsed = 1e-3
	}
	l.measuredAt = now
	decay := math.Exp(-elapsed / smoothingSeconds)
	demands = make([]float32, len(l.workspaces))
	for i, s := range l.workspaces {
		s.demand = s.demand*decay + s.requests/elapsed*(1-decay)
		s.requests = 0
		demands[i] = float32(s.demand)
	}
	return l.namesHash, demands
}

// SetShares sets this host's share of each limit: an even share times the ratio of its demand to the
// mean demand of all hosts. meanDemands is nil when the demands of other hosts are not known.
func (l *RateLimiter) SetShares(now time.Time, hosts int, namesHash uint32, meanDemands []float32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	hostCount := float64(max(1, hosts))
	for i, s := range l.workspaces {
		ratio := 1.0
		if namesHash == l.namesHash && i < len(meanDemands) && meanDemands[i] > 0 {
			ratio = s.demand / float64(meanDemands[i])
		}
		ratio = min(max(ratio, minShare), hostCount)
		share := s.limit / hostCount * ratio
		s.limiter.SetLimitAt(now, rate.Limit(share))
		s.limiter.SetBurstAt(now, max(1, int(math.Ceil(share))))
	}
}
