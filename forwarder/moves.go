package forwarder

import (
	"sync"

	"github.com/sardineward/sardineward/balancer"
)

// pathChanges serializes the changes of one stream's path. Upstreams of a path often fail
// together; with one change for each, their replacements would process the tokens so far once for
// every change.
type pathChanges struct {
	mu         sync.Mutex
	inProgress bool
	// lost queues the upstreams that failed while the path was being changed.
	lost []balancer.Hop
}

// begin reports whether the caller is to change the path now. Otherwise a change is in progress,
// and end returns the lost upstream when it is done.
func (m *pathChanges) begin(lost balancer.Hop) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inProgress {
		m.lost = append(m.lost, lost)
		return false
	}
	m.inProgress = true
	return true
}

// end finishes a change. It returns the next upstream that was lost meanwhile and is still on the
// path, for which the path is to be changed again, or false when there is none.
func (m *pathChanges) end(path []balancer.Hop) (balancer.Hop, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.lost) > 0 {
		next := m.lost[0]
		m.lost = m.lost[1:]
		for _, h := range path {
			if h.ID == next.ID {
				return next, true
			}
		}
	}
	m.inProgress = false
	return balancer.Hop{}, false
}
