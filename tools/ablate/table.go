package main

import (
	"fmt"
	"io"
	"math"
	"path/filepath"
	"strings"
)

// writeTable prints one row per policy that was off. For each site a row has the mean score, and
// its difference to the runs with all policies on with the standard error over days and seeds.
func writeTable(w io.Writer, cfg config, runs []benchRun) {
	head, rule := "| without |", "|---|"
	for _, site := range cfg.sites {
		head += " " + strings.TrimSuffix(filepath.Base(site), ".toml") + " | difference |"
		rule += "---|---|"
	}
	fmt.Fprintln(w, head+" broken |")
	fmt.Fprintln(w, rule+"---|")
	for _, off := range append([]string{""}, cfg.off...) {
		row := "| " + off + " |"
		if off == "" {
			row = "| none |"
		}
		broken := 0
		for _, site := range cfg.sites {
			all, without := listWorths(runs, "", site), listWorths(runs, off, site)
			mean, _ := meanWithError(without)
			row += fmt.Sprintf(" %.3f |", mean)
			diffs := make([]float64, len(without))
			for i := range without {
				diffs[i] = without[i] - all[i]
			}
			d, stdErr := meanWithError(diffs)
			row += fmt.Sprintf(" %+.3f ± %.3f |", d, stdErr)
			broken += countBroken(runs, off, site)
		}
		fmt.Fprintf(w, "%s %d |\n", row, broken)
	}
}

// listWorths returns the scores of the runs on a site with a policy off, in the order of runs.
func listWorths(runs []benchRun, off, site string) []float64 {
	var out []float64
	for _, p := range runs {
		if p.off == off && p.site == site {
			out = append(out, p.result.Worth)
		}
	}
	return out
}

// countBroken counts the runs on a site with a policy off in which a rule was broken.
func countBroken(runs []benchRun, off, site string) int {
	n := 0
	for _, p := range runs {
		if p.off == off && p.site == site && len(p.result.Broken) > 0 {
			n++
		}
	}
	return n
}

// meanWithError returns the mean of values and its standard error, which is 0 for less than two.
func meanWithError(values []float64) (mean, stdErr float64) {
	n := float64(len(values))
	for _, v := range values {
		mean += v / n
	}
	if n < 2 {
		return mean, 0
	}
	for _, v := range values {
		stdErr += (v - mean) * (v - mean)
	}
	return mean, math.Sqrt(stdErr / (n - 1) / n)
}
