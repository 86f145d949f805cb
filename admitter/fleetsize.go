package admitter

import (
	"slices"
	"sync"
	"time"
)

// fleetMemory is how long a FleetSize remembers a number of hosts. It is longer than hosts are usually
// cut off from the store, which removes them from the list while they go on.
const fleetMemory = 10 * time.Minute

// FleetSize remembers the largest number of hosts that was known lately. A host whose entry has
// expired may still serve callers, so a bound that hosts share is divided by the number before. The
// zero value is ready to use; it is safe for concurrent use.
type FleetSize struct {
	mu sync.Mutex
	// seen holds numbers of hosts and when each was last known, the largest first and the latest last.
	seen []fleetObservation
}

type fleetObservation struct {
	hosts int
	at    time.Duration
}

// Observe records the number of hosts known now, with this one.
func (s *FleetSize) Observe(now time.Duration, hosts int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = slices.DeleteFunc(s.seen, func(o fleetObservation) bool { return o.hosts <= hosts || now-o.at > fleetMemory })
	s.seen = append(s.seen, fleetObservation{hosts, now})
}

// Max returns the largest number of hosts of the last ten minutes; at least 1.
func (s *FleetSize) Max(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.seen {
		if now-o.at <= fleetMemory {
			return max(1, o.hosts)
		}
	}
	return 1
}
