package admitter

import (
	"math"
	"sync"
	"time"
)

// RankReserve decides which share of a service's capacity a request leaves to more urgent ones. It
// answers a demand above the capacity for some seconds with several ranks mixed, where many hosts
// admit side by side and see each other's admissions late.
//
// The share is what more urgent requests take until hosts see each other's admissions and places
// become free, times a factor: it increases with each more urgent request that this host refuses for
// lack of capacity, and decreases with each that it admits. Added to it is what other hosts have
// admitted unseen, taken to be what this one has. Nothing is left to ranks without demand.
//
// It is safe for concurrent use. The exported fields are set before use.
type RankReserve struct {
	// MoreUrgent returns the arrivals a second over all hosts at a service that are more urgent
	// than a rank.
	MoreUrgent func(now time.Duration, service string, rank int) float64
	// Hosts returns the number of hosts; nil means 1.
	Hosts func() int

	mu       sync.Mutex
	services map[string]*serviceReserve
}

// serviceReserve is what this host has observed of one service.
type serviceReserve struct {
	ranks map[int]*rankReserve
	// holdTime is the smoothed time for which a request holds its capacity; 0 before the first.
	holdTime time.Duration
	// growth is by how many requests in flight have increased over about the last reportLag, changes
	// how many have started or ended, both as of growthAt.
	growth, changes float64
	growthAt        time.Duration
}

// rankReserve is what this host has observed of one rank of a service.
type rankReserve struct {
	// factor multiplies the capacity that is left to more urgent requests, as of changedAt.
	factor    float64
	changedAt time.Duration
	// asked and admitted count the requests of about the last shareMemory, as of changedAt.
	asked, admitted float64
	// moreUrgent counts the more urgent requests of the same time.
	moreUrgent float64
	// refusals counts the refusals since the last admission, of which the first was at
	// refusedSince.
	refusals     int
	refusedSince time.Duration
}

const (
	// reportLag is for how long hosts don't see each other's admissions: the age of reports.
	reportLag = 400 * time.Millisecond
	// maxKeepFree bounds the share that a request leaves to others.
	maxKeepFree = 0.5
	// minReserveFactor and maxReserveFactor bound the factor. Without refusals it returns to 1, with
	// the time constant reserveMemory.
	minReserveFactor = 0.25
	maxReserveFactor = 4.0
	reserveMemory    = 4 * time.Second
	// Each refusal of a more urgent request adds a step to the factor, and each admission of one takes
	// maxRefusedShare of a step from it, so that it settles where this share of them is refused. Users
	// accept that a rank is served less often by up to 5 in 100. A step is reserveStepSum by the number of
	// more urgent requests over shareMemory, so that the same share of refusals has the same effect.
	maxRefusedShare = 0.02
	maxReserveStep  = 0.5
	reserveStepSum  = 20.0
	// starvedRefusals and starvedFraction are after how many refusals in which fraction of its
	// deadline a request leaves nothing to others, so that no rank stands still. One request in
	// starvedRefusals does not invert ranks. maxStarvedFraction is the same for any refusals.
	starvedRefusals    = 20
	starvedFraction    = 1.0 / 3
	maxStarvedFraction = 2.0 / 3
	// minServedRatio is how often the requests of a rank are admitted, at least, relative to all
	// requests of the service over shareMemory, the time that callers of streams wait.
	minServedRatio = 0.3
	shareMemory    = 20 * time.Second
	// holdWeight is the weight of one request in holdTime.
	holdWeight = 0.1
	// maxReserveRanks bounds the ranks of a service that are kept in memory.
	maxReserveRanks = 256
)

// KeepFree returns the share of the capacity that a request leaves to more urgent ones, from 0 to
// maxKeepFree. capacity is how many requests the service runs at a time; 0 means that it is not
// known. deadline is how long the request's caller waits.
func (r *RankReserve) KeepFree(now time.Duration, service string, rank int, capacity float64, deadline time.Duration) float64 {
	if capacity <= 0 {
		return 0
	}
	moreUrgent := r.MoreUrgent(now, service, rank)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	own := s.rank(now, rank)
	if own.starved(now, deadline) || s.servesTooFew(now, own) {
		return 0
	}
	if moreUrgent == 0 {
		return 0
	}
	return min(maxKeepFree, (own.factor*moreUrgent*s.lag()+r.unseenGrowth(now, s))/capacity)
}

// KeepFreeForNew is KeepFree for a request that returns beyond what was promised: it leaves capacity
// to new requests of its own rank too, however seldom such requests are admitted. It answers the time
// after a shortage, when callers that return would take the places of new ones for seconds.
func (r *RankReserve) KeepFreeForNew(now time.Duration, service string, rank int, capacity float64) float64 {
	if capacity <= 0 {
		return 0
	}
	arrivals := r.MoreUrgent(now, service, rank+1)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	return min(maxKeepFree, (arrivals*s.lag()+r.unseenGrowth(now, s))/capacity)
}

// lag returns for how many seconds admissions are unseen by other hosts or hold their capacity,
// whichever is shorter.
func (s *serviceReserve) lag() float64 {
	if s.holdTime > 0 {
		return min(reportLag, s.holdTime).Seconds()
	}
	return reportLag.Seconds()
}

// RecordAdmitted records that a request got capacity.
func (r *RankReserve) RecordAdmitted(now time.Duration, service string, rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	own := s.rank(now, rank)
	own.refusals = 0
	own.asked++
	own.admitted++
	s.adjustLower(now, rank, -maxRefusedShare)
	s.grow(now, 1)
}

// RecordReleased records for how long an admitted request held its capacity.
func (r *RankReserve) RecordReleased(now time.Duration, service string, held time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	s.grow(now, -1)
	if s.holdTime == 0 {
		s.holdTime = held
	}
	s.holdTime += time.Duration(holdWeight * float64(held-s.holdTime))
}

// RecordRefused records that a request found no capacity.
func (r *RankReserve) RecordRefused(now time.Duration, service string, rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(service)
	own := s.rank(now, rank)
	own.asked++
	if own.refusals++; own.refusals == 1 {
		own.refusedSince = now
	}
	s.adjustLower(now, rank, 1)
}

// adjustLower adds steps to the factors of the ranks that are less urgent. The fewer more urgent
// requests a host sees, the larger a step is.
func (s *serviceReserve) adjustLower(now time.Duration, rank int, steps float64) {
	for other := range s.ranks {
		if other > rank {
			lower := s.rank(now, other)
			lower.moreUrgent++
			step := min(maxReserveStep, reserveStepSum/lower.moreUrgent)
			lower.factor = min(max(lower.factor+steps*step, minReserveFactor), maxReserveFactor)
		}
	}
}

// servesTooFew reports whether the requests of a rank are admitted too rarely, relative to all.
func (s *serviceReserve) servesTooFew(now time.Duration, own *rankReserve) bool {
	asked, admitted := 0.0, 0.0
	for rank := range s.ranks {
		other := s.rank(now, rank)
		asked += other.asked
		admitted += other.admitted
	}
	// One admission more keeps a rank with few requests from counting as refused.
	return (own.admitted+1)/(own.asked+1) < minServedRatio*admitted/max(1, asked)
}

// unseenGrowth estimates by how many the requests in flight at other hosts have increased since their
// reports. It leaves out what may be chance, by which the hosts differ.
func (r *RankReserve) unseenGrowth(now time.Duration, s *serviceReserve) float64 {
	if r.Hosts == nil {
		return 0
	}
	s.grow(now, 0)
	return max(0, s.growth-math.Sqrt(s.changes)) * float64(r.Hosts()-1)
}

// grow adds a change of the requests in flight.
func (s *serviceReserve) grow(now time.Duration, change float64) {
	if now > s.growthAt {
		kept := math.Exp(-(now - s.growthAt).Seconds() / reportLag.Seconds())
		s.growth, s.changes, s.growthAt = s.growth*kept, s.changes*kept, now
	}
	s.growth += change
	s.changes += math.Abs(change)
}

// starved reports whether this host has admitted nothing of the rank for too long.
func (own *rankReserve) starved(now, deadline time.Duration) bool {
	elapsed := float64(now-own.refusedSince) / float64(max(1, deadline))
	return (own.refusals >= starvedRefusals && elapsed > starvedFraction) || (own.refusals > 0 && elapsed > maxStarvedFraction)
}

// service returns the state of a service, created if necessary.
func (r *RankReserve) service(name string) *serviceReserve {
	if r.services == nil {
		r.services = make(map[string]*serviceReserve)
	}
	s := r.services[name]
	if s == nil {
		s = new(serviceReserve)
		r.services[name] = s
	}
	return s
}

// rank returns the state of a rank with its factor as of now, created if necessary.
func (s *serviceReserve) rank(now time.Duration, rank int) *rankReserve {
	own := s.ranks[rank]
	if own == nil {
		if s.ranks == nil || len(s.ranks) >= maxReserveRanks {
			s.ranks = make(map[int]*rankReserve)
		}
		own = &rankReserve{factor: 1, changedAt: now}
		s.ranks[rank] = own
	}
	if now > own.changedAt {
		own.factor = 1 + (own.factor-1)*math.Exp(-(now-own.changedAt).Seconds()/reserveMemory.Seconds())
		kept := math.Exp(-(now - own.changedAt).Seconds() / shareMemory.Seconds())
		own.asked, own.admitted, own.moreUrgent, own.changedAt = own.asked*kept, own.admitted*kept, own.moreUrgent*kept, now
	}
	return own
}
