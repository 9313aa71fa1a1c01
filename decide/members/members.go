// Package members decides which backend servers take new work, from the
// entries that servers keep in the platform's store. It is a pure state: the
// caller passes in what was read, and when.
package members

import (
	"maps"
	"slices"
	"time"
)

// Server is what a backend server says of itself.
type Server struct {
	// ID names one start of a server. What is remembered of a server (load, pace,
	// weights, orders, failures) is kept by ID, so that a server that starts again
	// under its name is a new one that nothing is known of.
	ID string
	// Name is what the server calls itself, and the key of its entry. It may
	// outlive a start.
	Name          string
	StartedAt     time.Time // when it started; zero: not told
	Service       string
	Addr          string // IP:port
	FailureDomain string
	Slots         int
	Leaving       bool
	// Versions is the weight version of each model that the server has
	// loaded, as of its last entry; empty for plain services.
	Versions map[string]uint64
}

// DefaultGracePeriod is how long after an outage of the store a server whose entry
// lapsed meanwhile may still write it again: about two seconds by the users'
// letter, and a heartbeat's jitter.
const DefaultGracePeriod = 2200 * time.Millisecond

// Set is the servers known to one process, by name: a new start takes the place
// of the one before. It is not safe for concurrent use.
type Set struct {
	servers map[string]Server
	// lapsed are servers whose entries went away around an outage, with the
	// time until which they still count.
	lapsed map[string]time.Time
	// graceUntil ends the time in which entries that vanish count as lapsed.
	graceUntil  time.Time
	gracePeriod time.Duration
}

// New returns an empty set; wait is how long servers have to come back after
// an outage of the store.
func New(gracePeriod time.Duration) *Set {
	return &Set{servers: map[string]Server{}, lapsed: map[string]time.Time{}, gracePeriod: gracePeriod}
}

// StoreRecovered tells that the store answers again after it had been away.
// Entries that lapsed in the outage go back to their servers within wait, so
// that a server is not taken for gone before then: without it an outage longer
// than three heartbeats would leave no server at all right after it.
func (s *Set) StoreRecovered(now time.Time) { s.graceUntil = now.Add(s.gracePeriod) }

// Put adds or replaces an entry. A server that lapsed and whose address another
// one now uses is gone for good: it would refuse all that is sent to it.
func (s *Set) Put(server Server) {
	delete(s.lapsed, server.Name)
	s.servers[server.Name] = server
	for name := range s.lapsed {
		if s.servers[name].Addr == server.Addr {
			delete(s.lapsed, name)
			delete(s.servers, name)
		}
	}
}

// Remove takes the entry of a server away.
func (s *Set) Remove(name string, now time.Time) {
	if _, ok := s.servers[name]; !ok {
		return
	}
	if now.Before(s.graceUntil) {
		s.lapsed[name] = s.graceUntil
		return
	}
	delete(s.servers, name)
	delete(s.lapsed, name)
}

// Replace brings the set to a full list of entries.
func (s *Set) Replace(servers []Server, now time.Time) {
	listed := make(map[string]bool, len(servers))
	for _, server := range servers {
		listed[server.Name] = true
		s.Put(server)
	}
	for name := range s.servers {
		if !listed[name] {
			s.Remove(name, now)
		}
	}
}

// Expire drops the servers that did not come back in time and tells whether
// there were any.
func (s *Set) Expire(now time.Time) bool {
	expired := false
	for name, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		delete(s.lapsed, name)
		delete(s.servers, name)
		expired = true
	}
	return expired
}

// ByService returns the servers of each service, sorted by name.
func (s *Set) ByService() map[string][]Server {
	byService := map[string][]Server{}
	for _, name := range slices.Sorted(maps.Keys(s.servers)) {
		server := s.servers[name]
		byService[server.Service] = append(byService[server.Service], server)
	}
	return byService
}
