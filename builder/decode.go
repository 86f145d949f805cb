package builder

import (
	"encoding/json"
	"fmt"
)

// These types have no UnmarshalJSON methods. Those of the generated types validate each value
// separately, and decode it twice for that.
type (
	plainModel       Model
	plainAccelerator Accelerator
	plainLink        Link
	plainUpstream    Upstream
	plainPipeline    Pipeline
	plainWorkspace   Workspace
)

type plainConfiguration struct {
	Models                    []plainModel       `json:"models"`
	Accelerators              []plainAccelerator `json:"accelerators"`
	Links                     []plainLink        `json:"links"`
	Upstreams                 []plainUpstream    `json:"upstreams"`
	Pipelines                 []plainPipeline    `json:"pipelines"`
	Services                  []Service          `json:"services"`
	Workspaces                []plainWorkspace   `json:"workspaces"`
	WeightStoreBytesPerSecond int                `json:"weightStoreBytesPerSecond"`
}

// Decode decodes the output of Canonical without validation. Validating it again on every host
// would take, at 10,000 upstreams and 12,000 changes a day, three times the whole budget of a
// host.
func Decode(src []byte) (*Configuration, error) {
	var p plainConfiguration
	if err := json.Unmarshal(src, &p); err != nil {
		return nil, fmt.Errorf("decoding configuration: %w", err)
	}
	return &Configuration{
		Models:                    convert(p.Models, func(v plainModel) Model { return Model(v) }),
		Accelerators:              convert(p.Accelerators, func(v plainAccelerator) Accelerator { return Accelerator(v) }),
		Links:                     convert(p.Links, func(v plainLink) Link { return Link(v) }),
		Upstreams:                 convert(p.Upstreams, func(v plainUpstream) Upstream { return Upstream(v) }),
		Pipelines:                 convert(p.Pipelines, func(v plainPipeline) Pipeline { return Pipeline(v) }),
		Services:                  p.Services,
		Workspaces:                convert(p.Workspaces, func(v plainWorkspace) Workspace { return Workspace(v) }),
		WeightStoreBytesPerSecond: p.WeightStoreBytesPerSecond,
	}, nil
}

func convert[P, T any](in []P, f func(P) T) []T {
	out := make([]T, len(in))
	for i, v := range in {
		out[i] = f(v)
	}
	return out
}
