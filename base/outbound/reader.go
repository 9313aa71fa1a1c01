// Package outbound guards what this process reads from servers that it calls over HTTP/1. A server in trouble may
// send anything; net/http passes on some of that as an answer. All clients of the system read answers through this
// package, so that one rule decides what an answer is: its version and status, the names and values of its fields,
// and that they leave no doubt where it ends. That holds for interim answers as well. An answer that ends with its
// connection is whole only if the server ended that in order.
package outbound

import (
	"bufio"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"dandelionsill.org/base/metrics"
)

var answersMalformed = metrics.Counter("outbound_answers_malformed_total")

// Reader reads from a connection to a server and checks the heads of the answers on it. A read that reaches a
// malformed head fails, and so do all later ones: the connection can only be closed.
type Reader struct {
	input io.Reader

	mu      sync.Mutex
	inHead  bool // the next byte belongs to a head
	checked bool // the head of the final answer has been read since ExpectAnswer
	head    head
	err     error
}

// newReader returns a reader of a connection on which no request has been sent.
func newReader(input io.Reader) *Reader { return &Reader{input: input, inHead: true} }

// ExpectAnswer must be called before each request is written. The answer to the request before must have been read
// to its end.
func (r *Reader) ExpectAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checked = false
	if !r.inHead {
		r.inHead, r.head = true, head{}
	}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if err := r.Err(); err != nil {
		return 0, err
	}
	n, err := r.input.Read(p)
	sound, cause := r.check(p[:n])
	switch {
	case cause == nil:
		return n, err
	case sound > 0:
		return sound, nil // the next call returns the error
	default:
		return 0, cause
	}
}

// check checks the next bytes of the connection and returns how many of them may be passed on.
func (r *Reader) check(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.inHead {
		return len(p), nil
	}
	n, done, err := r.head.read(p)
	if err != nil {
		answersMalformed.Add(1)
		r.err = err
		return n, err
	}
	if done {
		r.inHead, r.checked, r.head = false, true, head{}
	}
	return len(p), nil
}

// Err returns the error of a malformed head that has been read; nil if none has.
func (r *Reader) Err() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.err
}

// verify returns an error unless the head of the answer to the latest request was read, and was sound.
func (r *Reader) verify() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err == nil && !r.checked {
		answersMalformed.Add(1)
		r.err = malformed("answer before its request")
	}
	return r.err
}

// ReadResponse reads the head of the final answer to a request from buffered, which reads from r.
func (r *Reader) ReadResponse(buffered *bufio.Reader, req *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(buffered, req)
		if cause := r.Err(); cause != nil {
			return nil, cause
		}
		if err != nil {
			return nil, errors.Trace(err)
		}
		if resp.StatusCode >= minFinalStatus {
			return resp, r.verify()
		}
	}
}
