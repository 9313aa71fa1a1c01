package calls

import (
	"context"
	"io"
	"net/http"

	"go.uber.org/zap"

	"dandelionsill.org/agent/once"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

// chunkBytes is the maximum size of a body chunk in the stream.
const chunkBytes = 32 << 10

// sendRefusal sends an error as the last message of the stream.
func (c *call) sendRefusal(ctx context.Context, err *kinds.Error) error {
	w := kinds.ToWire(err)
	switch {
	case w.NotRun:
		callsRefused.Add(1)
		c.cfg.Explain.Add(ctx, explainPart, c.open.RequestId, "refused, not run: "+w.Kind, w.Message)
	case w.Kind == string(kinds.OutcomeUnknown):
		callsUnknown.Add(1)
		fallthrough
	default:
		c.cfg.Logger.Warn("A request has no answer.", zap.String("request_id", c.open.RequestId), zap.String("outcome", w.Kind), zap.Error(err), logs.Trace(ctx))
		c.cfg.Explain.Add(ctx, explainPart, c.open.RequestId, "failed: "+w.Kind, err.Error())
	}
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_Refusal{Refusal: refusal.Encode(err)}})
}

// explainSent adds the outcome of a request that must not be repeated to the
// explanations.
func (c *call) explainSent(ctx context.Context, err *kinds.Error) {
	reason := "whole answer"
	if err != nil {
		reason = err.Error()
	}
	c.cfg.Explain.Add(ctx, explainPart, c.open.RequestId, "sent to the backend server", reason)
}

// sendReplay answers a repeat with the answer of the attempt that ran.
func (c *call) sendReplay(ctx context.Context, a *once.Answer) *kinds.Error {
	c.cfg.Explain.Add(ctx, explainPart, c.open.RequestId, "answered from the earlier try", "key "+c.open.IdempotencyKey+" has run")
	return c.sendAnswer(a, true)
}

// sendAnswer sends a complete answer. A failed send means that the entry is gone and
// is not an error.
func (c *call) sendAnswer(a *once.Answer, replayed bool) *kinds.Error {
	if c.sendHead(a.Status, a.Header, replayed) != nil {
		return nil
	}
	for remaining := a.Body; len(remaining) > 0; {
		n := min(len(remaining), chunkBytes)
		if c.sendChunk(remaining[:n]) != nil {
			return nil
		}
		remaining = remaining[n:]
	}
	_ = c.sendEnd(int64(len(a.Body)))
	return nil
}

// sendHead sends the answer's status and headers.
func (c *call) sendHead(status int, header http.Header, replayed bool) error {
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_Head{Head: &pb.CallHead{
		Status: int32(status), Headers: encodeHeaders(header), Replayed: replayed,
	}}})
}

// sendChunk sends a part of the answer's body.
func (c *call) sendChunk(chunk []byte) error {
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_Body{Body: chunk}})
}

// sendEnd sends the end mark, which proves to the entry that the answer is complete.
func (c *call) sendEnd(bodyBytes int64) error {
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_End{End: &pb.CallEnd{BodyBytes: bodyBytes}}})
}

// serveIdempotent sends an idempotent request and streams the answer to the entry as
// it arrives. If the caller disconnects, the request to the backend server is
// cancelled.
func (c *call) serveIdempotent(ctx context.Context) *kinds.Error {
	release, refusal := c.acquireSlot(ctx)
	if refusal != nil {
		return refusal
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, c.service.Timeout)
	defer cancel()
	resp, err := c.backend.sendIdempotent(ctx, c.open, c.held)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if c.sendHead(resp.StatusCode, withoutHopByHop(resp.Header), false) != nil {
		return nil
	}
	n, delivered, readErr := c.copyBody(resp.Body)
	if !delivered {
		return nil
	}
	if readErr == nil {
		readErr = checkComplete(resp)
	}
	c.cfg.Explain.Add(ctx, explainPart, c.open.RequestId, "sent to the backend server", describeOutcome(readErr))
	if readErr != nil {
		return c.backend.withEndedIncarnation(ctx, incompleteAnswer(ctx, readErr))
	}
	_ = c.sendEnd(n)
	return nil
}

// copyBody streams a body of n bytes to the entry. delivered is false if the entry is
// gone; otherwise the error is that of reading the body.
func (c *call) copyBody(body io.Reader) (n int64, delivered bool, _ error) {
	buf := make([]byte, chunkBytes)
	for {
		k, err := body.Read(buf)
		if k > 0 {
			// buf can be reused, as gRPC has encoded the chunk when Send returns.
			if c.sendChunk(buf[:k]) != nil {
				return n, false, nil
			}
			n += int64(k)
		}
		if err == io.EOF {
			return n, true, nil
		}
		if err != nil {
			return n, true, err
		}
	}
}

// describeOutcome returns the text that explains how reading an answer ended.
func describeOutcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "whole answer"
}
