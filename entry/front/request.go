package front

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/kinds"
)

// HeaderTimeout is the header with the caller's timeout for a request, in ms.
const HeaderTimeout = "Dandelion-Timeout-Ms"

const (
	maxIDLength = 128
	// bodyRetryAfter is the retry delay of a request whose body had no room. Most requests that hold a body are
	// answered in this time.
	bodyRetryAfter = 250 * time.Millisecond
)

// RequestID returns the request id that the caller sent, or a new one if there is none.
// For an invalid id it returns a new one and an error.
func RequestID(r *http.Request) (string, error) {
	id := r.Header.Get(answer.HeaderRequestID)
	if id == "" {
		return newID(), nil
	}
	if len(id) > maxIDLength || !isValidID(id) {
		return newID(), kinds.Hold().Refuse(kinds.BadRequest, "header %s: up to %d letters, digits and -_.:/ are allowed", answer.HeaderRequestID, maxIDLength)
	}
	return id, nil
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

func isValidID(s string) bool {
	for _, c := range []byte(s) {
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && c != '-' && c != '_' && c != '.' && c != ':' && c != '/' {
			return false
		}
	}
	return true
}

// timeout returns the timeout of the request: the caller's, or the default.
func (f *Front) timeout(r *Request) (time.Duration, *kinds.Error) {
	header := r.HTTP.Header.Get(HeaderTimeout)
	if header == "" {
		if d := r.View.Manifest.Fleet.DefaultTimeout; d > 0 {
			return d, nil
		}
		return fallbackTimeout, nil
	}
	ms, err := strconv.ParseInt(header, 10, 64)
	if err != nil || ms <= 0 {
		return 0, r.Held.Refuse(kinds.BadRequest, "header %s is %q; it is a number of ms above 0", HeaderTimeout, header)
	}
	if ms >= f.cfg.MaxTimeout.Milliseconds() {
		return f.cfg.MaxTimeout, nil
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// maxBody returns the maximum body size in bytes: the lower one of this entry's and the
// manifest's, each of which is 0 if it does not bound it.
func (f *Front) maxBody(r *Request) int64 {
	bound := int64(math.MaxInt64 - 1)
	for _, other := range []int64{f.cfg.MaxBody, r.View.Manifest.Fleet.MaxBodyBytes} {
		if other > 0 {
			bound = min(bound, other)
		}
	}
	return bound
}

// readBody reads the complete body, so that a retry can send it again and a slow caller
// does not occupy a backend server. Its bytes are taken from room.
func (f *Front) readBody(w http.ResponseWriter, r *Request, room *budget.Reservation) *kinds.Error {
	bound := f.maxBody(r)
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.Deadline)
	data, err := room.ReadAll(r.HTTP.Body, r.HTTP.ContentLength, bound)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		w.Header().Set("Connection", "close") // otherwise net/http would read the rest of the body first
	}
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return r.Held.Refuse(kinds.TooLarge, "the body has more than %d bytes", bound)
	case errors.Is(err, budget.ErrNoRoom):
		return r.Held.Refuse(kinds.Overloaded, "no room for the request's body").WithRetryAfter(bodyRetryAfter)
	case err != nil:
		return r.Held.Refuse(kinds.BadRequest, "the body did not come whole").WithCause(err)
	}
	r.Body = data
	return nil
}
