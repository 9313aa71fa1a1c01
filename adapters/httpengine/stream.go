package httpengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/platform"
)

const (
	initialLineBytes = 16 << 10 // initial size of the line buffer
	maxLineBytes     = 4 << 20
	// drainTimeout bounds reading what follows the last chunk. Reading it is needed only
	// to reuse the connection.
	drainTimeout = 100 * time.Millisecond
)

var (
	dataField  = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// stream implements platform.Stream over server-sent events.
type stream struct {
	body     io.ReadCloser
	cancel   context.CancelFunc
	lines    *bufio.Scanner
	finished bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	return &stream{body: body, cancel: cancel, lines: lines}
}

type event struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Tokens         int             `json:"tokens"`
	WeightsVersion uint64          `json:"weights_version"`
	Boot           string          `json:"boot"`
	Error          json.RawMessage `json:"error"`
}

// Next implements platform.Stream.
//
// An engine that crashes or cancels a stream on its own may end the body as cleanly as one
// that has completed: only the finish reason distinguishes a complete answer from a
// truncated one. An end without it is io.ErrUnexpectedEOF.
func (s *stream) Next() (platform.Chunk, error) {
	if s.finished {
		s.drain()
		return platform.Chunk{}, io.EOF
	}
	for s.lines.Scan() {
		field, ok := bytes.CutPrefix(s.lines.Bytes(), dataField)
		if !ok {
			continue // blank line, comment or another field
		}
		field = bytes.TrimSpace(field)
		if bytes.Equal(field, doneMarker) {
			break
		}
		return s.decodeChunk(field)
	}
	if err := s.lines.Err(); err != nil {
		return platform.Chunk{}, errors.Annotate(brokenStreamError{err}, "engine: stream")
	}
	return platform.Chunk{}, errors.Annotate(io.ErrUnexpectedEOF, "engine: stream ended without a finish")
}

// brokenStreamError is a read error in the middle of a stream. It matches
// io.ErrUnexpectedEOF for any cause. It implements Is for this rather than wrapping that
// error in addition to the cause: net/http's error for a truncated body is
// io.ErrUnexpectedEOF already, and the text would name it twice.
type brokenStreamError struct{ error }

func (e brokenStreamError) Unwrap() error { return e.error }

func (brokenStreamError) Is(target error) bool { return target == io.ErrUnexpectedEOF }

func (s *stream) decodeChunk(data []byte) (platform.Chunk, error) {
	var ev event
	if err := json.Unmarshal(data, &ev); err != nil {
		return platform.Chunk{}, errors.Annotate(err, "engine: chunk")
	}
	if len(ev.Error) > 0 && string(ev.Error) != "null" {
		return platform.Chunk{}, errors.Errorf("engine: error in stream: %s", ev.Error)
	}
	if len(ev.Choices) != 1 || ev.Tokens < 0 {
		return platform.Chunk{}, errors.New("engine: chunk without one choice")
	}
	c := platform.Chunk{
		Text:    ev.Choices[0].Text,
		Tokens:  ev.Tokens,
		Version: ev.WeightsVersion,
		Boot:    ev.Boot,
	}
	if reason := ev.Choices[0].FinishReason; reason != nil {
		c.Finish = *reason
	}
	s.finished = c.Finish != ""
	return c, nil
}

// drain reads up to the end of the body, so that the connection can be reused, and closes
// the connection if the end does not arrive within drainTimeout.
func (s *stream) drain() {
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	for s.lines.Scan() {
	}
	_ = s.Close()
}

// Close implements platform.Stream. It closes the connection of a stream that has not
// ended, upon which the engine cancels the stream.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}
