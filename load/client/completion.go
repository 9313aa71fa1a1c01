package client

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/standin/truth"
)

const (
	maxEvent  = 16 << 20 // bytes of one SSE event
	dataField = "data: "
	doneEvent = "[DONE]"
)

// Completion is a request to a model.
type Completion struct {
	RequestID string        `json:"-"`
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens int           `json:"max_tokens"`
	Seed      uint64        `json:"seed"`
	Stream    bool          `json:"stream"`
	Timeout   time.Duration `json:"-"`
}

// Text is the content of a completion's answer.
type Text struct {
	Text   string
	Spans  []truth.Span
	Finish string // "" when the answer broke off
	TextEvents int    // SSE events with text
}

// completionEvent is an answer, or one event of a streamed one.
type completionEvent struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Dandelion *struct {
		Spans []truth.Span `json:"spans"`
	} `json:"dandelion"`
	Error *answer.ErrorDetail `json:"error"`
}

func (t *Text) add(e completionEvent) {
	for _, c := range e.Choices {
		t.Text += c.Text
		if c.FinishReason != nil {
			t.Finish = *c.FinishReason
		}
		if c.Text != "" {
			t.TextEvents++
		}
	}
	if e.Dandelion != nil {
		t.Spans = append(t.Spans, e.Dandelion.Spans...)
	}
}

// Complete asks for a completion and waits for its end. OnText, if not nil,
// is called for each piece of a stream.
func (c *Client) Complete(ctx context.Context, in Completion, onText func(string)) (Result, Text) {
	r := Result{RequestID: in.RequestID, Sent: time.Now()}
	var text Text
	body, err := json.Marshal(in)
	if err != nil {
		r.Fault, r.NeverSent = err.Error(), true
		return r, text
	}
	resp := c.send(ctx, &r, http.MethodPost, "/v1/completions", body, in.Timeout)
	switch {
	case resp == nil:
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		readStream(resp, &r, &text, onText)
	default:
		c.read(resp, &r)
		readWhole(&r, &text)
	}
	r.Took = time.Since(r.Sent)
	return r, text
}

func readWhole(r *Result, text *Text) {
	if !r.OK() {
		return
	}
	var e completionEvent
	if err := json.Unmarshal(r.Body, &e); err != nil {
		r.Fault = err.Error()
		return
	}
	text.add(e)
	if text.Finish == "" {
		r.Fault = "the answer has no finish_reason"
	}
}

func readStream(resp *http.Response, r *Result, text *Text, onText func(string)) {
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 64<<10), maxEvent)
	done := false
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte(dataField))
		if !ok {
			continue
		}
		if string(data) == doneEvent {
			done = true
			continue
		}
		var e completionEvent
		if err := json.Unmarshal(data, &e); err != nil {
			r.Fault = err.Error()
			return
		}
		if e.Error != nil {
			r.Error = e.Error
			return
		}
		before := len(text.Text)
		text.add(e)
		if onText != nil && len(text.Text) > before {
			onText(text.Text[before:])
		}
	}
	switch {
	case lines.Err() != nil:
		r.Fault = lines.Err().Error()
	case !done || text.Finish == "":
		r.Fault = io.ErrUnexpectedEOF.Error()
	}
}
