package tracer

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"testing"

	"go.opentelemetry.io/otel/propagation"
)

const traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

func TestTraceContextIsPropagated(t *testing.T) {
	for _, export := range []string{"off", "stdout"} {
		t.Run(export, func(t *testing.T) {
			ctx := context.Background()
			var out bytes.Buffer
			tr, flush, err := New(ctx, Config{Export: export, Writer: &out, Process: "d1"})
			if err != nil {
				t.Fatal(err)
			}
			in := propagation.HeaderCarrier(http.Header{"Traceparent": {traceparent}})
			ctx, span := tr.Start(tr.Propagation.Extract(ctx, in), "request")
			header := make(http.Header)
			tr.Propagation.Inject(ctx, propagation.HeaderCarrier(header))
			span.End()
			if err := flush(context.Background()); err != nil {
				t.Fatal(err)
			}
			if got := header.Get("Traceparent"); !strings.HasPrefix(got, traceparent[:35]) {
				t.Errorf("got traceparent %q, want the trace of %q", got, traceparent)
			}
			if want := export == "stdout"; strings.Contains(out.String(), `"Name":"request"`) != want {
				t.Errorf("got spans %q, want some: %t", out.String(), want)
			}
		})
	}
	if _, _, err := New(context.Background(), Config{Export: "pigeon"}); err == nil {
		t.Error("got no error for an unknown export, want one")
	}
}
