// Package tracer sets up OpenTelemetry tracing: one span for each hop of a request. The W3C trace
// context is read from callers' requests and sent on to endpoints.
package tracer

import (
	"context"
	"fmt"
	"io"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Config configures tracing.
type Config struct {
	// Export is "off", "stdout" or "otlp".
	Export string
	// Address is the host and port of the OTLP collector.
	Address string
	// Writer receives the spans of the "stdout" export.
	Writer io.Writer
	// Process names the process in its spans.
	Process string
}

// Tracer starts spans and reads and writes their trace context in HTTP headers.
type Tracer struct {
	trace.Tracer
	Propagation propagation.TextMapPropagator
}

// New returns a tracer and a function that flushes and stops its exporter.
func New(ctx context.Context, cfg Config) (Tracer, func(context.Context) error, error) {
	prop := propagation.TraceContext{}
	var exporter sdktrace.SpanExporter
	var err error
	switch cfg.Export {
	case "", "off":
		return NewNoop(), func(context.Context) error { return nil }, nil
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(cfg.Writer))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.Address), otlptracehttp.WithInsecure())
	default:
		return Tracer{}, nil, fmt.Errorf("trace export %q is not one of off, stdout, otlp", cfg.Export)
	}
	if err != nil {
		return Tracer{}, nil, fmt.Errorf("trace export %q: %w", cfg.Export, err)
	}
	p := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", cfg.Process))),
	)
	return Tracer{Tracer: p.Tracer("pomelotiller"), Propagation: prop}, p.Shutdown, nil
}

// NewNoop returns a tracer that records no spans but still propagates the trace context.
func NewNoop() Tracer {
	return Tracer{Tracer: noop.NewTracerProvider().Tracer("pomelotiller"), Propagation: propagation.TraceContext{}}
}
