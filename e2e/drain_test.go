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

// streams are completions in flight.
type streams struct {
	c     *cluster
	ended collect[judge.Completion]
	begun atomic.Int32 // that showed their first text
	asked int
}

// open starts n streams and waits until each has shown some text.
func (c *cluster) open(n int, seed uint64) *streams {
	c.t.Helper()
	s := &streams{c: c, asked: n}
	cl := c.client(site.Caller)
	for i := range n {
		go s.one(cl, fmt.Sprintf("stream %d", i), seed+uint64(i))
	}
	c.until("every stream shows text", func() error {
		if have := int(s.begun.Load()); have < n {
			return fmt.Errorf("%d of %d do", have, n)
		}
		return nil
	})
	return s
}

func (s *streams) one(cl *client.Client, prompt string, seed uint64) {
	ctx, cancel := context.WithTimeout(s.c.ctx, patience)
	defer cancel()
	in := client.Completion{
		RequestID: uuid.NewString(), Model: s.c.site.Deployment.Model, Prompt: prompt, MaxTokens: 600, Seed: seed, Stream: true,
	}
	shown := false
	r, text := cl.Complete(ctx, in, func(string) {
		if !shown {
			shown = true
			s.begun.Add(1)
		}
	})
	s.ended.add(judge.Completion{
		Prompt: prompt, Seed: seed, MaxTokens: in.MaxTokens, Result: r, Text: text.Text, Spans: text.Spans,
	})
}

// whole waits for the streams' ends and requires that none was cut off.
func (s *streams) whole() {
	s.c.t.Helper()
	s.c.until("every stream ends", func() error {
		if have := s.ended.len(); have < s.asked {
			return fmt.Errorf("%d of %d have", have, s.asked)
		}
		return nil
	})
	list := s.ended.all()
	for i := range list {
		require.True(s.c.t, list[i].Result.OK(), "%+v", list[i].Result)
	}
	require.Zero(s.c.t, judge.CheckCompletions(list, s.c.site.Engine.LengthModel()))
}

// long is an engine model whose streams last for a second or two.
func long() site.EngineModel { return site.EngineModel{MeanTokens: 1500, Sigma: 0.1} }

// An entry is told to stop while callers read streams from it. The balancer
// sees it unready and sends new callers elsewhere; the streams go on to their
// ends, and then the process exits with 0.
func TestEntryStopsWithOpenStreams(t *testing.T) {
	const seed = 21
	c := up(t, options{seed: seed, engine: long()})
	s := c.open(12, seed)
	c.term("entry-1")
	s.whole()
	require.Zero(t, c.exit("entry-1"))
	c.open(4, seed+100).whole()
}

// An agent is told to stop while it serves streams and writes. It refuses new
// work as "not run", so that the entries go elsewhere and callers notice
// nothing; what it holds it finishes, and then it exits with 0.
func TestAgentsStopWithWorkInFlight(t *testing.T) {
	const seed = 22
	c := up(t, options{seed: seed, engine: long()})
	w := c.startTraffic(callers, seed, shares{reads: 0.3, keyed: 0.4})
	w.answered(100)
	s := c.open(12, seed)
	for _, name := range []string{"engine-1", "service-1"} {
		require.NoError(t, c.site.SetVM(c.ctx, c.site.ByName(name), platform.VMLeaving))
		c.term(name)
	}
	w.answered(200)
	s.whole()
	require.Zero(t, c.exit("engine-1"))
	require.Zero(t, c.exit("service-1"))
	calls, _ := w.judged()
	require.Zero(t, judge.CountInterrupted(results(calls)))
	for i := range calls {
		require.True(t, calls[i].Result.OK(), "%+v", calls[i].Result)
	}
}
