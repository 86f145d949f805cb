package admitter

import (
	"math"
	"sync"
	"time"
)

// arrivalTime is the time constant of the rates of RankArrivals.
const arrivalTime = 500 * time.Millisecond

// RankArrivals estimates the arrivals over all hosts from this host's own. It is safe for concurrent
// use. The exported field is set before use.
type RankArrivals struct {
	// Hosts returns the number of hosts that requests arrive at; nil means 1.
	Hosts func() int

	mu       sync.Mutex
	services map[string]map[int]*arrivalRate
}

// arrivalRate is a smoothed rate a second, as of at.
type arrivalRate struct {
	perSecond float64
	at        time.Duration
}

// decayed returns the rate at now without further arrivals.
func (a *arrivalRate) decayed(now time.Duration) float64 {
	return a.perSecond * math.Exp(-max(0, now-a.at).Seconds()/arrivalTime.Seconds())
}

// RecordArrival counts a request.
func (r *RankArrivals) RecordArrival(now time.Duration, service string, rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.services = make(map[string]map[int]*arrivalRate)
	}
	ranks := r.services[service]
	if ranks == nil || len(ranks) >= maxReserveRanks {
		ranks = make(map[int]*arrivalRate)
		r.services[service] = ranks
	}
	a := ranks[rank]
	if a == nil {
		a = new(arrivalRate)
		ranks[rank] = a
	}
	a.perSecond = a.decayed(now) + 1/arrivalTime.Seconds()
	a.at = now
}

// MoreUrgent returns the arrivals a second over all hosts that are more urgent than a rank.
func (r *RankArrivals) MoreUrgent(now time.Duration, service string, rank int) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for other, a := range r.services[service] {
		if other < rank {
			sum += a.decayed(now)
		}
	}
	hosts := 1
	if r.Hosts != nil {
		hosts = max(1, r.Hosts())
	}
	return sum * float64(hosts)
}
