package verifier

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"

	"pomelotiller/internal/remote/inferrer"
)

const (
	traceID     = "0af7651916cd43dd8448eb211c80319c"
	traceParent = "00-" + traceID + "-b7ad6b7169203331-01"
)

// span holds the fields of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// TestSpanForEachHop checks that a caller's trace has a span for each hop.
func TestSpanForEachHop(t *testing.T) {
	c := newCluster(t)
	c.startEngine("engine-0", "portland", "--versions", "chat-v1")
	c.startService("desk-0", "portland")
	d := c.startDaemon("entry-0", "portland", settingsOverrides{extraSettings: "trace: {export: stdout}\n"})
	c.publishConfig(d, testConfig())
	c.awaitGeneration(1)
	c.awaitEndpoints(2)
	header := http.Header{"Traceparent": {traceParent}, "Idempotency-Key": {"traced"}}
	mustRequest(t, http.MethodPost, "http://"+d.callerAddress+inferrer.PathChat, []byte(`{"model":"chat","max_tokens":2,"prompt":"x"}`), header)
	mustRequest(t, http.MethodPost, "http://"+d.callerAddress+"/services/desk/orders", []byte("x"), header)
	d.signal(t, syscall.SIGTERM)
	if code := d.awaitExit(t); code != 0 {
		t.Fatalf("got exit code %d, want 0", code)
	}
	names := make(map[string]int)
	for line := range strings.Lines(d.output()) {
		var s span
		if json.Unmarshal([]byte(line), &s) == nil && s.SpanContext.TraceID == traceID {
			names[s.Name]++
		}
	}
	got := fmt.Sprint(slices.Sorted(maps.Keys(names)))
	if want := "[admit attempt request route store write]"; got != want {
		t.Errorf("got spans %s, want %s", got, want)
	}
}
