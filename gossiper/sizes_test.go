package gossiper_test

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sardineward/sardineward/gossiper"
	"github.com/sardineward/sardineward/peer"
)

var large = flag.Bool("large", false, "measure the mesh at the sizes of docs/CAPACITY.md")

func meshSizes() []int {
	if *large {
		return []int{4, 50, 200, 400, 800, 1600}
	}
	return []int{4, 50}
}

// cpuTime returns the CPU time that this process has used, user and system; 0 on an error.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// TestMergeOrder checks that hosts converge to the same state whatever the order in which
// items arrive, and however often.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(drawItem), 1, 30).Draw(t, "items")
		order := rapid.Permutation(items).Draw(t, "order")
		now := time.UnixMilli(0)
		a, b := gossiper.NewState(), gossiper.NewState()
		a.Merge(now, items, true)
		b.Merge(now, order, true)
		b.Merge(now, items, false)
		for i, h := range a.Digest() {
			if b.Digest()[i] != h {
				t.Fatalf("digests of the two states differ")
			}
		}
		if d := a.DifferingItems(b.Digest(), 0, 1<<20); len(d) != 0 {
			t.Fatalf("states differ in items %v", d)
		}
	})
}

func drawItem(t *rapid.T) *peer.Item {
	return &peer.Item{
		Kind:        peer.ItemKind(rapid.Int32Range(1, 5).Draw(t, "kind")),
		Key:         rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"),
		Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
		State:       rapid.Int32Range(0, 3).Draw(t, "state"),
		Expires:     rapid.Int64Range(0, 3).Draw(t, "expires") * 1000,
	}
}

// stateWithHosts returns a state that holds n live hosts.
func stateWithHosts(n int) *gossiper.State {
	s := gossiper.NewState()
	for i := range n {
		s.Merge(time.Now(), []*peer.Item{{
			Kind: peer.ItemKind_ITEM_KIND_HOST, Key: fmt.Sprint("host-", i), Incarnation: time.Now().UnixMilli(), State: int32(gossiper.HostAlive),
			Host: &peer.Host{Address: "10.100.100.100:8081", DataCentre: "sfax-north", Region: "sahel"},
		}}, true)
	}
	return s
}

// BenchmarkState measures the cost of holding n hosts: memory and time per host, and the bytes
// that a joining host fetches.
func BenchmarkState(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 3200, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			var s *gossiper.State
			for b.Loop() {
				s = stateWithHosts(n)
			}
			bytes := 0
			for from := 0; ; {
				items, more := s.Page(from, 64<<10)
				for _, it := range items {
					bytes += len(it.Key) + len(it.Host.Address) + len(it.Host.DataCentre) + len(it.Host.Region) + 20
				}
				from += len(items)
				if !more {
					break
				}
			}
			b.ReportMetric(float64(bytes), "joinB")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/host")
		})
	}
}

// BenchmarkOwns measures how long Owns takes with n live hosts.
func BenchmarkOwns(b *testing.B) {
	for _, n := range []int{10, 100, 400, 3200} {
		m := newMesh(1)
		g := m.list[0]
		for _, it := range stateWithHosts(n).All(peer.ItemKind_ITEM_KIND_HOST) {
			g.Publish(false, it)
		}
		keys := make([]string, 1000)
		for i := range keys {
			keys[i] = fmt.Sprint("probe/upstream-", i)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				g.Owns(keys[i%len(keys)], "", 2)
			}
		})
	}
}

// BenchmarkDigest measures the state's part of one exchange between hosts that agree.
func BenchmarkDigest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		s := stateWithHosts(n)
		digest := s.Digest()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				s.DifferingItems(digest, 0, 1200)
				s.Digest()
			}
		})
	}
}
