// Package span writes OpenTelemetry traces, with one span for each hop of a request
// (entry, home.queue, dispatch, upstream).
package span

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Provider provides the tracer. Its zero value discards all spans.
type Provider struct {
	provider *sdk.TracerProvider
	file     io.Closer
}

// Open returns a provider that appends spans as JSON to the file at path. If the path
// is empty, the provider discards all spans.
func Open(path string) (*Provider, error) {
	if path == "" {
		return &Provider{}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("open trace file: %w", trace.ConvertSystemError(err))
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		return nil, fmt.Errorf("start trace exporter: %w", trace.Wrap(err))
	}
	return &Provider{sdk.NewTracerProvider(sdk.WithBatcher(exporter)), file}, nil
}

// Tracer returns the tracer for all spans of the process.
func (p *Provider) Tracer() api.Tracer {
	if p.provider == nil {
		return noop.NewTracerProvider().Tracer("snipeford")
	}
	return p.provider.Tracer("snipeford")
}

// Close writes the remaining spans and closes the file.
func (p *Provider) Close(ctx context.Context) error {
	if p.provider == nil {
		return nil
	}
	if err := p.provider.Shutdown(ctx); err != nil {
		return fmt.Errorf("write remaining spans: %w", trace.Wrap(err))
	}
	return p.file.Close()
}
