package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/sardineward/sardineward/gossiper"
)

// TestStartedAtOnce guards against hosts started at once that know only of their pair.
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
				m.setCut(func(from, to string) bool { return pair[from] != pair[to] })
				stop := m.start()
				defer stop()
				m.await(t, 12*period, m.sees(2))
				m.setCut(nil)
				m.await(t, 3*period, func(g *gossiper.Gossiper) bool { return len(g.Live()) == 4 })
			})
		})
	}
}
