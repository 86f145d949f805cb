package isolator

import (
	"cmp"
	"slices"
	"time"
)

// Losses returns the newest losses since a while ago, at most limit, to send to other hosts.
func (i *Isolator) Losses(now time.Duration, limit int) []Crash {
	i.mu.Lock()
	defer i.mu.Unlock()
	from, _ := slices.BinarySearchFunc(i.losses, i.Time(now)-sharedLossAge, func(l Crash, at time.Duration) int { return cmp.Compare(l.At, at) })
	return slices.Clone(i.losses[max(from, len(i.losses)-limit):])
}

// MergeLosses adds the losses that another host knows of.
func (i *Isolator) MergeLosses(list []Crash) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range list {
		i.addLoss(c)
	}
}

// addLoss adds a lost upstream, or moves its loss to the earliest time at which a host noticed it.
func (i *Isolator) addLoss(c Crash) {
	from, _ := slices.BinarySearchFunc(i.losses, c.At-sameCrash, func(l Crash, at time.Duration) int { return cmp.Compare(l.At, at) })
	for at := from; at < len(i.losses) && i.losses[at].At < c.At+sameCrash; at++ {
		if !i.losses[at].isSame(c) {
			continue
		}
		if i.losses[at].At <= c.At {
			return
		}
		i.losses = slices.Delete(i.losses, at, at+1)
		break
	}
	i.losses = insertCrash(i.losses, c, maxLosses)
}

// lossesWithout returns the upstreams that were lost beside some crashes of a part, given in order, without a request with
// it in flight, and that no other isolated part explains.
func (i *Isolator) lossesWithout(s *State, list []Crash) []Crash {
	if len(list) == 0 {
		return nil
	}
	var out []Crash
	from, to := list[0].At-exchangeTime, list[len(list)-1].At+exchangeTime
	for _, l := range i.losses {
		if l.At >= from && l.At <= to && !slices.ContainsFunc(s.Crashes, l.isSame) && !i.isExplained(s.Part, &l) {
			out = append(out, l)
		}
	}
	return out
}

// isOngoing reports whether crashes, given in order, go on for longer than a loss of many upstreams, without a pause.
func isOngoing(list []Crash) bool {
	for n, c := range list[1:] {
		if c.At-list[n].At >= longestPause {
			return false
		}
	}
	return list[len(list)-1].At-list[0].At >= longestLoss
}

// lostBeside reports whether upstreams were lost without a part at half as many moments as the n with it, or more.
func (i *Isolator) lostBeside(now time.Duration, s *State, n int) bool {
	return 2*len(moments(i.lossesWithout(s, i.unexplained(now, s)))) >= n
}

// isBystander returns the number of moments at which upstreams were lost without a part beside n moments with it, and
// whether these are too many for the part to be the cause. Several parts that crash upstreams at the same time are each
// absent from the crashes of the others, so that more are allowed once the crashes go on for longer than a loss of many
// upstreams lasts.
func (i *Isolator) isBystander(now time.Duration, s *State, n int) (without int, yes bool) {
	list := i.unexplained(now, s)
	if len(list) == 0 {
		return 0, false
	}
	allowed := n
	if n >= confirmedThreshold && isOngoing(list) {
		allowed *= maxCrashingParts
	}
	without = len(moments(i.lossesWithout(s, list)))
	return without, without > allowed
}
