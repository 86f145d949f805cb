// Package picker chooses routes: which upstreams run which layers of a model for one request. It also
// computes the throughput bound of a configuration.
//
// It does no I/O and reads no clock. The state of the upstreams is passed in as Candidates and the
// random source as an argument, so that policies can be measured in isolation and compared on the
// same seeds.
package picker

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is what a policy knows of an upstream.
type Candidate struct {
	Name       string
	DataCentre string
	// First and Last bound the layer range that it holds, both inclusive.
	First, Last int
	// StepTime is the fixed time of an iteration, LayerTime the time that one layer adds to it for
	// one sequence.
	StepTime, LayerTime time.Duration
	// Batch is the maximum number of sequences in one iteration, at least 1.
	Batch int
	// Sequences is the estimated number of sequences in flight on it, from all hosts.
	Sequences float64
	// OwnSequences is the number of sequences that this host has in flight on it.
	OwnSequences int
	// Slots is the number of sequences that it can hold with tokens still arriving in time.
	Slots float64
	// Excluded is set when it must get no new work.
	Excluded bool
	// Bias raises its cost for this request: the cost is multiplied by 1+Bias.
	Bias float64
	// Preferred is set when it likely has the prefix of the request's prompt in its cache, or when
	// this host has an idle connection to it.
	Preferred bool
}

// Utilisation returns the fraction of slots that are taken. Above 1 tokens arrive late; without
// slots it is infinite.
func (c *Candidate) Utilisation() float64 {
	if c.Slots <= 0 {
		return math.Inf(1)
	}
	return c.Sequences / c.Slots
}

// Rate returns how many tokens per second it carries when it runs n layers for each token in full
// batches.
func (c *Candidate) Rate(n int) float64 {
	iteration := c.StepTime + time.Duration(c.Batch*n)*c.LayerTime
	return float64(c.Batch) / iteration.Seconds()
}

// Requirements is what a request requires of its route.
type Requirements struct {
	// Layers is the number of layers of the model.
	Layers int
	// From is the data centre that the route starts from and returns to; empty means any.
	From string
	// Local restricts the route to upstreams of one data centre.
	Local bool
}

// Hop is one upstream of a route, and the layers that it runs: First to Last, both inclusive.
type Hop struct {
	Upstream    string
	First, Last int
}

// Route is a list of hops that run each layer of a model once, in order.
type Route []Hop

// Covers reports whether the hops run each of the layers 0 to n-1 exactly once, in order.
func (r Route) Covers(n int) bool {
	next := 0
	for _, h := range r {
		if h.First != next || h.Last < h.First {
			return false
		}
		next = h.Last + 1
	}
	return next == n
}

// Links maps pairs of data centres to the one-way latency between them. One direction is enough.
type Links map[[2]string]time.Duration

// Latency returns the one-way latency from a to b, or that from b to a when only that is declared.
// It is 0 within a data centre, for an empty name, and where no link is declared.
func (l Links) Latency(a, b string) time.Duration {
	if a == b || a == "" || b == "" {
		return 0
	}
	if d, ok := l[[2]string{a, b}]; ok {
		return d
	}
	return l[[2]string{b, a}]
}

// Policy chooses routes.
type Policy interface {
	// Pick returns a route over candidates that are neither excluded nor full, or nil when there is
	// none.
	Pick(cands []Candidate, need Requirements, links Links, rnd *rand.Rand) Route
}

// usable reports whether a candidate may get new work: it is neither excluded nor full.
func usable(c *Candidate) bool {
	return !c.Excluded && c.Utilisation() < 1
}
