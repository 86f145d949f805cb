package tracker

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineward/sardineward/builder"
	"github.com/sardineward/sardineward/picker"
)

// Status is one upstream as operators see it.
type Status struct {
	Upstream    string  `json:"upstream"`
	DataCentre  string  `json:"dataCentre"`
	State       State   `json:"state"`
	Incarnation int64   `json:"incarnation"`
	InFlight    int     `json:"inFlight"`
	Sequences   float64 `json:"sequences"`
	// ReportAgeMs is -1 when no report came yet.
	ReportAgeMs int64 `json:"reportAgeMs"`
}

// Statuses lists all upstreams by name.
func (t *Tracker) Statuses(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Status, 0, len(t.ups))
	for name, u := range t.ups {
		age := int64(-1)
		if u.reported {
			age = now.Sub(u.loadAt).Milliseconds()
		}
		out = append(out, Status{
			Upstream:    name,
			DataCentre:  u.cfg.DataCentre,
			State:       u.stateAt(now),
			Incarnation: u.incarnation,
			InFlight:    u.own,
			Sequences:   u.sequences(now, 1),
			ReportAgeMs: age,
		})
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}

// Upstream returns an upstream's declaration.
func (t *Tracker) Upstream(name string) (builder.Upstream, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.ups[name]
	if u == nil {
		return builder.Upstream{}, false
	}
	return u.cfg, true
}

// Upstreams returns the declarations of a data centre; empty means all.
func (t *Tracker) Upstreams(dataCentre string) []builder.Upstream {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []builder.Upstream
	for _, u := range t.ups {
		if dataCentre == "" || u.cfg.DataCentre == dataCentre {
			out = append(out, u.cfg)
		}
	}
	slices.SortFunc(out, func(a, b builder.Upstream) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Model returns the model of a pipeline.
func (t *Tracker) Model(name string) (builder.Model, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.pipelines[name]; p != nil {
		return p.model, true
	}
	return builder.Model{}, false
}

// Expect estimates the time between two tokens on a route, links included.
func (t *Tracker) Expect(now time.Time, name string, route picker.Route, from string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pipelines[name]
	if p == nil {
		return 0
	}
	var sum time.Duration
	at := from
	sharers := t.sharers(p)
	for _, h := range route {
		u := t.ups[h.Upstream]
		if u == nil {
			continue
		}
		c := t.candidate(now, p, u, sharers)
		n := min(c.Sequences, float64(c.Batch))
		sum += c.Step + time.Duration(n*float64(h.Last-h.First+1)*float64(c.Layer))
		sum += t.links.Latency(at, c.DataCentre)
		at = c.DataCentre
	}
	return sum + t.links.Latency(at, from)
}

// Bound is the throughput bound of a pipeline in tokens a second: over what is
// up now, or over everything declared; prompts are left out.
func (t *Tracker) Bound(now time.Time, name string, declared bool) (float64, error) {
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
	return picker.Bound(cands, layers, limits, 1)
}
