// Command bensalah prints the configuration of a pallet repairer: three data centres, 42 engines
// on mixed accelerators spread over them, a stock service with one instance in each, and 10
// workspaces.
package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/sardineward/sardineward/builder"
)

func main() {
	if err := builder.Print(os.Stdout, configuration()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func configuration() *builder.Configuration {
	cfg := &builder.Configuration{
		Models: []builder.Model{{Name: "olive-30b", Version: "1", Layers: 48, LayerBytes: 1 << 20}},
		Accelerators: []builder.Accelerator{
			{Name: "large", StepMs: 2, LayerMs: 0.02, Batch: 12, Layers: 24},
			{Name: "small", StepMs: 4, LayerMs: 0.05, Batch: 6, Layers: 16},
		},
		Links: []builder.Link{
			{From: "sfax-north", To: "sousse-port", LatencyMs: 0.8},
			{From: "sfax-north", To: "monastir-road", LatencyMs: 0.7},
			{From: "sousse-port", To: "monastir-road", LatencyMs: 0.4},
		},
		Workspaces: workspaces(),
	}
	var engineUpstreams, desk []builder.Upstream
	for n, dc := range []string{"sfax-north", "sousse-port", "monastir-road"} {
		port := 22000 + 100*n
		address := func(int) string {
			port++
			return fmt.Sprintf("127.0.0.1:%d", port)
		}
		addEngines := func(prefix, kind string, count, first, last int) {
			u := builder.Upstream{DataCentre: dc, Model: "olive-30b", Accelerator: kind, FirstLayer: first, LastLayer: last}
			engineUpstreams = append(engineUpstreams, builder.Range(dc+"-"+prefix, count, address, u)...)
		}
		addEngines("front", "large", 4, 0, 23)
		addEngines("back", "large", 4, 24, 47)
		addEngines("first", "small", 2, 0, 15)
		addEngines("middle", "small", 2, 16, 31)
		addEngines("last", "small", 2, 32, 47)
		desk = append(desk, builder.Range(dc+"-desk", 1, address, builder.Upstream{DataCentre: dc})...)
	}
	cfg.Upstreams = slices.Concat(engineUpstreams, desk)
	cfg.Pipelines = []builder.Pipeline{{Name: "assessments", Model: "olive-30b", Upstreams: builder.Names(engineUpstreams), TokenGapMs: 48}}
	cfg.Services = []builder.Service{{Name: "stock", Upstreams: builder.Names(desk), Calls: []builder.Call{
		{Method: "POST", Path: "/releases", KeyPointer: "/releaseId"},
		{Method: "POST", Path: "/checks", Idempotent: true},
	}}}
	return cfg
}

func workspaces() []builder.Workspace {
	var out []builder.Workspace
	for i := range 10 {
		out = append(out, builder.Workspace{
			Name:              fmt.Sprintf("yard-%d", i),
			KeyHashes:         []string{builder.HashKey(fmt.Sprintf("bensalah-%d", i))},
			Priority:          5,
			RequestsPerSecond: 100,
			Pipelines:         []string{"assessments"},
			Services:          []string{"stock"},
		})
	}
	return out
}
