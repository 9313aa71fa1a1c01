// Package trace sets up OpenTelemetry for a process and propagates the trace
// context over gRPC and HTTP, with one span for each hop.
//
// A trace starts where a request comes in (FromHTTP) or where a part starts a
// span itself. A call outside any trace gets no span: exchanges with peers and
// reads of the log, a few per second in each process, would outnumber the spans
// of requests.
package trace

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"

	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/outbound"
)

// Values of Config.Exporter.
const (
	ExporterNone = "none" // trace IDs are generated for the logs, but no spans are exported
	ExporterFile = "file" // JSON spans appended to Config.File
	ExporterOTLP = "otlp" // OTLP over HTTP to Config.Endpoint
)

// Limits of the batch processor. When the collector is slow or unavailable, spans
// that exceed the queue are dropped, so that tracing never blocks a request.
const (
	maxQueue      = 2048
	maxBatch      = 256
	batchDelay    = time.Second
	exportTimeout = 5 * time.Second

	errorLogInterval = time.Minute
)

// Config selects the exporter of spans and the share of traces that is kept.
type Config struct {
	Exporter string `ini:"trace.exporter" default:"none" help:"where spans go: none, file or otlp"`
	File     string `ini:"trace.file" help:"file that spans are appended to (exporter file)"`
	Endpoint string `ini:"trace.endpoint" kind:"ip:port" help:"IP:port of the OTLP/HTTP collector (exporter otlp)"`
	// Ratio is the share (0 to 1) of the traces started in this process that is
	// kept. A trace started by another process is kept if that process keeps it.
	Ratio float64 `ini:"trace.ratio" default:"1" min:"0" max:"1" help:"share of new traces that are kept, 0 to 1"`
}

// Validate returns an error if the exporter is unknown or its file or endpoint is
// missing.
func (c Config) Validate() error {
	switch c.Exporter {
	case "", ExporterNone:
		return nil
	case ExporterFile:
		if c.File == "" {
			return errors.New("trace.file is empty, but trace.exporter is file")
		}
		return nil
	case ExporterOTLP:
		if c.Endpoint == "" {
			return errors.New("trace.endpoint is empty, but trace.exporter is otlp")
		}
		return nil
	}
	return errors.Errorf("trace.exporter is %q; it must be none, file or otlp", c.Exporter)
}

// Start installs the process's tracer provider and the W3C propagator. stop
// flushes the queued spans and closes the exporter.
func Start(ctx context.Context, process string, cfg Config) (stop func(context.Context) error, err error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, closeOutput, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, errors.Annotate(err, "trace exporter")
	}
	provider := sdktrace.NewTracerProvider(providerOptions(process, cfg, exporter)...)
	otel.SetTracerProvider(provider)
	setErrorHandler(process)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if cerr := closeOutput(); err == nil {
			err = cerr
		}
		return errors.Trace(err)
	}, nil
}

func providerOptions(process string, cfg Config, exporter sdktrace.SpanExporter) []sdktrace.TracerProviderOption {
	options := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	}
	if exporter == nil {
		// Without an exporter only trace IDs are generated and no spans are recorded.
		return append(options, sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample())))
	}
	return append(options,
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(cfg.Ratio))),
		sdktrace.WithBatcher(exporter,
			sdktrace.WithMaxQueueSize(maxQueue),
			sdktrace.WithMaxExportBatchSize(maxBatch),
			sdktrace.WithBatchTimeout(batchDelay),
			sdktrace.WithExportTimeout(exportTimeout)))
}

// setErrorHandler limits the log lines about export errors: an unavailable
// collector would otherwise cause one line per batch.
func setErrorHandler(process string) {
	log := logs.Limited(logs.New(process+": trace", "warn"), errorLogInterval)
	otel.SetErrorHandler(otel.ErrorHandlerFunc(func(err error) {
		log.Warn("Spans are lost.", zap.Error(err))
	}))
}

// Tracer returns the tracer of a part of a process, e.g. "entry" or "agent: calls".
func Tracer(part string) oteltrace.Tracer {
	return otel.Tracer("dandelionsill.org/" + part)
}

func newExporter(ctx context.Context, cfg Config) (sdktrace.SpanExporter, func() error, error) {
	noClose := func() error { return nil }
	switch cfg.Exporter {
	case ExporterFile:
		file, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, errors.Trace(err)
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
		return exporter, file.Close, errors.Trace(err)
	case ExporterOTLP:
		exporter, err := otlptracehttp.New(ctx,
			otlptracehttp.WithEndpoint(cfg.Endpoint),
			otlptracehttp.WithInsecure(),
			otlptracehttp.WithHTTPClient(&http.Client{Transport: outbound.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}),
			otlptracehttp.WithTimeout(exportTimeout))
		return exporter, noClose, errors.Trace(err)
	}
	return nil, noClose, nil
}
