package forwarder

import "slices"

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
	if out := k.table.Ranks(k.service.Name); len(out) > 1 {
		return out
	}
	return nil
}
