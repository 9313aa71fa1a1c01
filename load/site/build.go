package site

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// firstVersion is the weight version that engines serve from the start.
const firstVersion = 1

// builder lays processes out; the first error stops the writing.
type builder struct {
	site *Site
	o    Options
	err  error
}

func (b *builder) ip(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", b.o.NetOctet, net, host) }

func (b *builder) add(p Process) { b.site.Processes = append(b.site.Processes, p) }

func (b *builder) standin(name, role string, addr string, args ...string) Process {
	return Process{
		Name: name, Role: role, Binary: filepath.Join(b.o.BinDir, "dandelion-standin"), URL: "http://" + addr,
		Args: append([]string{role, "--listen", addr}, args...),
	}
}

func (b *builder) platform() {
	ip := b.ip(0, 1)
	seed := strconv.FormatUint(b.o.Seed, 10)
	log := []string{"--seed", seed}
	if b.o.LogRate > 0 {
		log = append(log, "--rate", fmt.Sprint(b.o.LogRate))
	}
	b.add(b.standin("log", RoleLog, hostPort(ip, portLog), log...))
	b.add(b.standin("weights", RoleWeights, hostPort(ip, portWeights),
		"--bytes-per-s", fmt.Sprintf("%.0f", b.o.StoreBytesPerSecond),
		"--initial", fmt.Sprintf("%s:%d:%d", b.o.Deployment.Model, firstVersion, b.o.WeightSize)))
	b.add(b.standin("vms", RoleVMs, hostPort(ip, portVMs), "--lag", "500ms"))
}

// place returns the failure domain of the i-th VM of a pool and its address.
// Pools go round the domains, each from another one on, so that no domain
// holds all the large shares.
func (b *builder) place(pool, i int) (domain, ip string) {
	domains := b.o.Deployment.Domains
	k := (i + pool) % len(domains)
	return domains[k], b.ip(10+k, 1+pool*60+i)
}

func (b *builder) backends() {
	d := b.o.Deployment
	scale := strconv.FormatFloat(b.o.TimeScale, 'g', -1, 64)
	for i := range d.Engines {
		args := append(b.site.Engine.args(), "--model", d.Model, "--version", strconv.Itoa(firstVersion), "--time-scale", scale)
		b.backend(RoleEngine, d.Model, 0, i, args)
	}
	for i := range d.Services {
		b.backend(RoleService, d.Service, 1, i, []string{"--service-time", b.site.Service.Mean.String()})
	}
	for i := range d.Scorers {
		b.backend(RoleScorer, "scorer", 2, i, nil)
	}
}

// backend adds a backend server and the agent beside it.
func (b *builder) backend(role, serves string, pool, i int, args []string) {
	domain, ip := b.place(pool, i)
	vm := fmt.Sprintf("%s-%d", role, i+1)
	if role != RoleScorer {
		args = append(args, "--name", vm, "--seed", strconv.FormatUint(b.o.Seed+uint64(i), 10))
	}
	server := b.standin(vm+"-server", role, hostPort(ip, portBackend), args...)
	server.Domain = domain
	server.Serves = serves
	b.add(server)
	agent := b.process(vm, RoleAgent, domain, ip, b.agentSettings(role, serves, server.URL))
	agent.BackendServer = server.Name
	agent.Serves = serves
	b.add(agent)
}

func (b *builder) entries() {
	for i := range b.o.Deployment.Entries {
		domain, _ := b.place(0, i)
		b.add(b.process(fmt.Sprintf("entry-%d", i+1), RoleEntry, domain, b.ip(1, 1+i), nil))
	}
}

// process adds an entry or agent with its settings file.
func (b *builder) process(name, role, domain, ip string, more []setting) Process {
	p := Process{
		Name: name, Role: role, Domain: domain, Binary: filepath.Join(b.o.BinDir, "dandelion-"+role),
		GRPC: hostPort(ip, portGRPC), URL: "http://" + hostPort(ip, portHTTP),
	}
	list := []setting{
		{"process.name", name},
		{"process.region", b.o.Deployment.Region},
		{"process.failure_domain", domain},
		{"process.listen", p.GRPC},
		{"process.http", hostPort(ip, portHTTP)},
		{"process.stop_delay", stopDelay(role)},
		{"process.drain_timeout", "20s"},
		{"platform.log", b.site.ByName("log").URL},
		{"platform.vms", b.site.ByName("vms").URL},
		{"platform.weights", b.site.ByName("weights").URL},
		{"keys.manifest_public", b.o.PublicKey},
	}
	list = append(list, more...)
	list = append(list, policySettings(role, strings.HasPrefix(name, RoleEngine), b.o.Policy)...)
	file := filepath.Join(b.o.Dir, name+".ini")
	if b.err == nil {
		b.err = errors.Trace(os.WriteFile(file, []byte(render(list)), 0o644))
	}
	p.Args = []string{"--config", file}
	return p
}

// stopDelay is how long a stopping entry goes on taking requests: the time in
// which balancers see it unready. Agents refuse by themselves.
func stopDelay(role string) string {
	if role == RoleEntry {
		return "300ms"
	}
	return "0s"
}
