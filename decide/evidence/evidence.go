// Package evidence pools what all gateways report about the servers of one service: how
// fast and how reliably each of them answers, and how many requests it can take at once.
// It does no I/O and reads no clock. It is not safe for concurrent use.
package evidence

import "time"

// Outcome is how a request at a server ended.
type Outcome uint8

const (
	// Unused means that nothing was sent.
	Unused Outcome = iota
	// Answered means an answer with a status below 500.
	Answered
	// Failed means an answer with another status, or a connection that broke.
	Failed
	// Refused means that the server refused the request without running it.
	Refused
	// Unreachable means that no connection could be opened.
	Unreachable
	// Abandoned means that the gateway ended the request before its answer came.
	Abandoned
)

// Sample is a gateway's report on one request.
type Sample struct {
	Server   string // incarnation
	Reporter string // gateway
	Route    string
	Took     time.Duration // from sending to the end of the answer
	Outcome  Outcome
}

// Server is a server of the service.
type Server struct {
	ID    string // incarnation
	Name  string // may stay the same across restarts
	Slots int
}

// Standing is what the evidence says about a server.
type Standing struct {
	// Limit is how many requests the server may have at once.
	Limit int
	// Pace is the time of its answers relative to a typical server of the service;
	// 1 if it is unknown.
	Pace float64
	// Ejected means that the server gets requests only if no other is left.
	Ejected bool
	// LastResort is how many requests a server that is ejected or on probation may have if
	// they would be refused otherwise; 0: none.
	LastResort int
	// Reason says in a few words why the limit is lowered or the server is ejected.
	Reason string
}
