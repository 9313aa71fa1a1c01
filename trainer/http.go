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
)

// Kinds of errors that the client acts on.
const (
	kindBadRequest      = "bad_request"
	kindUnauthenticated = "unauthenticated"
	kindForbidden       = "forbidden"
	kindTooLarge        = "too_large"
	kindSuperseded      = "superseded"
	kindNotFound        = "not_found"
	kindLeaving         = "leaving"
)

// AnswerError is an entry's refusal.
type AnswerError struct {
	Status     int
	Kind       string
	Message    string
	RetryAfter time.Duration
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("entry answered %d %s: %s", e.Status, e.Kind, e.Message)
}

func kindOf(err error) string {
	if e, ok := errors.AsType[*AnswerError](err); ok {
		return e.Kind
	}
	return ""
}

// isFinal tells whether a repeat would fail alike.
func isFinal(err error) bool {
	switch kindOf(err) {
	case kindBadRequest, kindUnauthenticated, kindForbidden, kindTooLarge:
		return true
	}
	return false
}

// do sends one request and decodes its answer into out. Nothing of a cut or
// malformed answer is used.
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
	data, err := io.ReadAll(res.Body)
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

func parseError(res *http.Response, data []byte) error {
	var body struct {
		Error struct {
			Kind         string `json:"kind"`
			Message      string `json:"message"`
			RetryAfterMS int64  `json:"retry_after_ms"`
		} `json:"error"`
	}
	_ = json.Unmarshal(data, &body) // a balancer's own page has no kind
	e := &AnswerError{
		Status: res.StatusCode, Kind: body.Error.Kind, Message: body.Error.Message,
		RetryAfter: time.Duration(body.Error.RetryAfterMS) * time.Millisecond,
	}
	if s, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil && e.RetryAfter == 0 {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// entryRotation is the list of entries with the one in use.
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

// advance turns to the next entry, unless another step did so already.
func (t *entryRotation) advance(entry string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries[t.index%len(t.entries)] == entry {
		t.index++
	}
}

type backoff struct {
	next, min, max time.Duration
}

func newBackoff(cfg Config) *backoff {
	return &backoff{next: cfg.MinBackoff, min: cfg.MinBackoff, max: cfg.MaxBackoff}
}

func (b *backoff) reset() { b.next = b.min }

// wait pauses before a try after err: as long as the entry asked for, or a
// time that doubles with each call, jittered down by up to a half.
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
