package meter

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"github.com/rcrowley/go-metrics"
)

var update = flag.Bool("update", false, "write the expected outputs anew")

func TestWrite(t *testing.T) {
	r := metrics.NewRegistry()
	AddToCounter(r, 2, "requests_total", "route", "chat", "status", "200")
	AddToCounter(r, 1, "requests_total", "route", "chat", "status", "503")
	AddToCounter(r, 1, "requests_total", "route", `a"b\c`, "status", "404")
	metrics.GetOrRegisterGauge("config_generation", r).Update(7)
	metrics.GetOrRegisterGaugeFloat64("share", r).Update(0.25)
	h := metrics.GetOrRegisterHistogram("order_bytes;route=desk", r, metrics.NewUniformSample(100))
	for i := range 100 {
		h.Update(int64(i))
	}
	var got bytes.Buffer
	Write(&got, r)
	const golden = "testdata/metrics.txt"
	if *update {
		if err := os.WriteFile(golden, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got.Bytes(), want) {
		t.Errorf("got:\n%s\nwant:\n%s", got.Bytes(), want)
	}
}
