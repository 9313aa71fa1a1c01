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

// Ports on each VM's own address.
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
	Name   string   `json:"name"`
	Role   string   `json:"role"`
	Domain string   `json:"domain,omitempty"` // failure domain; empty for the platform
	Serves string   `json:"serves,omitempty"` // model or service, of agents and backend servers
	Binary string   `json:"binary"`
	Args   []string `json:"args"`
	GRPC   string   `json:"grpc,omitempty"` // IP:port
	URL    string   `json:"url"`            // base URL of its HTTP listener
	BackendServer string   `json:"beside,omitempty"`
}

// Options says what to lay out.
type Options struct {
	Deployment Deployment
	NetOctet        int    // second octet of the addresses, 1 to 250
	Dir        string // where settings go
	BinDir        string // folder of the binaries
	Seed       uint64
	TimeScale  float64 // of engines; 0: 1
	PublicKey  string  // "id:base64", that signs manifests
	Policy     string
	Engine     EngineModel
	Service    ServiceModel
	StoreBytesPerSecond   float64 // byte rate of the weight store
	WeightSize int     // bytes of a weight version
	LogRate    float64 // appends a second; 0: the stand-in's default
}

// Site is a laid-out site.
type Site struct {
	Deployment Deployment   `json:"deployment"`
	Dir        string       `json:"dir"`
	TimeScale  float64      `json:"time_scale"`
	Seed       uint64       `json:"seed"`
	Policy     string       `json:"policy"`
	Engine     EngineModel  `json:"engine"`
	Service    ServiceModel `json:"service"`
	WeightSize int          `json:"weight_size"`
	// Processes in the order in which they start.
	Processes []Process `json:"processes"`
}

// ByRole returns the processes of a role.
func (s *Site) ByRole(role string) []Process {
	var list []Process
	for _, p := range s.Processes {
		if p.Role == role {
			list = append(list, p)
		}
	}
	return list
}

// URLs returns the base URLs of a role's processes.
func (s *Site) URLs(role string) []string {
	var list []string
	for _, p := range s.ByRole(role) {
		list = append(list, p.URL)
	}
	return list
}

// ByName returns a process by name; the zero Process when there is none.
func (s *Site) ByName(name string) Process {
	for _, p := range s.Processes {
		if p.Name == name {
			return p
		}
	}
	return Process{}
}

// New lays a site out and writes its settings files into Dir.
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
	b := &builder{site: s, o: o}
	b.platform()
	b.backends()
	b.entries()
	if b.err != nil {
		return nil, errors.Trace(b.err)
	}
	return s, nil
}

// Save writes the site as JSON, for Load, and as a plan for shell scripts:
// one line for each process, "NAME BINARY ARG…", separated by tabs.
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

// Load reads a site that Save wrote.
func Load(dir string) (*Site, error) {
	data, err := os.ReadFile(filepath.Join(dir, "site.json"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	var s Site
	return &s, errors.Trace(json.Unmarshal(data, &s))
}

// CheckAddressesFree tells which of the site's addresses are taken, if any.
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
		return errors.Errorf("addresses are taken: %s; is another run still there?", strings.Join(taken, ", "))
	}
	return nil
}

func hostPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
