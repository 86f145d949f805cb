package faker

import (
	"slices"
	"time"
)

// RetryRule bounds the retries of a service over all hosts, as upstreams count them.
type RetryRule struct {
	// Length is the length of a window.
	Length time.Duration
	// Ratio is the number of retries that each request allows, Fixed the number in a window beyond that.
	Ratio, Fixed float64
}

// RetryWindow is what was counted in one window.
type RetryWindow struct {
	// Start is the time of the first retry in the window.
	Start time.Duration
	// Retries are the arrivals beyond the first of each request, Requests the requests that count.
	Retries, Requests int
	Allowed           float64
}

// Used returns the retries as a share of what is allowed.
func (w RetryWindow) Used() float64 { return float64(w.Retries) / w.Allowed }

// Worst returns the window with the highest share of what is allowed; its Retries are 0 where there are
// none. Of each window count the requests in it, in the window before it or in the one that begins half a
// window before it, whichever are most. The times may be in any order.
func (r RetryRule) Worst(requests, retries []time.Duration) RetryWindow {
	requests, retries = slices.Sorted(slices.Values(requests)), slices.Sorted(slices.Values(retries))
	worst := RetryWindow{Allowed: r.Fixed}
	for i, start := range retries {
		w := RetryWindow{Start: start, Retries: countUntil(retries, start+r.Length) - i}
		for _, from := range []time.Duration{start - r.Length, start - r.Length/2, start} {
			w.Requests = max(w.Requests, countUntil(requests, from+r.Length)-countUntil(requests, from))
		}
		w.Allowed = r.Ratio*float64(w.Requests) + r.Fixed
		if w.Used() > worst.Used() {
			worst = w
		}
	}
	return worst
}

// countUntil returns how many of the sorted times are before at.
func countUntil(times []time.Duration, at time.Duration) int {
	n, _ := slices.BinarySearch(times, at)
	return n
}
