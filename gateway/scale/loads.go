package scale

import (
	"context"
	"math"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/decide/members"
	"dandelionsill.org/decide/scale"
	"dandelionsill.org/decide/table"
	"dandelionsill.org/gateway/jobs"
	"dandelionsill.org/gateway/view"
	"dandelionsill.org/wire/pb"
)

// OpenItems counts the items of batch jobs. *jobs.Index implements it.
type OpenItems interface {
	// OpenItems counts the items that a service has to run by a configuration; false: the
	// jobs are not fully known.
	OpenItems(t *table.Table, service string) (jobs.OpenItems, bool)
}

// ServiceLoads measures the loads of plain services at their brokers and those of engines by the
// items of batch jobs.
type ServiceLoads struct {
	Snapshot func() *view.Snapshot
	// IsFresh reports whether the snapshot follows the store without a delay.
	IsFresh func() bool
	Items   OpenItems
	// Brokers returns the brokers of a plain service, each once; none: they are not known.
	Brokers func(service string) []pb.PermitBrokerClient
}

// Load implements Loads.
func (l *ServiceLoads) Load(ctx context.Context, service table.Service) (scale.Load, error) {
	snap := l.Snapshot()
	if snap.Table == nil || !l.IsFresh() {
		return scale.Load{}, errors.New("the store's feeds are behind")
	}
	load := scale.Load{Objective: objective(snap.Table, service.Name), Domains: map[string]scale.Domain{}}
	for _, server := range snap.Servers[service.Name] {
		d := load.Domains[server.FailureDomain]
		addServer(&d, server)
		load.Domains[server.FailureDomain] = d
	}
	for domain := range snap.Evacuated { // also those whose servers are switched off
		d := load.Domains[domain]
		d.Evacuated = true
		load.Domains[domain] = d
	}
	if service.Slots > 0 {
		return load, errors.Trace(l.addItems(&load, snap, service.Name))
	}
	return load, errors.Trace(l.addBrokers(ctx, &load, service.Name))
}

func addServer(d *scale.Domain, server members.Server) {
	if server.Leaving {
		d.Leaving++
		return
	}
	d.Ready++
	d.Places += server.Slots
}

// objective returns the shortest time in which an answer of a service is in time; 0: unknown.
func objective(t *table.Table, service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range t.Routes {
		inTime := r.LatencyObjective
		if r.Kind == table.Batch {
			inTime = r.Due
		}
		if inTime > 0 && (shortest == 0 || inTime < shortest) && targets(r, service) {
			shortest = inTime
		}
	}
	return shortest
}

// targets reports whether a route sends requests to a service.
func targets(r *table.Route, service string) bool {
	for _, target := range r.Targets {
		if target.Service == service && target.Weight > 0 {
			return true
		}
	}
	return false
}

// addItems adds the load of a service of engines. Items without an engine wait. Calls that stream
// directly to engines are counted by nobody: a service that takes them has no known load.
func (l *ServiceLoads) addItems(load *scale.Load, snap *view.Snapshot, service string) error {
	for _, r := range snap.Table.Routes {
		if r.Kind != table.Batch && targets(r, service) {
			return errors.Errorf("requests of route %q to engines are not counted", r.Name)
		}
	}
	items, known := l.Items.OpenItems(snap.Table, service)
	if !known {
		return errors.New("the batch jobs are not fully known")
	}
	load.Waiting = items.Waiting
	for _, server := range snap.Servers[service] {
		d := load.Domains[server.FailureDomain]
		d.Running += items.Running[server.ID]
		load.Domains[server.FailureDomain] = d
		delete(items.Running, server.ID)
	}
	for _, n := range items.Running { // their engines are gone; they will be placed again
		load.Waiting += n
	}
	return nil
}

// addBrokers adds what the brokers of a service report. The load is known only if all of them
// know theirs.
func (l *ServiceLoads) addBrokers(ctx context.Context, load *scale.Load, service string) error {
	var brokers []pb.PermitBrokerClient
	if l.Brokers != nil {
		brokers = l.Brokers(service)
	}
	if len(brokers) == 0 {
		return errors.New("the service has no broker")
	}
	served := 0.0 // requests that run at a time
	for _, broker := range brokers {
		reply, err := broker.Load(ctx, &pb.ServiceLoadRequest{Service: service})
		if err != nil {
			return errors.Annotate(err, "ask a broker for its load")
		}
		rate := float64(reply.AsksPerS)
		if !reply.Known || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			return errors.New("a broker does not know the load")
		}
		addReply(load, reply)
		served += rate * (time.Duration(reply.MeanUs) * time.Microsecond).Seconds()
	}
	if load.AsksPerSecond > 0 {
		load.MeanTime = time.Duration(served / load.AsksPerSecond * float64(time.Second))
	}
	return nil
}

// addReply adds the load that a broker reports. Its servers are not counted: some of them may be
// ejected, and are there all the same.
func addReply(load *scale.Load, reply *pb.ServiceLoadReply) {
	load.Waiting += int(reply.Waiting)
	load.Refused += int(reply.Refused)
	load.AsksPerSecond += float64(reply.AsksPerS)
	for _, reported := range reply.Domains {
		d := load.Domains[reported.FailureDomain]
		d.Running += int(reported.Running)
		load.Domains[reported.FailureDomain] = d
	}
}
