package admitter_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/admitter"
)

// key returns a key of a service that ranks compete for.
func key(rank int, workspace string) admitter.DemandKey {
	return admitter.DemandKey{Service: "hints", Rank: rank, Workspace: workspace}
}

// arrive records arrivals of a key at a steady rate over a period and returns its end.
func arrive(d *admitter.Demands, from, period time.Duration, perSecond float64, k admitter.DemandKey) time.Duration {
	step := time.Duration(float64(time.Second) / perSecond)
	now := from
	for ; now < from+period; now += step {
		d.RecordArrival(now, k)
	}
	return now
}

// near reports whether a value is within a fraction of what is expected.
func near(got, want, fraction float64) bool { return math.Abs(got-want) <= fraction*want }

// TestDemandIsSmooth: a window of whole seconds would drop by half at the end of each second, and
// what less urgent ranks leave free with it.
func TestDemandIsSmooth(t *testing.T) {
	is := is.New(t)
	var d admitter.Demands
	now := arrive(&d, 0, 3*time.Second, 100, key(0, ""))
	for end := now + 2*time.Second; now < end; now += 10 * time.Millisecond {
		d.RecordArrival(now, key(0, ""))
		is.True(near(d.MoreUrgent(now, "hints", 1), 100, 0.05))
	}
	is.Equal(d.MoreUrgent(now, "hints", 0), 0.0)
	is.Equal(d.MoreUrgent(now, "essays", 1), 0.0)
	before := d.MoreUrgent(now, "hints", 1)
	for range 50 { // no arrivals any more
		now += 20 * time.Millisecond
		next := d.MoreUrgent(now, "hints", 1)
		is.True(next < before && next > before*0.9)
		before = next
	}
	is.True(before < 20)
}

// TestDemandOverHosts checks the sum over reports, and that hosts without one are taken to be like
// the others: hosts of an older version, and hosts whose report has expired.
func TestDemandOverHosts(t *testing.T) {
	is := is.New(t)
	hosts := 4
	d := admitter.Demands{Hosts: func() int { return hosts }}
	now := arrive(&d, 0, 4*time.Second, 50, key(0, "a"))
	is.True(near(d.MoreUrgent(now, "hints", 1), 200, 0.05)) // nothing is known of the other three
	report := admitter.DemandReport{Hosts: 2, Demands: []admitter.Demand{{DemandKey: key(0, "a"), Arrivals: 30, Admitted: 10}, {DemandKey: key(1, "b"), Arrivals: 7}}}
	is.NoErr(d.SetReport(now, "relay", report))
	is.True(near(d.MoreUrgent(now, "hints", 1), (50+30)*4.0/3, 0.05))
	is.True(near(d.MoreUrgent(now, "hints", 2), (50+30+7)*4.0/3, 0.05))
	is.NoErr(d.SetReport(now, "older", admitter.DemandReport{}))
	is.True(near(d.MoreUrgent(now, "hints", 1), (50+30)*4.0/3, 0.05))
	is.NoErr(d.SetReport(now, "last", admitter.DemandReport{Hosts: 1, Demands: report.Demands[:1]}))
	is.True(near(d.MoreUrgent(now, "hints", 1), 50+30+30, 0.05))
	sum := d.Sum(now, func(source string) bool { return source == "last" })
	is.Equal(sum.Hosts, 3)
	is.True(near(sum.Demands[0].Arrivals, 80, 0.05))
	is.Equal(sum.Demands[1].Arrivals, 7.0)
	d.KeepReports(func(source string) bool { return source == "last" })
	is.Equal(d.Sum(now, func(string) bool { return false }).Hosts, 2)
	now = arrive(&d, now, 2*time.Second, 50, key(0, "a"))
	is.Equal(d.Sum(now, func(string) bool { return false }).Hosts, 1) // the report has expired
}

// TestDemandOfRelaysDoesNotDrift: sums of reports that are replaced for hours must not end beside
// the last ones.
func TestDemandOfRelaysDoesNotDrift(t *testing.T) {
	is := is.New(t)
	var d admitter.Demands
	for i := range 100_000 {
		one := admitter.Demand{DemandKey: key(0, "a"), Arrivals: 1e5 / float64(i+1), Admitted: 0.1}
		is.NoErr(d.SetReport(0, fmt.Sprint(i%3), admitter.DemandReport{Hosts: 1, Demands: []admitter.Demand{one}}))
	}
	for _, source := range []string{"0", "1"} {
		is.NoErr(d.SetReport(0, source, admitter.DemandReport{Hosts: 1}))
	}
	is.Equal(d.MoreUrgent(0, "hints", 1), 1.0) // 64 steps of 1/64
}

// TestDemandIsBounded: callers with keys of many workspaces must not make a host or a report grow.
func TestDemandIsBounded(t *testing.T) {
	is := is.New(t)
	var d admitter.Demands
	now := time.Duration(0)
	for i := range 20_000 {
		now += time.Millisecond
		d.RecordArrival(now, key(i%3, "large"))
		d.RecordArrival(now, key(i%3, fmt.Sprintf("workspace-%d", i%1000)))
		d.RecordAdmitted(now, key(i%3, "large"))
	}
	is.True(len(d.Total(now)) <= 256)
	is.True(near(d.MoreUrgent(now, "hints", 3), 2000, 0.05)) // joined, not lost
	r := d.Own(now)
	size, large := 0, 0
	for _, one := range r.Demands {
		size += len(one.Service) + len(one.Workspace) + 29
		if one.Workspace == "large" {
			large++
			is.True(near(one.Arrivals, 333, 0.05))
			is.True(near(one.Admitted, 333, 0.05))
		}
	}
	is.Equal(large, 3)
	is.True(size <= 8<<10)
	var other admitter.Demands
	is.NoErr(other.SetReport(now, "host", r))
	is.True(near(other.MoreUrgent(now, "hints", 3), 2000, 0.05))
	is.Equal(len(d.Own(now+time.Minute).Demands), 0) // what is not used any more is not reported
}

// TestInvalidDemand: a report with values out of range would make a host hold everything for others.
func TestInvalidDemand(t *testing.T) {
	valid := admitter.Demand{DemandKey: key(0, "a"), Arrivals: 5}
	for field, invalid := range map[string]admitter.Demand{
		"arrivals":            {DemandKey: key(0, "b"), Arrivals: math.NaN()},
		"admitted":            {DemandKey: key(0, "b"), Admitted: -1},
		"lacked":              {DemandKey: key(0, "b"), Lacked: 1 << 20},
		"rank":                {DemandKey: key(1<<21, "b"), Arrivals: 1},
		"length of service":   {DemandKey: admitter.DemandKey{Service: strings.Repeat("s", 300)}, Arrivals: 1},
		"length of workspace": {DemandKey: key(0, strings.Repeat("w", 300)), Arrivals: 1},
	} {
		t.Run(field, func(t *testing.T) {
			is := is.New(t)
			var d admitter.Demands
			err := d.SetReport(0, "host", admitter.DemandReport{Hosts: 1, Demands: []admitter.Demand{invalid, valid}})
			var e *admitter.DemandError
			is.True(errors.As(err, &e))
			is.Equal(e.Field, field)
			is.Equal(d.Total(0), []admitter.Demand{valid})
		})
	}
	t.Run("hosts", func(t *testing.T) {
		is := is.New(t)
		var d admitter.Demands
		is.True(d.SetReport(0, "host", admitter.DemandReport{Hosts: -1, Demands: []admitter.Demand{valid}}) != nil)
		is.Equal(len(d.Total(0)), 0)
	})
	t.Run("size", func(t *testing.T) {
		is := is.New(t)
		var d admitter.Demands
		r := admitter.DemandReport{Hosts: 1}
		for i := range 10_000 {
			r.Demands = append(r.Demands, admitter.Demand{DemandKey: key(0, fmt.Sprint(i)), Arrivals: 1})
		}
		is.True(d.SetReport(0, "host", r) != nil)
		is.True(len(d.Total(0)) < 400)
	})
}
