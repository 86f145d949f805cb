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

// Usage is what one or more hosts have in flight over an upstream, and what they observed of it.
type Usage struct {
	Upstream string
	// Requests counts the requests whose path the upstream is on.
	Requests int64
	// TokenLayers is the capacity that they take there, in tokens times layers.
	TokenLayers int64
	// DeadHosts counts the hosts from which it accepts no connection, SuspectingHosts those that
	// ejected it some seconds ago and have started no stream over it since.
	DeadHosts, SuspectingHosts int64
	// Pace is the highest factor by which it is slower than its kind of accelerator that it
	// reported to one of the PaceHosts hosts; 0 where PaceHosts is 0.
	Pace      float64
	PaceHosts int64
	// BackoffHosts counts the hosts that it has asked for a backoff which is not over, or just ended.
	BackoffHosts int64
}

// Upper bounds of the values that one report may have for an upstream.
const (
	maxRequests    = 1 << 20
	maxTokenLayers = 1 << 40 // tokens times layers
	maxPace        = 1000.0
	maxHosts       = 1 << 14
)

// UsageError is a value in a report that is out of range.
type UsageError struct {
	Upstream, Field string
	Value           float64
}

// Error names the upstream, the field and the value.
func (e *UsageError) Error() string {
	return fmt.Sprintf("balancer: %s %g out of range in report of upstream %q", e.Field, e.Value, e.Upstream)
}

// Check returns a *UsageError for the first value that is out of range.
func (u *Usage) Check() error {
	for _, f := range []struct {
		name  string
		value float64
		most  float64
	}{
		{"requests", float64(u.Requests), maxRequests},
		{"room", float64(u.TokenLayers), maxTokenLayers},
		{"dead", float64(u.DeadHosts), maxHosts},
		{"suspected", float64(u.SuspectingHosts), maxHosts},
		{"paced", float64(u.PaceHosts), maxHosts},
		{"pace", u.Pace, maxPace},
		{"backingOff", float64(u.BackoffHosts), maxHosts},
	} {
		if f.value < 0 || f.value > f.most || math.IsNaN(f.value) {
			return &UsageError{u.Upstream, f.name, f.value}
		}
	}
	return nil
}

// empty reports whether there is nothing to report.
func (u *Usage) empty() bool {
	return u.Requests == 0 && u.TokenLayers == 0 && u.DeadHosts == 0 && u.SuspectingHosts == 0 && u.PaceHosts == 0 && u.BackoffHosts == 0
}

// add adds a part to the sum.
func (u *Usage) add(part *Usage) {
	u.Requests += part.Requests
	u.TokenLayers += part.TokenLayers
	u.DeadHosts += part.DeadHosts
	u.SuspectingHosts += part.SuspectingHosts
	u.PaceHosts += part.PaceHosts
	u.BackoffHosts += part.BackoffHosts
	u.Pace = max(u.Pace, part.Pace)
}

func (u *Usage) subtract(part *Usage) {
	u.Requests -= part.Requests
	u.TokenLayers -= part.TokenLayers
	u.DeadHosts -= part.DeadHosts
	u.SuspectingHosts -= part.SuspectingHosts
	u.PaceHosts -= part.PaceHosts
	u.BackoffHosts -= part.BackoffHosts
}

// Report is the usage of one host, or the sum over several hosts.
type Report struct {
	// Hosts counts the hosts that the report covers, by data centre.
	Hosts map[string]int
	// CutOffHosts is how many of them reach no upstream.
	CutOffHosts int
	Usage       []Usage
}

// maxReportAge is how long a report is used: some exchanges, and about as long as a stream
// lasts.
const maxReportAge = 1500 * time.Millisecond

// reports holds the reports of other hosts by the name of their source and keeps their sum up to
// date, so that the cost of a choice doesn't grow with the number of hosts. No host is covered by
// two reports.
type reports struct {
	bySource map[string]*report
	sum      map[string]*Usage
	// hosts counts the hosts that the reports cover, by data centre, cutOffHosts those of them that reach no
	// upstream.
	hosts       map[string]int
	cutOffHosts int
	// oldest is when the oldest report arrived. interval is the time between the last report and
	// the one before it of the same source; 0 before any source has reported twice.
	oldest, interval time.Duration
}

// report is the last report of one source, received at at.
type report struct {
	at          time.Duration
	hosts       map[string]int
	cutOffHosts int
	usage       map[string]Usage
}

// set replaces the report of a source.
func (r *reports) set(now time.Duration, source string, from Report) {
	if r.bySource == nil {
		r.bySource = make(map[string]*report)
		r.sum = make(map[string]*Usage)
		r.hosts = make(map[string]int)
	}
	if last := r.bySource[source]; last != nil {
		r.interval = now - last.at
	}
	r.remove(source)
	r.cutOffHosts += from.CutOffHosts
	next := &report{at: now, hosts: from.Hosts, cutOffHosts: from.CutOffHosts, usage: make(map[string]Usage, len(from.Usage))}
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

// remove removes the report of a source from the sums.
func (r *reports) remove(source string) {
	old := r.bySource[source]
	if old == nil {
		return
	}
	delete(r.bySource, source)
	r.cutOffHosts -= old.cutOffHosts
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

// expire removes reports older than maxReportAge.
func (r *reports) expire(now time.Duration) {
	if len(r.bySource) == 0 || now-r.oldest <= maxReportAge {
		return
	}
	oldest := now
	for source, from := range r.bySource {
		if now-from.at > maxReportAge {
			r.remove(source)
		} else {
			oldest = min(oldest, from.at)
		}
	}
	r.oldest = oldest
}

// Usage returns what this host has in flight and what it observed of upstreams.
func (b *Balancer) Usage(now time.Duration) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage(now)
}

func (b *Balancer) usage(now time.Duration) Report {
	out := Report{Hosts: map[string]int{b.DataCentre: 1}, CutOffHosts: b.ownCutOff()}
	for _, u := range b.subset.used {
		if own := b.ownUsage(now, u); !own.empty() {
			out.Usage = append(out.Usage, own)
		}
	}
	return out
}

// ownCutOff returns 1 while this host reaches no upstream.
func (b *Balancer) ownCutOff() int {
	if b.cutOff {
		return 1
	}
	return 0
}

// ownUsage returns what this host has in flight over an upstream and observed of it. A host that reaches no
// upstream has observed its own loss, not theirs.
func (b *Balancer) ownUsage(now time.Duration, u *upstream) Usage {
	if b.cutOff {
		return Usage{Upstream: u.ID, Requests: int64(u.requests), TokenLayers: int64(math.Round(u.reserved))}
	}
	return u.usage(now)
}

// usage is ownUsage of a host that reaches upstreams.
func (u *upstream) usage(now time.Duration) Usage {
	out := Usage{Upstream: u.ID, Requests: int64(u.requests), TokenLayers: int64(math.Round(u.reserved)), Pace: u.ownPace(now)}
	if u.dead {
		out.DeadHosts = 1
	}
	if u.suspectUntil > now {
		out.SuspectingHosts = 1
	}
	if out.Pace > 0 {
		out.PaceHosts = 1
	}
	if u.announcement.isReported(now) {
		out.BackoffHosts = 1
	}
	return out
}

// SetReport replaces the last report of a source. Without reports, each host would assume that an
// upstream which all the others fill is empty. Values out of range are left out; the error names
// the first.
func (b *Balancer) SetReport(now time.Duration, source string, r Report) error {
	r, err := r.withoutInvalid()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReports.expire(now)
	b.peerReports.set(now, source, r)
	for i := range r.Usage {
		if u := b.upstreams[r.Usage[i].Upstream]; u != nil && r.Usage[i].BackoffHosts > 0 {
			u.othersBackoffUntil = now + backoffMemory
		}
	}
	return err
}

// withoutInvalid returns the report without values out of range, and an error for the first.
func (r Report) withoutInvalid() (Report, error) {
	var first error
	note := func(err error) bool {
		if first == nil {
			first = err
		}
		return err != nil
	}
	out := Report{Hosts: make(map[string]int, len(r.Hosts)), CutOffHosts: r.CutOffHosts, Usage: make([]Usage, 0, len(r.Usage))}
	if r.CutOffHosts < 0 || r.CutOffHosts > maxHosts {
		note(fmt.Errorf("balancer: number of hosts %d that are cut off out of range in report", r.CutOffHosts))
		out.CutOffHosts = 0
	}
	for dc, n := range r.Hosts {
		if n < 0 || n > maxHosts {
			note(fmt.Errorf("balancer: number of hosts %d out of range in report of data centre %q", n, dc))
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

// ReportedHosts returns how many other hosts the reports cover that are still used.
func (b *Balancer) ReportedHosts(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReports.expire(now)
	n := 0
	for _, hosts := range b.peerReports.hosts {
		n += hosts
	}
	return n
}

// KeepReports drops the reports of sources for which keep returns false. Otherwise a host whose
// role in the exchange changes would count some hosts twice.
func (b *Balancer) KeepReports(keep func(source string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for source := range b.peerReports.bySource {
		if !keep(source) {
			b.peerReports.remove(source)
		}
	}
}

// ReportOf returns the last report of a source, sorted by upstream; empty if there is none.
func (b *Balancer) ReportOf(source string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	from := b.peerReports.bySource[source]
	if from == nil {
		return Report{}
	}
	out := Report{Hosts: from.hosts, CutOffHosts: from.cutOffHosts}
	for _, u := range from.usage {
		out.Usage = append(out.Usage, u)
	}
	slices.SortFunc(out.Usage, func(a, b Usage) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// Sum adds this host's own usage to the reports of all sources but those for which without returns
// true. It covers the given upstreams, or all if none is given.
func (b *Balancer) Sum(now time.Duration, without func(source string) bool, upstreams []string) Report {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerReports.expire(now)
	out := Report{Hosts: map[string]int{b.DataCentre: 1}, CutOffHosts: b.ownCutOff() + b.peerReports.cutOffHosts}
	for dc, n := range b.peerReports.hosts {
		out.Hosts[dc] += n
	}
	var excluded []*report
	for source, from := range b.peerReports.bySource {
		if without(source) {
			excluded = append(excluded, from)
			out.CutOffHosts -= from.cutOffHosts
			for dc, n := range from.hosts {
				out.Hosts[dc] -= n
			}
		}
	}
	add := func(id string) {
		if u := b.sumUsage(now, id, excluded); !u.empty() {
			out.Usage = append(out.Usage, u)
		}
	}
	if len(upstreams) > 0 {
		for _, id := range upstreams {
			add(id)
		}
		return out
	}
	for id := range b.peerReports.sum {
		add(id)
	}
	for id := range b.subset.used {
		if b.peerReports.sum[id] == nil {
			add(id)
		}
	}
	return out
}

// sumUsage adds this host's own usage of an upstream to all reports but the excluded ones.
func (b *Balancer) sumUsage(now time.Duration, id string, excluded []*report) Usage {
	out := Usage{Upstream: id}
	if sum := b.peerReports.sum[id]; sum != nil {
		out = *sum
	}
	for _, from := range excluded {
		if u, ok := from.usage[id]; ok {
			out.subtract(&u)
		}
	}
	if out.PaceHosts == 0 {
		out.Pace = 0
	}
	if u := b.upstreams[id]; u != nil {
		own := b.ownUsage(now, u)
		out.add(&own)
	}
	return out
}

// Truncate returns the report with at most a given number of upstreams: those that some host can't
// reach, suspects or keeps a backoff of come first, then those with the most capacity in use. It reorders r.Usage.
func (r Report) Truncate(maxUpstreams int) Report {
	if len(r.Usage) <= maxUpstreams {
		return r
	}
	unreachable := func(u *Usage) int64 { return min(1, u.DeadHosts+u.SuspectingHosts+u.BackoffHosts) }
	slices.SortFunc(r.Usage, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(unreachable(&b), unreachable(&a)), cmp.Compare(b.TokenLayers, a.TokenLayers), strings.Compare(a.Upstream, b.Upstream))
	})
	r.Usage = r.Usage[:maxUpstreams]
	return r
}

// SetHosts sets the other hosts, each with its data centre.
func (b *Balancer) SetHosts(hosts map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := make(map[string]int)
	for _, dc := range hosts {
		count[dc]++
	}
	b.subset.stale = b.subset.stale || !maps.Equal(count, b.hostCounts)
	b.hostCounts = count
	if !maps.Equal(hosts, b.hostDataCentres) {
		b.hostDataCentres = maps.Clone(hosts)
		b.hostsVersion++
	}
}

// hostCount returns the number of hosts, this one included.
func (b *Balancer) hostCount() int {
	out := 1
	for _, n := range b.hostCounts {
		out += n
	}
	return out
}

// unreportedHosts returns the number of hosts of a data centre that no report covers, this one
// included. Each is assumed to have as much in flight there as this host.
func (b *Balancer) unreportedHosts(dataCentre string) float64 {
	return 1 + float64(max(0, b.hostCounts[dataCentre]-b.peerReports.hosts[dataCentre]))
}

// isSuspected reports whether this host or another one suspects an upstream. A path has a dozen
// hops: when some upstreams are gone but still listed, each of many hosts would otherwise have to
// find each of them by failed requests.
func (b *Balancer) isSuspected(now time.Duration, u *upstream) bool {
	if u.suspectUntil > now {
		return true
	}
	sum := b.reportedUsage(now, u)
	return sum != nil && sum.SuspectingHosts > 0
}

// othersBackOff reports whether an upstream has asked other hosts for a backoff, and this one should
// rather leave the upstream to them. It binds those hosts only, but most often the upstream is
// overloaded and would reject requests of this host too, each of which would take a retry from the
// budget that all hosts share. Of the hosts whose backoff has just ended, firstToReturn find out.
func (b *Balancer) othersBackOff(now time.Duration, u *upstream) bool {
	sum := b.reportedUsage(now, u)
	if sum == nil || sum.BackoffHosts <= 0 {
		return false
	}
	return !u.announcement.isReturning(now) || u.announcement.draw*float64(sum.BackoffHosts+1) >= firstToReturn
}

// reportedUsage returns the sum of all reports on an upstream; nil if there is none.
func (b *Balancer) reportedUsage(now time.Duration, u *upstream) *Usage {
	b.peerReports.expire(now)
	return b.peerReports.sum[u.ID]
}

// usageTotal is what is known to be in flight over an upstream.
type usageTotal struct{ requests, tokenLayers float64 }

// totalUsage adds up what all hosts have in flight over an upstream.
func (b *Balancer) totalUsage(now time.Duration, u *upstream) usageTotal {
	sum := b.reportedUsage(now, u)
	share := b.unreportedHosts(u.DataCentre)
	out := usageTotal{float64(u.requests) * share, u.reserved * share}
	if sum != nil {
		out.requests += float64(sum.Requests)
		out.tokenLayers += float64(sum.TokenLayers)
	}
	return out
}
