// Package answer writes an entry's own answers over HTTP: JSON values, and
// errors in the one form that every caller, trainer and operator gets.
package answer

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"dandelionsill.org/kinds"
)

// Headers that an entry sets on its answers.
const (
	HeaderRequestID = "X-Request-Id"
	// HeaderServer names the backend server VM that answered.
	HeaderServer = "Dandelion-Server"
	// HeaderReplayed is "true" on an answer held from the key's first run.
	HeaderReplayed = "Dandelion-Replayed"
)

// retryJitter spreads Retry-After: refused callers that come back at one
// moment would overload the same servers again.
const retryJitter = 0.25

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells a caller what happened and what it may do.
type ErrorDetail struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// NotRun is true only where the request is proven not to have run.
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// Error answers a request with err's kind. An error without a kind answers as
// kinds.Internal. Nothing may have been written to w before.
func Error(w http.ResponseWriter, requestID string, err error) {
	body, status := Body(requestID, err)
	if body.Error.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(body.Error.RetryAfterMS), 10))
	}
	JSON(w, requestID, status, body)
}

// Body returns err's JSON form and HTTP status. Streams whose status line is
// already out send it as their last event.
func Body(requestID string, err error) (ErrorBody, int) {
	e, ok := kinds.As(err)
	if !ok {
		e = kinds.New(kinds.Internal, "%v", err)
	}
	answer := e.Answer()
	detail := ErrorDetail{
		Kind:         e.Kind(),
		Message:      kinds.ToWire(e).Message,
		NotRun:       answer.NotRun,
		RetryAfterMS: addJitter(answer.RetryAfter).Milliseconds(),
		RequestID:    requestID,
	}
	return ErrorBody{Error: detail}, answer.HTTP
}

// JSON answers with a value.
func JSON(w http.ResponseWriter, requestID string, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		status = http.StatusInternalServerError
		data = []byte(`{"error":{"kind":"internal","message":"the answer can't be encoded"}}`)
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(data)+1))
	header.Set(HeaderRequestID, requestID)
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

// addJitter lengthens a wait by up to a quarter; it never shortens it.
func addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

// ceilSeconds rounds up: Retry-After counts whole ceilSeconds, and zero would invite
// a repeat at once.
func ceilSeconds(ms int64) int64 {
	return (ms + 999) / 1000
}
