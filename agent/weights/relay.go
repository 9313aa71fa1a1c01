package weights

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const (
	// maxRelayWait is how long a child's request waits for this agent's own
	// fetch to start.
	maxRelayWait = 3 * time.Second
	// keepaliveInterval is how often a parent that has nothing to send sends an
	// empty piece. A child abandons a parent that sends no message for
	// parentStallTimeout, as a paused one, and one that sends no bytes for
	// storeStallTimeout: if the server lists of two agents differ, each could
	// wait for the other.
	keepaliveInterval  = time.Second
	parentStallTimeout = maxRelayWait + time.Second
)

// incomingCopy is a copy that is being fetched. Its bytes are relayed as they
// arrive, so that a hop of the relay tree adds the time of one piece and not
// that of a whole version. Each child checks the digest itself, with the value
// that the store gave it.
type incomingCopy struct {
	info platform.WeightInfo

	mu      sync.Mutex
	data    []byte // allocated for all bytes and never moved, because parts of it are being sent
	changed chan struct{}
}

func newIncomingCopy(info platform.WeightInfo) *incomingCopy {
	return &incomingCopy{info: info, data: make([]byte, 0, info.Bytes), changed: make(chan struct{})}
}

// Write appends the next bytes and wakes the relays. It returns an error if
// there are more bytes than the version should have.
func (a *incomingCopy) Write(p []byte) (int, error) {
	if len(a.data)+len(p) > cap(a.data) {
		return 0, errors.Errorf("weights have more than %d bytes", a.info.Bytes)
	}
	a.mu.Lock()
	a.data = append(a.data, p...)
	a.mu.Unlock()
	a.wake()
	return len(p), nil
}

// wake notifies the relays that wait for more bytes. It does nothing on nil.
func (a *incomingCopy) wake() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	close(a.changed)
	a.changed = make(chan struct{})
}

// received returns the bytes so far and a channel that is closed when more arrive.
func (a *incomingCopy) received() ([]byte, <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.data, a.changed
}

// availability describes which bytes of a version are here.
type availability struct {
	data     []byte
	total    int64
	complete bool
	pending  bool // more bytes will arrive
	gone     bool // the version was here and will not be fetched again
	changed  <-chan struct{}
}

func (c *copies) available(version uint64) availability {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current != nil && c.current.info.Version == version:
		return availability{data: c.current.data, total: c.current.info.Bytes, complete: c.current.data != nil, gone: c.current.data == nil}
	case c.incoming != nil && c.incoming.info.Version == version:
		data, changed := c.incoming.received()
		return availability{data: data, total: c.incoming.info.Bytes, pending: true, changed: changed}
	}
	return availability{pending: c.fetchingVersion == version, gone: version <= c.newest, changed: c.changed}
}

// relay serves FetchWeights. If this agent's own fetch fails and another source
// is tried, the relay continues after the bytes that it has sent: a version's
// bytes are the same from every source.
func (c *copies) relay(req *pb.FetchWeightsRequest, stream grpc.ServerStreamingServer[pb.WeightsPiece]) error {
	if req.GetModel() != c.cfg.Model {
		return status.Errorf(codes.NotFound, "this agent serves model %q", c.cfg.Model)
	}
	select {
	case c.relaySlots <- struct{}{}:
		defer func() { <-c.relaySlots }()
	default:
		return status.Error(codes.ResourceExhausted, "too many relays at once")
	}
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	waited := time.Duration(0)
	for sent := 0; ; {
		p := c.available(req.GetVersion())
		if p.pending {
			waited = 0
		}
		switch {
		case len(p.data) > sent:
			n := min(pieceBytes, len(p.data)-sent)
			if err := stream.Send(&pb.WeightsPiece{Data: p.data[sent : sent+n], TotalBytes: p.total}); err != nil {
				return err
			}
			sent += n
			continue
		case p.complete:
			c.countRelay(req.GetVersion())
			return nil
		case p.gone, waited >= maxRelayWait:
			return status.Errorf(codes.Unavailable, "version %d is not here", req.GetVersion())
		}
		select {
		case <-p.changed:
		case <-keepalive.C:
			waited += keepaliveInterval
			if !p.pending {
				continue
			}
			if err := stream.Send(&pb.WeightsPiece{TotalBytes: p.total}); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

// countRelay counts a child that has received the complete version.
func (c *copies) countRelay(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current != nil && c.current.info.Version == version {
		c.completedRelays++
	}
}

func (c *copies) fetchFromAgent(ctx context.Context, addr string, info platform.WeightInfo) (*versionCopy, error) {
	if addr == "" {
		return nil, errors.New("address of the parent is unknown")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, done, err := c.cfg.Dial(addr)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer done()
	stallTimer := time.AfterFunc(parentStallTimeout, cancel)
	stream, err := client.FetchWeights(ctx, &pb.FetchWeightsRequest{Model: info.Model, Version: info.Version})
	stallTimer.Stop()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return c.readCopy(info, &stallReader{&pieceReader{stream: stream, lastBytesAt: time.Now()}, cancel, parentStallTimeout})
}

// dialAgent is the default of Config.Dial.
func dialAgent(addr string) (pb.AgentClient, func(), error) {
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, nil, err
	}
	return pb.NewAgentClient(conn), func() { _ = conn.Close() }, nil
}

// pieceReader reads a relayed version. For an empty piece it returns no bytes.
type pieceReader struct {
	stream      grpc.ServerStreamingClient[pb.WeightsPiece]
	remaining   []byte
	lastBytesAt time.Time // when bytes last arrived
}

func (p *pieceReader) Read(b []byte) (int, error) {
	if len(p.remaining) == 0 {
		piece, err := p.stream.Recv()
		if err != nil {
			return 0, err
		}
		p.remaining = piece.GetData()
		if len(p.remaining) == 0 && time.Since(p.lastBytesAt) > storeStallTimeout {
			return 0, errors.New("parent sent only keepalives until the stall timeout")
		}
		if len(p.remaining) > 0 {
			p.lastBytesAt = time.Now()
		}
	}
	n := copy(b, p.remaining)
	p.remaining = p.remaining[n:]
	return n, nil
}
