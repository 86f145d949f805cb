package picker

import "math/rand/v2"

// The policies here are baselines to measure against. Each goes through the
// layers from the first on, takes one of the upstreams that hold the next
// layer, and runs all it holds from there.

// Random takes any.
type Random struct{}

// Pick implements Policy.
func (Random) Pick(cands []Candidate, need Need, _ Links, rnd *rand.Rand) Route {
	return walk(cands, need, func(open []*Candidate) *Candidate {
		return open[rnd.IntN(len(open))]
	})
}

// RoundRobin takes each in turn. Turn must not be shared between goroutines.
type RoundRobin struct {
	// Turn counts the choices so far.
	Turn int
}

// Pick implements Policy.
func (p *RoundRobin) Pick(cands []Candidate, need Need, _ Links, _ *rand.Rand) Route {
	return walk(cands, need, func(open []*Candidate) *Candidate {
		p.Turn++
		return open[p.Turn%len(open)]
	})
}

// LeastInFlight takes the one with the fewest sequences of this host's own.
type LeastInFlight struct{}

// Pick implements Policy.
func (LeastInFlight) Pick(cands []Candidate, need Need, _ Links, _ *rand.Rand) Route {
	return walk(cands, need, func(open []*Candidate) *Candidate {
		best := open[0]
		for _, c := range open[1:] {
			if c.Own < best.Own {
				best = c
			}
		}
		return best
	})
}

// TwoChoices draws two and takes the less utilised.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(cands []Candidate, need Need, _ Links, rnd *rand.Rand) Route {
	return walk(cands, need, func(open []*Candidate) *Candidate {
		a, b := open[rnd.IntN(len(open))], open[rnd.IntN(len(open))]
		if b.Utilisation() < a.Utilisation() {
			return b
		}
		return a
	})
}

func walk(cands []Candidate, need Need, choose func([]*Candidate) *Candidate) Route {
	var route Route
	open := make([]*Candidate, 0, len(cands))
	for next := 0; next < need.Layers; {
		open = open[:0]
		for i := range cands {
			c := &cands[i]
			if c.First <= next && next <= c.Last && usable(c) {
				open = append(open, c)
			}
		}
		if len(open) == 0 {
			return nil
		}
		c := choose(open)
		route = append(route, Hop{c.Name, next, min(c.Last, need.Layers-1)})
		next = c.Last + 1
	}
	return route
}
