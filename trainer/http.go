package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/outbound"
)

// maxAnswerBytes bounds an entry's answer: groups with all their samples.
const maxAnswerBytes = 256 << 20

// Error kinds that the client handles.
const (
	kindBadRequest      = "bad_request"
	kindUnauthenticated = "unauthenticated"
	kindForbidden       = "forbidden"
	kindTooLarge        = "too_large"
	kindSuperseded      = "superseded"
	kindNotFound        = "not_found"
	kindLeaving         = "leaving"
)

// AnswerError is an error answer of an entry.
type AnswerError struct {
	Status     int
	Kind       string
	Message    string
	RetryAfter time.Duration
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("entry answered %d %s: %s", e.Status, e.Kind, e.Message)
}

// kindOf returns the kind of an AnswerError, and "" for other errors.
func kindOf(err error) string {
	if e, ok := errors.AsType[*AnswerError](err); ok {
		return e.Kind
	}
	return ""
}

// isFinal reports whether a retry would fail in the same way.
func isFinal(err error) bool {
	switch kindOf(err) {
	case kindBadRequest, kindUnauthenticated, kindForbidden, kindTooLarge:
		return true
	}
	return false
}

// do sends in as JSON, if not nil, and decodes the answer into out, if not nil.
// It returns an *AnswerError for a status other than 200, and an error for an
// incomplete or malformed answer.
func (c *Client) do(ctx context.Context, timeout time.Duration, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+c.cfg.Token)
	req.Header.Set("Content-Type", "application/json")
	res, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer res.Body.Close()
	data, err := outbound.ReadBody(res.Body, maxAnswerBytes)
	if err != nil {
		return errors.Annotate(err, "answer")
	}
	if res.StatusCode != http.StatusOK {
		return parseError(res, data)
	}
	if out == nil {
		return nil
	}
	return errors.Annotate(json.Unmarshal(data, out), "answer")
}

// parseError returns the AnswerError for an answer with a status other than 200.
func parseError(res *http.Response, data []byte) error {
	var body struct {
		Error struct {
			Kind         string `json:"kind"`
			Message      string `json:"message"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body) // an error page of a balancer has no kind
	e := &AnswerError{
		Status: res.StatusCode, Kind: body.Error.Kind, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && e.RetryAfter == 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// entryRotation holds the entries and the index of the one in use.
type entryRotation struct {
	entries []string
	mu      sync.Mutex
	index   int
}

func (t *entryRotation) current() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries[t.index%len(t.entries)]
}

// advance switches from entry to the next one, unless a concurrent step has
// already switched.
func (t *entryRotation) advance(entry string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[t.index%len(t.entries)] == entry {
		t.index++
	}
}

// backoff computes pauses that double from min to max.
type backoff struct {
	next, min, max time.Duration
}

func newBackoff(cfg Config) *backoff {
	return &backoff{next: cfg.MinBackoff, min: cfg.MinBackoff, max: cfg.MaxBackoff}
}

func (b *backoff) reset() { b.next = b.min }

// wait pauses before the attempt that follows err: for the entry's retry delay
// or the current backoff, whichever is longer. The backoff doubles with each
// call and is reduced by a random amount of up to one half. wait returns
// ctx.Err() if ctx ends first.
func (b *backoff) wait(ctx context.Context, err error) error {
	d := b.next/2 + rand.N(b.next/2+1)
	b.next = min(2*b.next, b.max)
	if e, ok := errors.AsType[*AnswerError](err); ok && e.RetryAfter > d {
		d = e.RetryAfter
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
