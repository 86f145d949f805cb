package admitter

import (
	"math"
	"slices"
	"time"
)

const (
	// maxShareAge is how long reports count for shares: hosts that are cut off from each other
	// divide by what they last knew.
	maxShareAge = 10 * time.Second
	// Shares are in force from when startLoss of the requests that shares allow are refused over all
	// hosts for lack of capacity, until there is enough for all and less than endLoss are.
	startLoss = 0.02
	endLoss   = 0.0005
	// minLack is the least rate of these refusals, two within half a second, from which shares are in
	// force.
	minLack = 4
	// tolerableLoss is the same fraction above which hosts take the capacity to be less, by
	// shareDecrease a second; below, they take it to be more, by shareIncrease, so that no capacity
	// stays unused while requests are refused.
	tolerableLoss = 0.01
	shareDecrease = 0.05
	shareIncrease = 0.02
	// After recoveryDelay with less than endLoss, the capacity is at least what it was before the
	// shortage.
	recoveryDelay = time.Second
	// capacityMemory is for how long, at least, the most that was admitted before a shortage is kept.
	// An outage may lower what is admitted seconds before the first refusal for lack of capacity.
	capacityMemory = 30 * time.Second
	// A host that observed less than minObserved without a shortage, as one that starts in an outage,
	// does not know the capacity before it. It takes the capacity to rise fourfold a second, by
	// unknownIncrease. Times in which less than minAdmitted of the requests was admitted do not count.
	minObserved     = 2 * time.Second
	minAdmitted     = 0.9
	unknownIncrease = 1.4
	// initialUse is the fraction of what is admitted at first that is divided. Requests that arrive at
	// random are refused now and then where they ask for all of it.
	initialUse = 0.9
	// shareMeasureTime is the time from the first shares until reports show what all hosts admit at
	// their capacity, and until they show the effect of the shares.
	shareMeasureTime = 3000 * time.Millisecond
	// settleTime is the time from the first shares until reports show what workspaces ask for. From
	// then on, levels are averaged over levelTime: hosts that follow each change of random arrivals
	// half a second late add to it.
	settleTime = time.Second
	levelTime  = 2 * time.Second
	// maxNoise is the difference between levels that is followed at once, in square roots of the
	// capacity: the rates of random arrivals vary by one such root.
	maxNoise = 3
	// shareAge is how long shares are used before they are worked out again.
	shareAge = 20 * time.Millisecond
	// maxShareRanks bounds the ranks that are kept.
	maxShareRanks = 256
)

// rankKey is a service and one of its ranks.
type rankKey struct {
	service string
	rank    int
}

// rankShares is how the capacity for a rank is divided among its workspaces.
type rankShares struct {
	// inForce is set in a shortage, since when since says.
	inForce bool
	since   time.Duration
	// capacity is what all hosts can admit of the rank, in requests a second.
	capacity float64
	before   recentPeak
	// lacked is what was refused for lack of capacity, in requests a second, lossAt when it last rose
	// while it was endLoss or more.
	lacked float64
	lossAt time.Duration
	// level is the share of each workspace that asks for more, in requests a second, as of levelAt;
	// infinite where there is enough for all. demand is what each one asks for.
	level   float64
	demand  map[string]float64
	levelAt time.Duration
}

// recentPeak is the most that all hosts admitted of a rank while there was no shortage, in requests a
// second, since one to two capacityMemory ago.
type recentPeak struct {
	// current is the most from since on, previous the most in the period before.
	current, previous float64
	since             time.Duration
	// observed is for how long there was no shortage and minAdmitted was admitted.
	observed time.Duration
}

// add counts what is asked for and admitted at a time, elapsed after the time before.
func (p *recentPeak) add(now, elapsed time.Duration, all demandRate) {
	// In an outage, requests may be refused for other reasons than lack of capacity.
	if all.admitted > minAdmitted*all.arrivals {
		p.observed += min(elapsed, demandTime) // nothing is known of longer pauses
	}
	if now-p.since >= capacityMemory {
		p.previous, p.current, p.since = p.current, 0, now
	}
	p.current = max(p.current, all.admitted)
}

func (p *recentPeak) value() float64 { return max(p.current, p.previous) }

// Share is a workspace's part of the capacity of a rank, in requests a second over all hosts.
type Share struct{ Share, Asked float64 }

// RecordLack counts a request that this host refused for lack of capacity, and not for the share of
// its workspace. Its arrival was counted before.
func (d *Demands) RecordLack(now time.Duration, key DemandKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.counter(now, key); c != nil {
		c.lacked += 1 / demandTime.Seconds()
	}
}

// ExceedsShare reports whether a workspace takes more than its fair part of its rank's capacity while
// others of the rank lack theirs.
func (d *Demands) ExceedsShare(now time.Duration, key DemandKey) bool {
	_, exceeds := d.TakeShare(now, key)
	return exceeds
}

// TakeShare is ExceedsShare, and returns the share; zero where shares are not in force. Of a workspace
// that asks for more than its share, each host admits the fraction that the share is of what is asked
// for over all hosts.
func (d *Demands) TakeShare(now time.Duration, key DemandKey) (Share, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.rankShares(rankKey{key.Service, key.Rank})
	if s.demand == nil || now-s.levelAt >= shareAge {
		d.updateShares(now, rankKey{key.Service, key.Rank}, s)
	}
	if !s.inForce {
		return Share{}, false
	}
	asked := s.demand[key.Workspace]
	c := d.own[key]
	if asked <= s.level || c == nil || key.Workspace == OtherWorkspaces {
		return Share{min(asked, s.level), asked}, false
	}
	if c.credit += s.level / asked; c.credit < 1 {
		return Share{s.level, asked}, true
	}
	c.credit--
	return Share{s.level, asked}, false
}

// rankShares returns the state of a rank, created if necessary.
func (d *Demands) rankShares(key rankKey) *rankShares {
	s := d.shares[key]
	if s == nil {
		if d.shares == nil || len(d.shares) >= maxShareRanks {
			d.shares = make(map[rankKey]*rankShares)
		}
		s = new(rankShares)
		d.shares[key] = s
	}
	return s
}

// updateShares works out the shares of a rank's workspaces.
func (d *Demands) updateShares(now time.Duration, key rankKey, s *rankShares) {
	s.demand = make(map[string]float64)
	var all demandRate
	d.latest.Expire(now, maxShareAge)
	for _, one := range d.sum(now, &d.latest) {
		if one.Service == key.service && one.Rank == key.rank {
			s.demand[one.Workspace] = one.Arrivals
			all = all.Plus(demandRate{one.Arrivals, one.Admitted, one.Lacked})
		}
	}
	d.reported.Expire(now, maxDemandAge)
	cutOff := d.reported.Hosts() == 0 && d.latest.Hosts() > 0
	s.updateCapacity(now, all, cutOff)
	previous := s.level
	s.level = math.Inf(1)
	if s.inForce {
		s.level = s.divide()
		// Levels that are infinite, before or now, are not averaged.
		if now-s.since > settleTime && math.Abs(s.level-previous) < maxNoise*math.Sqrt(s.capacity) {
			s.level = previous + (s.level-previous)*(1-math.Exp(-(now-s.levelAt).Seconds()/levelTime.Seconds()))
		}
		s.inForce = !math.IsInf(s.level, 1) || now-s.lossAt <= recoveryDelay
	}
	s.levelAt = now
}

// updateCapacity determines whether there is a shortage, and what hosts can admit in it. A host that
// is cut off does not know what its changes lead to, and makes none.
func (s *rankShares) updateCapacity(now time.Duration, all demandRate, cutOff bool) {
	loss := 0.0
	if all.lacked > 0 {
		loss = all.lacked / (all.admitted + all.lacked)
	}
	// The rate of an earlier shortage takes seconds to fall below endLoss, but it only falls.
	if loss >= endLoss && all.lacked > s.lacked {
		s.lossAt = now
	}
	elapsed := (now - s.levelAt).Seconds()
	if loss < endLoss && !s.inForce {
		s.before.add(now, now-s.levelAt, all)
	}
	s.lacked = all.lacked
	switch {
	case !s.inForce:
		s.inForce = len(s.demand) > 1 && loss >= startLoss && all.lacked >= minLack && now-s.lossAt <= recoveryDelay
		s.since, s.capacity = now, all.admitted*initialUse
	case !cutOff && now-s.lossAt > recoveryDelay:
		increase := shareIncrease
		if s.before.observed < minObserved {
			increase = unknownIncrease
		}
		// None may have been admitted in the shortage, and a product with zero does not rise.
		s.capacity = max(max(s.capacity, minLack)*math.Exp(increase*elapsed), s.before.value())
	case now-s.since < shareMeasureTime:
		s.capacity = max(s.capacity, all.admitted*initialUse)
	case cutOff:
	case loss > tolerableLoss:
		s.capacity *= math.Exp(-shareDecrease * elapsed)
	default:
		s.capacity *= math.Exp(shareIncrease * elapsed)
	}
}

// divide returns the level of the shares.
func (s *rankShares) divide() float64 {
	free := s.capacity
	list := make([]float64, 0, len(s.demand))
	for name, asked := range s.demand {
		if name == OtherWorkspaces {
			free -= asked // of many workspaces, none of which asks for much
			continue
		}
		list = append(list, asked)
	}
	return waterLevel(max(0, free), list)
}

// waterLevel returns the max-min fair share of those that ask for more than it: the level at which
// the parts, each at most what is asked for, add up to the capacity. It is infinite where there is
// enough for all. It sorts demand.
func waterLevel(capacity float64, demand []float64) float64 {
	slices.Sort(demand)
	for i, asked := range demand {
		level := capacity / float64(len(demand)-i)
		if asked > level {
			return level
		}
		capacity -= asked
	}
	return math.Inf(1)
}
