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

// measure runs every row of the tables in docs/MEASUREMENTS.md; without it only a few rows run. The
// assertions are the same either way.
var measure = flag.Bool("measure", false, "run the whole tables of docs/MEASUREMENTS.md")

func defaultExperiment(load float64) experiment {
	e := experiment{policy: policies[len(policies)-1].make, load: load, limitAdmission: true, seed: 1, warmUp: 4 * time.Second, length: 8 * time.Second}
	if !*measure {
		e.warmUp, e.length = 3*time.Second, 3*time.Second
	}
	return e
}

// printTable prints a table to standard output with -measure, and to the test log otherwise.
func printTable(t *testing.T, table string) {
	t.Helper()
	if *measure {
		fmt.Print(table)
		return
	}
	t.Log("\n" + table)
}

// TestPolicies runs each routing policy at several loads. Cheapest must serve at least 0.9 of the
// bound with a p95 token gap of at most 60 ms; without admission control less than half is on time.
func TestPolicies(t *testing.T) {
	loads, rows := []float64{0.5, 0.8, 0.95, 1.2, 2}, policies
	if !*measure {
		loads, rows = loads[4:], rows[len(rows)-1:]
	}
	var out strings.Builder
	out.WriteString(header)
	ratios, p95Gap := make(map[string]float64), make(map[string]time.Duration)
	for _, p := range rows {
		for _, load := range loads {
			e := defaultExperiment(load)
			e.policy = p.make
			x := e.run(t)
			ratios[p.name] = x.ratio()
			p95Gap[p.name] = time.Duration(x.tokenGap.ValueAtQuantile(95)) * time.Microsecond
			out.WriteString(x.row(p.name))
		}
	}
	e := defaultExperiment(2)
	e.limitAdmission = false
	x := e.run(t)
	out.WriteString(x.row("cheapest, no admission"))
	printTable(t, out.String())
	is := is.New(t)
	is.True(ratios["cheapest"] >= 0.9)
	is.True(ratios["cheapest"] >= ratios["random"])
	is.True(p95Gap["cheapest"] <= 60*time.Millisecond)
	is.True(x.ratio() < 0.5)
}

// TestPriority offers twice the bound, a tenth of it with a higher priority. The higher tenth must
// be served as if there were no other load.
func TestPriority(t *testing.T) {
	e := defaultExperiment(2)
	e.highPriorityFraction = 0.1
	x := e.run(t)
	p95 := time.Duration(x.highFirstToken.ValueAtQuantile(95)) * time.Microsecond
	printTable(t, fmt.Sprintf("| first token of the higher tenth at twice the bound, p50/p95 ms | %d / %d |\n", x.highFirstToken.ValueAtQuantile(50)/1000, p95.Milliseconds()))
	is.New(t).True(p95 <= 600*time.Millisecond)
}

// TestSkewedCallers sends all callers to one of four hosts, which must then use the capacity that
// the other hosts leave unused.
func TestSkewedCallers(t *testing.T) {
	var out strings.Builder
	out.WriteString(header)
	hosts := []int{4, 2, 1}
	if !*measure {
		hosts = hosts[2:]
	}
	for _, n := range hosts {
		e := defaultExperiment(1.2)
		e.hosts = n
		x := e.run(t)
		out.WriteString(x.row(fmt.Sprintf("cheapest, callers at %d of 4 hosts", n)))
		is.New(t).True(x.ratio() >= 0.7)
	}
	printTable(t, out.String())
}

// failures lists the failures that TestRecovery injects. The names are rows of docs/MEASUREMENTS.md.
var failures = []struct {
	name   string
	inject func(x *result)
}{
	{"an upstream killed", func(x *result) { x.fleet.Engine("k1-0-15-1").Kill() }},
	{"an upstream paused", func(x *result) { x.fleet.Engine("k1-0-15-1").Pause() }},
	{"a link 100 times slower", func(x *result) { x.fleet.SetExtraLatency("a", "b", 10*time.Millisecond) }},
	{"one of four entry hosts lost", func(x *result) { x.loseHost(x.hosts[1]) }},
	{"a data centre lost", func(x *result) { x.eachEngine("b", (*faker.Engine).Kill) }},
	{"a data centre back", func(x *result) { x.eachEngine("b", (*faker.Engine).Restart); x.probeAll() }},
}

// eachEngine calls do for every engine of a data centre.
func (x *result) eachEngine(dc string, do func(*faker.Engine)) {
	for _, e := range x.fleet.Engines() {
		if e.Upstream.DataCentre == dc {
			do(e)
		}
	}
}

// probeAll reports every engine as answering to every host, as probers do within one period.
func (x *result) probeAll() {
	for _, h := range x.hosts {
		for _, e := range x.fleet.Engines() {
			h.tracker.RecordLoad(time.Now(), e.Upstream.Name, e.Load())
			h.tracker.RecordProbeSuccess(time.Now(), e.Upstream.Name)
		}
	}
}

// loseHost stops an entry host: its streams break, and callers go to the other hosts.
func (x *result) loseHost(h *entryHost) {
	x.mu.Lock()
	defer x.mu.Unlock()
	h.dead = true
}

// TestRecovery measures how long after each failure the tokens per second are back within 5% of the
// offered load, or of the remaining bound where that is lower.
func TestRecovery(t *testing.T) {
	rows := failures
	if !*measure {
		rows = failures[:1]
	}
	var out strings.Builder
	out.WriteString("| failure | back within 5% after ms | lowest second | longest gap ms | lost | retries |\n|---|---|---|---|---|---|\n")
	for _, row := range rows {
		e := defaultExperiment(0.7)
		e.afterWarmUp = func(x *result) {
			x.tokenGap.Reset()
			row.inject(x)
		}
		if row.name == "a data centre back" {
			e.atStart = func(x *result) { x.eachEngine("b", (*faker.Engine).Kill) }
		}
		x := e.run(t)
		after, lowest := x.recoveryTime()
		fmt.Fprintf(&out, "| %s | %d | %.2f | %d | %d of %d | %d |\n", row.name, after.Milliseconds(), lowest, x.tokenGap.Max()/1000, x.lost, x.requests, x.retries)
		is.New(t).True(after < 4*time.Second)
	}
	printTable(t, out.String())
}

// recoveryTime moves a window of one second over the tokens after the failure. after is the time
// until the rate is within 5% of the expected rate, lowest the lowest fraction of it seen. If the
// rate drops again in the first two seconds, after counts until the next recovery.
func (x *result) recoveryTime() (after time.Duration, lowest float64) {
	const second = int(time.Second / bucketDuration)
	begin := int(x.warmUp / bucketDuration)
	available, err := x.hosts[0].tracker.ThroughputBound(time.Now(), pipeline, false)
	want := min(x.load*x.bound, available/iterationsPerToken())
	if err != nil || want == 0 {
		return 0, 0
	}
	lowest = 1
	after = -1
	for i := begin; i+second <= len(x.buckets) && i < begin+int(x.length/bucketDuration)-second; i++ {
		sum := 0
		for _, n := range x.buckets[i : i+second] {
			sum += n
		}
		fraction := float64(sum) / want
		lowest = min(lowest, fraction)
		if fraction >= 0.95 && after < 0 {
			after = time.Duration(i-begin) * bucketDuration
		}
		if fraction < 0.95 && after >= 0 && time.Duration(i-begin)*bucketDuration < 2*time.Second {
			after = -1
		}
	}
	if after < 0 {
		after = x.length
	}
	return after, lowest
}
