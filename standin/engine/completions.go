package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"dandelionsill.org/standin/web"
)

const maxJobBytes = 64 << 20 // bytes, including the KV cache

// choice is the OpenAI-style choice of a streamEvent.
type choice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

// streamEvent is an OpenAI-style completion chunk with additional fields of the
// engine.
type streamEvent struct {
	ID             string   `json:"id"`
	Object         string   `json:"object"`
	Choices        []choice `json:"choices"`
	Tokens         int      `json:"tokens"`
	WeightsVersion uint64   `json:"weights_version,omitempty"`
	Boot           string   `json:"boot"`
}

// checkJob returns http.StatusOK if the engine accepts a job, and otherwise the
// HTTP status and message of the refusal.
func (e *Engine) checkJob(j job) (int, string) {
	switch {
	case j.ID == "":
		return http.StatusBadRequest, "id: missing"
	case strings.Count(j.ResumeText, " ") != j.ResumeTokens:
		return http.StatusBadRequest, "resume_text does not hold resume_tokens tokens"
	case j.Model != "" && j.Model != e.model:
		return http.StatusNotFound, "model not loaded"
	case e.version == 0:
		return http.StatusServiceUnavailable, "no weights loaded"
	}
	return http.StatusOK, ""
}

func (e *Engine) postCompletions(w http.ResponseWriter, r *http.Request) {
	var j job
	d := json.NewDecoder(io.LimitReader(r.Body, maxJobBytes))
	if err := d.Decode(&j); err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	// net/http detects that a client has disconnected only after the body was
	// read to its end.
	_, _ = io.Copy(io.Discard, r.Body)
	s := e.newStream(j)
	e.mu.Lock()
	status, message := e.checkJob(j)
	boot := e.bootID
	if status == http.StatusOK {
		e.enqueue(s)
		e.truth.recordStart(s.run)
	}
	e.mu.Unlock()
	if status != http.StatusOK {
		web.Error(w, status, message)
		return
	}
	e.notifyWorker()
	e.writeStream(w, r, s, boot)
}

// writeStream writes the chunks of s until it ends or the client disconnects.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, s *stream, boot string) {
	defer e.handleDisconnect(s)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	for {
		select {
		case <-s.notify:
		case <-r.Context().Done():
			return
		}
		chunks, done, drop := e.takeChunks(s)
		for _, c := range chunks {
			if writeEvent(w, s.job.ID, boot, c) != nil {
				return
			}
		}
		if flusher.Flush() != nil {
			return
		}
		if drop {
			web.Drop()
		}
		if done {
			return
		}
	}
}

// takeChunks removes and returns the unsent chunks, and reports whether the
// stream has ended and whether its connection must be dropped.
func (e *Engine) takeChunks(s *stream) (chunks []chunk, done, drop bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	chunks = s.unsent
	s.unsent = nil
	return chunks, s.done, s.dropConnection
}

// handleDisconnect cancels a stream unless it has ended.
func (e *Engine) handleDisconnect(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelStream(s)
}

// cancelStream cancels a stream; it returns false if the stream has ended. The
// caller holds the lock.
func (e *Engine) cancelStream(s *stream) bool {
	if s.done {
		return false
	}
	e.remove(s)
	s.flushChunk()
	e.endStream(s, outcomeCancelled)
	return true
}

func writeEvent(w io.Writer, id, boot string, c chunk) error {
	ev := streamEvent{
		ID:             id,
		Object:         "text_completion",
		Choices:        []choice{{Text: string(c.text)}},
		Tokens:         c.tokens,
		WeightsVersion: c.reportedVersion,
		Boot:           boot,
	}
	if c.finishReason != "" {
		ev.Choices[0].FinishReason = &c.finishReason
	}
	data, err := json.Marshal(ev)
	if err != nil {
		return err
	}
	data = append(append([]byte("data: "), data...), "\n\n"...)
	if c.finishReason != "" {
		data = append(data, "data: [DONE]\n\n"...)
	}
	_, err = w.Write(data)
	return err
}

// postCancel cancels all streams with an ID. Their responses end without a
// finish reason.
func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID string `json:"id"`
	}
	if err := web.ReadJSON(r, &in); err != nil {
		web.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	n := 0
	e.mu.Lock()
	for _, s := range e.streamsByID(in.ID) {
		if e.cancelStream(s) {
			n++
		}
	}
	e.mu.Unlock()
	web.JSON(w, http.StatusOK, struct {
		Cancelled int `json:"cancelled"`
	}{n})
}

// streamsByID returns the open streams with an ID. The caller holds the lock.
func (e *Engine) streamsByID(id string) []*stream {
	var found []*stream
	for _, list := range [][]*stream{e.running, e.waiting} {
		for _, s := range list {
			if s.job.ID == id {
				found = append(found, s)
			}
		}
	}
	return found
}
