package confsync

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"dandelionsill.org/base/run"
	"dandelionsill.org/wire/pb"
)

// Bounds of connections to peers. Random peers among 1,860 are rarely met
// twice, so that few connections are worth keeping.
const (
	maxConns    = 16
	idleTimeout = 20 * time.Second
	bufferBytes = 4 << 10 // exchanges are short
)

// exchanger carries exchanges to peers.
type exchanger interface {
	exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error)
	Close()
}

// Conns keeps the connections to peers that were used last. It is safe for concurrent
// use.
type Conns struct {
	limit     int
	mu        sync.Mutex
	byAddr    map[string]*list.Element
	byLastUse *list.List // of *conn, last used first
	closed    bool
}

type conn struct {
	addr   string
	client *grpc.ClientConn
}

// NewConns returns no connections yet; most bounds them. It has to be above the number
// of calls that are open at a time: the connection that was used longest ago is closed.
func NewConns(limit int) *Conns {
	return &Conns{limit: limit, byAddr: map[string]*list.Element{}, byLastUse: list.New()}
}

// newExchangeConns returns those for exchanges.
func newExchangeConns() *Conns { return NewConns(maxConns) }

func (c *Conns) exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	conn, err := c.Get(addr)
	if err != nil {
		return nil, err
	}
	reply, err := pb.NewPeerClient(conn).Exchange(ctx, req)
	return reply, errors.Annotatef(err, "exchange with %s", addr)
}

// Get returns the connection to addr. The one closed for it was used longest ago. Of
// those for exchanges no more than seven are in use at once (three spread, one
// compares, three look for a revision at the start).
func (c *Conns) Get(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("confsync: stopped")
	}
	if e, ok := c.byAddr[addr]; ok {
		c.byLastUse.MoveToFront(e)
		return e.Value.(*conn).client, nil
	}
	client, err := run.NewClient(addr,
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes))
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.byAddr[addr] = c.byLastUse.PushFront(&conn{addr, client})
	if c.byLastUse.Len() > c.limit {
		c.drop(c.byLastUse.Back())
	}
	return client, nil
}

func (c *Conns) drop(e *list.Element) {
	old := c.byLastUse.Remove(e).(*conn)
	delete(c.byAddr, old.addr)
	_ = old.client.Close()
}

// Close closes all connections; none can be had any more.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for c.byLastUse.Len() > 0 {
		c.drop(c.byLastUse.Back())
	}
}
