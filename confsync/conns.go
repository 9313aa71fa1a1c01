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

// Bounds of the connections for exchanges. Among 1,860 processes a random peer
// is rarely chosen twice, so only few connections are worth keeping.
const (
	maxConns    = 16
	idleTimeout = 20 * time.Second
	bufferBytes = 4 << 10 // exchanges are short
)

// exchanger sends exchanges to peers; tests replace it.
type exchanger interface {
	exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error)
	Close()
}

// Conns keeps the most recently used connections to peers. It is safe for
// concurrent use.
type Conns struct {
	limit     int
	mu        sync.Mutex
	byAddr    map[string]*list.Element
	byLastUse *list.List // of *conn, most recently used first
	closed    bool
}

type conn struct {
	addr   string
	client *grpc.ClientConn
}

// NewConns returns a Conns that keeps up to limit connections. To open another
// one it closes the least recently used, even if a call is open on it, so limit
// must be above the number of peers called at the same time.
func NewConns(limit int) *Conns {
	return &Conns{limit: limit, byAddr: map[string]*list.Element{}, byLastUse: list.New()}
}

// newExchangeConns returns the Conns for exchanges.
func newExchangeConns() *Conns { return NewConns(maxConns) }

func (c *Conns) exchange(ctx context.Context, addr string, req *pb.ExchangeRequest) (*pb.ExchangeReply, error) {
	conn, err := c.Get(addr)
	if err != nil {
		return nil, err
	}
	reply, err := pb.NewPeerClient(conn).Exchange(ctx, req)
	return reply, errors.Annotatef(err, "exchange with %s", addr)
}

// Get returns the connection to addr and opens it if needed. Beyond the limit it
// closes the least recently used one. Exchanges use at most seven connections at
// once: three to spread a change, one for anti-entropy, and three to find a
// revision at startup. Get fails after Close.
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

// Close closes all connections. Get fails from then on.
func (c *Conns) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for c.byLastUse.Len() > 0 {
		c.drop(c.byLastUse.Back())
	}
}
