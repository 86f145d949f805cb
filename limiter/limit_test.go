package limiter

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestParse guards against a malformed value that counts as a limit, or as the end of one.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		want   float64
	}{
		{"absent", nil, Unlimited},
		{"decimal", []string{"1.9"}, 1.9},
		{"whole", []string{" 2 "}, 2},
		{"nothing", []string{"0"}, 0},
		{"one in twenty seconds", []string{"0.05"}, 0.05},
		{"large", []string{"10000000"}, 1e7},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Parse(c.values)
			is := is.New(t)
			is.NoErr(err)
			is.Equal(got, c.want)
		})
	}
	for name, values := range map[string][]string{
		"empty": {""}, "spaces": {"  "}, "twice": {"2", "2"}, "list": {"2,3"}, "negative": {"-1"}, "not a number": {"NaN"},
		"infinite": {"Inf"}, "too large": {"1e400"}, "exponent": {"1e3"}, "hexadecimal": {"0x10"}, "unit": {"2/s"},
		"point": {"."}, "two points": {"1.2.3"}, "a kilobyte of digits": {strings.Repeat("7", 1024)}, "signed": {"+2"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse(values)
			is := is.New(t)
			is.True(err != nil)
			is.True(len(err.Error()) < 100) // a long value is cut
		})
	}
}

// answer holds when its request was sent, when it arrived and which rate it names.
type answer struct {
	sent, at  time.Duration
	perSecond float64
}

// assertRate checks the rate after some answers have been observed.
func assertRate(t *testing.T, want float64, answers ...answer) {
	t.Helper()
	var l Limit
	for _, a := range answers {
		l.Observe(a.at, a.sent, a.perSecond)
	}
	is.New(t).Equal(l.Rate(), want)
}

// TestObserve guards against an answer to a request from before a limit was named that ends the
// limit, or brings back one that has ended.
func TestObserve(t *testing.T) {
	const s = time.Second
	t.Run("never named", func(t *testing.T) { assertRate(t, Unlimited, answer{1 * s, 2 * s, Unlimited}) })
	t.Run("named", func(t *testing.T) { assertRate(t, 2, answer{1 * s, 2 * s, 2}) })
	t.Run("ended", func(t *testing.T) {
		assertRate(t, Unlimited, answer{1 * s, 2 * s, 2}, answer{3 * s, 4 * s, Unlimited})
	})
	t.Run("overtaken by the first that names it", func(t *testing.T) {
		assertRate(t, 2, answer{1 * s, 3 * s, 2}, answer{2 * s, 4 * s, Unlimited})
	})
	t.Run("confirmed after the other was sent", func(t *testing.T) {
		assertRate(t, 2, answer{1 * s, 2 * s, 2}, answer{4 * s, 5 * s, 2}, answer{3 * s, 6 * s, Unlimited})
	})
	t.Run("overtaken and lower", func(t *testing.T) {
		assertRate(t, 1, answer{1 * s, 3 * s, 2}, answer{2 * s, 4 * s, 1})
	})
	t.Run("overtaken and higher", func(t *testing.T) {
		assertRate(t, 2, answer{1 * s, 3 * s, 2}, answer{2 * s, 4 * s, 5})
	})
	t.Run("rises", func(t *testing.T) { assertRate(t, 5, answer{1 * s, 2 * s, 2}, answer{3 * s, 4 * s, 5}) })
	t.Run("ended, then an earlier one comes", func(t *testing.T) {
		assertRate(t, Unlimited, answer{1 * s, 2 * s, 2}, answer{3 * s, 4 * s, Unlimited}, answer{2 * s, 5 * s, 2})
	})
	t.Run("nothing", func(t *testing.T) { assertRate(t, 0, answer{1 * s, 2 * s, 0}) })
}

// TestMerge guards against a host that spreads a limit which another host knows to have changed.
func TestMerge(t *testing.T) {
	is := is.New(t)
	var a, b Limit
	a.Observe(time.Second, 0, 2)
	is.True(b.Merge(2*time.Second, a))
	is.Equal(b.Rate(), 2.0)
	is.True(b.Observe(4*time.Second, 3*time.Second, Unlimited))
	is.True(!b.Merge(5*time.Second, a)) // sent again by the host that first observed it
	is.Equal(b.Rate(), Unlimited)
	is.True(a.Merge(5*time.Second, b))
	is.Equal(a.Rate(), Unlimited)

	low, high := Limit{Version: 7, PerSecond: 1}, Limit{Version: 7, PerSecond: 3}
	x, y := low, high
	is.True(!x.Merge(time.Second, high))
	is.True(y.Merge(time.Second, low))
	is.Equal(x.Rate(), y.Rate()) // of two with one version the lower one wins
}

// TestCheck guards against an out-of-range limit of another host.
func TestCheck(t *testing.T) {
	is := is.New(t)
	is.NoErr((&Limit{Version: 1, PerSecond: 0.5}).Check())
	is.NoErr((&Limit{Version: 3, PerSecond: Unlimited}).Check())
	for _, l := range []Limit{{Version: 0, PerSecond: 1}, {Version: maxVersion + 1}, {Version: 1, PerSecond: -1}, {Version: 1, PerSecond: math.NaN()}} {
		is.True(l.Check() != nil)
	}
}
