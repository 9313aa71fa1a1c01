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

// pieceBytes is the size of a body piece in the stream.
const pieceBytes = 32 << 10

// refuse ends the stream with an error.
func (c *call) refuse(ctx context.Context, err *kinds.Error) error {
	w := kinds.ToWire(err)
	switch {
	case w.NotRun:
		callsRefused.Add(1)
		c.cfg.Explain.Add(ctx, part, c.open.RequestId, "refused, not run: "+w.Kind, w.Message)
	case w.Kind == string(kinds.OutcomeUnknown):
		callsUnknown.Add(1)
		c.cfg.Logger.Warn("The outcome of a request is unknown.", zap.String("request_id", c.open.RequestId), zap.String("why", w.Message), logs.Trace(ctx))
		fallthrough
	default:
		c.cfg.Explain.Add(ctx, part, c.open.RequestId, "failed: "+w.Kind, w.Message)
	}
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_Refusal{Refusal: refusal.Encode(err)}})
}

func (c *call) explainSent(ctx context.Context, err *kinds.Error) {
	why := "whole answer"
	if err != nil {
		why = err.Error()
	}
	c.cfg.Explain.Add(ctx, part, c.open.RequestId, "sent to the backend server", why)
}

// replay answers a repeat with the answer of the try that ran.
func (c *call) replay(ctx context.Context, a *once.Answer) *kinds.Error {
	c.cfg.Explain.Add(ctx, part, c.open.RequestId, "answered from the earlier try", "key "+c.open.IdempotencyKey+" has run")
	return c.answer(a, true)
}

// answer sends a whole answer. A failed send means that the entry is gone.
func (c *call) answer(a *once.Answer, replayed bool) *kinds.Error {
	if c.head(a.Status, a.Header, replayed) != nil {
		return nil
	}
	for rest := a.Body; len(rest) > 0; {
		n := min(len(rest), pieceBytes)
		if c.piece(rest[:n]) != nil {
			return nil
		}
		rest = rest[n:]
	}
	_ = c.end(int64(len(a.Body)))
	return nil
}

func (c *call) head(status int, header http.Header, replayed bool) error {
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_Head{Head: &pb.CallHead{
		Status: int32(status), Headers: toWire(header), Replayed: replayed,
	}}})
}

func (c *call) piece(b []byte) error {
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_Body{Body: b}})
}

func (c *call) end(n int64) error {
	return c.stream.Send(&pb.CallReply{Part: &pb.CallReply_End{End: &pb.CallEnd{BodyBytes: n}}})
}

// serveIdempotent streams an answer through as it comes. The backend server is
// told to stop when the caller goes away.
func (c *call) serveIdempotent(ctx context.Context) *kinds.Error {
	release, refusal := c.acquire(ctx)
	if refusal != nil {
		return refusal
	}
	defer release()
	ctx, cancel := context.WithTimeout(ctx, c.service.Timeout)
	defer cancel()
	resp, err := c.backend.stream(ctx, c.open, c.held)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if c.head(resp.StatusCode, stripped(resp.Header), false) != nil {
		return nil
	}
	n, sent, readErr := c.copyBody(resp.Body)
	if !sent {
		return nil
	}
	if readErr == nil {
		readErr = checkWhole(resp)
	}
	c.cfg.Explain.Add(ctx, part, c.open.RequestId, "sent to the backend server", outcome(readErr))
	if readErr != nil {
		return c.backend.blame(ctx, broken(ctx, readErr))
	}
	_ = c.end(n)
	return nil
}

// copyBody streams a body; sent is false when the entry is gone.
func (c *call) copyBody(body io.Reader) (n int64, sent bool, _ error) {
	buf := make([]byte, pieceBytes)
	for {
		k, err := body.Read(buf)
		if k > 0 {
			// gRPC has encoded the piece when Send returns.
			if c.piece(buf[:k]) != nil {
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

func outcome(err error) string {
	if err != nil {
		return err.Error()
	}
	return "whole answer"
}
