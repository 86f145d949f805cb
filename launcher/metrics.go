package launcher

import (
	"time"

	"github.com/sardineward/sardineward/balancer"
	"github.com/sardineward/sardineward/connector"
	"github.com/sardineward/sardineward/meter"
	"github.com/sardineward/sardineward/sharer"
	"github.com/sardineward/sardineward/storer"
)

// exportMetrics registers the metrics whose values are computed on each scrape.
func (h *Host) exportMetrics() {
	m := h.meter
	m.Info("build_info", "1; the label identifies the program.", "version", h.Version)
	m.GaugeFunc("knowledge_age_seconds", "Age of configuration, keys and list, also by what peers answered.", func() float64 { return h.follower.Age().Seconds() })
	m.GaugeFunc("source_age_seconds", "Age of what this host read from the store itself.", func() float64 { return h.follower.OwnAge().Seconds() })
	m.GaugeFunc("read_age_seconds", "Age of what this host read from the store or was told by a relay.", func() float64 { return h.follower.ReadAge().Seconds() })
	m.GaugeFunc("reader", "1 while this host reads the store for its data centre.", func() float64 { return boolGauge(h.sharer.ReadsSource()) })
	m.GaugeFunc("relay", "1 while the hosts of this data centre report to this one.", func() float64 { return boolGauge(h.sharer.IsRelay()) })
	m.GaugeFunc("source_revision", "Revision of the store up to which this host knows upstreams and hosts.", func() float64 { return float64(h.follower.Position().Revision) })
	m.GaugeFunc("source_era", "How often the store came back from a copy, as this host knows; 0 where it does not say.", func() float64 { return float64(h.follower.Position().Era) })
	m.GaugeFunc("configuration_version", "Version of the configuration in force; 0 is none.", func() float64 {
		if t := h.follower.Table(); t != nil {
			return float64(t.Version)
		}
		return 0
	})
	m.GaugeFunc("hosts", "Other entry hosts that are listed.", func() float64 { return float64(len(h.follower.Hosts())) })
	m.GaugeFunc("retry_budget_hosts", "Hosts by which the fixed part of the retry budgets is divided: the most that were known in the last ten minutes.", func() float64 { return float64(h.fleetSize.Max(h.Now())) })
	m.GaugeFunc("requests_in_flight", "Requests being answered.", func() float64 { return float64(h.forwarder.InFlight()) })
	m.GaugeFunc("held_body_bytes", "Bytes reserved for long request bodies.", func() float64 { bodies, _ := h.forwarder.HeldBytes(); return float64(bodies) })
	m.GaugeFunc("held_answer_bytes", "Bytes reserved for long responses.", func() float64 { _, answers := h.forwarder.HeldBytes(); return float64(answers) })
	m.GaugeFunc("upstreams_lost_seconds", "Time since no upstream accepts connections from this host; 0 while any does.", func() float64 {
		s := h.forwarder.Detector.State(h.Now())
		if !s.Lost || s.Returning {
			return 0
		}
		return (h.Now() - s.Since).Seconds()
	})
	m.GaugeFunc("delegated_requests", "Requests that other hosts serve now for this one.", func() float64 { delegated, _ := h.forwarder.Delegator.InFlight(); return float64(delegated) })
	m.GaugeFunc("delegated_requests_taken", "Requests that this host serves now for others.", func() float64 { _, taken := h.forwarder.Delegator.InFlight(); return float64(taken) })
	m.GaugeFunc("ready", "1 while this host takes requests.", func() float64 { return boolGauge(h.forwarder.Ready()) })
	m.GaugeFunc("duty_held", "1 while this host gives orders to engines.", func() float64 { return boolGauge(h.registrar.HoldingAny()) })
	for _, state := range balancer.StateValues() {
		m.GaugeFunc("upstreams_"+state.String(), "Upstreams in this state.", func() float64 { return float64(h.balancer.Count(h.Now(), state)) })
	}
	m.GaugeFunc("isolated_parts", "Parts of prompts with which requests are refused, as they crash upstreams.", func() float64 { return float64(len(h.forwarder.Isolator.Isolated())) })
	m.GaugeFunc("upstreams_in_use", "Upstreams that this host sends to or has requests at; a part of a large fleet.", func() float64 { return float64(h.balancer.SubsetSize(h.Now())) })
	m.GaugeFunc("spread_degree", "How much requests are spread over engines by the rejections observed: 0 for the cheapest path, 1 in proportion to the capacity left.", func() float64 { return h.balancer.SpreadDegree(h.Now()) })
	m.GaugeFunc("limits_in_force", "Upstreams that name a limit in their answers.", func() float64 { return float64(h.balancer.LimitCount()) })
	m.CounterFunc("limited_requests_sent_total", "Requests sent to upstreams while they named a limit.", func() float64 { return float64(h.balancer.LimitedSentCount()) })
	m.CounterFunc("limited_requests_held_off_total", "Requests that did not go to an upstream since its limit had no room.", func() float64 { return float64(h.balancer.ThrottledCount()) })
	m.CounterFunc("backoffs_total", "Times that an upstream asked this host to send nothing for a while.", func() float64 { return float64(h.balancer.BackoffCount()) })
	m.CounterFunc("backoff_requests_held_off_total", "Requests that did not go to an upstream because of its backoff.", func() float64 { return float64(h.balancer.WithheldCount()) })
	m.CounterFunc("outdated_entries_total", "Entries of upstreams that were ignored, since they arrived after a later one.", func() float64 { return float64(h.balancer.OutdatedEntryCount()) })
	m.CounterFunc("leaves_announced_total", "Upstreams that announced in a response that they leave.", func() float64 { return float64(h.balancer.LeavingCount()) })
	if h.DroppedLogLines != nil {
		m.CounterFunc("log_lines_dropped_total", "Log lines that were too many, or whose reader was too slow.", h.DroppedLogLines)
	}
	for _, p := range connector.PurposeValues() {
		m.ConnectionsOpened.WithLabelValues(p.String())
	}
	if c, ok := h.Store.(storer.Counter); ok {
		purposes := meter.LabelValues(storer.PurposeValues())
		m.CounterFuncs("store_calls_total", "Calls on the store, by what they are for.", "purpose", purposes, func(i int) float64 { return float64(c.CallCount(storer.Purpose(i))) })
		m.CounterFuncs("store_calls_failed_total", "Calls on the store that it refused or did not answer.", "purpose", purposes, func(i int) float64 { return float64(c.FailedCallCount(storer.Purpose(i))) })
	}
	h.exportConfigurationMetrics()
	m.CounterFunc("connections_opened_total", "Connections made to upstreams.", func() float64 { return float64(h.connectionsOpened.Load()) })
}

// exportConfigurationMetrics registers the bytes and the decoding time of configurations. The decoding time of
// those read from the store counts as that of whole ones; their bytes do not count.
func (h *Host) exportConfigurationMetrics() {
	m, values := h.meter, sharer.ConfigurationKindValues()
	kinds := meter.LabelValues(values)
	m.CounterFuncs("configuration_bytes_sent_total", "Bytes of configurations sent to other hosts, compressed: whole, or what changed.", "kind", kinds, func(i int) float64 { return float64(h.sharer.ConfigurationBytesSent(values[i])) })
	m.CounterFuncs("configuration_bytes_received_total", "Bytes of configurations received from other hosts.", "kind", kinds, func(i int) float64 { return float64(h.sharer.ConfigurationBytesReceived(values[i])) })
	m.CounterFuncs("configuration_decode_seconds_total", "Time spent on decoding configurations, also those read from the store.", "kind", kinds, func(i int) float64 {
		took := h.sharer.ConfigurationDecodeTime(values[i])
		if s, ok := h.Source.(interface{ ConfigurationDecodeTime() time.Duration }); ok && values[i] == sharer.ConfigurationWhole {
			took += s.ConfigurationDecodeTime()
		}
		return took.Seconds()
	})
}

// exportRetryBudgets sets the metrics of the retry budgets of all services.
func (h *Host) exportRetryBudgets() {
	for service, b := range h.retryBudgets.All() {
		u := b.Usage(h.Now())
		h.meter.RetriesUsed.WithLabelValues(service).Set(u.Retries)
		h.meter.RetriesAvailable.WithLabelValues(service).Set(u.Available())
	}
}

// countConnection counts a connection to an upstream by its purpose.
func (h *Host) countConnection(p connector.Purpose) {
	h.meter.ConnectionsOpened.WithLabelValues(p.String()).Inc()
	if p == connector.PurposeStream || p == connector.PurposePlain {
		h.connectionsOpened.Add(1)
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(ok bool) float64 {
	if ok {
		return 1
	}
	return 0
}
