// Package completions serves POST /v1/completions for application callers: it
// picks an engine, passes its tokens on as they come or whole, and goes on at
// another engine when one fails in the middle, so that the caller still gets
// the whole answer to its own request.
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

// Path is where completions are asked for.
const Path = "/v1/completions"

// DefaultMaxAttempts bounds the engines that one request is tried on.
const DefaultMaxAttempts = 4

var (
	resumedTotal = metrics.Counter("entry_completions_resumed_total")
	retriesTotal = metrics.Counter("entry_completion_retries_total")
	tokensTotal  = metrics.Counter("entry_completion_tokens_total")
)

// Config configures a Handler.
type Config struct {
	Agents      fleet.Watcher
	Region      string // this entry's own
	MaxAttempts int    // 0: DefaultMaxAttempts
	Seed        uint64 // of the routing's random choices
	Ring        *explain.Ring
	Logger      *zap.Logger
	// Quarantine keeps requests that crash engines from reaching any; nil: one of this
	// handler's own.
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

// Body is what a caller sends.
type Body struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	// MaxTokens defaults to the manifest's bound for the model.
	MaxTokens *int `json:"max_tokens"`
	Stream    bool `json:"stream"`
	// Seed defaults to a random one. It stays the same over all engines that
	// the request is tried on.
	Seed *uint64 `json:"seed"`
}

// completion is one request on its way.
type completion struct {
	*front.Attempts
	model     string
	prompt    string
	maxTokens int
	seed      uint64
	stream    bool
	// jobID is what agents and engines know the request by. Two callers may
	// choose one request id; their jobs must not meet at an engine.
	jobID string
}

// Serve is the front.Handler of Path.
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

// content is what makes two requests of a caller the same one. The seed is left out:
// most callers leave it to us.
func (c *completion) content() poison.Content {
	return poison.Content{Caller: c.Caller.Name, Method: http.MethodPost, Host: c.model, URI: Path, Body: []byte(c.prompt)}
}

// decodeBody reads the body. Unknown fields are refused: a sampling parameter that
// is silently left out changes the answer.
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
