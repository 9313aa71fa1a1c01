package site

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"dandelionsill.org/adapters/httplog"
	"dandelionsill.org/fold/control"
	"dandelionsill.org/load/client"
	"dandelionsill.org/manifest"
	"dandelionsill.org/platform"
)

const (
	pollEvery    = 20 * time.Millisecond
	askTimeout   = 2 * time.Second
	errorExcerpt = 300 // bytes of an error answer that are told
)

var httpClient = &http.Client{Timeout: 10 * time.Second}

// SigningKey makes the test key that signs a site's manifests. It is no secret.
func SigningKey() (public, private string) {
	const id = "load"
	seed := sha256.Sum256([]byte("dandelionsill load and test key"))
	key := ed25519.NewKeyFromSeed(seed[:])
	return manifest.FormatPublicKey(id, key.Public().(ed25519.PublicKey)), manifest.FormatPrivateKey(id, key)
}

// Register puts every agent and entry into the VM list.
func (s *Site) Register(ctx context.Context) error {
	for _, p := range s.Processes {
		if p.Role != RoleAgent && p.Role != RoleEntry {
			continue
		}
		if err := s.SetVM(ctx, p, platform.VMLive); err != nil {
			return errors.Annotatef(err, "register %s", p.Name)
		}
	}
	return nil
}

// SetVM puts one VM into the list in a state.
func (s *Site) SetVM(ctx context.Context, p Process, state platform.VMState) error {
	vm := platform.VM{
		Name: p.Name, Role: p.Role, Addr: p.GRPC, Region: s.Deployment.Region, FailureDomain: p.Domain, State: state,
	}
	return SendJSON(ctx, http.MethodPut, s.ByName("vms").URL+"/vms/"+p.Name, vm, nil)
}

// SetFaults posts a stand-in's fault switches.
func SetFaults(ctx context.Context, p Process, faults any) error {
	return errors.Annotate(SendJSON(ctx, http.MethodPost, p.URL+"/admin/faults", faults, nil), p.Name)
}

// SendJSON sends in as JSON, if not nil, and decodes the answer into out, if not nil.
func SendJSON(ctx context.Context, method, url string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s: %s", method, url, resp.Status, data[:min(len(data), errorExcerpt)])
	}
	if out == nil {
		return nil
	}
	return errors.Annotate(json.Unmarshal(data, out), url)
}

// WaitAnswering waits until each process of the roles answers 200 at path.
func (s *Site) WaitAnswering(ctx context.Context, path string, roles ...string) error {
	var waiting []Process
	for _, role := range roles {
		waiting = append(waiting, s.ByRole(role)...)
	}
	return waitAll(ctx, waiting, "answer "+path, func(ctx context.Context, p Process) error {
		return SendJSON(ctx, http.MethodGet, p.URL+path, nil, nil)
	})
}

// Status is the part of an entry's or agent's GET /v1/status that load reads.
type Status struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
}

// WaitRevision waits until the processes say that revision number is in force
// there. A process that is gone is waited for too.
func WaitRevision(ctx context.Context, list []Process, number uint64) error {
	return waitAll(ctx, list, fmt.Sprintf("hold revision %d", number), func(ctx context.Context, p Process) error {
		var st Status
		if err := SendJSON(ctx, http.MethodGet, p.URL+"/v1/status", nil, &st); err != nil {
			return err
		}
		if st.Revision < number {
			return errors.Errorf("holds revision %d", st.Revision)
		}
		return nil
	})
}

// waitAll polls every process until check passes or ctx ends, all at once.
func waitAll(ctx context.Context, list []Process, what string, check func(context.Context, Process) error) error {
	var (
		mu   sync.Mutex
		late []string
		all  sync.WaitGroup
	)
	for _, p := range list {
		all.Go(func() {
			if err := waitOne(ctx, p, check); err != nil {
				mu.Lock()
				late = append(late, fmt.Sprintf("%s: %v", p.Name, err))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	if late != nil {
		return errors.Errorf("these do not %s: %s", what, strings.Join(late, "; "))
	}
	return nil
}

func waitOne(ctx context.Context, p Process, check func(context.Context, Process) error) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		ask, cancel := context.WithTimeout(ctx, askTimeout)
		err := check(ask, p)
		cancel()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return err
		}
	}
}

// AgentsAndEntries returns the agents and entries.
func (s *Site) AgentsAndEntries() []Process { return append(s.ByRole(RoleAgent), s.ByRole(RoleEntry)...) }

// Commit signs a manifest as revision number after number-1 with the site's
// test key and appends it to the log.
func (s *Site) Commit(ctx context.Context, number uint64, data []byte) error {
	_, private := SigningKey()
	id, key, err := manifest.ParsePrivateKey(private)
	if err != nil {
		return errors.Trace(err)
	}
	log := httplog.New(s.ByName("log").URL, "load")
	defer log.Close()
	rev := manifest.Sign(key, id, number, number-1, data)
	_, err = log.Append(ctx, platform.StreamControl, control.EncodeCommit("load-"+uuid.NewString(), rev))
	return errors.Annotatef(err, "commit revision %d", number)
}

// BringUp brings a site whose processes were started into service: the VM list,
// the first revision, and a wait until every entry and agent is ready.
func (s *Site) BringUp(ctx context.Context) error {
	platformRoles := []string{RoleLog, RoleWeights, RoleVMs, RoleEngine, RoleService, RoleScorer}
	if err := s.WaitAnswering(ctx, "/livez", platformRoles...); err != nil {
		return errors.Trace(err)
	}
	if err := s.Register(ctx); err != nil {
		return errors.Trace(err)
	}
	if err := s.Commit(ctx, 1, s.Manifest("first revision")); err != nil {
		return errors.Trace(err)
	}
	if err := WaitRevision(ctx, s.AgentsAndEntries(), 1); err != nil {
		return errors.Trace(err)
	}
	if err := s.WaitAnswering(ctx, "/readyz", RoleAgent, RoleEntry); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(s.waitServing(ctx))
}

// waitServing waits until each entry has served a read and a completion: all
// start at once, and the VM list lags.
func (s *Site) waitServing(ctx context.Context) error {
	return waitAll(ctx, s.ByRole(RoleEntry), "serve", func(ctx context.Context, p Process) error {
		b := client.NewBalancer([]string{p.URL})
		c := client.New(b, Token(Caller), 1)
		read := c.Call(ctx, client.Call{RequestID: uuid.NewString(), Service: s.Deployment.Service, Method: http.MethodGet, Path: "/up"})
		if !read.OK() {
			return errors.Errorf("read: %s", read.Kind())
		}
		ask := client.Completion{RequestID: uuid.NewString(), Model: s.Deployment.Model, Prompt: "up", MaxTokens: 1}
		made, _ := c.Complete(ctx, ask, nil)
		if !made.OK() {
			return errors.Errorf("completion: %s", made.Kind())
		}
		return nil
	})
}

// PIDFile is where whoever starts a process writes its pid.
func (s *Site) PIDFile(name string) string { return filepath.Join(s.Dir, "pids", name) }

// PID reads a process's pid.
func (s *Site) PID(name string) (int, error) {
	data, err := os.ReadFile(s.PIDFile(name))
	if err != nil {
		return 0, errors.Trace(err)
	}
	var pid int
	if _, err := fmt.Sscan(string(data), &pid); err != nil || pid <= 1 {
		return 0, errors.Errorf("%s holds no pid: %q", s.PIDFile(name), data)
	}
	return pid, nil
}

// WaitURLs waits until each URL answers 200.
func WaitURLs(ctx context.Context, urls []string) error {
	list := make([]Process, len(urls))
	for i, url := range urls {
		list[i] = Process{Name: url, URL: url}
	}
	return waitAll(ctx, list, "answer", func(ctx context.Context, p Process) error {
		return SendJSON(ctx, http.MethodGet, p.URL, nil, nil)
	})
}
