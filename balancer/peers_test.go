package balancer_test

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sardineward/sardineward/balancer"
)

// TestReportSums guards against load that stays in the sums after its host is lost or has sent a
// new report.
func TestReportSums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type kept struct {
			at     time.Duration
			report balancer.Report
		}
		b := newBalancer()
		want := make(map[string]kept)
		now := time.Duration(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * ms
			source := fmt.Sprint("host-", rapid.IntRange(0, 5).Draw(t, "source"))
			r := drawReport(t)
			if err := b.SetReport(now, source, r); err != nil {
				t.Fatal(err)
			}
			want[source] = kept{now, r}
			for name, k := range want {
				if now-k.at > 1500*ms {
					delete(want, name)
				}
			}
			left := fmt.Sprint("host-", rapid.IntRange(0, 5).Draw(t, "left"))
			sum := balancer.Report{Hosts: map[string]int{"a": 1}}
			for name, k := range want {
				if name != left {
					sum = addReports(sum, k.report)
				}
			}
			got := b.Sum(now, func(source string) bool { return source == left }, nil)
			assertSameReport(t, got, sum)
		}
	})
}

func drawReport(t *rapid.T) balancer.Report {
	r := balancer.Report{Hosts: map[string]int{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "dataCentre"): 1}}
	for _, id := range []string{"a1", "a2", "b1"} {
		u := balancer.Usage{Upstream: id, Requests: int64(rapid.IntRange(0, 9).Draw(t, "requests"))}
		u.TokenLayers = u.Requests * 1000
		u.SuspectingHosts = int64(rapid.IntRange(0, 1).Draw(t, "suspected"))
		if rapid.Bool().Draw(t, "paced") {
			u.PaceHosts, u.Pace = 1, float64(rapid.IntRange(1, 12).Draw(t, "pace"))
		}
		if u != (balancer.Usage{Upstream: id}) {
			r.Usage = append(r.Usage, u)
		}
	}
	return r
}

// addReports adds up two reports. It leaves out Pace, a maximum that may come from an excluded
// source.
func addReports(x, y balancer.Report) balancer.Report {
	out := balancer.Report{Hosts: make(map[string]int)}
	byID := make(map[string]balancer.Usage)
	for _, r := range []balancer.Report{x, y} {
		for dc, n := range r.Hosts {
			out.Hosts[dc] += n
		}
		for _, u := range r.Usage {
			sum := byID[u.Upstream]
			byID[u.Upstream] = balancer.Usage{Upstream: u.Upstream, Requests: sum.Requests + u.Requests, TokenLayers: sum.TokenLayers + u.TokenLayers, SuspectingHosts: sum.SuspectingHosts + u.SuspectingHosts, PaceHosts: sum.PaceHosts + u.PaceHosts}
		}
	}
	for _, u := range byID {
		out.Usage = append(out.Usage, u)
	}
	return out
}

func assertSameReport(t *rapid.T, got, want balancer.Report) {
	for dc, n := range got.Hosts {
		if n != want.Hosts[dc] {
			t.Fatalf("%d hosts in data centre %q, want %d", n, dc, want.Hosts[dc])
		}
	}
	byID := func(a, b balancer.Usage) int { return strings.Compare(a.Upstream, b.Upstream) }
	slices.SortFunc(got.Usage, byID)
	slices.SortFunc(want.Usage, byID)
	for i := range got.Usage {
		got.Usage[i].Pace = 0
	}
	if !slices.Equal(got.Usage, want.Usage) {
		t.Fatalf("sum is %v, want %v", got.Usage, want.Usage)
	}
}

// TestImpossibleReport guards against an invalid report that makes upstreams look empty or full to
// every host.
func TestImpossibleReport(t *testing.T) {
	for _, bad := range []balancer.Usage{
		{Upstream: "a1", Requests: -1},
		{Upstream: "a1", Requests: 1 << 40},
		{Upstream: "a1", TokenLayers: math.MinInt64},
		{Upstream: "a1", PaceHosts: 1, Pace: math.NaN()},
		{Upstream: "a1", PaceHosts: 1, Pace: math.Inf(1)},
		{Upstream: "a1", DeadHosts: -3},
	} {
		t.Run(fmt.Sprintf("%+v", bad), func(t *testing.T) {
			is := is.New(t)
			b := newBalancer()
			good := balancer.Usage{Upstream: "b1", Requests: 2, TokenLayers: 100}
			err := b.SetReport(0, "host-b", balancer.Report{Hosts: map[string]int{"a": 1, "b": -7}, Usage: []balancer.Usage{bad, good}})
			var usage *balancer.UsageError
			is.True(err != nil)
			is.True(errors.As(err, &usage) || strings.Contains(err.Error(), "number of hosts"))
			is.Equal(b.ReportOf("host-b"), balancer.Report{Hosts: map[string]int{"a": 1}, Usage: []balancer.Usage{good}})
		})
	}
}

// TestPaceForgotten guards against an upstream that stays slow for all hosts after the host that
// reported it is lost.
func TestPaceForgotten(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	report := func(pace float64) balancer.Report {
		return balancer.Report{Hosts: map[string]int{"a": 1}, Usage: []balancer.Usage{{Upstream: "a1", PaceHosts: 1, Pace: pace}}}
	}
	is.NoErr(b.SetReport(0, "host-b", report(12)))
	is.NoErr(b.SetReport(time.Second, "host-c", report(3)))
	pace := func(now time.Duration) float64 {
		for _, u := range b.Sum(now, func(string) bool { return false }, nil).Usage {
			return u.Pace
		}
		return 0
	}
	is.Equal(pace(time.Second), 12.0)
	is.Equal(pace(2*time.Second), 3.0)
	is.Equal(pace(9*time.Second), 0.0)
}

// TestFullest guards against reports that grow with the fleet, and against a report that leaves
// out an unreachable upstream.
func TestFullest(t *testing.T) {
	is := is.New(t)
	r := balancer.Report{}
	for i := range 100 {
		r.Usage = append(r.Usage, balancer.Usage{Upstream: fmt.Sprint("u", i), TokenLayers: int64(i)})
	}
	r.Usage[3].DeadHosts = 1
	got := r.Truncate(10)
	is.Equal(len(got.Usage), 10)
	is.Equal(got.Usage[0].Upstream, "u3")
	is.Equal(got.Usage[1].Upstream, "u99")
	is.Equal(len(got.Truncate(20).Usage), 10)
}

// TestSumOfSelectedUpstreams guards against answers to a host that cover the whole fleet.
func TestSumOfSelectedUpstreams(t *testing.T) {
	is := is.New(t)
	b := newBalancer()
	is.NoErr(b.SetReport(0, "x", balancer.Report{Usage: []balancer.Usage{{Upstream: "a1", Requests: 2}, {Upstream: "a2", Requests: 3}}}))
	b.Release(acquire(t, b, 0, modelRequirements))
	acquire(t, b, 0, modelRequirements)
	got := b.Sum(0, func(string) bool { return false }, []string{"a2", "gone"})
	is.Equal(len(got.Usage), 1)
	is.Equal(got.Usage[0].Requests, int64(4))
}
