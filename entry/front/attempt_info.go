package front

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"

	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/route"
	"dandelionsill.org/kinds"
)

// AttemptInfo describes one attempt of a request at one server for traces and decision
// records.
type AttemptInfo struct {
	Part       string // the part of the entry: tracer name, and part in decision records
	Span       string // name of the span
	Server     string
	Choice     route.Choice
	Attributes []attribute.KeyValue // added to the span's common attributes
	Ring       *explain.Ring
}

// TraceAttempt runs an attempt in a span of its own and adds two decision records: that
// the request was sent, and how the attempt ended. If run succeeds, it returns the
// summary of the answer for the second record.
func (a *Attempts) TraceAttempt(ctx context.Context, info AttemptInfo, run func(context.Context) (summary string, err error)) error {
	ctx, span := trace.Tracer(info.Part).Start(ctx, info.Span, oteltrace.WithAttributes(
		attribute.String("server", info.Server),
		attribute.Int("attempt", a.Count()+1),
		attribute.String("route.why", info.Choice.Reason),
		attribute.Int("route.left", info.Choice.Eligible),
		attribute.Int("route.load", info.Choice.Load),
		attribute.String("route.passed", info.Choice.SkippedStage),
	), oteltrace.WithAttributes(info.Attributes...))
	defer span.End()
	info.Ring.Add(ctx, info.Part, a.ID, "sent to "+info.Server, describeChoice(info.Choice))
	summary, err := run(ctx)
	if err != nil {
		span.SetStatus(codes.Error, kinds.Of(err))
		info.Ring.Add(ctx, info.Part, a.ID, describeFailure(info.Server, err), err.Error())
		return err
	}
	info.Ring.Add(ctx, info.Part, a.ID, "answered by "+info.Server, summary)
	return nil
}
