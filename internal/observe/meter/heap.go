package meter

import (
	runtimemetrics "runtime/metrics"

	"github.com/rcrowley/go-metrics"
)

// RegisterHeap adds a gauge of the live heap of the process, as the last garbage collection found it.
func RegisterHeap(r metrics.Registry) error {
	return r.Register("heap_live_bytes", metrics.NewFunctionalGauge(func() int64 {
		sample := []runtimemetrics.Sample{{Name: "/gc/heap/live:bytes"}}
		runtimemetrics.Read(sample)
		return int64(sample[0].Value.Uint64())
	}))
}
