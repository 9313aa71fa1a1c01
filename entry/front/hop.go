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

// Hop is one try of a request at one server, as traces and decision records
// show it.
type Hop struct {
	Part       string // of the entry, in both
	Span       string // the span's name
	Server     string
	Choice     route.Choice
	Attributes []attribute.KeyValue // of the span, beside those of every hop
	Ring       *explain.Ring
}

// Traced makes a try within the hop's span and leaves its two decision records:
// that it was sent, and how it ended. try returns what the second says of an
// answer.
func (t *Tries) Traced(ctx context.Context, hop Hop, try func(context.Context) (answer string, err error)) error {
	ctx, span := trace.Tracer(hop.Part).Start(ctx, hop.Span, oteltrace.WithAttributes(
		attribute.String("server", hop.Server),
		attribute.Int("attempt", t.Count()+1),
		attribute.String("route.why", hop.Choice.Reason),
		attribute.Int("route.left", hop.Choice.Eligible),
		attribute.Int("route.load", hop.Choice.Load),
		attribute.String("route.passed", hop.Choice.SkippedStage),
	), oteltrace.WithAttributes(hop.Attributes...))
	defer span.End()
	hop.Ring.Add(ctx, hop.Part, t.ID, "sent to "+hop.Server, chosen(hop.Choice))
	answer, err := try(ctx)
	if err != nil {
		span.SetStatus(codes.Error, kinds.Of(err))
		hop.Ring.Add(ctx, hop.Part, t.ID, failed(hop.Server, err), err.Error())
		return err
	}
	hop.Ring.Add(ctx, hop.Part, t.ID, "answered by "+hop.Server, answer)
	return nil
}
