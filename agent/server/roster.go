package server

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"dandelionsill.org/agent/weights"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const (
	// rosterPace keeps the asking of a whole fleet (1,500 agents after a cold
	// start) within a daemon's bandwidth.
	rosterPace    = 100 * time.Millisecond
	rosterRetry   = 5 * time.Second
	rosterTimeout = 2 * time.Second
)

// roster learns which other agents serve the same model. The VM list does not
// tell; each agent is asked once, and again when its row has changed.
type roster struct {
	self, model string
	vms         VMs
	dial        func(addr string) (pb.AgentClient, func(), error)
	fellows     atomic.Pointer[[]weights.Peer]
	known       map[platform.VM]bool // row -> serves the same model
	unanswered  bool
}

func newRoster(self, model string, vms VMs) *roster {
	r := &roster{self: self, model: model, vms: vms, dial: dialAgent, known: make(map[platform.VM]bool)}
	r.fellows.Store(new([]weights.Peer))
	return r
}

// Fellows returns the agents known to serve the same model, by name.
func (r *roster) Fellows() []weights.Peer { return *r.fellows.Load() }

func (r *roster) run(ctx context.Context) {
	for {
		changed := r.vms.Changed()
		r.learn(ctx)
		var retry <-chan time.Time
		if r.unanswered {
			retry = time.After(rosterRetry)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// learn asks the agents that are new and publishes the list as it grows.
func (r *roster) learn(ctx context.Context) {
	r.unanswered = false
	rows := make(map[platform.VM]bool)
	for _, vm := range r.vms.VMs() {
		if vm.Role != platform.RoleAgent || vm.Name == r.self {
			continue
		}
		vm.State = platform.VMLive // a change of state alone asks nothing
		same, known := r.known[vm]
		if !known {
			var err error
			if same, err = r.ask(ctx, vm); err != nil {
				r.unanswered = true
				continue
			}
			if !sleep.For(ctx, rosterPace) {
				return
			}
		}
		rows[vm] = same
		r.known[vm] = same
		r.publish()
	}
	r.known = rows
	r.publish()
}

func (r *roster) publish() {
	var fellows []weights.Peer
	for vm, same := range r.known {
		if same {
			fellows = append(fellows, weights.Peer{Name: vm.Name, Addr: vm.Addr, FailureDomain: vm.FailureDomain})
		}
	}
	slices.SortFunc(fellows, func(a, b weights.Peer) int { return strings.Compare(a.Name, b.Name) })
	r.fellows.Store(&fellows)
}

// ask reads one state of an agent.
func (r *roster) ask(ctx context.Context, vm platform.VM) (same bool, _ error) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	client, done, err := r.dial(vm.Addr)
	if err != nil {
		return false, err
	}
	defer done()
	stream, err := client.Watch(ctx, &pb.WatchRequest{Watcher: r.self}, grpc.WaitForReady(true))
	if err != nil {
		return false, err
	}
	state, err := stream.Recv()
	if err != nil {
		return false, err
	}
	return state.Kind == KindEngine && state.Serves == r.model, nil
}

func dialAgent(addr string) (pb.AgentClient, func(), error) {
	conn, err := run.NewClient(addr)
	if err != nil {
		return nil, nil, err
	}
	return pb.NewAgentClient(conn), func() { _ = conn.Close() }, nil
}

// peers is the list of all other processes' addresses; it is rebuilt only when
// the VM list has changed, as the exchange asks for it often.
type peers struct {
	self string
	vms  VMs

	mu    sync.Mutex
	seen  <-chan struct{}
	addrs []string
}

func (p *peers) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.vms.Changed()
	if changed == p.seen {
		return p.addrs
	}
	p.seen = changed
	p.addrs = nil
	for _, vm := range p.vms.VMs() {
		if vm.Name != p.self && vm.Addr != "" {
			p.addrs = append(p.addrs, vm.Addr)
		}
	}
	return p.addrs
}
