package balancer_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/balancer"
)

// TestDeadRotation guards against connection attempts into a partition that grow with the
// number of hosts times the number of upstreams.
func TestDeadRotation(t *testing.T) {
	is := is.New(t)
	const unreachable, maxPerTurn = 33, 4
	b := newBalancer()
	var list []balancer.Upstream
	for i := range unreachable {
		list = append(list, balancer.Upstream{ID: fmt.Sprint("c", i), Service: "model", Address: fmt.Sprint("c", i), DataCentre: "c"})
	}
	b.UpdateUpstreams(list, nil)
	for i := range unreachable {
		is.True(b.SetDead(0, fmt.Sprint("c", i), true))
	}
	is.True(b.SetDead(0, "a1", true))
	seen := make(map[string]int)
	const turns = (unreachable + maxPerTurn - 1) / maxPerTurn
	for turn := range turns {
		dead := b.DeadUpstreams(turn, maxPerTurn)
		is.Equal(len(dead), maxPerTurn+1)
		for _, h := range dead {
			seen[h.ID]++
		}
	}
	is.Equal(len(seen), unreachable+1)
	is.Equal(seen["a1"], turns)
	is.Equal(len(b.DeadInSameDataCentre("c0")), unreachable-1)
	is.Equal(len(b.DeadInSameDataCentre("a1")), 0)
}
