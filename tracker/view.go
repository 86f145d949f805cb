package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/picker"
)

// Status describes one upstream for operators.
type Status struct {
	Upstream    string `json:"upstream"`
	DataCentre  string `json:"dataCentre"`
	State       State  `json:"state"`
	Incarnation int64  `json:"incarnation"`
	// InFlight counts the sequences of this host, Sequences estimates those of all hosts.
	InFlight  int     `json:"inFlight"`
	Sequences float64 `json:"sequences"`
	// ReportAgeMs is the age of the last load report in milliseconds; -1 before the first one.
	ReportAgeMs int64 `json:"reportAgeMs"`
}

// Statuses returns the status of all upstreams, sorted by name.
func (t *Tracker) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.upstreams))
	for name, u := range t.upstreams {
		age := int64(-1)
		if u.hasLoad {
			age = now.Sub(u.loadAt).Milliseconds()
		}
		out = append(out, Status{
			Upstream:    name,
			DataCentre:  u.cfg.DataCentre,
			State:       u.stateAt(now),
			Incarnation: u.incarnation,
			InFlight:    u.inFlight,
			Sequences:   u.sequences(now, 1),
			ReportAgeMs: age,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Upstream returns the declaration of an upstream, and whether it exists.
func (t *Tracker) Upstream(name string) (builder.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[name]
	if u == nil {
		return builder.Upstream{}, false
	}
	return u.cfg, true
}

// Upstreams returns the declarations of the upstreams in a data centre, sorted by name; an empty
// data centre means all.
func (t *Tracker) Upstreams(dataCentre string) []builder.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []builder.Upstream
	for _, u := range t.upstreams {
		if dataCentre == "" || u.cfg.DataCentre == dataCentre {
			out = append(out, u.cfg)
		}
	}
	slices.SortFunc(out, func(a, b builder.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Model returns the model of a pipeline, and whether the pipeline exists.
func (t *Tracker) Model(name string) (builder.Model, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pipelines[name]; p != nil {
		return p.model, true
	}
	return builder.Model{}, false
}

// ExpectedTokenGap estimates the time between two tokens on a route, including links. It is 0 for
// an unknown pipeline.
func (t *Tracker) ExpectedTokenGap(now time.Time, name string, route picker.Route, from string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pipelines[name]
	if p == nil {
		return 0
	}
	var sum time.Duration
	at := from
	hosts := t.hostCount(p)
	for _, h := range route {
		u := t.upstreams[h.Upstream]
		if u == nil {
			continue
		}
		c := t.candidate(now, p, u, hosts)
		n := min(c.Sequences, float64(c.Batch))
		sum += c.StepTime + time.Duration(n*float64(h.Last-h.First+1)*float64(c.LayerTime))
		sum += t.links.Latency(at, c.DataCentre)
		at = c.DataCentre
	}
	return sum + t.links.Latency(at, from)
}

// ThroughputBound returns the throughput bound of a pipeline in tokens per second, over the
// upstreams that are up or, if declared is set, over all declared ones. The cost of prompts is not
// included.
func (t *Tracker) ThroughputBound(now time.Time, name string, declared bool) (float64, error) {
	t.mu.Lock()
	p := t.pipelines[name]
	if p == nil {
		t.mu.Unlock()
		return 0, nil
	}
	cands := make([]picker.Candidate, 0, len(p.all))
	for _, u := range p.all {
		c := t.candidate(now, p, u, 1)
		c.Excluded = !declared && c.Excluded
		cands = append(cands, c)
	}
	limits, layers := t.limits, p.model.Layers
	t.mu.Unlock()
	return picker.ThroughputBound(cands, layers, limits, 1)
}
