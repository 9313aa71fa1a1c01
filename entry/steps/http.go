package steps

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"dandelionsill.org/base/budget"
	"dandelionsill.org/base/trace"
	"dandelionsill.org/entry/answer"
	"dandelionsill.org/entry/auth"
	foldsteps "dandelionsill.org/fold/steps"
	"dandelionsill.org/kinds"
	"dandelionsill.org/manifest"
)

const (
	maxPullWait       = 30 * time.Second
	maxGroups         = 1 << 14
	maxSamples        = 1 << 16 // per step
	maxAnswerGroups   = 64      // per answer
	targetAnswerBytes = 4 << 20 // soft limit: an answer has at least one group
)

// GroupSpec is one group that a trainer requests. Sample i is generated with seed
// Seed+i.
type GroupSpec struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	// ExpectedTokens is the trainer's estimate of a sample's length; 0: none.
	ExpectedTokens int `json:"expected_tokens,omitempty"`
}

// PostRequest is the body of POST /v1/steps.
type PostRequest struct {
	Step          uint64      `json:"step"`
	Attempt       uint64      `json:"attempt"`
	NewestVersion uint64      `json:"newest_version"`
	Groups        []GroupSpec `json:"groups"`
	Have          []string    `json:"have"`
}

// Epoch is an owner's epoch, as answers contain it.
type Epoch struct {
	Attempt uint64 `json:"attempt"`
	Claim   uint64 `json:"claim"`
}

// PostAnswer is the answer to POST /v1/steps.
type PostAnswer struct {
	Epoch  Epoch  `json:"epoch"`
	Step   uint64 `json:"step"`
	Groups int    `json:"groups"` // number of groups that will be delivered
}

// Span is the label of a part of a sample: Version generated the tokens [From, To).
type Span struct {
	Version uint64 `json:"version"`
	From    uint32 `json:"from"`
	To      uint32 `json:"to"`
}

// Sample is one delivered sample.
type Sample struct {
	Index  uint32   `json:"index"`
	Text   string   `json:"text"`
	Tokens uint32   `json:"tokens"`
	Spans  []Span   `json:"spans"`
	Score  *float64 `json:"score,omitempty"`
}

// Group is one delivered group with all its samples.
type Group struct {
	ID      string   `json:"id"`
	Samples []Sample `json:"samples"`
}

// GroupsAnswer is the answer to GET …/groups.
type GroupsAnswer struct {
	Epoch  Epoch   `json:"epoch"`
	Cursor int     `json:"cursor"`
	Groups []Group `json:"groups"`
	Done   bool    `json:"done"`
}

func errLeaving() *kinds.Error {
	return kinds.Hold().Refuse(kinds.Leaving, "this entry is leaving; post the step with a greater attempt to another")
}

func errSuperseded(k foldsteps.Key, owner foldsteps.Owner) *kinds.Error {
	return kinds.New(kinds.Superseded, "step %d of %s has a newer owner: attempt %d at %s",
		k.Step, k.Trainer, owner.Epoch.Attempt, owner.Entry)
}

func badRequest(format string, args ...any) *kinds.Error {
	return kinds.Hold().Refuse(kinds.BadRequest, format, args...)
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(answer.HeaderRequestID); id != "" {
		return id
	}
	return uuid.NewString()
}

func (s *Steps) handlePost(w http.ResponseWriter, r *http.Request) {
	ctx, span := trace.FromHTTP(r, "steps.post")
	defer span.End()
	id := requestID(r)
	reply, err := s.post(w, r.WithContext(ctx))
	if err != nil {
		answer.Error(w, id, err)
		return
	}
	answer.JSON(w, id, http.StatusOK, reply)
}

func (s *Steps) post(w http.ResponseWriter, r *http.Request) (*PostAnswer, error) {
	trainer, refusal := auth.Trainer(s.cfg.View.View(), r)
	if refusal != nil {
		return nil, refusal
	}
	room := s.cfg.Bodies.Reserve()
	defer room.Release()
	body, err := room.ReadAll(r.Body, r.ContentLength, s.cfg.MaxBody)
	if err != nil {
		w.Header().Set("Connection", "close") // otherwise net/http would read the rest of the body first
	}
	switch {
	case errors.Is(err, budget.ErrTooLarge):
		return nil, kinds.Hold().Refuse(kinds.TooLarge, "a step may have %d bytes", s.cfg.MaxBody)
	case errors.Is(err, budget.ErrNoRoom):
		return nil, kinds.Hold().Refuse(kinds.Overloaded, "no room for the step's body")
	case err != nil:
		return nil, badRequest("body: %v", err)
	}
	var req PostRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, badRequest("body: %v", err)
	}
	if err := check(&req, s.cfg.View.View().Manifest.Models[trainer.Model]); err != nil {
		return nil, err
	}
	return s.takeStep(r.Context(), trainer, req, digestOf(req))
}

// digestOf returns a hash that is equal for two POSTs of the same attempt. It ignores
// Have, because a repeated POST may list groups that the trainer received meanwhile.
func digestOf(req PostRequest) [sha256.Size]byte {
	data, err := json.Marshal(req.Groups)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return sha256.Sum256(data)
}

func check(req *PostRequest, model manifest.Model) error {
	if req.Attempt == 0 {
		return badRequest("attempt: from 1 on")
	}
	if len(req.Groups) == 0 || len(req.Groups) > maxGroups {
		return badRequest("groups: 1 to %d", maxGroups)
	}
	seen := map[string]bool{}
	samples := 0
	for i := range req.Groups {
		g := &req.Groups[i]
		if g.MaxTokens == 0 {
			g.MaxTokens = model.MaxTokens
		}
		if g.ID == "" || seen[g.ID] {
			return badRequest("groups[%d]: id %q is empty or doubled", i, g.ID)
		}
		if g.Samples < 1 || g.MaxTokens < 1 {
			return badRequest("group %s: samples and max_tokens: from 1 on", g.ID)
		}
		if model.MaxTokens > 0 && g.MaxTokens > model.MaxTokens {
			return badRequest("group %s: max_tokens: the model's limit is %d", g.ID, model.MaxTokens)
		}
		seen[g.ID] = true
		if samples += g.Samples; samples > maxSamples {
			return badRequest("a step may have %d samples", maxSamples)
		}
	}
	return nil
}

func (s *Steps) handleGroups(w http.ResponseWriter, r *http.Request) {
	ctx, span := trace.FromHTTP(r, "steps.groups")
	defer span.End()
	id := requestID(r)
	reply, err := s.answerPull(r.WithContext(ctx))
	if err != nil {
		answer.Error(w, id, err)
		return
	}
	answer.JSON(w, id, http.StatusOK, reply)
}

func (s *Steps) handleDelete(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	trainer, refusal := auth.Trainer(s.cfg.View.View(), r)
	if refusal != nil {
		answer.Error(w, id, refusal)
		return
	}
	step, attempt, err := stepAndAttempt(r)
	if err == nil {
		err = s.releaseStep(foldsteps.Key{Trainer: trainer.Name, Step: step}, attempt)
	}
	if err != nil {
		answer.Error(w, id, err)
		return
	}
	answer.JSON(w, id, http.StatusOK, struct{}{})
}

func stepAndAttempt(r *http.Request) (step, attempt uint64, err error) {
	if step, err = strconv.ParseUint(r.PathValue("step"), 10, 64); err != nil {
		return 0, 0, badRequest("step: a number")
	}
	attempt, err = queryNumber(r, "attempt")
	return step, attempt, err
}

func queryNumber(r *http.Request, name string) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, badRequest("%s: a number", name)
	}
	return n, nil
}

func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Attempt, e.Claim) }
