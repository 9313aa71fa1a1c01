package site

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Ports on the address of each VM.
const (
	portGRPC    = 7100
	portHTTP    = 7180
	portBackend = 7190
	portLog     = 7001
	portWeights = 7002
	portVMs     = 7003
)

// Roles of processes.
const (
	RoleLog     = "log"
	RoleWeights = "weights"
	RoleVMs     = "vms"
	RoleEngine  = "engine"
	RoleService = "service"
	RoleScorer  = "scorer"
	RoleAgent   = "agent"
	RoleEntry   = "entry"
)

// Process is one process of a site.
type Process struct {
	Name          string   `json:"name"`
	Role          string   `json:"role"`
	Domain        string   `json:"domain,omitempty"` // failure domain; empty for the platform's processes
	Serves        string   `json:"serves,omitempty"` // model or service; only for agents and backend servers
	Binary        string   `json:"binary"`
	Args          []string `json:"args"`
	GRPC          string   `json:"grpc,omitempty"`   // IP:port
	URL           string   `json:"url"`              // base URL of its HTTP listener
	BackendServer string   `json:"beside,omitempty"` // name of the backend server on an agent's VM
}

// Options defines the site that New plans.
type Options struct {
	Deployment          Deployment
	NetOctet            int    // second octet of the addresses, 1 to 250
	Dir                 string // directory for the settings files
	BinDir              string // directory of the binaries
	Seed                uint64
	TimeScale           float64 // factor on the engines' durations; 0 means 1
	PublicKey           string  // public key of the manifests' signatures, "id:base64"
	Policy              string
	Engine              EngineModel
	Service             ServiceModel
	StoreBytesPerSecond float64 // rate of the weight store
	WeightSize          int     // bytes of a weight version
	LogRate             float64 // the log's appends per second; 0: the stand-in's default
}

// Site is the plan of a site: its parameters and processes.
type Site struct {
	Deployment Deployment   `json:"deployment"`
	Dir        string       `json:"dir"`
	TimeScale  float64      `json:"time_scale"`
	Seed       uint64       `json:"seed"`
	Policy     string       `json:"policy"`
	Engine     EngineModel  `json:"engine"`
	Service    ServiceModel `json:"service"`
	WeightSize int          `json:"weight_size"`
	// Processes are in the order in which they must be started.
	Processes []Process `json:"processes"`
}

// ByRole returns the processes with the given role.
func (s *Site) ByRole(role string) []Process {
	var list []Process
	for _, p := range s.Processes {
		if p.Role == role {
			list = append(list, p)
		}
	}
	return list
}

// URLs returns the base URLs of the processes with the given role.
func (s *Site) URLs(role string) []string {
	var list []string
	for _, p := range s.ByRole(role) {
		list = append(list, p.URL)
	}
	return list
}

// ByName returns the process with the given name, the zero Process if there is none.
func (s *Site) ByName(name string) Process {
	for _, p := range s.Processes {
		if p.Name == name {
			return p
		}
	}
	return Process{}
}

// New plans a site and writes its settings files into Dir.
func New(o Options) (*Site, error) {
	if o.TimeScale <= 0 {
		o.TimeScale = 1
	}
	if o.Policy == "" {
		o.Policy = "dandelionsill"
	}
	if err := CheckPolicy(o.Policy); err != nil {
		return nil, errors.Trace(err)
	}
	s := &Site{
		Deployment: o.Deployment, Dir: o.Dir, TimeScale: o.TimeScale, Seed: o.Seed, Policy: o.Policy,
		Engine: o.Engine.withDefaults(), Service: o.Service.withDefaults(), WeightSize: o.WeightSize,
	}
	if err := os.MkdirAll(o.Dir, 0o755); err != nil {
		return nil, errors.Trace(err)
	}
	b := &builder{site: s, options: o}
	b.addPlatform()
	b.addBackends()
	b.addEntries()
	if b.err != nil {
		return nil, errors.Trace(b.err)
	}
	return s, nil
}

// Save writes the site to Dir: as site.json for Load, and as plan.txt for shell
// scripts, with a line "NAME BINARY ARG…", separated by tabs, for each process.
func (s *Site) Save() error {
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Trace(err)
	}
	if err := os.WriteFile(filepath.Join(s.Dir, "site.json"), data, 0o644); err != nil {
		return errors.Trace(err)
	}
	var plan strings.Builder
	for _, p := range s.Processes {
		plan.WriteString(p.Name + "\t" + p.Binary + "\t" + strings.Join(p.Args, "\t") + "\n")
	}
	return errors.Trace(os.WriteFile(filepath.Join(s.Dir, "plan.txt"), []byte(plan.String()), 0o644))
}

// Load reads the site that Save wrote to dir.
func Load(dir string) (*Site, error) {
	data, err := os.ReadFile(filepath.Join(dir, "site.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var s Site
	return &s, errors.Trace(json.Unmarshal(data, &s))
}

// CheckAddressesFree returns an error that lists the addresses of the site that
// are in use, nil if all are free.
func (s *Site) CheckAddressesFree() error {
	var taken []string
	for _, p := range s.Processes {
		for _, addr := range []string{p.GRPC, strings.TrimPrefix(p.URL, "http://")} {
			if addr == "" {
				continue
			}
			l, err := net.Listen("tcp", addr)
			if err != nil {
				taken = append(taken, fmt.Sprintf("%s (%s)", addr, p.Name))
				continue
			}
			_ = l.Close()
		}
	}
	if len(taken) > 0 {
		return errors.Errorf("addresses are in use: %s; is another run still active?", strings.Join(taken, ", "))
	}
	return nil
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
