// Package permits decides which request of all gateways gets the next free place at a
// service's servers, at which server, and which request is refused. A Broker is the state
// of the process that decides for one service. The package does no I/O and reads no clock.
package permits

import (
	"time"

	"dandelionsill.org/decide/evidence"
	"dandelionsill.org/decide/residency"
)

// AskID identifies an ask, and the permit granted for it, of one gateway.
type AskID struct {
	Gateway string
	Number  uint64
}

// Ask asks for a permit: the right to have one request at a server.
type Ask struct {
	ID           AskID
	Domain       string // failure domain of the gateway
	Route        string
	Organisation string // empty for internal calls
	Internal     bool   // a call of a sample, not of a caller
	Priority     int    // 0 is the most urgent
	// Objective is the time left in which an answer is in time; 0: it can't be any more.
	Objective time.Duration
	// Deadline is the time left in which an answer is of use.
	Deadline time.Duration
	// Repeatable means that the request may be sent to another server after one has failed it.
	Repeatable bool
	// NoWait asks for a refusal rather than a place in the queue.
	NoWait bool
	// Avoid holds the servers that are used only if there is no other.
	Avoid []string
	// Regions are the regions in which the request may be served.
	Regions residency.Regions
}

// Kind is the kind of a decision.
type Kind uint8

const (
	// Granted means that the request may be sent to Decision.Server.
	Granted Kind = iota + 1
	// Queued means that a further decision follows.
	Queued
	// Refused means that the request must not be sent.
	Refused
)

// Refusal is why an ask was refused.
type Refusal string

const (
	Overloaded       Refusal = "overloaded"         // the queue is full
	DeadlineTooShort Refusal = "deadline_too_short" // an answer would come too late
	NoServer         Refusal = "no_server"          // no server takes work
)

// Decision is a decision on an ask.
type Decision struct {
	ID         AskID
	Kind       Kind
	Server     string  // granted: incarnation of the server
	Refusal    Refusal // refused: why
	RetryAfter time.Duration
	Wait       time.Duration // queued or refused: the estimated wait
	Reason     string        // why this server, or why refused; for logs
}

// Report says that a permit is no longer used.
type Report struct {
	ID      AskID
	Server  string
	Route   string
	Took    time.Duration
	Outcome evidence.Outcome
}

// Server is a server of the service.
type Server struct {
	ID      string // incarnation
	Name    string // may stay the same across restarts
	Domain  string // failure domain
	Slots   int
	Leaving bool // it takes no new work: it leaves, or its failure domain is evacuated
	// Evacuated means that it takes no new work because its failure domain is evacuated.
	Evacuated bool
	// IsBounded means that the server may be cold, and gets at most Grants permits in any GrantWindow.
	IsBounded bool
	Grants    int
}

// Evidence is what is known of the servers. *evidence.Pool implements it.
type Evidence interface {
	// SetServers replaces the list of servers.
	SetServers(now time.Time, servers []evidence.Server)
	// Record records how a request ended.
	Record(now time.Time, s evidence.Sample)
	// Standing returns what is known of a server, as far as it concerns requests of a
	// gateway: what one gateway alone has seen counts only for itself.
	Standing(now time.Time, server, gateway string) evidence.Standing
	// TypicalTime returns the time that a typical server takes for a request of the
	// route; 0: unknown.
	TypicalTime(route string) time.Duration
	// Report returns the state of all servers, by id.
	Report(now time.Time) []evidence.ServerReport
}
