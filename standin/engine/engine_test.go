package engine_test

import (
	"context"
	"io"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dandelionsill.org/adapters/httpengine"
	"dandelionsill.org/platform"
	"dandelionsill.org/standin/engine"
	"dandelionsill.org/standin/truth"
)

const (
	prompt  = "Draft a tree preservation order for parcel 12."
	tokens  = 60
	patient = 20 * time.Second
)

// start runs a fast engine whose outputs are far longer than tokens.
func start(t *testing.T, change func(*engine.Config)) (*engine.Engine, *httpengine.Engine) {
	t.Helper()
	cfg := engine.DefaultConfig()
	cfg.MeanTokens = 1e6
	cfg.StepBase = time.Millisecond
	cfg.StepPerStream = 0
	cfg.MaxChunkTokens = 4
	cfg.LoadTime = 5 * time.Millisecond
	cfg.LoadLag = 0
	cfg.EventLag = 0
	cfg.EventLossShare = 0
	if change != nil {
		change(&cfg)
	}
	e := engine.New(cfg)
	srv := httptest.NewServer(e)
	t.Cleanup(srv.Close)
	t.Cleanup(e.Close)
	return e, httpengine.New(srv.URL, "agent-1")
}

// endless is a job that no slow machine finishes before a test acts on it.
func endless(id string) platform.GenerateJob {
	j := job(id)
	j.MaxTokens = 0
	return j
}

func job(id string) platform.GenerateJob {
	return platform.GenerateJob{ID: id, Prompt: prompt, Seed: 7, MaxTokens: tokens}
}

// result is a stream read to its end.
type result struct {
	text   string
	tokens int
	labels []truth.Span
	finish string
	err    error // nil after io.EOF
}

func (r *result) add(c platform.Chunk) {
	from := r.tokens
	r.text += c.Text
	r.tokens += c.Tokens
	r.finish = c.Finish
	if k := len(r.labels) - 1; k >= 0 && r.labels[k].Version == c.Version {
		r.labels[k].To = r.tokens
	} else if c.Tokens > 0 {
		r.labels = append(r.labels, truth.Span{Version: c.Version, From: from, To: r.tokens})
	}
}

// read reads a stream to its end; each runs after every chunk.
func read(t *testing.T, c *httpengine.Engine, j platform.GenerateJob, each func(*result)) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patient)
	defer cancel()
	s, err := c.Generate(ctx, j)
	require.NoError(t, err)
	defer s.Close()
	var r result
	for {
		chunk, err := s.Next()
		if err == io.EOF {
			return r
		}
		if err != nil {
			r.err = err
			return r
		}
		r.add(chunk)
		if each != nil {
			each(&r)
		}
	}
}

func load(t *testing.T, c *httpengine.Engine, version, token uint64) error {
	t.Helper()
	data := "weights"
	return c.LoadWeights(t.Context(), platform.WeightInfo{Model: "drafter-lm", Version: version, Bytes: int64(len(data))}, strings.NewReader(data), token)
}

func state(t *testing.T, c *httpengine.Engine) platform.EngineState {
	t.Helper()
	s, err := c.State(t.Context())
	require.NoError(t, err)
	return s
}

func TestOutputIsTheTruth(t *testing.T) {
	e, c := start(t, func(cfg *engine.Config) { cfg.MeanTokens, cfg.Sigma = 20, 0.5 })
	for seed := range uint64(8) {
		j := job("r")
		j.Seed, j.MaxTokens = seed, 18
		r := read(t, c, j, nil)
		require.NoError(t, r.err)
		spans, n, err := truth.Check(prompt, seed, r.text)
		require.NoError(t, err)
		require.Equal(t, truth.OutputTokens(prompt, seed, 20, 0.5, 18), n)
		require.Equal(t, spans, r.labels)
		require.Equal(t, n < 18, r.finish == "stop")
	}
	require.Equal(t, 8, e.Truth(0, true).Totals.RunsEnded)
}

// A weight order arrives while a stream runs. The stream goes on with the new
// weights, and each chunk names the version that truly made it.
func TestStreamGoesOnWithNewWeights(t *testing.T) {
	_, c := start(t, nil)
	ordered := false
	r := read(t, c, endless("r"), func(r *result) {
		if !ordered {
			ordered = true
			require.NoError(t, load(t, c, 2, 1))
		}
		if len(r.labels) == 2 {
			require.NoError(t, c.Cancel(t.Context(), "r"))
		}
	})
	require.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
	spans, n, err := truth.Check(prompt, 7, r.text)
	require.NoError(t, err)
	require.Equal(t, r.tokens, n)
	require.Len(t, spans, 2)
	require.Equal(t, spans, r.labels)
}

// A holder that lost its lease gives an order late. An engine that obeys
// fencing refuses it; one that ignores fencing swaps back to old weights, and
// only its state and its chunks show it.
func TestStaleOrder(t *testing.T) {
	t.Run("obeys", func(t *testing.T) {
		e, c := start(t, nil)
		require.NoError(t, load(t, c, 3, 9))
		require.ErrorIs(t, load(t, c, 2, 8), platform.ErrFenced)
		require.ErrorIs(t, c.SetRole(t.Context(), "decode", 8), platform.ErrFenced)
		s := state(t, c)
		require.Equal(t, []uint64{3, 9}, []uint64{s.Version, s.Order})
		require.Equal(t, 2, e.Truth(0, true).Totals.Fenced)
	})
	t.Run("ignores", func(t *testing.T) {
		e, c := start(t, func(cfg *engine.Config) { cfg.Fencing = false })
		require.NoError(t, load(t, c, 3, 9))
		require.NoError(t, load(t, c, 2, 8))
		s := state(t, c)
		require.Equal(t, []uint64{2, 8}, []uint64{s.Version, s.Order})
		require.Equal(t, 1, e.Truth(0, true).Totals.StaleObeyed)
	})
}

// A swap fails partway: the order answers with the failure, the state says so,
// and the engine makes tokens with either version until a later order heals it.
func TestPartialLoadServesEither(t *testing.T) {
	e, c := start(t, func(cfg *engine.Config) { cfg.MaxChunkTokens = 1 })
	e.Faults.Apply(engine.Faults{FailNextLoad: true})
	require.ErrorIs(t, load(t, c, 2, 1), platform.ErrLoadFailed)
	require.Equal(t, "failed", state(t, c).State)
	r := read(t, c, job("r"), nil)
	spans, _, err := truth.Check(prompt, 7, r.text)
	require.NoError(t, err)
	require.Greater(t, len(spans), 2)
	require.Equal(t, spans, r.labels)

	e.Faults.Apply(engine.Faults{FailedLabel: "intended"})
	r = read(t, c, job("lie"), nil)
	require.Equal(t, []truth.Span{{Version: 2, From: 0, To: tokens}}, r.labels)
	spans, _, err = truth.Check(prompt, 7, r.text)
	require.NoError(t, err)
	require.NotEqual(t, spans, r.labels)

	require.NoError(t, load(t, c, 3, 2))
	require.Equal(t, "serving", state(t, c).State)
	require.Equal(t, []truth.Span{{Version: 3, From: 0, To: tokens}}, read(t, c, job("healed"), nil).labels)
}

// The order's answer is lost after the engine obeyed: the sender can only
// learn it by reading the state back.
func TestLostOrderAnswerIsObeyed(t *testing.T) {
	e, c := start(t, nil)
	e.Faults.Apply(engine.Faults{LoseNextOrder: true})
	require.ErrorIs(t, load(t, c, 2, 1), platform.ErrOrderUnknown)
	require.EqualValues(t, 2, state(t, c).Version)
}

func TestChunksWithoutVersion(t *testing.T) {
	e, c := start(t, nil)
	e.Faults.Apply(engine.Faults{NoVersion: true})
	r := read(t, c, job("r"), nil)
	require.Equal(t, []truth.Span{{Version: 0, From: 0, To: tokens}}, r.labels)
}

// An engine leaves in the middle of a sample. Another goes on behind the text
// that was received: the whole is the same as from one engine, and with the KV
// cache nothing is computed again.
func TestResumeContinuesTheSameText(t *testing.T) {
	_, first := start(t, nil)
	half := read(t, first, endless("r"), func(r *result) {
		if r.tokens >= 20 {
			require.NoError(t, first.Cancel(t.Context(), "r"))
		}
	})
	require.ErrorIs(t, half.err, io.ErrUnexpectedEOF)
	kv, err := first.ExportKV(t.Context(), "r")
	require.NoError(t, err)

	all := job("whole")
	all.MaxTokens += half.tokens
	whole := read(t, first, all, nil)
	for name, kv := range map[string][]byte{"with KV": kv, "without": nil, "damaged": kv[:10]} {
		t.Run(name, func(t *testing.T) {
			e, second := start(t, nil)
			j := all
			j.ResumeText, j.ResumeTokens, j.KV = half.text, half.tokens, kv
			rest := read(t, second, j, nil)
			require.NoError(t, rest.err)
			require.Equal(t, whole.text, half.text+rest.text)
			prefill := e.Truth(0, false).Runs[0].Prefill
			require.Equal(t, name == "with KV", prefill == 0)
			if name != "with KV" {
				require.Greater(t, prefill, half.tokens)
			}
		})
	}
	_, err = first.ExportKV(t.Context(), "unknown")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// The engine process dies under a stream: the reader gets an error, never an
// end, and the next start shows another boot id.
func TestCrashCutsStreams(t *testing.T) {
	e, c := start(t, nil)
	boot := state(t, c).Boot
	r := read(t, c, endless("r"), func(r *result) {
		if r.tokens == 4 {
			e.Faults.Apply(engine.Faults{Crash: true})
		}
	})
	require.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
	require.NotEqual(t, boot, state(t, c).Boot)
	require.Equal(t, "crashed", e.Truth(0, false).Runs[0].Outcome)
}

// The reader gives up. The engine must stop making tokens for it and keep the
// tokens made in its account of waste.
func TestClosedStreamIsCancelled(t *testing.T) {
	e, c := start(t, func(cfg *engine.Config) { cfg.Slots = 1 })
	s, err := c.Generate(t.Context(), platform.GenerateJob{ID: "r", Prompt: prompt})
	require.NoError(t, err)
	_, err = s.Next()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.NoError(t, read(t, c, job("next"), nil).err)
	run := e.Truth(0, false).Runs[0]
	require.Equal(t, []string{"r", "cancelled"}, []string{run.ID, run.Outcome})
	require.EqualValues(t, run.Tokens, e.Truth(0, true).Totals.TokensCancelled)
	require.Positive(t, run.Tokens)
}

// One slot, frozen: three streams queue. Thawed, the batch admits the one that
// runs already, then by priority, then by arrival.
func TestHigherPriorityWaitsLess(t *testing.T) {
	e, c := start(t, func(cfg *engine.Config) { cfg.Slots = 1 })
	e.Faults.Apply(engine.Faults{Freeze: true})
	done := make(chan string, 3)
	for i, id := range []string{"low", "also low", "high"} {
		j := job(id)
		if id == "high" {
			j.Priority = 5
		}
		go func() {
			read(t, c, j, nil)
			done <- id
		}()
		require.Eventually(t, func() bool { return e.Truth(0, true).Totals.Runs == i+1 }, patient, time.Millisecond)
	}
	l, err := c.Load(t.Context())
	require.NoError(t, err)
	require.Equal(t, 3, l.Waiting)
	e.Faults.Apply(engine.Faults{})
	for range 3 {
		<-done
	}
	var order []string
	for _, r := range e.Truth(0, false).Runs {
		order = append(order, r.ID)
	}
	require.Equal(t, []string{"high", "low", "also low"}, order)
}

// The second sample of a group finds the first one's prefix; a cache of one
// prefix forgets it for another prompt, and says so.
func TestPrefixCacheAndItsEvents(t *testing.T) {
	e, c := start(t, func(cfg *engine.Config) { cfg.PrefixCacheSize = 1 })
	other := job("c")
	other.Prompt = "another"
	for _, j := range []platform.GenerateJob{job("a"), job("b"), other, job("d")} {
		require.NoError(t, read(t, c, j, nil).err)
	}
	var hits []bool
	for _, r := range e.Truth(0, false).Runs {
		hits = append(hits, r.PrefixHit)
	}
	require.Equal(t, []bool{false, true, false, false}, hits)
	events, err := c.Events(t.Context(), 1)
	require.NoError(t, err)
	mine, its := platform.PrefixHash(prompt), platform.PrefixHash(other.Prompt)
	require.Equal(t, []platform.CacheEvent{
		{Seq: 2, Prefix: its}, {Seq: 3, Prefix: mine, Evicted: true},
		{Seq: 4, Prefix: mine}, {Seq: 5, Prefix: its, Evicted: true},
	}, events)
}

func TestRefusedJobs(t *testing.T) {
	_, c := start(t, func(cfg *engine.Config) { cfg.Version = 0 })
	wrong := job("r")
	wrong.Model = "other"
	gap := job("r")
	gap.ResumeTokens = 3
	for _, j := range []platform.GenerateJob{job("r"), wrong, gap} {
		_, err := c.Generate(t.Context(), j)
		require.ErrorIs(t, err, platform.ErrEngineRefused)
	}
	require.Equal(t, "empty", state(t, c).State)
}
