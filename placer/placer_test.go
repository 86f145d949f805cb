package placer_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/placer"
)

// model has 80 layers; a typical request takes about 6.5 MB of cache memory in each.
var model = placer.Model{Layers: 80, LayerMB: 1750, TokenMB: 0.007375, TokensPerRequest: 879, StepTime: 1.02, StepTimePerRequest: 0.01}

// cardKind is a kind of accelerator: its memory in MB and the factor on its step time.
type cardKind struct{ mb, pace float64 }

var (
	large = cardKind{72000, 2.4}
	quick = cardKind{14400, 5.3}
	slow  = cardKind{21600, 16}
)

// fleet returns members of three kinds in one data centre.
func fleet(dc string, larges, quicks, slows int) []placer.Member {
	var out []placer.Member
	counts := [3]int{larges, quicks, slows}
	for k, kind := range [3]cardKind{large, quick, slow} {
		for i := range counts[k] {
			out = append(out, placer.Member{ID: fmt.Sprintf("%s-%v-%02d", dc, kind.mb, i), DataCentre: dc, MB: kind.mb, Pace: kind.pace})
		}
	}
	return out
}

// apply carries out moves.
func apply(members []placer.Member, moves []placer.Move) {
	for _, m := range moves {
		for i := range members {
			if members[i].ID == m.ID {
				members[i].Held = m.Span
			}
		}
	}
}

// countHolders counts the reachable holders of each layer in a data centre; "" means all.
func countHolders(members []placer.Member, dc string) []int {
	out := make([]int, model.Layers)
	for _, x := range members {
		if x.Unreachable || (dc != "" && x.DataCentre != dc) {
			continue
		}
		for l := x.Held.From; l < x.Held.To; l++ {
			out[l]++
		}
	}
	return out
}

func assertCovered(t *testing.T, members []placer.Member, dc string) {
	t.Helper()
	for l, n := range countHolders(members, dc) {
		if n == 0 {
			t.Fatalf("no member in %q holds layer %d", dc, l)
		}
	}
}

func assertFits(t *testing.T, members []placer.Member) {
	t.Helper()
	for _, x := range members {
		if float64(x.Held.Len())*model.LayerMB > x.MB {
			t.Fatalf("%s with %.0f MB holds %d layers", x.ID, x.MB, x.Held.Len())
		}
	}
}

func TestLayout(t *testing.T) {
	for _, tc := range [][3]int{{1, 6, 6}, {1, 10, 4}, {2, 4, 4}, {3, 14, 16}, {0, 0, 12}, {0, 16, 0}, {4, 0, 0}, {0, 10, 10}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			members := fleet("a", tc[0], tc[1], tc[2])
			apply(members, placer.Plan(model, members))
			assertCovered(t, members, "a")
			assertFits(t, members)
			is.New(t).Equal(len(placer.Plan(model, members)), 0) // settled
		})
	}
}

// maxArrivalRate returns the highest sustainable rate of arrivals: the requests that fit into
// cache memory at once, over the time of each when all of them are in the batches.
func maxArrivalRate(members []placer.Member) float64 {
	holders := countHolders(members, "")
	concurrency, t0, t1 := 1e9, 0.0, 0.0
	for _, x := range members {
		if x.Held.Len() == 0 {
			continue
		}
		share := 0.0
		for l := x.Held.From; l < x.Held.To; l++ {
			share = max(share, 1/float64(holders[l]))
		}
		room := (x.MB - float64(x.Held.Len())*model.LayerMB) / model.TokenMB / float64(x.Held.Len()) / model.TokensPerRequest
		concurrency = min(concurrency, room/share)
		part := x.Pace * float64(x.Held.Len()) / float64(model.Layers) * share
		t0 += part * model.StepTime
		t1 += part * share * model.StepTimePerRequest
	}
	return concurrency / (t0 + t1*concurrency)
}

// TestFasterThanFixedLayout guards against a layout in which slow members delay every answer.
func TestFasterThanFixedLayout(t *testing.T) {
	for _, tc := range [][3]int{{1, 6, 6}, {1, 10, 4}, {2, 4, 4}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			members := fleet("a", tc[0], tc[1], tc[2])
			apply(members, placer.Plan(model, members))
			fixed := fleet("a", tc[0], tc[1], tc[2])
			at := 0
			for i := range fixed {
				n := map[float64]int{large.mb: 28, quick.mb: 5, slow.mb: 8}[fixed[i].MB]
				at = min(at, model.Layers-n)
				fixed[i].Held = placer.Span{From: at, To: at + n}
				if at += n; at == model.Layers {
					at = 0
				}
			}
			got, base := maxArrivalRate(members), maxArrivalRate(fixed)
			t.Logf("%.2f requests per unit of time, %.2f with the fixed layout", got, base)
			is.New(t).True(got > base)
		})
	}
}

// TestLost guards against layers of a member lost for good that stay without a holder, or that
// move more members than the empty replacement or those whose layers have other holders.
func TestLost(t *testing.T) {
	members := fleet("a", 1, 6, 6)
	apply(members, placer.Plan(model, members))
	for lost := range members {
		t.Run(members[lost].ID, func(t *testing.T) {
			is := is.New(t)
			left := append(append([]placer.Member{}, members[:lost]...), members[lost+1:]...)
			moves := placer.Plan(model, left)
			apply(left, moves)
			is.True(len(moves) <= 3)
			assertFits(t, left)
			assertCovered(t, left, "a")
		})
		t.Run(members[lost].ID+" replaced", func(t *testing.T) {
			is := is.New(t)
			replaced := append([]placer.Member{}, members...)
			replaced[lost].Held = placer.Span{}
			moves := placer.Plan(model, replaced)
			if members[lost].Held.Len() > 0 && len(moves) > 0 {
				is.Equal(len(moves), 1)
				is.Equal(moves[0].ID, members[lost].ID)
			}
			apply(replaced, moves)
			assertCovered(t, replaced, "a")
		})
	}
}

// TestUnreachableMemberKept guards against moving members into the place of an upstream that
// crashed and is back in seconds, which would cost the moved members their own requests.
func TestUnreachableMemberKept(t *testing.T) {
	members := fleet("a", 1, 6, 6)
	apply(members, placer.Plan(model, members))
	members[3].Unreachable = true
	is.New(t).Equal(len(placer.Plan(model, members)), 0)
}

// TestNoSecondOrderWhilePending guards against a second and a third member that give up their
// layers for a lost span while the first one ordered to take it is still draining.
func TestNoSecondOrderWhilePending(t *testing.T) {
	is := is.New(t)
	members := fleet("a", 1, 6, 6)
	apply(members, placer.Plan(model, members))
	members = members[1:]
	first := placer.Plan(model, members)
	is.True(len(first) > 0)
	apply(members, first)
	for i := range members {
		for _, m := range first {
			members[i].Pending = members[i].Pending || members[i].ID == m.ID
		}
	}
	is.Equal(len(placer.Plan(model, members)), 0)
}

// TestPartitionedDataCentre guards against members that move into the gaps of another data
// centre when it is cut off and the list entries of its members expire one after the other.
func TestPartitionedDataCentre(t *testing.T) {
	is := is.New(t)
	members := append(fleet("a", 1, 6, 6), fleet("b", 1, 10, 4)...)
	apply(members, placer.Plan(model, members))
	var left []placer.Member
	for i, x := range members {
		if x.DataCentre == "b" || i%3 != 0 {
			left = append(left, x)
		}
	}
	for _, m := range placer.Plan(model, left) {
		is.Equal(m.ID[:1], "a") // only within its own data centre
	}
}

// TestModelAcrossDataCentres checks that a data centre with too few accelerators for a model
// holds it together with another one.
func TestModelAcrossDataCentres(t *testing.T) {
	members := append(fleet("a", 0, 2, 1), fleet("b", 1, 8, 6)...)
	apply(members, placer.Plan(model, members))
	assertCovered(t, members, "")
	assertFits(t, members)
}

// TestAddedMemberWaits guards against orders to an added empty member while the member that it
// replaces may still drain. After that it goes where the layers take the longest step time.
func TestAddedMemberWaits(t *testing.T) {
	is := is.New(t)
	members := fleet("a", 1, 6, 6)
	apply(members, placer.Plan(model, members))
	members = append(members, placer.Member{ID: "new", DataCentre: "a", MB: quick.mb, Pace: quick.pace, EmptyFor: time.Second})
	is.Equal(len(placer.Plan(model, members)), 0)
	members[len(members)-1].EmptyFor = 9 * time.Second
	moves := placer.Plan(model, members)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].ID, "new")
}

// TestRandomFleets guards against overfilled members, and against lost layers without a holder
// while the rest can hold the model, in random sequences of crashes, returns and losses.
func TestRandomFleets(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			members := fleet("a", 1+r.IntN(4), 4+r.IntN(12), 4+r.IntN(12))
			apply(members, placer.Plan(model, members))
			assertCovered(t, members, "a")
			for range 10 {
				i := r.IntN(len(members))
				switch r.IntN(3) {
				case 0:
					members[i].Held = placer.Span{}
				case 1:
					members[i].Unreachable = !members[i].Unreachable
				default:
					members[i].Pending = !members[i].Pending
				}
				apply(members, placer.Plan(model, members))
				assertFits(t, members)
			}
			for i := range members {
				members[i].Unreachable, members[i].Pending = false, false
			}
			apply(members, placer.Plan(model, members))
			assertCovered(t, members, "a")
		})
	}
}

// TestGapSplitEvenly guards against a gap of which one member takes all that fits, which leaves
// it cache memory for few requests, while the next member takes a single layer.
func TestGapSplitEvenly(t *testing.T) {
	is := is.New(t)
	members := fleet("a", 2, 0, 30)
	at := 0
	for i := range members[2:] {
		x := &members[2+i]
		x.Held = placer.Span{From: min(at, 60), To: min(at, 60) + 8}
		if at += 8; at > 64 {
			at = 0
		}
	}
	members = members[2:] // both that held the last twelve layers are lost
	moves := placer.Plan(model, members)
	apply(members, moves)
	assertCovered(t, members, "a")
	for _, m := range moves {
		is.True(m.Span.Len() <= 6)
	}
}

// TestLargeGroup guards against a large data centre in which nearly all members hold the same
// few layers.
func TestLargeGroup(t *testing.T) {
	minHolders := func(members []placer.Member) int {
		apply(members, placer.Plan(model, members))
		return slices.Min(countHolders(members, "a"))
	}
	one := minHolders(fleet("a", 4, 20, 16))
	for _, n := range []int{3, 8, 25} {
		t.Run(fmt.Sprint(40*n, " members"), func(t *testing.T) {
			is := is.New(t)
			members := fleet("a", 4*n, 20*n, 16*n)
			is.True(minHolders(members) >= n*one)
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{38, 93, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			members := fleet("a", size/10, size/2, size-size/10-size/2)
			for b.Loop() {
				placer.Plan(model, members)
			}
		})
	}
}
