package router_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/sardineward/sardineward/faker"
)

// measure runs the whole tables of docs/MEASUREMENTS.md; without it a few rows
// are run, and what must hold of them is checked either way.
var measure = flag.Bool("measure", false, "run the whole tables of docs/MEASUREMENTS.md")

func standard(load float64) experiment {
	e := experiment{policy: policies[len(policies)-1].make, load: load, admit: true, seed: 1, warm: 4 * time.Second, length: 8 * time.Second}
	if !*measure {
		e.warm, e.length = 3*time.Second, 3*time.Second
	}
	return e
}

// show prints a table where a person asked for it.
func show(t *testing.T, table string) {
	t.Helper()
	if *measure {
		fmt.Print(table)
		return
	}
	t.Log("\n" + table)
}

// TestPolicies runs each policy for routes at several loads.
func TestPolicies(t *testing.T) {
	loads, rows := []float64{0.5, 0.8, 0.95, 1.2, 2}, policies
	if !*measure {
		loads, rows = loads[4:], rows[len(rows)-1:]
	}
	var out strings.Builder
	out.WriteString(header)
	ratios, late := make(map[string]float64), make(map[string]time.Duration)
	for _, p := range rows {
		for _, load := range loads {
			e := standard(load)
			e.policy = p.make
			x := e.run(t)
			ratios[p.name] = x.ratio()
			late[p.name] = time.Duration(x.gap.ValueAtQuantile(95)) * time.Microsecond
			out.WriteString(x.row(p.name))
		}
	}
	e := standard(2)
	e.admit = false
	x := e.run(t)
	out.WriteString(x.row("cheapest, no admission"))
	show(t, out.String())
	is := is.New(t)
	is.True(ratios["cheapest"] >= 0.9)
	is.True(ratios["cheapest"] >= ratios["random"])
	is.True(late["cheapest"] <= 60*time.Millisecond)
	is.True(x.ratio() < 0.5)
}

// TestPriority offers twice the bound, a tenth of it with a higher priority,
// which must be served as if the rest weren't there.
func TestPriority(t *testing.T) {
	e := standard(2)
	e.high = 0.1
	x := e.run(t)
	p95 := time.Duration(x.highFirst.ValueAtQuantile(95)) * time.Microsecond
	show(t, fmt.Sprintf("| first token of the higher tenth at twice the bound, p50/p95 ms | %d / %d |\n", x.highFirst.ValueAtQuantile(50)/1000, p95.Milliseconds()))
	is.New(t).True(p95 <= 600*time.Millisecond)
}

// TestSkew sends all callers to one of four hosts, which then must use what the
// others leave.
func TestSkew(t *testing.T) {
	var out strings.Builder
	out.WriteString(header)
	hosts := []int{4, 2, 1}
	if !*measure {
		hosts = hosts[2:]
	}
	for _, n := range hosts {
		e := standard(1.2)
		e.hosts = n
		x := e.run(t)
		out.WriteString(x.row(fmt.Sprintf("cheapest, callers at %d of 4 hosts", n)))
		is.New(t).True(x.ratio() >= 0.7)
	}
	show(t, out.String())
}

// harms are the failures that recovery is measured from.
var harms = []struct {
	name string
	harm func(x *result)
}{
	{"an upstream killed", func(x *result) { x.fleet.Engine("k1-0-15-1").Kill() }},
	{"an upstream paused", func(x *result) { x.fleet.Engine("k1-0-15-1").Pause() }},
	{"a link 100 times slower", func(x *result) { x.fleet.SlowLink("a", "b", 10*time.Millisecond) }},
	{"one of four entry hosts lost", func(x *result) { x.lose(x.hosts[1]) }},
	{"a data centre lost", func(x *result) { x.each("b", (*faker.Engine).Kill) }},
	{"a data centre back", func(x *result) { x.each("b", (*faker.Engine).Restart); x.probeAll() }},
}

// each does something to all engines of a data centre.
func (x *result) each(dc string, do func(*faker.Engine)) {
	for _, e := range x.fleet.Engines() {
		if e.Upstream.DataCentre == dc {
			do(e)
		}
	}
}

// probeAll is what the probers of a data centre find within a period.
func (x *result) probeAll() {
	for _, h := range x.hosts {
		for _, e := range x.fleet.Engines() {
			h.track.Report(time.Now(), e.Upstream.Name, e.Load())
			h.track.Good(time.Now(), e.Upstream.Name)
		}
	}
}

// lose ends an entry host: its streams break, and callers go to the others.
func (x *result) lose(h *entry) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h.dead = true
}

// TestRecovery measures, from each failure, how long tokens a second take to
// come back to within 5% of what was offered, or of the new bound.
func TestRecovery(t *testing.T) {
	rows := harms
	if !*measure {
		rows = harms[:1]
	}
	var out strings.Builder
	out.WriteString("| failure | back within 5% after ms | lowest second | longest gap ms | lost | retries |\n|---|---|---|---|---|---|\n")
	for _, row := range rows {
		e := standard(0.7)
		e.during = func(x *result) {
			x.gap.Reset()
			row.harm(x)
		}
		if row.name == "a data centre back" {
			e.before = func(x *result) { x.each("b", (*faker.Engine).Kill) }
		}
		x := e.run(t)
		after, lowest := x.recovery()
		fmt.Fprintf(&out, "| %s | %d | %.2f | %d | %d of %d | %d |\n", row.name, after.Milliseconds(), lowest, x.gap.Max()/1000, x.lost, x.asked, x.again)
		is.New(t).True(after < 4*time.Second)
	}
	show(t, out.String())
}

// recovery slides a second over the tokens after the failure.
func (x *result) recovery() (after time.Duration, lowest float64) {
	const second = int(time.Second / bucketSize)
	begin := int(x.warm / bucketSize)
	up, err := x.hosts[0].track.Bound(time.Now(), pipeline, false)
	want := min(x.load*x.bound, up/work())
	if err != nil || want == 0 {
		return 0, 0
	}
	lowest = 1
	after = -1
	for i := begin; i+second <= len(x.buckets) && i < begin+int(x.length/bucketSize)-second; i++ {
		sum := 0
		for _, n := range x.buckets[i : i+second] {
			sum += n
		}
		part := float64(sum) / want
		lowest = min(lowest, part)
		if part >= 0.95 && after < 0 {
			after = time.Duration(i-begin) * bucketSize
		}
		if part < 0.95 && after >= 0 && time.Duration(i-begin)*bucketSize < 2*time.Second {
			after = -1
		}
	}
	if after < 0 {
		after = x.length
	}
	return after, lowest
}
