package inbound

import (
	"bytes"
	"net/http"
	"strings"
)

// Costs of a head, in bytes of a budget, beyond what connCost includes.
const (
	freeLines = 32
	freeBytes = 4 << 10
	// lineCost is the cost of a header line: its entry in two maps (the request's and that of its copy for a backend
	// server), two slices and two strings.
	lineCost = 128
	byteCost = 2
)

const (
	// readAhead is the size of the buffer through which net/http reads from a connection. Behind the end of a head, it may
	// hold bytes of the body and of the next request.
	readAhead = 4 << 10
	// minLine is the length of the shortest header line.
	minLine = len("a:\n")
)

// head counts what one connection has delivered of the head or trailer that is being read. It does not look for the end of a
// head: that is up to net/http alone, so that both can't disagree on it. Where it does not know, it counts too much.
type head struct {
	reading bool // net/http reads a head
	begun   bool // and has read from the connection for it
	trailer bool // a body is read that a trailer may follow
	lines   int
	bytes   int
	recent  recentLines
}

// receive counts the n bytes in p that a read of net/http delivers.
func (h *head) receive(p []byte, n int) {
	if h.reading && !h.begun {
		h.begun = true
		// What is in the buffer already was read together with the request before.
		h.bytes = max(0, readAhead-len(p))
		h.lines = min(h.recent.count(), h.bytes/minLine)
	}
	lines := bytes.Count(p[:n], []byte{'\n'})
	h.recent.add(n, lines)
	if h.reading {
		h.lines += lines
		h.bytes += n
	}
}

// finish ends the head of a request. A head that was read ahead as a whole is counted only now. So are what one line can hold
// very many of: the names of announced trailers and the parameters of the query, each of which becomes an entry in a map.
func (h *head) finish(r *http.Request) {
	lines, size := 0, len(r.RequestURI)
	for name, values := range r.Header {
		lines += len(values)
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	h.lines, h.bytes = max(h.lines, lines)+len(r.Trailer)+strings.Count(r.RequestURI, "&"), max(h.bytes, size)
	h.reading, h.trailer = false, r.ContentLength < 0
}

// next begins the head of the next request.
func (h *head) next() { *h = head{reading: true, recent: h.recent} }

// cost returns what the head and the trailer can cost in a budget.
func (h *head) cost() int64 {
	lines, size := h.lines, h.bytes
	if h.trailer {
		lines += h.recent.count()
		size += readAhead
	}
	return int64(max(0, lines-freeLines)*lineCost + max(0, size-freeBytes)*byteCost)
}

// recentLines counts the line ends in at least the last readAhead bytes.
type recentLines struct {
	lines, before int // in the current block and in the one before, which had at least readAhead bytes
	size          int // of the current block
}

func (r *recentLines) add(size, lines int) {
	r.lines += lines
	r.size += size
	if r.size >= readAhead {
		*r = recentLines{before: r.lines}
	}
}

func (r *recentLines) count() int { return r.lines + r.before }
