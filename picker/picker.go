// Package picker chooses routes: which upstreams run which layers of a model
// for one request. It also computes the throughput bound of a configuration.
//
// It does no I/O and reads no clock. What is known of the upstreams comes in as
// Candidates, randomness as a field, so a policy can be measured alone and one
// policy run against another on the same seeds.
package picker

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is an upstream as a policy sees it.
type Candidate struct {
	Name       string
	DataCentre string
	// First and Last are the layers it holds, both included.
	First, Last int
	// Step is the fixed time of an iteration, Layer the time of one layer for
	// one sequence.
	Step, Layer time.Duration
	// Batch is the most sequences in one iteration, at least 1.
	Batch int
	// Sequences is how many sequences it is thought to hold, over all hosts.
	Sequences float64
	// Own is how many of them are this host's.
	Own int
	// Slots is how many it may hold so that tokens come in time.
	Slots float64
	// Excluded keeps new work off it.
	Excluded bool
	// Bias makes it dearer to this request: its cost is times 1+Bias.
	Bias float64
	// Preferred marks where the request's prompt prefix is likely cached.
	Preferred bool
}

// Utilisation is the part of its slots that is taken; above 1 tokens are late.
func (c *Candidate) Utilisation() float64 {
	if c.Slots <= 0 {
		return math.Inf(1)
	}
	return c.Sequences / c.Slots
}

// Rate is how many tokens a second it carries when it runs n layers of each.
func (c *Candidate) Rate(n int) float64 {
	iteration := c.Step + time.Duration(c.Batch*n)*c.Layer
	return float64(c.Batch) / iteration.Seconds()
}

// Need is what a request asks of a route.
type Need struct {
	// Layers is how many the model has.
	Layers int
	// From is the data centre the route starts and ends at; empty means any.
	From string
	// Local keeps the route in one data centre.
	Local bool
}

// Hop is one upstream of a route and the layers it runs, both included.
type Hop struct {
	Upstream    string
	First, Last int
}

// Route is hops that tile a model's layers in order.
type Route []Hop

// Tiles reports whether the hops run layers 0 to n-1 once each, in order.
func (r Route) Tiles(n int) bool {
	next := 0
	for _, h := range r {
		if h.First != next || h.Last < h.First {
			return false
		}
		next = h.Last + 1
	}
	return next == n
}

// Links gives the one-way latency between data centres.
type Links map[[2]string]time.Duration

// Latency is 0 within a data centre and where no link is declared.
func (l Links) Latency(a, b string) time.Duration {
	if a == b || a == "" || b == "" {
		return 0
	}
	if d, ok := l[[2]string{a, b}]; ok {
		return d
	}
	return l[[2]string{b, a}]
}

// Policy chooses a route over candidates that are not excluded and not full.
// It returns nil when there is none.
type Policy interface {
	Pick(cands []Candidate, need Need, links Links, rnd *rand.Rand) Route
}

// usable reports whether new work may go to a candidate.
func usable(c *Candidate) bool {
	return !c.Excluded && c.Utilisation() < 1
}
