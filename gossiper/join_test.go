package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/sardineward/sardineward/gossiper"
)

// TestStartedAtOnce checks that hosts which start at once and first reach only the other host
// of their pair know of all hosts within three periods after the pairs can reach each other.
func TestStartedAtOnce(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(4)
				for i, g := range m.list {
					g.Peers = []string{"host-0", "host-1", "host-2", "host-3"}
					g.Rand = rand.New(rand.NewPCG(seed, uint64(i)))
				}
				pair := map[string]int{"host-0": 0, "host-1": 0, "host-2": 1, "host-3": 1}
				m.setPartition(func(from, to string) bool { return pair[from] != pair[to] })
				stop := m.start()
				defer stop()
				m.awaitAll(t, 12*period, m.seesHosts(2))
				m.setPartition(nil)
				m.awaitAll(t, 3*period, func(g *gossiper.Gossiper) bool { return len(g.Live()) == 4 })
			})
		})
	}
}
