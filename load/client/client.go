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

const maxAnswer = 64 << 20 // bytes

// Client sends requests with one bearer token.
type Client struct {
	balancer *Balancer
	token    string
	http     *http.Client
}

// New makes a client; maxConns bounds idle connections for each entry.
func New(b *Balancer, token string, maxConns int) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: maxConns,
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
	Timeout   time.Duration // deadline told to the entry; 0: the fleet's default
}

// Result is what a caller saw of one request. It is whole when Fault is empty.
type Result struct {
	RequestID string
	Key       string
	Sent      time.Time
	Took      time.Duration
	Entry     string // base URL of the entry that answered
	Status    int    // 0: no answer began
	Replayed  bool   // the answer is the key's first run's
	Body      []byte
	Error     *answer.ErrorDetail // the entry's own error
	// Fault is a transport's error: the answer did not come whole.
	Fault string
	// NeverSent: no entry took the connection, so no request went out.
	NeverSent bool
}

// OK tells whether a whole answer came and was no error of the system.
func (r *Result) OK() bool {
	return r.Fault == "" && r.Error == nil && r.Status/100 == 2
}

// NotRun tells whether the system said that the request did not run.
func (r *Result) NotRun() bool { return r.Error != nil && r.Error.NotRun }

// Kind is the error's kind, "fault" for a broken transport, or "".
func (r *Result) Kind() string {
	switch {
	case r.Error != nil:
		return r.Error.Kind
	case r.Fault != "":
		return "fault"
	}
	return ""
}

// Call sends one request to a plain service and waits for its whole answer.
func (c *Client) Call(ctx context.Context, call Call) Result {
	r := Result{RequestID: call.RequestID, Key: call.Key, Sent: time.Now()}
	resp := c.send(ctx, &r, call.Method, "/svc/"+call.Service+call.Path, call.Body, call.Timeout)
	if resp != nil {
		c.read(resp, &r)
	}
	r.Took = time.Since(r.Sent)
	return r
}

// send goes to the first entry that takes the connection, as a balancer
// would: a refused connection has carried nothing.
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
		r.NeverSent = refused(err)
		if !r.NeverSent {
			return nil
		}
	}
	return nil
}

func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" && errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) read(resp *http.Response, r *Result) {
	defer func() { _ = resp.Body.Close() }()
	r.Replayed = resp.Header.Get(answer.HeaderReplayed) == "true"
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		r.Fault = err.Error()
		return
	}
	r.Body = body
	r.Error = ownError(resp, body)
}

// ownError finds the entry's error in an answer. A backend server's own
// error answer has no "kind".
func ownError(resp *http.Response, body []byte) *answer.ErrorDetail {
	if resp.StatusCode < http.StatusBadRequest {
		return nil
	}
	var e answer.ErrorBody
	if json.Unmarshal(body, &e) != nil || e.Error.Kind == "" {
		return nil
	}
	return &e.Error
}

// WasInterrupted tells whether the request was cut off after it had been sent. A
// refusal, a deadline and a backend server's own error are no cut.
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
