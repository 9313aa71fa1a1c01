package inbound

import (
	"bytes"
	"encoding/binary"
	"maps"
	"net"
	"slices"

	"github.com/juju/errors"
	"go.uber.org/zap"
	"golang.org/x/net/http2"
)

const frameHeaderLen = 9

// frames follows the frames of one direction of an HTTP/2 connection, whose payloads it does not look at. grpc-go alone judges
// them.
type frames struct {
	outgoing bool
	left     int                  // bytes that are missing of the client's preface or the current frame's payload
	header   [frameHeaderLen]byte // of the current frame
	filled   int                  // bytes of header that have passed; 0 between a header and the next one

	data       bool   // the current frame is a DATA frame
	endsBlock  bool   // it ends a header block
	endsStream bool   // it ends a stream, of which the other side hears nothing more
	stream     uint32 // its stream
	newest     uint32 // the stream of the last header block that has passed
	goesAway   bool   // a GOAWAY frame has passed
}

// frameEvents is told of the frames that pass.
type frameEvents interface {
	// passFrame is told of the header of a stream's DATA frame with a payload of size bytes. It returns false if there is no
	// room for the frame.
	passFrame(stream uint32, size int) bool
	// passData is told of bytes of a stream's DATA frames. It returns false if there is no room for them.
	passData(stream uint32, n int) bool
	// passEnd is told of a stream's end.
	passEnd(stream uint32)
}

// scan follows p up to the end of the first header block in it, and returns how many bytes that are. It returns false if an event
// does.
func (f *frames) scan(p []byte, events frameEvents) (n int, ok bool) {
	for n < len(p) {
		if f.left == 0 {
			n += f.fill(p[n:])
			if f.data && f.left > 0 && !events.passFrame(f.stream, f.left) {
				return n, false
			}
		}
		piece := min(f.left, len(p)-n)
		if f.data && piece > 0 && !events.passData(f.stream, piece) {
			return n, false
		}
		f.left -= piece
		n += piece
		if f.left > 0 || f.filled > 0 {
			continue
		}
		if f.endsStream {
			f.endsStream = false
			events.passEnd(f.stream)
		}
		if f.endsBlock {
			f.endsBlock, f.newest = false, f.stream
			return n, true
		}
	}
	return n, true
}

// fill takes bytes of a frame's header and returns their number. When the header is complete, the frame is the current one.
func (f *frames) fill(p []byte) int {
	n := copy(f.header[f.filled:], p)
	f.filled += n
	f.data, f.endsBlock, f.endsStream = false, false, false
	if f.filled < frameHeaderLen {
		return n
	}
	f.filled = 0
	kind, flags := http2.FrameType(f.header[3]), http2.Flags(f.header[4])
	f.left = int(f.header[0])<<16 | int(binary.BigEndian.Uint16(f.header[1:]))
	f.stream = binary.BigEndian.Uint32(f.header[5:]) &^ (1 << 31)
	switch kind {
	case http2.FrameData:
		f.data = true
	case http2.FrameHeaders:
		f.endsBlock = flags.Has(http2.FlagHeadersEndHeaders)
		f.endsStream = f.outgoing && flags.Has(http2.FlagHeadersEndStream)
	case http2.FrameContinuation:
		f.endsBlock = flags.Has(http2.FlagContinuationEndHeaders)
	case http2.FrameRSTStream:
		f.endsStream = true
	case http2.FrameGoAway:
		f.goesAway = true
	}
	return n
}

// errNoRoom is the error of a read on a connection with a message for which there is no room.
var errNoRoom = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no room for a message")}

// readFrames reads from a gRPC connection. No read goes beyond the end of a header block, so that a new stream is admitted while
// arriving.newest is its number. grpc-go has handled a stream's header block when it reads on.
func (c *Conn) readFrames(p []byte) (int, error) {
	c.refusals.wait()
	if c.aborted.Load() {
		return 0, net.ErrClosed // also what is ahead is not served any more
	}
	arrived, fromAhead := p, len(c.ahead) > 0
	if fromAhead {
		arrived = c.ahead[:min(len(p), len(c.ahead))]
	} else {
		n, err := c.TCPConn.Read(p)
		if n == 0 {
			return 0, err
		}
		arrived = p[:n]
	}
	newest := c.arriving.newest
	n, ok := c.arriving.scan(arrived, arrivals{c})
	if !ok {
		c.closeWithoutRoom("a message that it sends")
		return 0, errNoRoom
	}
	if c.arriving.newest != newest {
		c.refusals.expect(c.arriving.newest)
	}
	if fromAhead {
		copy(p, arrived[:n])
		c.ahead = c.ahead[n:]
	} else {
		c.ahead = bytes.Clone(arrived[n:])
	}
	return n, nil
}

// closeWithoutRoom closes a connection because there is no room for something.
func (c *Conn) closeWithoutRoom(what string) {
	c.listener.bounds.log.Warn("Closing a connection that there is no room for.",
		zap.String("listener", c.listener.use.name), zap.Stringer("client", c.RemoteAddr()), zap.String("what", what))
	c.abort()
}

// writeFrames writes to a gRPC connection.
func (c *Conn) writeFrames(p []byte) (int, error) {
	written, err := c.TCPConn.Write(p)
	for rest := p[:written]; len(rest) > 0; {
		n, _ := c.leaving.scan(rest, departures{c})
		rest = rest[n:]
	}
	if c.leaving.goesAway {
		c.refusals.stop()
	}
	return written, err
}

// Sizes of the buffers in which grpc-go holds the payloads of DATA frames that have arrived, in bytes.
const (
	// exactBuffer is the size up to which a buffer is as large as its payload.
	exactBuffer = 1 << 10
	smallBuffer = 4 << 10
	largeBuffer = 16 << 10 // of the largest frame
	// listedBufferCost is the cost of a buffer beside its bytes: a slice, and an entry in a list that grows by doubling.
	listedBufferCost = 128
)

// bufferCost returns the cost of a buffer for a payload, beside the payload.
func bufferCost(payload int) int64 {
	size := payload
	switch {
	case payload <= exactBuffer:
	case payload <= smallBuffer:
		size = smallBuffer
	case payload <= largeBuffer:
		size = largeBuffer
	}
	return int64(listedBufferCost + size - payload)
}

// arrivals counts the bytes of messages that arrive.
type arrivals struct{ conn *Conn }

func (a arrivals) passFrame(stream uint32, size int) bool {
	call := a.conn.call(stream)
	return call == nil || call.receiveFrame(bufferCost(size))
}

func (a arrivals) passData(stream uint32, n int) bool {
	call := a.conn.call(stream)
	return call == nil || call.receive(int64(n)) // grpc-go drops what arrives for a stream that has ended
}

func (a arrivals) passEnd(stream uint32) { a.conn.endCall(stream) }

// departures counts the bytes of answers that have been sent.
type departures struct{ conn *Conn }

func (d departures) passFrame(uint32, int) bool { return true }

func (d departures) passData(stream uint32, n int) bool {
	if call := d.conn.call(stream); call != nil {
		call.answer(-int64(n)) // less is never without room
	}
	return true
}

func (d departures) passEnd(stream uint32) {
	d.conn.refusals.settle(stream)
	d.conn.endCall(stream)
}

// call returns the call of a stream; nil: none.
func (c *Conn) call(stream uint32) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls[stream]
}

// endCall is called when a stream has ended on its connection.
func (c *Conn) endCall(stream uint32) {
	if call := c.call(stream); call != nil {
		call.end(&call.streamEnded)
	}
}

// endCalls is called when the connection has been closed.
func (c *Conn) endCalls() {
	c.mu.Lock()
	calls := slices.Collect(maps.Values(c.calls))
	c.mu.Unlock()
	for _, call := range calls {
		call.end(&call.streamEnded)
	}
}

// setCall sets the call of a stream; nil: none.
func (c *Conn) setCall(stream uint32, opened *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if opened == nil {
		delete(c.calls, stream)
		return
	}
	if c.calls == nil {
		c.calls = map[uint32]*call{}
	}
	c.calls[stream] = opened
}
