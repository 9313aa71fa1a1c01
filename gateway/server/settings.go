// Package server builds two processes from their parts: the gateway, which runs on entry VMs, and
// the agent, which runs on the VM of each engine.
package server

import (
	"net/netip"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/inbound"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/decide/topology"
	"dandelionsill.org/platform/hosted"
)

// Common holds the settings of both processes.
type Common struct {
	Process  Process
	Store    Store
	Topology Topology
	Trace    trace.Config
}

// Topology holds where the deployment's failure domains are.
type Topology struct {
	Regions []string `ini:"topology.regions" help:"region of each failure domain, as FAILURE_DOMAIN:REGION; empty: not told, and distances between regions are not considered"`
	// LostDomains switches on what prepares for the loss of a whole failure domain.
	LostDomains int `ini:"topology.lost_domains" default:"0" min:"0" max:"1000" help:"failure domains that may be lost at the same time; 0: the loss of a whole one is not prepared for"`
}

// parse returns the topology. The settings have been validated.
func (t *Topology) parse() *topology.Topology {
	parsed, err := topology.Parse(t.Regions)
	if err != nil {
		return nil
	}
	return parsed
}

// Process holds the identity of the process and its general settings.
type Process struct {
	Name          string        `ini:"process.name" help:"name of this VM"`
	FailureDomain string        `ini:"process.failure_domain" help:"failure domain of this VM"`
	Metrics       string        `ini:"process.metrics" kind:"ip:port" help:"IP:port where counters are served at /debug/vars"`
	LogLevel      string        `ini:"process.log_level" default:"info" help:"debug, info, warn or error"`
	Grace         time.Duration `ini:"process.grace" default:"8s" min:"1s" max:"24h" help:"time between the request to stop and the kill"`
}

// Store holds the settings of the platform's store.
type Store struct {
	Address string `ini:"store.address" kind:"ip:port" help:"IP:port of the platform's store"`
	Parts   int    `ini:"store.parts" default:"1" min:"1" max:"100" help:"partitions of a topic; the same in all processes"`
	// ReadsPerS bounds how often all processes together read the log and the feeds.
	ReadsPerS float64 `ini:"store.reads_per_s" default:"0" min:"0" max:"10000000" help:"read calls a second that the store takes of all processes together; 0: not told"`
}

// Validate checks the settings.
func (c *Common) Validate() error {
	if c.Process.Name == "" {
		return errors.New("process.name is empty; it must be the VM's name")
	}
	if _, err := netip.ParseAddrPort(c.Store.Address); err != nil {
		return errors.Errorf("store.address: %q is not IP:port", c.Store.Address)
	}
	if _, err := topology.Parse(c.Topology.Regions); err != nil {
		return errors.Annotate(err, "topology.regions")
	}
	return errors.Trace(c.Trace.Validate())
}

// Gateway holds the settings of the gateway.
type Gateway struct {
	Common
	Listen  Listen
	VM      VM
	Duties  Duties
	Permits Permits
	Cold    Cold
}

// Cold holds by how much the rate at which a cold server takes requests may be exceeded in one
// second.
type Cold struct {
	Excess float64 `ini:"cold.excess" default:"1" min:"1" max:"1000" help:"in one second, a cold server takes its rate times this, and the slack"`
	Slack  float64 `ini:"cold.slack" default:"0" min:"0" max:"1000000" help:"requests beyond it that a cold server takes in one second"`
}

// Permits holds the settings of permits, by which all gateways share the places at the servers of
// a service.
type Permits struct {
	Listen      string  `ini:"permits.listen" kind:"ip:port" help:"IP:port where other gateways ask this one for permits; empty: this process neither grants nor asks for any"`
	ByRegion    bool    `ini:"permits.by_region" default:"true" help:"with several regions, the servers of each one have a broker of their own, and a request takes the way to another region only if its own has no place in time; false: one broker for all"`
	MaxPatience float64 `ini:"permits.max_patience" default:"10" min:"1" max:"1000000" help:"a service's places are shared out if a route to it has a timeout of at most this many objectives"`
}

// Duties holds the settings of duties, tasks that exactly one process has at a time.
type Duties struct {
	Platform string `ini:"duties.platform" kind:"ip:port" help:"IP:port of the platform's interface for what one process at a time may call; empty: nothing is called"`
	// UsageWindow is the length of a window; 0: usage is not reported.
	UsageWindow time.Duration `ini:"duties.usage_window" default:"0s" min:"0s" max:"24h" help:"length of a window of reported usage; 0: none is reported"`
	UsageLate   time.Duration `ini:"duties.usage_late" default:"10s" min:"1s" max:"24h" help:"time after a window's end when its report is due"`
	Lease       time.Duration `ini:"duties.lease" default:"3s" min:"1s" max:"1h" help:"least time between the calls of two holders of a duty that take turns"`
}

// reportsUsage reports whether usage is reported to the platform.
func (d *Duties) reportsUsage() bool { return d.Platform != "" && d.UsageWindow > 0 }

// VM holds the resources of the VM that the process may use.
type VM struct {
	inbound.Settings
	CPUShare float64 `ini:"vm.cpu_share" default:"1" min:"0.01" max:"1024" help:"cores that this process may use"`
	LinkMbps float64 `ini:"vm.link_mbps" default:"1000" min:"1" max:"1000000" help:"bandwidth of the VM's link, Mbit/s"`

	ServerBodyMB float64 `ini:"vm.server_body_mb" default:"0" min:"0" max:"1000000" help:"bodies of this process's requests that one server holds at a time, MB; 0: not bounded"`
}

// Listen holds the addresses on which the gateway listens.
type Listen struct {
	Callers string `ini:"listen.callers" kind:"ip:port" help:"IP:port for callers and trainers"`
	Ready   string `ini:"listen.ready" kind:"ip:port" help:"IP:port where the platform asks whether this process is ready"`
	Peers   string `ini:"listen.peers" kind:"ip:port" help:"IP:port where other processes' calls to the store are passed on; empty: nowhere"`
}

// Validate checks the settings.
func (g *Gateway) Validate() error {
	if err := g.Common.Validate(); err != nil {
		return errors.Trace(err)
	}
	for _, listener := range []struct{ name, value string }{{"listen.callers", g.Listen.Callers}, {"listen.ready", g.Listen.Ready}} {
		if err := settings.IPPort(listener.value); err != nil {
			return errors.Annotate(err, listener.name)
		}
	}
	for _, optional := range []struct{ name, value string }{{"duties.platform", g.Duties.Platform}, {"permits.listen", g.Permits.Listen}} {
		if optional.value == "" {
			continue
		}
		if err := settings.IPPort(optional.value); err != nil {
			return errors.Annotate(err, optional.name)
		}
	}
	return nil
}

// Agent holds the settings of the agent of an engine.
type Agent struct {
	Common
	VM     inbound.Settings
	Engine Engine
}

// Engine holds the address of the engine that the agent orders.
type Engine struct {
	Address string `ini:"engine.address" kind:"ip:port" help:"IP:port of the engine on this VM"`
}

// Validate checks the settings.
func (a *Agent) Validate() error {
	if err := a.Common.Validate(); err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(settings.IPPort(a.Engine.Address), "engine.address")
}

// reloadStore applies a changed address of the store and returns the other changed settings,
// which take effect only after a restart.
func reloadStore(store *hosted.Store, newSettings *Common, changed []string) []string {
	var remaining []string
	for _, name := range changed {
		if name != "store.address" {
			remaining = append(remaining, name)
			continue
		}
		store.SetAddr(newSettings.Store.Address)
	}
	return remaining
}
