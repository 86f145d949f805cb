package placer

import (
	"cmp"
	"slices"
)

const (
	// concurrencyGrowth is the ratio between successive concurrencies (requests in progress at
	// once) for which layouts are tried.
	concurrencyGrowth = 1.12
	// maxLayoutsBuilt bounds how many redundant partitions, and how many others, are laid out
	// in full.
	maxLayoutsBuilt = 40
	// maxPartitions bounds the partitions tried for one concurrency. Groups with many bands
	// would exceed it, so they divide the layers in larger steps.
	maxPartitions = 900
)

// partition is a division of the model's layers among bands, which are sets of members of similar
// pace, for some concurrency.
type partition struct {
	concurrency float64
	// layers is the number of layers of each band. The members of a band with none become
	// additional holders of the other bands' layers.
	layers []int
	// rate estimates the requests per unit of time. redundant is set if each band holds its
	// layers at least twice.
	rate      float64
	redundant bool
}

// bestPartitions returns the partitions with the highest rates, and in addition the redundant
// partitions with the highest rates.
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
				stepTime += members[b[0]].Pace * float64(layers[k]) / float64(m.Layers) * (m.StepTime + m.StepTimePerRequest*concurrency/float64(n))
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

// enumeratePartitions calls visit with each way to divide the remaining layers among the
// bands that can hold them, in multiples of step except for the last band. visit must not
// retain its argument.
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

// rowCounts returns, indexed by a number of layers, how many rows of members a band can form
// that each hold so many layers and the cache of their share of the requests.
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

// countPartitions returns the number of ways to divide n layers among k+1 bands.
func countPartitions(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n+1+i) / float64(i+1)
	}
	return out
}
