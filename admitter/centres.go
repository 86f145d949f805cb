package admitter

import (
	"slices"
	"sync"
)

// StreamLimiters limits the streams that a host has in flight over the upstreams of each data centre.
// Streams may be late over one data centre, where upstreams were lost or are slow, while another has
// capacity for them in time. It is safe for concurrent use; the zero value is ready to use.
type StreamLimiters struct {
	mu           sync.Mutex
	byDataCentre map[string]*StreamLimiter
}

// Get returns the limit on the streams over a data centre.
func (l *StreamLimiters) Get(dataCentre string) *StreamLimiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := l.byDataCentre[dataCentre]
	if out == nil {
		if l.byDataCentre == nil {
			l.byDataCentre = make(map[string]*StreamLimiter)
		}
		out = new(StreamLimiter)
		l.byDataCentre[dataCentre] = out
	}
	return out
}

// Full returns the data centres that have no place for a stream that leaves a share of the limit, from
// 0 to 1, to more urgent ones, sorted.
func (l *StreamLimiters) Full(free float64) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for dc, one := range l.byDataCentre {
		if !one.Admits(free) {
			out = append(out, dc)
		}
	}
	slices.Sort(out)
	return out
}
