package forward_test

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/members"
	decide "dandelionsill.org/decide/permits"
	"dandelionsill.org/decide/residency"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/gateway/backend"
	"dandelionsill.org/gateway/forward"
	"dandelionsill.org/gateway/permits"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/platform"
	"dandelionsill.org/platform/hosted"
	"dandelionsill.org/platform/hosted/hostedtest"
	"dandelionsill.org/wire/pb"
)

// fleet is a number of gateways, each of which may be the broker, and servers, connected in memory
// so that they run in virtual time.
type fleet struct {
	t        *testing.T
	ctx      context.Context
	feeds    feeds
	gateways []*gateway
	servers  []*fakeServer
	runs     runs
}

// gateway is one process.
type gateway struct {
	forward *forward.Forwarder
	view    *view.View
	feeds   *feedReader
	broker  *permits.Server
	stop    context.CancelFunc // of its client for permits

	mu     sync.Mutex
	down   bool
	frozen chan struct{} // not nil: its messages as a broker wait until it is closed
	cancel []context.CancelFunc
}

// runs counts by request how often servers ran it.
type runs struct {
	mu sync.Mutex
	n  map[string]int
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n[id]++
}

// feeds is a store's newest state, in place of its records.
type feeds struct {
	mu      sync.Mutex
	version uint64
	shared  bool
	servers []members.Server
	// regions are the allowed regions of the routes, ofOrganisation those of the organisation "o".
	regions, ofOrganisation residency.Regions
	cold                    *table.Cold                // of the service
	evacuations             map[string]platform.Change // newest record by failure domain
}

// feedReader is a gateway's way to the store.
type feedReader struct {
	*feeds
	isCut atomic.Bool // it reads nothing
}

// Snapshot implements platform.Feeds.
func (r *feedReader) Snapshot(ctx context.Context, feed platform.Feed) (platform.FeedPage, error) {
	if r.isCut.Load() {
		return platform.FeedPage{}, errors.New("connection refused")
	}
	return r.feeds.Snapshot(ctx, feed)
}

// Changes implements platform.Feeds.
func (r *feedReader) Changes(ctx context.Context, feed platform.Feed, from uint64, wait time.Duration) (platform.FeedPage, error) {
	page, err := r.feeds.Changes(ctx, feed, from, wait)
	if r.isCut.Load() {
		return platform.FeedPage{}, errors.New("connection reset")
	}
	return page, err
}

// read returns the whole state as a page.
func (f *feeds) read(feed platform.Feed) platform.FeedPage {
	f.mu.Lock()
	defer f.mu.Unlock()
	page := platform.FeedPage{Next: f.version}
	if feed == platform.FeedOperator {
		page.Changes = append(slices.Collect(maps.Values(f.evacuations)), platform.Change{Table: f.table()})
		return page
	}
	for _, s := range f.servers {
		page.Changes = append(page.Changes, platform.Change{Server: &s})
	}
	return page
}

func (f *feeds) change(do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.version++
	do()
}

// Snapshot implements platform.Feeds.
func (f *feeds) Snapshot(_ context.Context, feed platform.Feed) (platform.FeedPage, error) {
	return f.read(feed), nil
}

// Changes implements platform.Feeds.
func (f *feeds) Changes(ctx context.Context, feed platform.Feed, _ uint64, _ time.Duration) (platform.FeedPage, error) {
	select {
	case <-ctx.Done():
		return platform.FeedPage{}, ctx.Err()
	case <-time.After(50 * time.Millisecond):
		return f.read(feed), nil
	}
}

// End implements platform.Feeds.
func (f *feeds) End(_ context.Context, feed platform.Feed, _ uint64) (uint64, error) {
	return f.read(feed).Next, nil
}

// SaveCopy implements platform.Feeds.
func (*feeds) SaveCopy(context.Context, platform.Feed) error { return nil }

// LoadCopy implements platform.Feeds.
func (*feeds) LoadCopy(context.Context, platform.Feed) ([]platform.Change, error) { return nil, nil }

// table returns the current configuration; f.mu is held.
func (f *feeds) table() *table.Table {
	tb := newTable(f.version, f.shared, f.regions)
	service := tb.Services["plain"]
	service.Cold = f.cold
	tb.Services["plain"] = service
	if f.ofOrganisation.IsRestricted() {
		tb.Organisations, _ = table.NewDirectory([]table.Organisation{{Name: "o", Regions: f.ofOrganisation}})
	}
	return tb
}

// newTable returns a configuration whose service is shared, or not.
func newTable(version uint64, shared bool, regions residency.Regions) *table.Table {
	timeout := time.Second
	if !shared {
		timeout += time.Millisecond
	}
	route := func(kind table.Kind, name string) *table.Route {
		return &table.Route{
			Name: name, Host: "app.example", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: 2, Timeout: timeout,
			LatencyObjective: timeout / patience, Targets: []table.Target{{Service: "plain", Weight: 1}}, Regions: regions,
		}
	}
	routes := []*table.Route{route(table.Safe, "score"), route(table.Unsafe, "write")}
	if !shared {
		for _, r := range routes {
			r.LatencyObjective = 100 * time.Millisecond
		}
	}
	tb, err := table.New(version, routes, []table.Service{{Name: "plain"}}, table.Limits{})
	if err != nil {
		panic(err) // of this test
	}
	return tb
}

func newFleet(t *testing.T, gateways, servers int) *fleet {
	return newColdFleet(t, gateways, servers, nil)
}

// Bounds of what a server may get in one second that may be cold.
const (
	coldExcess = 1.5
	coldSlack  = 3
)

func names(list []decide.Member) []string {
	var names []string
	for _, m := range list {
		names = append(names, m.VM)
	}
	return names
}

// newColdFleet returns a fleet whose servers need care when they are cold; nil: none.
func newColdFleet(t *testing.T, gateways, servers int, care *table.Cold) *fleet {
	ctx, cancel := context.WithCancel(t.Context())
	f := &fleet{t: t, ctx: ctx, feeds: feeds{version: 1, shared: true, cold: care, evacuations: map[string]platform.Change{}}, runs: runs{n: map[string]int{}}}
	for i := range servers {
		f.addServer("s" + strconv.Itoa(i))
	}
	var list []decide.Member
	for i := range gateways {
		list = append(list, decide.Member{VM: "g" + strconv.Itoa(i), Addr: strconv.Itoa(i)})
	}
	var loops sync.WaitGroup
	for _, m := range list {
		f.addGateway(&loops, m, list)
	}
	t.Cleanup(func() {
		cancel()
		for _, s := range f.servers {
			_ = s.http.Close()
		}
		loops.Wait()
		for _, g := range f.gateways {
			g.forward.Pool.Retain(nil)
		}
	})
	time.Sleep(time.Second) // they read the feeds
	return f
}

func (f *fleet) addGateway(loops *sync.WaitGroup, self decide.Member, all []decide.Member) {
	reader := &feedReader{feeds: &f.feeds}
	v := view.New(reader, zap.NewNop())
	v.Topology = topology.New(map[string]string{"zone-a": "a", "zone-b": "b", "zone-c": "c"})
	pool := backend.NewPool(hosted.AttemptID)
	pool.Dial = f.dial
	listed := func(string) []members.Server { return v.Current().Servers["plain"] }
	started := time.Now()
	client := permits.NewClient(permits.Config{
		VM: self.VM, Incarnation: "1", FailureDomain: "zone-a", Servers: listed, Members: func() []decide.Member { return all },
		Open: f.open, Now: func() time.Duration { return time.Since(started) }, Logger: zap.NewNop(),
	})
	ctx, stop := context.WithCancel(f.ctx)
	g := &gateway{forward: forward.New(v, pool, "zone-a", zap.NewNop()), view: v, feeds: reader, stop: stop}
	g.broker = permits.NewServer(permits.ServerConfig{
		Servers: listed, Logger: zap.NewNop(), NewBroker: func(string) permits.Broker {
			return decide.New(decide.DefaultConfig(), evidence.New(evidence.Default))
		},
		Grants: func(server *members.Server, region string, shard int, now time.Time) (int, bool) {
			isSole := v.IsFresh() && decide.Ranked(server.Service, region, shard, all)[0].VM == self.VM
			return g.forward.BrokerGrants(server, isSole, now)
		},
	})
	if f.feeds.cold != nil {
		g.forward.UseColdBounds(coldExcess, coldSlack, self.VM, func() []string { return names(all) })
	}
	g.forward.UsePermits(client, patience)
	loops.Go(func() { v.Run(f.ctx) })
	loops.Go(func() { g.broker.Run(f.ctx) })
	loops.Go(func() { client.Run(ctx) })
	f.gateways = append(f.gateways, g)
}

// open opens a stream to the broker of a gateway.
func (f *fleet) open(ctx context.Context, addr string) (permits.Stream, error) {
	i, _ := strconv.Atoi(addr)
	g := f.gateways[i]
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down {
		return nil, errors.New("connection refused")
	}
	ctx, cancel := context.WithCancelCause(ctx)
	g.cancel = append(g.cancel, func() { cancel(errors.New("connection reset")) })
	s := &stream{ctx: ctx, gateway: g, requests: make(chan *pb.PermitRequest), replies: make(chan *pb.PermitReply)}
	go func() { cancel(g.broker.Exchange(brokerEnd{stream: s})) }()
	return s, nil
}

// setDown cuts a gateway off as a broker, or ends that.
func (g *gateway) setDown(down bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.down = down
	if down {
		for _, cancel := range g.cancel {
			cancel()
		}
		g.cancel = nil
	}
}

// setFrozen stops the messages of a gateway as a broker, or lets them go on.
func (g *gateway) setFrozen(frozen bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case frozen && g.frozen == nil:
		g.frozen = make(chan struct{})
	case !frozen && g.frozen != nil:
		close(g.frozen)
		g.frozen = nil
	}
}

// stream is a gateway's end of a stream to a broker.
type stream struct {
	ctx      context.Context
	gateway  *gateway
	requests chan *pb.PermitRequest
	replies  chan *pb.PermitReply
}

func (s *stream) Send(req *pb.PermitRequest) error {
	s.waitThawed()
	return pass(s.ctx, s.requests, req)
}

func (s *stream) Recv() (*pb.PermitReply, error) {
	reply, err := take(s.ctx, s.replies)
	s.waitThawed()
	return reply, err
}

func (s *stream) waitThawed() {
	s.gateway.mu.Lock()
	frozen := s.gateway.frozen
	s.gateway.mu.Unlock()
	if frozen == nil {
		return
	}
	select {
	case <-frozen:
	case <-s.ctx.Done():
	}
}

// brokerEnd is the broker's end of a stream.
type brokerEnd struct {
	grpc.ServerStream
	stream *stream
}

func (b brokerEnd) Context() context.Context { return b.stream.ctx }
func (b brokerEnd) Send(reply *pb.PermitReply) error {
	return pass(b.stream.ctx, b.stream.replies, reply)
}
func (b brokerEnd) Recv() (*pb.PermitRequest, error) { return take(b.stream.ctx, b.stream.requests) }

func pass[M any](ctx context.Context, to chan<- M, message M) error {
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case to <- message:
		return nil
	}
}

func take[M any](ctx context.Context, from <-chan M) (M, error) {
	select {
	case <-ctx.Done():
		var none M
		return none, context.Cause(ctx)
	case message := <-from:
		return message, nil
	}
}

// fakeServer is a server that does with each request what its mode says.
type fakeServer struct {
	entry members.Server
	http  *http.Server
	conns chan net.Conn
	runs  *runs

	// arrived is called with the id of each request; nil: nothing is.
	arrived func(id string)

	mu   sync.Mutex
	mode string
}

// modes are what servers do: all but refuse and refuse late run the request.
var modes = []string{"answer", "answer slowly", "answer late", "run late", "fail", "refuse", "refuse late", "break", "silent", "unreachable"}

func (f *fleet) addServer(id string) {
	s := &fakeServer{entry: members.Server{ID: id, Name: id, Service: "plain", Addr: id, FailureDomain: "zone-a", Slots: 2}, conns: make(chan net.Conn), runs: &f.runs, mode: "answer"}
	s.http = &http.Server{Handler: s}
	go s.http.Serve(s)
	f.servers = append(f.servers, s)
	f.feeds.servers = append(f.feeds.servers, s.entry)
}

func (s *fakeServer) setMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

func (s *fakeServer) getMode() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// dial opens a connection to a server.
func (f *fleet) dial(ctx context.Context, addr string) (net.Conn, error) {
	s := f.servers[slices.IndexFunc(f.servers, func(s *fakeServer) bool { return s.entry.Addr == addr })]
	if s.getMode() == "unreachable" {
		return nil, syscall.ECONNREFUSED
	}
	client, server := net.Pipe()
	return client, pass(ctx, s.conns, server)
}

// Accept implements net.Listener.
func (s *fakeServer) Accept() (net.Conn, error) {
	conn, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// Close implements net.Listener.
func (s *fakeServer) Close() error   { close(s.conns); return nil }
func (s *fakeServer) Addr() net.Addr { return &net.TCPAddr{} }

// ServeHTTP implements http.Handler.
func (s *fakeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(hostedtest.HeaderAttempt)
	if s.arrived != nil {
		s.arrived(id)
	}
	w.Header().Set(hostedtest.HeaderAttempt, id)
	w.Header().Set(hostedtest.HeaderSeal, "seal")
	mode := s.getMode()
	switch mode {
	case "refuse late":
		time.Sleep(300 * time.Millisecond)
		fallthrough
	case "refuse":
		w.Header().Set(hostedtest.HeaderNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "run late": // it does not notice that the gateway gave up
		time.Sleep(2 * time.Second)
	}
	s.runs.add(id)
	switch mode {
	case "answer slowly":
		time.Sleep(60 * time.Millisecond)
	case "answer late":
		time.Sleep(1500 * time.Millisecond)
	case "silent":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case "break":
		panic(http.ErrAbortHandler)
	case "fail":
		w.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) load() (waiting, running uint32) {
	for _, g := range f.gateways {
		reply, err := g.broker.Load(f.ctx, &pb.ServiceLoadRequest{Service: "plain"})
		require.NoError(f.t, err)
		waiting += reply.Waiting
		for _, d := range reply.Domains {
			running += d.Running
		}
	}
	return waiting, running
}
