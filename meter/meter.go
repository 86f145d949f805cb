// Package meter holds the counters and gauges of a host. Each refusal reason
// and each retry cause has its counter from the start, so that an alert can be
// set on one that never happened yet.
package meter

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "sardineward"

// Meter is the set of one host.
type Meter struct {
	Registry *prometheus.Registry
	// Refusals counts by reason, Retries by cause.
	Refusals, Retries *prometheus.CounterVec
	// Requests counts answered requests by workspace and kind.
	Requests *prometheus.CounterVec
	// FirstToken and Gap are times of generations, in seconds.
	FirstToken, Gap prometheus.Histogram
	// LimitsUnreadable counts answers that named a limit which can't be read.
	LimitsUnreadable prometheus.Counter
	// Bound is the throughput bound by pipeline, in tokens a second.
	Bound *prometheus.GaugeVec
}

// New returns a meter whose refusals and retries have a counter for each of
// the given labels.
func New(reasons, causes []string) *Meter {
	m := &Meter{
		Registry:   prometheus.NewRegistry(),
		Refusals:   counter("refusals_total", "Requests refused or given up on, by reason.", "reason"),
		Retries:    counter("retries_total", "Further attempts, by the cause that ended the one before.", "cause"),
		Requests:   counter("requests_total", "Requests answered whole.", "workspace", "kind"),
		FirstToken: histogram("first_token_seconds", "Time to the first token of a generation."),
		Gap:        histogram("token_gap_seconds", "Time between tokens of a generation, sampled."),
		LimitsUnreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "limits_unreadable_total", Help: "Answers that named a limit which can't be read.",
		}),
		Bound: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "bound_tokens_per_second", Help: "Most tokens a second that what is up can carry.",
		}, []string{"pipeline"}),
	}
	for _, r := range reasons {
		m.Refusals.WithLabelValues(r)
	}
	for _, c := range causes {
		m.Retries.WithLabelValues(c)
	}
	m.Registry.MustRegister(m.Refusals, m.Retries, m.Requests, m.FirstToken, m.Gap, m.LimitsUnreadable, m.Bound)
	m.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Func registers a gauge that is read when asked for.
func (m *Meter) Func(name, help string, f func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

// CounterFunc registers a counter that is read when asked for.
func (m *Meter) CounterFunc(name, help string, f func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, f))
}

// Labels gives the names of an enum's values.
func Labels[T fmt.Stringer](values []T) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = v.String()
	}
	return out
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: []float64{.001, .002, .005, .01, .02, .03, .048, .07, .1, .2, .3, .44, .7, 1, 2, 5, 10},
	})
}
