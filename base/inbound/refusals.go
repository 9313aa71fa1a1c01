package inbound

import "sync"

// refusals lets a gRPC connection have one refusal at a time that it has not been sent. grpc-go refuses a stream with malformed
// fields before admit is called, so that nothing counts the answer, which quotes the fields.
type refusals struct {
	mu      sync.Mutex
	changed *sync.Cond
	stream  uint32 // handed to grpc-go, neither admitted nor ended; 0: none
	stopped bool   // grpc-go may leave new streams without an answer
}

func newRefusals() *refusals {
	r := &refusals{}
	r.changed = sync.NewCond(&r.mu)
	return r
}

// expect is called before a stream's header block is handed to grpc-go.
func (r *refusals) expect(stream uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = stream
}

// settle is called when admit has been called for a stream or the end of its answer has been sent.
func (r *refusals) settle(stream uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stream == stream {
		r.stream = 0
		r.changed.Broadcast()
	}
}

// stop ends all waits, now and later. It is called when the connection is closed or goes away.
func (r *refusals) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopped = true
	r.changed.Broadcast()
}

// wait returns when no refusal waits to be sent.
func (r *refusals) wait() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.stream != 0 && !r.stopped {
		r.changed.Wait()
	}
}
