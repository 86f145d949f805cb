// Command plot draws docs/policies.svg from the table of policies in docs/MEASUREMENTS.md: the tokens
// delivered on time by offered load, both relative to the bound of the throughput. Run it at the
// root of the repository.
package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

func main() {
	if err := drawPolicies("docs/MEASUREMENTS.md", "docs/policies.svg"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// drawPolicies reads the points from one file and writes the plot, one line for each policy, to
// another.
func drawPolicies(from, to string) error {
	names, points, err := readPoints(from)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Tokens on time, 40 mixed runners, 4 entry hosts"
	p.X.Label.Text = "offered load / bound"
	p.Y.Label.Text = "tokens on time / bound"
	p.Legend.Left, p.Legend.Top = true, true
	var lines []any
	for _, n := range names {
		lines = append(lines, n, points[n])
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(16*vg.Centimeter, 11*vg.Centimeter, to)
}

// readPoints returns the policies in their order in the file, and the points of each. It takes every
// table row whose first three cells are a policy without a comma, a load and a ratio.
func readPoints(file string) ([]string, map[string]plotter.XYs, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	var names []string
	points := make(map[string]plotter.XYs)
	for scan := bufio.NewScanner(f); scan.Scan(); {
		cells := strings.Split(scan.Text(), "|")
		const minCells = 5
		if len(cells) < minCells || strings.Contains(cells[1], ",") {
			continue
		}
		x, errX := strconv.ParseFloat(strings.TrimSpace(cells[2]), 64)
		y, errY := strconv.ParseFloat(strings.TrimSpace(cells[3]), 64)
		if errX != nil || errY != nil {
			continue
		}
		name := strings.TrimSpace(cells[1])
		if points[name] == nil {
			names = append(names, name)
		}
		points[name] = append(points[name], plotter.XY{X: x, Y: y})
	}
	return names, points, nil
}
