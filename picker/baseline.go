package picker

import "math/rand/v2"

// The policies here are baselines that Cheapest is measured against. Each builds a route greedily
// from layer 0: it takes one of the upstreams that hold the next layer and runs every layer that
// this upstream holds from there on.

// Random takes an eligible upstream at random.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(cands []Candidate, need Requirements, _ Links, rnd *rand.Rand) Route {
	return greedyRoute(cands, need, func(eligible []*Candidate) *Candidate {
		return eligible[rnd.IntN(len(eligible))]
	})
}

// RoundRobin takes the eligible upstreams in turn. It is not safe for concurrent use.
type RoundRobin struct {
	// Choices is the number of choices so far.
	Choices int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(cands []Candidate, need Requirements, _ Links, _ *rand.Rand) Route {
	return greedyRoute(cands, need, func(eligible []*Candidate) *Candidate {
		p.Choices++
		return eligible[p.Choices%len(eligible)]
	})
}

// LeastInFlight takes the eligible upstream on which this host itself has the fewest sequences.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(cands []Candidate, need Requirements, _ Links, _ *rand.Rand) Route {
	return greedyRoute(cands, need, func(eligible []*Candidate) *Candidate {
		best := eligible[0]
		for _, c := range eligible[1:] {
			if c.OwnSequences < best.OwnSequences {
				best = c
			}
		}
		return best
	})
}

// TwoChoices draws two eligible upstreams at random, possibly the same one twice, and takes the less
// utilised.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(cands []Candidate, need Requirements, _ Links, rnd *rand.Rand) Route {
	return greedyRoute(cands, need, func(eligible []*Candidate) *Candidate {
		a, b := eligible[rnd.IntN(len(eligible))], eligible[rnd.IntN(len(eligible))]
		if b.Utilisation() < a.Utilisation() {
			return b
		}
		return a
	})
}

// greedyRoute builds a route from layer 0 on, with choose picking among the usable upstreams that
// hold the next layer. It returns nil when no upstream is usable for a layer.
func greedyRoute(cands []Candidate, need Requirements, choose func([]*Candidate) *Candidate) Route {
	var route Route
	eligible := make([]*Candidate, 0, len(cands))
	for next := 0; next < need.Layers; {
		eligible = eligible[:0]
		for i := range cands {
			c := &cands[i]
			if c.First <= next && next <= c.Last && usable(c) {
				eligible = append(eligible, c)
			}
		}
		if len(eligible) == 0 {
			return nil
		}
		c := choose(eligible)
		route = append(route, Hop{c.Name, next, min(c.Last, need.Layers-1)})
		next = c.Last + 1
	}
	return route
}
