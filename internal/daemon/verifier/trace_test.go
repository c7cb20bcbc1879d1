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
	traceID  = "0af7651916cd43dd8448eb211c80319c"
	traceArg = "00-" + traceID + "-b7ad6b7169203331-01"
)

// span is the part of an exported span that the test reads.
type span struct {
	Name        string
	SpanContext struct{ TraceID string }
}

// TestSpanForEachHop checks that a caller's trace has a span for each hop.
func TestSpanForEachHop(t *testing.T) {
	c := newCluster(t)
	c.engine("engine-0", "portland", "--versions", "chat-v1")
	c.service("desk-0", "portland")
	d := c.daemon("entry-0", "portland", daemonOptions{extra: "trace: {export: stdout}\n"})
	c.publish(d, testSet())
	c.awaitGeneration(1)
	c.awaitEndpoints(2)
	header := http.Header{"Traceparent": {traceArg}, "Idempotency-Key": {"traced"}}
	call(t, http.MethodPost, "http://"+d.callers+inferrer.PathChat, []byte(`{"model":"chat","max_tokens":2,"prompt":"x"}`), header)
	call(t, http.MethodPost, "http://"+d.callers+"/services/desk/orders", []byte("x"), header)
	d.signal(t, syscall.SIGTERM)
	if code := d.wait(t); code != 0 {
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
