package balancer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardineward/sardineward/picker"
)

const (
	// maxFreshInterval is the interval between reports up to which they count as fresh. Hosts that
	// are few exchange reports more often.
	maxFreshInterval = 250 * time.Millisecond
	// rejectionMemory is the time in which an observed request or rejection loses two thirds of its
	// weight: several reports of other hosts.
	rejectionMemory = 2 * time.Second
	// fullSpreadRejections is the share of rejected requests from which choices are spread fully:
	// retries are allowed for a tenth of the requests.
	fullSpreadRejections = 0.1
	// minObserved is the number of requests that a share of rejections counts at least, so that a
	// single rejection on a quiet host has little effect.
	minObserved = 12
)

// spread decides how much a host spreads its requests over upstreams rather than choosing the
// cheapest ones. Hosts that know the same old reports would otherwise all choose the same upstreams,
// and fill them before the next reports show it.
type spread struct {
	// sent and rejected count recent paths and those that an upstream rejected although it seemed to
	// have capacity. Both decay, and are as of at.
	sent, rejected float64
	at             time.Duration
}

// areStale reports whether reports come so seldom that much may change between two of them.
func (r *reports) areStale() bool { return r.interval > maxFreshInterval }

// recordSent counts a request that was sent over a path.
func (s *spread) recordSent(now time.Duration) {
	s.decay(now)
	s.sent++
}

// recordRejected counts a rejection by an upstream that seemed to have capacity.
func (s *spread) recordRejected(now time.Duration) {
	s.decay(now)
	s.rejected++
}

func (s *spread) decay(now time.Duration) {
	weight := math.Exp(-float64(now-s.at) / float64(rejectionMemory))
	s.sent, s.rejected, s.at = s.sent*weight, s.rejected*weight, now
}

// degree returns how much to spread: 0 for the cheapest path, 1 for a draw in proportion to the
// capacity left and in inverse proportion to the cost.
func (s *spread) degree(now time.Duration) float64 {
	s.decay(now)
	return min(1, s.rejected/max(minObserved, s.sent)/fullSpreadRejections)
}

// spreadDegree returns how much requests are spread now: not at all while reports are fresh.
func (b *Balancer) spreadDegree(now time.Duration) float64 {
	if !b.peerReports.areStale() {
		return 0
	}
	return b.spread.degree(now)
}

// SpreadDegree returns how much this host spreads its requests over engines, from 0 for the cheapest
// path to 1 for a draw in proportion to the capacity left.
func (b *Balancer) SpreadDegree(now time.Duration) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spreadDegree(now)
}

// spreadCost randomises the cost of a candidate that has capacity left for a number of such requests.
// With degree 1, the least of such costs is that of a candidate drawn with a probability that is
// proportional to fits/cost. Biases count more, since a draw also reaches what is dear.
func spreadCost(c *picker.Candidate, fits, degree float64, rnd *rand.Rand) {
	if degree <= 0 || fits <= 0 {
		return
	}
	bias := 1 + c.Bias
	c.Bias = bias*math.Pow(bias*rnd.ExpFloat64()/fits, degree) - 1
}
