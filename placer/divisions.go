package placer

import (
	"cmp"
	"slices"
)

const (
	// concurrencyGrowth is the step between two numbers of requests at once that
	// layouts are tried for.
	concurrencyGrowth = 1.12
	// maxLayoutsBuilt is how many ways to share the layers are laid out in full.
	maxLayoutsBuilt = 40
	// maxPartitions bounds the ways to divide the layers that are tried, for
	// fleets of many kinds.
	maxPartitions = 900
)

// partition is a way to share the layers among bands for some requests at once.
type partition struct {
	concurrency float64
	// layers are those of each band. One without any stands beside the others.
	layers []int
	// rate is about what it bears; twice is set where each band holds its layers
	// twice or more.
	rate      float64
	redundant bool
}

// bestPartitions are the ways that bear most, and among those that hold every layer
// twice the ones that bear most.
func bestPartitions(m Model, members []Member, bands []band) []partition {
	step := 1
	for countPartitions(m.Layers/step, len(bands)-1) > maxPartitions {
		step++
	}
	var all []partition
	for concurrency := float64(minRequests); concurrency <= maxRequests; concurrency *= concurrencyGrowth {
		tables := make([][]int, len(bands))
		for k, b := range bands {
			tables[k] = rowCounts(m, members, b, concurrency)
		}
		enumeratePartitions(m.Layers, step, tables, nil, func(layers []int) {
			p := partition{concurrency: concurrency, layers: slices.Clone(layers), redundant: true}
			stepTime := 0.0
			for k, b := range bands {
				if layers[k] == 0 {
					continue
				}
				n := tables[k][layers[k]]
				p.redundant = p.redundant && n > 1
				stepTime += members[b[0]].Pace * float64(layers[k]) / float64(m.Layers) * (m.Step + m.Request*concurrency/float64(n))
			}
			p.rate = concurrency / stepTime
			all = append(all, p)
		})
	}
	slices.SortFunc(all, func(a, b partition) int { return cmp.Compare(b.rate, a.rate) })
	var out []partition
	other, redundant := 0, 0
	for _, p := range all {
		switch {
		case p.redundant && redundant < maxLayoutsBuilt:
			redundant++
		case other < maxLayoutsBuilt:
			other++
		default:
			continue
		}
		out = append(out, p)
	}
	return out
}

// enumeratePartitions calls found with every way to share layers among bands that hold them, in
// steps but for the last one.
func enumeratePartitions(remaining, step int, tables [][]int, layers []int, visit func(layers []int)) {
	table := tables[len(layers)]
	if len(layers) == len(tables)-1 {
		if remaining == 0 || table[remaining] > 0 {
			visit(append(layers, remaining))
		}
		return
	}
	for n := 0; n <= remaining && (n == 0 || table[n] > 0); n += step {
		enumeratePartitions(remaining-n, step, tables, append(layers, n), visit)
	}
}

// rowCounts is how often a band holds any number of layers.
func rowCounts(m Model, members []Member, b band, concurrency float64) []int {
	out := make([]int, m.Layers+1)
	for n := min(len(b), maxRows); n > 0; n-- {
		sizes := layerCapacities(m, members, b, concurrency/float64(n)/targetUtilization)
		for l := 1; l <= m.Layers; l++ {
			if out[l] == 0 && len(rowEnds(sizes, l)) >= n {
				out[l] = n
			}
		}
	}
	return out
}

// countPartitions is about how many ways there are to cut n layers k times.
func countPartitions(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n+1+i) / float64(i+1)
	}
	return out
}
