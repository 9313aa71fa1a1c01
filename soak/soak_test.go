package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	seedCount = flag.Int("soak.seeds", 1, "number of fresh seeds to run")
	firstSeed = flag.Uint64("soak.seed", 1, "first seed; 0: from the clock")
	faultTime = flag.Duration("soak.length", 6*time.Second, "how long faults come in a run")
	logDir    = flag.String("soak.keep", "", "folder for the logs of runs that fail")
)

// failedOnce lists seeds that failed once, each with its cause. They always run.
var failedOnce = []struct {
	seed  uint64
	cause string
}{
	{201, "SIGHUP reached an agent in the first milliseconds after its start, before the Go runtime had a handler, and ended it"},
	{20320, "another test's outgoing connection took a gateway's port after the test had chosen it and before the gateway started"},
}

// binDir contains the binaries under test.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dandelion-soak-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/dandelion-gateway", "./cmd/dandelion-orders")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// Injects random, overlapping faults into the system: gateways and agents are killed,
// suspended, stopped and sent SIGHUP, their connections are delayed, reset or lose
// bytes, and the store and the servers are faulty, and failure domains are evacuated. Meanwhile trainers and callers
// check every answer against the guarantees. After the faults, all accepted work
// must be completed.
func TestSoak(t *testing.T) {
	for _, f := range failedOnce {
		t.Run(fmt.Sprintf("failed-once-%d", f.seed), func(t *testing.T) { runSeed(t, f.seed) })
	}
	start := *firstSeed
	if start == 0 {
		start = uint64(time.Now().UnixNano())
	}
	for i := range *seedCount {
		seed := start + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runSeed(t, seed) })
	}
}

func runSeed(t *testing.T, seed uint64) {
	dir := t.TempDir()
	if *logDir != "" {
		dir = filepath.Join(*logDir, fmt.Sprintf("seed-%d", seed))
		require.NoError(t, os.MkdirAll(dir, 0o755))
	}
	sys := newSystem(t, dir)
	rec := newRecord()
	sys.waitServing(rec, seed)
	var faults []string
	var faultsMu sync.Mutex
	started := time.Now()
	logFault := func(format string, args ...any) {
		faultsMu.Lock()
		defer faultsMu.Unlock()
		faults = append(faults, fmt.Sprintf("%6.2f %s", time.Since(started).Seconds(), fmt.Sprintf(format, args...)))
	}
	ctx, cancel := context.WithTimeout(t.Context(), *faultTime)
	defer cancel()
	var actors sync.WaitGroup
	for i := range 2 {
		actors.Go(func() { newClient(sys, rec, seed, uint64(i)).runTrainer(ctx, i) })
	}
	for i := range 3 {
		actors.Go(func() { newClient(sys, rec, seed, uint64(10+i)).sendRequests(ctx, fmt.Sprintf("c%d", i)) })
	}
	uris := []string{crashPath + "-a", crashPath + "-b"}
	for i, uri := range uris {
		actors.Go(func() { newClient(sys, rec, seed, uint64(20+i)).sendCrashing(ctx, uri) })
	}
	actors.Go(func() { newClient(sys, rec, seed, 30).sendWithInvalidKey(ctx) })
	actors.Go(func() { sys.crashing.run(ctx) })
	actors.Go(func() { sys.sendBursts(ctx, rec, seed) })
	actors.Go(func() { newClient(sys, rec, seed, 40).sendLarge(ctx, "large") })
	permitFaults := &injector{sys: sys, rng: rand.New(rand.NewPCG(seed, 98)), log: logFault}
	actors.Go(func() { permitFaults.runPermitFaults(ctx) })
	operator := &injector{sys: sys, rng: rand.New(rand.NewPCG(seed, 97)), log: logFault}
	actors.Go(func() { operator.runEvacuations(ctx) })
	in := &injector{sys: sys, rng: rand.New(rand.NewPCG(seed, 99)), log: logFault}
	in.run(ctx)
	actors.Wait()
	sys.clearFaults()
	calmSince := time.Now()
	sys.startLeaving()
	sys.waitForResults(rec, seed)
	sys.crashing.verifyQuarantine(rec, seed, uris)
	sys.endEvacuation(rec, seed, calmSince)
	sys.waitServing(rec, seed)
	overload := sys.verifyOverload(rec, seed)
	sys.waitForKeys(rec, seed)
	sys.verifyUsage(rec)
	sys.verifyEvacuations(rec, calmSince)
	sys.verifyRecord(rec)
	peak := sys.verifyMemory(rec)
	sys.verifyStop(rec, seed)
	sys.stopAll()
	if len(rec.violations) > 0 {
		t.Errorf("seed %d:\n%s\nfaults:\n%s", seed, strings.Join(rec.violations, "\n"), strings.Join(faults, "\n"))
	}
	t.Logf("seed %d: %d faults, %d jobs, %d requests served, %d sent, servers crashed by requests: %v; %s; memory up to %d kB", seed, len(faults), len(rec.accepted), rec.served, len(rec.outcomes), sys.crashing.crashes, overload, peak)
}

// waitServing waits until every gateway has served a request.
func (sys *system) waitServing(rec *record, seed uint64) {
	c := newClient(sys, rec, seed, 1000)
	for i, g := range sys.gatewayProcs {
		require.Eventually(sys.t, func() bool {
			safe, _, _ := c.ask(context.Background(), g, "POST", "/score/x", fmt.Sprintf("warm-%d", i), nil)
			unsafe, _, _ := c.ask(context.Background(), g, "POST", "/write/x", fmt.Sprintf("warm-write-%d", i), nil)
			return safe == 200 && unsafe == 200
		}, 20*time.Second, 20*time.Millisecond, "%s does not serve", g.name)
	}
}

// waitForResults waits until every gateway returns at least those results of each
// accepted job that were read before, and requires that a new job is completed.
func (sys *system) waitForResults(rec *record, seed uint64) {
	c := newClient(sys, rec, seed, 2000)
	for job := range rec.accepted {
		for _, g := range sys.gatewayProcs {
			ok := false
			for deadline := time.Now().Add(20 * time.Second); !ok && time.Now().Before(deadline); {
				var got []result
				if got, ok = c.results(g, job, 0); ok {
					rec.checkResults(job, g.name, 0, got)
					ok = len(got) >= len(rec.results[job])
				}
				time.Sleep(10 * time.Millisecond)
			}
			if !ok {
				rec.reportViolation("job %s: results that were read before are missing at %s", job, g.name)
			}
		}
	}
	last := newClient(sys, rec, seed, 3000)
	if !last.submit("last", 1) || !last.readAll(context.Background(), "last", 20*time.Second) {
		rec.reportViolation("no step is completed after the faults")
	}
}

// verifyRecord compares the answers that callers got with what the servers received
// and ran.
func (sys *system) verifyRecord(rec *record) {
	for job, results := range rec.results {
		floor := uint64(1)
		var trainer, step int
		if _, err := fmt.Sscanf(job, "t%d-s%d", &trainer, &step); err == nil && trainer == 0 {
			floor = uint64(max(1, step))
		}
		seen := map[string]bool{}
		for _, r := range results {
			if seen[r.ID] {
				rec.reportViolation("sample %s is listed twice in job %s", r.ID, job)
			}
			seen[r.ID] = true
			sys.checkResult(rec, job, floor, r)
		}
	}
	sys.verifyOutcomes(rec)
	for _, e := range sys.engines {
		for _, a := range e.Arrivals() {
			job, _, _ := strings.Cut(a.ID, "-i")
			if rec.refused[job] {
				rec.reportViolation("sample %s ran although every attempt of its job was refused", a.ID)
			}
		}
		fence := uint64(0)
		for _, o := range e.Orders() {
			if o.Fence < fence {
				rec.reportViolation("engine %s: fencing token %d after %d", e.ID, o.Fence, fence)
			}
			fence = o.Fence
		}
	}
}

// verifyOutcomes compares the answers to requests with the servers' runs.
func (sys *system) verifyOutcomes(rec *record) {
	runs := map[string]int{}
	for _, s := range append(sys.crashing.allEverStarted(), sys.services...) {
		for _, a := range s.Arrivals() {
			if a.Executed {
				runs[a.ID]++
			}
		}
	}
	for id, o := range rec.outcomes {
		if o.atMostOnce && runs[id] > 1 {
			rec.reportViolation("write %s ran %d times", id, runs[id])
		}
		if o.isNotRun() && runs[id] > 0 {
			rec.reportViolation("request %s was answered %d (not run) but has run", id, o.status)
		}
	}
}

// stopAll stops all processes with SIGTERM. Each must end within its grace period.
func (sys *system) stopAll() {
	for _, p := range sys.processes() {
		p.signal(syscall.SIGTERM, true)
	}
	for _, p := range sys.processes() {
		select {
		case <-p.exited():
		case <-time.After(8 * time.Second):
			sys.t.Errorf("%s does not stop", p.name)
		}
	}
}
