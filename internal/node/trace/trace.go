// Package trace sets up OpenTelemetry: one span for each hop, with the W3C trace
// context propagated from the caller to the backend server.
//
// # Usage
//
//	stop, err := trace.Start(ctx, endpoint, vmID) // endpoint "" disables tracing
//	ctx, span := trace.Incoming(r, "caller")      // continues the caller's trace
//	defer span.End()
//	trace.Outgoing(request)                       // propagates the trace
//
// Without an endpoint the global no-op tracer stays in place, which has no overhead.
package trace

import (
	"context"
	"net/http"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

const tracerName = "endivespoke"

var propagator = propagation.TraceContext{}

// Start exports spans over OTLP/HTTP to endpoint, a URL. With an empty endpoint
// it does nothing. The returned function flushes and stops the export.
func Start(ctx context.Context, endpoint, vmID string) (stop func(context.Context) error, err error) {
	if endpoint == "" {
		return func(context.Context) error { return nil }, nil
	}
	var exporter sdktrace.SpanExporter
	if exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint)); err != nil {
		return nil, errors.Annotate(err, "setting up trace export")
	}
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName),
			attribute.String("service.instance.id", vmID),
		)),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Incoming starts a span that continues the trace of a received request.
func Incoming(r *http.Request, name string) (context.Context, oteltrace.Span) {
	ctx := propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	return Span(ctx, name)
}

// Span starts a child span.
func Span(ctx context.Context, name string) (context.Context, oteltrace.Span) {
	return otel.Tracer(tracerName).Start(ctx, name)
}

// Detached returns a context with the trace of ctx but without its deadline and
// cancellation, for work that outlives the request.
func Detached(ctx context.Context) context.Context {
	return oteltrace.ContextWithSpanContext(context.Background(), oteltrace.SpanContextFromContext(ctx))
}

// Outgoing injects the trace context of the request's context into its headers.
func Outgoing(request *http.Request) {
	propagator.Inject(request.Context(), propagation.HeaderCarrier(request.Header))
}
