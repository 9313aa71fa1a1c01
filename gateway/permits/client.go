package permits

import (
	"context"
	"time"

	"github.com/juju/errors"
	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
)

// Config holds the settings of a Client.
type Config struct {
	VM            string // of this process
	Incarnation   string // of this process
	FailureDomain string // of this process
	// Members returns the gateways that serve brokers, this process included if it does.
	Members func() []decide.Member
	// Servers returns the servers of a service.
	Servers func(service string) []members.Server
	// Local serves the brokers of this process without a connection; nil: it serves none.
	Local *Server
	// Now reads a clock that continues while the VM is suspended.
	Now func() time.Duration
	// Open opens a stream to the broker at an address (IP:port); nil: by gRPC.
	Open   func(ctx context.Context, addr string) (Stream, error)
	Logger *zap.Logger
}

// Client asks brokers for permits. It is safe for concurrent use.
type Client struct{ cfg Config }

// NewClient returns a client.
func NewClient(cfg Config) *Client { return &Client{cfg: cfg} }

// Acquire asks for a permit for one request to the service and waits for the decision. Exactly
// one result is not nil. ask.ID and ask.Domain are filled in. The error is ErrNoBroker, upon which
// the caller decides by itself, or that of ctx.
func (c *Client) Acquire(ctx context.Context, service string, ask decide.Ask) (*Permit, *Refusal, error) {
	return nil, nil, errors.Trace(ErrNoBroker)
}

// Run closes streams that are not used until ctx ends.
func (c *Client) Run(ctx context.Context) { <-ctx.Done() }

type shardClient struct{}

func (s *shardClient) giveBack(p *Permit, took time.Duration, outcome evidence.Outcome) {}
