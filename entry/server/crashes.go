package server

import (
	"context"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/confsync"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/platform"
	"dandelionsill.org/quarantine"
	"dandelionsill.org/wire/pb"
)

// logReadsPerSecond is how many reads per second the log is assumed to accept from
// all entries together; the quarantines use a share of it. The log handles several
// hundred appends per second, and more reads.
const logReadsPerSecond = 1000

// entryPeers sends other entries the records of servers that crashed while they
// ran a request. It implements quarantine.Peers.
type entryPeers struct {
	self  string
	vms   *confsync.VMWatcher
	conns *confsync.Conns
}

// maxPeerConns bounds the connections to other entries. It is several times the
// number of calls that the quarantine has open at a time.
const maxPeerConns = 512

func newEntryPeers(self string, vms *confsync.VMWatcher) *entryPeers {
	return &entryPeers{self: self, vms: vms, conns: confsync.NewConns(maxPeerConns)}
}

// Addrs returns the gRPC addresses of the other entries. It implements
// quarantine.Peers.
func (p *entryPeers) Addrs() []string {
	var addrs []string
	for _, vm := range p.vms.VMs() {
		if vm.Role == platform.RoleEntry && vm.Name != p.self && vm.Addr != "" {
			addrs = append(addrs, vm.Addr)
		}
	}
	return addrs
}

// Send sends changes to the entry at addr. It implements quarantine.Peers.
func (p *entryPeers) Send(ctx context.Context, addr string, changes []quarantine.Change) error {
	conn, err := p.conns.Get(addr)
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

// peerServer serves the calls of other processes to an entry.
type peerServer struct {
	pb.PeerServer // the keeper, for all methods except Tell
	quarantine    *quarantine.Quarantine
}

// Tell applies the crash records of another entry.
func (s *peerServer) Tell(_ context.Context, req *pb.TellRequest) (*pb.TellReply, error) {
	changes := make([]quarantine.Change, 0, len(req.GetEnds()))
	for _, e := range req.GetEnds() {
		if e.GetRequest() == "" || e.GetServer() == "" {
			continue // from an entry of another release
		}
		crash := poison.Crash{Request: poison.Fingerprint(e.GetRequest()), Server: e.GetServer(), At: time.UnixMilli(e.GetAtMs())}
		changes = append(changes, quarantine.Change{Crash: crash, Gone: e.GetGone()})
	}
	s.quarantine.Apply("peer", changes)
	return &pb.TellReply{}, nil
}
