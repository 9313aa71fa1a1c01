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
	// rosterAskInterval is the pause after each agent asked. It keeps asking a
	// whole fleet (1,500 agents after a cold start) within a daemon's
	// bandwidth.
	rosterAskInterval = 100 * time.Millisecond
	rosterRetryDelay  = 5 * time.Second
	rosterAskTimeout  = 2 * time.Second
)

// roster finds the other agents that serve the same model. The VM list does not
// contain the models; each agent is asked once, and again when its row has
// changed.
type roster struct {
	self, model   string
	vms           VMs
	dial          func(addr string) (pb.AgentClient, func(), error)
	peers         atomic.Pointer[[]weights.Peer]
	sameModel     map[platform.VM]bool // row -> serves the same model
	hasUnanswered bool
}

func newRoster(self, model string, vms VMs) *roster {
	r := &roster{self: self, model: model, vms: vms, dial: dialAgent, sameModel: make(map[platform.VM]bool)}
	r.peers.Store(new([]weights.Peer))
	return r
}

// Peers returns the agents known to serve the same model, sorted by name.
func (r *roster) Peers() []weights.Peer { return *r.peers.Load() }

func (r *roster) run(ctx context.Context) {
	for {
		changed := r.vms.Changed()
		r.refresh(ctx)
		var retry <-chan time.Time
		if r.hasUnanswered {
			retry = time.After(rosterRetryDelay)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-retry:
		}
	}
}

// refresh asks the agents that are new and publishes the list as it grows.
func (r *roster) refresh(ctx context.Context) {
	r.hasUnanswered = false
	rows := make(map[platform.VM]bool)
	for _, vm := range r.vms.VMs() {
		if vm.Role != platform.RoleAgent || vm.Name == r.self {
			continue
		}
		vm.State = platform.VMLive // a change of the state only does not require asking again
		same, known := r.sameModel[vm]
		if !known {
			var err error
			if same, err = r.servesSameModel(ctx, vm); err != nil {
				r.hasUnanswered = true
				continue
			}
			if !sleep.For(ctx, rosterAskInterval) {
				return
			}
		}
		rows[vm] = same
		r.sameModel[vm] = same
		r.publish()
	}
	r.sameModel = rows
	r.publish()
}

func (r *roster) publish() {
	var peers []weights.Peer
	for vm, same := range r.sameModel {
		if same {
			peers = append(peers, weights.Peer{Name: vm.Name, Addr: vm.Addr, FailureDomain: vm.FailureDomain})
		}
	}
	slices.SortFunc(peers, func(a, b weights.Peer) int { return strings.Compare(a.Name, b.Name) })
	r.peers.Store(&peers)
}

// servesSameModel reads one state of an agent and reports whether it serves the
// same model.
func (r *roster) servesSameModel(ctx context.Context, vm platform.VM) (same bool, _ error) {
	ctx, cancel := context.WithTimeout(ctx, rosterAskTimeout)
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

// peerAddrs is the list of all other processes' addresses. It is rebuilt only
// when the VM list has changed, because the exchange between the processes asks
// for it often.
type peerAddrs struct {
	self string
	vms  VMs

	mu         sync.Mutex
	lastChange <-chan struct{}
	addrs      []string
}

func (p *peerAddrs) list() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := p.vms.Changed()
	if changed == p.lastChange {
		return p.addrs
	}
	p.lastChange = changed
	p.addrs = nil
	for _, vm := range p.vms.VMs() {
		if vm.Name != p.self && vm.Addr != "" {
			p.addrs = append(p.addrs, vm.Addr)
		}
	}
	return p.addrs
}
