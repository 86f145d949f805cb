package admitter

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardineward/sardineward/aggregator"
)

const (
	// demandTime is the time constant of the rates. They vary as much as those of a window of one
	// second, and have no steps.
	demandTime = 500 * time.Millisecond
	// maxDemandKeys bounds the keys that a host counts itself. minDemand is the rate in requests a
	// second below which a key is not counted.
	maxDemandKeys = 256
	minDemand     = 1.0 / demandSteps
	// demandSteps is the number of steps of a rate in a report for each request a second. Sums of
	// multiples of a power of two are exact, so that sums of reports do not drift.
	demandSteps = 64
	// maxDemandAge is how long a report counts; balancer uses its reports for as long.
	maxDemandAge = 1500 * time.Millisecond
	// demandTotalAge is how long the totals over all hosts are used before they are added up again.
	demandTotalAge = 20 * time.Millisecond
)

// OtherWorkspaces is the workspace of the key that joins the least used keys of a service and rank.
const OtherWorkspaces = "*"

// DemandKey is what demand is counted by.
type DemandKey struct {
	Service string
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank      int
	Workspace string
}

// compare orders keys by service, rank and workspace.
func (k DemandKey) compare(other DemandKey) int {
	return cmp.Or(strings.Compare(k.Service, other.Service), cmp.Compare(k.Rank, other.Rank), strings.Compare(k.Workspace, other.Workspace))
}

// Demand is what one or more hosts were asked for and admitted of it, in requests a second.
type Demand struct {
	DemandKey
	Arrivals, Admitted float64
	// Lacked is what was refused for lack of capacity.
	Lacked float64
}

// demandRate is the rates of a Demand.
type demandRate struct{ arrivals, admitted, lacked float64 }

// Plus implements aggregator.Value.
func (r demandRate) Plus(other demandRate) demandRate {
	return demandRate{r.arrivals + other.arrivals, r.admitted + other.admitted, r.lacked + other.lacked}
}

// Minus implements aggregator.Value.
func (r demandRate) Minus(other demandRate) demandRate {
	return demandRate{r.arrivals - other.arrivals, r.admitted - other.admitted, r.lacked - other.lacked}
}

// rounded returns the rates in whole steps.
func (r demandRate) rounded() demandRate {
	round := func(v float64) float64 { return math.Round(v*demandSteps) / demandSteps }
	return demandRate{round(r.arrivals), round(r.admitted), round(r.lacked)}
}

// demandCounter is this host's rates of a key, as of at.
type demandCounter struct {
	demandRate
	at time.Duration
	// credit is the part of a request that the workspace's share allows, see TakeShare.
	credit float64
}

// advance brings the rates to now.
func (c *demandCounter) advance(now time.Duration) {
	if now <= c.at {
		return
	}
	decay := math.Exp(-(now - c.at).Seconds() / demandTime.Seconds())
	c.arrivals *= decay
	c.admitted *= decay
	c.lacked *= decay
	c.at = now
}

// Demands counts this host's demand and keeps the reports of others. It is safe for concurrent use;
// its exported fields are set before use.
type Demands struct {
	// Hosts returns the number of all hosts, this one included; nil means 1. Hosts that no report
	// covers are taken to have as much demand as the mean of the others.
	Hosts func() int

	mu       sync.Mutex
	own      map[DemandKey]*demandCounter
	reported aggregator.Aggregator[DemandKey, demandRate]
	// latest holds the same reports for longer. shares is worked out from it.
	latest aggregator.Aggregator[DemandKey, demandRate]
	shares map[rankKey]*rankShares
	// totals is the demand over all hosts as of totalsAt; nil when it is to be added up again.
	totals   []Demand
	totalsAt time.Duration
}

// RecordArrival counts a request that arrived at this host.
func (d *Demands) RecordArrival(now time.Duration, key DemandKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.counter(now, key); c != nil {
		c.arrivals += 1 / demandTime.Seconds()
	}
}

// RecordAdmitted counts a request that this host sends on. Its arrival was counted before.
func (d *Demands) RecordAdmitted(now time.Duration, key DemandKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c := d.counter(now, key); c != nil {
		c.admitted += 1 / demandTime.Seconds()
	}
}

// MoreUrgent returns the arrivals a second over all hosts that are more urgent than a rank.
func (d *Demands) MoreUrgent(now time.Duration, service string, rank int) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := 0.0
	for _, one := range d.total(now) {
		if one.Service == service && one.Rank < rank {
			out += one.Arrivals
		}
	}
	return out
}

// Total returns the demand over all hosts, sorted by key.
func (d *Demands) Total(now time.Duration) []Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.total(now))
}

// counter returns the counter of a key as of now, or nil where there is no room for a new one.
func (d *Demands) counter(now time.Duration, key DemandKey) *demandCounter {
	c := d.own[key]
	if c == nil {
		if len(d.own) >= maxDemandKeys {
			d.joinLeast(now)
		}
		if len(d.own) >= maxDemandKeys {
			return nil
		}
		if d.own == nil {
			d.own = make(map[DemandKey]*demandCounter)
		}
		c = &demandCounter{at: now}
		d.own[key] = c
	}
	c.advance(now)
	return c
}

// joinLeast makes room for further keys: it joins the least used quarter, so that keys are not
// sorted for each new one.
func (d *Demands) joinLeast(now time.Duration) {
	list := d.ownDemand(now)
	sortByArrivals(list)
	clear(d.own)
	for _, one := range joinRest(list, maxDemandKeys*3/4) {
		if one.Arrivals < minDemand && one.Admitted < minDemand {
			continue
		}
		d.own[one.DemandKey] = &demandCounter{demandRate: demandRate{one.Arrivals, one.Admitted, one.Lacked}, at: now}
	}
}

// ownDemand returns this host's demand, in no order.
func (d *Demands) ownDemand(now time.Duration) []Demand {
	out := make([]Demand, 0, len(d.own))
	for key, c := range d.own {
		c.advance(now)
		out = append(out, Demand{key, c.arrivals, c.admitted, c.lacked})
	}
	return out
}

// total returns the demand over all hosts, sorted by key.
func (d *Demands) total(now time.Duration) []Demand {
	if d.totals != nil && now-d.totalsAt < demandTotalAge {
		return d.totals
	}
	d.reported.Expire(now, maxDemandAge)
	out := d.sum(now, &d.reported)
	slices.SortFunc(out, func(a, b Demand) int { return a.compare(b.DemandKey) })
	d.totals, d.totalsAt = out, now
	return out
}

// sum adds this host's demand to reports, and scales the sum to all hosts. It is in no order.
func (d *Demands) sum(now time.Duration, reports *aggregator.Aggregator[DemandKey, demandRate]) []Demand {
	sums := make(map[DemandKey]demandRate, len(d.own))
	for key, r := range reports.Sums() {
		sums[key] = r
	}
	for key, c := range d.own {
		c.advance(now)
		sums[key] = sums[key].Plus(c.demandRate)
	}
	known, all := 1+reports.Hosts(), 1
	if d.Hosts != nil {
		all = d.Hosts()
	}
	scale := max(1, float64(all)/float64(known))
	out := make([]Demand, 0, len(sums))
	for key, r := range sums {
		out = append(out, Demand{key, r.arrivals * scale, r.admitted * scale, r.lacked * scale})
	}
	return out
}

// sortByArrivals sorts the demand, the highest first.
func sortByArrivals(list []Demand) {
	slices.SortFunc(list, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Arrivals, a.Arrivals), a.compare(b.DemandKey))
	})
}

// joinRest keeps the first n demands and joins the others into one for each service and rank, which
// come last.
func joinRest(list []Demand, n int) []Demand {
	if len(list) <= n {
		return list
	}
	out := slices.Clone(list[:n])
	byKey := make(map[DemandKey]int)
	for i, one := range out {
		byKey[one.DemandKey] = i
	}
	for _, one := range list[n:] {
		key := DemandKey{one.Service, one.Rank, OtherWorkspaces}
		i, ok := byKey[key]
		if !ok {
			i = len(out)
			byKey[key] = i
			out = append(out, Demand{DemandKey: key})
		}
		out[i].Arrivals += one.Arrivals
		out[i].Admitted += one.Admitted
		out[i].Lacked += one.Lacked
	}
	return out
}
