// Package fleet keeps an entry's current view of the agents that it may use:
// its subset, their last reported state, and this entry's own work in flight.
package fleet

import (
	"dandelionsill.org/wire/pb"
)

// Server is one agent and its backend server as this entry sees them. It is
// immutable: after each change the next Snapshot holds a new Server.
type Server struct {
	Name          string
	Addr          string
	FailureDomain string
	Region        string
	Kind          string // "engine" or "service"
	Serves        string // model or service
	State         *pb.AgentState
	Client        pb.AgentClient
	// InFlightAtReport is this entry's work in flight at the server when its
	// last report arrived. Fleet.InFlightNow returns the current count.
	InFlightAtReport int
	// Ejected is true while the server is ejected as too slow or failing. Such a
	// server is used only if no other one is eligible.
	Ejected bool
	// Local is true if the server is in this entry's failure domain.
	Local bool
}

// Ready reports whether the server takes new work according to State.
func (s *Server) Ready() bool {
	return s.State != nil && s.State.Ready && !s.State.Leaving
}

// Snapshot holds all servers at one moment. It is immutable.
type Snapshot struct {
	// ByPool maps "model/NAME" and "service/NAME" to that pool's servers, sorted by name.
	ByPool map[string][]*Server
	// ByName maps a VM's name to its server.
	ByName map[string]*Server
}

// Outcome is how a piece of work at a server ended. It decides on ejection.
type Outcome uint8

const (
	// OK means that the server answered.
	OK Outcome = iota
	// Refused means that the server refused the work and has proven that it
	// did not run.
	Refused
	// Failed means that the connection or the server failed.
	Failed
	// Abandoned means that this entry cancelled the work, as another attempt
	// answered first or the caller disconnected. It does not count for or
	// against the server.
	Abandoned
)

// Fleet is the interface that the entry's request handlers use.
type Fleet interface {
	Snapshot() *Snapshot
	// Begin counts a piece of work at a server as in flight. The returned
	// function ends it and must be called exactly once.
	Begin(name string) (end func(Outcome))
	// InFlightNow returns the current number of pieces of work that this entry
	// has in flight at a server.
	InFlightNow(name string) int
	// Changed returns a channel that is closed at the next change of the
	// snapshot or when work ends at a server.
	Changed() <-chan struct{}
}

// Watcher is a Fleet that also reports when an agent's reports stop. Agents
// implements it. Without it, a request in flight at a frozen agent would wait
// for the connection's keepalive, which takes many times as long.
type Watcher interface {
	Fleet
	// Lost returns a channel that is closed once the agent's reports stop. It
	// returns nil if the agent is not watched.
	Lost(name string) <-chan struct{}
}
