package generate

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/wire/pb"
)

// Held streams the held finished samples of a step to the step's owner. The
// first call of a newer owner ends the older owners' streams on this server.
// An owner that has been superseded gets codes.Aborted.
func (h *Handler) Held(req *pb.HeldRequest, out grpc.ServerStreamingServer[pb.HeldSample]) error {
	if !h.table.claimStep(req.GetTrainer(), req.GetStep(), epochFrom(req.GetEpoch())) {
		return status.Error(codes.Aborted, errSuperseded.Error())
	}
	for _, s := range h.held.Step(req.GetTrainer(), req.GetStep()) {
		if err := out.Send(&pb.HeldSample{Id: s.ID, Done: s.Done, PromptHash: s.PromptHash}); err != nil {
			return err
		}
	}
	return nil
}

// claimStep is updateOwner for callers that do not hold the lock.
func (t *table) claimStep(trainer string, step uint64, e epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updateOwner(trainer, step, e)
}

// ExportKV stops a stream and returns its proved text and spans, and its KV
// cache if the engine still provides it. Without the cache the next engine
// recomputes it from the text.
func (h *Handler) ExportKV(ctx context.Context, req *pb.ExportKVRequest) (*pb.ExportKVReply, error) {
	r := h.table.find(req.GetRequestId())
	if r == nil {
		return nil, status.Error(codes.NotFound, "no such stream runs here")
	}
	r.interrupt(errMoved)
	select {
	case <-r.ended:
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
	if r.finalPartial == nil {
		return &pb.ExportKVReply{}, nil
	}
	reply := &pb.ExportKVReply{Text: r.finalPartial.text, Spans: encodeSpans(r.finalPartial.spans)}
	if kv, err := h.cfg.Engine.ExportKV(ctx, r.finalPartial.jobID); err == nil {
		reply.Kv = kv
	}
	return reply, nil
}
