// Package meter writes the metrics of a process in the Prometheus text form.
// Metrics are kept with go-metrics under names such as
// "requests_total;route=chat;status=200": the part before the first semicolon
// is the metric's name, the rest are its labels.
package meter

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// Prefix starts the name of each metric in the text form.
const Prefix = "pomelotiller_"

// Name joins a metric's name and its labels, given as key and value in turn.
func Name(name string, labels ...string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteString(";" + labels[i] + "=" + labels[i+1])
	}
	return b.String()
}

// Count adds n to a counter of the registry.
func Count(r metrics.Registry, n int64, name string, labels ...string) {
	metrics.GetOrRegisterCounter(Name(name, labels...), r).Inc(n)
}

// Handler serves the registry's metrics in the Prometheus text form.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, r)
	})
}

// Write writes all metrics of the registry, sorted by name.
func Write(w io.Writer, r metrics.Registry) {
	var names []string
	all := make(map[string]any)
	r.Each(func(name string, m any) {
		names = append(names, name)
		all[name] = m
	})
	sort.Strings(names)
	out := bufio.NewWriter(w)
	defer out.Flush()
	last := ""
	for _, n := range names {
		if name, _ := splitName(n); name != last {
			fmt.Fprintf(out, "# TYPE %s%s %s\n", Prefix, name, typeOf(all[n]))
			last = name
		}
		writeMetric(out, n, all[n])
	}
}

// typeOf returns the type of a metric in the Prometheus text form.
func typeOf(m any) string {
	switch m.(type) {
	case metrics.Counter:
		return "counter"
	case metrics.Timer, metrics.Histogram:
		return "summary"
	default:
		return "gauge"
	}
}

func writeMetric(w io.Writer, key string, m any) {
	name, labels := splitName(key)
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s%s%s %d\n", Prefix, name, wrapLabels(labels), m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s%s%s %d\n", Prefix, name, wrapLabels(labels), m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s%s%s %g\n", Prefix, name, wrapLabels(labels), m.Value())
	case metrics.Timer:
		s := m.Snapshot()
		writeQuantiles(w, name, labels, s.Percentiles([]float64{0.5, 0.95, 0.99}), s.Count(), s.Sum(), 1e9)
	case metrics.Histogram:
		s := m.Snapshot()
		writeQuantiles(w, name, labels, s.Percentiles([]float64{0.5, 0.95, 0.99}), s.Count(), s.Sum(), 1)
	}
}

func writeQuantiles(w io.Writer, name string, labels []string, q []float64, n, sum int64, unit float64) {
	for i, p := range []string{"0.5", "0.95", "0.99"} {
		with := append(append([]string{}, labels...), `quantile="`+p+`"`)
		fmt.Fprintf(w, "%s%s%s %g\n", Prefix, name, wrapLabels(with), q[i]/unit)
	}
	fmt.Fprintf(w, "%s%s_count%s %d\n", Prefix, name, wrapLabels(labels), n)
	fmt.Fprintf(w, "%s%s_sum%s %g\n", Prefix, name, wrapLabels(labels), float64(sum)/unit)
}

func splitName(key string) (string, []string) {
	parts := strings.Split(key, ";")
	labels := make([]string, 0, len(parts)-1)
	for _, p := range parts[1:] {
		k, v, _ := strings.Cut(p, "=")
		labels = append(labels, fmt.Sprintf("%s=%q", k, v))
	}
	return parts[0], labels
}

func wrapLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}
