// Package answer writes an entry's own HTTP answers: JSON values, and errors in the form
// that every caller, trainer and operator gets.
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
	// HeaderServer contains the name of the backend server VM that answered.
	HeaderServer = "Dandelion-Server"
	// HeaderReplayed is "true" on an answer that was stored at the key's first execution.
	HeaderReplayed = "Dandelion-Replayed"
)

// retryJitter is the maximum random extension of Retry-After, as a share of it. Refused
// callers that all retry at the same moment would overload the same servers again.
const retryJitter = 0.25

// ErrorBody is the JSON form of an error.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes an error and what the caller may do about it.
type ErrorDetail struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	// NotRun is true only if the request is proved not to have run.
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
	RequestID    string `json:"request_id"`
}

// Error answers a request with err's kind, status and Retry-After. An error without a
// kind is answered as kinds.Internal. Nothing may have been written to w before.
func Error(w http.ResponseWriter, requestID string, err error) {
	body, status := Body(requestID, err)
	if body.Error.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(ceilSeconds(body.Error.RetryAfterMS), 10))
	}
	JSON(w, requestID, status, body)
}

// Body returns err's JSON form and HTTP status. A stream that has already sent its status
// line sends the JSON form as its last event.
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

// JSON answers a request with a status and a JSON value. If the value can't be encoded,
// it answers with status 500 and an error of kind internal.
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

// HeadRefusal returns the headers and the body of the answer to a request that was refused for its head, before its id was known:
// with StatusRequestHeaderFieldsTooLarge, or for want of room.
func HeadRefusal(status int) (http.Header, []byte) {
	refusal := kinds.Hold().Refuse(kinds.Overloaded, "no room for the lines of the request's head")
	if status == http.StatusRequestHeaderFieldsTooLarge {
		refusal = kinds.Hold().Refuse(kinds.TooLarge, "the request's head is too large")
	}
	body, _ := Body("", refusal)
	data, err := json.Marshal(body)
	if err != nil { // can't happen: the body has texts and numbers only
		panic(err)
	}
	return http.Header{"Content-Type": {"application/json"}}, append(data, '\n')
}

// addJitter extends a wait by a random part of up to a quarter; it never shortens it.
func addJitter(wait time.Duration) time.Duration {
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

// ceilSeconds converts milliseconds to seconds, rounded up: Retry-After has whole seconds,
// and 0 would invite an immediate retry.
func ceilSeconds(ms int64) int64 {
	return (ms + 999) / 1000
}
