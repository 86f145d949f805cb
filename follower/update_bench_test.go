package follower

import (
	"fmt"
	"testing"

	"github.com/sardineward/sardineward/balancer"
)

// BenchmarkUpdate merges, for one peer, the ten updates made while 1,000 upstreams took their first
// layers.
func BenchmarkUpdate(b *testing.B) {
	var h history
	h.add(&Update{Position: Position{Revision: 1}})
	for n := range 10 {
		u := &Update{After: Position{Revision: int64(n + 1)}, Position: Position{Revision: int64(n + 2)}}
		for i := range 1000 {
			u.Listed = append(u.Listed, balancer.Upstream{ID: fmt.Sprint("u", i), Address: fmt.Sprint(i), StartedAt: int64(n)})
		}
		h.add(u)
	}
	b.ReportAllocs()
	for b.Loop() {
		if u := h.updateSince(Position{Revision: 1}, Position{Revision: 11}); len(u.Listed) != 1000 {
			b.Fatal(len(u.Listed))
		}
	}
}
