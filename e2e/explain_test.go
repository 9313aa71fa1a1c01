package e2e

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/site"
)

// decision is a row of the output of dandelionctl explain.
type decision struct{ Process, Part, ID, What, Why string }

const operatorToken = "operator"

// commitOperatorToken commits a manifest with the operators' token and waits until it
// is in force.
func (c *cluster) commitOperatorToken() {
	c.t.Helper()
	dir := c.t.TempDir()
	_, private := site.SigningKey()
	key, file := filepath.Join(dir, "key"), filepath.Join(dir, "manifest.ini")
	text := strings.Replace(string(c.site.Manifest("with an operator")), "[fleet]\n",
		fmt.Sprintf("[fleet]\noperator_sha256 = %x\n", sha256.Sum256([]byte(operatorToken))), 1)
	require.NoError(c.t, os.WriteFile(key, []byte(private), 0o600))
	require.NoError(c.t, os.WriteFile(file, []byte(text), 0o644))
	out, code := c.runCtl("commit", "--log", c.site.ByName("log").URL, "--key", key, file)
	require.Zero(c.t, code, out)
	require.NoError(c.t, site.WaitRevision(c.ctx, c.site.AgentsAndEntries(), 2))
}

// explain runs dandelionctl explain for an id at all entries. It returns the decisions
// and the printed table.
func (c *cluster) explain(id string) (rows []decision, table string) {
	c.t.Helper()
	var entries []string
	for _, u := range c.site.URLs(site.RoleEntry) {
		entries = append(entries, strings.TrimPrefix(u, "http://"))
	}
	args := []string{"explain", "--token", operatorToken, "--entries", strings.Join(entries, ",")}
	out, code := c.runCtl(append(args, "--output", "json", id)...)
	require.Zero(c.t, code, out)
	var got struct{ Decisions []decision }
	require.NoError(c.t, json.Unmarshal([]byte(out), &got), out)
	table, code = c.runCtl(append(args, id)...)
	require.Zero(c.t, code, table)
	return got.Decisions, table
}

// findRow returns the index of the first row, starting at from, whose What has the
// prefix what, or -1.
func findRow(rows []decision, from int, what string) int {
	for i := from; i < len(rows); i++ {
		if strings.HasPrefix(rows[i].What, what) {
			return i
		}
	}
	return -1
}

// An agent is stopped while requests wait in its queue. It refuses them as not run, the
// entry sends them to the other server, and the callers get complete answers. For one
// of these requests dandelionctl explain must show where it was sent first, that it was
// refused there and why, and which server answered it.
func TestExplainRefusedByLeavingAgent(t *testing.T) {
	const requests = 64
	c := startCluster(t, options{seed: 81, service: site.ServiceModel{Mean: 250 * time.Millisecond}})
	c.commitOperatorToken()
	cl := c.client(site.Caller)
	var results collector[client.Result]
	var all sync.WaitGroup
	for range requests {
		all.Go(func() {
			results.add(cl.Call(c.ctx, client.Call{
				RequestID: uuid.NewString(), Service: c.site.Deployment.Service, Method: http.MethodGet, Path: "/orders/1",
			}))
		})
	}
	c.waitFor("requests wait at service-1", func() error {
		var st struct {
			Agents []struct {
				Name   string
				Queued int
			}
		}
		if err := site.SendJSON(c.ctx, http.MethodGet, c.site.URLs(site.RoleEntry)[0]+"/v1/status", nil, &st); err != nil {
			return err
		}
		for _, a := range st.Agents {
			if a.Name == "service-1" && a.Queued > 0 {
				return nil
			}
		}
		return fmt.Errorf("%+v", st)
	})
	c.terminate("service-1")
	all.Wait()
	require.Zero(t, c.waitExit("service-1"))
	for _, r := range results.all() {
		require.True(t, r.OK(), "%s %s %s", r.Kind(), r.Fault, r.Body)
		rows, table := c.explain(r.RequestID)
		refused := findRow(rows, 0, "refused by service-1, not run")
		if refused < 0 {
			continue
		}
		t.Logf("\n%s", table)
		require.GreaterOrEqual(t, findRow(rows[:refused], 0, "sent to service-1"), 0)
		require.Contains(t, rows[refused].Why, "leaving")
		served := findRow(rows, refused, "sent to service-2")
		require.GreaterOrEqual(t, served, 0)
		require.GreaterOrEqual(t, findRow(rows, served, "answered by service-2"), 0)
		return
	}
	t.Fatal("no request was refused by the leaving agent")
}

// An engine and its agent crash during a step. Their samples are generated again
// elsewhere and the trainer gets each one exactly once. For the step and for one of
// these samples dandelionctl explain must show where the sample was lost, and for the
// sample where it was generated.
func TestExplainRegeneratedSample(t *testing.T) {
	c := startCluster(t, options{seed: 82, engine: site.EngineModel{MeanTokens: 150}})
	c.commitOperatorToken()
	r := c.startTrainer(1, 0, 82)
	r.waitGroups(2)
	c.kill("engine-1-server")
	c.kill("engine-1")
	r.waitComplete(1)
	step, _ := c.explain(site.TrainerName(1) + "/1")
	lost := findRow(step, 0, "lost at engine-1")
	require.GreaterOrEqual(t, lost, 0, "%+v", step)
	rows, table := c.explain(step[lost].ID)
	t.Logf("\n%s", table)
	lost = findRow(rows, 0, "lost at engine-1")
	require.GreaterOrEqual(t, findRow(rows[:lost], 0, "start at engine-1"), 0)
	end := findRow(rows, lost, "finished at engine-")
	require.Greater(t, end, lost)
	require.Contains(t, rows[end].Why, "by weights 1")
	require.NotEqual(t, "finished at engine-1", rows[end].What)
	again := findRow(rows, lost, strings.Replace(rows[end].What, "finished", "start", 1))
	require.GreaterOrEqual(t, again, 0)
	require.NotEmpty(t, rows[again].Why)
}
