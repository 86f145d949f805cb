package builder

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/sardineward/sardineward/parser"
)

// validator collects findings that the schema can't express: duplicate or unknown names, and
// layer ranges that don't cover their model.
type validator struct {
	doc          *parser.Document
	cfg          *Configuration
	findings     parser.Findings
	models       map[string]Model
	accelerators map[string]Accelerator
	upstreams    map[string]Upstream
}

func validate(doc *parser.Document, cfg *Configuration) parser.Findings {
	r := &validator{doc: doc, cfg: cfg}
	r.models = indexByName(r, "models", cfg.Models, func(m Model) string { return m.Name })
	r.accelerators = indexByName(r, "accelerators", cfg.Accelerators, func(a Accelerator) string { return a.Name })
	r.upstreams = indexByName(r, "upstreams", cfg.Upstreams, func(u Upstream) string { return u.Name })
	pipelines := indexByName(r, "pipelines", cfg.Pipelines, func(p Pipeline) string { return p.Name })
	services := indexByName(r, "services", cfg.Services, func(s Service) string { return s.Name })
	indexByName(r, "workspaces", cfg.Workspaces, func(w Workspace) string { return w.Name })
	for i, u := range cfg.Upstreams {
		r.validateUpstream(i, u)
	}
	for i, p := range cfg.Pipelines {
		r.validatePipeline(i, p)
	}
	for i, s := range cfg.Services {
		r.validateService(i, s)
	}
	keys := make(map[string]string)
	for i, w := range cfg.Workspaces {
		workspacePointer := fmt.Sprintf("/workspaces/%d", i)
		checkNames(r, workspacePointer+"/pipelines", "pipeline", w.Pipelines, pipelines)
		checkNames(r, workspacePointer+"/services", "service", w.Services, services)
		for n, h := range w.KeyHashes {
			if other, ok := keys[h]; ok {
				r.addFinding(fmt.Sprintf("%s/keyHashes/%d", workspacePointer, n), "key already names workspace %q", other)
			}
			keys[h] = w.Name
		}
	}
	return r.findings
}

func (r *validator) addFinding(pointer, format string, args ...any) {
	r.findings = append(r.findings, r.doc.At(pointer, fmt.Sprintf(format, args...)))
}

func indexByName[T any](r *validator, group string, list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for i, item := range list {
		itemName := name(item)
		if _, ok := out[itemName]; ok {
			r.addFinding(fmt.Sprintf("/%s/%d", group, i), "%q stands twice in %s", itemName, group)
		}
		out[itemName] = item
	}
	return out
}

func checkNames[T any](r *validator, pointer, what string, names []string, declared map[string]T) {
	for i, n := range names {
		if _, ok := declared[n]; !ok {
			r.addFinding(fmt.Sprintf("%s/%d", pointer, i), "unknown %s %q", what, n)
		}
	}
}

func (r *validator) validateUpstream(i int, u Upstream) {
	pointer := fmt.Sprintf("/upstreams/%d", i)
	if _, err := netip.ParseAddrPort(u.Address); err != nil {
		r.addFinding(pointer+"/address", "want IP:port, have %q", u.Address)
	}
	if u.Model == "" {
		return
	}
	m, ok := r.models[u.Model]
	if !ok {
		r.addFinding(pointer+"/model", "unknown model %q", u.Model)
		return
	}
	if u.FirstLayer > u.LastLayer || u.LastLayer >= m.Layers {
		r.addFinding(pointer, "layers %d to %d are not within 0 to %d", u.FirstLayer, u.LastLayer, m.Layers-1)
	}
	k, ok := r.accelerators[u.Accelerator]
	if !ok {
		r.addFinding(pointer+"/accelerator", "unknown accelerator %q", u.Accelerator)
		return
	}
	if held := u.LastLayer - u.FirstLayer + 1; k.Layers > 0 && held > k.Layers {
		r.addFinding(pointer, "%d layers, but %s holds %d", held, k.Name, k.Layers)
	}
}

func (r *validator) validatePipeline(i int, p Pipeline) {
	pointer := fmt.Sprintf("/pipelines/%d", i)
	checkNames(r, pointer+"/upstreams", "upstream", p.Upstreams, r.upstreams)
	m, ok := r.models[p.Model]
	if !ok {
		r.addFinding(pointer+"/model", "unknown model %q", p.Model)
		return
	}
	var spans [][2]int
	for n, name := range p.Upstreams {
		u, ok := r.upstreams[name]
		if !ok {
			continue
		}
		if u.Model != p.Model {
			r.addFinding(fmt.Sprintf("%s/upstreams/%d", pointer, n), "upstream %q holds model %q", name, u.Model)
			continue
		}
		spans = append(spans, [2]int{u.FirstLayer, u.LastLayer})
	}
	if gap := firstGap(spans, m.Layers); gap >= 0 {
		r.addFinding(pointer+"/upstreams", "no upstream runs layer %d of %s after the ones before it", gap, m.Name)
	}
}

// firstGap returns the first layer that can't be reached by a sequence of spans, or -1.
// Overlapping spans are accepted, since an engine may run a part of its range.
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

func (r *validator) validateService(i int, s Service) {
	pointer := fmt.Sprintf("/services/%d", i)
	checkNames(r, pointer+"/upstreams", "upstream", s.Upstreams, r.upstreams)
	for n, c := range s.Calls {
		if c.Idempotent && (c.SingleShot || c.KeyPointer != "") {
			r.addFinding(fmt.Sprintf("%s/calls/%d", pointer, n), "an idempotent call needs no key and no singleShot")
		}
	}
}
