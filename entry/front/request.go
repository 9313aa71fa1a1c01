package front

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/kinds"
)

// HeaderTimeout is the header with the caller's timeout for a request, in ms.
const HeaderTimeout = "Dandelion-Timeout-Ms"

const maxIDLength = 128

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
// manifest's; 0 means none.
func (f *Front) maxBody(r *Request) int64 {
	bound, fleet := f.cfg.MaxBody, r.View.Manifest.Fleet.MaxBodyBytes
	if bound <= 0 || fleet > 0 && fleet < bound {
		return fleet
	}
	return bound
}

// readBody reads the complete body, so that a retry can send it again and a slow caller
// does not occupy a backend server.
func (f *Front) readBody(w http.ResponseWriter, r *Request) *kinds.Error {
	bound := f.maxBody(r)
	body := r.HTTP.Body
	if bound > 0 {
		if r.HTTP.ContentLength > bound {
			return tooLargeError(r, bound)
		}
		body = http.MaxBytesReader(w, body, bound)
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(r.Deadline)
	data, err := io.ReadAll(body)
	_ = control.SetReadDeadline(time.Time{})
	var maxBytesErr *http.MaxBytesError
	if errors.As(err, &maxBytesErr) {
		return tooLargeError(r, bound)
	}
	if err != nil {
		return r.Held.Refuse(kinds.BadRequest, "the body did not come whole").WithCause(err)
	}
	r.Body = data
	return nil
}

func tooLargeError(r *Request, bound int64) *kinds.Error {
	return r.Held.Refuse(kinds.TooLarge, "the body has more than %d bytes", bound)
}
