package generate

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"dandelionsill.org/wire/pb"
)

// Held streams the finished samples of a step to its owner. A newer owner's
// first call ends the older owner's streams here.
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

func (t *table) claimStep(trainer string, step uint64, e epoch) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.updateOwner(trainer, step, e)
}

// ExportKV stops a stream and returns what it has made, with its KV cache
// where the engine still gives it. Without the cache the next engine computes
// it again from the text.
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
