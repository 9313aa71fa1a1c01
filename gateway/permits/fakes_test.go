package permits

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/wire/pb"
)

// fakeBroker grants the places of its servers in the order of the asks.
type fakeBroker struct {
	mu        sync.Mutex
	servers   []decide.Server
	used      map[decide.AskID]fakePermit
	queue     []decide.Ask
	deadlines map[decide.AskID]time.Time
	maxQueue  int
	unknown   int // reports on permits that are not in use
	lastAsk   decide.Ask
	outcomes  []evidence.Outcome
	block     chan struct{} // not nil: asks are decided once it is closed
}

// fakePermit counts until its request's deadline.
type fakePermit struct {
	server string
	until  time.Time
}

const fakeRetryAfter = 700 * time.Millisecond

func newFakeBroker() *fakeBroker {
	return &fakeBroker{used: map[decide.AskID]fakePermit{}, deadlines: map[decide.AskID]time.Time{}, maxQueue: 1}
}

func (f *fakeBroker) SetServers(_ time.Time, servers []decide.Server) []decide.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = servers
	return f.serveQueue()
}

func (f *fakeBroker) Ask(now time.Time, ask decide.Ask) []decide.Decision {
	if f.block != nil {
		<-f.block
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastAsk = ask
	f.deadlines[ask.ID] = now.Add(ask.Deadline)
	f.queue = append(f.queue, ask)
	decisions := f.serveQueue()
	switch at := slices.IndexFunc(f.queue, func(a decide.Ask) bool { return a.ID == ask.ID }); {
	case at < 0:
		return decisions
	case len(f.servers) == 0:
		f.queue = slices.Delete(f.queue, at, at+1)
		return append(decisions, decide.Decision{ID: ask.ID, Kind: decide.Refused, Refusal: decide.NoServer})
	case ask.NoWait || len(f.queue) > f.maxQueue:
		f.queue = slices.Delete(f.queue, at, at+1)
		return append(decisions, decide.Decision{ID: ask.ID, Kind: decide.Refused, Refusal: decide.Overloaded, RetryAfter: fakeRetryAfter, Reason: "full"})
	}
	return append(decisions, decide.Decision{ID: ask.ID, Kind: decide.Queued, Wait: time.Second})
}

func (f *fakeBroker) Cancel(_ time.Time, id decide.AskID) []decide.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(ask decide.Ask) bool { return ask.ID == id })
	return nil
}

func (f *fakeBroker) Report(_ time.Time, r decide.Report) []decide.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.used[r.ID].server != r.Server {
		f.unknown++
	}
	delete(f.used, r.ID)
	f.outcomes = append(f.outcomes, r.Outcome)
	return f.serveQueue()
}

func (f *fakeBroker) InUse(_ time.Time, id decide.AskID, server string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.used[id] = fakePermit{server, time.Now().Add(time.Minute)}
}

func (f *fakeBroker) Forget(_ time.Time, gateway string) []decide.Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(ask decide.Ask) bool { return ask.ID.Gateway == gateway })
	return nil
}

// Tick refuses asks whose deadlines have passed.
func (f *fakeBroker) Tick(now time.Time) (decisions []decide.Decision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(ask decide.Ask) bool {
		isLate := !now.Before(f.deadlines[ask.ID])
		if isLate {
			decisions = append(decisions, decide.Decision{ID: ask.ID, Kind: decide.Refused, Refusal: decide.DeadlineTooShort})
		}
		return isLate
	})
	return decisions
}

func (f *fakeBroker) Load() decide.Load {
	waiting, _ := f.counts()
	return decide.Load{Waiting: waiting}
}

func (f *fakeBroker) Overview(time.Time, int) decide.Overview {
	waiting, used := f.counts()
	return decide.Overview{InUse: used, Waiting: decide.Waiting{Callers: waiting}}
}

func (f *fakeBroker) ServerReports(time.Time) []evidence.ServerReport { return nil }

func (f *fakeBroker) serveQueue() (decisions []decide.Decision) {
	for len(f.queue) > 0 {
		free := f.freeServer()
		if free == "" {
			return decisions
		}
		id := f.queue[0].ID
		f.used[id] = fakePermit{free, time.Now().Add(f.queue[0].Deadline)}
		f.queue = f.queue[1:]
		decisions = append(decisions, decide.Decision{ID: id, Kind: decide.Granted, Server: free, Reason: "free"})
	}
	return decisions
}

func (f *fakeBroker) freeServer() string {
	busy := map[string]int{}
	for _, permit := range f.used {
		if time.Now().Before(permit.until) {
			busy[permit.server]++
		}
	}
	for _, s := range f.servers {
		if busy[s.ID] < s.Slots {
			return s.ID
		}
	}
	return ""
}

func (f *fakeBroker) counts() (waiting, used int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, permit := range f.used {
		if time.Now().Before(permit.until) {
			used++
		}
	}
	return len(f.queue), used
}

// fleet is a number of gateways that run brokers, connected by streams in memory.
type fleet struct {
	t       *testing.T
	ctx     context.Context
	members []decide.Member // in rank
	servers []members.Server
	boot    atomic.Int64 // how far the clock of clients is ahead, ns

	mu      sync.Mutex
	brokers map[string]*fakeBroker // by address and shard
	nodes   map[string]*node       // by address
}

// node is a gateway's process as far as it serves others.
type node struct {
	server *Server
	down   bool
	cancel []context.CancelFunc // of its streams
	// frozen is not nil while messages to and from the process stay where they are; it is closed
	// when they go on.
	frozen chan struct{}
}

func newFleet(t *testing.T, gateways, servers, slots int) *fleet {
	f := &fleet{t: t, ctx: t.Context(), brokers: map[string]*fakeBroker{}, nodes: map[string]*node{}}
	for i := range servers {
		f.servers = append(f.servers, members.Server{ID: fmt.Sprintf("server-%d", i), Name: fmt.Sprintf("server-%d", i), Slots: slots})
	}
	for i := range gateways {
		f.members = append(f.members, decide.Member{VM: fmt.Sprintf("vm-%d", i), Addr: fmt.Sprintf("10.0.0.%d:1", i)})
	}
	f.members = decide.Ranked("echo", "", 0, f.members)
	for _, m := range f.members {
		n := &node{server: NewServer(ServerConfig{
			Servers: f.list, Logger: zap.NewNop(), NewBroker: func(shard string) Broker { return f.newBroker(m.Addr, shard) },
		})}
		f.nodes[m.Addr] = n
		go n.server.Run(f.ctx)
	}
	return f
}

func (f *fleet) list(string) []members.Server { return f.servers }

// newBroker lets the decisions of a shard at an address begin anew.
func (f *fleet) newBroker(addr, shard string) *fakeBroker {
	b := f.broker(addr, shard)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used, b.queue = map[decide.AskID]fakePermit{}, nil
	return b
}

// broker returns the decisions of the broker of a shard at an address.
func (f *fleet) broker(addr, shard string) *fakeBroker {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := addr + " " + shard
	if f.brokers[key] == nil {
		f.brokers[key] = newFakeBroker()
		f.brokers[key].maxQueue = 1000
	}
	return f.brokers[key]
}

// ranked returns the broker of the whole service that is the i-th in rank.
func (f *fleet) ranked(i int) *fakeBroker { return f.broker(f.members[i].Addr, "echo") }

// client returns the client of a gateway without brokers, which runs until the test ends.
func (f *fleet) client(vm string) *Client {
	started := time.Now()
	c := NewClient(Config{
		VM: vm, Incarnation: "1", FailureDomain: "a", Servers: f.list, Logger: zap.NewNop(), Open: f.open,
		Members: func() []decide.Member { return f.members }, Now: func() time.Duration { return time.Since(started) + time.Duration(f.boot.Load()) },
	})
	go c.Run(f.ctx)
	return c
}

func (f *fleet) open(ctx context.Context, addr string) (Stream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[addr]
	if n.down {
		return nil, errors.New("connection refused")
	}
	ctx, cancel := context.WithCancel(ctx)
	n.cancel = append(n.cancel, cancel)
	return &fakeStream{Stream: openLocal(ctx, n.server), ctx: ctx, fleet: f, node: n}, nil
}

// kill ends the process that ranks i-th and its streams.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[f.members[i].Addr]
	n.down = true
	for _, cancel := range n.cancel {
		cancel()
	}
}

// restart lets the process that ranks i-th accept streams again.
func (f *fleet) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[f.members[i].Addr].down = false
}

// freeze stops all messages of the process that ranks i-th until the result is called.
func (f *fleet) freeze(i int) (thaw func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[f.members[i].Addr]
	n.frozen = make(chan struct{})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		close(n.frozen)
		n.frozen = nil
	}
}

// fakeStream is a stream whose messages stop while the broker's process is frozen.
type fakeStream struct {
	Stream
	ctx   context.Context
	fleet *fleet
	node  *node
}

func (s *fakeStream) Send(req *pb.PermitRequest) error {
	s.waitThawed()
	return s.Stream.Send(req)
}

func (s *fakeStream) Recv() (*pb.PermitReply, error) {
	reply, err := s.Stream.Recv()
	s.waitThawed()
	return reply, err
}

func (s *fakeStream) waitThawed() {
	s.fleet.mu.Lock()
	frozen := s.node.frozen
	s.fleet.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-s.ctx.Done():
	}
}

// outcome is the result of Acquire.
type outcome struct {
	permit  *Permit
	refusal *Refusal
	err     error
}

func acquire(ctx context.Context, c *Client, ask decide.Ask) outcome {
	permit, refusal, err := c.Acquire(ctx, "echo", ask)
	return outcome{permit, refusal, err}
}

// start begins to acquire a permit.
func start(ctx context.Context, c *Client, ask decide.Ask) <-chan outcome {
	results := make(chan outcome, 1)
	go func() { results <- acquire(ctx, c, ask) }()
	return results
}

// mustAcquire returns a permit.
func mustAcquire(t *testing.T, c *Client) *Permit {
	o := acquire(t.Context(), c, decide.Ask{Deadline: time.Minute})
	require.NoError(t, o.err)
	require.NotNil(t, o.permit, "%+v", o.refusal)
	return o.permit
}

// settle lets reports reach their brokers, and checks how many asks and permits a broker has.
func settle(t *testing.T, f *fakeBroker, waiting, used int) {
	t.Helper()
	time.Sleep(10 * reportDelay)
	synctest.Wait()
	gotWaiting, gotUsed := f.counts()
	require.Equal(t, []int{waiting, used}, []int{gotWaiting, gotUsed}, "asks, permits in use")
	require.Zero(t, f.unknown, "reports on permits that are not in use")
}
