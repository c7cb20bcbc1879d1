// Package meter exports the metrics of a process in the Prometheus text format. A go-metrics
// registry holds them under keys such as "requests_total;route=chat;status=200": the text before
// the first semicolon is the name of the metric, the rest are its labels.
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

// Prefix is the prefix of each metric name in the exported text.
const Prefix = "pomelotiller_"

// Name returns the registry key for a metric's name and its labels, given as alternating keys and
// values.
func Name(name string, labels ...string) string {
	var b strings.Builder
	b.WriteString(name)
	for i := 0; i+1 < len(labels); i += 2 {
		b.WriteString(";" + labels[i] + "=" + labels[i+1])
	}
	return b.String()
}

// AddToCounter adds n to the counter with the given name and labels.
func AddToCounter(r metrics.Registry, n int64, name string, labels ...string) {
	metrics.GetOrRegisterCounter(Name(name, labels...), r).Inc(n)
}

// Handler returns a handler that serves the registry's metrics in the Prometheus text format.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		Write(w, r)
	})
}

// Write writes all metrics of the registry in the Prometheus text format, sorted by key.
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
		if name, _ := parseKey(n); name != last {
			fmt.Fprintf(out, "# TYPE %s%s %s\n", Prefix, name, metricType(all[n]))
			last = name
		}
		writeMetric(out, n, all[n])
	}
}

// metricType returns the Prometheus type of a go-metrics metric.
func metricType(m any) string {
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
	name, labels := parseKey(key)
	switch m := m.(type) {
	case metrics.Counter:
		fmt.Fprintf(w, "%s%s%s %d\n", Prefix, name, formatLabels(labels), m.Count())
	case metrics.Gauge:
		fmt.Fprintf(w, "%s%s%s %d\n", Prefix, name, formatLabels(labels), m.Value())
	case metrics.GaugeFloat64:
		fmt.Fprintf(w, "%s%s%s %g\n", Prefix, name, formatLabels(labels), m.Value())
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
		quantileLabels := append(append([]string{}, labels...), `quantile="`+p+`"`)
		fmt.Fprintf(w, "%s%s%s %g\n", Prefix, name, formatLabels(quantileLabels), q[i]/unit)
	}
	fmt.Fprintf(w, "%s%s_count%s %d\n", Prefix, name, formatLabels(labels), n)
	fmt.Fprintf(w, "%s%s_sum%s %g\n", Prefix, name, formatLabels(labels), float64(sum)/unit)
}

func parseKey(key string) (string, []string) {
	parts := strings.Split(key, ";")
	labels := make([]string, 0, len(parts)-1)
	for _, p := range parts[1:] {
		k, v, _ := strings.Cut(p, "=")
		labels = append(labels, fmt.Sprintf("%s=%q", k, v))
	}
	return parts[0], labels
}

func formatLabels(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return "{" + strings.Join(labels, ",") + "}"
}
