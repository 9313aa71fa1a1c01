package steps

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"

	"dandelionsill.org/base/sleep"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/kinds"
	"dandelionsill.org/wire/pb"
	"dandelionsill.org/wire/refusal"
)

const (
	scoreTimeout    = 10 * time.Second
	minScoreBackoff = 100 * time.Millisecond
	maxScoreBackoff = 5 * time.Second
	maxScoreBytes   = 1 << 20 // of a scorer's answer
)

type scoreRequest struct {
	Trainer string `json:"trainer"`
	Step    uint64 `json:"step"`
	Group   string `json:"group"`
	Index   uint32 `json:"index"`
	Prompt  string `json:"prompt"`
	Text    string `json:"text"`
}

type scoreReply struct {
	Score *float64 `json:"score"`
}

// scoreWithRetries calls the scorer until it answers. Generation continues meanwhile. A
// call is cancelled before the next one, so a late answer is ignored.
func (s *Steps) scoreWithRetries(st *step, sm *sample) {
	body, err := json.Marshal(scoreRequest{
		Trainer: st.key.Trainer, Step: st.key.Step, Group: sm.group.id, Index: sm.index,
		Prompt: sm.group.spec.Prompt, Text: sm.done.GetText(),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	for wait := minScoreBackoff; ; wait = min(2*wait, maxScoreBackoff) {
		score, err := s.score(st, body)
		if err == nil {
			s.recordScore(st, sm, score)
			return
		}
		s.logServerEnd(st.sampleName(sm), err)
		s.cfg.Explain.Add(st.ctx, "steps", st.sampleName(sm), "not scored", err.Error())
		if !sleep.For(st.ctx, wait) {
			return
		}
	}
}

func (s *Steps) recordScore(st *step, sm *sample, score float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st.stopReason != nil {
		return
	}
	sm.score = &score
	s.completeSample(st, sm)
}

// score makes one call to the scorer, at its least loaded server.
func (s *Steps) score(st *step, body []byte) (float64, error) {
	sv := s.leastLoadedScorer(st.trainer.Scorer)
	if sv == nil {
		return 0, kinds.Hold().Refuse(kinds.NoServer, "no server of scorer %s is ready", st.trainer.Scorer)
	}
	timeout := s.scoreTimeout(st)
	ctx, cancel := context.WithTimeout(st.ctx, timeout)
	defer cancel()
	end := s.cfg.Fleet.Begin(sv.Name)
	score, err := call(ctx, sv.Client, st, body, timeout)
	switch e, ok := kinds.As(err); {
	case err == nil:
		end(fleet.OK)
	case st.ctx.Err() != nil:
		end(fleet.Abandoned)
	case ok && e.NotRun():
		end(fleet.Refused)
	default:
		end(fleet.Failed)
	}
	return score, err
}

func (s *Steps) scoreTimeout(st *step) time.Duration {
	if v := s.cfg.View.View(); v != nil && v.Manifest != nil {
		if t := v.Manifest.Services[st.trainer.Scorer].Timeout; t > 0 {
			return t
		}
	}
	return scoreTimeout
}

func (s *Steps) leastLoadedScorer(service string) *fleet.Server {
	var best *fleet.Server
	least := 0
	for _, sv := range s.cfg.Fleet.Snapshot().ByPool["service/"+service] {
		if !sv.Ready() {
			continue
		}
		load := s.cfg.Fleet.InFlightNow(sv.Name)
		if sv.Ejected {
			load += 1 << 20 // use it only if there is no other
		}
		if best == nil || load < least {
			best, least = sv, load
		}
	}
	return best
}

// call sends one idempotent request to the scorer and decodes its answer.
func call(ctx context.Context, client pb.AgentClient, st *step, body []byte, timeout time.Duration) (float64, error) {
	stream, err := client.Call(ctx)
	if err != nil {
		return 0, err
	}
	open := &pb.CallOpen{
		RequestId: uuid.NewString(), Caller: st.key.Trainer,
		Service: st.trainer.Scorer, Route: "score", Method: http.MethodPost, Path: st.trainer.ScorerPath,
		Headers: []*pb.Header{{Name: "Content-Type", Value: "application/json"}},
		Body:    body, Idempotent: true, DeadlineMs: timeout.Milliseconds(),
		Priority: int32(st.trainer.Priority), Weight: st.trainer.Weight,
	}
	if err := stream.Send(&pb.CallSend{Part: &pb.CallSend_Open{Open: open}}); err != nil && !errors.Is(err, io.EOF) {
		return 0, err
	}
	if err := stream.CloseSend(); err != nil {
		return 0, err
	}
	return readScore(stream)
}

// readScore reads a scorer's answer. The answer counts only if it ends with a CallEnd:
// a truncated one may still be valid JSON.
func readScore(stream pb.Agent_CallClient) (float64, error) {
	var status int32
	var data []byte
	for {
		reply, err := stream.Recv()
		if err != nil {
			return 0, err
		}
		switch part := reply.GetPart().(type) {
		case *pb.CallReply_Refusal:
			return 0, refusal.Decode(part.Refusal)
		case *pb.CallReply_Head:
			if err := fleet.CheckHead(part.Head); err != nil {
				return 0, err
			}
			status = part.Head.GetStatus()
		case *pb.CallReply_Body:
			if data = append(data, part.Body...); len(data) > maxScoreBytes {
				return 0, fmt.Errorf("scorer's answer has over %d bytes", maxScoreBytes)
			}
		case *pb.CallReply_End:
			return parseScore(status, data)
		}
	}
}

func parseScore(status int32, data []byte) (float64, error) {
	if status != http.StatusOK {
		return 0, fmt.Errorf("scorer answered %d", status)
	}
	var reply scoreReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return 0, fmt.Errorf("scorer's answer: %w", err)
	}
	if reply.Score == nil {
		return 0, errors.New("scorer's answer has no score")
	}
	return *reply.Score, nil
}
