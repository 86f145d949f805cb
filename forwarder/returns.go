package forwarder

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineward/sardineward/admitter"
)

// maxWaitFraction is the fraction of the time that a caller has left for which it waits at most
// before it returns.
const maxWaitFraction = 1.0 / 3

// refusalWait returns after which time the caller of a refused request is to return.
func (k *call) refusalWait(reason admitter.Reason) time.Duration {
	switch {
	case reason == admitter.ReasonRepeated:
		return k.retryAfter
	case reason == admitter.ReasonStopping:
		return stopWait()
	case reason == admitter.ReasonQueueFull && k.ranks() != nil:
		wait := k.promisedWait(func(now time.Duration, r admitter.Refused) time.Duration {
			k.Meter.Returns.WithLabelValues("promised").Inc()
			return k.promises.Promise(now, r)
		})
		k.repeats.RecordRefused(k.Now(), k.service.Name, k.asked(), min(wait, k.maxWait()))
		return wait
	}
	return max(k.retryAfter, minRetryAfter+time.Duration(rand.Float64()*float64(minRetryAfter)))
}

// promisedWait returns when a request that found no capacity is to return, as choose decides. Where its
// caller does not wait for as long as others do, the wait is random.
func (k *call) promisedWait(choose func(now time.Duration, r admitter.Refused) time.Duration) time.Duration {
	now, maxWait := k.Now(), k.maxWait()
	if maxWait < 2*minRetryAfter {
		return minRetryAfter + time.Duration(rand.Float64()*float64(minRetryAfter))
	}
	return choose(now, admitter.Refused{
		Service: k.service.Name, Rank: k.rankPlace(), MaxWait: maxWait, Left: k.deadline - now, Draw: rand.Float64(),
	})
}

// asked identifies the request among those of this caller and others.
func (k *call) asked() admitter.Asked {
	out := admitter.Asked{Fingerprint: k.fingerprint}
	if left := parseNumber(k.r.Header.Get(k.Headers.DeadlineMs)); left > 0 {
		out.Deadline = k.arrivedAt + time.Duration(left*float64(time.Millisecond))
	}
	return out
}

// maxWait returns for how long the caller waits at most before it returns.
func (k *call) maxWait() time.Duration {
	return time.Duration(float64(k.deadline-k.Now()) * maxWaitFraction)
}

// rankPlace returns the place of the request's rank among those of the service; 0 is the most urgent.
func (k *call) rankPlace() int {
	out, _ := slices.BinarySearch(k.ranks(), k.rank)
	return out
}

// refuseRepeat refuses a request that this host asked to return later and that comes before its time,
// and reports whether it did. It takes no retry from the budget. Callers with equal requests are asked to
// return one after the other.
func (k *call) refuseRepeat() bool {
	if k.ranks() == nil {
		return false
	}
	asked := k.asked()
	if _, early := k.repeats.Remaining(k.Now(), k.service.Name, asked); !early {
		return false
	}
	k.retryAfter = k.promisedWait(func(now time.Duration, r admitter.Refused) time.Duration {
		return k.promises.Spread(now, r, k.repeats.Latest(asked))
	})
	k.repeats.RecordRepeat(asked, k.Now()+k.retryAfter)
	return !k.refuse(admitter.ReasonRepeated, "asked to return later")
}

// recordReturn determines whether the request returns as it was asked to, by this host or another
// one: it has less time left than the route allows, and this host has promised returns with as much
// left for about now. Callers reach other hosts than before, but about as many come as each host promised.
func (k *call) recordReturn() {
	if k.ranks() == nil || k.route.Timeout == 0 || k.route.Timeout-(k.deadline-k.arrivedAt) < minRetryAfter {
		return
	}
	now := k.Now()
	if k.returning, k.excess = k.promises.Return(now, k.service.Name, k.rankPlace(), k.deadline-now); k.returning {
		k.Meter.Returns.WithLabelValues("kept").Inc()
	}
	if k.excess {
		k.Meter.Returns.WithLabelValues("excess").Inc()
	}
}

// recordServed counts a served request for the times at which refused callers may return.
func (k *call) recordServed() {
	if k.ranks() != nil {
		k.promises.RecordServed(k.Now(), k.service.Name)
	}
}
