package builder

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/sardineward/sardineward/parser"
)

// reviewer collects what the schema can't see: names that clash or lead
// nowhere, and layer ranges that don't tile their model.
type reviewer struct {
	doc       *parser.Document
	cfg       *Configuration
	found     parser.Findings
	models    map[string]Model
	kinds     map[string]Accelerator
	upstreams map[string]Upstream
}

func check(doc *parser.Document, cfg *Configuration) parser.Findings {
	r := &reviewer{doc: doc, cfg: cfg}
	r.models = index(r, "models", cfg.Models, func(m Model) string { return m.Name })
	r.kinds = index(r, "accelerators", cfg.Accelerators, func(a Accelerator) string { return a.Name })
	r.upstreams = index(r, "upstreams", cfg.Upstreams, func(u Upstream) string { return u.Name })
	pipelines := index(r, "pipelines", cfg.Pipelines, func(p Pipeline) string { return p.Name })
	services := index(r, "services", cfg.Services, func(s Service) string { return s.Name })
	index(r, "workspaces", cfg.Workspaces, func(w Workspace) string { return w.Name })
	for i, u := range cfg.Upstreams {
		r.upstream(i, u)
	}
	for i, p := range cfg.Pipelines {
		r.pipeline(i, p)
	}
	for i, s := range cfg.Services {
		r.service(i, s)
	}
	keys := make(map[string]string)
	for i, w := range cfg.Workspaces {
		at := fmt.Sprintf("/workspaces/%d", i)
		known(r, at+"/pipelines", "pipeline", w.Pipelines, pipelines)
		known(r, at+"/services", "service", w.Services, services)
		for n, h := range w.KeyHashes {
			if other, ok := keys[h]; ok {
				r.add(fmt.Sprintf("%s/keyHashes/%d", at, n), "key already names workspace %q", other)
			}
			keys[h] = w.Name
		}
	}
	return r.found
}

func (r *reviewer) add(pointer, format string, args ...any) {
	r.found = append(r.found, r.doc.At(pointer, fmt.Sprintf(format, args...)))
}

func index[T any](r *reviewer, group string, list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for i, item := range list {
		n := name(item)
		if _, ok := out[n]; ok {
			r.add(fmt.Sprintf("/%s/%d", group, i), "%q stands twice in %s", n, group)
		}
		out[n] = item
	}
	return out
}

func known[T any](r *reviewer, pointer, what string, names []string, in map[string]T) {
	for i, n := range names {
		if _, ok := in[n]; !ok {
			r.add(fmt.Sprintf("%s/%d", pointer, i), "unknown %s %q", what, n)
		}
	}
}

func (r *reviewer) upstream(i int, u Upstream) {
	at := fmt.Sprintf("/upstreams/%d", i)
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		r.add(at+"/address", "want IP:port, have %q", u.Address)
	}
	if u.Model == "" {
		return
	}
	m, ok := r.models[u.Model]
	if !ok {
		r.add(at+"/model", "unknown model %q", u.Model)
		return
	}
	if u.FirstLayer > u.LastLayer || u.LastLayer >= m.Layers {
		r.add(at, "layers %d to %d are not within 0 to %d", u.FirstLayer, u.LastLayer, m.Layers-1)
	}
	k, ok := r.kinds[u.Accelerator]
	if !ok {
		r.add(at+"/accelerator", "unknown accelerator %q", u.Accelerator)
		return
	}
	if held := u.LastLayer - u.FirstLayer + 1; k.Layers > 0 && held > k.Layers {
		r.add(at, "%d layers, but %s holds %d", held, k.Name, k.Layers)
	}
}

func (r *reviewer) pipeline(i int, p Pipeline) {
	at := fmt.Sprintf("/pipelines/%d", i)
	known(r, at+"/upstreams", "upstream", p.Upstreams, r.upstreams)
	m, ok := r.models[p.Model]
	if !ok {
		r.add(at+"/model", "unknown model %q", p.Model)
		return
	}
	var spans [][2]int
	for n, name := range p.Upstreams {
		u, ok := r.upstreams[name]
		if !ok {
			continue
		}
		if u.Model != p.Model {
			r.add(fmt.Sprintf("%s/upstreams/%d", at, n), "upstream %q holds model %q", name, u.Model)
			continue
		}
		spans = append(spans, [2]int{u.FirstLayer, u.LastLayer})
	}
	if gap := firstGap(spans, m.Layers); gap >= 0 {
		r.add(at+"/upstreams", "no upstream runs layer %d of %s after the ones before it", gap, m.Name)
	}
}

// firstGap returns the first layer that can't be reached by spans laid end to
// end, or -1. An engine may run a part of its range, so overlap is enough.
func firstGap(spans [][2]int, layers int) int {
	slices.SortFunc(spans, func(a, b [2]int) int { return a[0] - b[0] })
	next := 0
	for _, s := range spans {
		if s[0] > next {
			return next
		}
		next = max(next, s[1]+1)
	}
	if next < layers {
		return next
	}
	return -1
}

func (r *reviewer) service(i int, s Service) {
	at := fmt.Sprintf("/services/%d", i)
	known(r, at+"/upstreams", "upstream", s.Upstreams, r.upstreams)
	for n, c := range s.Calls {
		if c.Idempotent && (c.SingleShot || c.KeyPointer != "") {
			r.add(fmt.Sprintf("%s/calls/%d", at, n), "an idempotent call needs no key and no singleShot")
		}
	}
}
