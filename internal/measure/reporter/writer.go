package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteText writes the report as aligned text for people.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	line := func(name, format string, args ...any) { fmt.Fprintf(t, name+"\t"+format+"\n", args...) }
	line("scenario", "%s, seed %d", r.Scenario, r.Seed)
	line("requests", "%d", r.Requests)
	line("answered", "%d, of these %d on time", r.Answered, r.OnTime)
	for _, kind := range slices.Sorted(maps.Keys(r.Refusals)) {
		line("refused", "%d %s", r.Refusals[kind], kind)
	}
	line("unanswered", "%d", r.Unanswered)
	line("doubled", "%d", r.DoubledOrders)
	line("cost", "%.4f, %.4f for 1,000 answered on time", r.Cost, r.CostPerThousand)
	line("prompt tokens", "%d: %d computed, of these %d again, and %d from the cache", r.PromptTokens, r.ComputedTokens, r.RecomputedTokens, r.CachedTokens)
	fmt.Fprintln(t, "\n\tp50 ms\tp95 ms\tp99 ms\tmax ms")
	row := func(name string, p Percentiles) {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\n", name, p.P50, p.P95, p.P99, p.Max)
	}
	row("first token", r.TimeToFirstToken)
	row("between tokens", r.InterTokenLatency)
	for _, groups := range [][]Group{r.Organisations, r.Kinds} {
		fmt.Fprintln(t, "\nfirst token of\tp50 ms\tp95 ms\tp99 ms\tmax ms\trequests\tanswered\ton time")
		for _, g := range groups {
			fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%.1f\t%d\t%d\t%d\n", g.Name, g.TimeToFirstToken.P50, g.TimeToFirstToken.P95, g.TimeToFirstToken.P99, g.TimeToFirstToken.Max,
				g.Requests, g.Answered, g.OnTime)
		}
	}
	return t.Flush()
}

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot draws the distribution of the time to the first token, one line for each kind of requests. The
// extension of the path, such as .png or .svg, selects the format.
func (r Report) Plot(path string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, seed %d: time to the first token", r.Scenario, r.Seed)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "milliseconds"
	var lines []any
	for _, g := range r.Kinds {
		if g.Answered > 0 {
			lines = append(lines, g.Name, g.firstTokenTimes.percentilePoints())
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("plot %s: %w", path, err)
	}
	return nil
}

// percentilePoints returns the latency in milliseconds at the percentiles 1 to 100.
func (h histogram) percentilePoints() plotter.XYs {
	var out plotter.XYs
	for p := 1; p <= 100; p++ {
		out = append(out, plotter.XY{X: float64(p), Y: toMilliseconds(h.h.ValueAtPercentile(float64(p)))})
	}
	return out
}
