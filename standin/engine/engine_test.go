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
	prompt    = "Draft a tree preservation order for parcel 12."
	maxTokens = 60
	maxWait   = 20 * time.Second
)

// startEngine runs a fast engine whose natural outputs are far longer than
// maxTokens.
func startEngine(t *testing.T, change func(*engine.Config)) (*engine.Engine, *httpengine.Engine) {
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

// newEndlessJob returns a job without a token limit, which is still running when
// a test acts on it, even on a slow machine.
func newEndlessJob(id string) platform.GenerateJob {
	j := newJob(id)
	j.MaxTokens = 0
	return j
}

func newJob(id string) platform.GenerateJob {
	return platform.GenerateJob{ID: id, Prompt: prompt, Seed: 7, MaxTokens: maxTokens}
}

// result is what a stream returned up to its end.
type result struct {
	text          string
	tokens        int
	reportedSpans []truth.Span
	finish        string
	err           error // nil if the stream ended with io.EOF
}

func (r *result) add(c platform.Chunk) {
	from := r.tokens
	r.text += c.Text
	r.tokens += c.Tokens
	r.finish = c.Finish
	if k := len(r.reportedSpans) - 1; k >= 0 && r.reportedSpans[k].Version == c.Version {
		r.reportedSpans[k].To = r.tokens
	} else if c.Tokens > 0 {
		r.reportedSpans = append(r.reportedSpans, truth.Span{Version: c.Version, From: from, To: r.tokens})
	}
}

// readStream reads a stream to its end and calls onChunk, unless it is nil, after
// every chunk.
func readStream(t *testing.T, c *httpengine.Engine, j platform.GenerateJob, onChunk func(*result)) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), maxWait)
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
		if onChunk != nil {
			onChunk(&r)
		}
	}
}

func loadWeights(t *testing.T, c *httpengine.Engine, version, token uint64) error {
	t.Helper()
	data := "weights"
	return c.LoadWeights(t.Context(), platform.WeightInfo{Model: "drafter-lm", Version: version, Bytes: int64(len(data))}, strings.NewReader(data), token)
}

func readState(t *testing.T, c *httpengine.Engine) platform.EngineState {
	t.Helper()
	s, err := c.State(t.Context())
	require.NoError(t, err)
	return s
}

func TestOutputMatchesGroundTruth(t *testing.T) {
	e, c := startEngine(t, func(cfg *engine.Config) { cfg.MeanTokens, cfg.Sigma = 20, 0.5 })
	for seed := range uint64(8) {
		j := newJob("r")
		j.Seed, j.MaxTokens = seed, 18
		r := readStream(t, c, j, nil)
		require.NoError(t, r.err)
		spans, n, err := truth.Check(prompt, seed, r.text)
		require.NoError(t, err)
		require.Equal(t, truth.OutputTokens(prompt, seed, 20, 0.5, 18), n)
		require.Equal(t, spans, r.reportedSpans)
		require.Equal(t, n < 18, r.finish == "stop")
	}
	require.Equal(t, 8, e.Truth(0, true).Totals.RunsEnded)
}

// A weight order arrives while a stream runs. The stream continues with the new
// weights, and each chunk reports the version that generated it.
func TestRunningStreamContinuesWithNewWeights(t *testing.T) {
	_, c := startEngine(t, nil)
	ordered := false
	r := readStream(t, c, newEndlessJob("r"), func(r *result) {
		if !ordered {
			ordered = true
			require.NoError(t, loadWeights(t, c, 2, 1))
		}
		if len(r.reportedSpans) == 2 {
			require.NoError(t, c.Cancel(t.Context(), "r"))
		}
	})
	require.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
	spans, n, err := truth.Check(prompt, 7, r.text)
	require.NoError(t, err)
	require.Equal(t, r.tokens, n)
	require.Len(t, spans, 2)
	require.Equal(t, spans, r.reportedSpans)
}

// A former lease holder's order arrives late. An engine that obeys fencing refuses
// it. One that ignores fencing swaps back to old weights, which only its state and
// its chunks show.
func TestStaleOrder(t *testing.T) {
	t.Run("obeys", func(t *testing.T) {
		e, c := startEngine(t, nil)
		require.NoError(t, loadWeights(t, c, 3, 9))
		require.ErrorIs(t, loadWeights(t, c, 2, 8), platform.ErrFenced)
		require.ErrorIs(t, c.SetRole(t.Context(), "decode", 8), platform.ErrFenced)
		s := readState(t, c)
		require.Equal(t, []uint64{3, 9}, []uint64{s.Version, s.Order})
		require.Equal(t, 2, e.Truth(0, true).Totals.Fenced)
	})
	t.Run("ignores", func(t *testing.T) {
		e, c := startEngine(t, func(cfg *engine.Config) { cfg.Fencing = false })
		require.NoError(t, loadWeights(t, c, 3, 9))
		require.NoError(t, loadWeights(t, c, 2, 8))
		s := readState(t, c)
		require.Equal(t, []uint64{2, 8}, []uint64{s.Version, s.Order})
		require.Equal(t, 1, e.Truth(0, true).Totals.StaleObeyed)
	})
}

// A swap fails halfway. The order's answer and the state report the failure, and
// the engine generates tokens with either version until a later order succeeds.
func TestPartialLoadServesEitherVersion(t *testing.T) {
	e, c := startEngine(t, func(cfg *engine.Config) { cfg.MaxChunkTokens = 1 })
	e.Faults.Apply(engine.Faults{FailNextLoad: true})
	require.ErrorIs(t, loadWeights(t, c, 2, 1), platform.ErrLoadFailed)
	require.Equal(t, "failed", readState(t, c).State)
	r := readStream(t, c, newJob("r"), nil)
	spans, _, err := truth.Check(prompt, 7, r.text)
	require.NoError(t, err)
	require.Greater(t, len(spans), 2)
	require.Equal(t, spans, r.reportedSpans)

	e.Faults.Apply(engine.Faults{FailedLabel: "intended"})
	r = readStream(t, c, newJob("lie"), nil)
	require.Equal(t, []truth.Span{{Version: 2, From: 0, To: maxTokens}}, r.reportedSpans)
	spans, _, err = truth.Check(prompt, 7, r.text)
	require.NoError(t, err)
	require.NotEqual(t, spans, r.reportedSpans)

	require.NoError(t, loadWeights(t, c, 3, 2))
	require.Equal(t, "serving", readState(t, c).State)
	require.Equal(t, []truth.Span{{Version: 3, From: 0, To: maxTokens}}, readStream(t, c, newJob("healed"), nil).reportedSpans)
}

// The answer to an order is lost after the engine obeyed it. The sender can learn
// the outcome only from the engine's state.
func TestOrderWithLostAnswerIsObeyed(t *testing.T) {
	e, c := startEngine(t, nil)
	e.Faults.Apply(engine.Faults{LoseNextOrder: true})
	require.ErrorIs(t, loadWeights(t, c, 2, 1), platform.ErrOrderUnknown)
	require.EqualValues(t, 2, readState(t, c).Version)
}

func TestChunksWithoutVersion(t *testing.T) {
	e, c := startEngine(t, nil)
	e.Faults.Apply(engine.Faults{NoVersion: true})
	r := readStream(t, c, newJob("r"), nil)
	require.Equal(t, []truth.Span{{Version: 0, From: 0, To: maxTokens}}, r.reportedSpans)
}

// A stream ends in the middle of a sample and another engine resumes after the
// text that was received. The complete text equals that of a single engine, and
// with the KV cache nothing is prefilled again.
func TestResumeContinuesTheSameText(t *testing.T) {
	_, first := startEngine(t, nil)
	firstPart := readStream(t, first, newEndlessJob("r"), func(r *result) {
		if r.tokens >= 20 {
			require.NoError(t, first.Cancel(t.Context(), "r"))
		}
	})
	require.ErrorIs(t, firstPart.err, io.ErrUnexpectedEOF)
	kv, err := first.ExportKV(t.Context(), "r")
	require.NoError(t, err)

	fullJob := newJob("whole")
	fullJob.MaxTokens += firstPart.tokens
	complete := readStream(t, first, fullJob, nil)
	for name, kv := range map[string][]byte{"with KV": kv, "without": nil, "damaged": kv[:10]} {
		t.Run(name, func(t *testing.T) {
			e, second := startEngine(t, nil)
			j := fullJob
			j.ResumeText, j.ResumeTokens, j.KV = firstPart.text, firstPart.tokens, kv
			rest := readStream(t, second, j, nil)
			require.NoError(t, rest.err)
			require.Equal(t, complete.text, firstPart.text+rest.text)
			prefill := e.Truth(0, false).Runs[0].Prefill
			require.Equal(t, name == "with KV", prefill == 0)
			if name != "with KV" {
				require.Greater(t, prefill, firstPart.tokens)
			}
		})
	}
	_, err = first.ExportKV(t.Context(), "unknown")
	require.ErrorIs(t, err, platform.ErrNotFound)
}

// The engine crashes while a stream runs. The reader gets an error, not a regular
// end, and the restarted engine has another boot ID.
func TestCrashDropsStreams(t *testing.T) {
	e, c := startEngine(t, nil)
	boot := readState(t, c).Boot
	r := readStream(t, c, newEndlessJob("r"), func(r *result) {
		if r.tokens == 4 {
			e.Faults.Apply(engine.Faults{Crash: true})
		}
	})
	require.ErrorIs(t, r.err, io.ErrUnexpectedEOF)
	require.NotEqual(t, boot, readState(t, c).Boot)
	require.Equal(t, "crashed", e.Truth(0, false).Runs[0].Outcome)
}

// The reader closes the stream. The engine must stop generating tokens for it and
// count the tokens already generated as cancelled.
func TestClosedStreamIsCancelled(t *testing.T) {
	e, c := startEngine(t, func(cfg *engine.Config) { cfg.Slots = 1 })
	s, err := c.Generate(t.Context(), platform.GenerateJob{ID: "r", Prompt: prompt})
	require.NoError(t, err)
	_, err = s.Next()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	require.NoError(t, readStream(t, c, newJob("next"), nil).err)
	run := e.Truth(0, false).Runs[0]
	require.Equal(t, []string{"r", "cancelled"}, []string{run.ID, run.Outcome})
	require.EqualValues(t, run.Tokens, e.Truth(0, true).Totals.TokensCancelled)
	require.Positive(t, run.Tokens)
}

// Three streams queue at a frozen engine with one slot. Once the fault is cleared,
// they are admitted by priority, then by arrival.
func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	e, c := startEngine(t, func(cfg *engine.Config) { cfg.Slots = 1 })
	e.Faults.Apply(engine.Faults{Freeze: true})
	done := make(chan string, 3)
	for i, id := range []string{"low", "also low", "high"} {
		j := newJob(id)
		if id == "high" {
			j.Priority = 5
		}
		go func() {
			readStream(t, c, j, nil)
			done <- id
		}()
		require.Eventually(t, func() bool { return e.Truth(0, true).Totals.Runs == i+1 }, maxWait, time.Millisecond)
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

// The second sample of a group hits the prefix that the first one cached. A cache
// of one prefix evicts it for another prompt and reports the eviction.
func TestPrefixCacheEvents(t *testing.T) {
	e, c := startEngine(t, func(cfg *engine.Config) { cfg.PrefixCacheSize = 1 })
	other := newJob("c")
	other.Prompt = "another"
	for _, j := range []platform.GenerateJob{newJob("a"), newJob("b"), other, newJob("d")} {
		require.NoError(t, readStream(t, c, j, nil).err)
	}
	var hits []bool
	for _, r := range e.Truth(0, false).Runs {
		hits = append(hits, r.PrefixHit)
	}
	require.Equal(t, []bool{false, true, false, false}, hits)
	events, err := c.Events(t.Context(), 1)
	require.NoError(t, err)
	prefix, otherPrefix := platform.PrefixHash(prompt), platform.PrefixHash(other.Prompt)
	require.Equal(t, []platform.CacheEvent{
		{Seq: 2, Prefix: otherPrefix}, {Seq: 3, Prefix: prefix, Evicted: true},
		{Seq: 4, Prefix: prefix}, {Seq: 5, Prefix: otherPrefix, Evicted: true},
	}, events)
}

func TestRefusedJobs(t *testing.T) {
	_, c := startEngine(t, func(cfg *engine.Config) { cfg.Version = 0 })
	wrong := newJob("r")
	wrong.Model = "other"
	gap := newJob("r")
	gap.ResumeTokens = 3
	for _, j := range []platform.GenerateJob{newJob("r"), wrong, gap} {
		_, err := c.Generate(t.Context(), j)
		require.ErrorIs(t, err, platform.ErrEngineRefused)
	}
	require.Equal(t, "empty", readState(t, c).State)
}
