package site

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// firstVersion is the weight version that engines serve after their start.
const firstVersion = 1

// builder adds processes to a site. After the first error it writes no more
// settings files.
type builder struct {
	site    *Site
	options Options
	err     error
}

func (b *builder) ip(third, fourth int) string {
	return fmt.Sprintf("127.%d.%d.%d", b.options.NetOctet, third, fourth)
}

func (b *builder) add(p Process) { b.site.Processes = append(b.site.Processes, p) }

// newStandin returns a stand-in process that listens on addr.
func (b *builder) newStandin(name, role string, addr string, args ...string) Process {
	return Process{
		Name: name, Role: role, Binary: filepath.Join(b.options.BinDir, "dandelion-standin"), URL: "http://" + addr,
		Args: append([]string{role, "--listen", addr}, args...),
	}
}

// addPlatform adds the stand-ins of the platform: log, weight store, VM list.
func (b *builder) addPlatform() {
	ip := b.ip(0, 1)
	seed := strconv.FormatUint(b.options.Seed, 10)
	log := []string{"--seed", seed}
	if b.options.LogRate > 0 {
		log = append(log, "--rate", fmt.Sprint(b.options.LogRate))
	}
	b.add(b.newStandin("log", RoleLog, hostPort(ip, portLog), log...))
	b.add(b.newStandin("weights", RoleWeights, hostPort(ip, portWeights),
		"--bytes-per-s", fmt.Sprintf("%.0f", b.options.StoreBytesPerSecond),
		"--initial", fmt.Sprintf("%s:%d:%d", b.options.Deployment.Model, firstVersion, b.options.WeightSize)))
	b.add(b.newStandin("vms", RoleVMs, hostPort(ip, portVMs), "--lag", "500ms"))
}

// placeVM returns the failure domain and the address of the i-th VM of a pool.
// Each pool is spread round-robin over the domains and starts at another domain,
// so that the larger shares of the pools are not all in one domain.
func (b *builder) placeVM(pool, i int) (domain, ip string) {
	domains := b.options.Deployment.Domains
	k := (i + pool) % len(domains)
	return domains[k], b.ip(10+k, 1+pool*60+i)
}

// addBackends adds the engines, service servers and scorers with their agents.
func (b *builder) addBackends() {
	d := b.options.Deployment
	scale := strconv.FormatFloat(b.options.TimeScale, 'g', -1, 64)
	for i := range d.Engines {
		args := append(b.site.Engine.args(), "--model", d.Model, "--version", strconv.Itoa(firstVersion), "--time-scale", scale)
		b.addBackend(RoleEngine, d.Model, 0, i, args)
	}
	for i := range d.Services {
		b.addBackend(RoleService, d.Service, 1, i, []string{"--service-time", b.site.Service.Mean.String()})
	}
	for i := range d.Scorers {
		b.addBackend(RoleScorer, "scorer", 2, i, nil)
	}
}

// addBackend adds a backend server and its agent on the same VM.
func (b *builder) addBackend(role, serves string, pool, i int, args []string) {
	domain, ip := b.placeVM(pool, i)
	vm := fmt.Sprintf("%s-%d", role, i+1)
	if role != RoleScorer {
		args = append(args, "--name", vm, "--seed", strconv.FormatUint(b.options.Seed+uint64(i), 10))
	}
	server := b.newStandin(vm+"-server", role, hostPort(ip, portBackend), args...)
	server.Domain = domain
	server.Serves = serves
	b.add(server)
	agent := b.newProcess(vm, RoleAgent, domain, ip, b.agentSettings(role, serves, server.URL))
	agent.BackendServer = server.Name
	agent.Serves = serves
	b.add(agent)
}

// addEntries adds the entries, spread over the failure domains.
func (b *builder) addEntries() {
	for i := range b.options.Deployment.Entries {
		domain, _ := b.placeVM(0, i)
		b.add(b.newProcess(fmt.Sprintf("entry-%d", i+1), RoleEntry, domain, b.ip(1, 1+i), nil))
	}
}

// newProcess adds an entry or agent with its settings file.
func (b *builder) newProcess(name, role, domain, ip string, extra []setting) Process {
	p := Process{
		Name: name, Role: role, Domain: domain, Binary: filepath.Join(b.options.BinDir, "dandelion-"+role),
		GRPC: hostPort(ip, portGRPC), URL: "http://" + hostPort(ip, portHTTP),
	}
	list := []setting{
		{"process.name", name},
		{"process.region", b.options.Deployment.Region},
		{"process.failure_domain", domain},
		{"process.listen", p.GRPC},
		{"process.http", hostPort(ip, portHTTP)},
		{"process.stop_delay", stopDelay(role)},
		{"process.drain_timeout", "20s"},
		{"platform.log", b.site.ByName("log").URL},
		{"platform.vms", b.site.ByName("vms").URL},
		{"platform.weights", b.site.ByName("weights").URL},
		{"keys.manifest_public", b.options.PublicKey},
	}
	list = append(list, extra...)
	list = append(list, policySettings(role, strings.HasPrefix(name, RoleEngine), b.options.Policy)...)
	file := filepath.Join(b.options.Dir, name+".ini")
	if b.err == nil {
		b.err = errors.Trace(os.WriteFile(file, []byte(renderINI(list)), 0o644))
	}
	p.Args = []string{"--config", file}
	return p
}

// stopDelay returns how long a stopping process continues to accept requests. An
// entry does so until the balancers have seen that it is not ready. Agents need no
// delay, as they refuse requests themselves.
func stopDelay(role string) string {
	if role == RoleEntry {
		return "300ms"
	}
	return "0s"
}
