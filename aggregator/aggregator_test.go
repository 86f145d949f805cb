package aggregator_test

import (
	"maps"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/sardineward/sardineward/aggregator"
)

type count int

func (c count) Plus(other count) count  { return c + other }
func (c count) Minus(other count) count { return c - other }

// TestSums checks that the sums are those of the last reports which have not expired, whatever
// order reports arrive in.
func TestSums(t *testing.T) {
	const maxAge = 5
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		type report struct {
			at     int
			hosts  int
			values map[string]count
		}
		var a aggregator.Aggregator[string, count]
		last := make(map[string]report)
		for now := range rapid.IntRange(1, 30).Draw(t, "steps") {
			source := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "source")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				a.Keep(func(other string) bool { return other != source })
				delete(last, source)
			case 1:
			default:
				r := report{now, rapid.IntRange(0, 3).Draw(t, "hosts"), rapid.MapOf(rapid.SampledFrom([]string{"x", "y"}), rapid.Custom(func(t *rapid.T) count { return count(rapid.IntRange(0, 9).Draw(t, "n")) })).Draw(t, "values")}
				a.Set(time.Duration(now), source, r.hosts, r.values)
				last[source] = r
			}
			a.Expire(time.Duration(now), maxAge)
			maps.DeleteFunc(last, func(_ string, r report) bool { return now-r.at > maxAge })
			all, rest := make(map[string]count), make(map[string]count)
			hosts, restHosts := 0, 0
			for from, r := range last {
				hosts += r.hosts
				if from != source {
					restHosts += r.hosts
				}
				for k, v := range r.values {
					all[k] += v
					if from != source {
						rest[k] += v
					}
				}
			}
			is.Equal(maps.Collect(a.Sums()), all)
			is.Equal(a.Hosts(), hosts)
			got, gotHosts := a.Without(func(from string) bool { return from == source })
			is.Equal(got, rest)
			is.Equal(gotHosts, restHosts)
		}
	})
}
