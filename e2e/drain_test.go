package e2e

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"dandelionsill.org/load/client"
	"dandelionsill.org/load/judge"
	"dandelionsill.org/load/site"
	"dandelionsill.org/platform"
)

// streamSet is a set of streamed completions.
type streamSet struct {
	c           *cluster
	completions collector[judge.Completion]
	started     atomic.Int32 // streams that have received text
	count       int
}

// openStreams starts n streams and waits until each has received some text.
func (c *cluster) openStreams(n int, seed uint64) *streamSet {
	c.t.Helper()
	s := &streamSet{c: c, count: n}
	cl := c.client(site.Caller)
	for i := range n {
		go s.run(cl, fmt.Sprintf("stream %d", i), seed+uint64(i))
	}
	c.waitFor("every stream has received text", func() error {
		if have := int(s.started.Load()); have < n {
			return fmt.Errorf("%d of %d streams have received text", have, n)
		}
		return nil
	})
	return s
}

func (s *streamSet) run(cl *client.Client, prompt string, seed uint64) {
	ctx, cancel := context.WithTimeout(s.c.ctx, maxWait)
	defer cancel()
	in := client.Completion{
		RequestID: uuid.NewString(), Model: s.c.site.Deployment.Model, Prompt: prompt, MaxTokens: 600, Seed: seed, Stream: true,
	}
	hasText := false
	r, text := cl.Complete(ctx, in, func(string) {
		if !hasText {
			hasText = true
			s.started.Add(1)
		}
	})
	s.completions.add(judge.Completion{
		Prompt: prompt, Seed: seed, MaxTokens: in.MaxTokens, Result: r, Text: text.Text, Spans: text.Spans,
	})
}

// waitComplete waits until all streams have ended and requires that each is complete
// and correct.
func (s *streamSet) waitComplete() {
	s.c.t.Helper()
	s.c.waitFor("every stream ends", func() error {
		if have := s.completions.len(); have < s.count {
			return fmt.Errorf("%d of %d streams have ended", have, s.count)
		}
		return nil
	})
	list := s.completions.all()
	for i := range list {
		require.True(s.c.t, list[i].Result.OK(), "%+v", list[i].Result)
	}
	require.Zero(s.c.t, judge.CheckCompletions(list, s.c.site.Engine.LengthModel()))
}

// longSamples returns an engine model whose streams take one to two seconds.
func longSamples() site.EngineModel { return site.EngineModel{MeanTokens: 1500, Sigma: 0.1} }

// An entry gets SIGTERM while callers read streams from it. The balancer must see it as
// not ready and send new calls elsewhere, the streams must be completed, and then the
// process must exit with 0.
func TestEntryStopsWithOpenStreams(t *testing.T) {
	const seed = 21
	c := startCluster(t, options{seed: seed, engine: longSamples()})
	s := c.openStreams(12, seed)
	c.terminate("entry-1")
	s.waitComplete()
	require.Zero(t, c.waitExit("entry-1"))
	c.openStreams(4, seed+100).waitComplete()
}

// Agents get SIGTERM while they serve streams and writes. They must refuse new work as
// "not run", so that the entries use other agents and callers notice nothing, finish
// the work that they have, and then exit with 0.
func TestAgentsStopWithWorkInFlight(t *testing.T) {
	const seed = 22
	c := startCluster(t, options{seed: seed, engine: longSamples()})
	w := c.startTraffic(callerCount, seed, callShares{reads: 0.3, keyed: 0.4})
	w.waitAnswered(100)
	s := c.openStreams(12, seed)
	for _, name := range []string{"engine-1", "service-1"} {
		require.NoError(t, c.site.SetVM(c.ctx, c.site.ByName(name), platform.VMLeaving))
		c.terminate(name)
	}
	w.waitAnswered(200)
	s.waitComplete()
	require.Zero(t, c.waitExit("engine-1"))
	require.Zero(t, c.waitExit("service-1"))
	calls, _ := w.verify()
	require.Zero(t, judge.CountInterrupted(callResults(calls)))
	for i := range calls {
		require.True(t, calls[i].Result.OK(), "%+v", calls[i].Result)
	}
}
