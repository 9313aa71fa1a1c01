// Package refusal converts errors to and from the protobuf message that carries
// them between our processes.
package refusal

import (
	"time"

	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
)

// Encode returns the message for err.
func Encode(err *kinds.Error) *pb.Refusal {
	w := kinds.ToWire(err)
	return &pb.Refusal{
		Kind: w.Kind, Message: w.Message, NotRun: w.NotRun, RetryAfterMs: w.RetryAfter.Milliseconds(),
		Holder: w.Holder, Ended: w.Ended,
	}
}

// Decode returns the error that r carries.
func Decode(r *pb.Refusal) *kinds.Error {
	return kinds.FromWire(kinds.Refusal{
		Kind: r.GetKind(), Message: r.GetMessage(), NotRun: r.GetNotRun(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		Holder:     r.GetHolder(), Ended: r.GetEnded(),
	})
}
