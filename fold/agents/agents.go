// Package agents is the pure fold of the log's stream "agents": which agent
// holds which backend server. An agent claims its server with one record; the
// newest claim wins, and its offset + 1 is the fencing token of its orders.
package agents

import (
	"encoding/json"

	"github.com/juju/errors"

	"dandelionsill.org/platform"
)

const typeClaim = "agent_claim"

// Claim is one agent's claim of a backend server.
type Claim struct {
	ID          string `json:"id"` // unique for this claim; repeats of the append carry it again
	Type        string `json:"type"`
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"` // the agent's start, ms since 1970
	Offset      uint64 `json:"-"`           // of the first record with this ID
}

// Token returns the claim's fencing token. It is never 0, so that 0 can mean
// "none".
func (c Claim) Token() uint64 { return c.Offset + 1 }

// Encode returns the record data of a claim.
func Encode(id, server string, incarnation uint64) ([]byte, error) {
	data, err := json.Marshal(Claim{ID: id, Type: typeClaim, Server: server, Incarnation: incarnation})
	return data, errors.Trace(err)
}

// State is the fold's state. It is not safe for concurrent use.
type State struct {
	only   string
	next   uint64
	newest map[string]Claim   // by server
	seen   map[claimKey]Claim // a repeated append must not count as a new claim
}

type claimKey struct{ server, id string }

// New returns an empty state. Where server is not empty only its claims are
// kept, which bounds an agent's memory to its own server's history.
func New(server string) *State {
	return &State{only: server, newest: map[string]Claim{}, seen: map[claimKey]Claim{}}
}

// Apply folds one record in. Records already folded, records of other kinds
// and records that can't be read change nothing, alike for every reader.
func (s *State) Apply(rec platform.Record) {
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	var c Claim
	if json.Unmarshal(rec.Data, &c) != nil || c.Type != typeClaim || c.ID == "" || c.Server == "" {
		return
	}
	if s.only != "" && c.Server != s.only {
		return
	}
	key := claimKey{c.Server, c.ID}
	if _, repeated := s.seen[key]; repeated {
		return
	}
	c.Offset = rec.Offset
	s.seen[key] = c
	s.newest[c.Server] = c
}

// Next returns the offset to read from next.
func (s *State) Next() uint64 { return s.next }

// SkipTo tells that records before offset are no longer kept.
func (s *State) SkipTo(offset uint64) {
	s.next = max(s.next, offset)
}

// Newest returns the claim that holds a server.
func (s *State) Newest(server string) (Claim, bool) {
	c, ok := s.newest[server]
	return c, ok
}

// HasEarlier tells whether another claim of the same server stands before c.
func (s *State) HasEarlier(c Claim) bool {
	for _, other := range s.seen {
		if other.Server == c.Server && other.Offset < c.Offset {
			return true
		}
	}
	return false
}

// Find returns a server's claim with an ID.
func (s *State) Find(server, id string) (Claim, bool) {
	c, ok := s.seen[claimKey{server, id}]
	return c, ok
}
