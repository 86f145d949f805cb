// Command haneul prints the configuration of a spot market desk: one data centre, a model service
// of 40 engines on mixed accelerators, an application service of 3 instances, and 10 workspaces
// of which two have a higher rate limit.
package main

import (
	"fmt"
	"os"

	"github.com/sardineward/sardineward/builder"
)

const dataCentre = "kr-south"

func main() {
	if err := builder.Print(os.Stdout, configuration()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func configuration() *builder.Configuration {
	port := 21000
	address := func(int) string {
		port++
		return fmt.Sprintf("127.0.0.1:%d", port)
	}
	engine := func(kind string, first, last int) builder.Upstream {
		return builder.Upstream{DataCentre: dataCentre, Model: "barley-70b", Accelerator: kind, FirstLayer: first, LastLayer: last, ChecksFence: true}
	}
	front := builder.Range("front", 12, address, engine("large", 0, 39))
	back := builder.Range("back", 12, address, engine("large", 40, 79))
	small := append(builder.Range("early", 4, address, engine("small", 0, 19)), builder.Range("earlyB", 4, address, engine("small", 20, 39))...)
	small = append(small, builder.Range("late", 4, address, engine("small", 40, 59))...)
	small = append(small, builder.Range("lateB", 4, address, engine("small", 60, 79))...)
	desk := builder.Range("desk", 3, address, builder.Upstream{DataCentre: dataCentre})
	engines := append(append(front, back...), small...)
	return &builder.Configuration{
		Models: []builder.Model{{Name: "barley-70b", Version: "1", Layers: 80, LayerBytes: 1 << 20}},
		Accelerators: []builder.Accelerator{
			{Name: "large", StepMs: 2, LayerMs: 0.01, Batch: 16, Layers: 40},
			{Name: "small", StepMs: 3, LayerMs: 0.03, Batch: 8, Layers: 20},
		},
		Upstreams: append(engines, desk...),
		Pipelines: []builder.Pipeline{{Name: "quotes", Model: "barley-70b", Upstreams: builder.Names(engines), TokenGapMs: 48}},
		Services: []builder.Service{{Name: "desk", Upstreams: builder.Names(desk), Calls: []builder.Call{
			{Method: "POST", Path: "/bookings", KeyPointer: "/bookingId"},
			{Method: "POST", Path: "/lots/search", Idempotent: true},
		}}},
		Workspaces: workspaces(),
	}
}

func workspaces() []builder.Workspace {
	var out []builder.Workspace
	for i := range 10 {
		w := builder.Workspace{
			Name:              fmt.Sprintf("desk-%d", i),
			KeyHashes:         []string{builder.HashKey(fmt.Sprintf("haneul-%d", i))},
			Priority:          5,
			RequestsPerSecond: 50,
			Pipelines:         []string{"quotes"},
			Services:          []string{"desk"},
		}
		if i < 2 {
			w.RequestsPerSecond = 500
		}
		out = append(out, w)
	}
	return out
}
