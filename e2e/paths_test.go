package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/site"
	"dandelionsill.org/manifest"
)

// The main uses of a site must work without faults: an application calls a service and
// reads streams, a trainer gets complete steps, new weights appear in the samples'
// labels, and an operator's commit comes into force.
func TestPaths(t *testing.T) {
	const seed, steps = 41, 5
	c := startCluster(t, options{seed: seed})

	w := c.startTraffic(callerCount, seed, callShares{reads: 0.5, keyed: 0.3})
	w.waitAnswered(100)
	c.openStreams(4, seed).waitComplete()

	done := c.startTrainer(steps, 1, seed).waitComplete(steps)
	last := done[steps-1]
	require.Equal(t, uint64(steps), last.Newest)
	for _, m := range last.Samples {
		require.GreaterOrEqual(t, m.Spans[0].Version+c.site.Deployment.Bound, last.Newest)
	}

	out, code := c.commit("second", "")
	require.Zero(t, code, out)
	var nodes []site.Process
	nodes = append(nodes, c.site.AgentsAndEntries()...)
	require.NoError(t, site.WaitRevision(c.ctx, nodes, 2))
	out, code = c.runCtl("status", "--log", c.site.ByName("log").URL, "--public", publicKey(), "--vms", c.site.ByName("vms").URL)
	require.Zero(t, code, out)

	calls, _ := w.verify()
	require.Zero(t, judge.CountInterrupted(callResults(calls)))
	for i := range calls {
		require.True(t, calls[i].Result.OK(), "%+v", calls[i].Result)
	}
}

// An entry starts in a running site, as after its VM was replaced. The balancer sends
// requests to it as soon as it reports that it is ready, so that it must serve from
// then on.
func TestNewEntryServesOnceReady(t *testing.T) {
	const seed = 42
	c := startCluster(t, options{seed: seed})
	c.kill("entry-1")
	p := c.site.ByName("entry-1")
	c.start(p)
	c.waitFor("the new entry is ready", func() error {
		return site.SendJSON(c.ctx, http.MethodGet, p.URL+"/readyz", nil, nil)
	})
	cl := client.New(client.NewBalancer([]string{p.URL}), site.Token(site.Caller), 1)
	r := cl.Call(c.ctx, client.Call{
		RequestID: uuid.NewString(), Service: c.site.Deployment.Service, Method: http.MethodGet, Path: "/orders/1",
	})
	require.True(t, r.OK(), "%s %s", r.Kind(), r.Body)
}

func publicKey() string { key, _ := site.SigningKey(); return key }

// commit runs dandelionctl to commit the site's manifest with a note, over revision
// parent unless that is empty.
func (c *cluster) commit(note, parent string) (string, int) {
	dir := c.t.TempDir()
	_, private := site.SigningKey()
	key := filepath.Join(dir, "key")
	file := filepath.Join(dir, "manifest.ini")
	require.NoError(c.t, os.WriteFile(key, []byte(private), 0o600))
	require.NoError(c.t, os.WriteFile(file, c.site.Manifest(note), 0o644))
	args := []string{"commit", "--output", "json", "--log", c.site.ByName("log").URL, "--key", key, "--timeout", "20s"}
	if parent != "" {
		args = append(args, "--parent", parent)
	}
	return c.runCtl(append(args, file)...)
}

// configInput and configOutput describe an operation on the configuration: a commit
// over a parent (compare-and-set), or a read of the revision that processes have.
type (
	configInput struct {
		read   bool
		parent uint64
		hash   string
	}
	configOutput struct {
		won    bool
		number uint64
		hash   string
	}
)

// configState is the current revision of configModel.
type configState struct {
	number uint64
	hash   string
}

// configModel models the configuration as a compare-and-set register: a commit wins
// only if its parent is the current revision.
func configModel(first configState) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return first },
		Step: func(state, input, output any) (bool, any) {
			now, in, out := state.(configState), input.(configInput), output.(configOutput)
			switch {
			case in.read:
				return now == configState{out.number, out.hash}, now
			case out.won:
				return now.number == in.parent, configState{in.parent + 1, in.hash}
			}
			return now.number != in.parent, now // another commit won
		},
		DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
	}
}

// In each round several operators commit different manifests over the same revision at
// the same time. Exactly one must win and the others must learn that they lost. The
// history must be that of a compare-and-set register, and every process must have the
// winner of each round.
func TestOperatorsRace(t *testing.T) {
	const seed, rounds, operators = 43, 3, 3
	c := startCluster(t, options{seed: seed})
	first := configState{1, manifest.Hash(c.site.Manifest("first revision"))}
	var ops collector[porcupine.Operation]
	for round := range rounds {
		parent := uint64(round + 1)
		require.Equal(t, 1, c.raceCommits(&ops, round, operators, parent), "winners of round %d", round)
		ops.add(c.readConfig(operators, parent+1))
	}
	require.True(t, porcupine.CheckOperations(configModel(first), ops.all()))
}

// raceCommits lets operators commit over parent at the same time, adds the outcomes to
// the history and returns how many won.
func (c *cluster) raceCommits(ops *collector[porcupine.Operation], round, operators int, parent uint64) int {
	outputs := make([]configOutput, operators)
	var all sync.WaitGroup
	for operator := range operators {
		all.Go(func() {
			note := fmt.Sprintf("round %d by operator %d", round, operator)
			from := time.Now().UnixNano()
			out, code := c.commit(note, fmt.Sprint(parent))
			outputs[operator] = configOutput{won: code == 0}
			if code != 0 && !isRejected(out, code) {
				c.t.Errorf("operator %d: exit code %d: %s", operator, code, out)
			}
			ops.add(porcupine.Operation{
				ClientId: operator, Call: from, Return: time.Now().UnixNano(), Output: outputs[operator],
				Input: configInput{parent: parent, hash: manifest.Hash(c.site.Manifest(note))},
			})
		})
	}
	all.Wait()
	winners := 0
	for _, out := range outputs {
		if out.won {
			winners++
		}
	}
	return winners
}

// isRejected reports whether dandelionctl failed because another revision won.
func isRejected(out string, code int) bool {
	const exitLost = 3
	return code == exitLost && strings.Contains(out, "not accepted")
}

// readConfig waits until every process has at least the revision, requires that all
// have the same one, and returns it as a read.
func (c *cluster) readConfig(client int, number uint64) porcupine.Operation {
	c.t.Helper()
	from := time.Now().UnixNano()
	require.NoError(c.t, site.WaitRevision(c.ctx, c.site.AgentsAndEntries(), number))
	var held site.Status
	for _, p := range c.site.AgentsAndEntries() {
		var st site.Status
		require.NoError(c.t, site.SendJSON(c.ctx, http.MethodGet, p.URL+"/v1/status", nil, &st))
		if held.Hash == "" {
			held = st
		}
		require.Equal(c.t, []any{held.Revision, held.Hash}, []any{st.Revision, st.Hash}, p.Name)
	}
	data, err := json.Marshal(held)
	require.NoError(c.t, err)
	c.t.Logf("all processes have %s", data)
	return porcupine.Operation{
		ClientId: client, Call: from, Return: time.Now().UnixNano(),
		Input: configInput{read: true}, Output: configOutput{number: held.Revision, hash: held.Hash},
	}
}
