// Package meter holds the Prometheus metrics of a host. Each refusal reason and each retry cause has
// its counter from the start, at 0, so that alerts can be set on those that have not happened yet.
package meter

import (
	"fmt"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

const namespace = "sardineward"

// Meter is the set of metrics of one host, all registered in Registry.
type Meter struct {
	Registry *prometheus.Registry
	// Refusals counts refused requests by reason, Retries counts further attempts by the cause
	// that ended the attempt before.
	Refusals, Retries *prometheus.CounterVec
	// RankRefusals counts refused requests by rank and reason, at services with several ranks.
	RankRefusals *prometheus.CounterVec
	// Requests counts requests answered in full, by workspace and kind.
	Requests *prometheus.CounterVec
	// FirstToken is the time to the first token of a generation, TokenGap the time between its
	// tokens, with one sample for each generation: the mean gap, or the longest gap on a host that
	// forwards by a route table. Both are in seconds.
	FirstToken, TokenGap prometheus.Histogram
	// TickDelay is how late the periodic checks for silent upstreams run, in seconds. It shows a host that is short of
	// processor time, which can't tell whether others are late.
	TickDelay prometheus.Histogram
	// NotRepeated counts requests that may have run and were not sent again, as they must not run twice, by how the
	// attempt ended.
	NotRepeated *prometheus.CounterVec
	// StreamsCut counts streams that had begun and were ended early, by cause; they are also among
	// Refusals.
	StreamsCut *prometheus.CounterVec
	// UnansweredChecks counts checks of upstreams, and dials for requests, that got no answer in time, by finding of
	// package assessor.
	UnansweredChecks *prometheus.CounterVec
	// Strikes counts requests in flight at the crash of an upstream, once for each crash.
	Strikes prometheus.Counter
	// Rejections counts upstreams' responses that reject a request without running it, by status
	// and by whether they name a Retry-After.
	Rejections *prometheus.CounterVec
	// Returns counts callers that found no capacity and were given a time to return, those that came
	// at such a time, and those of them beyond what was promised, by step.
	Returns *prometheus.CounterVec
	// PathRejections counts the rejections by an upstream on a path of engines, by what this host knew
	// of its usage.
	PathRejections *prometheus.CounterVec
	// ShareRefusals counts requests refused because their workspace exceeded its share; they are
	// also among Refusals.
	ShareRefusals prometheus.Counter
	// LimitsUnreadable counts upstreams' responses with a limit that can't be parsed.
	LimitsUnreadable prometheus.Counter
	// AnnouncementsUnreadable counts upstreams' responses with an announcement that can't be
	// parsed, by header.
	AnnouncementsUnreadable *prometheus.CounterVec
	// ResponsesSkipped counts responses of upstreams that were skipped, as they belong to another request.
	ResponsesSkipped prometheus.Counter
	// ConnectionsOpened counts connections opened to upstreams, by purpose.
	ConnectionsOpened *prometheus.CounterVec
	// Delegations counts requests that were sent to other hosts, or taken from them, while a host reached no
	// upstream, by direction and outcome.
	Delegations *prometheus.CounterVec
	// RetriesUsed is the number of retries of a service in the window of its budget, RetriesAvailable how
	// many more this host may make now.
	RetriesUsed, RetriesAvailable *prometheus.GaugeVec
	// ThroughputBound is the upper bound of each pipeline's throughput, in tokens per second.
	ThroughputBound *prometheus.GaugeVec
}

// New returns a Meter with a counter for each of the given reasons of refusals and causes of
// retries. It also registers the metrics of the Go runtime and of the process.
func New(reasons, causes []string) *Meter {
	m := &Meter{
		Registry:         prometheus.NewRegistry(),
		Refusals:         counter("refusals_total", "Requests refused or given up on, by reason.", "reason"),
		Retries:          counter("retries_total", "Further attempts, by the cause that ended the one before.", "cause"),
		Requests:         counter("requests_total", "Requests answered whole.", "workspace", "kind"),
		NotRepeated:      counter("not_repeated_total", "Requests that may have run and must not run twice, by how the attempt ended.", "cause"),
		RankRefusals:     counter("rank_refusals_total", "Requests refused at services with several ranks.", "rank", "reason"),
		FirstToken:       histogram("first_token_seconds", "Time to the first token of a generation."),
		TokenGap:         histogram("token_gap_seconds", "Time between tokens of a generation, sampled."),
		TickDelay:        histogram("tick_delay_seconds", "How late the periodic checks for silent upstreams run."),
		StreamsCut:       counter("streams_cut_total", "Streams that had begun and were ended early, by cause.", "cause"),
		UnansweredChecks: counter("unanswered_checks_total", "Checks of upstreams without an answer in time, by what was concluded.", "finding"),
		Rejections:       counter("upstream_rejections_total", "Requests that upstreams rejected without running them.", "status", "retryAfter"),
		Returns:          counter("returns_total", "Refused callers: promised a time to return, kept, which came at such a time, and excess, those of them beyond the promised part of the capacity.", "step"),
		PathRejections:   counter("path_rejections_total", "Requests that engines rejected for want of capacity or without a known cause.", "cause"),
		ShareRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "share_refusals_total", Help: "Requests refused since their workspace exceeded its share in a shortage.",
		}),
		ResponsesSkipped: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "upstream_responses_skipped_total", Help: "Responses of upstreams to other requests than the one that waited.",
		}),
		Strikes: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "strikes_total", Help: "Requests in flight at the crash of an upstream, once for each crash.",
		}),
		LimitsUnreadable: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "limits_unreadable_total", Help: "Answers that named a limit which can't be read.",
		}),
		AnnouncementsUnreadable: counter("announcements_unreadable_total", "Responses of upstreams with a Retry-After or a leave that can't be read.", "header"),
		ConnectionsOpened:       counter("upstream_connections_opened_total", "Connections opened to upstreams, by what they are opened for.", "purpose"),
		Delegations:             counter("delegations_total", "Requests that another host serves for one which reaches no upstream: sent to it or taken, by outcome.", "direction", "outcome"),
		RetriesUsed:             gauge("retries_in_window", "Retries of a service in the window of its budget.", "service"),
		RetriesAvailable:        gauge("retries_available", "Retries of a service that this host may make now.", "service"),
		ThroughputBound:         gauge("bound_tokens_per_second", "Most tokens a second that what is up can carry.", "pipeline"),
	}
	for _, r := range reasons {
		m.Refusals.WithLabelValues(r)
	}
	for _, c := range causes {
		m.Retries.WithLabelValues(c)
	}
	for _, step := range []string{"promised", "kept", "excess"} {
		m.Returns.WithLabelValues(step)
	}
	m.Registry.MustRegister(m.TickDelay, m.NotRepeated, m.StreamsCut, m.UnansweredChecks, m.Refusals, m.RankRefusals, m.Retries, m.Requests, m.FirstToken, m.TokenGap, m.Rejections, m.PathRejections, m.Returns, m.ShareRefusals, m.Strikes, m.LimitsUnreadable, m.AnnouncementsUnreadable, m.ResponsesSkipped, m.ConnectionsOpened, m.Delegations, m.RetriesUsed, m.RetriesAvailable, m.ThroughputBound)
	m.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// GaugeFunc registers a gauge whose value f returns whenever the metrics are collected. It panics when
// the name is taken.
func (m *Meter) GaugeFunc(name, help string, f func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, f))
}

// Info registers a gauge that is always 1, for the value of its label.
func (m *Meter) Info(name, help, label, value string) {
	opts := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: value}}
	m.Registry.MustRegister(prometheus.NewGaugeFunc(opts, func() float64 { return 1 }))
}

// CounterFunc is like GaugeFunc, but registers a counter; the value that f returns must never decrease.
func (m *Meter) CounterFunc(name, help string, f func() float64) {
	m.Registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, f))
}

// CounterFuncs is like CounterFunc for several counters of one name, one for each value of a label.
func (m *Meter) CounterFuncs(name, help, label string, values []string, f func(i int) float64) {
	for i, v := range values {
		opts := prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help, ConstLabels: prometheus.Labels{label: v}}
		m.Registry.MustRegister(prometheus.NewCounterFunc(opts, func() float64 { return f(i) }))
	}
}

// LabelValues returns the texts of an enum's values, for use as label values.
func LabelValues[T fmt.Stringer](values []T) []string {
	out := make([]string, len(values))
	for i, v := range values {
		out[i] = v.String()
	}
	return out
}

// counter returns a counter with labels, in the namespace of the program.
func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// histogram returns a histogram of durations in seconds, with buckets from 1 ms to 10 s.
func histogram(name, help string) prometheus.Histogram {
	return prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: name, Help: help,
		Buckets: []float64{.001, .002, .005, .01, .02, .03, .048, .07, .1, .2, .3, .44, .7, 1, 2, 5, 10},
	})
}
