// Package members decides which backend servers take new work, from the
// entries that servers keep in the platform's store. It does no I/O and reads
// no clock: its user passes in what was read, and when.
package members

import (
	"maps"
	"slices"
	"time"
)

// Server is the entry of a backend server in the platform's store.
type Server struct {
	// ID identifies one incarnation of a server. What is known about a server (load,
	// pace, weights, orders, failures) is kept by ID, so that a server that restarts
	// under the same name is treated as a new one.
	ID string
	// Name is the name that the server gives itself, and the key of its entry. It may
	// stay the same across restarts.
	Name          string
	StartedAt     time.Time // zero: unknown
	Service       string
	Addr          string // IP:port
	FailureDomain string
	Slots         int
	Leaving       bool
	// Region is the region of FailureDomain; empty: unknown.
	Region string
	// Evacuated means that the operator evacuates FailureDomain: nothing new may be sent
	// to the server. What runs there may end.
	Evacuated bool
	// BackSince is when this process learnt that the evacuation of FailureDomain had ended; zero: it was
	// not evacuated, or that is long ago. The server may be cold although its entry does not say so.
	BackSince time.Time
	// ColdLeft is how much longer the server is cold, as of its entry; ColdUntil is when that
	// ends by the clock of this process, zero if it was not cold. A server may become cold again at any moment.
	ColdLeft  time.Duration
	ColdUntil time.Time
	// Versions is the weight version of each model that the server has
	// loaded, as of its last entry; empty for services that are not engines.
	Versions map[string]uint64
}

// TakesWork reports whether new work may be sent to the server.
func (s *Server) TakesWork() bool { return !s.Leaving && !s.Evacuated }

// IsCold reports whether the server counts as cold: by its entry, or because its failure domain was
// taken back less than coldFor ago, which is how long a server is cold.
func (s *Server) IsCold(now time.Time, coldFor time.Duration) bool {
	return now.Before(s.ColdUntil) || !s.BackSince.IsZero() && now.Sub(s.BackSince) < coldFor
}

// backRamp is how long the servers of a failure domain that is taken back get only a part of their
// places: all senders see them empty at the same moment, and would fill them several times over.
const backRamp = 2 * time.Second

// IsRamping reports whether the server may not have all of its places yet.
func (s *Server) IsRamping(now time.Time) bool {
	return !s.BackSince.IsZero() && now.Sub(s.BackSince) < backRamp
}

// SlotsAt returns how many requests the server may have at a time: its slots, except right after its
// failure domain was taken back.
func (s *Server) SlotsAt(now time.Time) int {
	if !s.IsRamping(now) {
		return s.Slots
	}
	share := max(0, now.Sub(s.BackSince).Seconds()/backRamp.Seconds())
	return min(s.Slots, 1+int(share*float64(s.Slots)))
}

// DefaultGracePeriod is how long after an outage of the store a server
// whose entry lapsed in the outage may take to write it again: about two seconds,
// as the requirements state, and the jitter of a heartbeat.
const DefaultGracePeriod = 2200 * time.Millisecond

// Set holds the servers known to one process, by name: a new incarnation of a
// server replaces the previous one. It is not safe for concurrent use.
type Set struct {
	servers map[string]Server
	// lapsed maps the names of servers whose entries disappeared around an outage
	// to the time until which they still count.
	lapsed map[string]time.Time
	// graceUntil is the time until which entries that disappear count as lapsed.
	graceUntil  time.Time
	gracePeriod time.Duration
}

// New returns an empty set. gracePeriod is how long servers may take to write
// their entries again after an outage of the store.
func New(gracePeriod time.Duration) *Set {
	return &Set{servers: map[string]Server{}, lapsed: map[string]time.Time{}, gracePeriod: gracePeriod}
}

// StoreRecovered records that the store is available again after an outage.
// Servers write entries that lapsed in the outage again within the grace period,
// so no server is removed before it has passed. Otherwise, right after an outage
// longer than three heartbeats there would be no servers at all.
func (s *Set) StoreRecovered(now time.Time) { s.graceUntil = now.Add(s.gracePeriod) }

// Put adds or replaces an entry. A lapsed server whose address another server
// now uses is removed: everything sent to it would be refused.
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

// Remove records that the entry of a server has disappeared. The server is
// removed at once, or after the grace period if there was an outage.
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

// Replace updates the set to a full list of entries: it puts all that are listed
// and removes all others.
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

// Expire removes the lapsed servers that did not write their entries again in
// time, and reports whether there were any.
func (s *Set) Expire(now time.Time) bool {
	any := false
	for name, until := range s.lapsed {
		if now.Before(until) {
			continue
		}
		delete(s.lapsed, name)
		delete(s.servers, name)
		any = true
	}
	return any
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
