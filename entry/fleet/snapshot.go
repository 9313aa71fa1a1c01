package fleet

import (
	"cmp"
	"slices"
	"sync"

	"github.com/juju/errors"

	"dandelionsill.org/wire/pb"
)

// Reasons for which an agent's reports count as stopped.
var (
	errReportTimeout = errors.New("no report arrived within the report timeout")
	errWrongVM       = errors.New("the address answers for another VM")
)

// Prefixes of the pool names in Snapshot.ByPool, and the kind of an engine.
const (
	modelPool   = "model/"
	servicePool = "service/"
	kindEngine  = "engine"
)

// ModelPool returns the name of a model's pool.
func ModelPool(model string) string { return modelPool + model }

// ServicePool returns the name of a service's pool.
func ServicePool(service string) string { return servicePool + service }

func poolOf(report *pb.AgentState) string {
	if report.Kind == kindEngine {
		return ModelPool(report.Serves)
	}
	return ServicePool(report.Serves)
}

// publishDirty publishes the load reports that arrived since the last snapshot.
func (a *Agents) publishDirty() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.dirty {
		a.publish()
	}
}

// publish stores a new snapshot of all agents that have reported and notifies
// the waiters. Readers of an older snapshot keep it unchanged. a.mu is held.
func (a *Agents) publish() {
	a.dirty = false
	snap := &Snapshot{ByPool: map[string][]*Server{}, ByName: make(map[string]*Server, len(a.agents))}
	leaving := a.leavingVMs()
	for name, g := range a.agents {
		server := a.serverOf(g, leaving)
		if server == nil {
			continue
		}
		snap.ByName[name] = server
		pool := poolOf(server.State)
		snap.ByPool[pool] = append(snap.ByPool[pool], server)
	}
	for _, servers := range snap.ByPool {
		slices.SortFunc(servers, func(x, y *Server) int { return cmp.Compare(x.Name, y.Name) })
	}
	a.snap.Store(snap)
	a.changed.notify()
}

// leavingVMs returns the names of the VMs that the manifest marks as leaving.
func (a *Agents) leavingVMs() map[string]bool {
	if view := a.cfg.Viewer.View(); view != nil && view.Manifest != nil {
		return view.Manifest.Leaving
	}
	return nil
}

// serverOf returns the agent's Server, or nil if it has not reported yet. It is
// the same pointer until the state or the ejection changes. a.mu is held.
func (a *Agents) serverOf(g *agent, leaving map[string]bool) *Server {
	state := a.currentState(g, leaving)
	if state == nil {
		return nil
	}
	ejected := a.work.isEjected(g.vm.Name)
	if last := g.server; last != nil && last.State == state && last.Ejected == ejected {
		return last
	}
	g.server = &Server{
		Name:             g.vm.Name,
		Addr:             g.vm.Addr,
		FailureDomain:    g.vm.FailureDomain,
		Region:           g.vm.Region,
		Kind:             state.Kind,
		Serves:           state.Serves,
		State:            state,
		Client:           g.client,
		InFlightAtReport: g.inFlightAtReport,
		Ejected:          ejected,
		Local:            g.vm.FailureDomain == a.cfg.FailureDomain,
	}
	return g.server
}

// poolMembers maps each pool to the watched agents that have reported, for the
// evaluation of outliers. a.mu is held.
func (a *Agents) poolMembers() map[string][]string {
	members := map[string][]string{}
	for name, g := range a.agents {
		if g.report != nil {
			pool := poolOf(g.report)
			members[pool] = append(members[pool], name)
		}
	}
	return members
}

// broadcast notifies all waiters at once by closing a channel.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed at the next notify.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}
