// Package completions serves POST /v1/completions for callers that are applications. It
// picks an engine and forwards its tokens, as a stream or as one complete answer. If the
// engine fails in the middle, it resumes at another engine, so that the caller still
// receives a complete answer.
package completions

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"dandelionsill.org/base/explain"
	"dandelionsill.org/base/logs"
	"dandelionsill.org/base/metrics"
	"dandelionsill.org/decide/poison"
	"dandelionsill.org/entry/fleet"
	"dandelionsill.org/entry/front"
	"dandelionsill.org/kinds"
	"dandelionsill.org/quarantine"
)

const part = "entry: completions"

// Path is the path of the completions endpoint.
const Path = "/v1/completions"

// DefaultMaxAttempts is the default number of attempts that one request may make.
const DefaultMaxAttempts = 4

var (
	resumedTotal = metrics.Counter("entry_completions_resumed_total")
	retriesTotal = metrics.Counter("entry_completion_retries_total")
	tokensTotal  = metrics.Counter("entry_completion_tokens_total")
)

// Config configures a Handler.
type Config struct {
	Agents      fleet.Watcher
	Region      string // the region of this entry
	MaxAttempts int    // 0: DefaultMaxAttempts
	Seed        uint64 // seeds the random choices of routing
	Ring        *explain.Ring
	Logger      *zap.Logger
	// Quarantine stops requests that crash engines from being sent to more of them. If
	// nil, the handler creates one of its own.
	Quarantine *quarantine.Quarantine
}

// Handler serves completions.
type Handler struct {
	cfg     Config
	log     *zap.Logger
	chooser *fleet.Chooser
}

// New returns a Handler.
func New(cfg Config) *Handler {
	if cfg.MaxAttempts <= 0 {
		cfg.MaxAttempts = DefaultMaxAttempts
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(cfg.Logger)
	}
	return &Handler{
		cfg:     cfg,
		log:     logs.Part(cfg.Logger, "completions"),
		chooser: fleet.NewChooser(cfg.Agents, cfg.Region, cfg.Seed),
	}
}

// Body is the body of a request.
type Body struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens defaults to the manifest's maximum for the model.
	MaxTokens *int `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Seed defaults to a random value. All engines that the request is sent to get the
	// same seed.
	Seed *uint64 `json:"seed"`
}

// completion is one request that is being served.
type completion struct {
	*front.Attempts
	model     string
	prompt    string
	maxTokens int
	seed      uint64
	stream    bool
	// jobID is the id that agents and engines know the request by. Two callers may
	// choose the same request id, but their requests must not be mixed up at an engine.
	jobID string
}

// Serve is the front.Handler for Path.
func (h *Handler) Serve(ctx context.Context, w http.ResponseWriter, r *front.Request) error {
	c, refusal := h.parse(r)
	if refusal != nil {
		return refusal
	}
	out := &output{w: w, c: c}
	err := h.run(ctx, c, out)
	c.RecordResult(err == nil)
	if err == nil {
		return out.finish()
	}
	if !out.started {
		return err
	}
	out.fail(err)
	return nil
}

func (h *Handler) parse(r *front.Request) (*completion, *kinds.Error) {
	if r.HTTP.Method != http.MethodPost {
		return nil, r.Held.Refuse(kinds.NotFound, "%s takes POST only", Path)
	}
	body, refusal := decodeBody(r)
	if refusal != nil {
		return nil, refusal
	}
	model, known := r.View.Manifest.Models[body.Model]
	if !known {
		return nil, r.Held.Refuse(kinds.NotFound, "there is no model %q", body.Model)
	}
	if !r.Caller.Allow[body.Model] {
		return nil, r.Held.Refuse(kinds.Forbidden, "caller %s is not allowed to use model %s", r.Caller.Name, body.Model)
	}
	c := &completion{
		Attempts:  front.NewAttempts(r, true, h.cfg.MaxAttempts),
		model:     body.Model,
		prompt:    body.Prompt,
		maxTokens: model.MaxTokens,
		seed:      rand.Uint64(),
		stream:    body.Stream,
		jobID:     r.ID + "." + uuid.NewString()[:8],
	}
	if body.MaxTokens != nil {
		c.maxTokens = *body.MaxTokens
	}
	if c.maxTokens < 1 || model.MaxTokens > 0 && c.maxTokens > model.MaxTokens {
		return nil, r.Held.Refuse(kinds.BadRequest, "max_tokens is %d; model %s takes 1 to %d", c.maxTokens, c.model, model.MaxTokens)
	}
	if body.Seed != nil {
		c.seed = *body.Seed
	}
	c.UseQuarantine(h.cfg.Quarantine, c.content)
	return c, nil
}

// content returns what identifies a request that its caller sends again. It does not
// include the seed, since most callers don't set one and it is then random.
func (c *completion) content() poison.Content {
	return poison.Content{Caller: c.Caller.Name, Method: http.MethodPost, Host: c.model, URI: Path, Body: []byte(c.prompt)}
}

// decodeBody decodes the body. Unknown fields are refused: ignoring a sampling parameter
// silently would change the answer.
func decodeBody(r *front.Request) (Body, *kinds.Error) {
	var body Body
	decoder := json.NewDecoder(bytes.NewReader(r.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, r.Held.Refuse(kinds.BadRequest, "the body is not the JSON that is taken here: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return body, r.Held.Refuse(kinds.BadRequest, "the body goes on behind its JSON value")
	}
	if body.Prompt == "" {
		return body, r.Held.Refuse(kinds.BadRequest, "prompt is empty")
	}
	return body, nil
}
