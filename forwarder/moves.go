package forwarder

import (
	"sync"

	"github.com/sardineward/sardineward/balancer"
)

// moves makes the changes of one stream's path one at a time. Several upstreams of a
// path are mostly lost together; each would have the path changed for itself, and the
// new holders would read what the stream has so far once for each.
type moves struct {
	mu   sync.Mutex
	busy bool
	// lost are upstreams that were found lost while the path was being changed.
	lost []balancer.Hop
}

// begin reports whether the path is to be changed now. Else it is being changed, and
// end tells of the upstream.
func (m *moves) begin(lost balancer.Hop) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy {
		m.lost = append(m.lost, lost)
		return false
	}
	m.busy = true
	return true
}

// end returns an upstream that was lost meanwhile and that the path still has, for
// which it is to be changed again; false when there is none.
func (m *moves) end(path []balancer.Hop) (balancer.Hop, bool) {
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
	m.busy = false
	return balancer.Hop{}, false
}
