package balancer

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Usage is what one or more hosts have in flight over an upstream, and what they
// saw of it.
type Usage struct {
	Upstream string
	// Requests are those whose path the upstream is on.
	Requests int64
	// Room is what they take there, in tokens times layers.
	Room int64
	// Dead counts the hosts to which it takes no connection, Suspected those that
	// took it out of use within some seconds and were served nothing there since.
	Dead, Suspected int64
	// Pace is how many times as long as its kind of accelerator it takes, the
	// highest that it reported to one of the Paced hosts; 0 where Paced is.
	Pace  float64
	Paced int64
}

// Bounds of what one report may say of an upstream.
const (
	mostRequests = 1 << 20
	mostRoom     = 1 << 40 // tokens times layers
	mostPace     = 1000.0
	mostHosts    = 1 << 14
)

// UsageError is a figure in a report that can't be.
type UsageError struct {
	Upstream, Field string
	Value           float64
}

// Error names the figure.
func (e *UsageError) Error() string {
	return fmt.Sprintf("balancer: impossible %s %g of upstream %q", e.Field, e.Value, e.Upstream)
}

// Check returns an *UsageError for the first figure that can't be.
func (u *Usage) Check() error {
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{
		{"requests", float64(u.Requests), mostRequests},
		{"room", float64(u.Room), mostRoom},
		{"dead", float64(u.Dead), mostHosts},
		{"suspected", float64(u.Suspected), mostHosts},
		{"paced", float64(u.Paced), mostHosts},
		{"pace", u.Pace, mostPace},
	} {
		if f.value < 0 || f.value > f.most || math.IsNaN(f.value) {
			return &UsageError{u.Upstream, f.name, f.value}
		}
	}
	return nil
}

// empty reports whether there is nothing to tell.
func (u *Usage) empty() bool {
	return u.Requests == 0 && u.Room == 0 && u.Dead == 0 && u.Suspected == 0 && u.Paced == 0
}

// add adds a part, subtract takes it away again but for Pace, which is a maximum.
func (u *Usage) add(part *Usage) {
	u.Requests += part.Requests
	u.Room += part.Room
	u.Dead += part.Dead
	u.Suspected += part.Suspected
	u.Paced += part.Paced
	u.Pace = max(u.Pace, part.Pace)
}

func (u *Usage) subtract(part *Usage) {
	u.Requests -= part.Requests
	u.Room -= part.Room
	u.Dead -= part.Dead
	u.Suspected -= part.Suspected
	u.Paced -= part.Paced
}

// Report is the usage of one host, or the sum over some.
type Report struct {
	// Hosts counts the hosts that are in it, by data centre.
	Hosts map[string]int
	Usage []Usage
}

// reportAge is how long a report is believed: some exchanges, and about as long as
// a stream lasts.
const reportAge = 1500 * time.Millisecond

// reports are what other hosts reported, each under the name of its source, with
// their sum kept up to date: what a choice costs does not grow with hosts. No
// host is in two of them.
type reports struct {
	bySource map[string]*report
	sum      map[string]*Usage
	// hosts counts the hosts in all reports, by data centre.
	hosts map[string]int
	// oldest is when the oldest report came.
	oldest time.Duration
}

// report is what one source reported last.
type report struct {
	at    time.Duration
	hosts map[string]int
	usage map[string]Usage
}

// set replaces the report of a source.
func (r *reports) set(now time.Duration, source string, from Report) {
	if r.bySource == nil {
		r.bySource = make(map[string]*report)
		r.sum = make(map[string]*Usage)
		r.hosts = make(map[string]int)
	}
	r.remove(source)
	next := &report{at: now, hosts: from.Hosts, usage: make(map[string]Usage, len(from.Usage))}
	for _, u := range from.Usage {
		if _, twice := next.usage[u.Upstream]; twice {
			continue
		}
		next.usage[u.Upstream] = u
		sum := r.sum[u.Upstream]
		if sum == nil {
			sum = &Usage{Upstream: u.Upstream}
			r.sum[u.Upstream] = sum
		}
		sum.add(&u)
	}
	for dc, n := range from.Hosts {
		r.hosts[dc] += n
	}
	if len(r.bySource) == 0 {
		r.oldest = now
	}
	r.bySource[source] = next
}

// remove takes the report of a source out of the sums.
func (r *reports) remove(source string) {
	old := r.bySource[source]
	if old == nil {
		return
	}
	delete(r.bySource, source)
	for dc, n := range old.hosts {
		r.hosts[dc] -= n
	}
	for id, u := range old.usage {
		sum := r.sum[id]
		sum.subtract(&u)
		if u.Pace >= sum.Pace {
			sum.Pace = r.highestPace(id)
		}
		if sum.empty() {
			delete(r.sum, id)
		}
	}
}

func (r *reports) highestPace(id string) float64 {
	out := 0.0
	for _, from := range r.bySource {
		out = max(out, from.usage[id].Pace)
	}
	return out
}

// expire drops what is too old.
func (r *reports) expire(now time.Duration) {
	if len(r.bySource) == 0 || now-r.oldest <= reportAge {
		return
	}
	oldest := now
	for source, from := range r.bySource {
		if now-from.at > reportAge {
			r.remove(source)
		} else {
			oldest = min(oldest, from.at)
		}
	}
	r.oldest = oldest
}

// Usage is what this host has in flight and what it saw of upstreams.
func (b *Balancer) Usage(now time.Duration) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now)
}

func (b *Balancer) usage(now time.Duration) Report {
	out := Report{Hosts: map[string]int{b.DataCentre: 1}}
	for _, u := range b.subset.used {
		if own := u.usage(now); !own.empty() {
			out.Usage = append(out.Usage, own)
		}
	}
	return out
}

// usage is what this host has in flight over an upstream and saw of it.
func (u *upstream) usage(now time.Duration) Usage {
	out := Usage{Upstream: u.ID, Requests: int64(u.passing), Room: int64(math.Round(u.reserved)), Pace: u.ownPace(now)}
	if u.dead {
		out.Dead = 1
	}
	if u.suspectUntil > now {
		out.Suspected = 1
	}
	if out.Pace > 0 {
		out.Paced = 1
	}
	return out
}

// SetReport takes in what a source reported, in place of what it reported before.
// Without reports each host would take an upstream for empty that all the others
// fill. A figure that can't be is left out; the error names the first.
func (b *Balancer) SetReport(now time.Duration, source string, r Report) error {
	r, err := r.valid()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.expire(now)
	b.peers.set(now, source, r)
	return err
}

// valid is the report without what can't be.
func (r Report) valid() (Report, error) {
	var first error
	note := func(err error) bool {
		if first == nil {
			first = err
		}
		return err != nil
	}
	out := Report{Hosts: make(map[string]int, len(r.Hosts)), Usage: make([]Usage, 0, len(r.Usage))}
	for dc, n := range r.Hosts {
		if n < 0 || n > mostHosts {
			note(fmt.Errorf("balancer: impossible number of hosts %d in data centre %q", n, dc))
			continue
		}
		out.Hosts[dc] = n
	}
	for i := range r.Usage {
		if !note(r.Usage[i].Check()) {
			out.Usage = append(out.Usage, r.Usage[i])
		}
	}
	return out, first
}

// KeepReports drops the reports of sources that are not to be kept. A host whose
// part in the exchange changes would count some hosts twice otherwise.
func (b *Balancer) KeepReports(keep func(source string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for source := range b.peers.bySource {
		if !keep(source) {
			b.peers.remove(source)
		}
	}
}

// ReportOf is what a source reported last.
func (b *Balancer) ReportOf(source string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.peers.bySource[source]
	if from == nil {
		return Report{}
	}
	out := Report{Hosts: from.hosts}
	for _, u := range from.usage {
		out.Usage = append(out.Usage, u)
	}
	slices.SortFunc(out.Usage, func(a, b Usage) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// Sum adds this host's own usage to all reports but those of some sources, for some
// upstreams; none is for all.
func (b *Balancer) Sum(now time.Duration, without func(source string) bool, upstreams []string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers.expire(now)
	out := Report{Hosts: map[string]int{b.DataCentre: 1}}
	for dc, n := range b.peers.hosts {
		out.Hosts[dc] += n
	}
	var left []*report
	for source, from := range b.peers.bySource {
		if without(source) {
			left = append(left, from)
			for dc, n := range from.hosts {
				out.Hosts[dc] -= n
			}
		}
	}
	add := func(id string) {
		if u := b.total(now, id, left); !u.empty() {
			out.Usage = append(out.Usage, u)
		}
	}
	if len(upstreams) > 0 {
		for _, id := range upstreams {
			add(id)
		}
		return out
	}
	for id := range b.peers.sum {
		add(id)
	}
	for id := range b.subset.used {
		if b.peers.sum[id] == nil {
			add(id)
		}
	}
	return out
}

// total adds this host's own usage of an upstream to all reports but some.
func (b *Balancer) total(now time.Duration, id string, without []*report) Usage {
	out := Usage{Upstream: id}
	if sum := b.peers.sum[id]; sum != nil {
		out = *sum
	}
	for _, from := range without {
		if u, ok := from.usage[id]; ok {
			out.subtract(&u)
		}
	}
	if out.Paced == 0 {
		out.Pace = 0
	}
	if u := b.ups[id]; u != nil {
		own := u.usage(now)
		out.add(&own)
	}
	return out
}

// Fullest is the report with the given number of upstreams at most: those that some
// host can't reach or suspects, then those with most room taken.
func (r Report) Fullest(most int) Report {
	if len(r.Usage) <= most {
		return r
	}
	doubted := func(u *Usage) int64 { return min(1, u.Dead+u.Suspected) }
	slices.SortFunc(r.Usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(doubted(&b), doubted(&a)), cmp.Compare(b.Room, a.Room), strings.Compare(a.Upstream, b.Upstream))
	})
	r.Usage = r.Usage[:most]
	return r
}

// SetHosts takes in the other hosts, each with its data centre.
func (b *Balancer) SetHosts(hosts map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := make(map[string]int)
	for _, dc := range hosts {
		count[dc]++
	}
	b.subset.stale = b.subset.stale || !maps.Equal(count, b.hosts)
	b.hosts = count
	if !maps.Equal(hosts, b.hostNames) {
		b.hostNames = maps.Clone(hosts)
		b.hostsVersion++
	}
}

// allHosts is how many hosts there are, this one included.
func (b *Balancer) allHosts() int {
	out := 1
	for _, n := range b.hosts {
		out += n
	}
	return out
}

// unreported is how many hosts of a data centre, this one included, are in no
// report. They are taken to have as much there as this one.
func (b *Balancer) unreported(dataCentre string) float64 {
	return 1 + float64(max(0, b.hosts[dataCentre]-b.peers.hosts[dataCentre]))
}

// suspected reports whether this host or another one suspects an upstream. A path
// has a dozen hops: with some upstreams gone that are still listed, each of many
// hosts would have to learn of each by requests that fail.
func (b *Balancer) suspected(now time.Duration, u *upstream) bool {
	if u.suspectUntil > now {
		return true
	}
	sum := b.reported(now, u)
	return sum != nil && sum.Suspected > 0
}

// reported is the sum of all reports on an upstream; nil where there is none.
func (b *Balancer) reported(now time.Duration, u *upstream) *Usage {
	b.peers.expire(now)
	return b.peers.sum[u.ID]
}

// load is what is known to be in flight over an upstream.
type load struct{ requests, room float64 }

// known adds up what all hosts have in flight over an upstream.
func (b *Balancer) known(now time.Duration, u *upstream) load {
	sum := b.reported(now, u)
	share := b.unreported(u.DataCentre)
	out := load{float64(u.passing) * share, u.reserved * share}
	if sum != nil {
		out.requests += float64(sum.Requests)
		out.room += float64(sum.Room)
	}
	return out
}
