package server

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"

	"dandelionsill.org/base/run"
	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

// logReadsPerS is what the quarantines of all entries may ask of the log is counted
// against: it takes several hundred appends a second, and more reads.
const logReadsPerS = 1000

// entryPeers tells other entries of servers that ended under requests. It implements
// quarantine.Peers.
type entryPeers struct {
	self string
	vms  *confsync.VMWatcher

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn // by address
}

func newEntryPeers(self string, vms *confsync.VMWatcher) *entryPeers {
	return &entryPeers{self: self, vms: vms, conns: map[string]*grpc.ClientConn{}}
}

// Addrs implements quarantine.Peers.
func (p *entryPeers) Addrs() []string {
	var addrs []string
	for _, vm := range p.vms.VMs() {
		if vm.Role == platform.RoleEntry && vm.Name != p.self && vm.Addr != "" {
			addrs = append(addrs, vm.Addr)
		}
	}
	return addrs
}

// Tell implements quarantine.Peers.
func (p *entryPeers) Tell(ctx context.Context, addr string, changes []quarantine.Change) error {
	conn, err := p.conn(addr)
	if err != nil {
		return errors.Trace(err)
	}
	ends := make([]*pb.ServerEnd, len(changes))
	for i, c := range changes {
		ends[i] = &pb.ServerEnd{Request: string(c.Crash.Request), Server: c.Crash.Server, AtMs: c.Crash.At.UnixMilli(), Gone: c.Gone}
	}
	_, err = pb.NewPeerClient(conn).Tell(ctx, &pb.TellRequest{Ends: ends})
	return errors.Trace(err)
}

// peerIdle is how long a connection to a peer stays open unused: ends come in bursts.
const peerIdle = 20 * time.Second

// conn returns the connection to a peer. Those to peers that have gone are closed.
func (p *entryPeers) conn(addr string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn := p.conns[addr]; conn != nil {
		return conn, nil
	}
	conn, err := run.NewClient(addr, grpc.WithIdleTimeout(peerIdle))
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.conns[addr] = conn
	p.dropGone()
	return conn, nil
}

// dropGone closes the connections to addresses that no entry has any more; p.mu is held.
func (p *entryPeers) dropGone() {
	listed := map[string]bool{}
	for _, addr := range p.Addrs() {
		listed[addr] = true
	}
	for addr, conn := range p.conns {
		if !listed[addr] {
			_ = conn.Close()
			delete(p.conns, addr)
		}
	}
}

func (p *entryPeers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		_ = conn.Close()
	}
	clear(p.conns)
}

// peerServer serves what other processes ask of an entry.
type peerServer struct {
	pb.PeerServer // the keeper's part
	quarantine    *quarantine.Quarantine
}

// Tell takes what another entry saw.
func (s *peerServer) Tell(_ context.Context, req *pb.TellRequest) (*pb.TellReply, error) {
	changes := make([]quarantine.Change, 0, len(req.GetEnds()))
	for _, e := range req.GetEnds() {
		if e.GetRequest() == "" || e.GetServer() == "" {
			continue // of another release
		}
		crash := poison.Crash{Request: poison.Name(e.GetRequest()), Server: e.GetServer(), At: time.UnixMilli(e.GetAtMs())}
		changes = append(changes, quarantine.Change{Crash: crash, Gone: e.GetGone()})
	}
	s.quarantine.Apply("peer", changes)
	return &pb.TellReply{}, nil
}
