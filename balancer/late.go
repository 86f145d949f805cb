package balancer

import (
	"math"
	"time"
)

const (
	// lateShareBias raises the cost of the upstreams of a data centre over which all streams are late.
	// Where a tenth of them is, the local data centre costs as much as another one.
	lateShareBias = 10.0
	// lateShareWeight is the weight of one more stream in the share of late ones.
	lateShareWeight = 0.1
	// lateShareMemory is the time in which the share decays to about a third without streams, so that
	// the data centre is tried again.
	lateShareMemory = 3 * time.Second
)

// lateShare is the moving average of the share of late streams, as of at.
type lateShare struct {
	share float64
	at    time.Duration
}

// RecordLateness records whether a stream over a data centre was late, at its first event or between
// two events.
func (b *Balancer) RecordLateness(now time.Duration, dataCentre string, late bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lateShares == nil {
		b.lateShares = make(map[string]*lateShare)
	}
	s := b.lateShares[dataCentre]
	if s == nil {
		s = new(lateShare)
		b.lateShares[dataCentre] = s
	}
	sample := 0.0
	if late {
		sample = 1
	}
	share := s.decayed(now)
	s.share, s.at = share+lateShareWeight*(sample-share), now
}

// decayed returns the share at now without further streams; 0 for nil.
func (s *lateShare) decayed(now time.Duration) float64 {
	if s == nil {
		return 0
	}
	return s.share * math.Exp(-float64(now-s.at)/float64(lateShareMemory))
}
