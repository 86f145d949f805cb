package balancer

import (
	"slices"
	"time"
)

const (
	// remotePenalty is how many requests in flight a plain upstream in another data centre
	// counts for: the link to it costs traffic and a millisecond, which is better than waiting.
	remotePenalty = 2.0
	// failurePenalty is how many requests in flight an upstream counts for that fails all its
	// requests. It has to outweigh an upstream that is nearly full.
	failurePenalty = 40.0
	// backoffPenalty is how many requests in flight an upstream counts for that has asked another
	// host for a backoff.
	backoffPenalty = 40.0
	// connectedBonus is how many requests in flight a connection that is open already is worth.
	connectedBonus = 0.5
	// maxFullPenalty is how many requests in flight an upstream counts for that has just rejected one
	// for want of capacity, fullMemory the time in which that decays.
	maxFullPenalty = 10.0
	fullMemory     = 3 * time.Second
	// maxLoadAge is how long a load report is used; older ones are ignored.
	maxLoadAge = time.Second
)

// acquirePlain takes the least loaded upstream, judged by its own report and by what this host
// has in flight there.
func (b *Balancer) acquirePlain(now time.Duration, n Requirements) (*Lease, Reason) {
	var best *upstream
	var cost float64
	found := false
	var throttled, withheld []string
	for _, u := range b.subset.used {
		if u.Service != n.Service || !u.reachable(now, n.Avoid) || !n.allowsFirst(u.ID) || slices.Contains(n.AvoidDataCentres, u.DataCentre) {
			continue
		}
		found = true
		if u.withheldFrom(now, &n) {
			withheld = append(withheld, u.ID)
			continue
		}
		if !b.withinLimit(now, u, n.InProgress) {
			throttled = append(throttled, u.ID)
			continue
		}
		if u.leavesTooLittle(now, n.KeepFree) {
			continue
		}
		c := u.estimatedLoad(now) + failurePenalty*u.failureRate + b.Rand.Float64()*0.5
		if b.prefersConnected(&n, u.Address) {
			c -= connectedBonus
		}
		if u.DataCentre != b.DataCentre {
			c += remotePenalty
		}
		c += u.fullPenalty(now)
		if b.othersBackOff(now, u) {
			c += backoffPenalty
		}
		if best == nil || c < cost {
			best, cost = u, c
		}
	}
	b.countThrottled(throttled)
	b.countWithheld(withheld)
	switch {
	case best != nil:
	case len(throttled) > 0:
		return nil, ReasonLimit
	case len(withheld) > 0:
		return nil, ReasonBackoff
	case found:
		return nil, ReasonNoRoom
	default:
		return nil, ReasonNoUpstream
	}
	best.firstHopRequests++
	b.countSent(now, best)
	hop := Hop{ID: best.ID, Address: best.Address}
	l := &Lease{requirements: n, First: hop, StartedAt: best.StartedAt, DataCentre: best.DataCentre, Throttled: throttled, Withheld: withheld, hops: []Hop{hop}}
	b.trackReturning(now, l)
	return l, ReasonNone
}

// RecordFull records that a plain upstream rejected a request for want of capacity, without saying
// for how long.
func (b *Balancer) RecordFull(now time.Duration, id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if u := b.upstreams[id]; u != nil {
		u.fullUntil = now + fullMemory
	}
}

// fullPenalty returns how many requests in flight the upstream counts for beyond its load, because it
// was full a moment ago. It decays to 0.
func (u *upstream) fullPenalty(now time.Duration) float64 {
	return maxFullPenalty * max(0, float64(u.fullUntil-now)) / float64(fullMemory)
}

// estimatedLoad estimates the requests at an upstream, with less weight for older reports.
func (u *upstream) estimatedLoad(now time.Duration) float64 {
	own := float64(u.firstHopRequests)
	if now-u.loadAt > maxLoadAge {
		return own
	}
	weight := 1 - float64(now-u.loadAt)/float64(maxLoadAge)
	return own + weight*max(0, float64(u.load.Running+u.load.Waiting)-own)
}
