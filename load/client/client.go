package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/kinds"
)

const maxAnswerBytes = 64 << 20 // bytes

// Client sends requests with one bearer token.
type Client struct {
	balancer *Balancer
	token    string
	http     *http.Client
}

// New returns a client that keeps at most maxConns idle connections per entry.
func New(b *Balancer, token string, maxIdleConns int) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
	}
	return &Client{balancer: b, token: token, http: &http.Client{Transport: transport}}
}

// Call is a request to a plain service.
type Call struct {
	RequestID string
	Key       string // idempotency key; empty: none
	Service   string
	Method    string
	Path      string
	Body      []byte
	Timeout   time.Duration // deadline sent to the entry; 0: the fleet's default
}

// Result is the result of one request as a caller sees it. The answer is complete
// if Fault is empty.
type Result struct {
	RequestID string
	Key       string
	Sent      time.Time
	Took      time.Duration
	Entry     string // base URL of the entry that answered
	Status    int    // 0: no answer started
	Replayed  bool   // the answer is the stored one of the key's first run
	Body      []byte
	Error     *answer.ErrorDetail // the error that the entry itself returned
	// Fault is a transport error: no complete answer was received.
	Fault string
	// NeverSent means that no entry accepted a connection, so that no request was
	// sent.
	NeverSent bool
}

// OK reports whether a complete answer with a 2xx status was received.
func (r *Result) OK() bool {
	return r.Fault == "" && r.Error == nil && r.Status/100 == 2
}

// NotRun reports whether the system answered that the request did not run.
func (r *Result) NotRun() bool { return r.Error != nil && r.Error.NotRun }

// Kind returns the kind of the entry's error, "fault" for a transport error, or
// "".
func (r *Result) Kind() string {
	switch {
	case r.Error != nil:
		return r.Error.Kind
	case r.Fault != "":
		return "fault"
	}
	return ""
}

// Call sends one request to a plain service and waits for the complete answer.
func (c *Client) Call(ctx context.Context, call Call) Result {
	r := Result{RequestID: call.RequestID, Key: call.Key, Sent: time.Now()}
	resp := c.send(ctx, &r, call.Method, "/svc/"+call.Service+call.Path, call.Body, call.Timeout)
	if resp != nil {
		c.readAnswer(resp, &r)
	}
	r.Took = time.Since(r.Sent)
	return r
}

// send sends the request to the first entry that accepts the connection, as a
// balancer would: nothing was sent on a refused connection. It returns nil, with
// the reason in r.Fault, if there is no answer.
func (c *Client) send(ctx context.Context, r *Result, method, path string, body []byte, timeout time.Duration) *http.Response {
	for _, base := range c.balancer.Order() {
		req, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
		if err != nil {
			r.Fault, r.NeverSent = err.Error(), true
			return nil
		}
		req.Header.Set("Authorization", "Bearer "+c.token)
		req.Header.Set(answer.HeaderRequestID, r.RequestID)
		if r.Key != "" {
			req.Header.Set("Idempotency-Key", r.Key)
		}
		if timeout > 0 {
			req.Header.Set("Dandelion-Timeout-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
		}
		r.Entry = base
		resp, err := c.http.Do(req)
		if err == nil {
			r.Status, r.Fault, r.NeverSent = resp.StatusCode, "", false
			return resp
		}
		r.Fault = err.Error()
		r.NeverSent = isConnectionRefused(err)
		if !r.NeverSent {
			return nil
		}
	}
	return nil
}

// isConnectionRefused reports whether err is a refused dial.
func isConnectionRefused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

// readAnswer reads the body of an answer, and the entry's error in it, into r.
func (c *Client) readAnswer(resp *http.Response, r *Result) {
	defer func() { _ = resp.Body.Close() }()
	r.Replayed = resp.Header.Get(answer.HeaderReplayed) == "true"
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		r.Fault = err.Error()
		return
	}
	r.Body = body
	r.Error = entryError(resp, body)
}

// entryError returns the entry's error in an answer, nil if there is none. The
// error answer of a backend server has no "kind".
func entryError(resp *http.Response, body []byte) *answer.ErrorDetail {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	var e answer.ErrorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Kind == "" {
		return nil
	}
	return &e.Error
}

// WasInterrupted reports whether the request was interrupted after it had been
// sent. Refusals, exceeded deadlines and errors of the backend server itself do
// not count as interruptions.
func (r *Result) WasInterrupted() bool {
	if r.Fault != "" {
		return !r.NeverSent
	}
	switch r.Kind() {
	case string(kinds.OutcomeUnknown), string(kinds.BackendFailed), string(kinds.Cancelled), string(kinds.Internal):
		return true
	}
	return false
}
