package admitter

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxDemandBytes bounds the demand in one report. Of the keys beyond it, those with the fewest
	// arrivals are joined.
	maxDemandBytes = 8 << 10
	// demandBytes is what a demand takes in a report besides its names.
	demandBytes = 29
	// Upper bounds of what one report may have: the bytes of a name, the absolute value of a rank,
	// requests a second and hosts.
	maxDemandName  = 256
	maxDemandRank  = 1 << 20
	maxDemandRate  = 1 << 17
	maxDemandHosts = 1 << 14
)

// DemandReport is the demand of one host, or the sum over several hosts.
type DemandReport struct {
	// Hosts counts the hosts that the report covers; 0 is no report.
	Hosts   int
	Demands []Demand
}

// DemandError is a value in a report that is out of range.
type DemandError struct {
	DemandKey
	Field string
	Value float64
}

// Error names the key, the field and the value.
func (e *DemandError) Error() string {
	return fmt.Sprintf("admitter: %s %g out of range in demand of service %q, rank %d, workspace %q",
		e.Field, e.Value, shorten(e.Service), e.Rank, shorten(e.Workspace))
}

func shorten(name string) string { return name[:min(len(name), maxDemandName)] }

// Check returns a *DemandError for the first value that is out of range.
func (d *Demand) Check() error {
	for _, f := range []struct {
		name         string
		value, least float64
		most         float64
	}{
		{"arrivals", d.Arrivals, 0, maxDemandRate},
		{"admitted", d.Admitted, 0, maxDemandRate},
		{"lacked", d.Lacked, 0, maxDemandRate},
		{"rank", float64(d.Rank), -maxDemandRank, maxDemandRank},
		{"length of service", float64(len(d.Service)), 0, maxDemandName},
		{"length of workspace", float64(len(d.Workspace)), 0, maxDemandName},
	} {
		if f.value < f.least || f.value > f.most || math.IsNaN(f.value) {
			return &DemandError{d.DemandKey, f.name, f.value}
		}
	}
	return nil
}

// Own returns the demand of this host.
func (d *Demands) Own(now time.Duration) DemandReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return newDemandReport(1, d.ownDemand(now))
}

// Sum adds this host's demand to the reports of all sources but those for which without returns true.
func (d *Demands) Sum(now time.Duration, without func(source string) bool) DemandReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reported.Expire(now, maxDemandAge)
	sums, hosts := d.reported.Without(without)
	for key, c := range d.own {
		c.advance(now)
		sums[key] = sums[key].Plus(c.rounded())
	}
	list := make([]Demand, 0, len(sums))
	for key, r := range sums {
		list = append(list, Demand{key, r.arrivals, r.admitted, r.lacked})
	}
	return newDemandReport(hosts+1, list)
}

// newDemandReport returns a report within maxDemandBytes, the demand with the most arrivals first.
func newDemandReport(hosts int, list []Demand) DemandReport {
	rounded := list[:0]
	for _, one := range list {
		r := demandRate{one.Arrivals, one.Admitted, one.Lacked}.rounded()
		if r.arrivals > 0 || r.admitted > 0 {
			rounded = append(rounded, Demand{one.DemandKey, r.arrivals, r.admitted, r.lacked})
		}
	}
	sortByArrivals(rounded)
	// A quarter of the bytes is left for the keys that join others.
	kept := joinRest(rounded, fitting(rounded, maxDemandBytes*3/4))
	return DemandReport{Hosts: hosts, Demands: kept[:fitting(kept, maxDemandBytes)]}
}

// fitting returns how many of the first demands are within a number of bytes.
func fitting(list []Demand, maxBytes int) int {
	size := 0
	for i, one := range list {
		if size += demandBytes + len(one.Service) + len(one.Workspace); size > maxBytes {
			return i
		}
	}
	return len(list)
}

// SetReport replaces the last report of a source. Demand out of range is left out; the error names
// the first.
func (d *Demands) SetReport(now time.Duration, source string, r DemandReport) error {
	var first error
	if r.Hosts < 0 || r.Hosts > maxDemandHosts {
		return fmt.Errorf("admitter: number of hosts %d out of range in report of demand", r.Hosts)
	}
	if n := fitting(r.Demands, maxDemandBytes); n < len(r.Demands) {
		first = fmt.Errorf("admitter: %d demands in a report take more than %d bytes", len(r.Demands), maxDemandBytes)
		r.Demands = r.Demands[:n]
	}
	values := make(map[DemandKey]demandRate, len(r.Demands))
	for i := range r.Demands {
		one := &r.Demands[i]
		err := one.Check()
		if _, twice := values[one.DemandKey]; err == nil && !twice {
			values[one.DemandKey] = demandRate{one.Arrivals, one.Admitted, one.Lacked}.rounded()
		}
		if first == nil {
			first = err
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.totals = nil
	d.reported.Expire(now, maxDemandAge)
	if r.Hosts == 0 {
		// A host of an older version reports no demand.
		d.keep(func(other string) bool { return other != source })
		return first
	}
	d.latest.Expire(now, maxShareAge)
	d.reported.Set(now, source, r.Hosts, values)
	d.latest.Set(now, source, r.Hosts, values)
	return first
}

// KeepReports drops the reports of sources for which keep returns false. Otherwise a host whose role
// in the exchange changes would count some hosts twice.
func (d *Demands) KeepReports(keep func(source string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.keep(keep)
}

func (d *Demands) keep(keep func(source string) bool) {
	d.totals = nil
	d.reported.Keep(keep)
	d.latest.Keep(keep)
}
