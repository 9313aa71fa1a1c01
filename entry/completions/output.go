package completions

import (
	"encoding/json"
	"net/http"
	"time"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/wire/pb"
)

// Answer is a whole answer, or one event of a streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // seconds since 1970
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Dandelion stands in the whole answer and in the last event.
	Dandelion *Extra `json:"dandelion,omitempty"`
}

// Choice is the only choice of an answer.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// FinishReason is null until the last event.
	FinishReason *string `json:"finish_reason"`
}

// Usage counts tokens.
type Usage struct {
	CompletionTokens uint32 `json:"completion_tokens"`
}

// Extra is what this system adds to the usual form.
type Extra struct {
	// Spans tell which weight version made which tokens.
	Spans  []Span `json:"spans"`
	Server string `json:"server"`
}

// Span says that tokens [From, To) were made by a weight version.
type Span struct {
	Version uint64 `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// output is one caller's answer. It belongs to its request's goroutine alone,
// so that no other request's tokens can get into it.
type output struct {
	w         http.ResponseWriter
	c         *completion
	generated generated
	started   bool // the status line and some text are out
}

// addChunk takes a addChunk in and, for a streaming caller, passes it on.
func (o *output) addChunk(chunk *pb.GenerateChunk) error {
	o.generated.add(chunk)
	if !o.c.stream || chunk.Text == "" {
		return nil
	}
	return o.writeEvent(o.newAnswer(chunk.Text, nil))
}

// finish completes the answer.
func (o *output) finish() error {
	extra := &Extra{Spans: answerSpans(o.generated.spans), Server: o.generated.server}
	usage := &Usage{CompletionTokens: o.generated.tokens}
	if o.c.stream {
		last := o.newAnswer("", &o.generated.finishReason)
		last.Usage, last.Dandelion = usage, extra
		if o.writeEvent(last) == nil {
			o.writeData([]byte("[DONE]"))
		}
		return nil
	}
	complete := o.newAnswer(o.generated.text.String(), &o.generated.finishReason)
	complete.Usage, complete.Dandelion = usage, extra
	o.w.Header().Set(answer.HeaderServer, o.generated.server)
	answer.JSON(o.w, o.c.ID, http.StatusOK, complete)
	return nil
}

// fail ends a stream that has begun with the error as its last event. Without
// [DONE] and a finish reason no caller takes the text for whole.
func (o *output) fail(err error) {
	body, _ := answer.Body(o.c.ID, err)
	if data, err := json.Marshal(body); err == nil {
		o.writeData(data)
	}
}

func (o *output) newAnswer(text string, finish *string) Answer {
	return Answer{
		ID:      o.c.ID,
		Object:  "text_completion",
		Created: time.Now().Unix(),
		Model:   o.c.model,
		Choices: []Choice{{Text: text, FinishReason: finish}},
	}
}

func (o *output) writeEvent(a Answer) error {
	data, err := json.Marshal(a)
	if err != nil {
		return err
	}
	if !o.started {
		o.writeHeader()
	}
	return o.writeData(data)
}

func (o *output) writeHeader() {
	o.started = true
	header := o.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(answer.HeaderRequestID, o.c.ID)
	header.Set(answer.HeaderServer, o.generated.server)
	o.w.WriteHeader(http.StatusOK)
}

func (o *output) writeData(data []byte) error {
	event := append(append([]byte("data: "), data...), "\n\n"...)
	if _, err := o.w.Write(event); err != nil {
		return err
	}
	return http.NewResponseController(o.w).Flush()
}

func answerSpans(from []*pb.Span) []Span {
	out := make([]Span, len(from))
	for i, s := range from {
		out[i] = Span{Version: s.Version, From: s.From, To: s.To}
	}
	return out
}
