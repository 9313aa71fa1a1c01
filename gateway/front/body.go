package front

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/kinds"
)

const (
	// bodyRetryAfter is the retry delay suggested to callers whose body had no room. Most
	// requests that hold a body are answered in this time.
	bodyRetryAfter = 250 * time.Millisecond
	// maxDiscardPause and maxDiscardTime bound how long the rest of a refused body is read: until
	// its caller seems to have stopped, and no longer than requests are waited for by default.
	maxDiscardPause = 500 * time.Millisecond
	maxDiscardTime  = defaultDeadline
	discardBytes    = 4 << 10 // read at a time
)

// readBody reads the request's body, which may have up to limit bytes; a limit of 0 or less means
// defaultMaxBodyBytes. The bytes are taken from held, which the caller of readBody must release
// once the body is no longer needed. A body that this process could never hold is too large. One for
// which there is no room now, or that has not arrived by the deadline, is refused and not read further.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request, held *budget.Reservation, limit int64, deadline time.Time) ([]byte, *kinds.Error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if f.Bodies == nil {
		return readUnbounded(r, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	limit = min(limit, f.Bodies.Most()-1) // a body of unknown length is known to be too large by one more byte
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(deadline) // without it, the body is waited for as if there was no budget
	body, failed := readWithin(r, held, limit)
	if failed != nil {
		// Otherwise net/http would read the rest of the body before it sends the refusal. The
		// deadline stays, for what net/http reads after it.
		w.Header().Set("Connection", "close")
		return nil, failed
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// refuseBody writes the error of a body that was not read and returns the status. Then it discards what still arrives,
// since a caller that reads only after it has sent everything would get a broken connection in place of the refusal.
func (f *Front) refuseBody(w http.ResponseWriter, r *http.Request, refusal *kinds.Error, start time.Time) int {
	status := f.writeError(w, r, refusal, start)
	control := http.NewResponseController(w)
	if f.Bodies == nil || r.Header.Get("Expect") != "" || control.Flush() != nil {
		return status
	}
	buf := make([]byte, discardBytes)
	for end := time.Now().Add(maxDiscardTime); time.Now().Before(end); {
		if control.SetReadDeadline(time.Now().Add(maxDiscardPause)) != nil {
			break
		}
		if _, err := r.Body.Read(buf); err != nil {
			break
		}
	}
	return status
}

// readUnbounded reads a body of up to limit bytes.
func readUnbounded(r *http.Request, limit int64) ([]byte, *kinds.Error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, bodyError(err)
	}
	if int64(len(body)) > limit {
		return nil, tooLarge(limit)
	}
	return body, nil
}

// readWithin reads a body of up to limit bytes, for as many bytes as held can take.
func readWithin(r *http.Request, held *budget.Reservation, limit int64) ([]byte, *kinds.Error) {
	body, err := held.ReadAll(r.Body, r.ContentLength, limit)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, budget.ErrTooLarge):
		return nil, tooLarge(limit)
	case errors.Is(err, budget.ErrNoRoom):
		return nil, noRoom()
	default:
		return nil, bodyError(err)
	}
}

func tooLarge(limit int64) *kinds.Error {
	return kinds.Hold().Refuse(kinds.TooLarge, "body of over %d bytes", limit)
}

func noRoom() *kinds.Error {
	return kinds.Hold().Refuse(kinds.Overloaded, "no room for the request's body").WithRetryAfter(bodyRetryAfter)
}

// bodyError returns the error of a body that did not arrive.
func bodyError(err error) *kinds.Error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return kinds.Hold().Refuse(kinds.DeadlineTooShort, "the request's body did not arrive in time")
	}
	return kinds.New(kinds.Cancelled, "the request's body ended early: %v", err)
}
