package calls

import (
	"context"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/wire/pb"
)

var (
	errReportsStopped = errors.New("its reports have stopped")
	errShortAnswer    = errors.New("the answer is short")
)

// result is a complete answer, or the first part of one whose attempt is still running.
type result struct {
	attempt        *attempt
	head           *pb.CallHead
	body           []byte
	forwardedBytes int64 // bytes that were already written to the caller
	complete       bool
}

func (res *result) close() {
	switch {
	case res.complete:
		res.attempt.close(fleet.OK)
	case res.attempt.noReply:
		res.attempt.close(res.attempt.outcome())
	default:
		res.attempt.close(fleet.Abandoned) // the caller disconnected
	}
}

// summary describes the answer in the decision record for operators.
func (res *result) summary() string {
	text := "status " + strconv.Itoa(int(res.head.Status))
	if res.head.Replayed {
		text += ", the answer of an earlier try of the key"
	}
	if !res.complete {
		text += ", passed on in parts"
	}
	return text
}

// deliver writes the answer to the caller. An answer that was too large to be buffered
// is written in parts. If it then breaks off, deliver also aborts the caller's
// connection, so that the caller can't take a part for the complete answer.
func (res *result) deliver(ctx context.Context, w http.ResponseWriter, c *call) error {
	header := w.Header()
	setResponseHeaders(header, res.head.Headers)
	header.Set(answer.HeaderRequestID, c.ID)
	header.Set(answer.HeaderServer, res.attempt.server.name)
	if res.head.Replayed {
		header.Set(answer.HeaderReplayed, "true")
	}
	if length, ok := res.contentLength(c); ok {
		header.Set("Content-Length", length)
	}
	w.WriteHeader(int(res.head.Status))
	for {
		if _, err := w.Write(res.body); err != nil {
			return nil // the caller is gone
		}
		if res.complete {
			return nil
		}
		if err := res.readMore(); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// readMore waits for the next part of the answer.
func (res *result) readMore() error {
	res.forwardedBytes += int64(len(res.body))
	res.body = res.body[:0]
	msg, err := res.attempt.nextReply()
	if err != nil {
		return err
	}
	res.complete, err = res.addReply(msg)
	return err
}

// contentLength returns the Content-Length of the answer, if it is known. For an answer
// to HEAD, and for one that has no body because of its status, it is the value that the
// backend server sent.
func (res *result) contentLength(c *call) (string, bool) {
	bodyless := c.HTTP.Method == http.MethodHead || res.head.Status == http.StatusNoContent || res.head.Status == http.StatusNotModified
	if res.complete && !bodyless {
		return strconv.Itoa(len(res.body)), true
	}
	for _, h := range res.head.Headers {
		if http.CanonicalHeaderKey(h.Name) == "Content-Length" {
			return h.Value, true
		}
	}
	return "", false
}
