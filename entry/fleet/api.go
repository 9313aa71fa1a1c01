// Package fleet is an entry's live picture of the agents that it may use: its
// subset, their last reported state, and what this entry itself has in flight.
package fleet

import (
	"dandelionsill.org/wire/pb"
)

// Server is one agent and its backend server as this entry sees them. The
// value is immutable; a Snapshot holds a new one after each report.
type Server struct {
	Name          string
	Addr          string
	FailureDomain string
	Region        string
	Kind          string // "engine" or "service"
	Serves        string // model or service
	State         *pb.AgentState
	Client        pb.AgentClient
	// InFlightAtReport is what this entry has sent and not yet seen end, at the time
	// of the snapshot; InFlightNow on the Fleet reads the live counter.
	InFlightAtReport int
	// Ejected: too slow or failing; used only when the floor demands it.
	Ejected bool
	// Local: in this entry's own failure domain.
	Local bool
}

// Ready tells whether the server takes new work by its own last report.
func (s *Server) Ready() bool {
	return s.State != nil && s.State.Ready && !s.State.Leaving
}

// Snapshot is the picture at one moment. Immutable.
type Snapshot struct {
	// ByPool maps "model/NAME" and "service/NAME" to that pool's servers, by name order.
	ByPool map[string][]*Server
	// ByName maps a VM's name to its server.
	ByName map[string]*Server
}

// Outcome is how a piece of work at a server ended; it feeds ejection.
type Outcome uint8

const (
	// OK: the server answered.
	OK Outcome = iota
	// Refused: the server refused, proven not run.
	Refused
	// Failed: the connection or the server failed.
	Failed
	// Abandoned: we cancelled it (hedge lost, caller gone); says nothing of the server.
	Abandoned
)

// Fleet is what the entry's request paths use.
type Fleet interface {
	Snapshot() *Snapshot
	// Begin counts a piece of work at a server; the returned function ends it
	// and is called exactly once.
	Begin(name string) (end func(Outcome))
	// InFlightNow reads the live count of this entry's work at a server.
	InFlightNow(name string) int
	// Changed returns a channel closed at the next change of the snapshot or
	// of free capacity.
	Changed() <-chan struct{}
}

// Watcher is a Fleet that also tells when an agent falls silent; Agents
// implements it. A request in flight at a frozen agent would else wait for the
// connection's keepalive, many times as long.
type Watcher interface {
	Fleet
	// Lost returns a channel closed once the agent's reports stop; nil: the
	// agent is not watched.
	Lost(name string) <-chan struct{}
}
