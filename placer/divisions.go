package placer

import (
	"cmp"
	"slices"
)

const (
	// atOnceGrowth is the step between two numbers of requests at once that
	// layouts are tried for.
	atOnceGrowth = 1.12
	// built is how many ways to share the layers are laid out in full.
	built = 40
	// mostDivisions bounds the ways to divide the layers that are tried, for
	// fleets of many kinds.
	mostDivisions = 900
)

// division is a way to share the layers among bands for some requests at once.
type division struct {
	atOnce float64
	// layers are those of each band. One without any stands beside the others.
	layers []int
	// rate is about what it bears; twice is set where each band holds its layers
	// twice or more.
	rate  float64
	twice bool
}

// divisions are the ways that bear most, and among those that hold every layer
// twice the ones that bear most.
func divisions(m Model, members []Member, bands []band) []division {
	step := 1
	for ways(m.Layers/step, len(bands)-1) > mostDivisions {
		step++
	}
	var all []division
	for atOnce := float64(leastRequests); atOnce <= mostRequests; atOnce *= atOnceGrowth {
		tables := make([][]int, len(bands))
		for k, b := range bands {
			tables[k] = rowTable(m, members, b, atOnce)
		}
		share(m.Layers, step, tables, nil, func(layers []int) {
			d := division{atOnce: atOnce, layers: slices.Clone(layers), twice: true}
			t := 0.0
			for k, b := range bands {
				if layers[k] == 0 {
					continue
				}
				n := tables[k][layers[k]]
				d.twice = d.twice && n > 1
				t += members[b[0]].Pace * float64(layers[k]) / float64(m.Layers) * (m.Step + m.Request*atOnce/float64(n))
			}
			d.rate = atOnce / t
			all = append(all, d)
		})
	}
	slices.SortFunc(all, func(a, b division) int { return cmp.Compare(b.rate, a.rate) })
	var out []division
	rest, twice := 0, 0
	for _, d := range all {
		switch {
		case d.twice && twice < built:
			twice++
		case rest < built:
			rest++
		default:
			continue
		}
		out = append(out, d)
	}
	return out
}

// share calls found with every way to share layers among bands that hold them, in
// steps but for the last one.
func share(left, step int, tables [][]int, layers []int, found func(layers []int)) {
	table := tables[len(layers)]
	if len(layers) == len(tables)-1 {
		if left == 0 || table[left] > 0 {
			found(append(layers, left))
		}
		return
	}
	for n := 0; n <= left && (n == 0 || table[n] > 0); n += step {
		share(left-n, step, tables, append(layers, n), found)
	}
}

// rowTable is how often a band holds any number of layers.
func rowTable(m Model, members []Member, b band, atOnce float64) []int {
	out := make([]int, m.Layers+1)
	for n := min(len(b), copies); n > 0; n-- {
		sizes := sizesOf(m, members, b, atOnce/float64(n)/fill)
		for l := 1; l <= m.Layers; l++ {
			if out[l] == 0 && len(rowEnds(sizes, l)) >= n {
				out[l] = n
			}
		}
	}
	return out
}

// ways is about how many ways there are to cut n layers k times.
func ways(n, k int) float64 {
	out := 1.0
	for i := range k {
		out *= float64(n+1+i) / float64(i+1)
	}
	return out
}
