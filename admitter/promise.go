package admitter

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// promiseInterval is the length of the intervals in which promised returns are counted,
	// promiseIntervals their number. No caller waits for longer than half of these 16 s.
	promiseInterval  = 100 * time.Millisecond
	promiseIntervals = 160
	// minReturnWait is the shortest wait of a refused caller, about the time that an upstream takes
	// to restart. The waits of the most urgent rank and of one without a known drain are spread over
	// as much again.
	minReturnWait = 800 * time.Millisecond
	// returnShare is the part of the drain that is promised, so that new requests find the rest.
	returnShare = 0.5
	// drainTime is the time constant of the drain.
	drainTime = time.Second
	// rankDelay is by how much later each less urgent rank may return.
	rankDelay = 400 * time.Millisecond
	// returnTolerance is how long after its time a promise is still kept: a connection and the
	// scheduling of a busy caller.
	returnTolerance = 500 * time.Millisecond
	// maxPromiseRanks and maxPromiseServices bound what is kept in memory. Less urgent ranks count
	// as the last one.
	maxPromiseRanks    = 8
	maxPromiseServices = 256
)

// Refused is a request that found no capacity.
type Refused struct {
	Service string
	// Rank is the place of its rank among those of the service; 0 is the most urgent.
	Rank int
	// MaxWait is the longest time that the caller waits; less than minReturnWait asks for the
	// shortest wait.
	MaxWait time.Duration
	// Left is what its deadline leaves.
	Left time.Duration
	// Draw is a random number in [0, 1), which spreads callers.
	Draw float64
}

// Promises decides when refused callers return. It answers demand of some times the capacity for
// seconds, in which callers that all return after a fixed wait find the service full again, and are
// refused a second time.
//
// A caller gets the first interval in which the returns promised so far take less than a part of the
// drain, or else the one with the fewest, so that the waits grow with the shortage. Less urgent ranks
// begin later. Each host counts its own promises. It is safe for concurrent use; the zero value is
// ready to use.
type Promises struct {
	mu       sync.Mutex
	services map[string]*servicePromises
}

// servicePromises is the promises of one service.
type servicePromises struct {
	// phase is random from 0 to 1, so that quotas of a fraction differ from those of other hosts.
	phase float64
	// drain is how many requests a second this host serves, smoothed over drainTime, as of drainAt.
	drain     float64
	drainAt   time.Duration
	intervals [promiseIntervals]promiseCount
}

// promiseCount counts the promised returns in an interval by rank, but for those that came.
type promiseCount struct {
	// number is the interval's time divided by promiseInterval.
	number int64
	ranks  [maxPromiseRanks]int
	// excess counts those of ranks that were promised when the interval was full.
	excess [maxPromiseRanks]int
	// left is the most that deadlines leave to callers of ranks as they return.
	left [maxPromiseRanks]time.Duration
	// total is the sum over all ranks.
	total int
}

// RecordServed counts a request that was served, whose capacity is free for others.
func (p *Promises) RecordServed(now time.Duration, service string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(service)
	s.advance(now)
	s.drain += 1 / drainTime.Seconds()
}

// advance brings the drain to now.
func (s *servicePromises) advance(now time.Duration) {
	if now > s.drainAt {
		s.drain *= math.Exp(-(now - s.drainAt).Seconds() / drainTime.Seconds())
		s.drainAt = now
	}
}

// Promise returns how long a refused caller waits, and counts its return.
func (p *Promises) Promise(now time.Duration, r Refused) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(r.Service)
	rank := min(max(0, r.Rank), maxPromiseRanks-1)
	s.advance(now)
	at, full := s.choose(now, rank, r.MaxWait, r.Draw)
	c := s.interval(at)
	c.add(rank, 1)
	if full {
		c.excess[rank]++
	}
	wait := waitUntil(now, at, r.Draw)
	c.left[rank] = max(c.left[rank], r.Left-wait)
	return wait
}

// Spread returns how long a caller waits whose request equals one that was asked to return at a time:
// until a later interval, so that callers with equal requests do not return together. It counts no
// return, as the request most often comes from the same caller.
func (p *Promises) Spread(now time.Duration, r Refused, after time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(r.Service)
	s.advance(now)
	first, last := s.bounds(now, min(max(0, r.Rank), maxPromiseRanks-1), r.MaxWait)
	next := max(first, int64(after/promiseInterval)+1)
	if next > last {
		next = first + int64(r.Draw*float64(last-first+1))
	}
	capacity := s.drain * promiseInterval.Seconds() * returnShare
	for n := next; n <= last; n++ {
		if s.interval(n).total < s.quota(n, capacity) {
			next = n
			break
		}
	}
	return waitUntil(now, next, r.Draw)
}

// waitUntil returns the time until a moment of an interval that a draw decides.
func waitUntil(now time.Duration, number int64, draw float64) time.Duration {
	return max(minReturnWait, time.Duration(number)*promiseInterval+time.Duration(draw*float64(promiseInterval))-now)
}

// bounds returns the numbers of the first and the last interval that a refused caller may return in.
func (s *servicePromises) bounds(now time.Duration, rank int, maxWait time.Duration) (first, last int64) {
	maxWait = min(maxWait, promiseIntervals*promiseInterval/2)
	first = int64((now+minReturnWait)/promiseInterval) + 1
	last = max(first, int64((now+maxWait)/promiseInterval)-1)
	return min(last, first+int64(time.Duration(rank)*rankDelay/promiseInterval)), last
}

// choose returns the number of the interval in which a refused caller may return, and whether all
// intervals that it may return in are full.
func (s *servicePromises) choose(now time.Duration, rank int, maxWait time.Duration, draw float64) (number int64, full bool) {
	first, last := s.bounds(now, rank, maxWait)
	capacity := s.drain * promiseInterval.Seconds() * returnShare
	for n := first; n <= last; n++ {
		if s.interval(n).total < s.quota(n, capacity) {
			return n, false
		}
	}
	// From a random interval on, so that those that all hosts fill beyond their quotas differ.
	count := last - first + 1
	start := int64(draw * float64(count))
	best, leastExcess := first, math.MaxInt
	for i := range count {
		n := first + (start+i)%count
		if excess := s.interval(n).total - s.quota(n, capacity); excess < leastExcess {
			best, leastExcess = n, excess
		}
	}
	return best, true
}

// quota returns how many returns an interval takes. Where capacity is a fraction, some of the
// intervals take one more; the multiples of the golden ratio spread them evenly, and a capacity that
// varies between refusals hardly changes which ones.
func (s *servicePromises) quota(number int64, capacity float64) int {
	_, order := math.Modf(float64(number)*math.Phi + s.phase)
	whole, fraction := math.Modf(capacity)
	if order < fraction {
		whole++
	}
	return int(whole)
}

// Return reports whether a caller that returns now was promised to, and whether it is one of those
// beyond the part of the drain: the first that come in an interval are the others. left is what its
// deadline leaves: more than to any caller that was promised to return means that it is a new one,
// whose own timeout is short. It counts the caller as returned. Each promise counts once.
func (p *Promises) Return(now time.Duration, service string, rank int, left time.Duration) (promised, excess bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.services[service]
	if s == nil {
		return false, false
	}
	rank = min(max(0, rank), maxPromiseRanks-1)
	first, last := int64((now-returnTolerance)/promiseInterval), int64(now/promiseInterval)
	var most time.Duration
	for n := first; n <= last; n++ {
		most = max(most, s.interval(n).left[rank])
	}
	for n := first; n <= last && left <= most; n++ {
		c := s.interval(n)
		if c.ranks[rank] == 0 {
			continue
		}
		if excess = c.ranks[rank] == c.excess[rank]; excess {
			c.excess[rank]--
		}
		c.add(rank, -1)
		return true, excess
	}
	return false, false
}

// interval returns the counts of an interval, emptied if they are of an earlier one.
func (s *servicePromises) interval(number int64) *promiseCount {
	c := &s.intervals[(number%promiseIntervals+promiseIntervals)%promiseIntervals]
	if c.number != number {
		*c = promiseCount{number: number}
	}
	return c
}

// add adds n promised returns of a rank.
func (c *promiseCount) add(rank, n int) {
	c.ranks[rank] += n
	c.total += n
}

// service returns the promises of a service, created if necessary.
func (p *Promises) service(name string) *servicePromises {
	if _, known := p.services[name]; p.services == nil || (!known && len(p.services) >= maxPromiseServices) {
		p.services = make(map[string]*servicePromises)
	}
	s := p.services[name]
	if s == nil {
		s = &servicePromises{phase: rand.Float64()}
		p.services[name] = s
	}
	return s
}
