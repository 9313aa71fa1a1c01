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

// AttemptInfo is one try of a request at one server, as traces and decision records
// show it.
type AttemptInfo struct {
	Part       string // of the entry, in both
	Span       string // the span's name
	Server     string
	Choice     route.Choice
	Attributes []attribute.KeyValue // of the span, beside those of every hop
	Ring       *explain.Ring
}

// TraceAttempt makes a try within the hop's span and leaves its two decision records:
// that it was sent, and how it ended. try returns what the second says of an
// answer.
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
