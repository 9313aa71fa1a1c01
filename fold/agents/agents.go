// Package agents computes which agent holds each backend server from the log's
// stream "agents". It is pure: readers at the same offset agree. An agent claims its
// server with one record. The newest claim wins, and its offset plus one is the
// fencing token of the agent's orders.
package agents

import (
	"encoding/json"

	"github.com/juju/errors"

	"dandelionsill.org/platform"
)

const claimType = "agent_claim"

// Claim is one agent's claim of a backend server.
type Claim struct {
	ID          string `json:"id"` // unique to the claim; the same if the append is repeated
	Type        string `json:"type"`
	Server      string `json:"server"`
	Incarnation uint64 `json:"incarnation"` // start time of the agent, ms since 1970
	Offset      uint64 `json:"-"`           // of the first record with this ID
}

// Token returns the claim's fencing token. It is never 0, so 0 can mean "none".
func (c Claim) Token() uint64 { return c.Offset + 1 }

// Encode returns the record data of a claim with the given id. incarnation is the
// agent's start time in ms since 1970.
func Encode(id, server string, incarnation uint64) ([]byte, error) {
	data, err := json.Marshal(Claim{ID: id, Type: claimType, Server: server, Incarnation: incarnation})
	return data, errors.Trace(err)
}

// State is the state after the records applied so far. It is not safe for
// concurrent use.
type State struct {
	onlyServer string
	next       uint64
	newest     map[string]Claim   // by server
	claims     map[claimKey]Claim // first claim with each id: a repeated append is not a new claim
}

type claimKey struct{ server, id string }

// New returns the state before the first record. If server is not empty, only its
// claims are kept, which limits an agent's memory to the history of its own server.
func New(server string) *State {
	return &State{onlyServer: server, newest: map[string]Claim{}, claims: map[claimKey]Claim{}}
}

// Apply applies one record. Records that were applied before, have another type or
// can't be decoded change nothing, for any reader.
func (s *State) Apply(rec platform.Record) {
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	var c Claim
	if json.Unmarshal(rec.Data, &c) != nil || c.Type != claimType || c.ID == "" || c.Server == "" {
		return
	}
	if s.onlyServer != "" && c.Server != s.onlyServer {
		return
	}
	key := claimKey{c.Server, c.ID}
	if _, repeated := s.claims[key]; repeated {
		return
	}
	c.Offset = rec.Offset
	s.claims[key] = c
	s.newest[c.Server] = c
}

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// SkipTo skips the records before offset, because the log no longer keeps them. It
// never goes back.
func (s *State) SkipTo(offset uint64) {
	s.next = max(s.next, offset)
}

// Newest returns the newest claim of a server, and whether there is one.
func (s *State) Newest(server string) (Claim, bool) {
	c, ok := s.newest[server]
	return c, ok
}

// HasEarlier reports whether the state has a claim of the same server with a lower
// offset than c.
func (s *State) HasEarlier(c Claim) bool {
	for _, other := range s.claims {
		if other.Server == c.Server && other.Offset < c.Offset {
			return true
		}
	}
	return false
}

// Find returns the claim of a server with an id, and whether there is one.
func (s *State) Find(server, id string) (Claim, bool) {
	c, ok := s.claims[claimKey{server, id}]
	return c, ok
}
