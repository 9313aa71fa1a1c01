package ctl

import (
	"cmp"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"dandelionsill.org/base/outbound"
	"dandelionsill.org/base/run"
	"dandelionsill.org/base/settings"
	"dandelionsill.org/base/sleep"
	"dandelionsill.org/platform"
	"dandelionsill.org/wire/pb"
)

const (
	requestTimeout      = 2 * time.Second
	maxParallelRequests = 64
	pollInterval        = 200 * time.Millisecond // between two queries of all processes
	maxResponseBytes    = 4 << 20                // bytes
)

// httpClient sends requests to processes by IP. It ignores proxies that the
// environment sets.
var httpClient = &http.Client{Transport: outbound.NewTransport(&http.Transport{DisableKeepAlives: true})}

// processFlags are the flags for the processes to query: their HTTP addresses, or the
// address of the VM list, whose rows have their gRPC addresses.
type processFlags struct {
	processes string
	vms       string
}

func (p *processFlags) register(set *flag.FlagSet) {
	set.StringVar(&p.processes, "processes", "", "HTTP addresses of entries and agents to ask, IP:port,…")
	set.StringVar(&p.vms, "vms", "", "base URL of the VM list, by IP: ask every process in it over gRPC")
}

// processReport is the state that a process reports.
type processReport struct {
	Name     string `json:"name"`
	Addr     string `json:"addr"`
	Role     string `json:"role"`
	Revision uint64 `json:"revision"`
	Hash     string `json:"hash"`
	Ready    *bool  `json:"ready,omitempty"` // nil: not reported
	Leaving  bool   `json:"leaving"`
	Error    string `json:"error,omitempty"` // why there is no answer
}

// target is a process to query, over gRPC or HTTP.
type target struct {
	processReport
	grpc bool
}

// targetLister returns the current list of processes to query.
type targetLister func(ctx context.Context) ([]target, error)

func (p *processFlags) newTargetLister(t *tool) (targetLister, error) {
	switch {
	case p.processes != "" && p.vms != "":
		return nil, usageError("--processes and --vms can't both be given")
	case p.processes != "":
		addrs, err := addresses("processes", p.processes)
		if err != nil {
			return nil, err
		}
		return httpTargets(addrs), nil
	case p.vms != "":
		if err := settings.BaseURL(p.vms); err != nil {
			return nil, usageError("--vms: %v", err)
		}
		return vmTargets(t.newVMs(p.vms)), nil
	}
	return nil, usageError("--processes or --vms is needed to know whom to ask")
}

func httpTargets(addrs []string) targetLister {
	var list []target
	for _, addr := range addrs {
		list = append(list, target{processReport{Name: addr, Addr: addr}, false})
	}
	return func(context.Context) ([]target, error) { return list, nil }
}

func vmTargets(vms platform.VMList) targetLister {
	return func(ctx context.Context) ([]target, error) {
		rows, err := vms.List(ctx)
		if err != nil {
			return nil, errors.Trace(err)
		}
		var list []target
		for _, vm := range rows {
			list = append(list, target{processReport{
				Name: vm.Name, Addr: vm.Addr, Role: vm.Role, Leaving: vm.State == platform.VMLeaving,
			}, true})
		}
		return list, nil
	}
}

// queryAll queries all processes, at most maxParallelRequests at a time, and returns
// their reports sorted by name. The revision and hash are those for queryPeer.
func queryAll(ctx context.Context, list []target, revision uint64, hash string) []processReport {
	reports := make([]processReport, len(list))
	slots := make(chan struct{}, maxParallelRequests)
	var pending sync.WaitGroup
	for i, target := range list {
		pending.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			reports[i] = queryProcess(ctx, target, revision, hash)
		})
	}
	pending.Wait()
	slices.SortFunc(reports, func(a, b processReport) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}

func queryProcess(ctx context.Context, t target, revision uint64, hash string) processReport {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	report := t.processReport
	var err error
	if t.grpc {
		err = queryPeer(ctx, &report, revision, hash)
	} else {
		err = getJSON(ctx, t.Addr, "/v1/status", "", &report)
	}
	if err != nil {
		report.Error = err.Error()
	}
	return report
}

// queryPeer queries a process with the protocol between peers. The request contains the
// newest known revision to keep the answer small: a peer sends its manifest only to a
// process with an older revision.
func queryPeer(ctx context.Context, report *processReport, revision uint64, hash string) error {
	conn, err := run.NewClient(report.Addr)
	if err != nil {
		return errors.Trace(err)
	}
	defer conn.Close()
	reply, err := pb.NewPeerClient(conn).Exchange(ctx, &pb.ExchangeRequest{Name: programName, Revision: revision, Hash: hash})
	if err != nil {
		return errors.Trace(err)
	}
	report.Revision, report.Hash = reply.Revision, reply.Hash
	return nil
}

// getJSON sends a GET request to a process and decodes the answer into dst. With an
// empty token, the request has no Authorization header.
func getJSON(ctx context.Context, addr, path, token string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return errors.Trace(err)
	}
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := outbound.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s answered %s: %.200s", addr+path, resp.Status, body)
	}
	return errors.Annotate(json.Unmarshal(body, dst), addr+path)
}

// waitUntilInForce queries the processes until every listed process has the revision or
// a later one. It reads the list again each time, because VMs are added and removed.
func waitUntilInForce(ctx context.Context, list targetLister, report *commitReport) error {
	start := time.Now()
	var listErr error
	for {
		targets, err := list(ctx)
		if err == nil {
			report.Behind = findBehind(queryAll(ctx, targets, report.Number, report.Hash), report.Number)
		}
		listErr = err
		everywhere := err == nil && len(report.Behind) == 0 && len(targets) > 0
		report.InForce = &everywhere
		if everywhere {
			report.WaitedMS = time.Since(start).Milliseconds()
			return nil
		}
		if !sleep.For(ctx, pollInterval) {
			break
		}
	}
	if listErr != nil {
		return newExitError(ExitNotEverywhere, "accepted, but the VM list can't be read: %w", listErr)
	}
	return newExitError(ExitNotEverywhere, "accepted, but not in force in time on %d processes: %s", len(report.Behind), joinNames(report.Behind))
}

func findBehind(reports []processReport, number uint64) []processReport {
	return slices.DeleteFunc(reports, func(p processReport) bool { return p.Error == "" && p.Revision >= number })
}

func joinNames(reports []processReport) string {
	text := ""
	for i, p := range reports {
		if i > 0 {
			text += ", "
		}
		text += p.Name
	}
	return text
}

func (t *tool) printProcesses(reports []processReport) error {
	rows := make([][]string, len(reports))
	for i, p := range reports {
		ready := "-"
		if p.Ready != nil {
			ready = fmt.Sprint(*p.Ready)
		}
		rows[i] = []string{p.Name, p.Role, p.Addr, fmt.Sprint(p.Revision), shortenHash(p.Hash), ready, fmt.Sprint(p.Leaving), p.Error}
	}
	return t.printTable([]string{"PROCESS", "ROLE", "ADDRESS", "REVISION", "HASH", "READY", "LEAVING", "ERROR"}, rows)
}
