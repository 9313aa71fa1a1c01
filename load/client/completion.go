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
	maxEventBytes = 16 << 20 // bytes of one SSE event
	dataField     = "data: "
	doneEvent     = "[DONE]"
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

// Text is the content of the answer to a completion.
type Text struct {
	Text       string
	Spans      []truth.Span
	Finish     string // finish reason; "" if the answer is incomplete
	TextEvents int    // SSE events with text
}

// completionEvent is a complete answer or one event of a streamed answer.
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

// Complete requests a completion and waits for the end of the answer. onText, if
// not nil, is called with each piece of text of a streamed answer.
func (c *Client) Complete(ctx context.Context, in Completion, onText func(string)) (Result, Text) {
	r := Result{RequestID: in.RequestID, Sent: time.Now()}
	var content Text
	body, err := json.Marshal(in)
	if err != nil {
		r.Fault, r.NeverSent = err.Error(), true
		return r, content
	}
	resp := c.send(ctx, &r, http.MethodPost, "/v1/completions", body, in.Timeout)
	switch {
	case resp == nil:
	case strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream"):
		readStream(resp, &r, &content, onText)
	default:
		c.readAnswer(resp, &r)
		parseContent(&r, &content)
	}
	r.Took = time.Since(r.Sent)
	return r, content
}

// parseContent reads the content of an answer that is not streamed.
func parseContent(r *Result, content *Text) {
	if !r.OK() {
		return
	}
	var e completionEvent
	if err := json.Unmarshal(r.Body, &e); err != nil {
		r.Fault = err.Error()
		return
	}
	content.add(e)
	if content.Finish == "" {
		r.Fault = "the answer has no finish_reason"
	}
}

// readStream reads a streamed answer. It sets r.Fault if the stream ends without
// a finish reason and the final event.
func readStream(resp *http.Response, r *Result, content *Text, onText func(string)) {
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 64<<10), maxEventBytes)
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
		before := len(content.Text)
		content.add(e)
		if onText != nil && len(content.Text) > before {
			onText(content.Text[before:])
		}
	}
	switch {
	case lines.Err() != nil:
		r.Fault = lines.Err().Error()
	case !done || content.Finish == "":
		r.Fault = io.ErrUnexpectedEOF.Error()
	}
}
