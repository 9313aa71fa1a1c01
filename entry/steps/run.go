package steps

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandelionsill.org/decide/fresh"
	"dandelionsill.org/decide/straggle"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/wire/pb"
)

// partial is the beginning of a sample with the labels of its tokens.
type partial struct {
	text   string
	tokens int
	spans  []*pb.Span
	kv     []byte
}

func (p *partial) lastVersion() uint64 {
	if p == nil || len(p.spans) == 0 {
		return 0
	}
	return p.spans[len(p.spans)-1].GetVersion()
}

// isLabelled reports whether there are tokens and every one has a label.
func (p *partial) isLabelled() bool { return p != nil && p.tokens > 0 && spansCover(p.spans, p.tokens) }

// spansCover reports whether the spans give a version for every token, without gaps or
// overlaps.
func spansCover(spans []*pb.Span, tokens int) bool {
	covered := uint32(0)
	for _, s := range spans {
		if s.GetVersion() == 0 || s.GetFrom() != covered || s.GetTo() <= covered {
			return false
		}
		covered = s.GetTo()
	}
	return int(covered) == tokens
}

// run is one stream of one sample at one agent.
type run struct {
	id            straggle.RunID
	action        straggle.Action
	sample        int
	server        *fleet.Server
	request       string // id of the request to the agent
	attempt       uint64
	allowMixed    bool // may span versions, by the trainer's settings when the run started
	parent        *run
	ctx           context.Context
	cancel        context.CancelFunc
	reportOutcome func(fleet.Outcome)
	floor         atomic.Uint64
	// agentMayResume is set if the agent may resume from a partial sample of an older
	// owner's stream, which this run does not know. The run's text may then lack its
	// first part, so no other run may resume from it.
	agentMayResume bool
	stalled        atomic.Bool // cancelled because it made no progress
	started        bool        // guarded by Steps.mu: the run is no longer in the agent's queue

	mu          sync.Mutex
	text        []byte
	tokens      int
	chunks      int
	spans       []*pb.Span
	lastChunkAt time.Time
}

// resume initializes the run with the tokens of an earlier run; nil: with none.
func (r *run) resume(p *partial) {
	if p == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text = []byte(p.text)
	r.tokens = p.tokens
	r.spans = cloneSpans(p.spans)
}

// addChunk adds a chunk. It returns the number of chunks so far.
func (r *run) addChunk(c *pb.GenerateChunk) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := uint32(r.tokens)
	to := from + c.GetTokens()
	r.text = append(r.text, c.GetText()...)
	r.tokens = int(to)
	r.chunks++
	r.lastChunkAt = time.Now()
	if k := len(r.spans) - 1; k >= 0 && r.spans[k].GetVersion() == c.GetVersion() {
		r.spans[k].To = to
	} else if to > from {
		r.spans = append(r.spans, &pb.Span{Version: c.GetVersion(), From: from, To: to})
	}
	return r.chunks
}

func (r *run) lastVersion() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.spans) == 0 {
		return 0
	}
	return r.spans[len(r.spans)-1].GetVersion()
}

func (r *run) progress() (tokens, chunks int, version uint64, lastChunk time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if k := len(r.spans) - 1; k >= 0 {
		version = r.spans[k].GetVersion()
	}
	return r.tokens, r.chunks, version, r.lastChunkAt
}

// snapshot returns the tokens of the run so far, nil if there are none that another run
// could resume from.
func (r *run) snapshot() *partial {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tokens == 0 || r.agentMayResume {
		return nil
	}
	return &partial{text: string(r.text), tokens: r.tokens, spans: cloneSpans(r.spans)}
}

func cloneSpans(spans []*pb.Span) []*pb.Span {
	out := make([]*pb.Span, 0, len(spans))
	for _, s := range spans {
		out = append(out, &pb.Span{Version: s.GetVersion(), From: s.GetFrom(), To: s.GetTo()})
	}
	return out
}

// execute carries out the plan's decisions. Steps.mu is held.
func (s *Steps) execute(st *step, actions []straggle.Action, snap *fleet.Snapshot) {
	for _, a := range actions {
		s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(st.samples[a.Sample]), a.Kind.String()+" at "+a.Server, a.Reason)
		switch a.Kind {
		case straggle.Cancel:
			s.cancelRun(st, a)
			continue
		}
		server := snap.ByName[a.Server]
		if server == nil {
			st.plan.Lost(a.Run, 0, failureBackoff, st.elapsed())
			continue
		}
		s.launch(st, a, server)
	}
}

// cancelRun stops a run that the plan has abandoned and keeps its tokens for a resume.
func (s *Steps) cancelRun(st *step, a straggle.Action) {
	r := st.runs[a.Run]
	if r == nil {
		return
	}
	if a.Reason == straggle.ReasonNoProgress {
		r.stalled.Store(true)
		s.startCooldown(a.Server, fleet.Failed, 0)
	}
	s.savePartial(st, r)
	s.removeRun(st, r)
	r.cancel()
}

// savePartial keeps the tokens of a lost run, unless the sample already has as many. It
// returns the number of tokens of the run that can be resumed from.
func (s *Steps) savePartial(st *step, r *run) int {
	sm := st.samples[r.sample]
	if s.cfg.Policy.NoResume || s.cfg.Policy.Baseline || sm.done != nil {
		return 0
	}
	p := r.snapshot()
	if !p.isLabelled() {
		return 0
	}
	if sm.partial == nil || sm.partial.tokens < p.tokens {
		sm.partial = p
	}
	return p.tokens
}

func (s *Steps) removeRun(st *step, r *run) {
	if st.runs[r.id] != r {
		return
	}
	delete(st.runs, r.id)
	s.markStarted(r)
}

// markStarted records that the run no longer waits in its agent's queue.
func (s *Steps) markStarted(r *run) {
	if r.started {
		return
	}
	r.started = true
	s.unstartedRuns[r.server.Name]--
}

func (s *Steps) launch(st *step, a straggle.Action, server *fleet.Server) {
	sm := st.samples[a.Sample]
	r := &run{
		id: a.Run, action: a, sample: a.Sample, server: server,
		attempt:        st.attempt,
		allowMixed:     st.trainer.AllowMixed,
		request:        fmt.Sprintf("%s/%d/%d@%s", st.sampleName(sm), st.attempt, a.Run, s.cfg.Name),
		parent:         st.runs[a.From],
		agentMayResume: st.attempt > 1 && sm.partial == nil && a.Kind == straggle.Start,
		reportOutcome:  s.cfg.Fleet.Begin(server.Name),
	}
	r.floor.Store(st.floor)
	r.ctx, r.cancel = context.WithCancel(st.ctx)
	st.runs[a.Run] = r
	s.unstartedRuns[server.Name]++
	s.spawn(func() { s.generate(st, r) })
}

// resumePoint returns the tokens that the run resumes from; nil: it starts at the first
// token.
func (s *Steps) resumePoint(st *step, r *run) *partial {
	if s.cfg.Policy.NoResume || s.cfg.Policy.Baseline {
		return nil
	}
	s.mu.Lock()
	p := st.samples[r.sample].partial
	s.mu.Unlock()
	if r.parent != nil {
		p = r.parent.snapshot()
		if r.action.Kind == straggle.Move {
			if exported := s.export(r.ctx, r.parent); exported.isLabelled() {
				p = exported
			}
		}
	}
	version := r.server.State.GetVersion()
	if !p.isLabelled() || !fresh.MayResume(version, p.lastVersion(), r.floor.Load(), r.allowMixed) {
		return nil
	}
	return p
}

const exportTimeout = time.Second

// export stops a stream at its agent and returns its tokens with their KV cache. Any
// failure is ignored, because without the cache the next engine computes it again.
func (s *Steps) export(ctx context.Context, source *run) *partial {
	ctx, cancel := context.WithTimeout(ctx, exportTimeout)
	defer cancel()
	reply, err := source.server.Client.ExportKV(ctx, &pb.ExportKVRequest{RequestId: source.request})
	if err != nil {
		return nil
	}
	p := &partial{text: reply.GetText(), spans: slices.Clone(reply.GetSpans()), kv: reply.GetKv()}
	if k := len(p.spans) - 1; k >= 0 {
		p.tokens = int(p.spans[k].GetTo())
	}
	return p
}
