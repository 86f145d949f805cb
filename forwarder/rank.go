package forwarder

import (
	"slices"
	"strconv"

	"github.com/rs/zerolog"

	"github.com/sardineward/sardineward/admitter"
	"github.com/sardineward/sardineward/balancer"
)

// maxUrgency is the urgency header's value for the least urgent requests; 0 is the most urgent.
const maxUrgency = 9

// urgency returns the value of the urgency header for a rank: the ranks of a service, which are
// ascending, are spread over 0 to maxUrgency in order. Up to ten ranks get values of their own.
func urgency(ranks []int, rank int) int {
	i, _ := slices.BinarySearch(ranks, rank)
	return min(i, len(ranks)-1) * maxUrgency / max(1, len(ranks)-1)
}

// ranks returns the ranks of the request's service; nil where all its requests have the same one.
func (k *call) ranks() []int {
	if k.service == nil {
		return nil
	}
	if out := k.table.Ranks(k.service.Name); len(out) > 1 {
		return out
	}
	return nil
}

// updateKeepFree computes the share of the capacity that the request leaves to more urgent ones.
func (k *call) updateKeepFree() {
	if k.RankReserve == nil || k.ranks() == nil {
		return
	}
	now := k.Now()
	capacity := k.Balancer.Capacity(now, k.service.Name)
	k.keepFree = k.RankReserve.KeepFree(now, k.service.Name, k.admissionRank(), capacity, k.deadline-k.arrivedAt)
	if k.excess && !k.wasInterrupted() {
		k.keepFree = max(k.keepFree, k.RankReserve.KeepFreeForNew(now, k.service.Name, k.rank, capacity))
	}
}

// admissionRank returns the rank that the request is admitted by. One that resumes a stream or was
// interrupted goes before new ones of its rank: it is admitted by the next more urgent rank.
func (k *call) admissionRank() int {
	ranks := k.ranks()
	i, _ := slices.BinarySearch(ranks, k.rank)
	if i > 0 && k.wasInterrupted() {
		return ranks[i-1]
	}
	return k.rank
}

// wasInterrupted reports whether the request ran before or resumes a stream.
func (k *call) wasInterrupted() bool {
	return k.runs > 0 || k.lastEventID.text != ""
}

// recordShortage records that the request found no capacity. Less urgent requests leave nothing to
// callers that return beyond what was promised.
func (k *call) recordShortage() {
	if k.RankReserve != nil && k.ranks() != nil && !k.excess {
		k.RankReserve.RecordRefused(k.Now(), k.service.Name, k.rank)
	}
}

// recordRankAdmitted records that the request got capacity.
func (k *call) recordRankAdmitted() {
	k.leasedAt = k.Now()
	if k.RankReserve != nil && k.ranks() != nil {
		k.RankReserve.RecordAdmitted(k.leasedAt, k.service.Name, k.rank)
	}
}

// release frees the capacity of a lease.
func (k *call) release(l *balancer.Lease) {
	k.Balancer.Release(l)
	if now := k.Now(); k.RankReserve != nil && k.ranks() != nil {
		k.RankReserve.RecordReleased(now, k.service.Name, now-k.leasedAt)
	}
}

// recordRankRefusal counts a refusal by rank and adds the rank's part in it to the log line.
func (k *call) recordRankRefusal(event *zerolog.Event, reason admitter.Reason) {
	if k.ranks() == nil {
		return
	}
	k.Meter.RankRefusals.WithLabelValues(strconv.Itoa(k.rank), reason.String()).Inc()
	event.Int("rank", k.rank).Float64("keepFree", k.keepFree).Bool("returning", k.returning).Bool("excess", k.excess)
}
