package completions

import (
	"encoding/json"
	"net/http"
	"time"

	"dandelionsill.org/entry/answer"
	"dandelionsill.org/wire/pb"
)

// Answer is a complete answer, or one event of a streamed answer.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix time in seconds
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	// Dandelion is set in a complete answer and in the last event of a streamed one.
	Dandelion *Extra `json:"dandelion,omitempty"`
}

// Choice is the only choice of an answer.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
	// FinishReason is null until the last event.
	FinishReason *string `json:"finish_reason"`
}

// Usage is the number of tokens generated.
type Usage struct {
	CompletionTokens uint32 `json:"completion_tokens"`
}

// Extra holds the fields that this system adds to the usual format.
type Extra struct {
	// Spans lists which weight version generated which tokens.
	Spans  []Span `json:"spans"`
	Server string `json:"server"`
}

// Span is the token range [From, To) that a weight version generated.
type Span struct {
	Version uint64 `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// output is the answer to one caller. Only its request's goroutine uses it, so that no
// other request's tokens can get into it.
type output struct {
	w         http.ResponseWriter
	c         *completion
	generated generated
	started   bool // the status line and some text were written
}

// addChunk adds a chunk to the answer and writes it to a streaming caller.
func (o *output) addChunk(chunk *pb.GenerateChunk) error {
	o.generated.add(chunk)
	if !o.c.stream || chunk.Text == "" {
		return nil
	}
	return o.writeEvent(o.newAnswer(chunk.Text, nil))
}

// finish writes the complete answer, or the last event of a streamed one.
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

// fail ends a started stream with the error as its last event. There is no [DONE] and no
// finish reason, so that the caller can't take the text for a complete answer.
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
