package placer_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/placer"
)

// roomyModel is a model of which the fleets below have memory for several copies.
var roomyModel = placer.Model{Layers: 80, LayerMB: 1750, TokenMB: 0.005325, TokensPerRequest: 844, StepTime: 0.85, StepTimePerRequest: 0.006, Slots: 192}

// assertSurvivesLoss checks that every layer still has a holder after the loss of any member.
func assertSurvivesLoss(t *testing.T, members []placer.Member) {
	t.Helper()
	for i := range members {
		lost := slices.Delete(slices.Clone(members), i, i+1)
		assertCovered(t, lost, "")
	}
}

// TestSurvivesAnyLoss guards against layers with one holder although there is memory for two.
func TestSurvivesAnyLoss(t *testing.T) {
	medium := cardKind{36000, 3.1}
	for _, tc := range [][3]int{{2, 13, 22}, {1, 22, 12}, {4, 9, 14}, {0, 30, 0}, {0, 14, 14}, {6, 0, 30}} {
		t.Run(fmt.Sprint(tc), func(t *testing.T) {
			var members []placer.Member
			for k, kind := range [3]cardKind{medium, slow, {14400, 15}} {
				for i := range tc[k] {
					members = append(members, placer.Member{ID: fmt.Sprint(k, "-", i), DataCentre: "a", MB: kind.mb, Pace: kind.pace})
				}
			}
			apply(members, placer.Plan(roomyModel, members))
			assertFits(t, members)
			assertSurvivesLoss(t, members)
		})
	}
}

// TestEmptyMemberReused guards against an empty member that stays unused until the next loss.
func TestEmptyMemberReused(t *testing.T) {
	is := is.New(t)
	var members []placer.Member
	for i := range 30 {
		members = append(members, placer.Member{ID: fmt.Sprint(i), DataCentre: "a", MB: slow.mb, Pace: slow.pace})
	}
	apply(members, placer.Plan(roomyModel, members))
	members[7].Held = placer.Span{}
	members[7].EmptyFor = time.Second
	moves := placer.Plan(roomyModel, members)
	is.Equal(len(moves), 1)
	is.Equal(moves[0].ID, "7")
	apply(members, moves)
	assertSurvivesLoss(t, members)
}
