package logscan

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Messages of brokers of permits.
const (
	messageLoad      = "Load of a service."
	messageEjected   = "A server is ejected."
	messageProbation = "A server is on probation."
	messageTrusted   = "A server is trusted again."
	messageGone      = "A server that was not trusted is gone."
	messageNoBroker  = "This process is no longer the broker of a service."
)

// States of servers that are not trusted.
const (
	stateEjected   = "ejected"
	stateProbation = "on probation"
)

// maxPlaces is the maximum number of brokers, of ejected servers, and of services and regions that
// are kept.
const maxPlaces = 1000

// Places holds what brokers have last logged.
type Places struct {
	services map[placeKey]*ServicePlaces
	ejected  map[ejectedKey]*EjectedServer
	crossing map[crossingKey]*Crossing
	last     time.Time // of all lines
	// Dropped counts the lines that were ignored because a limit was reached.
	Dropped int
}

type placeKey struct{ service, broker string }

type ejectedKey struct{ service, server string }

// ServicePlaces is the last line of a broker about the load of its service, or of a part of
// the service's servers. A broker writes one a second while requests wait or are refused.
type ServicePlaces struct {
	Service       string        `json:"service"`
	Broker        string        `json:"broker"`
	At            time.Time     `json:"at"`
	Places        int           `json:"places"`
	InUse         int           `json:"in_use"`
	Waiting       int           `json:"waiting"`
	OldestWait    time.Duration `json:"oldest_wait"` // ns
	Refused       int           `json:"refused"`     // within a second
	MostWaiting   int           `json:"most_waiting"`
	TotalRefused  int           `json:"total_refused"` // by all lines
	Organisations int           `json:"organisations"`
	Top           string        `json:"top"`
}

// EjectedServer is a server that a broker has ejected and not trusted since.
type EjectedServer struct {
	Service string        `json:"service"`
	Server  string        `json:"server"`
	Broker  string        `json:"broker"`
	State   string        `json:"state"` // ejected or on probation
	Why     string        `json:"why"`
	Since   time.Time     `json:"since"`
	Age     time.Duration `json:"age"` // at the last line of the logs; ns
}

// NewPlaces returns an empty Places.
func NewPlaces() *Places {
	return &Places{services: map[placeKey]*ServicePlaces{}, ejected: map[ejectedKey]*EjectedServer{}, crossing: map[crossingKey]*Crossing{}}
}

// Add processes the next line.
func (p *Places) Add(l *Line) {
	p.last = l.At
	switch l.Message {
	case messageLoad:
		p.addLoad(l)
	case "Try.", "Try failed.", messageNoPlaceThere:
		p.addCrossing(l)
	case messageEjected:
		p.eject(l)
	case messageProbation:
		if s := p.ejected[ejectedKey{l.Service, l.Server}]; s != nil {
			s.State = stateProbation
		}
	case messageTrusted, messageGone:
		delete(p.ejected, ejectedKey{l.Service, l.Server})
	case messageNoBroker:
		for key, s := range p.ejected {
			if s.Service == l.Service && s.Broker == l.Process {
				delete(p.ejected, key)
			}
		}
	}
}

func (p *Places) addLoad(l *Line) {
	key := placeKey{l.Service, l.Process}
	s := p.services[key]
	if s == nil {
		if len(p.services) >= maxPlaces {
			p.Dropped++
			return
		}
		s = &ServicePlaces{Service: l.Service, Broker: l.Process}
		p.services[key] = s
	}
	s.At = l.At
	s.Places, s.InUse, s.Waiting, s.Refused = l.Places, l.InUse, l.Waiting, l.Refused
	s.OldestWait = time.Duration(l.OldestWait)
	s.MostWaiting = max(s.MostWaiting, l.Waiting)
	s.TotalRefused += l.Refused
	s.Organisations, s.Top = l.Organisations, l.Top
}

// eject keeps since when a server is not trusted: an ejection may follow another.
func (p *Places) eject(l *Line) {
	key := ejectedKey{l.Service, l.Server}
	s := p.ejected[key]
	if s == nil {
		if len(p.ejected) >= maxPlaces {
			p.Dropped++
			return
		}
		s = &EjectedServer{Service: l.Service, Server: l.Server, Since: l.At.Add(-time.Duration(l.Age))}
		p.ejected[key] = s
	}
	s.State, s.Why, s.Broker = stateEjected, l.Why, l.Process
}

// Services returns the last state of each broker, the one with the most waiting first.
func (p *Places) Services() []ServicePlaces {
	list := make([]ServicePlaces, 0, len(p.services))
	for _, s := range p.services {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b ServicePlaces) int {
		return cmp.Or(cmp.Compare(b.MostWaiting, a.MostWaiting), cmp.Compare(b.TotalRefused, a.TotalRefused),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Broker, b.Broker))
	})
	return list
}

// Ejected returns the servers that are not trusted at the end of the logs.
func (p *Places) Ejected() []EjectedServer {
	list := make([]EjectedServer, 0, len(p.ejected))
	for _, s := range p.ejected {
		server := *s
		server.Age = p.last.Sub(s.Since)
		list = append(list, server)
	}
	slices.SortFunc(list, func(a, b EjectedServer) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Server, b.Server))
	})
	return list
}

// serviceOf returns the service of a broker's name for what it decides for, which is the
// service's name, "#shard/shards" if it has several brokers, and "@region" if each region has some.
func serviceOf(name string) string {
	if at := strings.LastIndexByte(name, '@'); at >= 0 {
		name = name[:at]
	}
	service, _, _ := strings.Cut(name, "#")
	return service
}
